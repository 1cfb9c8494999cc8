#include "coltsfoottrail/availability/availability.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace coltsfoottrail {

void EndpointAvailability::recordBackoff(const std::string &Process,
                                         Duration Pause, TimePoint Now) {
  if (Pause <= Duration::zero())
    return;
  const std::lock_guard Guard(Lock);
  Backoff &Asked = Backoffs[Process];
  if (Asked.HasEnded)
    Asked = Backoff{};
  ++Asked.Refusals;
  if (Now + Pause > Asked.Until) {
    const Duration Spread = std::min(
        MaxSpread,
        std::chrono::duration_cast<Duration>(Pause * MaxSpreadFraction));
    Asked.Until = Now + Pause;
    Asked.ResumesAt = Asked.Until + std::chrono::duration_cast<Duration>(
                                        Spread * Rng.fraction());
    Asked.Resumed = 0;
  }
  Changes.push_back(BackoffBegan{Process, Pause, Asked.Until - Now});
  updateCount();
}

void EndpointAvailability::updateCount() {
  const std::size_t Entries = Backoffs.size() + Leaving.size();
  if (Count.exchange(Entries) != Entries)
    ++Version;
}

void EndpointAvailability::recordLeaving(const std::string &Process,
                                         TimePoint Now) {
  const std::lock_guard Guard(Lock);
  if (!Leaving.insert_or_assign(Process, Now).second)
    return;
  Untold.push_back(Process);
  Changes.push_back(LeavingNoticed{Process, false, Duration::zero()});
  updateCount();
}

bool EndpointAvailability::observeNotice(const LeavingNotice &Notice,
                                         TimePoint Now) {
  const std::lock_guard Guard(Lock);
  if (Notice.Age >= LeavingLife ||
      !Leaving.try_emplace(Notice.Process, Now - Notice.Age).second)
    return false;
  Changes.push_back(LeavingNoticed{Notice.Process, true, Notice.Age});
  updateCount();
  return true;
}

std::vector<LeavingNotice> EndpointAvailability::takeNotices(TimePoint Now) {
  const std::lock_guard Guard(Lock);
  std::vector<LeavingNotice> Notices;
  for (std::string &Process : std::exchange(Untold, {})) {
    const auto Found = Leaving.find(Process);
    if (Found != Leaving.end())
      Notices.push_back({std::move(Process), Now - Found->second});
  }
  return Notices;
}

void EndpointAvailability::recordSend(std::string_view Process, TimePoint Now) {
  if (Count == 0)
    return;
  const std::lock_guard Guard(Lock);
  const auto Found = Backoffs.find(Process);
  if (Found == Backoffs.end())
    return;
  const bool HasResumed = Now >= Found->second.ResumesAt;
  ++(HasResumed ? Found->second.Resumed : Found->second.Sends);
}

void EndpointAvailability::recordWithheld(std::string_view Process) {
  const std::lock_guard Guard(Lock);
  const auto Found = Backoffs.find(Process);
  if (Found != Backoffs.end())
    ++Found->second.Withheld;
}

bool EndpointAvailability::isRestricted(std::string_view Process) const {
  if (Count == 0)
    return false;
  const std::lock_guard Guard(Lock);
  return Backoffs.contains(Process) || Leaving.contains(Process);
}

Duration EndpointAvailability::resumeDelay(double Number) {
  const Duration Delay = std::chrono::duration_cast<Duration>(
      ResumeDoubling * std::log2(std::max(1.0, Number)));
  return std::min(Delay, ResumeTime);
}

std::optional<SendPermit> EndpointAvailability::permit(std::string_view Process,
                                                       TimePoint Now) const {
  if (Count == 0)
    return std::nullopt;
  const std::lock_guard Guard(Lock);
  SendPermit Permit;
  Permit.Leaves = Leaving.contains(Process);
  const auto Found = Backoffs.find(Process);
  if (Found == Backoffs.end())
    return Permit.Leaves ? std::optional(Permit) : std::nullopt;
  const Backoff &Asked = Found->second;
  Permit.BacksOff = Now < Asked.ResumesAt;
  Permit.NextAt = Asked.ResumesAt + resumeDelay(double(Asked.Resumed) + 1.0);
  return Permit;
}

bool EndpointAvailability::maySend(std::string_view Process,
                                   TimePoint Now) const {
  const std::optional<SendPermit> Permit = permit(Process, Now);
  return !Permit || (!Permit->Leaves && !Permit->BacksOff);
}

std::optional<Duration>
EndpointAvailability::backoffLeft(std::string_view Process,
                                  TimePoint Now) const {
  if (Count == 0)
    return std::nullopt;
  const std::lock_guard Guard(Lock);
  const auto Found = Backoffs.find(Process);
  if (Found == Backoffs.end() || Found->second.Until <= Now)
    return std::nullopt;
  return Found->second.Until - Now;
}

bool EndpointAvailability::isLeaving(std::string_view Process) const {
  if (Count == 0)
    return false;
  const std::lock_guard Guard(Lock);
  return Leaving.contains(Process);
}

void EndpointAvailability::advance(TimePoint Now) {
  if (Count == 0)
    return;
  const std::lock_guard Guard(Lock);
  for (auto &[Process, Asked] : Backoffs)
    if (Now >= Asked.Until && !std::exchange(Asked.HasEnded, true))
      Changes.push_back(
          BackoffEnded{Process, Asked.Refusals, Asked.Sends, Asked.Withheld});
  std::erase_if(Backoffs, [&](const auto &Entry) {
    return Now >= Entry.second.ResumesAt + ResumeTime;
  });
  std::erase_if(Leaving, [&](const auto &Entry) {
    return Now - Entry.second >= LeavingLife;
  });
  updateCount();
}

std::vector<AvailabilityChange> EndpointAvailability::takeChanges() {
  const std::lock_guard Guard(Lock);
  return std::exchange(Changes, {});
}

AvailabilityTally EndpointAvailability::tally(TimePoint Now) const {
  const std::lock_guard Guard(Lock);
  AvailabilityTally Result;
  for (const auto &[Process, Asked] : Backoffs)
    if (Now < Asked.Until)
      Result.Backoffs.push_back({Process, Asked.Until - Now, Asked.Refusals,
                                 Asked.Sends, Asked.Withheld});
  for (const auto &[Process, HeardAt] : Leaving)
    Result.Leaving.push_back(Process);
  return Result;
}

} // namespace coltsfoottrail
