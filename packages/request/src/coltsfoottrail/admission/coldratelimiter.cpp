#include "coltsfoottrail/admission/coldratelimiter.hpp"

namespace coltsfoottrail {

namespace {

/// State of an endpoint that is not queried for this long is dropped: it is no
/// longer cold. If it turns cold again, it gets a new random start time.
constexpr Duration PaceLifetime = seconds(3);

} // namespace

Duration ColdRateLimiter::interval(double RatePerSecond) const {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      HostCount / (RatePerSecond * UsedRateFraction)));
}

ColdRateLimiter::Pace &ColdRateLimiter::paceFor(std::string_view Endpoint,
                                                double RatePerSecond,
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
  const auto InitialDelay = std::chrono::duration_cast<Duration>(
      interval(RatePerSecond) * Rng.fraction());
  return Paces
      .insert_or_assign(std::string(Endpoint), Pace{Now + InitialDelay, Now})
      .first->second;
}

bool ColdRateLimiter::canAdmit(std::string_view Endpoint, double RatePerSecond,
                               TimePoint Now) {
  return paceFor(Endpoint, RatePerSecond, Now).NextAt <= Now;
}

bool ColdRateLimiter::admit(std::string_view Endpoint, double RatePerSecond,
                            TimePoint Now) {
  Pace &Entry = paceFor(Endpoint, RatePerSecond, Now);
  if (Entry.NextAt > Now)
    return false;
  Entry.NextAt = Now + interval(RatePerSecond);
  return true;
}

} // namespace coltsfoottrail
