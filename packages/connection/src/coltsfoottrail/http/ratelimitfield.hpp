/// @file
/// Reads the rate limit that a response names.
#ifndef COLTSFOOTTRAIL_HTTP_RATELIMITFIELD_HPP
#define COLTSFOOTTRAIL_HTTP_RATELIMITFIELD_HPP

#include "coltsfoottrail/http/message.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace coltsfoottrail {

/// @brief Rate limit of a response.
struct RateLimitField {
  /// Requests per second; empty if the response names no limit, or one that
  /// cannot be read.
  std::optional<double> PerSecond;
  /// It names a limit that is not a number of requests.
  bool IsInvalid = false;
};

/// @brief Reads the rate limit of a response, the lowest one if it names
/// several. Thread-safe.
/// @param Fields Header fields of the response.
/// @param Name Name of the field; case does not matter.
[[nodiscard]] RateLimitField readRateLimit(std::span<const HttpField> Fields,
                                           std::string_view Name);

} // namespace coltsfoottrail

#endif
