/// @file
/// How long the other end keeps an idle connection open.
#ifndef COLTSFOOTTRAIL_HTTP_KEEPALIVE_HPP
#define COLTSFOOTTRAIL_HTTP_KEEPALIVE_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/http/message.hpp"

#include <optional>

namespace coltsfoottrail {

/// @brief Reads the time-out of the field Keep-Alive. Thread-safe.
/// @return Nothing if the response states none that can be read.
[[nodiscard]] std::optional<Duration>
readKeepAlive(const HttpResponse &Response);

} // namespace coltsfoottrail

#endif
