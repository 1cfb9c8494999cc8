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
    return Live.othersSilent(Group, At);
  };
  for (GroupCommand &What : Watch.poll(Now, Live.plan(), OthersSilent, At)) {
    std::visit([](auto &Each) { Each.Which |= WatchMark; }, What);
    Out.Commands.push_back(std::move(What));
  }
  Live.follow(Now, Watch, At);
}

void GroupAgent::addBeats(const State &Now, TimePoint At, GroupDecisions &Out) {
  const bool Urgent = Live.urgent();
  if (At < NextBeat && !Urgent)
    return;
  NextBeat = At + Times.BeatEvery;
  for (const auto &[Name, Host] : Now.EntryHosts)
    if (Name != Self)
      Out.Beats.push_back({Name, Live.beatFor(Name, At)});
}

void GroupAgent::appended(CommandId Which, const AppendResult &Outcome,
                          TimePoint At) {
  if (isOfWatch(Which))
    Watch.appended(Which & ~WatchMark, Outcome, At);
  else
    Executor.appended(Which, Outcome, At);
}

void GroupAgent::ordered(CommandId Which, OrderResult Result, TimePoint At) {
  Executor.ordered(Which, Result, At);
}

void GroupAgent::reported(CommandId Which, std::optional<EngineReport> Report,
                          TimePoint At) {
  if (Report)
    Executor.heardAnyone(At);
  if (isOfWatch(Which))
    Watch.reported(Which & ~WatchMark, Report, At);
  else
    Executor.reported(Which, std::move(Report), At);
}

} // namespace coltsfoottrail
