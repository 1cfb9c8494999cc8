#include "coltsfoottrail/groups/watch.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/intents/describe.hpp"

#include <algorithm>

namespace coltsfoottrail {

GroupCommands GroupWatch::poll(const State &Agreed, const WatchPlan &Plan,
                               const CountSilent &CountOthers, TimePoint Now) {
  GroupCommands Out;
  if (SeenNext != Agreed.Next || SeenDigest != Plan.digest())
    follow(Agreed, Plan, Now);
  for (auto &[Id, Group] : Groups) {
    queryMembers(Id, Group, Now, Out);
    declareIfBroken(Id, healthOf(Group, Now), Plan, CountOthers, Now, Out);
  }
  return Out;
}

void GroupWatch::follow(const State &Agreed, const WatchPlan &Plan,
                        TimePoint Now) {
  SeenNext = Agreed.Next;
  SeenDigest = Plan.digest();
  const std::set<GroupId> &OwnGroups = Plan.watchedBy(Self);
  std::erase_if(Groups, [&OwnGroups](const auto &Entry) {
    return !OwnGroups.contains(Entry.first);
  });
  for (const GroupId &Id : OwnGroups) {
    const auto Serving = Agreed.Groups.find(Id);
    if (Serving != Agreed.Groups.end() && !Groups.contains(Id))
      Groups.emplace(Id, startWatching(Agreed, Serving->second, Now));
  }
}

GroupWatch::WatchedGroup GroupWatch::startWatching(const State &Agreed,
                                                   const Group &Source,
                                                   TimePoint Now) const {
  WatchedGroup Group;
  for (std::size_t Rank = 0; Rank < Source.Spec.Members.size(); ++Rank) {
    WatchedMember Member;
    Member.Host = Source.Spec.Members[Rank];
    if (const HostSpec *Host = findHost(Agreed.Declared, Member.Host))
      Member.Address = EngineAddress{Host->Address, Host->Port};
    if (Rank < Source.MemberRuns.size())
      Member.Run = Source.MemberRuns[Rank];
    // Queries are spread over the interval, so that they are not sent in one
    // burst.
    const std::uint64_t Hash = rendezvousWeight(Member.Host.Text, Self.Text);
    const auto Interval = static_cast<std::uint64_t>(Times.AskEvery.count());
    Member.NextQuery =
        Now + Duration(static_cast<Duration::rep>(Hash % Interval));
    Group.Members.push_back(std::move(Member));
  }
  return Group;
}

void GroupWatch::queryMembers(const GroupId &Id, WatchedGroup &Group,
                              TimePoint Now, GroupCommands &Out) {
  for (std::size_t Rank = 0; Rank < Group.Members.size(); ++Rank) {
    WatchedMember &Member = Group.Members[Rank];
    if (Member.QueryId || Now < Member.NextQuery)
      continue;
    const CommandId Query = Appends.nextId();
    Member.QueryId = Query;
    Member.QuerySentAt = Now;
    Member.NextQuery =
        std::max(Member.NextQuery + Times.AskEvery, Now + Times.AskEvery / 2);
    PendingQueries[Query] = {Id, Rank};
    Out.emplace_back(
        AskEngine{Query, Member.Host, Member.Address, Times.AskTimeout});
  }
}

void GroupWatch::declareIfBroken(const GroupId &Id, const GroupHealth &Health,
                                 const WatchPlan &Plan,
                                 const CountSilent &CountOthers, TimePoint Now,
                                 GroupCommands &Out) {
  bool Broken = Health.Broken;
  if (!Broken && Health.SilentFor >= Times.LossAfter) {
    const std::size_t Watchers = Plan.watchersOf(Id).size();
    Broken = 1 + CountOthers(Id) >= Watchers;
  }
  if (Broken)
    Appends.append("break/" + textOf(Id),
                   GroupBroken{Id, Health.LostMember, Health.Why}, Now, Out);
}

void GroupWatch::recordReport(CommandId Query,
                              const std::optional<EngineReport> &Report,
                              TimePoint Now) {
  const auto Pending = PendingQueries.find(Query);
  if (Pending == PendingQueries.end())
    return;
  const auto [Id, Rank] = Pending->second;
  PendingQueries.erase(Pending);
  const auto Entry = Groups.find(Id);
  if (Entry == Groups.end() || Entry->second.Members[Rank].QueryId != Query)
    return;
  WatchedMember &Member = Entry->second.Members[Rank];
  Member.QueryId.reset();
  if (Report)
    return applyReport(Id, Entry->second, Member, *Report);
  if (!Member.SilentSince)
    Member.SilentSince = Member.QuerySentAt;
  Member.NextQuery = std::min(Member.NextQuery, Now + Times.AskEvery / 2);
}

void GroupWatch::applyReport(const GroupId &Id, WatchedGroup &Group,
                             WatchedMember &Member,
                             const EngineReport &Report) {
  Member.SilentSince.reset();
  const bool OtherRun = Report.Run != Member.Run;
  if (OtherRun || Report.Group != Id) {
    Group.Lost = Member.Host;
    Group.Reason = OtherRun ? "its engine has restarted"
                            : "its engine serves this group no more";
    return;
  }
  // A report of an engine that leaves or loads neither proves a loss nor lets
  // the watcher vouch for the group.
  if (Report.Phase == EnginePhase::Ready)
    Member.HealthyAt = Member.QuerySentAt;
}

void GroupWatch::suspect(const GroupId &Id, TimePoint Now) {
  const auto Entry = Groups.find(Id);
  if (Entry == Groups.end())
    return;
  for (WatchedMember &Member : Entry->second.Members)
    Member.NextQuery = std::min(Member.NextQuery, Now);
}

std::map<GroupId, GroupHealth> GroupWatch::healthByGroup(TimePoint Now) const {
  std::map<GroupId, GroupHealth> HealthById;
  for (const auto &[Id, Group] : Groups)
    HealthById.emplace_hint(HealthById.end(), Id, healthOf(Group, Now));
  return HealthById;
}

bool GroupWatch::isHealthy(const GroupHealth &Health, TimePoint Now) const {
  return !Health.Broken && Health.HealthySince &&
         Now - *Health.HealthySince <= Times.healthyWithin();
}

GroupHealth GroupWatch::healthOf(const WatchedGroup &Group,
                                 TimePoint Now) const {
  GroupHealth Health;
  if (Group.Lost) {
    Health.Broken = true;
    Health.LostMember = *Group.Lost;
    Health.Why = Group.Reason;
    return Health;
  }
  bool AllAnswered = true;
  for (const WatchedMember &Member : Group.Members) {
    if (Member.SilentSince && Now - *Member.SilentSince > Health.SilentFor) {
      Health.SilentFor = Now - *Member.SilentSince;
      Health.LostMember = Member.Host;
      Health.Why = "its engine does not answer";
    }
    if (!Member.HealthyAt)
      AllAnswered = false;
    else if (!Health.HealthySince || *Member.HealthyAt < *Health.HealthySince)
      Health.HealthySince = Member.HealthyAt;
  }
  if (!AllAnswered)
    Health.HealthySince.reset();
  return Health;
}

} // namespace coltsfoottrail
