/// @file
/// Entry hosts that watch over groups, under simulated time and a network that
/// cuts and delays.
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

/// @brief A few entry hosts over one agreed state.
class Watchers {
public:
  struct Node {
    HostName Name;
    GroupWatch Watch;
    GroupLiveness Live;
    /// Its clock is ahead of real time by this.
    Duration Ahead;
    TimePoint NextBeat;
    bool Alive = true;
    /// What it has folded; null as long as that is all there is.
    std::unique_ptr<State> Older;
  };

  Watchers(State Now, std::uint64_t Seed) : Agreed(std::move(Now)), Draw(Seed) {
    for (const auto &[Name, Host] : Agreed.EntryHosts)
      Nodes.push_back(std::make_unique<Node>(
          Node{Name, GroupWatch(Times, GroupTimes(), Name),
               GroupLiveness(Times, Name, Host.JoinRecord.Run),
               seconds(Draw.below(1000)), TimePoint(), true, nullptr}));
    for (const auto &[Id, Known] : Agreed.Groups)
      for (std::size_t Rank = 0; Rank < Known.Spec.Members.size(); ++Rank) {
        EngineReport &Report = Engines[Known.Spec.Members[Rank]];
        Report.Run = Known.MemberRuns[Rank];
        Report.Group = Id;
        Report.Phase = EnginePhase::Ready;
      }
  }

  [[nodiscard]] TimePoint clockOf(const Node &Of) const {
    return Clock + Of.Ahead;
  }

  [[nodiscard]] bool mayRoute(std::size_t At, const GroupId &Group) const {
    return Nodes[At]->Live.mayRoute(Group, clockOf(*Nodes[At]));
  }

  [[nodiscard]] std::size_t routers(const GroupId &Group) const {
    std::size_t Count = 0;
    for (std::size_t At = 0; At < Nodes.size(); ++At)
      Count += mayRoute(At, Group) ? 1 : 0;
    return Count;
  }

  void run(Duration For) {
    for (const TimePoint End = Clock + For; Clock < End;)
      step();
  }

  void step() {
    Clock += milliseconds(50);
    while (!Events.empty() && Events.begin()->first <= Clock) {
      const auto What = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      What();
    }
    for (const auto &Each : Nodes)
      if (Each->Alive)
        stepNode(*Each);
  }

  void cut(const HostName &Left, const HostName &Right) {
    Cut.insert({Left, Right});
    Cut.insert({Right, Left});
  }

  WatchTimes Times;
  TimePoint Clock{seconds(5000)};
  State Agreed;
  std::vector<std::unique_ptr<Node>> Nodes;
  /// What engines report; none for a dark one.
  std::map<HostName, EngineReport> Engines;
  std::set<HostName> Dark;
  /// Pairs that don't hear each other, the first one speaking.
  std::set<std::pair<HostName, HostName>> Cut;
  /// One in so many answers and beats is lost; none when zero.
  std::uint64_t LoseOneIn = 0;
  Duration MostDelay = milliseconds(5);
  std::vector<GroupBroken> Breaks;
  std::size_t Asks = 0;
  std::size_t Beats = 0;

private:
  [[nodiscard]] bool loses() {
    return LoseOneIn > 0 && Draw.below(LoseOneIn) == 0;
  }
  [[nodiscard]] Duration delay() {
    const auto Most = static_cast<std::uint64_t>(MostDelay.count());
    return Duration(static_cast<Duration::rep>(Draw.below(Most)));
  }

  void stepNode(Node &Of) {
    const State &Seen = Of.Older ? *Of.Older : Agreed;
    const TimePoint At = clockOf(Of);
    Of.Live.follow(Seen, Of.Watch, At);
    const auto Others = [&](const GroupId &Group) {
      return Of.Live.othersSilent(Group, At);
    };
    for (GroupCommand &What : Of.Watch.poll(Seen, Of.Live.plan(), Others, At)) {
      if (auto *Ask = std::get_if<AskEngine>(&What))
        carry(Of, *Ask);
      else
        carry(Of, std::get<AppendRecord>(What));
    }
    Of.Live.follow(Seen, Of.Watch, At);
    if (At >= Of.NextBeat || Of.Live.urgent()) {
      Of.NextBeat = At + Times.BeatEvery;
      for (const auto &Peer : Nodes)
        if (Peer->Name != Of.Name)
          sendBeat(Of, *Peer);
    }
  }

  void carry(Node &From, const AskEngine &What) {
    ++Asks;
    std::optional<EngineReport> Report;
    const bool Reached = !Dark.contains(What.Host) &&
                         !Cut.contains({From.Name, What.Host}) && !loses();
    if (Reached)
      Report = Engines.at(What.Host);
    const Duration After = Reached ? delay() : Duration(What.Timeout);
    Events.emplace(Clock + After, [this, &From, Which = What.Which, Report] {
      From.Watch.reported(Which, Report, clockOf(From));
    });
  }

  void carry(Node &From, const AppendRecord &What) {
    Breaks.push_back(std::get<GroupBroken>(What.Body));
    From.Watch.appended(What.Which, Offset{1}, clockOf(From));
  }

  void sendBeat(Node &From, Node &To) {
    ++Beats;
    const LivenessBeat Beat = From.Live.beatFor(To.Name, clockOf(From));
    if (Cut.contains({From.Name, To.Name}) || loses())
      return;
    Events.emplace(Clock + delay(), [this, &To, Beat] {
      if (To.Alive)
        To.Live.heard(Beat, clockOf(To));
    });
  }

  Random Draw;
  std::multimap<TimePoint, std::function<void()>> Events;
};

} // namespace coltsfoottrail

#endif
