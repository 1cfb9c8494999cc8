#include "coltsfoottrail/checkpoint/schedule.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <string>

namespace coltsfoottrail {

namespace {
/// A checkpoint is due when a quarter of the retention has passed: three
/// further ones may fail before the records that it covers are trimmed.
constexpr int RetentionDivisor = 4;
} // namespace

CheckpointSchedule::CheckpointSchedule(HostName Name,
                                       CheckpointPolicy DuePolicy)
    : Self(std::move(Name)), Policy(DuePolicy) {}

bool CheckpointSchedule::shouldWrite(const State &Current, Offset Horizon,
                                     TimePoint Now) {
  if (!NewestSince || !(Newest == Current.Checkpoint)) {
    Newest = Current.Checkpoint;
    NewestSince = Now;
    DueSince.reset();
  }
  if (!isDue(Current, Horizon, Now))
    return false;
  if (!DueSince)
    DueSince = Now;
  if (Now - *DueSince < Policy.Stagger * static_cast<int>(rank(Current)))
    return false;
  // Restarts the turn: if no announcement follows, for example because this
  // host cannot append, it tries again after all other hosts have had their
  // turn.
  DueSince = Now +
             Policy.Stagger * static_cast<int>(Current.EntryHosts.size() + 1) -
             Policy.Stagger * static_cast<int>(rank(Current));
  return true;
}

bool CheckpointSchedule::isDue(const State &Current, Offset Horizon,
                               TimePoint Now) const {
  if (Current.Next <= Newest.AnnouncedAt + 1) {
    // Only the announcement itself is new. The checkpoint must still be renewed
    // before the log trims its parts.
    return Newest.StateNext > 0 &&
           Now - *NewestSince >= Policy.Retention / RetentionDivisor;
  }
  if (Current.Next - Newest.StateNext >= Policy.RecordInterval)
    return true;
  if (Now - *NewestSince >= Policy.Retention / RetentionDivisor)
    return true;
  const Offset KeptRecords = Current.Next - std::min(Horizon, Current.Next);
  return Horizon > 0 && Current.Next - Newest.StateNext > KeptRecords / 2;
}

std::size_t CheckpointSchedule::rank(const State &Current) const {
  const std::string Key = "checkpoint/" + std::to_string(Newest.StateNext);
  const std::uint64_t OwnWeight = rendezvousWeight(Key, Self.Text);
  return static_cast<std::size_t>(
      std::ranges::count_if(Current.EntryHosts, [&](const auto &Entry) {
        return rendezvousWeight(Key, Entry.first.Text) > OwnWeight;
      }));
}

void DigestHistory::note(Offset Next, std::uint64_t Digest) {
  Entries.emplace_back(Next, Digest);
  if (Entries.size() > MaxEntries)
    Entries.pop_front();
}

std::optional<bool>
DigestHistory::matches(const AnnouncedCheckpoint &Announced) const {
  const auto It = std::ranges::find(Entries, Announced.StateNext,
                                    &std::pair<Offset, std::uint64_t>::first);
  if (It == Entries.end())
    return std::nullopt;
  return It->second == Announced.Digest;
}

} // namespace coltsfoottrail
