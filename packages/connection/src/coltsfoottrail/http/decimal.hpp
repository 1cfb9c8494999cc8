/// @file
/// Decimal numbers in header fields.
#ifndef COLTSFOOTTRAIL_HTTP_DECIMAL_HPP
#define COLTSFOOTTRAIL_HTTP_DECIMAL_HPP

#include <optional>
#include <string_view>

namespace coltsfoottrail {

/// @brief Reads a decimal number that may have a fraction, and spaces around
/// it. Thread-safe.
/// @return Nothing unless the whole text is a finite number of at least zero.
[[nodiscard]] std::optional<double> parseDecimal(std::string_view Text);

} // namespace coltsfoottrail

#endif
