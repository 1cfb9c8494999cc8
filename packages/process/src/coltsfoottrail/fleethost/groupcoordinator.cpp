#include "coltsfoottrail/fleethost/groupcoordinator.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/logging/log.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

std::string_view orderName(const SeatOrder &Order) {
  return std::visit(
      Overloaded{
          [](const JoinSeat &) { return std::string_view("join"); },
          [](const OpenSeat &) { return std::string_view("open"); },
          [](const CloseSeat &) { return std::string_view("close"); },
          [](const LeaveSeat &) { return std::string_view("leave"); },
          [](const StageModel &) { return std::string_view("stage"); },
      },
      Order);
}

std::uint64_t epochOf(const SeatOrder &Order) {
  return std::visit(Overloaded{
                        [](const StageModel &) { return GroupEpoch{0}; },
                        [](const auto &Seat) { return Seat.Epoch; },
                    },
                    Order);
}

std::string_view groupOf(const SeatOrder &Order) {
  return std::visit(
      Overloaded{
          [](const StageModel &) { return std::string_view(); },
          [](const auto &Seat) { return std::string_view(Seat.Group); },
      },
      Order);
}

/// Text for the log; empty if the order names no number of orders.
std::string expectedOrders(const SeatOrder &Order) {
  const auto *const Join = std::get_if<JoinSeat>(&Order);
  return Join != nullptr && Join->ExpectedOrders
             ? std::to_string(*Join->ExpectedOrders)
             : std::string();
}

/// Text for the log.
std::string_view phaseName(const std::optional<SeatPhase> &Phase) {
  if (!Phase)
    return "none";
  switch (*Phase) {
  case SeatPhase::Joining:
    return "joining";
  case SeatPhase::Ready:
    return "ready";
  case SeatPhase::Open:
    return "open";
  case SeatPhase::Closing:
    return "closing";
  case SeatPhase::Broken:
    break;
  }
  return "broken";
}

std::optional<SeatPhase> phaseOf(const std::optional<GroupSeat> &Seat) {
  return Seat ? std::optional(Seat->Phase) : std::nullopt;
}

std::string_view outcomeName(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Taken:
    return "taken";
  case OrderOutcome::Unfit:
    return "unfit";
  case OrderOutcome::Fenced:
    return "fenced";
  case OrderOutcome::WrongEndpoint:
    return "wrong-endpoint";
  case OrderOutcome::NotSent:
    return "not-sent";
  case OrderOutcome::Unknown:
    break;
  }
  return "unknown";
}

std::string countsText(const std::map<ModelName, std::uint32_t> &Counts) {
  std::string Text;
  for (const auto &[Model, Count] : Counts)
    Text +=
        (Text.empty() ? "" : ",") + Model.Text + ":" + std::to_string(Count);
  return Text;
}

std::string_view fateName(GroupFate Fate) {
  switch (Fate) {
  case GroupFate::Formed:
    return "formed";
  case GroupFate::Adopted:
    return "adopted";
  case GroupFate::Lost:
    return "lost";
  case GroupFate::Retired:
    return "retired";
  case GroupFate::ConversionBegun:
    return "conversion-begun";
  case GroupFate::ConversionFinished:
    return "conversion-finished";
  case GroupFate::ConversionGivenUp:
    return "conversion-given-up";
  case GroupFate::ConversionNotBegun:
    break;
  }
  return "conversion-not-begun";
}

} // namespace

GroupCoordinator::GroupCoordinator(FleetStore &Store, FleetEngines &Engines,
                                   const FleetView &View,
                                   const StallDetector &Silence,
                                   ReachabilityTracker &Reach,
                                   std::string Member, AssemblyTimes Times,
                                   Candidacy Election)
    : Store(Store), Engines(Engines), View(View), Silence(Silence),
      Reach(Reach), Self(std::move(Member)), Times(Times), Election(Election) {}

Awaitable<void> GroupCoordinator::holdDuty() {
  RenewalTimer.emplace(co_await asio::this_coro::executor);
  const TimePoint StartedAt = BootClock::now();
  milliseconds Next = Timing.RenewEvery;
  while (!Leaving) {
    const TimePoint RequestedAt = BootClock::now();
    if (RequestedAt < StandsAsideUntil ||
        Election.standsAside(Term.isLastHolder(), RequestedAt)) {
      co_await pauseRenewal(Timing.StandAsidePoll);
      continue;
    }
    if (Term.isLastHolder() && !Term.holds(RequestedAt) &&
        co_await hasSuccessor()) {
      endTerm();
      continue;
    }
    DutyRequest Request;
    Request.Member = Self;
    const milliseconds Lease = Term.lease();
    Request.Lease = Lease;
    Request.Generation = Term.generation();
    const auto Answer = co_await Store.joinDuty(std::move(Request));
    if (const auto *const Grant = std::get_if<DutyGrant>(&Answer)) {
      Election.recordMembership(RequestedAt + Lease);
      applyGrant(*Grant, RequestedAt);
    }
    const bool Answered = std::holds_alternative<DutyGrant>(Answer);
    Next = Answered ? Timing.RenewEvery
                    : std::min(2 * Next, Timing.LongestRenewPause);
    const bool Settling = BootClock::now() - StartedAt < Timing.StartupTime;
    co_await pauseRenewal(Settling ? Timing.StartupRenewEvery : Next);
  }
}

// Failure guarded against: a host that was cut off from the store only, and not
// from its peers, does not learn that it has a successor. If it requested the
// lease again, the store would reassign the lease among all members.
Awaitable<bool> GroupCoordinator::hasSuccessor() {
  const auto Answer = co_await Store.dutyHolder();
  const auto *const Holder = std::get_if<std::string>(&Answer);
  co_return Holder != nullptr && !Holder->empty() && *Holder != Self;
}

void GroupCoordinator::endTerm() {
  Term.release();
  Election.recordCoordinator(true, BootClock::now());
  logEvent(Event::DutyLost, {{"generation", Term.generation()}});
  if (OnDutyChange)
    OnDutyChange(false);
}

Awaitable<void> GroupCoordinator::pauseRenewal(milliseconds Pause) {
  RenewalTimer->expires_after(Pause);
  boost::system::error_code Cancelled;
  co_await RenewalTimer->async_wait(
      asio::redirect_error(asio::use_awaitable, Cancelled));
}

void GroupCoordinator::applyGrant(const DutyGrant &Grant,
                                  TimePoint RequestedAt) {
  const TimePoint Now = BootClock::now();
  const DutyChange Change = Term.applyGrant(Grant, RequestedAt, Now);
  if (Change == DutyChange::None)
    return;
  const bool Gained = Change == DutyChange::Gained;
  if (Gained) {
    logEvent(Event::DutyGained, {{"fence", Term.fence()}});
    for (auto &[Name, ServiceAssembler] : Assemblers)
      ServiceAssembler.begin(Now);
    Divisions.begin(Now);
  } else
    logEvent(Event::DutyLost, {{"generation", Term.generation()}});
  if (OnDutyChange)
    OnDutyChange(Gained);
}

Awaitable<void> GroupCoordinator::driveGroups() {
  Executor = co_await asio::this_coro::executor;
  asio::steady_timer Pause(*Executor);
  while (true) {
    planNow();
    Pause.expires_after(Timing.PlanEvery);
    co_await Pause.async_wait(asio::use_awaitable);
  }
}

void GroupCoordinator::planNow() {
  if (Executor)
    planGroups(BootClock::now(), *Executor);
}

void GroupCoordinator::planGroups(TimePoint Now,
                                  const asio::any_io_executor &Executor) {
  if (!Term.mayAct(Now, View.allEndpointsAsOf()) || !View.config())
    return;
  // Keeps the services that are iterated, whatever is published meanwhile.
  const RouteIndexPtr Config = View.config();
  for (const ServiceProfile &Service : Config->config().Services)
    if (Service.Engine && !Service.Engine->Models.empty())
      tryPlan(Service, Now, Executor);
  if (Now >= SummaryDue)
    SummaryDue = Now + Timing.SummaryEvery;
  logGroupNotes();
}

// Failure guarded against: a pass fails, for want of memory or by a record that
// nobody foresaw, and the coordinator keeps its lease without ever planning
// again. The state that the pass has left is dropped, as for a new term; after
// several failures another host may do better.
void GroupCoordinator::tryPlan(const ServiceProfile &Service, TimePoint Now,
                               const asio::any_io_executor &Executor) {
  auto It = Assemblers.find(Service.Name);
  if (It == Assemblers.end()) {
    It = Assemblers.emplace(Service.Name, Assembler(Times)).first;
    It->second.begin(Now);
  }
  try {
    planService(Service, It->second, Now, Executor);
  } catch (const std::exception &Problem) {
    FailureCount &Count = FailedPasses[Service.Name];
    if (Now - Count.LastAt > Timing.StandAsideAfterFailures)
      Count.Failures = 0;
    Count.LastAt = Now;
    const std::size_t Failures = ++Count.Failures;
    logEvent(Event::PlanFailed, {{"service", Service.Name},
                                 {"failures", Failures},
                                 {"problem", Problem.what()}});
    It->second.begin(Now);
    if (Failures >= Timing.MaxFailedPasses)
      resign(Now, Executor);
  }
}

void GroupCoordinator::planService(const ServiceProfile &Service,
                                   Assembler &Groups, TimePoint Now,
                                   const asio::any_io_executor &Executor) {
  AssemblyView Snapshot{View.endpoints(), Service,    View.drained(),
                        Term.fence(),     HasCallers, freeOrders()};
  followDemand(Snapshot, Now);
  for (SeatCommand &Command : Groups.plan(Snapshot, Now)) {
    if (OnSeatOrders && !std::holds_alternative<StageModel>(Command.Order))
      OnSeatOrders();
    ++OrdersInFlight;
    asio::co_spawn(Executor, execute(std::move(Command), Term.fence()),
                   asio::detached);
  }
  for (MemberProbe &Question : Groups.takeProbes())
    asio::co_spawn(Executor, probeMissing(Service.Name, std::move(Question)),
                   asio::detached);
  for (MemberProbe &Read : Groups.takeStatusReads())
    asio::co_spawn(Executor, readStatus(Service.Name, std::move(Read)),
                   asio::detached);
  logSummary(Groups, Snapshot, Now);
}

void GroupCoordinator::resign(TimePoint Now,
                              const asio::any_io_executor &Executor) {
  FailedPasses.clear();
  StandsAsideUntil = Now + Timing.StandAsideAfterFailures;
  endTerm();
  asio::co_spawn(Executor, Store.leaveDuty(Self), asio::detached);
}

void GroupCoordinator::followDemand(AssemblyView &Snapshot, TimePoint Now) {
  const ServiceName &Service = Snapshot.Service.Name;
  if (Divisions.isDue(Service, Now)) {
    const DemandSum Sum = DemandSource ? DemandSource(Now) : DemandSum{};
    const std::size_t KnownHosts = HostCount ? HostCount(Now) : 0;
    DivisionLog.log(Service, Divisions.update(Snapshot, Sum, KnownHosts, Now),
                    Now);
  }
  Divisions.applyTo(Snapshot);
}

std::size_t GroupCoordinator::freeOrders() const noexcept {
  return Timing.MaxOrdersInFlight -
         std::min(Timing.MaxOrdersInFlight, OrdersInFlight);
}

void GroupCoordinator::logSummary(const Assembler &ServiceAssembler,
                                  const AssemblyView &Snapshot, TimePoint Now) {
  if (Now < SummaryDue)
    return;
  for (const DomainSummary &Summary : ServiceAssembler.summary(Snapshot, Now)) {
    logEvent(Event::DomainState,
             {{"data_centre", Summary.DataCentre},
              {"domain", Summary.Domain},
              {"open", Summary.Open},
              {"other_seats", Summary.OtherSeats},
              {"free", Summary.Free},
              {"free_with", countsText(Summary.FreeByModel)},
              {"second_models", countsText(Summary.SecondByModel)},
              {"loading", Summary.Loading},
              {"locked", Summary.Locked}});
  }
}

// Failure guarded against: a coordinator is suspended while it connects to an
// engine, and sends the order when it wakes. Its successor has acted on the
// engines meanwhile and expects no such order any more.
class GroupCoordinator::TermPolicy final : public CallPolicy {
public:
  TermPolicy(const DutyTerm &Current, std::uint64_t TermFence)
      : Term(Current), Fence(TermFence) {}
  [[nodiscard]] bool mayAbort() const override { return true; }
  [[nodiscard]] bool maySend() const override {
    return Term.holds(BootClock::now()) && Term.fence() == Fence;
  }

private:
  const DutyTerm &Term;
  std::uint64_t Fence;
};

Awaitable<void> GroupCoordinator::execute(SeatCommand Command,
                                          std::uint64_t Fence) {
  const EndpointName Target = Command.To;
  const SeatOrder Order = Command.Order;
  const std::optional<GroupSeat> Known = Command.KnownSeat;
  const TermPolicy Policy(Term, Fence);
  const TimePoint SentAt = BootClock::now();
  const auto RecordAge =
      std::chrono::duration_cast<milliseconds>(SentAt - Command.KnownAt);
  // An exception must not keep the order in flight for ever.
  OrderOutcome Outcome = OrderOutcome::Unknown;
  try {
    Outcome =
        co_await Engines.order(Command.Address, Target, Order, Fence, Policy);
  } catch (const std::exception &Problem) {
    logEvent(Event::TaskFailed,
             {{"task", "order"}, {"problem", Problem.what()}});
  }
  const auto Took =
      std::chrono::duration_cast<milliseconds>(BootClock::now() - SentAt);
  --OrdersInFlight;
  logEvent(Event::SeatOrdered, {{"order", orderName(Order)},
                                {"endpoint", Target},
                                {"group", groupOf(Order)},
                                {"epoch", epochOf(Order)},
                                {"fence", Fence},
                                {"expected_orders", expectedOrders(Order)},
                                {"seat", Known ? Known->Epoch : 0},
                                {"phase", phaseName(phaseOf(Known))},
                                {"record_age_ms", RecordAge.count()},
                                {"outcome", outcomeName(Outcome)},
                                {"took_ms", Took.count()}});
  for (auto &[Name, ServiceAssembler] : Assemblers)
    if (Fence == Term.fence())
      ServiceAssembler.recordOutcome(Target, Order, Outcome, BootClock::now());
  // Another host holds the lease, so nothing more is ordered with this fencing
  // token.
  if (Outcome == OrderOutcome::Fenced && Fence == Term.fence())
    Term.recordFenced();
}

void GroupCoordinator::logGroupNotes() {
  for (auto &[Name, ServiceAssembler] : Assemblers)
    for (const GroupEvent &Note : ServiceAssembler.takeEvents())
      logEvent(Event::GroupChanged, {{"fate", fateName(Note.Fate)},
                                     {"group", Note.Group},
                                     {"epoch", Note.Epoch},
                                     {"model", Note.Model},
                                     {"endpoint", Note.Cause},
                                     {"for_model", Note.Receiver},
                                     {"leader", phaseName(Note.LeaderPhase)},
                                     {"may_open", Note.MayBeOpened},
                                     {"why", Note.Why}});
}

Awaitable<void> GroupCoordinator::leave() {
  Leaving = true;
  Term.release();
  co_await Store.leaveDuty(Self);
}

/// The members of one leader's groups and which of them have answered.
struct GroupCoordinator::ProbeRound {
  std::string Leader;
  std::vector<EndpointName> Members;
  std::vector<bool> Answered;
  std::size_t Pending = 0;
};

void GroupCoordinator::probeMembers(const std::string &Leader,
                                    const asio::any_io_executor &Executor) {
  const TimePoint Now = BootClock::now();
  std::erase_if(NextProbeAt,
                [&](const auto &Probe) { return Probe.second <= Now; });
  if (!holds(Now) || NextProbeAt.contains(Leader))
    return;
  auto Round = std::make_shared<ProbeRound>();
  Round->Leader = Leader;
  for (auto &[Name, ServiceAssembler] : Assemblers)
    for (const EndpointName &Member :
         ServiceAssembler.membersLedBy(EndpointName(Leader)))
      Round->Members.push_back(Member);
  if (Round->Members.empty())
    return;
  Reach.recordSuspicion(Now);
  NextProbeAt[Leader] = Now + Timing.ProbeAgainAfter;
  Round->Answered.resize(Round->Members.size());
  Round->Pending = Round->Members.size();
  for (std::size_t Index = 0; Index < Round->Members.size(); ++Index)
    asio::co_spawn(Executor, probeMember(Round, Index), asio::detached);
}

/// Throws if the probe is not answered.
Awaitable<void> GroupCoordinator::probeAfter(EngineAddress Address,
                                             EndpointName Name,
                                             milliseconds After) {
  asio::steady_timer Pause(co_await asio::this_coro::executor, After);
  co_await Pause.async_wait(asio::use_awaitable);
  if (!co_await Engines.answers(Address, Name, Timing.ProbeTimeout - After))
    throw Error("no answer");
}

// Failure guarded against: packet loss makes a healthy member look dead, and
// its group is closed. With a packet loss of one in forty, a tenth of the
// probes is not answered in time; of three probes in parallel, all fail for one
// member in a thousand. Sending them one after the other would take three times
// as long.
Awaitable<bool> GroupCoordinator::isAlive(EngineAddress Address,
                                          EndpointName Name) {
  using namespace asio::experimental::awaitable_operators;
  try {
    co_await (probeAfter(Address, Name, milliseconds(0)) ||
              probeAfter(Address, Name, Timing.ProbeRetryEvery) ||
              probeAfter(Address, Name, 2 * Timing.ProbeRetryEvery));
  } catch (const std::exception &) {
    co_return false;
  }
  co_return true;
}

Awaitable<void> GroupCoordinator::probeMissing(ServiceName Service,
                                               MemberProbe Question) {
  const bool Alive = co_await isAlive(Question.Address, Question.Name);
  logEvent(Event::MissingAsked,
           {{"endpoint", Question.Name}, {"alive", Alive}});
  if (const auto It = Assemblers.find(Service); It != Assemblers.end())
    It->second.recordProbeResult(Question.Name, Alive, BootClock::now());
  if (!Alive)
    planNow();
}

Awaitable<void> GroupCoordinator::readStatus(ServiceName Service,
                                             MemberProbe Read) {
  const std::optional<EngineStatus> Status =
      co_await Engines.status(Read.Address, Read.Name, Timing.ProbeTimeout);
  if (const auto It = Assemblers.find(Service); It != Assemblers.end())
    It->second.recordStatus(Read.Name, Status);
  if (Status && !Status->Seated)
    planNow();
}

Awaitable<void> GroupCoordinator::probeMember(std::shared_ptr<ProbeRound> Round,
                                              std::size_t Index) {
  const KnownEndpoint *const Entry =
      View.endpoints().find(Round->Members[Index]);
  if (Entry != nullptr) {
    const bool Answered =
        co_await isAlive(Entry->Record.Address, Entry->Record.Name);
    Round->Answered[Index] = Answered;
  }
  if (--Round->Pending == 0)
    finishRound(*Round);
}

bool GroupCoordinator::hasLiveNeighbour(const ProbeRound &Round,
                                        TimePoint Now) const {
  const KnownEndpoint *const Leader =
      View.endpoints().find(EndpointName(Round.Leader));
  if (Leader == nullptr)
    return false;
  for (const auto &[Name, Entry] : View.endpoints().all())
    if (Entry.Record.DataCentre == Leader->Record.DataCentre &&
        Name.Text != Round.Leader && Silence.active(Name.Text, Now))
      return true;
  return false;
}

// Failure guarded against: this host is cut off from the engines, or its own
// link loses packets, and it takes healthy groups for broken. A member counts
// as dead only if another member of the same leader answered in the same round,
// or if streams of another endpoint in the leader's data centre make progress.
// A host that is cut off may still reach one member of a group.
bool GroupCoordinator::isCredible(const ProbeRound &Round,
                                  TimePoint Now) const {
  if (Reach.isDoubtful(Now))
    return false;
  return std::count(Round.Answered.begin(), Round.Answered.end(), true) > 0 ||
         hasLiveNeighbour(Round, Now);
}

void GroupCoordinator::finishRound(const ProbeRound &Round) {
  const auto AnsweredCount =
      std::count(Round.Answered.begin(), Round.Answered.end(), true);
  const bool Credible = isCredible(Round, BootClock::now());
  std::string Dead;
  for (std::size_t Index = 0; Index < Round.Members.size(); ++Index) {
    const KnownEndpoint *const Entry =
        View.endpoints().find(Round.Members[Index]);
    if (Round.Answered[Index] || Entry == nullptr || !Credible)
      continue;
    Dead += (Dead.empty() ? "" : ",") + Round.Members[Index].Text;
    for (auto &[Name, ServiceAssembler] : Assemblers)
      ServiceAssembler.declareDead(*Entry, BootClock::now());
  }
  logEvent(Event::MembersAsked,
           {{"leader", Round.Leader},
            {"members", Round.Members.size()},
            {"answered", static_cast<std::uint64_t>(AnsweredCount)},
            {"credible", Credible},
            {"dead", Dead}});
  planNow();
}

} // namespace coltsfoottrail
