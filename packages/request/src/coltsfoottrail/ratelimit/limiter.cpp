#include "coltsfoottrail/ratelimit/limiter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace coltsfoottrail {

namespace {

/// A limit that differs by less than this fraction is not told or logged anew.
constexpr double MaterialChange = 0.1;
/// Least part of a rate, so that waits stay finite.
constexpr double MinShare = 1e-6;
constexpr double MaxWaitSeconds = 3600.0;

bool differsMaterially(std::optional<double> First,
                       std::optional<double> Second) {
  if (!First || !Second)
    return First.has_value() != Second.has_value();
  return std::abs(*First - *Second) >
         MaterialChange * std::max(*First, *Second);
}

} // namespace

double EndpointRateLimiter::Limit::usedPerSecond(TimePoint Now) const {
  const double Least = std::max(PerSecond * UsedFraction, ProbesPerSecond);
  if (!EndedAt)
    return Least;
  return Least * std::exp2(std::chrono::duration<double>(Now - *EndedAt) /
                           std::chrono::duration<double>(ReleaseDoubling));
}

// Failure guarded against: hosts that hear of a limit at the same moment each
// send a first request at once. Each begins with a random part of one.
void EndpointRateLimiter::recordNamed(Limit &Named, double PerSecond,
                                      TimePoint HeardAt, TimePoint Now) {
  Named.PerSecond = PerSecond;
  Named.HeardAt = std::max(Named.HeardAt, HeardAt);
  Named.EndedAt.reset();
  if (std::exchange(Named.InForce, true))
    return;
  Named.Tokens = Rng.fraction();
  Named.RefilledAt = Now;
  Named.EarnedShare.reset();
  ++Version;
}

void EndpointRateLimiter::recordEnded(Limit &Ended, TimePoint EndedAt) {
  if (!Ended.EndedAt)
    Ended.EndedAt = EndedAt;
}

void EndpointRateLimiter::recordChange(const std::string &Process,
                                       const Limit &Changed,
                                       std::optional<double> Before,
                                       Duration Age, bool FromPeer) {
  if (differsMaterially(Before, Changed.stated()))
    Changes.push_back({Process, Changed.stated(), Age, FromPeer, false});
}

void EndpointRateLimiter::markUnpublished(Limit &Changed, TimePoint Now) {
  const bool IsDue =
      Changed.stated() && Now - Changed.ToldAt >= RefreshInterval;
  if (IsDue || differsMaterially(Changed.stated(), Changed.ToldPerSecond))
    Changed.IsUnpublished = true;
}

// Failure guarded against: responses overtake each other, and one that the
// endpoint sent before it named its limit ends the limit.
void EndpointRateLimiter::observe(const std::string &Process,
                                  std::optional<double> PerSecond,
                                  TimePoint SentAt, TimePoint Now) {
  const std::lock_guard Guard(Lock);
  auto Found = Limits.find(Process);
  if (!PerSecond) {
    if (Found == Limits.end() || Found->second.EndedAt ||
        SentAt <= Found->second.HeardAt)
      return;
    recordEnded(Found->second, Now);
    recordChange(Process, Found->second, Found->second.PerSecond,
                 Duration::zero(), false);
  } else {
    Found = Limits.try_emplace(Process).first;
    Limit &Named = Found->second;
    const std::optional<double> Before =
        Named.InForce ? Named.stated() : std::nullopt;
    recordNamed(Named, *PerSecond, Now, Now);
    recordChange(Process, Named, Before, Duration::zero(), false);
  }
  markUnpublished(Found->second, Now);
}

bool EndpointRateLimiter::observeNotice(const RateLimitNotice &Notice,
                                        TimePoint Now) {
  const std::lock_guard Guard(Lock);
  bool AnyNew = false;
  for (const RateObservation &Observed : Notice.Observations)
    AnyNew = apply(Observed, Now) || AnyNew;
  return AnyNew;
}

bool EndpointRateLimiter::apply(const RateObservation &Observed,
                                TimePoint Now) {
  if (Observed.Observer == Observer)
    return false;
  const TimePoint HeardAt = Now - Observed.Age;
  if (HeardAt + UnheardLife <= Now)
    return false;
  const auto [Found, IsFirst] = Limits.try_emplace(Observed.Process);
  Limit &Known = Found->second;
  std::uint64_t &Seen = Known.SeenNumbers[Observed.Observer];
  if (Seen >= Observed.Number)
    return false;
  Seen = Observed.Number;
  const TimePoint KnownAt =
      std::max(Known.HeardAt, Known.EndedAt.value_or(Known.HeardAt));
  if (!IsFirst && HeardAt <= KnownAt)
    return true;
  const std::optional<double> Before =
      Known.InForce ? Known.stated() : std::nullopt;
  if (Observed.PerSecond)
    recordNamed(Known, *Observed.PerSecond, HeardAt, Now);
  else
    recordEnded(Known, HeardAt);
  recordChange(Observed.Process, Known, Before, Observed.Age, true);
  Known.ToldPerSecond = Observed.PerSecond;
  Known.ToldAt = Now;
  Known.IsUnpublished = false;
  return true;
}

bool EndpointRateLimiter::isLimited(std::string_view Process) const {
  const std::lock_guard Guard(Lock);
  const auto Found = Limits.find(Process);
  return Found != Limits.end() && Found->second.InForce;
}

bool EndpointRateLimiter::hasLimits() const {
  const std::lock_guard Guard(Lock);
  return std::ranges::any_of(
      Limits, [](const auto &Entry) { return Entry.second.InForce; });
}

void EndpointRateLimiter::advance(TimePoint Now) {
  const std::lock_guard Guard(Lock);
  for (auto &[Process, Each] : Limits) {
    if (!Each.EndedAt && Now - Each.HeardAt >= UnheardLife) {
      Changes.push_back(
          {Process, std::nullopt, Now - Each.HeardAt, false, true});
      recordEnded(Each, Now);
    }
    const bool IsLifted = Each.EndedAt && Now - *Each.EndedAt >= ReleaseTime;
    if (IsLifted && std::exchange(Each.InForce, false))
      ++Version;
  }
  std::erase_if(Limits, [&](const auto &Entry) {
    return Entry.second.EndedAt && Now - *Entry.second.EndedAt >= UnheardLife;
  });
}

RateLimitNotice EndpointRateLimiter::takeNotice(TimePoint Now) {
  const std::lock_guard Guard(Lock);
  RateLimitNotice Notice;
  for (auto &[Process, Each] : Limits) {
    if (!Each.IsUnpublished || Now - Each.ToldAt < MinNoticeInterval)
      continue;
    Each.IsUnpublished = false;
    Each.ToldPerSecond = Each.stated();
    Each.ToldAt = Now;
    Notice.Observations.push_back({Process, Each.stated(),
                                   Now - Each.EndedAt.value_or(Each.HeardAt),
                                   Observer, NextNumber++});
  }
  return Notice;
}

std::vector<RateLimitChange> EndpointRateLimiter::takeChanges() {
  const std::lock_guard Guard(Lock);
  return std::exchange(Changes, {});
}

std::vector<RateLimitTally> EndpointRateLimiter::tallies(TimePoint Now) const {
  const std::lock_guard Guard(Lock);
  std::vector<RateLimitTally> Result;
  for (const auto &[Process, Each] : Limits)
    if (Each.InForce)
      Result.push_back({Process, Each.PerSecond, Now - Each.HeardAt, Each.Sends,
                        Each.Withheld});
  return Result;
}

std::optional<RatePermit> EndpointRateLimiter::permit(std::string_view Process,
                                                      const RateShare &Share,
                                                      TimePoint Now) {
  const std::lock_guard Guard(Lock);
  const auto Found = Limits.find(Process);
  if (Found == Limits.end() || !Found->second.InForce)
    return std::nullopt;
  Limit &Each = Found->second;
  const double Rate = Each.usedPerSecond(Now);
  const double PerSecond = Rate * std::clamp(Share.Part, MinShare, 1.0);
  const std::chrono::duration<double> Elapsed =
      std::max(Now - Each.RefilledAt, Duration::zero());
  // The shares of two pools differ; a process changes pools rarely.
  const double Earned =
      std::clamp(Share.Earned - Each.EarnedShare.value_or(Share.Earned), 0.0,
                 Elapsed.count());
  const std::chrono::duration<double> SavedTime = MaxSavedTime;
  const double MostSaved = std::max(1.0, PerSecond * SavedTime.count());
  Each.Tokens = std::min(MostSaved, Each.Tokens + Rate * Earned);
  Each.EarnedShare = Share.Earned;
  Each.RefilledAt = std::max(Each.RefilledAt, Now);
  const std::chrono::duration<double> Wait(
      std::min((1.0 - Each.Tokens) / PerSecond, MaxWaitSeconds));
  return RatePermit{PerSecond, Now + std::chrono::ceil<Duration>(Wait)};
}

void EndpointRateLimiter::recordSend(std::string_view Process) {
  const std::lock_guard Guard(Lock);
  const auto Found = Limits.find(Process);
  if (Found == Limits.end())
    return;
  ++Found->second.Sends;
  Found->second.Tokens = std::max(Found->second.Tokens - 1.0, -1.0);
}

void EndpointRateLimiter::recordWithheld(std::string_view Process) {
  const std::lock_guard Guard(Lock);
  const auto Found = Limits.find(Process);
  if (Found != Limits.end())
    ++Found->second.Withheld;
}

} // namespace coltsfoottrail
