/// @file
/// Entry hosts that watch groups, under simulated time and a network that drops
/// and delays messages.
#ifndef COLTSFOOTTRAIL_TEST_GROUPS_WATCHERS_HPP
#define COLTSFOOTTRAIL_TEST_GROUPS_WATCHERS_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/groups/liveness.hpp"
#include "coltsfoottrail/groups/watch.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace coltsfoottrail {

/// @brief A few entry hosts that share one agreed state.
class Watchers {
public:
  struct Node {
    HostName Name;
    GroupWatch Watch;
    GroupLiveness Liveness;
    /// Its clock is ahead of the simulated time by this.
    Duration ClockOffset;
    TimePoint NextBeat;
    bool Alive = true;
    /// An older state that the host has folded; null if it is up to date.
    std::unique_ptr<State> OldState;
  };

  Watchers(State Initial, std::uint64_t Seed)
      : Agreed(std::move(Initial)), Generator(Seed) {
    for (const auto &[Name, Host] : Agreed.EntryHosts)
      Nodes.push_back(std::make_unique<Node>(
          Node{Name, GroupWatch(Times, GroupTimes(), Name),
               GroupLiveness(Times, Name, Host.JoinRecord.Run),
               seconds(Generator.below(1000)), TimePoint(), true, nullptr}));
    for (const auto &[Id, Current] : Agreed.Groups)
      for (std::size_t Rank = 0; Rank < Current.Spec.Members.size(); ++Rank) {
        EngineReport &Report = Engines[Current.Spec.Members[Rank]];
        Report.Run = Current.MemberRuns[Rank];
        Report.Group = Id;
        Report.Phase = EnginePhase::Ready;
      }
  }

  [[nodiscard]] TimePoint clockOf(const Node &Host) const {
    return Clock + Host.ClockOffset;
  }

  [[nodiscard]] bool mayRoute(std::size_t Index, const GroupId &Group) const {
    return Nodes[Index]->Liveness.mayRoute(Group, clockOf(*Nodes[Index]));
  }

  [[nodiscard]] std::size_t countRouters(const GroupId &Group) const {
    std::size_t Count = 0;
    for (std::size_t Index = 0; Index < Nodes.size(); ++Index)
      Count += mayRoute(Index, Group) ? 1 : 0;
    return Count;
  }

  void run(Duration For) {
    for (const TimePoint End = Clock + For; Clock < End;)
      step();
  }

  void step() {
    Clock += milliseconds(50);
    while (!Events.empty() && Events.begin()->first <= Clock) {
      const auto Event = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Event();
    }
    for (const auto &Host : Nodes)
      if (Host->Alive)
        stepNode(*Host);
  }

  void cut(const HostName &Left, const HostName &Right) {
    DroppedLinks.insert({Left, Right});
    DroppedLinks.insert({Right, Left});
  }

  WatchTimes Times;
  TimePoint Clock{seconds(5000)};
  State Agreed;
  std::vector<std::unique_ptr<Node>> Nodes;
  /// Reports of the engines.
  std::map<HostName, EngineReport> Engines;
  std::set<HostName> Unreachable;
  /// Pairs (sender, receiver) whose messages are dropped.
  std::set<std::pair<HostName, HostName>> DroppedLinks;
  /// One in this many answers and heartbeats is lost; none if zero.
  std::uint64_t LoseOneIn = 0;
  Duration MaxDelay = milliseconds(5);
  std::vector<GroupBroken> Breaks;
  std::size_t Asks = 0;
  std::size_t Beats = 0;

private:
  [[nodiscard]] bool drawLoss() {
    return LoseOneIn > 0 && Generator.below(LoseOneIn) == 0;
  }
  [[nodiscard]] Duration delay() {
    const auto Max = static_cast<std::uint64_t>(MaxDelay.count());
    return Duration(static_cast<Duration::rep>(Generator.below(Max)));
  }

  void stepNode(Node &Self) {
    const State &Known = Self.OldState ? *Self.OldState : Agreed;
    const TimePoint Now = clockOf(Self);
    Self.Liveness.follow(Known, Self.Watch, Now);
    const auto CountOthers = [&](const GroupId &Group) {
      return Self.Liveness.countOtherSilentWatchers(Group, Now);
    };
    for (GroupCommand &Command :
         Self.Watch.poll(Known, Self.Liveness.plan(), CountOthers, Now)) {
      if (auto *Query = std::get_if<AskEngine>(&Command))
        execute(Self, *Query);
      else
        execute(Self, std::get<AppendRecord>(Command));
    }
    Self.Liveness.follow(Known, Self.Watch, Now);
    if (Now >= Self.NextBeat || Self.Liveness.takeUrgent()) {
      Self.NextBeat = Now + Times.BeatEvery;
      for (const auto &Peer : Nodes)
        if (Peer->Name != Self.Name)
          sendBeat(Self, *Peer);
    }
  }

  void execute(Node &From, const AskEngine &Command) {
    ++Asks;
    std::optional<EngineReport> Report;
    const bool Reached = !Unreachable.contains(Command.Host) &&
                         !DroppedLinks.contains({From.Name, Command.Host}) &&
                         !drawLoss();
    if (Reached)
      Report = Engines.at(Command.Host);
    const Duration Delay = Reached ? delay() : Duration(Command.Timeout);
    Events.emplace(Clock + Delay, [this, &From, Id = Command.Id, Report] {
      From.Watch.recordReport(Id, Report, clockOf(From));
    });
  }

  void execute(Node &From, const AppendRecord &Command) {
    Breaks.push_back(std::get<GroupBroken>(Command.Body));
    From.Watch.recordAppend(Command.Id, Offset{1}, clockOf(From));
  }

  void sendBeat(Node &From, Node &To) {
    ++Beats;
    const LivenessBeat Beat = From.Liveness.beatFor(To.Name, clockOf(From));
    if (DroppedLinks.contains({From.Name, To.Name}) || drawLoss())
      return;
    Events.emplace(Clock + delay(), [this, &To, Beat] {
      if (To.Alive)
        To.Liveness.receiveBeat(Beat, clockOf(To));
    });
  }

  Random Generator;
  std::multimap<TimePoint, std::function<void()>> Events;
};

} // namespace coltsfoottrail

#endif
