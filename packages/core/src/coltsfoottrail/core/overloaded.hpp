/// @file
/// Visitors made of lambdas.
#ifndef COLTSFOOTTRAIL_CORE_OVERLOADED_HPP
#define COLTSFOOTTRAIL_CORE_OVERLOADED_HPP

namespace coltsfoottrail {

/// @brief One callable made of several, for std::visit.
/// @tparam Cases A callable for each alternative.
template <class... Cases> struct Overloaded : Cases... {
  using Cases::operator()...;
};
// clang 14 does not deduce the arguments of aggregates by itself.
template <class... Cases> Overloaded(Cases...) -> Overloaded<Cases...>;

} // namespace coltsfoottrail

#endif
