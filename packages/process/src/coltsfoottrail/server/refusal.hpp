/// @file
/// HTTP responses that tell callers why a request was refused.
#ifndef COLTSFOOTTRAIL_SERVER_REFUSAL_HPP
#define COLTSFOOTTRAIL_SERVER_REFUSAL_HPP

#include "coltsfoottrail/http/message.hpp"
#include "coltsfoottrail/verdict/verdict.hpp"

#include <string_view>

namespace coltsfoottrail {

/// @brief Creates the problem+json response (RFC 9457) for a verdict.
/// Thread-safe.
/// @param Final The verdict.
/// @param Detail Further explanation for human readers; may be empty.
[[nodiscard]] HttpResponse refusalOf(const Verdict &Final,
                                     std::string_view Detail = {});

/// @brief Creates the response for requests that the HTTP server itself
/// refuses. A request that was not read completely has not run; after an
/// unexpected exception (status 500) it may have run. Thread-safe.
/// @param Status HTTP status.
/// @param Why Reason code, stable across versions.
[[nodiscard]] HttpResponse serverRefusal(unsigned Status, std::string_view Why);

} // namespace coltsfoottrail

#endif
