#include "coltsfoottrail/groups/watch.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/intents/describe.hpp"

#include <algorithm>

namespace coltsfoottrail {

GroupCommands GroupWatch::poll(const State &Now, const WatchPlan &Plan,
                               const CountSilent &OthersSilent, TimePoint At) {
  GroupCommands Out;
  if (FollowedNext != Now.Next || FollowedDigest != Plan.digest())
    follow(Now, Plan, At);
  for (auto &[Id, Over] : Groups) {
    ask(Id, Over, At, Out);
    judge(Id, sightOf(Over, At), Plan, OthersSilent, At, Out);
  }
  return Out;
}

void GroupWatch::follow(const State &Now, const WatchPlan &Plan, TimePoint At) {
  FollowedNext = Now.Next;
  FollowedDigest = Plan.digest();
  const std::set<GroupId> &Mine = Plan.watchedBy(Self);
  std::erase_if(Groups, [&Mine](const auto &Entry) {
    return !Mine.contains(Entry.first);
  });
  for (const GroupId &Id : Mine) {
    const auto Known = Now.Groups.find(Id);
    if (Known != Now.Groups.end() && !Groups.contains(Id))
      Groups.emplace(Id, start(Now, Known->second, At));
  }
}

GroupWatch::Watched GroupWatch::start(const State &Now, const Group &Known,
                                      TimePoint At) const {
  Watched Over;
  for (std::size_t Rank = 0; Rank < Known.Spec.Members.size(); ++Rank) {
    Member Of;
    Of.Host = Known.Spec.Members[Rank];
    if (const HostSpec *Host = findHost(Now.Declared, Of.Host))
      Of.Address = EngineAddress{Host->Address, Host->Port};
    if (Rank < Known.MemberRuns.size())
      Of.Run = Known.MemberRuns[Rank];
    // Questions are spread over the interval, so that no burst leaves at once.
    const std::uint64_t Spread = rendezvousWeight(Of.Host.Text, Self.Text);
    const auto Interval = static_cast<std::uint64_t>(Times.AskEvery.count());
    Of.NextAsk = At + Duration(static_cast<Duration::rep>(Spread % Interval));
    Over.Members.push_back(std::move(Of));
  }
  return Over;
}

void GroupWatch::ask(const GroupId &Id, Watched &Over, TimePoint At,
                     GroupCommands &Out) {
  for (std::size_t Rank = 0; Rank < Over.Members.size(); ++Rank) {
    Member &Of = Over.Members[Rank];
    if (Of.Asking || At < Of.NextAsk)
      continue;
    const CommandId Which = Pace.drawTicket();
    Of.Asking = Which;
    Of.AskedAt = At;
    Of.NextAsk = std::max(Of.NextAsk + Times.AskEvery, At + Times.AskEvery / 2);
    Asked[Which] = {Id, Rank};
    Out.emplace_back(AskEngine{Which, Of.Host, Of.Address, Times.AskTimeout});
  }
}

void GroupWatch::judge(const GroupId &Id, const GroupSight &Sight,
                       const WatchPlan &Plan, const CountSilent &OthersSilent,
                       TimePoint At, GroupCommands &Out) {
  bool Broken = Sight.Broken;
  if (!Broken && Sight.Silent >= Times.LossAfter) {
    const std::size_t Watchers = Plan.watchersOf(Id).size();
    Broken = 1 + OthersSilent(Id) >= Watchers;
  }
  if (Broken)
    Pace.append("break/" + textOf(Id), GroupBroken{Id, Sight.Lost, Sight.Why},
                At, Out);
}

void GroupWatch::reported(CommandId Which,
                          const std::optional<EngineReport> &Report,
                          TimePoint At) {
  const auto Found = Asked.find(Which);
  if (Found == Asked.end())
    return;
  const auto [Id, Rank] = Found->second;
  Asked.erase(Found);
  const auto Entry = Groups.find(Id);
  if (Entry == Groups.end() || Entry->second.Members[Rank].Asking != Which)
    return;
  Member &Of = Entry->second.Members[Rank];
  Of.Asking.reset();
  if (Report)
    return take(Id, Entry->second, Of, *Report);
  if (!Of.SilentSince)
    Of.SilentSince = Of.AskedAt;
  Of.NextAsk = std::min(Of.NextAsk, At + Times.AskEvery / 2);
}

void GroupWatch::take(const GroupId &Id, Watched &Over, Member &Of,
                      const EngineReport &Report) {
  Of.SilentSince.reset();
  const bool OtherRun = Report.Run != Of.Run;
  if (OtherRun || Report.Group != Id) {
    Over.Lost = Of.Host;
    Over.Why = OtherRun ? "its engine has restarted"
                        : "its engine serves this group no more";
    return;
  }
  // An engine that leaves or loads is no proof of a loss, but no answer to
  // vouch for either.
  if (Report.Phase == EnginePhase::Ready)
    Of.WellAt = Of.AskedAt;
}

void GroupWatch::suspect(const GroupId &Group, TimePoint At) {
  const auto Found = Groups.find(Group);
  if (Found == Groups.end())
    return;
  for (Member &Of : Found->second.Members)
    Of.NextAsk = std::min(Of.NextAsk, At);
}

std::map<GroupId, GroupSight> GroupWatch::sights(TimePoint At) const {
  std::map<GroupId, GroupSight> All;
  for (const auto &[Id, Over] : Groups)
    All.emplace_hint(All.end(), Id, sightOf(Over, At));
  return All;
}

bool GroupWatch::isWell(const GroupSight &Sight, TimePoint At) const {
  return !Sight.Broken && Sight.WellSince &&
         At - *Sight.WellSince <= Times.wellWithin();
}

GroupSight GroupWatch::sightOf(const Watched &Over, TimePoint At) const {
  GroupSight Sight;
  if (Over.Lost) {
    Sight.Broken = true;
    Sight.Lost = *Over.Lost;
    Sight.Why = Over.Why;
    return Sight;
  }
  bool AllAnswered = true;
  for (const Member &Of : Over.Members) {
    if (Of.SilentSince && At - *Of.SilentSince > Sight.Silent) {
      Sight.Silent = At - *Of.SilentSince;
      Sight.Lost = Of.Host;
      Sight.Why = "its engine does not answer";
    }
    if (!Of.WellAt)
      AllAnswered = false;
    else if (!Sight.WellSince || *Of.WellAt < *Sight.WellSince)
      Sight.WellSince = Of.WellAt;
  }
  if (!AllAnswered)
    Sight.WellSince.reset();
  return Sight;
}

} // namespace coltsfoottrail
