#include "coltsfoottrail/groups/liveness.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxPlans = 3;
constexpr std::size_t MaxBeats = 64;

} // namespace

void GroupLiveness::follow(const State &Agreed, const GroupWatch &Own,
                           TimePoint Now) {
  if (StateNext != Agreed.Next || Plans.empty()) {
    followPlan(Agreed);
    if (AppliedChange != Agreed.LastChange)
      followGroups(Agreed);
    AppliedChange = Agreed.LastChange;
    StateNext = Agreed.Next;
    applyDeferred(Now);
  }
  Doubted = plan().watchedBy(Self);
  Silent.clear();
  Broken.clear();
  OldestHealthySince = Now;
  for (const auto &[Id, Health] : Own.healthByGroup(Now)) {
    const auto Group = Groups.find(Id);
    if (Group == Groups.end())
      continue;
    Group->second.VouchedUntil.erase(Self);
    if (Health.Broken) {
      Group->second.Broken = true;
      Broken.insert(Id);
      Doubted.erase(Id);
      Urgent = ReportedBroken.insert(Id).second || Urgent;
    } else if (Own.isHealthy(Health, Now)) {
      Group->second.VouchedUntil[Self] =
          *Health.HealthySince + Times.VouchLifetime;
      OldestHealthySince = std::min(OldestHealthySince, *Health.HealthySince);
      Doubted.erase(Id);
    } else if (Health.SilentFor >= Times.LossAfter) {
      Silent.insert(Id);
    }
  }
}

void GroupLiveness::applyDeferred(TimePoint Now) {
  for (auto Entry = Deferred.begin(); Entry != Deferred.end();) {
    if (Entry->second.StateNext > StateNext) {
      ++Entry;
      continue;
    }
    applyBeat(Entry->second, Now);
    Entry = Deferred.erase(Entry);
  }
}

void GroupLiveness::followPlan(const State &Agreed) {
  const std::uint64_t Digest = WatchPlan::digestOf(Agreed.EntryHosts);
  if (Plans.empty() || Plans.back().digest() != Digest) {
    Plans.emplace_back(Agreed.EntryHosts);
    Plans.back().follow(Agreed);
  }
  if (Plans.size() > MaxPlans)
    Plans.pop_front();
  if (AppliedChange != Agreed.LastChange)
    for (WatchPlan &Plan : Plans)
      Plan.follow(Agreed);
  std::erase_if(Peers, [&Agreed](const auto &Entry) {
    return !Agreed.EntryHosts.contains(Entry.first);
  });
  std::erase_if(Deferred, [&Agreed](const auto &Entry) {
    return !Agreed.EntryHosts.contains(Entry.first);
  });
}

void GroupLiveness::followGroups(const State &Agreed) {
  const auto Serves = [&Agreed](const GroupId &Id) {
    const auto Found = Agreed.Groups.find(Id);
    return Found != Agreed.Groups.end() &&
           Found->second.Phase == GroupPhase::Serving;
  };
  std::erase_if(Groups,
                [&](const auto &Entry) { return !Serves(Entry.first); });
  std::erase_if(ReportedBroken, [&](const GroupId &Id) { return !Serves(Id); });
  for (const auto &[Id, Current] : Agreed.Groups)
    if (Current.Phase == GroupPhase::Serving)
      Groups.try_emplace(Id, ServingGroup{Agreed.Next, {}, {}, false});
}

LivenessBeat GroupLiveness::beatFor(const HostName &Peer, TimePoint Now) {
  // Heartbeats that go out to the peers together share one sequence number. It
  // counts from when the first of them is made, which is never too late.
  if (Sent.empty() || Now - Sent.back().second >= Times.BeatEvery / 2)
    Sent.emplace_back(++Sequence, Now);
  if (Sent.size() > MaxBeats)
    Sent.pop_front();
  LivenessBeat Beat;
  Beat.From = Self;
  Beat.Id = BeatId{Run, Sequence};
  Beat.PlanDigest = plan().digest();
  Beat.StateNext = StateNext;
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
  Beat.Echo = echoFor(Peer, OldestHealthySince);
  return Beat;
}

bool GroupLiveness::takeUrgent() { return std::exchange(Urgent, false); }

BeatId GroupLiveness::echoFor(const HostName &Peer, TimePoint Oldest) const {
  const auto Entry = Peers.find(Peer);
  if (Entry == Peers.end())
    return BeatId{};
  BeatId Latest;
  for (const ReceivedBeat &Received : Entry->second)
    if (Received.ReceivedAt <= Oldest)
      Latest = Received.Beat;
  return Latest;
}

void GroupLiveness::receiveBeat(const LivenessBeat &Beat, TimePoint Now) {
  std::deque<ReceivedBeat> &History = Peers[Beat.From];
  if (!History.empty() && History.back().Beat.Run != Beat.Id.Run)
    History.clear();
  if (!History.empty() && History.back().Beat.Sequence > Beat.Id.Sequence)
    return;
  if (History.empty() || History.back().Beat.Sequence < Beat.Id.Sequence)
    History.push_back(ReceivedBeat{Beat.Id, Now});
  if (History.size() > MaxBeats)
    History.pop_front();
  for (const GroupId &Id : Beat.Broken)
    if (const auto Entry = Groups.find(Id); Entry != Groups.end())
      Entry->second.Broken = true;
  // Failure guarded against: the sender has seen that a group has ended and no
  // longer watches it, so its heartbeat does not list the group, and a receiver
  // that has yet to see the end would take the group for healthy. The heartbeat
  // is deferred until the receiver has reached the state.
  if (Beat.StateNext > StateNext)
    Deferred.insert_or_assign(Beat.From, Beat);
  else
    applyBeat(Beat, Now);
}

void GroupLiveness::applyBeat(const LivenessBeat &Beat, TimePoint Now) {
  const WatchPlan *Plan = findPlan(Beat.PlanDigest);
  if (Plan == nullptr)
    return;
  const auto EchoSentAt = sentAt(Beat.Echo);
  const std::set<GroupId> DoubtedIds(Beat.Doubted.begin(), Beat.Doubted.end());
  const std::set<GroupId> LostIds(Beat.Silent.begin(), Beat.Silent.end());
  for (const GroupId &Id : Plan->watchedBy(Beat.From)) {
    const auto Entry = Groups.find(Id);
    if (Entry == Groups.end() || Beat.StateNext < Entry->second.ServingSince)
      continue;
    ServingGroup &Group = Entry->second;
    Group.ReportedLostAt.erase(Beat.From);
    if (LostIds.contains(Id))
      Group.ReportedLostAt[Beat.From] = Now;
    if (DoubtedIds.contains(Id))
      Group.VouchedUntil.erase(Beat.From);
    else if (EchoSentAt) {
      TimePoint &Limit = Group.VouchedUntil[Beat.From];
      Limit = std::max(Limit, *EchoSentAt + Times.VouchLifetime);
    }
  }
}

bool GroupLiveness::mayRoute(const GroupId &Group, TimePoint Now) const {
  const auto Current = Groups.find(Group);
  if (Current == Groups.end() || Current->second.Broken)
    return false;
  const auto &VouchedUntil = Current->second.VouchedUntil;
  return std::any_of(VouchedUntil.begin(), VouchedUntil.end(),
                     [Now](const auto &Entry) { return Now < Entry.second; });
}

std::map<GroupId, TimePoint> GroupLiveness::usableUntil() const {
  std::map<GroupId, TimePoint> UsableTimes;
  for (const auto &[Id, Current] : Groups) {
    TimePoint Latest = TimePoint::min();
    for (const auto &[Watcher, VouchedUntil] : Current.VouchedUntil)
      Latest = std::max(Latest, VouchedUntil);
    if (!Current.Broken && Latest > TimePoint::min())
      UsableTimes.emplace_hint(UsableTimes.end(), Id, Latest);
  }
  return UsableTimes;
}

std::size_t GroupLiveness::countOtherSilentWatchers(const GroupId &Group,
                                                    TimePoint Now) const {
  const auto Entry = Groups.find(Group);
  if (Entry == Groups.end())
    return 0;
  std::size_t Count = 0;
  for (const auto &[Watcher, Since] : Entry->second.ReportedLostAt)
    Count += Watcher != Self && Now - Since < Times.VouchLifetime ? 1 : 0;
  return Count;
}

const WatchPlan *GroupLiveness::findPlan(std::uint64_t Digest) const {
  for (const WatchPlan &Plan : Plans)
    if (Plan.digest() == Digest)
      return &Plan;
  return nullptr;
}

std::optional<TimePoint> GroupLiveness::sentAt(const BeatId &Beat) const {
  if (Beat.Run != Run)
    return std::nullopt;
  for (const auto &[BeatNumber, SentTime] : Sent)
    if (BeatNumber == Beat.Sequence)
      return SentTime;
  return std::nullopt;
}

} // namespace coltsfoottrail
