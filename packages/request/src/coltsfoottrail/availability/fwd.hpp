/// @file
/// Forward declarations of the availability module.
#ifndef COLTSFOOTTRAIL_AVAILABILITY_FWD_HPP
#define COLTSFOOTTRAIL_AVAILABILITY_FWD_HPP

#include <variant>

namespace coltsfoottrail {

struct LeavingNotice;
struct BackoffBegan;
struct BackoffEnded;
struct LeavingNoticed;
/// What has changed in an endpoint's availability to this host.
using AvailabilityChange =
    std::variant<BackoffBegan, BackoffEnded, LeavingNoticed>;

struct BackoffTally;
struct AvailabilityTally;
class EndpointAvailability;

} // namespace coltsfoottrail

#endif
