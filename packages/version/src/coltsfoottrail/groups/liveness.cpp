#include "coltsfoottrail/groups/liveness.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::size_t KeptPlans = 3;
constexpr std::size_t KeptBeats = 64;

} // namespace

void GroupLiveness::follow(const State &Now, const GroupWatch &Own,
                           TimePoint At) {
  if (Through != Now.Next || Plans.empty()) {
    followPlan(Now);
    if (GroupsAt != Now.LastChange)
      followGroups(Now);
    GroupsAt = Now.LastChange;
    Through = Now.Next;
    applyReached(At);
  }
  Doubted = plan().watchedBy(Self);
  Silent.clear();
  Broken.clear();
  OldestWell = At;
  for (const auto &[Id, Sight] : Own.healthByGroup(At)) {
    const auto Found = Groups.find(Id);
    if (Found == Groups.end())
      continue;
    Found->second.Until.erase(Self);
    if (Sight.Broken) {
      Found->second.Broken = true;
      Broken.insert(Id);
      Doubted.erase(Id);
      Urgent = ToldBroken.insert(Id).second || Urgent;
    } else if (Own.isHealthy(Sight, At)) {
      Found->second.Until[Self] = *Sight.HealthySince + Times.VouchLifetime;
      OldestWell = std::min(OldestWell, *Sight.HealthySince);
      Doubted.erase(Id);
    } else if (Sight.SilentFor >= Times.LossAfter) {
      Silent.insert(Id);
    }
  }
}

void GroupLiveness::applyReached(TimePoint At) {
  for (auto Each = Ahead.begin(); Each != Ahead.end();) {
    if (Each->second.StateNext > Through) {
      ++Each;
      continue;
    }
    apply(Each->second, At);
    Each = Ahead.erase(Each);
  }
}

void GroupLiveness::followPlan(const State &Now) {
  const std::uint64_t Digest = WatchPlan::digestOf(Now.EntryHosts);
  if (Plans.empty() || Plans.back().digest() != Digest) {
    Plans.emplace_back(Now.EntryHosts);
    Plans.back().follow(Now);
  }
  if (Plans.size() > KeptPlans)
    Plans.pop_front();
  if (GroupsAt != Now.LastChange)
    for (WatchPlan &Each : Plans)
      Each.follow(Now);
  std::erase_if(Peers, [&Now](const auto &Entry) {
    return !Now.EntryHosts.contains(Entry.first);
  });
  std::erase_if(Ahead, [&Now](const auto &Entry) {
    return !Now.EntryHosts.contains(Entry.first);
  });
}

void GroupLiveness::followGroups(const State &Now) {
  const auto Serves = [&Now](const GroupId &Id) {
    const auto Found = Now.Groups.find(Id);
    return Found != Now.Groups.end() &&
           Found->second.Phase == GroupPhase::Serving;
  };
  std::erase_if(Groups,
                [&](const auto &Entry) { return !Serves(Entry.first); });
  std::erase_if(ToldBroken, [&](const GroupId &Id) { return !Serves(Id); });
  for (const auto &[Id, Known] : Now.Groups)
    if (Known.Phase == GroupPhase::Serving)
      Groups.try_emplace(Id, Serving{Now.Next, {}, {}, false});
}

LivenessBeat GroupLiveness::beatFor(const HostName &Peer, TimePoint At) {
  // One number serves the peers that get their beats together. It counts from
  // the first of them, which is never too late.
  if (Sent.empty() || At - Sent.back().second >= Times.BeatEvery / 2)
    Sent.emplace_back(++Sequence, At);
  if (Sent.size() > KeptBeats)
    Sent.pop_front();
  LivenessBeat Beat;
  Beat.From = Self;
  Beat.Id = BeatId{Run, Sequence};
  Beat.PlanDigest = plan().digest();
  Beat.StateNext = Through;
  Beat.Broken.assign(Broken.begin(), Broken.end());
  Beat.Doubted.assign(Doubted.begin(), Doubted.end());
  Beat.Silent.assign(Silent.begin(), Silent.end());
  const bool TooMany = Beat.Doubted.size() > MaxListedGroups ||
                       Beat.Broken.size() > MaxListedGroups;
  if (TooMany) {
    Beat.Doubted.clear();
    Beat.Silent.clear();
    Beat.Broken.clear();
    return Beat;
  }
  Beat.Echo = echoFor(Peer, OldestWell);
  return Beat;
}

bool GroupLiveness::takeUrgent() { return std::exchange(Urgent, false); }

BeatId GroupLiveness::echoFor(const HostName &Peer, TimePoint Oldest) const {
  const auto Found = Peers.find(Peer);
  if (Found == Peers.end())
    return BeatId{};
  BeatId Latest;
  for (const Heard &Each : Found->second)
    if (Each.At <= Oldest)
      Latest = Each.Beat;
  return Latest;
}

void GroupLiveness::receiveBeat(const LivenessBeat &Beat, TimePoint At) {
  std::deque<Heard> &Past = Peers[Beat.From];
  if (!Past.empty() && Past.back().Beat.Run != Beat.Id.Run)
    Past.clear();
  if (!Past.empty() && Past.back().Beat.Sequence > Beat.Id.Sequence)
    return;
  if (Past.empty() || Past.back().Beat.Sequence < Beat.Id.Sequence)
    Past.push_back(Heard{Beat.Id, At});
  if (Past.size() > KeptBeats)
    Past.pop_front();
  for (const GroupId &Id : Beat.Broken)
    if (const auto Found = Groups.find(Id); Found != Groups.end())
      Found->second.Broken = true;
  // Failure guarded against: the sender has seen that a group is over and
  // watches over it no more, so its beat lists it nowhere, and a receiver that
  // has yet to see that would take it for well. It waits until it has.
  if (Beat.StateNext > Through)
    Ahead.insert_or_assign(Beat.From, Beat);
  else
    apply(Beat, At);
}

void GroupLiveness::apply(const LivenessBeat &Beat, TimePoint At) {
  const WatchPlan *Plan = planOf(Beat.PlanDigest);
  if (Plan == nullptr)
    return;
  const auto Left = leftAt(Beat.Echo);
  const std::set<GroupId> Doubts(Beat.Doubted.begin(), Beat.Doubted.end());
  const std::set<GroupId> Lost(Beat.Silent.begin(), Beat.Silent.end());
  for (const GroupId &Id : Plan->watchedBy(Beat.From)) {
    const auto Found = Groups.find(Id);
    if (Found == Groups.end() || Beat.StateNext < Found->second.Seen)
      continue;
    Serving &Of = Found->second;
    Of.SilentAt.erase(Beat.From);
    if (Lost.contains(Id))
      Of.SilentAt[Beat.From] = At;
    if (Doubts.contains(Id))
      Of.Until.erase(Beat.From);
    else if (Left) {
      TimePoint &Until = Of.Until[Beat.From];
      Until = std::max(Until, *Left + Times.VouchLifetime);
    }
  }
}

bool GroupLiveness::mayRoute(const GroupId &Group, TimePoint At) const {
  const auto Found = Groups.find(Group);
  if (Found == Groups.end() || Found->second.Broken)
    return false;
  const auto &Until = Found->second.Until;
  return std::any_of(Until.begin(), Until.end(),
                     [At](const auto &Entry) { return At < Entry.second; });
}

std::map<GroupId, TimePoint> GroupLiveness::usableUntil() const {
  std::map<GroupId, TimePoint> All;
  for (const auto &[Id, Of] : Groups) {
    TimePoint Latest = TimePoint::min();
    for (const auto &[Watcher, Until] : Of.Until)
      Latest = std::max(Latest, Until);
    if (!Of.Broken && Latest > TimePoint::min())
      All.emplace_hint(All.end(), Id, Latest);
  }
  return All;
}

std::size_t GroupLiveness::countOtherSilentWatchers(const GroupId &Group,
                                                    TimePoint At) const {
  const auto Found = Groups.find(Group);
  if (Found == Groups.end())
    return 0;
  std::size_t Count = 0;
  for (const auto &[Watcher, Since] : Found->second.SilentAt)
    Count += Watcher != Self && At - Since < Times.VouchLifetime ? 1 : 0;
  return Count;
}

const WatchPlan *GroupLiveness::planOf(std::uint64_t Digest) const {
  for (const WatchPlan &Each : Plans)
    if (Each.digest() == Digest)
      return &Each;
  return nullptr;
}

std::optional<TimePoint> GroupLiveness::leftAt(const BeatId &Own) const {
  if (Own.Run != Run)
    return std::nullopt;
  for (const auto &[Number, At] : Sent)
    if (Number == Own.Sequence)
      return At;
  return std::nullopt;
}

} // namespace coltsfoottrail
