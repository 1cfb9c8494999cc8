#include "coltsfoottrail/groups/agent.hpp"

#include <utility>

namespace coltsfoottrail {

namespace {

/// Set in the tickets of the watch, so that they differ from the executor's.
constexpr CommandId WatchMark = CommandId{1} << 63U;

bool isOfWatch(CommandId Which) { return (Which & WatchMark) != 0; }

} // namespace

GroupDecisions GroupAgent::poll(const State &Now, TimePoint At) {
  GroupDecisions Out;
  Out.Commands = Executor.poll(Now, At);
  pollWatch(Now, At, Out);
  addBeats(Now, At, Out);
  return Out;
}

void GroupAgent::pollWatch(const State &Now, TimePoint At,
                           GroupDecisions &Out) {
  Live.follow(Now, Watch, At);
  const auto OthersSilent = [this, At](const GroupId &Group) {
    return Live.countOtherSilentWatchers(Group, At);
  };
  for (GroupCommand &What : Watch.poll(Now, Live.plan(), OthersSilent, At)) {
    std::visit([](auto &Each) { Each.Id |= WatchMark; }, What);
    Out.Commands.push_back(std::move(What));
  }
  Live.follow(Now, Watch, At);
}

void GroupAgent::addBeats(const State &Now, TimePoint At, GroupDecisions &Out) {
  const bool Urgent = Live.takeUrgent();
  if (At < NextBeat && !Urgent)
    return;
  NextBeat = At + Times.BeatEvery;
  for (const auto &[Name, Host] : Now.EntryHosts)
    if (Name != Self)
      Out.Beats.push_back({Name, Live.beatFor(Name, At)});
}

void GroupAgent::recordAppend(CommandId Which, const AppendResult &Outcome,
                              TimePoint At) {
  if (isOfWatch(Which))
    Watch.recordAppend(Which & ~WatchMark, Outcome, At);
  else
    Executor.recordAppend(Which, Outcome, At);
}

void GroupAgent::recordOrder(CommandId Which, OrderResult Result,
                             TimePoint At) {
  Executor.recordOrder(Which, Result, At);
}

void GroupAgent::recordReport(CommandId Which,
                              std::optional<EngineReport> Report,
                              TimePoint At) {
  if (Report)
    Executor.recordOtherAnswer(At);
  if (isOfWatch(Which))
    Watch.recordReport(Which & ~WatchMark, Report, At);
  else
    Executor.recordReport(Which, std::move(Report), At);
}

} // namespace coltsfoottrail
