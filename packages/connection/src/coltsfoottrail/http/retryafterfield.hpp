/// @file
/// The field by which an endpoint that refuses a request asks for a pause.
#ifndef COLTSFOOTTRAIL_HTTP_RETRYAFTERFIELD_HPP
#define COLTSFOOTTRAIL_HTTP_RETRYAFTERFIELD_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/http/message.hpp"

#include <optional>

namespace coltsfoottrail {

/// @brief What a refusal says of the pause that the endpoint wants.
struct RetryAfterField {
  /// How long it wants no request; empty if it does not say so.
  std::optional<Duration> Pause;
  /// A value is not a number of seconds.
  bool IsInvalid = false;
};

/// @brief Reads the field Retry-After of a response with the status 429 or 503;
/// those of others concern one request only. Of several values the longest
/// holds. A value beyond a year counts as a year. Thread-safe.
[[nodiscard]] RetryAfterField readRetryAfter(const HttpResponse &Response);

} // namespace coltsfoottrail

#endif
