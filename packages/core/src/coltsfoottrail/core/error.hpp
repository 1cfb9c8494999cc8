/// @file
/// Base class of the project's exceptions.
#ifndef COLTSFOOTTRAIL_CORE_ERROR_HPP
#define COLTSFOOTTRAIL_CORE_ERROR_HPP

#include <stdexcept>

namespace coltsfoottrail {

/// @brief Base class of the project's exceptions; the message can be shown to
/// an operator.
class Error : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace coltsfoottrail

#endif
