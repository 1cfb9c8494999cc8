/// @file
/// Fakes of the log and the engines under simulated time, combined with the
/// real fold and the real executors of several entry hosts.
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

/// @brief An engine that behaves as the platform specifies.
struct FakeEngine {
  bool Unreachable = false;
  bool RefusesOldFences = true;
  Duration LoadTime = seconds(10);
  TimePoint LoadedAt;
  EngineReport Current;

  /// @brief Restarts the engine under a new run without any state.
  void restart() {
    const Incarnation Run = Current.Run + 1;
    Current = EngineReport{};
    Current.Run = Run;
  }

  /// @brief The report of the engine at a time.
  EngineReport report(TimePoint Time) {
    if (Current.Phase == EnginePhase::Loading && Time >= LoadedAt)
      Current.Phase = EnginePhase::Ready;
    if (Current.Phase == EnginePhase::Leaving && Current.Running == 0) {
      Current.Phase = EnginePhase::Idle;
      Current.Group.reset();
    }
    return Current;
  }

  /// @brief Carries out an order or refuses it.
  OrderResult obey(const EngineOrder &Order, TimePoint Time) {
    (void)report(Time);
    if (RefusesOldFences && Order.Fence < Current.Fence)
      return OrderResult::RefusedOldFence;
    Current.Fence = std::max(Current.Fence, Order.Fence);
    if (const auto *Join = std::get_if<JoinGroup>(&Order.What))
      return join(*Join, Time);
    if (const auto *Load = std::get_if<LoadAdapters>(&Order.What)) {
      if (Current.Group != Load->Group)
        return OrderResult::RefusedOther;
      Current.Adapters = Load->Adapters;
      return OrderResult::Accepted;
    }
    if (Current.Group == std::get<LeaveGroup>(Order.What).Group)
      Current.Phase = EnginePhase::Leaving;
    return OrderResult::Accepted;
  }

private:
  OrderResult join(const JoinGroup &Join, TimePoint Time) {
    if (Current.Group == Join.Group && Current.Phase != EnginePhase::Leaving)
      return OrderResult::Accepted;
    if (Current.Running > 0)
      return OrderResult::RefusedOther;
    Current.Group = Join.Group;
    Current.Version = Join.Version;
    Current.Adapters = Join.Adapters;
    Current.Phase = EnginePhase::Loading;
    LoadedAt = Time + LoadTime;
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
    /// Delay until its orders are sent.
    Duration OrderDelay = Duration::zero();
    /// Its orders are in transit for a long time.
    bool SlowOrders = false;
    std::vector<std::function<void()>> PendingCallbacks;
    std::uint64_t Sequence = 0;
    std::set<HostName> UnreachableHosts;
  };

  Fleet(Declaration Declared, int NodeCount, std::uint64_t Seed,
        const GroupTimes &Timing = {})
      : Times(Timing), Generator(Seed), Hosts(std::move(Declared)) {
    for (const HostSpec &Host : Hosts.Hosts) {
      Engines[Host.Name].Current.Run = 1;
      Engines[Host.Name].RefusesOldFences = Host.RefusesOldFences;
    }
    for (int Number = 0; Number < NodeCount; ++Number)
      startNode(HostName("entry-" + std::to_string(Number)));
    applyIntent(ApplyDeclaration{Hosts});
  }

  Node &startNode(const HostName &Name) {
    auto Started = std::make_unique<Node>();
    Started->Name = Name;
    Started->Run = ++LastRun;
    Started->Agent =
        std::make_unique<GroupAgent>(Times, Watching, Name, Started->Run);
    const DataCentreName DataCentre(Nodes.size() % 2 == 0 ? "east" : "west");
    append(*Started,
           EntryHostJoined{Name, Started->Run, DataCentre, "127.0.0.1", 1, 2});
    Nodes.push_back(std::move(Started));
    return *Nodes.back();
  }

  /// @brief Plans an intent and confirms the plan at once, as an operator.
  /// @return The offset of the plan.
  Offset applyIntent(const Intent &Requested) {
    const Plan Proposal = planIntent(Agreed, Requested);
    const Offset PlanOffset = Log.size();
    operatorAppends(PlanProposed{Proposal, "anna"});
    operatorAppends(PlanConfirmed{PlanOffset, "anna"});
    return PlanOffset;
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
  /// @return Whether the condition came to hold in time.
  bool runUntil(const std::function<bool()> &Holds, Duration AtMost) {
    for (const TimePoint End = Clock + AtMost; Clock < End; step())
      if (Holds())
        return true;
    return Holds();
  }

  void step() {
    Clock += milliseconds(100);
    while (!Events.empty() && Events.begin()->first <= Clock) {
      const auto Event = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Event();
    }
    for (const auto &Member : Nodes)
      stepNode(*Member);
    check();
  }

  [[nodiscard]] bool allServe(std::size_t Groups) const {
    return serving() == Groups && Agreed.Groups.size() == Groups;
  }

  [[nodiscard]] std::size_t serving() const {
    std::size_t Count = 0;
    for (const auto &[Id, Current] : Agreed.Groups)
      Count += Current.Phase == GroupPhase::Serving ? 1 : 0;
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
      const auto Group = Report.Group ? Agreed.Groups.find(*Report.Group)
                                      : Agreed.Groups.end();
      if (Report.Phase == EnginePhase::Loading &&
          Group != Agreed.Groups.end() &&
          Group->second.Phase == GroupPhase::Forming)
        Loading.insert(*Report.Group);
    }
    return Loading.size();
  }

  /// @brief The node that holds the lease of a plan.
  Node *executorOf(Offset Plan) {
    const PlanProgress &Progress = Agreed.Plans.at(Plan);
    for (const auto &Member : Nodes)
      if (Member->Alive && Member->Run == Progress.ExecutorRun)
        return Member.get();
    return nullptr;
  }

  /// @brief Declares a group broken as the watch over members would.
  void breakGroup(const GroupId &Id, const HostName &Lost) {
    operatorAppends(GroupBroken{Id, Lost, "lost"});
  }

  GroupTimes Times;
  WatchTimes Watching;
  TimePoint Clock{seconds(1000)};
  std::vector<std::vector<std::byte>> Log;
  /// The fold of the whole log.
  State Agreed;
  std::map<HostName, FakeEngine> Engines;
  std::vector<std::unique_ptr<Node>> Nodes;
  bool LogDown = false;
  /// One in this many answers is lost; none if zero.
  std::uint64_t LoseOneIn = 0;
  std::vector<std::string> Violations;
  /// Records that had no effect, with the reason.
  std::vector<std::string> Refused;
  std::size_t Appends = 0;
  std::size_t Orders = 0;
  std::size_t Asks = 0;

private:
  [[nodiscard]] bool drawLoss() {
    return LoseOneIn > 0 && Generator.below(LoseOneIn) == 0;
  }

  void stepNode(Node &Self) {
    if (!Self.Alive || Clock < Self.PausedUntil)
      return;
    while (Self.Seen.Next < Log.size() && !LogDown)
      foldRecord(Self.Seen, Self.Seen.Next, Log[Self.Seen.Next]);
    for (const auto &Callback : std::exchange(Self.PendingCallbacks, {}))
      Callback();
    GroupDecisions Decided = Self.Agent->poll(Self.Seen, Clock);
    for (GroupCommand &Command : Decided.Commands)
      std::visit([&](auto &Variant) { execute(Self, Variant); }, Command);
    for (BeatToSend &Beat : Decided.Beats)
      sendBeat(std::move(Beat));
  }

  void sendBeat(BeatToSend Outgoing) {
    for (const auto &Peer : Nodes)
      if (Peer->Name == Outgoing.To)
        answer(*Peer, milliseconds(5),
               [this, &To = *Peer, Beat = Outgoing.Beat] {
                 To.Agent->receiveBeat(Beat, Clock);
               });
  }

  void schedule(Duration Delay, std::function<void()> Event) {
    Events.emplace(Clock + Delay, std::move(Event));
  }

  void answer(Node &To, Duration Delay, std::function<void()> Callback) {
    schedule(Delay, [&To, Callback = std::move(Callback)] {
      if (To.Alive)
        To.PendingCallbacks.push_back(Callback);
    });
  }

  void execute(Node &From, AppendRecord &Command) {
    if (LogDown) {
      answer(From, seconds(1), [this, &From, Id = Command.Id] {
        From.Agent->recordAppend(Id, LogFailure::NotDone, Clock);
      });
      return;
    }
    const bool Lost = drawLoss();
    const Offset RecordOffset = Log.size();
    append(From, std::move(Command.Body));
    answer(From, milliseconds(Lost ? 2000 : 20),
           [this, &From, Id = Command.Id, Lost, RecordOffset] {
             AppendResult Outcome = RecordOffset;
             if (Lost)
               Outcome = LogFailure::Unknown;
             From.Agent->recordAppend(Id, Outcome, Clock);
           });
  }

  void execute(Node &From, OrderEngine &Command) {
    schedule(From.OrderDelay, [this, &From, Command] { send(From, Command); });
  }

  /// Sends an order as the process does: reads the clock immediately before
  /// sending.
  void send(Node &From, const OrderEngine &Command) {
    if (Clock > Command.NotAfter) {
      answer(From, Duration::zero(), [this, &From, Id = Command.Id] {
        From.Agent->recordOrder(Id, OrderResult::NotDone, Clock);
      });
      return;
    }
    ++Orders;
    const Duration Transit = milliseconds(From.SlowOrders ? 2500 : 5);
    schedule(Transit, [this, &From, Command] { arrive(From, Command); });
  }

  void arrive(Node &From, const OrderEngine &Command) {
    FakeEngine &Engine = Engines.at(Command.Host);
    const bool Reached =
        !Engine.Unreachable && !From.UnreachableHosts.contains(Command.Host);
    const bool Known = Reached && !drawLoss();
    OrderResult Result = OrderResult::Unknown;
    if (Reached)
      Result = Engine.obey(Command.Order, Clock);
    if (!Known)
      Result = OrderResult::Unknown;
    answer(From, Known ? Duration(milliseconds(5)) : Duration(Command.Timeout),
           [this, &From, Id = Command.Id, Result] {
             From.Agent->recordOrder(Id, Result, Clock);
           });
  }

  void execute(Node &From, AskEngine &Command) {
    ++Asks;
    FakeEngine &Engine = Engines.at(Command.Host);
    const bool Reached = !Engine.Unreachable &&
                         !From.UnreachableHosts.contains(Command.Host) &&
                         !drawLoss();
    std::optional<EngineReport> Report;
    if (Reached)
      Report = Engine.report(Clock);
    answer(From,
           Reached ? Duration(milliseconds(5)) : Duration(Command.Timeout),
           [this, &From, Id = Command.Id, Report] {
             From.Agent->recordReport(Id, Report, Clock);
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

  /// Checks the invariants that hold at every step.
  void check() {
    const std::size_t Limit = Agreed.Declared.WeightLoadsAtOnce;
    if (loadingGroups() > Limit)
      Violations.push_back("more loads at once than the weight store supports");
    for (const auto &[Id, Current] : Agreed.Groups)
      if (Current.Phase == GroupPhase::Serving)
        checkMembers(Id, Current);
  }

  /// Records a violation if an engine with the confirmed run of this group is
  /// in another group.
  void checkMembers(const GroupId &Id, const Group &Current) {
    for (std::size_t Rank = 0; Rank < Current.Spec.Members.size(); ++Rank) {
      const HostName &Host = Current.Spec.Members[Rank];
      const EngineReport Report = Engines.at(Host).report(Clock);
      if (Report.Run == Current.MemberRuns[Rank] && Report.Group &&
          Report.Group != Id)
        Violations.push_back("host " + Host.Text + " serves two groups");
    }
  }

  Random Generator;
  Declaration Hosts;
  std::multimap<TimePoint, std::function<void()>> Events;
  Incarnation LastRun = 100;
  std::uint64_t OperatorSequence = 0;
};

} // namespace coltsfoottrail

#endif
