/// @file
/// Rate limit of one entry host's requests to cold endpoints.
#ifndef COLTSFOOTTRAIL_ADMISSION_COLDRATELIMITER_HPP
#define COLTSFOOTTRAIL_ADMISSION_COLDRATELIMITER_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <map>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Limits the rate of requests to each cold endpoint. Pure; not
/// thread-safe; times must not go back.
///
/// Failure guarded against: a cold endpoint sustains a few dozen requests a
/// second from all entry hosts together. A limit of one request in progress per
/// host is not enough: with short requests nine hosts still send fifty a
/// second, and with seventy hosts the first request of each is too much. So
/// each host keeps to its part of the rate and starts at a random time. A host
/// that does not know how many others there are sends none.
class ColdRateLimiter {
public:
  /// Fraction of the rate that is used. Hosts start at random times, so with
  /// many hosts a single second may see half as many requests again as the
  /// mean.
  static constexpr double UsedRateFraction = 0.7;

  /// @param Seed Seeds the start times; must differ between hosts.
  explicit ColdRateLimiter(std::uint64_t Seed) : Rng(Seed) {}

  /// @brief Sets the number of entry hosts that share the rates; zero if
  /// unknown.
  void setHostCount(std::size_t Count) noexcept { HostCount = Count; }

  /// @brief Whether a request may be sent now.
  /// @param Endpoint The cold endpoint.
  /// @param RatePerSecond Requests a second that the endpoint sustains from all
  /// entry hosts together; above zero.
  [[nodiscard]] bool canAdmit(std::string_view Endpoint, double RatePerSecond,
                              TimePoint Now);
  /// @brief Takes a permit to send a request now.
  /// @return Whether it may be sent; if so, it counts against the rate.
  [[nodiscard]] bool admit(std::string_view Endpoint, double RatePerSecond,
                           TimePoint Now);

private:
  struct Pace {
    /// Time of the last request, or of the first query.
    TimePoint Since;
    /// Time from then to the next request, as a fraction of the interval of
    /// this host's requests.
    double IntervalFraction;
    TimePoint LastQueriedAt;
  };

  [[nodiscard]] bool isDue(const Pace &Entry, double RatePerSecond,
                           TimePoint Now) const;
  Pace &paceFor(std::string_view Endpoint, TimePoint Now);

  Random Rng;
  std::size_t HostCount = 0;
  std::map<std::string, Pace, std::less<>> Paces;
};

} // namespace coltsfoottrail

#endif
