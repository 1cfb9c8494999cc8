/// @file
/// Base of the exceptions that the project throws.
#ifndef COLTSFOOTTRAIL_CORE_ERROR_HPP
#define COLTSFOOTTRAIL_CORE_ERROR_HPP

#include <stdexcept>

namespace coltsfoottrail {

/// @brief Base of all exceptions of the project; its text is fit to be shown to
/// an operator.
class Error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace coltsfoottrail

#endif
