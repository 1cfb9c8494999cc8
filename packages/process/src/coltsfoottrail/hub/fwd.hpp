/// @file
/// Forward declarations of the hub module.
#ifndef COLTSFOOTTRAIL_HUB_FWD_HPP
#define COLTSFOOTTRAIL_HUB_FWD_HPP

namespace coltsfoottrail {

struct HostReport;
struct HubAnswer;
struct RelayedFeed;
class Hub;
class HubLink;
class RelayLog;

} // namespace coltsfoottrail

#endif
