/// @file
/// Forward declarations of the ratelimit module.
#ifndef COLTSFOOTTRAIL_RATELIMIT_FWD_HPP
#define COLTSFOOTTRAIL_RATELIMIT_FWD_HPP

namespace coltsfoottrail {

struct RateObservation;
struct RateLimitNotice;
struct RateLimitChange;
struct RateLimitTally;
struct RatePermit;
struct RateShare;
class EndpointRateLimiter;
class TrafficShare;

} // namespace coltsfoottrail

#endif
