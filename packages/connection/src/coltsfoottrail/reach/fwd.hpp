/// @file
/// Forward declarations of the reach module.
#ifndef COLTSFOOTTRAIL_REACH_FWD_HPP
#define COLTSFOOTTRAIL_REACH_FWD_HPP

#include "coltsfoottrail/http/fwd.hpp"

namespace coltsfoottrail {

struct Forwarder;
struct ReachableEndpoint;
struct ReachTally;
class ReachabilityTracker;
class Connector;
class Dialer;
class ForwardingService;

} // namespace coltsfoottrail

#endif
