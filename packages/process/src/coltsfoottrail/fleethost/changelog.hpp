/// @file
/// Tells the log what a page of a feed changes in this host's beliefs.
#ifndef COLTSFOOTTRAIL_FLEETHOST_CHANGELOG_HPP
#define COLTSFOOTTRAIL_FLEETHOST_CHANGELOG_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/fleethost/view.hpp"

namespace coltsfoottrail {

/// @brief Writes a line for each change that a page brings. Heartbeats that
/// change nothing write none, so that the volume follows the changes and not
/// the number of endpoints. Belongs to the view's thread.
/// @param Page What was read, not yet taken by the view.
/// @param Before What this host believed until now.
/// @param AskedAt When the question left this host.
/// @param Now The time.
void logFeedChanges(const FeedPage &Page, const FleetView &OldView,
                    TimePoint RequestedAt, TimePoint Now);

} // namespace coltsfoottrail

#endif
