#include "coltsfoottrail/groups/agent.hpp"

#include <utility>

namespace coltsfoottrail {

namespace {

/// Set in the command ids of the watch to distinguish them from those of the
/// executor.
constexpr CommandId WatchIdBit = CommandId{1} << 63U;

bool isWatchCommand(CommandId Id) { return (Id & WatchIdBit) != 0; }

} // namespace

GroupDecisions GroupAgent::poll(const State &Agreed, TimePoint Now) {
  GroupDecisions Decisions;
  Decisions.Commands = Executor.poll(Agreed, Now);
  pollWatch(Agreed, Now, Decisions);
  addBeats(Agreed, Now, Decisions);
  return Decisions;
}

void GroupAgent::pollWatch(const State &Agreed, TimePoint Now,
                           GroupDecisions &Decisions) {
  Liveness.follow(Agreed, Watch, Now);
  const auto CountOthers = [this, Now](const GroupId &Group) {
    return Liveness.countOtherSilentWatchers(Group, Now);
  };
  for (GroupCommand &Command :
       Watch.poll(Agreed, Liveness.plan(), CountOthers, Now)) {
    std::visit([](auto &Variant) { Variant.Id |= WatchIdBit; }, Command);
    Decisions.Commands.push_back(std::move(Command));
  }
  Liveness.follow(Agreed, Watch, Now);
}

void GroupAgent::addBeats(const State &Agreed, TimePoint Now,
                          GroupDecisions &Decisions) {
  const bool Urgent = Liveness.takeUrgent();
  if (Now < NextBeat && !Urgent)
    return;
  NextBeat = Now + Times.BeatEvery;
  for (const auto &[Name, Host] : Agreed.EntryHosts)
    if (Name != Self)
      Decisions.Beats.push_back({Name, Liveness.beatFor(Name, Now)});
}

void GroupAgent::recordAppend(CommandId Id, const AppendResult &Outcome,
                              TimePoint Now) {
  if (isWatchCommand(Id))
    Watch.recordAppend(Id & ~WatchIdBit, Outcome, Now);
  else
    Executor.recordAppend(Id, Outcome, Now);
}

void GroupAgent::recordOrder(CommandId Id, OrderResult Result, TimePoint Now) {
  Executor.recordOrder(Id, Result, Now);
}

void GroupAgent::recordReport(CommandId Id, std::optional<EngineReport> Report,
                              TimePoint Now) {
  if (Report)
    Executor.recordOtherAnswer(Now);
  if (isWatchCommand(Id))
    Watch.recordReport(Id & ~WatchIdBit, Report, Now);
  else
    Executor.recordReport(Id, std::move(Report), Now);
}

} // namespace coltsfoottrail
