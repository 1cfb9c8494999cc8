#include "coltsfoottrail/dissemination/link.hpp"

#include "coltsfoottrail/dissemination/pace.hpp"
#include "coltsfoottrail/logging/log.hpp"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr std::string_view ReportPath = "/report";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
/// Time for an exchange beyond the hold: hosts are a few milliseconds apart.
constexpr milliseconds ExchangeSlack{230};
/// Pause after a lost exchange.
constexpr milliseconds RetryPause{100};
/// Pause after a host answered that does not coordinate: two hosts that take
/// each other for the coordinator would exchange reports without end.
constexpr milliseconds MistakenPause{30};
/// The largest count of hosts of so long a time is the one to go by: hosts that
/// are cut off for a while still send.
constexpr Duration HostsLife = seconds(30);
/// The coordinator counts as alive for so long after it was heard.
constexpr Duration CoordinatorLife = seconds(1);
/// A relay passes the sign of a valid lease on for so long: some exchanges.
constexpr Duration LeaseSignLife = milliseconds(300);

} // namespace

std::string memberName(const SocketAddress &Peers, std::string_view Run) {
  return Peers.Address + ":" + std::to_string(Peers.Port) + "/" +
         std::string(Run);
}

TreeLink::TreeLink(IoPool &Pool, const SocketAddress &Listen,
                   std::string Member, FleetStore &Where, TreeLinkHooks Calls)
    : Store(Where), Hooks(std::move(Calls)), Self(std::move(Member)),
      Node(HostName(Self)), Client(Pool.context(0), ClientOptions{}),
      Updated(Pool.context(0), asio::steady_timer::time_point::max()),
      Up(Self, BootClock::now()), Hold(LongestReportPace) {
  Server.emplace(
      Pool, Listen.Address, Listen.Port, ServerLimits{},
      ServerHooks{[this](Exchange &Call) { return serve(Call); }, {}, {}});
}

void TreeLink::close() {
  Server.reset();
  Client.closeIdle();
}

void TreeLink::ingest(Feed Which, const FeedPage &Page,
                      std::span<const RoutingEffect> Effects, bool Whole,
                      TimePoint AsOf) {
  Node.ingest(Which, Page, Effects, Whole, AsOf);
  const bool Any =
      std::any_of(Effects.begin(), Effects.end(), [](RoutingEffect Each) {
        return Each != RoutingEffect::None;
      });
  if (Any)
    Updated.cancel();
}

// Updates are collected for a while before the response leaves: each of them
// would otherwise wake all reporters.
Awaitable<void> TreeLink::waitForUpdate(const Report &From) {
  const TimePoint Arrived = BootClock::now();
  const std::size_t Reporters = Node.reporters(Arrived);
  const TimePoint Until = Arrived + reportPace(Reporters);
  const TimePoint Earliest = Arrived + batchTime(Reporters);
  asio::steady_timer Over(co_await asio::this_coro::executor);
  Over.expires_after(Until - Arrived);
  while (!Node.hasUpdate(From) && BootClock::now() < Until) {
    boost::system::error_code Woken;
    co_await (
        Updated.async_wait(asio::redirect_error(asio::use_awaitable, Woken)) ||
        Over.async_wait(asio::use_awaitable));
  }
  const Duration Left = Earliest - BootClock::now();
  if (Left <= Duration::zero() || !From.Missing.empty())
    co_return;
  Over.expires_after(Left);
  co_await Over.async_wait(asio::use_awaitable);
}

Awaitable<Response> TreeLink::respond(const Report &From) {
  noticeSuccession();
  // A sender that takes this host for the coordinator reports to the real one
  // next; counted here too, its loads would be in both sums.
  const bool Mistaken =
      !Hooks.Coordinates() && !From.ToRelay && Up.coordinator();
  if (!Mistaken)
    Node.recordReport(From, BootClock::now());
  Response Out;
  std::optional<HostName> Assigned;
  if (Hooks.Coordinates())
    Assigned = Node.assignRelay(From, BootClock::now());
  if (Assigned) {
    Out.Relay = textOf(*addressOfMember(Assigned->Text));
  } else {
    if (From.Stalled.empty() && !Mistaken)
      co_await waitForUpdate(From);
    Out = Node.respond(From, BootClock::now());
  }
  const TimePoint Now = BootClock::now();
  Out.Coordinates = Hooks.Coordinates();
  Out.CoordinatorHeard =
      Out.Coordinates || Now - CoordinatorHeardAt < CoordinatorLife;
  Out.LeaseHeard = Hooks.HoldsLease() || Now - LeaseHeardAt < LeaseSignLife;
  // The largest count of a while must not be passed on: hosts would renew it
  // among themselves, and a restarted host would count twice for good.
  if (!Out.Coordinates && hearsUpstream(Now))
    Out.Hosts = std::max<std::uint64_t>(Out.Hosts, UpstreamHosts);
  Out.Hold = reportPace(Node.reporters(Now));
  if (!Out.Coordinates && Up.coordinator())
    Out.Coordinator = textOf(*Up.coordinator());
  co_return Out;
}

Awaitable<void> TreeLink::forwardStalls(std::vector<std::string> Stalled) {
  for (std::string &Each : Stalled)
    if (Hooks.Coordinates())
      Hooks.Stalled(Each);
    else
      co_await reportStall(std::move(Each));
}

Awaitable<void> TreeLink::serve(Exchange &Call) {
  HttpResponse Out;
  if (Call.request().Target != ReportPath) {
    Out.Status = StatusNotFound;
    co_await Call.respond(std::move(Out));
    co_return;
  }
  Report From;
  try {
    From = decodeReport(Call.request().Body);
  } catch (const Error &Problem) {
    logEvent(Event::PeerRefused, {{"problem", Problem.what()}});
    Out.Status = StatusBadRequest;
  }
  if (Out.Status != StatusOk) {
    co_await Call.respond(std::move(Out));
    co_return;
  }
  (void)Up.reportedHere(From.Host, BootClock::now());
  const Response Made = co_await respond(From);
  Out.Fields.push_back({"Content-Type", "application/cbor"});
  Out.Body = encode(Made);
  co_await Call.respond(std::move(Out));
  co_await forwardStalls(std::move(From.Stalled));
}

// While the store does not answer nobody learns of a new coordinator. The old
// one still sums up loads; its feeds grow old and are not used.
Awaitable<void> TreeLink::askForCoordinator() {
  const auto Answer = co_await Store.dutyHolder();
  if (const auto *const Member = std::get_if<std::string>(&Answer))
    Up.setCoordinator(*Member);
}

// The reporters of a former coordinator report to its successor; reported here
// as well, their loads would count twice.
void TreeLink::noticeSuccession() {
  const bool Coordinates = Hooks.Coordinates();
  if (std::exchange(Coordinated, Coordinates) && !Coordinates)
    Node.forgetReporters();
}

Report TreeLink::ownReport(TimePoint Now) {
  noticeSuccession();
  Report Out = Hooks.MakeReport();
  Out.Host = HostName(Self);
  Node.recordOwn(std::move(Out.Loads), Now);
  Out.Loads = Node.loadsBelow(Now);
  Out.Hosts = Node.hostsBelow(Now);
  Out.ToRelay = Up.hasRelay();
  Out.FailedRelay = Up.failedRelay(Now);
  return Out;
}

Awaitable<TreeLink::Exchanged> TreeLink::exchange(EngineAddress To,
                                                  Report Message) {
  const bool ByRelay = Up.hasRelay();
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = ReportPath;
  Request.Fields = {{"Content-Type", "application/cbor"}};
  Request.Body = encode(Message);
  const TimePoint SentAt = BootClock::now();
  const auto Outcome = co_await Client.fetch(std::move(To), std::move(Request),
                                             SentAt + Hold + ExchangeSlack);
  const auto *const Answer = std::get_if<HttpResponse>(&Outcome);
  if (Answer == nullptr || Answer->Status != StatusOk)
    co_return Exchanged::Failed;
  Response Made;
  try {
    Made = decodeResponse(Answer->Body);
  } catch (const Error &Problem) {
    logEvent(Event::PeerRefused, {{"problem", Problem.what()}});
    co_return Exchanged::Failed;
  }
  const TimePoint Now = BootClock::now();
  UpstreamHeardAt = Now;
  UpstreamHosts = Made.Hosts;
  if (Made.CoordinatorHeard)
    CoordinatorHeardAt = Now;
  if (Made.LeaseHeard)
    LeaseHeardAt = Now;
  recordHosts(Made.Hosts, Now);
  if (Up.respond(Made, ByRelay)) {
    Hold = LongestReportPace;
    logEvent(Event::RelayAssigned, {{"relay", *Made.Relay}});
    co_return Exchanged::Done;
  }
  Hold = std::clamp(Made.Hold, ShortestReportPace, LongestReportPace);
  Node.recordOutside(std::move(Made.Loads), Now);
  Made.Loads = Node.otherLoads(Now);
  const bool Mistaken = !ByRelay && !Made.Coordinates;
  Hooks.Apply(Message, std::move(Made), SentAt);
  co_return Mistaken ? Exchanged::Mistaken : Exchanged::Done;
}

void TreeLink::recordHosts(std::uint64_t Count, TimePoint Now) {
  if (Count < Hosts && Now - HostsAt < HostsLife)
    return;
  Hosts = Count;
  HostsAt = Now;
}

std::size_t TreeLink::hosts(TimePoint Now) const noexcept {
  return Now - HostsAt < HostsLife ? Hosts : 0;
}

bool TreeLink::hearsUpstream(TimePoint Now) const noexcept {
  return Now - UpstreamHeardAt < CoordinatorLife;
}

/// The root is a host like the others: it takes part in the sums itself.
void TreeLink::recordOwnAsRoot() {
  const TimePoint Now = BootClock::now();
  Up.coordinate();
  Report Own = ownReport(Now);
  recordHosts(Own.Hosts, Now);
  CoordinatorHeardAt = Now;
  Response Made;
  Made.Coordinates = true;
  Made.Loads = Node.otherLoads(Now);
  Own.Next.clear();
  Own.Missing.clear();
  Hooks.Apply(Own, std::move(Made), Now);
}

void TreeLink::abandonUpstream() {
  if (Up.hasRelay())
    logEvent(Event::RelayLeft, {{"relay", textOf(*Up.target())}});
  Up.abandon(BootClock::now());
}

/// @return Whether to report again without a pause.
Awaitable<bool> TreeLink::step() {
  if (Up.takeQuestion(BootClock::now()))
    co_await askForCoordinator();
  const std::optional<EngineAddress> To = Up.target();
  if (!To)
    co_return false;
  const Exchanged Ended = co_await exchange(*To, ownReport(BootClock::now()));
  if (Ended == Exchanged::Mistaken) {
    asio::steady_timer Pause(co_await asio::this_coro::executor, MistakenPause);
    co_await Pause.async_wait(asio::use_awaitable);
  }
  if (Ended != Exchanged::Failed)
    co_return true;
  const bool HadRelay = Up.hasRelay();
  if (Up.lose(BootClock::now()) && HadRelay)
    logEvent(Event::RelayLeft, {{"relay", textOf(*To)}});
  co_return false;
}

Awaitable<void> TreeLink::run() {
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  while (true) {
    bool Again = false;
    if (Hooks.Coordinates())
      recordOwnAsRoot();
    else
      Again = co_await step();
    if (Again)
      continue;
    Pause.expires_after(Hooks.Coordinates()
                            ? reportPace(Node.reporters(BootClock::now()))
                            : RetryPause);
    co_await Pause.async_wait(asio::use_awaitable);
  }
}

Awaitable<void> TreeLink::reportStall(std::string Endpoint) {
  Report Message = ownReport(BootClock::now());
  Message.Next.clear();
  Message.Missing.clear();
  Message.Stalled.push_back(std::move(Endpoint));
  const std::optional<EngineAddress> To = Up.target();
  if (To)
    (void)co_await exchange(*To, std::move(Message));
}

} // namespace coltsfoottrail
