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
constexpr std::string_view ConnectMethod = "CONNECT";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
/// Time allowed for an exchange beyond the hold time; hosts are a few
/// milliseconds apart.
constexpr milliseconds ExchangeSlack{230};
/// Pause after a failed exchange.
constexpr milliseconds RetryPause{100};
/// Pause after a response from a host that is not the coordinator: two hosts
/// that take each other for the coordinator would otherwise exchange reports
/// without end.
constexpr milliseconds NotCoordinatorPause{30};
/// The largest number of hosts reported within this time is used, because hosts
/// that are cut off for a while still send requests.
constexpr Duration HostCountLife = seconds(30);
/// The coordinator counts as alive for this long after it was last heard from.
constexpr Duration CoordinatorLife = seconds(1);
/// For how long a relay passes on that the coordinator's lease is valid: a few
/// exchanges.
constexpr Duration LeaseSignLife = milliseconds(300);

} // namespace

std::string memberName(const SocketAddress &Peers, std::string_view Run) {
  return Peers.Address + ":" + std::to_string(Peers.Port) + "/" +
         std::string(Run);
}

TreeLink::TreeLink(IoPool &Pool, const SocketAddress &Listen,
                   std::string Member, FleetStore &Store, TreeLinkHooks Hooks)
    : Store(Store), Hooks(std::move(Hooks)),
      Self(std::move(Member)), OwnAddress{Listen.Address, Listen.Port},
      Node(HostName(Self)), Client(Pool.context(0), ClientOptions{}),
      UpdateSignal(std::in_place, Pool.context(0),
                   asio::steady_timer::time_point::max()),
      CurrentUpstream(Self, BootClock::now()), Hold(LongestReportPace) {
  Server.emplace(
      Pool, Listen.Address, Listen.Port, ServerLimits{},
      ServerHooks{[this](Exchange &Call) { return serve(Call); }, {}, {}});
}

void TreeLink::close() {
  Server.reset();
  Client.closeIdle();
  UpdateSignal.reset();
}

void TreeLink::wakeResponses() {
  if (UpdateSignal)
    UpdateSignal->cancel();
}

void TreeLink::ingest(Feed FeedId, const FeedPage &Page,
                      std::span<const RoutingEffect> Effects, bool IsSnapshot,
                      TimePoint AsOf) {
  Node.ingest(FeedId, Page, Effects, IsSnapshot, AsOf);
  const bool HasChanges =
      std::any_of(Effects.begin(), Effects.end(), [](RoutingEffect Effect) {
        return Effect != RoutingEffect::None;
      });
  if (HasChanges)
    wakeResponses();
}

void TreeLink::publishNotice(std::string_view PoolName,
                             const EndpointNotice &Notice) {
  Node.recordOwnNotice(PoolName, Notice, BootClock::now());
  wakeResponses();
}

void TreeLink::takeNotices(std::span<const PoolNotice> Notices) {
  if (Notices.empty())
    return;
  Hooks.OnNotices(Notices);
  wakeResponses();
}

// Updates are collected for a while before the response is sent, because each
// of them would otherwise wake all reporters.
Awaitable<void> TreeLink::waitForUpdate(const Report &Received) {
  const TimePoint Arrived = BootClock::now();
  const std::size_t Reporters = Node.reporters(Arrived);
  const TimePoint HoldUntil = Arrived + reportPace(Reporters);
  const TimePoint BatchUntil = Arrived + batchTime(Reporters);
  asio::steady_timer Timeout(co_await asio::this_coro::executor);
  Timeout.expires_after(HoldUntil - Arrived);
  while (!Node.hasUpdate(Received) && BootClock::now() < HoldUntil) {
    boost::system::error_code Woken;
    co_await (UpdateSignal->async_wait(
                  asio::redirect_error(asio::use_awaitable, Woken)) ||
              Timeout.async_wait(asio::use_awaitable));
  }
  const Duration Remaining = BatchUntil - BootClock::now();
  if (Remaining <= Duration::zero() || !Received.Missing.empty())
    co_return;
  Timeout.expires_after(Remaining);
  co_await Timeout.async_wait(asio::use_awaitable);
}

Awaitable<Response> TreeLink::makeResponse(const Report &Received) {
  checkSuccession();
  takeNotices(Node.ingestNotices(Received, BootClock::now()));
  // A sender that takes this host for the coordinator reports to the real one
  // next. If its loads were counted here as well, they would be in both sums.
  const bool IsMisdirected = !Hooks.Coordinates() && !Received.ToRelay &&
                             CurrentUpstream.coordinator();
  if (!IsMisdirected)
    Node.recordReport(Received, BootClock::now());
  recordForwarder(Received, BootClock::now());
  Response Result;
  std::optional<HostName> AssignedRelay;
  if (Hooks.Coordinates())
    AssignedRelay = Node.assignRelay(Received, BootClock::now());
  if (AssignedRelay) {
    Result.Relay = textOf(*addressOfMember(AssignedRelay->Text));
  } else {
    if (Received.Stalled.empty() && !IsMisdirected)
      co_await waitForUpdate(Received);
    Result = Node.makeResponse(Received, BootClock::now());
  }
  const TimePoint Now = BootClock::now();
  if (const auto Asker = addressOfMember(Received.Host.Text))
    Result.Forwarders =
        (Received.ToRelay ? AllForwarders : OwnForwarders).choose(*Asker, Now);
  Result.Coordinates = Hooks.Coordinates();
  Result.CoordinatorHeard =
      Result.Coordinates || Now - CoordinatorHeardAt < CoordinatorLife;
  Result.LeaseHeard = Hooks.HoldsLease() || Now - LeaseHeardAt < LeaseSignLife;
  // The largest number of recent times must not be passed on: hosts would renew
  // it among themselves, and a restarted host would count twice for ever.
  if (!Result.Coordinates && hearsUpstream(Now))
    Result.Hosts = std::max<std::uint64_t>(Result.Hosts, UpstreamHosts);
  Result.Hold = reportPace(Node.reporters(Now));
  if (!Result.Coordinates && CurrentUpstream.coordinator())
    Result.Coordinator = textOf(*CurrentUpstream.coordinator());
  co_return Result;
}

void TreeLink::recordForwarder(const Report &Sent, TimePoint Now) {
  const std::optional<EngineAddress> Address = addressOfMember(Sent.Host.Text);
  if (!Address)
    return;
  for (ForwarderDirectory *const Directory : {&OwnForwarders, &AllForwarders})
    if (Sent.CanForward)
      Directory->add({*Address, Sent.DataCentre}, Now);
    else
      Directory->remove(*Address);
}

void TreeLink::publishForwarders(TimePoint Now) {
  Hooks.OnForwarders(AllForwarders.choose(OwnAddress, Now));
}

Awaitable<void> TreeLink::forwardStalls(std::vector<std::string> Stalled) {
  for (std::string &Endpoint : Stalled)
    if (Hooks.Coordinates())
      Hooks.OnStalled(Endpoint);
    else
      co_await reportStall(std::move(Endpoint));
}

Awaitable<void> TreeLink::serve(Exchange &Call) {
  HttpResponse Reply;
  if (Call.request().Method == ConnectMethod) {
    co_await Hooks.Forward(Call);
    co_return;
  }
  if (Call.request().Target != ReportPath) {
    Reply.Status = StatusNotFound;
    co_await Call.respond(std::move(Reply));
    co_return;
  }
  Report Received;
  try {
    Received = decodeReport(Call.request().Body);
  } catch (const Error &Problem) {
    logEvent(Event::PeerRefused, {{"problem", Problem.what()}});
    Reply.Status = StatusBadRequest;
  }
  if (Reply.Status != StatusOk) {
    co_await Call.respond(std::move(Reply));
    co_return;
  }
  (void)CurrentUpstream.recordReporter(Received.Host, BootClock::now());
  const Response Answer = co_await makeResponse(Received);
  Reply.Fields.push_back({"Content-Type", "application/cbor"});
  Reply.Body = encode(Answer);
  Hooks.OnServed(Received.DataCentre, Call.request().Body.size(),
                 Reply.Body.size());
  co_await Call.respond(std::move(Reply));
  co_await forwardStalls(std::move(Received.Stalled));
}

// While the store does not answer, no host learns of a new coordinator. The old
// one still sums loads; its feeds become stale and are not used.
Awaitable<void> TreeLink::queryCoordinator() {
  const auto Answer = co_await Store.dutyHolder();
  if (const auto *const Member = std::get_if<std::string>(&Answer))
    CurrentUpstream.setCoordinator(*Member);
}

// The reporters of a former coordinator report to its successor. If they stayed
// recorded here, their loads would count twice.
void TreeLink::checkSuccession() {
  const bool Coordinates = Hooks.Coordinates();
  if (std::exchange(WasCoordinator, Coordinates) && !Coordinates)
    Node.forgetReporters();
}

Report TreeLink::ownReport(TimePoint Now) {
  checkSuccession();
  Report Result = Hooks.MakeReport();
  Result.Host = HostName(Self);
  recordForwarder(Result, Now);
  Node.recordOwn(std::move(Result.Loads), Now);
  Node.setSubtree(Result, Now);
  Result.ToRelay = CurrentUpstream.hasRelay();
  Result.FailedRelay = CurrentUpstream.failedRelay(Now);
  Node.setNotices(Result, Now);
  return Result;
}

Awaitable<TreeLink::ExchangeResult> TreeLink::exchange(EngineAddress Target,
                                                       Report Message) {
  const bool ByRelay = CurrentUpstream.hasRelay();
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = ReportPath;
  Request.Fields = {{"Content-Type", "application/cbor"}};
  const TimePoint SentAt = BootClock::now();
  Node.setDemand(Message, Target, SentAt);
  Request.Body = encode(Message);
  const auto Outcome = co_await Client.fetch(Target, std::move(Request),
                                             SentAt + Hold + ExchangeSlack);
  const auto *const Reply = std::get_if<HttpResponse>(&Outcome);
  if (Reply == nullptr || Reply->Status != StatusOk)
    co_return ExchangeResult::Failed;
  Response Received;
  try {
    Received = decodeResponse(Reply->Body);
  } catch (const Error &Problem) {
    logEvent(Event::PeerRefused, {{"problem", Problem.what()}});
    co_return ExchangeResult::Failed;
  }
  const TimePoint Now = BootClock::now();
  UpstreamHeardAt = Now;
  UpstreamHosts = Received.Hosts;
  if (Received.CoordinatorHeard)
    CoordinatorHeardAt = Now;
  if (Received.LeaseHeard)
    LeaseHeardAt = Now;
  recordHosts(Received.Hosts, Now);
  // Only what the coordinator and relays name is passed on, and only by relays:
  // hosts that take each other for the coordinator would renew it for ever.
  for (const Forwarder &Host : Received.Forwarders)
    AllForwarders.add(Host, Now);
  publishForwarders(Now);
  if (CurrentUpstream.applyResponse(Received, ByRelay)) {
    Node.recordAssignment(Target);
    Hold = LongestReportPace;
    logEvent(Event::RelayAssigned, {{"relay", *Received.Relay}});
    co_return ExchangeResult::Done;
  }
  takeNotices(Node.ingestNotices(Message, Received, Now));
  Hold = std::clamp(Received.Hold, ShortestReportPace, LongestReportPace);
  Node.recordOutside(std::move(Received.Loads), Now);
  Received.Loads = Node.otherLoads(Now);
  const bool IsNotCoordinator = !ByRelay && !Received.Coordinates;
  Hooks.OnResponse(Message, std::move(Received), SentAt);
  co_return IsNotCoordinator ? ExchangeResult::NotCoordinator
                             : ExchangeResult::Done;
}

void TreeLink::recordHosts(std::uint64_t Count, TimePoint Now) {
  if (Count < Hosts && Now - HostsAt < HostCountLife)
    return;
  Hosts = Count;
  HostsAt = Now;
}

std::size_t TreeLink::hosts(TimePoint Now) const noexcept {
  return Now - HostsAt < HostCountLife ? Hosts : 0;
}

std::string TreeLink::upstreamAddress() const {
  const std::optional<EngineAddress> &Target = CurrentUpstream.target();
  return Target ? textOf(*Target) : std::string();
}

bool TreeLink::hearsUpstream(TimePoint Now) const noexcept {
  return Now - UpstreamHeardAt < CoordinatorLife;
}

/// Records the root's own loads: it is an entry host like the others and takes
/// part in the sums.
void TreeLink::recordOwnAsRoot() {
  const TimePoint Now = BootClock::now();
  CurrentUpstream.becomeCoordinator();
  Report RootReport = ownReport(Now);
  recordHosts(Node.subtreeHosts(Now), Now);
  CoordinatorHeardAt = Now;
  Response Answer;
  Answer.Coordinates = true;
  Answer.Loads = Node.otherLoads(Now);
  publishForwarders(Now);
  RootReport.Next.clear();
  RootReport.Missing.clear();
  Hooks.OnResponse(RootReport, std::move(Answer), Now);
}

void TreeLink::abandonUpstream() {
  if (CurrentUpstream.hasRelay())
    logEvent(Event::RelayLeft, {{"relay", textOf(*CurrentUpstream.target())}});
  CurrentUpstream.abandon(BootClock::now());
}

/// @return Whether to report again without a pause.
Awaitable<bool> TreeLink::step() {
  if (CurrentUpstream.takeCoordinatorQuery(BootClock::now()))
    co_await queryCoordinator();
  const std::optional<EngineAddress> Target = CurrentUpstream.target();
  if (!Target)
    co_return false;
  const ExchangeResult Result =
      co_await exchange(*Target, ownReport(BootClock::now()));
  if (Result == ExchangeResult::NotCoordinator) {
    asio::steady_timer Pause(co_await asio::this_coro::executor,
                             NotCoordinatorPause);
    co_await Pause.async_wait(asio::use_awaitable);
  }
  if (Result != ExchangeResult::Failed)
    co_return true;
  const bool HadRelay = CurrentUpstream.hasRelay();
  if (CurrentUpstream.recordLoss(BootClock::now()) && HadRelay)
    logEvent(Event::RelayLeft, {{"relay", textOf(*Target)}});
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
  const std::optional<EngineAddress> Target = CurrentUpstream.target();
  if (Target)
    (void)co_await exchange(*Target, std::move(Message));
}

} // namespace coltsfoottrail
