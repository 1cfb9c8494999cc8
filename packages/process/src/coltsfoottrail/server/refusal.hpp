/// @file
/// Verdicts as callers read them.
#ifndef COLTSFOOTTRAIL_SERVER_REFUSAL_HPP
#define COLTSFOOTTRAIL_SERVER_REFUSAL_HPP

#include "coltsfoottrail/http/message.hpp"
#include "coltsfoottrail/verdict/verdict.hpp"

#include <string_view>

namespace coltsfoottrail {

/// @brief Makes the problem+json answer (RFC 9457) for a verdict. Thread-safe.
/// @param Final The verdict.
/// @param Detail More for people; may be empty.
[[nodiscard]] HttpResponse refusalOf(const Verdict &Final,
                                     std::string_view Detail = {});

/// @brief Makes the answer for what the HTTP server itself refuses: before a
/// request is read whole it has not run; after an unexpected exception, status
/// 500, it may have. Thread-safe.
/// @param Status HTTP status.
/// @param Why Stable code.
[[nodiscard]] HttpResponse serverRefusal(unsigned Status, std::string_view Why);

} // namespace coltsfoottrail

#endif
