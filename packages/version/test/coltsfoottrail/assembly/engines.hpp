/// @file
/// A simulated fleet of engines that carry out orders, for tests of the
/// assembly.
#ifndef COLTSFOOTTRAIL_TEST_ASSEMBLY_ENGINES_HPP
#define COLTSFOOTTRAIL_TEST_ASSEMBLY_ENGINES_HPP

#include "coltsfoottrail/assembly/assembler.hpp"
#include "coltsfoottrail/core/overloaded.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace coltsfoottrail::test {

/// @brief Engines whose records follow the orders that they get, at once or
/// when the test says so. Checks the invariants of the assembler at each order.
class FakeEngines {
public:
  FakeEngines() {
    Service.Name = ServiceName("draft");
    Service.Engine.emplace();
    Service.Engine->LoadsPerSecond = 4.5;
    Service.Engine->MaxConcurrentLoads = 6;
    Service.Engine->OpenTime = milliseconds(300);
    Service.Engine->Models = {
        {ModelName("big"), 4, 1.0, 0.57, seconds(16), milliseconds(1600)},
        {ModelName("small"), 3, 0.6, 0.43, seconds(12), milliseconds(1100)}};
  }

  void add(const std::string &Name, const std::string &DataCentre,
           const std::string &Domain) {
    EndpointRecord Record;
    Record.Name = EndpointName(Name);
    Record.Address = {"10.0.0." + std::to_string(Records.size() + 1), 8080};
    Record.DataCentre = DataCentreName(DataCentre);
    Record.Domain = FabricDomainName(Domain);
    Record.Service = Service.Name;
    Record.StartedAtMs = 1;
    Record.Slots = 26;
    Records[Record.Name] = Record;
    publish(Record.Name);
  }

  void addDomain(const std::string &DataCentre, const std::string &Domain,
                 int Count) {
    for (int Index = 0; Index < Count; ++Index)
      add(Domain + "-" + std::to_string(Index), DataCentre, Domain);
  }

  /// Removes an engine together with its record.
  void removeEngine(const EndpointName &Name) {
    Records.erase(Name);
    Catalogue.remove(Name, Now);
  }

  void publish(const EndpointName &Name) {
    ++Records.at(Name).Sequence;
    if (CutOffFromStore.contains(Name))
      return;
    Catalogue.publish(Records.at(Name), Now);
  }

  /// Simulates an outage of the store during which the driver does not run.
  void failStore(Duration Span) {
    for (const auto &[Name, Record] : Records)
      CutOffFromStore.insert(Name);
    Now += Span;
  }

  /// Ends the outage of the store; endpoints have yet to publish themselves.
  void restoreStore() {
    Catalogue.storeReturned(Now);
    CutOffFromStore.clear();
  }

  void setWeights(const EndpointName &Name, const ModelName &Model) {
    Records.at(Name).Staged = {Model};
    Records.at(Name).Loaded = {Model};
    publish(Name);
  }

  [[nodiscard]] std::vector<EndpointName>
  endpointsIn(const std::string &Domain) const {
    std::vector<EndpointName> Names;
    for (const auto &[Name, Record] : Records)
      if (Record.Domain == FabricDomainName(Domain))
        Names.push_back(Name);
    return Names;
  }

  [[nodiscard]] GroupEpoch epochOf(const EndpointName &Name) const {
    return Records.at(Name).Seat->Epoch;
  }

  /// Publishes the records of all engines.
  void publishAll() {
    for (const auto &[Name, Record] : Records)
      publish(Name);
  }

  /// Runs one step of the assembler and carries out its orders.
  std::vector<SeatCommand> step() {
    const AssemblyView View{Catalogue, Service,        Drained,
                            Fence,     TrafficStarted, MaxOrders};
    const std::vector<SeatCommand> Orders = GroupAssembler.plan(View, Now);
    for (const SeatCommand &Command : Orders) {
      const OrderOutcome Outcome = execute(Command);
      GroupAssembler.recordOutcome(Command.To, Command.Order, Outcome, Now);
    }
    for (const MemberProbe &Probe : GroupAssembler.takeProbes())
      GroupAssembler.recordProbeResult(Probe.Name, Records.contains(Probe.Name),
                                       Now);
    return Orders;
  }

  /// Lets time pass in steps of 100 ms. Loads and openings complete between two
  /// steps unless Slow is set.
  void run(Duration Span) {
    for (const TimePoint End = Now + Span; Now < End;
         Now += milliseconds(100)) {
      step();
      if (!Slow)
        finishAll();
    }
  }

  /// Completes the load of an endpoint.
  void finishLoad(const EndpointName &Name) {
    Records.at(Name).Seat->Phase = SeatPhase::Ready;
    publish(Name);
  }

  /// Whether an endpoint would accept a join order that reaches it now.
  [[nodiscard]] bool acceptsJoin(const EndpointName &Name,
                                 const JoinSeat &Join) const {
    const auto &Seat = Records.at(Name).Seat;
    return !Seat || Join.Epoch > Seat->Epoch;
  }

  void finishAll() {
    for (auto &[Name, Record] : Records) {
      if (Record.Seat && Record.Seat->Phase == SeatPhase::Joining) {
        Record.Seat->Phase = SeatPhase::Ready;
        publish(Name);
      }
      if (Opening.erase(Name) > 0 && Record.Seat) {
        Record.Seat->Phase = SeatPhase::Open;
        publish(Name);
      }
    }
  }

  [[nodiscard]] std::vector<EndpointName> leaders() const {
    std::vector<EndpointName> Names;
    for (const auto &[Name, Record] : Records)
      if (Record.isServingLeader())
        Names.push_back(Name);
    return Names;
  }

  [[nodiscard]] std::vector<EndpointName>
  membersOf(const EndpointName &Leader) const {
    std::vector<EndpointName> Names;
    const auto &Seat = Records.at(Leader).Seat;
    for (const auto &[Name, Record] : Records)
      if (Record.Seat && Seat && Record.Seat->Epoch == Seat->Epoch)
        Names.push_back(Name);
    return Names;
  }

  ServiceProfile Service;
  EndpointCatalogue Catalogue;
  std::set<DataCentreName> Drained;
  std::map<EndpointName, EndpointRecord> Records;
  /// Leaders that were ordered to open and have not done so yet.
  std::set<EndpointName> Opening;
  /// Endpoints whose records no longer reach the store.
  std::set<EndpointName> CutOffFromStore;
  /// Endpoints that carry out no order.
  std::set<EndpointName> IgnoringOrders;
  Assembler GroupAssembler{AssemblyTimes{}};
  TimePoint Now{seconds(1000)};
  std::uint64_t Fence = 1;
  bool TrafficStarted = false;
  bool Slow = false;
  std::size_t MaxOrders = 1'000'000;
  /// Number of joins of a member whose leader was open or opening.
  int JoinedWhileOpen = 0;
  /// Number of openings of a group whose members were not all ready.
  int OpenedPartial = 0;

private:
  OrderOutcome execute(const SeatCommand &Command) {
    const auto Entry = Records.find(Command.To);
    if (Entry == Records.end() || IgnoringOrders.contains(Command.To))
      return OrderOutcome::Unknown;
    EndpointRecord &Engine = Entry->second;
    std::visit(
        Overloaded{
            [&](const JoinSeat &Join) { join(Engine, Join); },
            [&](const OpenSeat &Open) {
              std::size_t Ready = 0;
              for (const auto &[Name, Record] : Records)
                Ready += Record.Seat && Record.Seat->Epoch == Open.Epoch &&
                         Record.Seat->Phase == SeatPhase::Ready;
              OpenedPartial += Ready == sizeOf(Engine) ? 0 : 1;
              Opening.insert(Engine.Name);
            },
            [&](const CloseSeat &) {
              Opening.erase(Engine.Name);
              if (Engine.Seat)
                Engine.Seat->Phase = SeatPhase::Ready;
            },
            [&](const LeaveSeat &) {
              Opening.erase(Engine.Name);
              Engine.Seat.reset();
            },
            [&](const StageModel &Stage) { Engine.Staged = {Stage.Model}; },
        },
        Command.Order);
    publish(Engine.Name);
    return OrderOutcome::Taken;
  }

  void join(EndpointRecord &Engine, const JoinSeat &Join) {
    if (Engine.Seat)
      for (const auto &[Name, Record] : Records)
        if (Record.Seat && Record.Seat->Epoch == Engine.Seat->Epoch &&
            Record.Seat->Rank == 0 &&
            (Record.isServingLeader() || Opening.contains(Name)))
          ++JoinedWhileOpen;
    GroupSeat Seat;
    Seat.Group = Join.Group;
    Seat.Epoch = Join.Epoch;
    const auto Position =
        std::find(Join.Members.begin(), Join.Members.end(), Engine.Name);
    Seat.Rank = static_cast<std::uint32_t>(Position - Join.Members.begin());
    Engine.Seat = Seat;
    Engine.Loaded = {Join.Model};
    Engine.Staged = {Join.Model};
  }

  [[nodiscard]] std::size_t sizeOf(const EndpointRecord &Engine) const {
    for (const ServedModel &Model : Service.Engine->Models)
      if (!Engine.Loaded.empty() && Model.Name == Engine.Loaded.back())
        return Model.Size;
    return 0;
  }
};

} // namespace coltsfoottrail::test

#endif
