/// @file
/// A call that blocks its thread, for tools and tests.
#ifndef COLTSFOOTTRAIL_HTTP_BLOCKING_HPP
#define COLTSFOOTTRAIL_HTTP_BLOCKING_HPP

#include "coltsfoottrail/http/client.hpp"

#include <functional>
#include <string_view>
#include <variant>

namespace coltsfoottrail {

/// @brief Sends a request and blocks until the whole answer is there.
/// Thread-safe.
/// @param To Where to.
/// @param Request What to send.
/// @param Timeout When to give up.
/// @return The answer, or why there is none.
[[nodiscard]] std::variant<HttpResponse, CallFailure>
fetchBlocking(const EngineAddress &To, HttpRequest Request,
              milliseconds Timeout);

/// @brief Sends a request and passes each part of the answer on as it comes.
/// Thread-safe.
/// @param To Where to.
/// @param Request What to send.
/// @param Timeout When to give up.
/// @param OnPart Called with each part of the body; what it throws ends the
/// call and is passed on.
/// @return The answer without its body, or why it is not whole.
[[nodiscard]] std::variant<HttpResponse, CallFailure>
streamBlocking(const EngineAddress &To, HttpRequest Request,
               milliseconds Timeout,
               const std::function<void(std::string_view)> &OnPart);

} // namespace coltsfoottrail

#endif
