/// @file
/// Forward declarations of the fleethost module: an entry host on a platform
/// whose endpoints publish themselves.
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
