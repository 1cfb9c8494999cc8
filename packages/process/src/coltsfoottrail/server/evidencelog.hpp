/// @file
/// Log lines about requests that crash endpoints.
#ifndef COLTSFOOTTRAIL_SERVER_EVIDENCELOG_HPP
#define COLTSFOOTTRAIL_SERVER_EVIDENCELOG_HPP

#include "coltsfoottrail/quarantine/partquarantine.hpp"

#include <span>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Text of a fingerprint as it stands in log lines. Thread-safe.
[[nodiscard]] std::string fingerprintText(std::uint64_t Fingerprint);
/// @brief Fingerprints or parts of prompts as a list for a log line, which
/// leaves out what would be truncated. Thread-safe.
[[nodiscard]] std::string idList(std::span<const std::uint64_t> Ids);

/// @brief Logs a notice about requests that crash endpoints; one about rate
/// limits is not logged. Thread-safe.
/// @param PoolName The pool that it concerns.
/// @param Notice The notice.
/// @param Source The host that the notice is from; "self" for this host.
void logNotice(std::string_view PoolName, const EndpointNotice &Notice,
               std::string_view Source);

/// @brief Logs that the loss of an endpoint was attributed to an outage of its
/// data centre. Thread-safe.
void logOutageLoss(std::string_view PoolName, std::string_view EndpointKey);

/// @brief Logs that a part of prompts is refused, or no longer. Thread-safe.
void logPartChange(std::string_view PoolName, const PartChange &Change);

} // namespace coltsfoottrail

#endif
