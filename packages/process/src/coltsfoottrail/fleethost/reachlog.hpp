/// @file
/// Logs which endpoints a host reaches.
#ifndef COLTSFOOTTRAIL_FLEETHOST_REACHLOG_HPP
#define COLTSFOOTTRAIL_FLEETHOST_REACHLOG_HPP

#include "coltsfoottrail/reach/tracker.hpp"

namespace coltsfoottrail {

/// @brief Logs a change of the endpoints that this host reaches. Thread-safe.
void logReachChange(const ReachChange &Change, TimePoint Now);

} // namespace coltsfoottrail

#endif
