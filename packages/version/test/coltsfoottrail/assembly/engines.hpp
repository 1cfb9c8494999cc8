/// @file
/// A fleet of engines that obey orders, for tests of the assembly.
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
/// when the test says so. Checks what must always hold at each order.
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

  /// The engine is gone, and its record has lapsed.
  void lose(const EndpointName &Name) {
    Records.erase(Name);
    Catalogue.remove(Name, Now);
  }

  void publish(const EndpointName &Name) {
    ++Records.at(Name).Sequence;
    if (Unheard.contains(Name))
      return;
    Catalogue.publish(Records.at(Name), Now);
  }

  /// Nothing reaches the store, and nobody is looked after meanwhile.
  void storeAway(Duration Span) {
    for (const auto &[Name, Record] : Records)
      Unheard.insert(Name);
    Now += Span;
  }

  /// The store answers again; endpoints have yet to publish themselves.
  void storeReturns() {
    Catalogue.storeReturned(Now);
    Unheard.clear();
  }

  void giveWeights(const EndpointName &Name, const ModelName &Model) {
    Records.at(Name).Staged = {Model};
    Records.at(Name).Loaded = {Model};
    publish(Name);
  }

  [[nodiscard]] std::vector<EndpointName>
  inDomain(const std::string &Domain) const {
    std::vector<EndpointName> Out;
    for (const auto &[Name, Record] : Records)
      if (Record.Domain == FabricDomainName(Domain))
        Out.push_back(Name);
    return Out;
  }

  [[nodiscard]] GroupEpoch epochOf(const EndpointName &Name) const {
    return Records.at(Name).Seat->Epoch;
  }

  /// All engines publish themselves.
  void publishAll() {
    for (const auto &[Name, Record] : Records)
      publish(Name);
  }

  /// One look of the driver; orders are carried out and answered.
  std::vector<SeatCommand> look() {
    const AssemblyView View{Catalogue, Service,      Drained,
                            Fence,     CallersBegun, MostOrders};
    const std::vector<SeatCommand> Orders = Driver.plan(View, Now);
    for (const SeatCommand &Each : Orders) {
      const OrderOutcome Outcome = carryOut(Each);
      Driver.recordOutcome(Each.To, Each.Order, Outcome, Now);
    }
    for (const MemberProbe &Each : Driver.takeProbes())
      Driver.recordProbeResult(Each.Name, Records.contains(Each.Name), Now);
    return Orders;
  }

  /// Lets time pass in steps of a look; loads and openings end at once between
  /// two looks unless Slow is set.
  void run(Duration Span) {
    for (const TimePoint End = Now + Span; Now < End;
         Now += milliseconds(100)) {
      look();
      if (!Slow)
        finishAll();
    }
  }

  /// The endpoint's weights are loaded.
  void ready(const EndpointName &Name) {
    Records.at(Name).Seat->Phase = SeatPhase::Ready;
    publish(Name);
  }

  /// Whether an endpoint would take a join that reaches it now.
  [[nodiscard]] bool takes(const EndpointName &Name,
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
    std::vector<EndpointName> Out;
    for (const auto &[Name, Record] : Records)
      if (Record.isServingLeader())
        Out.push_back(Name);
    return Out;
  }

  [[nodiscard]] std::vector<EndpointName>
  membersOf(const EndpointName &Leader) const {
    std::vector<EndpointName> Out;
    const auto &Seat = Records.at(Leader).Seat;
    for (const auto &[Name, Record] : Records)
      if (Record.Seat && Seat && Record.Seat->Epoch == Seat->Epoch)
        Out.push_back(Name);
    return Out;
  }

  ServiceProfile Service;
  EndpointCatalogue Catalogue;
  std::set<DataCentreName> Drained;
  std::map<EndpointName, EndpointRecord> Records;
  /// Leaders that were told to open and have not done so yet.
  std::set<EndpointName> Opening;
  /// Endpoints whose records no longer reach the store.
  std::set<EndpointName> Unheard;
  /// Endpoints that carry out no order.
  std::set<EndpointName> Deaf;
  Assembler Driver{AssemblyTimes{}};
  TimePoint Now{seconds(1000)};
  std::uint64_t Fence = 1;
  bool CallersBegun = false;
  bool Slow = false;
  std::size_t MostOrders = 1'000'000;
  /// Joins of a member whose leader was open or opening.
  int JoinedWhileOpen = 0;
  /// Openings of a group whose members were not all ready.
  int OpenedPartial = 0;

private:
  OrderOutcome carryOut(const SeatCommand &Command) {
    const auto Found = Records.find(Command.To);
    if (Found == Records.end() || Deaf.contains(Command.To))
      return OrderOutcome::Unknown;
    EndpointRecord &Its = Found->second;
    std::visit(Overloaded{
                   [&](const JoinSeat &Join) { join(Its, Join); },
                   [&](const OpenSeat &Open) {
                     std::size_t Ready = 0;
                     for (const auto &[Name, Record] : Records)
                       Ready += Record.Seat &&
                                Record.Seat->Epoch == Open.Epoch &&
                                Record.Seat->Phase == SeatPhase::Ready;
                     OpenedPartial += Ready == sizeOf(Its) ? 0 : 1;
                     Opening.insert(Its.Name);
                   },
                   [&](const CloseSeat &) {
                     Opening.erase(Its.Name);
                     if (Its.Seat)
                       Its.Seat->Phase = SeatPhase::Ready;
                   },
                   [&](const LeaveSeat &) {
                     Opening.erase(Its.Name);
                     Its.Seat.reset();
                   },
                   [&](const StageModel &Stage) { Its.Staged = {Stage.Model}; },
               },
               Command.Order);
    publish(Its.Name);
    return OrderOutcome::Taken;
  }

  void join(EndpointRecord &Its, const JoinSeat &Join) {
    if (Its.Seat)
      for (const auto &[Name, Record] : Records)
        if (Record.Seat && Record.Seat->Epoch == Its.Seat->Epoch &&
            Record.Seat->Rank == 0 &&
            (Record.isServingLeader() || Opening.contains(Name)))
          ++JoinedWhileOpen;
    GroupSeat Seat;
    Seat.Group = Join.Group;
    Seat.Epoch = Join.Epoch;
    const auto Place =
        std::find(Join.Members.begin(), Join.Members.end(), Its.Name);
    Seat.Rank = static_cast<std::uint32_t>(Place - Join.Members.begin());
    Its.Seat = Seat;
    Its.Loaded = {Join.Model};
    Its.Staged = {Join.Model};
  }

  [[nodiscard]] std::size_t sizeOf(const EndpointRecord &Of) const {
    for (const ServedModel &Each : Service.Engine->Models)
      if (!Of.Loaded.empty() && Each.Name == Of.Loaded.back())
        return Each.Size;
    return 0;
  }
};

} // namespace coltsfoottrail::test

#endif
