#include "coltsfoottrail/fleethost/assemblydesk.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
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

std::string_view fateName(GroupFate Fate) {
  switch (Fate) {
  case GroupFate::Formed:
    return "formed";
  case GroupFate::Adopted:
    return "adopted";
  case GroupFate::Lost:
    return "lost";
  case GroupFate::Retired:
    break;
  }
  return "retired";
}

} // namespace

AssemblyDesk::AssemblyDesk(FleetStore &Where, FleetEngines &Given,
                           const FleetView &Believed, const SilenceWatch &Heard,
                           std::string Member, AssemblyTimes Wanted,
                           Candidacy Rule)
    : Store(Where), Engines(Given), View(Believed), Silence(Heard),
      Self(std::move(Member)), Times(Wanted), Election(Rule) {}

Awaitable<void> AssemblyDesk::holdDuty() {
  Renewal.emplace(co_await asio::this_coro::executor);
  const TimePoint Began = BootClock::now();
  milliseconds Next = Pace.RenewEvery;
  while (!Leaving) {
    const TimePoint AskedAt = BootClock::now();
    if (Election.standsAside(Term.held(), AskedAt)) {
      co_await pauseRenewal(Pace.StandAsideLook);
      continue;
    }
    if (Term.held() && !Term.holds(AskedAt) && co_await isSucceeded()) {
      endTerm();
      continue;
    }
    DutyRequest Ask;
    Ask.Member = Self;
    const milliseconds Lease = Term.lease();
    Ask.Lease = Lease;
    Ask.Generation = Term.generation();
    const auto Answer = co_await Store.joinDuty(std::move(Ask));
    if (const auto *const Grant = std::get_if<DutyGrant>(&Answer)) {
      Election.recordMembership(AskedAt + Lease);
      take(*Grant, AskedAt);
    }
    const bool Answered = std::holds_alternative<DutyGrant>(Answer);
    Next =
        Answered ? Pace.RenewEvery : std::min(2 * Next, Pace.LongestRenewPause);
    const bool Settling = BootClock::now() - Began < Pace.SettleTime;
    co_await pauseRenewal(Settling ? Pace.SettleEvery : Next);
  }
}

// A host that was cut off from the store alone reports to nobody and does not
// hear of its successor. Were it to ask for the lease, the store would deal it
// out anew.
Awaitable<bool> AssemblyDesk::isSucceeded() {
  const auto Answer = co_await Store.dutyHolder();
  const auto *const Holder = std::get_if<std::string>(&Answer);
  co_return Holder != nullptr && !Holder->empty() && *Holder != Self;
}

void AssemblyDesk::endTerm() {
  Term.giveUp();
  Election.recordCoordinator(true, BootClock::now());
  logEvent(Event::DutyLost, {{"generation", Term.generation()}});
  if (Changed)
    Changed(false);
}

Awaitable<void> AssemblyDesk::pauseRenewal(milliseconds Span) {
  Renewal->expires_after(Span);
  boost::system::error_code Hurried;
  co_await Renewal->async_wait(
      asio::redirect_error(asio::use_awaitable, Hurried));
}

void AssemblyDesk::take(const DutyGrant &Grant, TimePoint AskedAt) {
  const TimePoint Now = BootClock::now();
  const DutyChange What = Term.take(Grant, AskedAt, Now);
  if (What == DutyChange::None)
    return;
  const bool Gained = What == DutyChange::Gained;
  if (Gained) {
    logEvent(Event::DutyGained, {{"fence", Term.fence()}});
    for (auto &[Name, Each] : Assemblers)
      Each.begin(Now);
  } else
    logEvent(Event::DutyLost, {{"generation", Term.generation()}});
  if (Changed)
    Changed(Gained);
}

Awaitable<void> AssemblyDesk::drive() {
  Executor = co_await asio::this_coro::executor;
  asio::steady_timer Pause(*Executor);
  while (true) {
    lookNow();
    Pause.expires_after(Pace.LookEvery);
    co_await Pause.async_wait(asio::use_awaitable);
  }
}

void AssemblyDesk::lookNow() {
  if (Executor)
    look(BootClock::now(), *Executor);
}

void AssemblyDesk::look(TimePoint Now, const asio::any_io_executor &On) {
  if (!Term.mayAct(Now, View.allEndpointsAsOf()) || !View.config())
    return;
  for (const ServiceProfile &Service : View.config()->config().Services) {
    if (!Service.Engine || Service.Engine->Models.empty())
      continue;
    auto Found = Assemblers.find(Service.Name);
    if (Found == Assemblers.end()) {
      Found = Assemblers.emplace(Service.Name, Assembler(Times)).first;
      Found->second.begin(Now);
    }
    const AssemblyView Seen{View.endpoints(), Service, View.drained(),
                            Term.fence(),     Begun,   ordersLeft()};
    for (SeatCommand &Command : Found->second.plan(Seen, Now)) {
      if (Moving && !std::holds_alternative<StageModel>(Command.Order))
        Moving();
      ++OrdersUnderWay;
      asio::co_spawn(On, carryOut(std::move(Command), Term.fence()),
                     asio::detached);
    }
    for (MemberQuestion &Each : Found->second.takeQuestions())
      asio::co_spawn(On, askMissing(Service.Name, std::move(Each)),
                     asio::detached);
    logSummary(Found->second, Seen, Now);
  }
  if (Now >= SummaryDue)
    SummaryDue = Now + Pace.SummaryEvery;
  logNotes();
}

std::size_t AssemblyDesk::ordersLeft() const noexcept {
  return Pace.MostOrders - std::min(Pace.MostOrders, OrdersUnderWay);
}

void AssemblyDesk::logSummary(const Assembler &Of, const AssemblyView &Seen,
                              TimePoint Now) {
  if (Now < SummaryDue)
    return;
  for (const DomainSummary &Each : Of.summary(Seen, Now)) {
    std::string With;
    for (const auto &[Model, Count] : Each.FreeWith)
      With +=
          (With.empty() ? "" : ",") + Model.Text + ":" + std::to_string(Count);
    logEvent(Event::DomainState, {{"data_centre", Each.DataCentre},
                                  {"domain", Each.Domain},
                                  {"open", Each.Open},
                                  {"other_seats", Each.OtherSeats},
                                  {"free", Each.Free},
                                  {"free_with", With},
                                  {"loading", Each.Loading},
                                  {"locked", Each.Locked}});
  }
}

Awaitable<void> AssemblyDesk::carryOut(SeatCommand Command,
                                       std::uint64_t Fence) {
  const EndpointName To = Command.To;
  const SeatOrder Order = Command.Order;
  const OrderOutcome Outcome =
      co_await Engines.order(Command.Address, To, Order, Fence);
  --OrdersUnderWay;
  logEvent(Event::SeatOrdered, {{"order", orderName(Order)},
                                {"endpoint", To},
                                {"epoch", epochOf(Order)},
                                {"fence", Fence},
                                {"outcome", outcomeName(Outcome)}});
  for (auto &[Name, Each] : Assemblers)
    if (Fence == Term.fence())
      Each.ordered(To, Order, Outcome, BootClock::now());
  // Another host has the duty: nothing more is ordered under this number.
  if (Outcome == OrderOutcome::Fenced && Fence == Term.fence())
    Term.fenced();
}

void AssemblyDesk::logNotes() {
  for (auto &[Name, Each] : Assemblers)
    for (const GroupNote &Note : Each.takeNotes())
      logEvent(Event::GroupChanged, {{"fate", fateName(Note.Fate)},
                                     {"group", Note.Group},
                                     {"model", Note.Model},
                                     {"endpoint", Note.Cause},
                                     {"why", Note.Why}});
}

Awaitable<void> AssemblyDesk::leave() {
  Leaving = true;
  Term.giveUp();
  co_await Store.leaveDuty(Self);
}

/// Members of one leader, and which of them answered.
struct AssemblyDesk::Inquiry {
  std::string Leader;
  std::vector<EndpointName> Members;
  std::vector<bool> Answered;
  std::size_t Left = 0;
};

void AssemblyDesk::askAbout(const std::string &Leader,
                            const asio::any_io_executor &On) {
  const TimePoint Now = BootClock::now();
  std::erase_if(NotAskedBefore,
                [&](const auto &Entry) { return Entry.second <= Now; });
  if (!holds(Now) || NotAskedBefore.contains(Leader))
    return;
  auto Round = std::make_shared<Inquiry>();
  Round->Leader = Leader;
  for (auto &[Name, Each] : Assemblers)
    for (const EndpointName &Member : Each.membersWith(EndpointName(Leader)))
      Round->Members.push_back(Member);
  if (Round->Members.empty())
    return;
  NotAskedBefore[Leader] = Now + Pace.AskAgainAfter;
  Round->Answered.resize(Round->Members.size());
  Round->Left = Round->Members.size();
  for (std::size_t Index = 0; Index < Round->Members.size(); ++Index)
    asio::co_spawn(On, ask(Round, Index), asio::detached);
}

/// Throws when there is no answer.
Awaitable<void> AssemblyDesk::answersLater(EngineAddress Address,
                                           EndpointName Name,
                                           milliseconds After) {
  asio::steady_timer Pause(co_await asio::this_coro::executor, After);
  co_await Pause.async_wait(asio::use_awaitable);
  if (!co_await Engines.answers(Address, Name, Pace.AnswerWithin - After))
    throw Error("no answer");
}

// Failure guarded against: a link that loses packets makes a sound member look
// dead, and its group is closed. With one packet in forty lost, a tenth of the
// questions stays without an answer in time; of three in parallel, one in a
// thousand. Asked one after the other they would take three times as long.
Awaitable<bool> AssemblyDesk::answers(EngineAddress Address,
                                      EndpointName Name) {
  using namespace asio::experimental::awaitable_operators;
  try {
    co_await (answersLater(Address, Name, milliseconds(0)) ||
              answersLater(Address, Name, Pace.AskAgainEvery) ||
              answersLater(Address, Name, 2 * Pace.AskAgainEvery));
  } catch (const std::exception &) {
    co_return false;
  }
  co_return true;
}

Awaitable<void> AssemblyDesk::askMissing(ServiceName Service,
                                         MemberQuestion Whom) {
  const bool Alive = co_await answers(Whom.Address, Whom.Name);
  logEvent(Event::MissingAsked, {{"endpoint", Whom.Name}, {"alive", Alive}});
  if (const auto Found = Assemblers.find(Service); Found != Assemblers.end())
    Found->second.asked(Whom.Name, Alive, BootClock::now());
  if (!Alive)
    lookNow();
}

Awaitable<void> AssemblyDesk::ask(std::shared_ptr<Inquiry> Round,
                                  std::size_t Index) {
  const KnownEndpoint *const Known =
      View.endpoints().find(Round->Members[Index]);
  if (Known != nullptr) {
    const bool Answered =
        co_await answers(Known->Record.Address, Known->Record.Name);
    Round->Answered[Index] = Answered;
  }
  if (--Round->Left == 0)
    conclude(*Round);
}

bool AssemblyDesk::hearsNeighbours(const Inquiry &Round, TimePoint Now) const {
  const KnownEndpoint *const Leader =
      View.endpoints().find(EndpointName(Round.Leader));
  if (Leader == nullptr)
    return false;
  for (const auto &[Name, Known] : View.endpoints().all())
    if (Known.Record.DataCentre == Leader->Record.DataCentre &&
        Name.Text != Round.Leader && Silence.moves(Name.Text, Now))
      return true;
  return false;
}

// Failure guarded against: this host is cut off from the engines, or its own
// link loses packets, and it takes sound groups for broken. A member counts as
// dead only if another member of the same group answered in the same round, or
// streams from the same data centre move.
void AssemblyDesk::conclude(const Inquiry &Round) {
  const auto Heard =
      std::count(Round.Answered.begin(), Round.Answered.end(), true);
  const bool Credible = Heard > 0 || hearsNeighbours(Round, BootClock::now());
  std::string Dead;
  for (std::size_t Index = 0; Index < Round.Members.size(); ++Index) {
    const KnownEndpoint *const Known =
        View.endpoints().find(Round.Members[Index]);
    if (Round.Answered[Index] || Known == nullptr || !Credible)
      continue;
    Dead += (Dead.empty() ? "" : ",") + Round.Members[Index].Text;
    for (auto &[Name, Each] : Assemblers)
      Each.declareDead(*Known, BootClock::now());
  }
  logEvent(Event::MembersAsked,
           {{"leader", Round.Leader},
            {"members", Round.Members.size()},
            {"answered", static_cast<std::uint64_t>(Heard)},
            {"dead", Dead}});
  lookNow();
}

} // namespace coltsfoottrail
