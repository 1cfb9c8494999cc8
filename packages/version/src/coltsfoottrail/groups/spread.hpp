/// @file
/// Ranks the entry hosts for a task.
#ifndef COLTSFOOTTRAIL_GROUPS_SPREAD_HPP
#define COLTSFOOTTRAIL_GROUPS_SPREAD_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <string_view>

namespace coltsfoottrail {

/// @brief Rank of an entry host for a task by rendezvous hash: the host of rank
/// zero acts first, the others only if it does not. Tasks are spread over all
/// hosts, so no host is set aside for them. Thread-safe.
/// @param Task Key of the task.
/// @param EntryHosts The entry hosts that have joined.
/// @param Self The host whose rank is computed.
/// @return The number of entry hosts that rank before it.
[[nodiscard]] std::size_t
rendezvousRank(std::string_view Task,
               const std::map<HostName, EntryHost> &EntryHosts,
               const HostName &Self);

} // namespace coltsfoottrail

#endif
