/// @file
/// Blocking HTTP calls for tools and tests.
#ifndef COLTSFOOTTRAIL_HTTP_BLOCKING_HPP
#define COLTSFOOTTRAIL_HTTP_BLOCKING_HPP

#include "coltsfoottrail/http/client.hpp"

#include <functional>
#include <string_view>
#include <variant>

namespace coltsfoottrail {

/// @brief Sends a request and blocks until the complete response has arrived.
/// Thread-safe.
/// @param Address Address of the server.
/// @param Request The request.
/// @param Timeout Time limit of the whole call.
/// @return The response, or why the call failed.
[[nodiscard]] std::variant<HttpResponse, CallFailure>
fetchBlocking(const EngineAddress &Address, HttpRequest Request,
              milliseconds Timeout);

/// @brief Sends a request and passes on each part of the body as it arrives;
/// blocks until the response is complete. Thread-safe.
/// @param Address Address of the server.
/// @param Request The request.
/// @param Timeout Time limit of the whole call.
/// @param OnPart Called with each part of the body; an exception from it ends
/// the call and is rethrown.
/// @return The response without its body, or why the call failed.
[[nodiscard]] std::variant<HttpResponse, CallFailure>
streamBlocking(const EngineAddress &Address, HttpRequest Request,
               milliseconds Timeout,
               const std::function<void(std::string_view)> &OnPart);

} // namespace coltsfoottrail

#endif
