/// @file
/// Messages between entry hosts about the rate limits of endpoints.
#ifndef COLTSFOOTTRAIL_RATELIMIT_NOTICE_HPP
#define COLTSFOOTTRAIL_RATELIMIT_NOTICE_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/ratelimit/fwd.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief What a response of an endpoint has said of its rate limit.
struct RateObservation {
  /// EndpointSpec::Process of the endpoint.
  std::string Process;
  /// Requests per second that it takes from all entry hosts together; empty if
  /// it no longer names a limit.
  std::optional<double> PerSecond;
  /// Time since the response, when the notice was sent.
  Duration Age{};
  /// Random number of the run of the host that got the response, and the number
  /// of the observation there.
  std::uint64_t Observer = 0;
  std::uint64_t Number = 0;
};

/// @brief The newest observations of a host.
struct RateLimitNotice {
  std::vector<RateObservation> Observations;
};

} // namespace coltsfoottrail

#endif
