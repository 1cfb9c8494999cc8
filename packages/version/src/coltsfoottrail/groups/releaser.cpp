#include "coltsfoottrail/groups/releaser.hpp"

#include "coltsfoottrail/groups/spread.hpp"
#include "coltsfoottrail/intents/describe.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// Maximum number of entry hosts that act on one group, one after the other.
constexpr std::size_t MaxActingHosts = 3;
/// Interval between two computations of the rank, which changes as entry hosts
/// join and leave.
constexpr Duration RankRefreshInterval = seconds(5);

/// Finds the declaration of a host, including one that was removed from the
/// declaration while a broken group held it.
const HostSpec *findHostSpec(const State &Agreed, const HostName &Name) {
  if (const HostSpec *Host = findHost(Agreed.Declared, Name))
    return Host;
  const auto DepartedHosts = Agreed.DepartedHosts.find(Name);
  return DepartedHosts == Agreed.DepartedHosts.end() ? nullptr
                                                     : &DepartedHosts->second;
}

} // namespace

struct HostReleaser::PollContext {
  const State &Agreed;
  TimePoint Now;
  EngineTracker &Engines;
  AppendPacer &Appends;
  GroupCommands &Out;
};

void HostReleaser::poll(const State &Agreed, std::span<const GroupId> Ended,
                        TimePoint Now, EngineTracker &Engines,
                        AppendPacer &Appends, GroupCommands &Out) {
  std::erase_if(Groups, [&Agreed](const auto &Entry) {
    return !Agreed.Groups.contains(Entry.first);
  });
  const PollContext Context{Agreed, Now, Engines, Appends, Out};
  for (const GroupId &Id : Ended) {
    const Group &Current = Agreed.Groups.at(Id);
    const auto [Entry, IsNew] = Groups.try_emplace(Id);
    ReleaseState &Release = Entry->second;
    if (IsNew || Release.Phase != Current.Phase) {
      Release = ReleaseState();
      Release.Phase = Current.Phase;
      Release.Since = Now;
      Release.Fence = Agreed.Next;
    }
    if (mayAct(Context, Id, Release))
      releaseGroup(Context, Id, Current, Release);
  }
}

bool HostReleaser::mayAct(const PollContext &Context, const GroupId &Id,
                          ReleaseState &Release) const {
  if (Context.Now >= Release.NextRankRefresh) {
    Release.Rank = rendezvousRank("release/" + textOf(Id),
                                  Context.Agreed.EntryHosts, Self);
    Release.NextRankRefresh = Context.Now + RankRefreshInterval;
  }
  const auto Rank = static_cast<std::int64_t>(Release.Rank);
  return Release.Rank < MaxActingHosts &&
         Context.Now - Release.Since >= Rank * Times.Stagger;
}

void HostReleaser::releaseGroup(const PollContext &Context, const GroupId &Id,
                                const Group &Current,
                                ReleaseState &Release) const {
  // A group that never served has no requests to finish, and a broken one
  // cannot finish them.
  const bool HasWork =
      Current.Phase == GroupPhase::Stopping && !Current.MemberRuns.empty();
  if (!HasWork)
    Release.MayLeave = true;
  for (const HostName &Name : Current.HeldHosts) {
    const HostSpec *Host = findHostSpec(Context.Agreed, Name);
    if (Host == nullptr)
      continue;
    Context.Engines.query(*Host, Context.Now, Context.Out);
    if (Release.MayLeave)
      releaseHost(Context, Id, *Host, Release);
  }
  if (!Release.MayLeave)
    updateIdle(Context, Id, Current, Release);
}

void HostReleaser::updateIdle(const PollContext &Context, const GroupId &Id,
                              const Group &Current,
                              ReleaseState &Release) const {
  bool Idle = Context.Now - Release.Since >= Times.StopSettle;
  for (const HostName &Name : Current.HeldHosts) {
    if (!Context.Engines.seemsCutOff(Context.Now) &&
        Context.Engines.silentFor(Name, Context.Now) >=
            Times.MemberSilenceLimit) {
      Context.Appends.append(
          "break/" + textOf(Id),
          GroupBroken{Id, Name, "does not answer while its group stops"},
          Context.Now, Context.Out);
      return;
    }
    const EngineReport *Report =
        Context.Engines.reportSince(Name, Release.Since + Times.StopSettle);
    Idle = Idle && Report != nullptr && Report->Running == 0 &&
           Report->Queued == 0;
  }
  if (!Idle) {
    Release.IdleSince.reset();
    return;
  }
  if (!Release.IdleSince)
    Release.IdleSince = Context.Now;
  Release.MayLeave = Context.Now - *Release.IdleSince >= Times.IdleFor;
}

void HostReleaser::releaseHost(const PollContext &Context, const GroupId &Id,
                               const HostSpec &Host,
                               ReleaseState &Release) const {
  if (Context.Engines.takeRefusedFence(Host.Name))
    Release.Fence = Context.Agreed.Next;
  const EngineReport *Report =
      Context.Engines.reportSince(Host.Name, Context.Now - Times.ConfirmWindow);
  if (Report == nullptr)
    return;
  const bool HasLeft = Report->Group != Id;
  if (HasLeft && hasLeftForGood(Context, Host, *Report, Release))
    return release(Context, Id, Host.Name);
  const bool FenceObeyed = Report->Fence >= Release.Fence;
  const bool IsLeaving = !HasLeft && Report->Phase == EnginePhase::Leaving;
  const bool MustWait =
      HasLeft ? !Host.RefusesOldFences : IsLeaving && FenceObeyed;
  if (!MustWait)
    Context.Engines.order(Host, EngineOrder{Release.Fence, LeaveGroup{Id}},
                          TimePoint::max(), Context.Now, Context.Out);
}

bool HostReleaser::hasLeftForGood(const PollContext &Context,
                                  const HostSpec &Host,
                                  const EngineReport &Report,
                                  const ReleaseState &Release) const {
  if (Host.RefusesOldFences && Report.Fence >= Release.Fence)
    return true;
  // Failure guarded against: the executor that ordered this engine into the
  // group is paused with another such order in progress. The engine reports
  // that it has left, the host joins another group, and the late order takes it
  // back. Nobody may send that order once the lease has expired by the slowest
  // clock of its holder, so a report that was queried after that remains true.
  const TimePoint LeaseExpired = Release.Since + Times.leaseExpiredAfter();
  return Context.Engines.reportSince(Host.Name, LeaseExpired) != nullptr;
}

void HostReleaser::release(const PollContext &Context, const GroupId &Id,
                           const HostName &Host) const {
  Context.Appends.append("release/" + textOf(Id) + "/" + Host.Text,
                         HostReleased{Host, Id}, Context.Now, Context.Out);
}

} // namespace coltsfoottrail
