#include "coltsfoottrail/admission/coldratelimiter.hpp"

namespace coltsfoottrail {

namespace {

/// An endpoint that nobody asked about for so long is not cold any more; if it
/// is again, it is drawn a new first time.
constexpr Duration TurnLife = seconds(3);

} // namespace

Duration ColdRateLimiter::gap(double PerSecond) const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Hosts / (PerSecond * UsedRateFraction)));
}

ColdRateLimiter::Turn &ColdRateLimiter::turn(std::string_view Endpoint,
                                             double PerSecond, TimePoint Now) {
  const auto Found = Turns.find(Endpoint);
  if (Found != Turns.end() && Now - Found->second.AskedAt < TurnLife) {
    Found->second.AskedAt = Now;
    return Found->second;
  }
  std::erase_if(Turns, [&](const auto &Entry) {
    return Now - Entry.second.AskedAt >= TurnLife;
  });
  const auto First =
      std::chrono::duration_cast<Duration>(gap(PerSecond) * Draw.fraction());
  return Turns.insert_or_assign(std::string(Endpoint), Turn{Now + First, Now})
      .first->second;
}

bool ColdRateLimiter::canAdmit(std::string_view Endpoint, double PerSecond,
                               TimePoint Now) {
  return turn(Endpoint, PerSecond, Now).Next <= Now;
}

bool ColdRateLimiter::admit(std::string_view Endpoint, double PerSecond,
                            TimePoint Now) {
  Turn &Its = turn(Endpoint, PerSecond, Now);
  if (Its.Next > Now)
    return false;
  Its.Next = Now + gap(PerSecond);
  return true;
}

} // namespace coltsfoottrail
