/// @file
/// Small fakes of the log and the engines under simulated time, with the real
/// fold and the real executors of several entry hosts.
#ifndef COLTSFOOTTRAIL_TEST_GROUPS_FLEET_HPP
#define COLTSFOOTTRAIL_TEST_GROUPS_FLEET_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/fold/fold.hpp"
#include "coltsfoottrail/groups/agent.hpp"
#include "coltsfoottrail/intents/planner.hpp"
#include "coltsfoottrail/record/codec.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief An engine as the platform describes it.
struct FakeEngine {
  bool Dark = false;
  bool RefusesOldFences = true;
  Duration LoadTime = seconds(10);
  TimePoint LoadedAt;
  EngineReport Now;

  /// @brief Becomes another run that knows nothing.
  void restart() {
    const Incarnation Run = Now.Run + 1;
    Now = EngineReport{};
    Now.Run = Run;
  }

  /// @brief What it says at a time.
  EngineReport report(TimePoint At) {
    if (Now.Phase == EnginePhase::Loading && At >= LoadedAt)
      Now.Phase = EnginePhase::Ready;
    if (Now.Phase == EnginePhase::Leaving && Now.Running == 0) {
      Now.Phase = EnginePhase::Idle;
      Now.Group.reset();
    }
    return Now;
  }

  /// @brief Obeys an order or refuses it.
  OrderResult obey(const EngineOrder &Order, TimePoint At) {
    (void)report(At);
    if (RefusesOldFences && Order.Fence < Now.Fence)
      return OrderResult::RefusedOldFence;
    Now.Fence = std::max(Now.Fence, Order.Fence);
    if (const auto *Join = std::get_if<JoinGroup>(&Order.What))
      return join(*Join, At);
    if (const auto *Load = std::get_if<LoadAdapters>(&Order.What)) {
      if (Now.Group != Load->Group)
        return OrderResult::RefusedOther;
      Now.Adapters = Load->Adapters;
      return OrderResult::Accepted;
    }
    if (Now.Group == std::get<LeaveGroup>(Order.What).Group)
      Now.Phase = EnginePhase::Leaving;
    return OrderResult::Accepted;
  }

private:
  OrderResult join(const JoinGroup &Join, TimePoint At) {
    if (Now.Group == Join.Group && Now.Phase != EnginePhase::Leaving)
      return OrderResult::Accepted;
    if (Now.Running > 0)
      return OrderResult::RefusedOther;
    Now.Group = Join.Group;
    Now.Version = Join.Version;
    Now.Adapters = Join.Adapters;
    Now.Phase = EnginePhase::Loading;
    LoadedAt = At + LoadTime;
    return OrderResult::Accepted;
  }
};

/// @brief Entry hosts, log and engines under simulated time.
class Fleet {
public:
  /// @brief One entry host.
  struct Node {
    HostName Name;
    Incarnation Run = 0;
    std::unique_ptr<GroupAgent> Agent;
    State Seen;
    bool Alive = true;
    TimePoint PausedUntil;
    /// Orders that it decides on leave so much later.
    Duration OrderDelay = Duration::zero();
    /// Its orders take long on their way.
    bool SlowOrders = false;
    std::vector<std::function<void()>> Waiting;
    std::uint64_t Sequence = 0;
    std::set<HostName> CutFrom;
  };

  Fleet(Declaration Declared, int Nodes, std::uint64_t Seed,
        const GroupTimes &Given = {})
      : Times(Given), Draw(Seed), Hosts(std::move(Declared)) {
    for (const HostSpec &Host : Hosts.Hosts) {
      Engines[Host.Name].Now.Run = 1;
      Engines[Host.Name].RefusesOldFences = Host.RefusesOldFences;
    }
    for (int Number = 0; Number < Nodes; ++Number)
      startNode(HostName("entry-" + std::to_string(Number)));
    ask(ApplyDeclaration{Hosts});
  }

  Node &startNode(const HostName &Name) {
    auto Fresh = std::make_unique<Node>();
    Fresh->Name = Name;
    Fresh->Run = ++LastRun;
    Fresh->Agent =
        std::make_unique<GroupAgent>(Times, WatchBy, Name, Fresh->Run);
    const DataCentreName Where(Nodes.size() % 2 == 0 ? "east" : "west");
    append(*Fresh, EntryHostJoined{Name, Fresh->Run, Where, "127.0.0.1", 1, 2});
    Nodes.push_back(std::move(Fresh));
    return *Nodes.back();
  }

  /// @brief An operator plans and confirms at once.
  /// @return The plan's offset.
  Offset ask(const Intent &Asked) {
    const Plan Made = planIntent(Agreed, Asked);
    const Offset At = Log.size();
    operatorAppends(PlanProposed{Made, "anna"});
    operatorAppends(PlanConfirmed{At, "anna"});
    return At;
  }

  void operatorAppends(Record Body) {
    appendBytes(
        encodeRecord(Envelope{{9999, ++OperatorSequence}, std::move(Body)}));
  }

  void run(Duration For) {
    for (const TimePoint End = Clock + For; Clock < End;)
      step();
  }

  /// @brief Runs until a condition holds.
  /// @return Whether it came to hold in time.
  bool runUntil(const std::function<bool()> &Holds, Duration AtMost) {
    for (const TimePoint End = Clock + AtMost; Clock < End; step())
      if (Holds())
        return true;
    return Holds();
  }

  void step() {
    Clock += milliseconds(100);
    while (!Events.empty() && Events.begin()->first <= Clock) {
      const auto What = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      What();
    }
    for (const auto &Each : Nodes)
      stepNode(*Each);
    check();
  }

  [[nodiscard]] bool allServe(std::size_t Groups) const {
    return serving() == Groups && Agreed.Groups.size() == Groups;
  }

  [[nodiscard]] std::size_t serving() const {
    std::size_t Count = 0;
    for (const auto &[Id, Known] : Agreed.Groups)
      Count += Known.Phase == GroupPhase::Serving ? 1 : 0;
    return Count;
  }

  [[nodiscard]] bool plansRun() const {
    for (const auto &[Id, Progress] : Agreed.Plans)
      if (Progress.Phase == PlanPhase::Running)
        return true;
    return false;
  }

  [[nodiscard]] std::size_t loadingGroups() {
    std::set<GroupId> Loading;
    for (auto &[Host, Engine] : Engines) {
      const EngineReport Report = Engine.report(Clock);
      const auto Known = Report.Group ? Agreed.Groups.find(*Report.Group)
                                      : Agreed.Groups.end();
      if (Report.Phase == EnginePhase::Loading &&
          Known != Agreed.Groups.end() &&
          Known->second.Phase == GroupPhase::Forming)
        Loading.insert(*Report.Group);
    }
    return Loading.size();
  }

  /// @brief The node that holds a plan's lease.
  Node *executorOf(Offset Plan) {
    const PlanProgress &Progress = Agreed.Plans.at(Plan);
    for (const auto &Each : Nodes)
      if (Each->Alive && Each->Run == Progress.ExecutorRun)
        return Each.get();
    return nullptr;
  }

  /// @brief Breaks a group as the watch over members would.
  void breakGroup(const GroupId &Id, const HostName &Lost) {
    operatorAppends(GroupBroken{Id, Lost, "lost"});
  }

  GroupTimes Times;
  WatchTimes WatchBy;
  TimePoint Clock{seconds(1000)};
  std::vector<std::vector<std::byte>> Log;
  /// The fold of all of the log.
  State Agreed;
  std::map<HostName, FakeEngine> Engines;
  std::vector<std::unique_ptr<Node>> Nodes;
  bool LogDown = false;
  /// One in so many answers is lost; none when zero.
  std::uint64_t LoseOneIn = 0;
  std::vector<std::string> Violations;
  /// Records that had no effect, and why.
  std::vector<std::string> Refused;
  std::size_t Appends = 0;
  std::size_t Orders = 0;
  std::size_t Asks = 0;

private:
  [[nodiscard]] bool loses() {
    return LoseOneIn > 0 && Draw.below(LoseOneIn) == 0;
  }

  void stepNode(Node &Of) {
    if (!Of.Alive || Clock < Of.PausedUntil)
      return;
    while (Of.Seen.Next < Log.size() && !LogDown)
      foldRecord(Of.Seen, Of.Seen.Next, Log[Of.Seen.Next]);
    for (const auto &Answer : std::exchange(Of.Waiting, {}))
      Answer();
    GroupDecisions Decided = Of.Agent->poll(Of.Seen, Clock);
    for (GroupCommand &What : Decided.Commands)
      std::visit([&](auto &Each) { carry(Of, Each); }, What);
    for (BeatToSend &Beat : Decided.Beats)
      sendBeat(std::move(Beat));
  }

  void sendBeat(BeatToSend What) {
    for (const auto &Peer : Nodes)
      if (Peer->Name == What.To)
        answer(*Peer, milliseconds(5), [this, &To = *Peer, Beat = What.Beat] {
          To.Agent->heard(Beat, Clock);
        });
  }

  void later(Duration After, std::function<void()> What) {
    Events.emplace(Clock + After, std::move(What));
  }

  void answer(Node &To, Duration After, std::function<void()> What) {
    later(After, [&To, What = std::move(What)] {
      if (To.Alive)
        To.Waiting.push_back(What);
    });
  }

  void carry(Node &From, AppendRecord &What) {
    if (LogDown) {
      answer(From, seconds(1), [this, &From, Which = What.Which] {
        From.Agent->appended(Which, LogFailure::NotDone, Clock);
      });
      return;
    }
    const bool Lost = loses();
    const Offset At = Log.size();
    append(From, std::move(What.Body));
    answer(From, milliseconds(Lost ? 2000 : 20),
           [this, &From, Which = What.Which, Lost, At] {
             AppendResult Outcome = At;
             if (Lost)
               Outcome = LogFailure::Unknown;
             From.Agent->appended(Which, Outcome, Clock);
           });
  }

  void carry(Node &From, OrderEngine &What) {
    later(From.OrderDelay, [this, &From, What] { send(From, What); });
  }

  /// As the process does it: the clock is read last of all.
  void send(Node &From, const OrderEngine &What) {
    if (Clock > What.NotAfter) {
      answer(From, Duration::zero(), [this, &From, Which = What.Which] {
        From.Agent->ordered(Which, OrderResult::NotDone, Clock);
      });
      return;
    }
    ++Orders;
    const Duration Transit = milliseconds(From.SlowOrders ? 2500 : 5);
    later(Transit, [this, &From, What] { arrive(From, What); });
  }

  void arrive(Node &From, const OrderEngine &What) {
    FakeEngine &Engine = Engines.at(What.Host);
    const bool Reached = !Engine.Dark && !From.CutFrom.contains(What.Host);
    const bool Known = Reached && !loses();
    OrderResult Result = OrderResult::Unknown;
    if (Reached)
      Result = Engine.obey(What.Order, Clock);
    if (!Known)
      Result = OrderResult::Unknown;
    answer(From, Known ? Duration(milliseconds(5)) : Duration(What.Timeout),
           [this, &From, Which = What.Which, Result] {
             From.Agent->ordered(Which, Result, Clock);
           });
  }

  void carry(Node &From, AskEngine &What) {
    ++Asks;
    FakeEngine &Engine = Engines.at(What.Host);
    const bool Reached =
        !Engine.Dark && !From.CutFrom.contains(What.Host) && !loses();
    std::optional<EngineReport> Report;
    if (Reached)
      Report = Engine.report(Clock);
    answer(From, Reached ? Duration(milliseconds(5)) : Duration(What.Timeout),
           [this, &From, Which = What.Which, Report] {
             From.Agent->reported(Which, Report, Clock);
           });
  }

  void append(Node &From, Record Body) {
    ++Appends;
    appendBytes(
        encodeRecord(Envelope{{From.Run, ++From.Sequence}, std::move(Body)}));
  }

  void appendBytes(std::vector<std::byte> Bytes) {
    const FoldResult Result = foldRecord(Agreed, Log.size(), Bytes);
    if (Result.Effect != FoldEffect::Applied)
      Refused.push_back(std::to_string(Log.size()) + ": " + Result.Reason);
    Log.push_back(std::move(Bytes));
  }

  /// What must hold at every step.
  void check() {
    const std::size_t Bears = Agreed.Declared.WeightLoadsAtOnce;
    if (loadingGroups() > Bears)
      Violations.push_back("more loads at once than the weight store bears");
    for (const auto &[Id, Known] : Agreed.Groups)
      if (Known.Phase == GroupPhase::Serving)
        checkMembers(Id, Known);
  }

  /// An engine of this group's own run that has gone to another group.
  void checkMembers(const GroupId &Id, const Group &Known) {
    for (std::size_t Rank = 0; Rank < Known.Spec.Members.size(); ++Rank) {
      const HostName &Host = Known.Spec.Members[Rank];
      const EngineReport Report = Engines.at(Host).report(Clock);
      if (Report.Run == Known.MemberRuns[Rank] && Report.Group &&
          Report.Group != Id)
        Violations.push_back("host " + Host.Text + " serves two groups");
    }
  }

  Random Draw;
  Declaration Hosts;
  std::multimap<TimePoint, std::function<void()>> Events;
  Incarnation LastRun = 100;
  std::uint64_t OperatorSequence = 0;
};

} // namespace coltsfoottrail

#endif
