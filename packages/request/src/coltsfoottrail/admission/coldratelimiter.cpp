#include "coltsfoottrail/admission/coldratelimiter.hpp"

namespace coltsfoottrail {

namespace {

/// State of an endpoint that is not queried for this long is dropped: it is no
/// longer cold. If it turns cold again, it gets a new random start time.
constexpr Duration PaceLifetime = seconds(3);

} // namespace

bool ColdRateLimiter::isDue(const Pace &Entry, double RatePerSecond,
                            TimePoint Now) const {
  const std::chrono::duration<double> Interval(
      double(HostCount) / (RatePerSecond * UsedRateFraction));
  return HostCount > 0 &&
         Now - Entry.Since >= Interval * Entry.IntervalFraction;
}

ColdRateLimiter::Pace &ColdRateLimiter::paceFor(std::string_view Endpoint,
                                                TimePoint Now) {
  const auto Found = Paces.find(Endpoint);
  if (Found != Paces.end() &&
      Now - Found->second.LastQueriedAt < PaceLifetime) {
    Found->second.LastQueriedAt = Now;
    return Found->second;
  }
  std::erase_if(Paces, [&](const auto &Entry) {
    return Now - Entry.second.LastQueriedAt >= PaceLifetime;
  });
  return Paces
      .insert_or_assign(std::string(Endpoint), Pace{Now, Rng.fraction(), Now})
      .first->second;
}

bool ColdRateLimiter::canAdmit(std::string_view Endpoint, double RatePerSecond,
                               TimePoint Now) {
  return isDue(paceFor(Endpoint, Now), RatePerSecond, Now);
}

bool ColdRateLimiter::admit(std::string_view Endpoint, double RatePerSecond,
                            TimePoint Now) {
  Pace &Entry = paceFor(Endpoint, Now);
  if (!isDue(Entry, RatePerSecond, Now))
    return false;
  Entry.Since = Now;
  Entry.IntervalFraction = 1.0;
  return true;
}

} // namespace coltsfoottrail
