/// @file
/// Logs what a page of a feed changes in this host's view of the fleet.
#ifndef COLTSFOOTTRAIL_FLEETHOST_CHANGELOG_HPP
#define COLTSFOOTTRAIL_FLEETHOST_CHANGELOG_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/fleethost/view.hpp"
#include "coltsfoottrail/logging/fwd.hpp"

namespace coltsfoottrail {

/// @brief Logs one line for each change in a page. Heartbeats that change
/// nothing are not logged, so that the volume depends on the changes and not on
/// the number of endpoints. Belongs to the view's thread.
/// @param Page The page, before the view ingests it.
/// @param OldView The view before the page.
/// @param RequestedAt When the request for the page left this host.
/// @param Now The current time.
/// @param Unreadable Limits the lines on entries that cannot be read: their
/// writer may write them again and again.
void logFeedChanges(const FeedPage &Page, const FleetView &OldView,
                    TimePoint RequestedAt, TimePoint Now,
                    EventSampler &Unreadable);

} // namespace coltsfoottrail

#endif
