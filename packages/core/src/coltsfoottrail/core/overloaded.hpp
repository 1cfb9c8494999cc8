/// @file
/// Builds visitors from lambdas.
#ifndef COLTSFOOTTRAIL_CORE_OVERLOADED_HPP
#define COLTSFOOTTRAIL_CORE_OVERLOADED_HPP

namespace coltsfoottrail {

/// @brief Combines several callables into one overload set, for std::visit.
/// @tparam Cases A callable for each alternative.
template <class... Cases> struct Overloaded : Cases... {
  using Cases::operator()...;
};
// clang 14 does not implement class template argument deduction for aggregates.
template <class... Cases> Overloaded(Cases...) -> Overloaded<Cases...>;

} // namespace coltsfoottrail

#endif
