#include "coltsfoottrail/checkpoint/schedule.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <string>

namespace coltsfoottrail {

namespace {
/// A checkpoint is due when a quarter of the retention has passed: three more
/// may fail before the records that it stands for are trimmed.
constexpr int ShareOfRetention = 4;
} // namespace

CheckpointSchedule::CheckpointSchedule(HostName Name, CheckpointPolicy Wanted)
    : Self(std::move(Name)), Policy(Wanted) {}

bool CheckpointSchedule::shouldWrite(const State &Now, Offset Horizon,
                                     TimePoint At) {
  if (!NewestSince || !(Newest == Now.Checkpoint)) {
    Newest = Now.Checkpoint;
    NewestSince = At;
    DueSince.reset();
  }
  if (!isDue(Now, Horizon, At))
    return false;
  if (!DueSince)
    DueSince = At;
  if (At - *DueSince < Policy.Stagger * static_cast<int>(rank(Now)))
    return false;
  // Counted anew from here: when no announcement comes, as when this host
  // cannot append, it tries again after all others have had their turn.
  DueSince = At + Policy.Stagger * static_cast<int>(Now.EntryHosts.size() + 1) -
             Policy.Stagger * static_cast<int>(rank(Now));
  return true;
}

bool CheckpointSchedule::isDue(const State &Now, Offset Horizon,
                               TimePoint At) const {
  if (Now.Next <= Newest.AnnouncedAt + 1) {
    // Nothing but the announcement itself is new; but the parts grow old too.
    return Newest.StateNext > 0 &&
           At - *NewestSince >= Policy.Retention / ShareOfRetention;
  }
  if (Now.Next - Newest.StateNext >= Policy.EveryRecords)
    return true;
  if (At - *NewestSince >= Policy.Retention / ShareOfRetention)
    return true;
  const Offset Kept = Now.Next - std::min(Horizon, Now.Next);
  return Horizon > 0 && Now.Next - Newest.StateNext > Kept / 2;
}

std::size_t CheckpointSchedule::rank(const State &Now) const {
  const std::string Key = "checkpoint/" + std::to_string(Newest.StateNext);
  const std::uint64_t Own = rendezvousWeight(Key, Self.Text);
  return static_cast<std::size_t>(
      std::ranges::count_if(Now.EntryHosts, [&](const auto &Entry) {
        return rendezvousWeight(Key, Entry.first.Text) > Own;
      }));
}

void DigestHistory::note(Offset Next, std::uint64_t Digest) {
  Kept.emplace_back(Next, Digest);
  if (Kept.size() > MostKept)
    Kept.pop_front();
}

std::optional<bool>
DigestHistory::matches(const AnnouncedCheckpoint &Announced) const {
  const auto Found = std::ranges::find(
      Kept, Announced.StateNext, &std::pair<Offset, std::uint64_t>::first);
  if (Found == Kept.end())
    return std::nullopt;
  return Found->second == Announced.Digest;
}

} // namespace coltsfoottrail
