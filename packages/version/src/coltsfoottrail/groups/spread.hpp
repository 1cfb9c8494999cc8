/// @file
/// Which entry host has the first turn at a duty.
#ifndef COLTSFOOTTRAIL_GROUPS_SPREAD_HPP
#define COLTSFOOTTRAIL_GROUPS_SPREAD_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <string_view>

namespace coltsfoottrail {

/// @brief Turn of an entry host at a duty by rendezvous hash: zero acts first,
/// the others only if it doesn't. Duties are spread, so no host is set aside.
/// Thread-safe.
/// @param Duty Names the duty.
/// @param EntryHosts Those that have joined.
/// @param Self Whose turn is asked for.
/// @return How many entry hosts come before it.
[[nodiscard]] std::size_t
rendezvousRank(std::string_view Duty,
               const std::map<HostName, EntryHost> &EntryHosts,
               const HostName &Self);

} // namespace coltsfoottrail

#endif
