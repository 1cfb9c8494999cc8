/// @file
/// Forward declarations of the fleethost module: an entry host on a platform
/// where endpoints register themselves in a store.
#ifndef COLTSFOOTTRAIL_FLEETHOST_FWD_HPP
#define COLTSFOOTTRAIL_FLEETHOST_FWD_HPP

namespace coltsfoottrail {

struct FleetSettings;
struct FleetBounds;
class FleetView;
class FeedFollower;
class CallerProxy;
class GroupCoordinator;
class FleetHost;

} // namespace coltsfoottrail

#endif
