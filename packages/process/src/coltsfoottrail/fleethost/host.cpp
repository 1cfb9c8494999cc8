#include "coltsfoottrail/fleethost/host.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/retries/share.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <malloc.h>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnavailable = 503;

/// Between two looks at what waits: a request that waits is placed by events,
/// this only ends waits whose time is up.
constexpr milliseconds BusyTick{20};
/// The same while nothing waits; a cold endpoint counts as warm this late.
constexpr milliseconds IdleTick{50};
/// Reads of the endpoints' feed cost a call each. The driver of the groups
/// reads more often: a lost member is replaced this much sooner.
constexpr milliseconds DriverSpacing{150};
/// Others read, or go by what was relayed, within this part of the time in
/// which they must know that an endpoint leaves: a read that is lost and one
/// more still fit in.
constexpr double FollowerPart = 0.35;
/// While seats move, from an order until its effect must show: each of the
/// three steps of a repair is seen this much sooner, some 20 calls a repair.
constexpr milliseconds MovingSpacing{50};
constexpr milliseconds MoveTime{600};
/// The balancer asks once a second and needs two misses; a little more.
constexpr milliseconds BalancerNotices{2'600};
/// Kept free of the time to stop, for answers on their way.
constexpr milliseconds StopMargin{500};
constexpr milliseconds StopPoll{50};
/// How long the store may hold back a read of the operators' feed. A connection
/// that goes silent is noticed this much and a second later, which leaves time
/// for one more try before credentials count as stale.
constexpr milliseconds LongestOperatorsWait{1'000};
/// The same as a part of the time in which a configuration must be in force.
constexpr double OperatorsWaitPart = 0.15;
/// The driver is told of the same endpoint again after this.
constexpr milliseconds SuspectAgainAfter{1'000};
/// Endpoints publish many times a second: a read hardly ever waits, and one
/// that is lost is noticed this much sooner.
constexpr milliseconds EndpointsWait{100};
/// Part of a core below which a host stands aside from driving the groups.
constexpr double LeastDriverShare = 0.2;
/// Beyond these a request waits in the caller instead.
constexpr std::size_t MostWaiting = 256;
constexpr std::size_t MostWaitingBytes = std::size_t{4} << 20U;
/// Sets of prefix hints for each pool; each takes about 128 bytes.
constexpr std::uint32_t HintSets = 16;
/// Connections kept for reuse to one endpoint: an engine's slots.
constexpr std::size_t IdlePerEndpoint = 16;
/// How often what is shared by the number of hosts and requests is set anew.
constexpr milliseconds ShareEvery{500};
/// How long a request is held while its pool has no endpoint: a group that is
/// being opened serves after 0.3 s.
constexpr milliseconds NoEndpointHold{250};

DispatcherOptions dispatcherOptions(const FleetSettings &Given) {
  DispatcherOptions Out;
  Out.Self = Given.DataCentre;
  Out.MaxWaiting = MostWaiting;
  Out.MaxWaitingBytes = MostWaitingBytes;
  Out.NoEndpointHold = NoEndpointHold;
  Out.NoShareHold = NoEndpointHold;
  EstimatedWaitPolicy Policy;
  Policy.HintSets = HintSets;
  Policy.UseRing = false;
  Policy.FullByLoad = true;
  Out.Policy = Policy;
  Out.Retries.Budget.Ratio = Given.Bounds.RetryRatio * RetryRatioEarned;
  Out.Retries.Budget.DataCentreRatio = Given.Bounds.RetryRatio;
  return Out;
}

ClientOptions clientOptions() {
  ClientOptions Out;
  Out.MaxIdlePerEndpoint = IdlePerEndpoint;
  return Out;
}

std::string ownName(const FleetSettings &Given) {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return memberName(Given.Peers,
                    Given.Host.Text + "." + std::to_string(Since.count()));
}

ServerLimits callerLimits(const CallerLimits &Given) {
  ServerLimits Out;
  Out.MaxHeaderBytes = Given.MaxHeaderBytes;
  Out.MaxBodyBytes = Given.MaxBodyBytes;
  Out.HeaderTimeout = Given.HeaderTimeout;
  Out.IdleTimeout = Given.IdleTimeout;
  return Out;
}

FollowTimes operatorTimes(const FleetBounds &Bounds) {
  const auto Part = std::chrono::duration_cast<milliseconds>(
      Bounds.Configuration * OperatorsWaitPart);
  FollowTimes Out;
  Out.Wait = std::min(LongestOperatorsWait, Part);
  return Out;
}

FollowTimes endpointTimes(milliseconds Spacing) {
  FollowTimes Out;
  Out.Wait = EndpointsWait;
  Out.Spacing = Spacing;
  return Out;
}

} // namespace

DutyRole FleetHost::dutyRole() const noexcept {
  return Settings.ProcessorShare < LeastDriverShare ? DutyRole::Reserve
                                                    : DutyRole::Candidate;
}

milliseconds FleetHost::followerSpacing() const noexcept {
  return std::chrono::duration_cast<milliseconds>(Settings.Bounds.Leaving *
                                                  FollowerPart);
}

FleetHost::FleetHost(FleetSettings Wanted, IoPool &Pool, FleetLinks Links)
    : Settings(std::move(Wanted)), Threads(Pool), Platform(Links),
      View(Settings.Bounds), Draw(hashText(Settings.Host.Text)),
      Routing(RouterOptions{Settings.Host, dispatcherOptions(Settings), {}}),
      Client(Pool.context(0), clientOptions()),
      Relay(View, Routing, Client, Links.Wire, Silence,
            hashText(Settings.Host.Text)),
      Member(ownName(Settings)),
      Desk(Links.Store, Links.Engines, View, Silence, Member, AssemblyTimes{},
           {dutyRole(), CandidacyTimes{}, BootClock::now()}),
      Operators(Links.Store, Feed::Operators, operatorTimes(Settings.Bounds),
                {[this](FeedPage Page, bool Whole, TimePoint AskedAt) {
                   ingestPage(Feed::Operators, std::move(Page), Whole, AskedAt);
                 },
                 [this](StoreFailure) { readFailed(Feed::Operators); }}),
      Endpoints(Links.Store, Feed::Endpoints, endpointTimes(followerSpacing()),
                {[this](FeedPage Page, bool Whole, TimePoint AskedAt) {
                   ingestPage(Feed::Endpoints, std::move(Page), Whole, AskedAt);
                 },
                 [this](StoreFailure) { readFailed(Feed::Endpoints); }}),
      Link(Pool, Settings.Peers, Member, Links.Store, linkHooks()) {
  Front.emplace(Pool, Settings.Callers.Address, Settings.Callers.Port,
                ServerLimits{}, frontHooks());
  Readiness.emplace(
      Pool, Settings.Readiness.Address, Settings.Readiness.Port, ServerLimits{},
      ServerHooks{
          [this](Exchange &Call) { return answerReadiness(Call); }, {}, {}});
  if (Settings.Metrics)
    MetricsServer.emplace(
        Pool, Settings.Metrics->Address, Settings.Metrics->Port, ServerLimits{},
        ServerHooks{
            [this](Exchange &Call) { return answerMetrics(Call); }, {}, {}});
  startFollowing();
}

// Failure guarded against: a stop cuts streams whose coroutines still refer to
// this object; destroyed after it with the contexts, they wrote into memory
// that was given back, and the process died of it at its end.
void FleetHost::close() {
  MetricsServer.reset();
  Readiness.reset();
  Front.reset();
  Link.close();
  Client.closeIdle();
  Threads.clear();
}

FleetHost::~FleetHost() = default;

ServerHooks FleetHost::frontHooks() {
  return {[this](Exchange &Call) {
            Desk.callersBegun();
            return Relay.serve(Call);
          },
          {},
          {}};
}

void FleetHost::startFollowing() {
  Relay.onUnusable(
      [this](const EndpointName &Which, const std::string &AtFault) {
        reportUnusable(Which, AtFault);
      });
  Desk.onDuty([this](bool Holds) {
    if (Holds)
      readAllEndpoints();
    Operators.beEager(Holds);
    Endpoints.beEager(Holds);
    Endpoints.space(Holds ? DriverSpacing : followerSpacing());
  });
  Desk.onOrders([this] {
    MovingUntil = BootClock::now() + MoveTime;
    Endpoints.space(MovingSpacing);
  });
  deferOwnReads();
  asio::io_context &Context = Threads.context(0);
  asio::co_spawn(Context, Operators.run(), asio::detached);
  asio::co_spawn(Context, Endpoints.run(), asio::detached);
  asio::co_spawn(Context, Desk.holdDuty(), asio::detached);
  asio::co_spawn(Context, Link.run(), asio::detached);
  asio::co_spawn(Context, Desk.drive(), asio::detached);
  asio::co_spawn(Context, tick(), asio::detached);
}

void FleetHost::refreshRoutes() {
  if (View.version() == RoutedVersion)
    return;
  RoutedVersion = View.version();
  const FleetRoutes Made = View.routes();
  Routing.setRoutes(Made.Table, Made.Shares, 1);
  if (!View.config() || View.config()->version() == LimitedVersion)
    return;
  LimitedVersion = View.config()->version();
  if (Front)
    Front->setLimits(callerLimits(View.config()->config().Limits));
  // What decoding a large configuration took stays with the allocator
  // otherwise.
  malloc_trim(0);
}

// Failure guarded against: the platform bounds retries over all entry hosts,
// and each of seventy hosts saves up ten for each pool: 1,718 retries of 6,670
// requests in ten seconds, where 1,585 are allowed.
void FleetHost::shareRetries(std::size_t Hosts, TimePoint Now) {
  const RetryBound Bound{Settings.Bounds.RetryRatio,
                         Settings.Bounds.RetrySlack};
  for (const auto &[Service, Names] : View.pools()) {
    double Recent = 0.0;
    for (const std::string &Name : Names)
      Recent += Relay.recentRequests(Name, Now);
    for (const std::string &Name : Names)
      Routing.setRetryBurst(Name, retriesSaved(Bound, double(Hosts), Recent));
  }
}

/// What holds over all entry hosts is shared among those that there are.
void FleetHost::shareBounds(TimePoint Now) {
  if (Now < ShareDue)
    return;
  ShareDue = Now + ShareEvery;
  const std::size_t Hosts = Link.hosts(Now);
  Relay.shareAmong(Hosts);
  shareReads(Hosts, Now);
  // A host that has just started keeps the few retries that it begins with
  // until it knows who else there is.
  if (Hosts > 0)
    SharedAmong = Hosts;
  if (SharedAmong > 0)
    shareRetries(SharedAmong, Now);
}

/// Opens cold endpoints whose turn has come to the choice.
void FleetHost::shareCold(TimePoint Now) {
  std::map<std::string, std::uint32_t> Open;
  for (const auto &[Name, Known] : View.endpoints().all())
    if (View.mayBeCold(Known) && Relay.mayWarm(Known, Now))
      Open[FleetView::endpointKey(Known.Record)] = FleetView::ColdShare;
  if (!Open.empty())
    Routing.setShares(Open);
}

// Failure guarded against: a group stands still, and its callers wait until
// each stream's own limit, those whose stream has not begun even longer. All
// requests there are taken up elsewhere at once.
void FleetHost::leaveSilent(TimePoint Now) {
  for (const std::string &Name :
       Silence.quietFor(SilenceWatch::SuspectAfter, Now)) {
    asio::io_context &Context = Threads.context(0);
    if (View.shuns(EndpointName(Name)))
      continue;
    if (Desk.holds(Now))
      Desk.askAbout(Name, Context.get_executor());
    else if (Suspected.insert_or_assign(Name, Now).second)
      asio::co_spawn(Context, Link.reportStall(Name), asio::detached);
  }
  std::erase_if(Suspected, [&](const auto &Entry) {
    return Now - Entry.second > SuspectAgainAfter;
  });
  for (const std::string &Name : Silence.allSilent(Now)) {
    const EndpointName Which(Name);
    const KnownEndpoint *const Known = View.endpoints().find(Which);
    if (Known == nullptr || View.shuns(Which))
      continue;
    View.shun(Which, FleetView::SilenceSpan, Now);
    refreshRoutes();
    const std::size_t Moved = Client.abort(Known->Record.Address);
    logEvent(Event::EndpointSilent, {{"endpoint", Name}, {"moved", Moved}});
  }
}

/// The endpoint's group needs repair: the coordinator is told.
void FleetHost::reportUnusable(const EndpointName &Which,
                               const std::string &AtFault) {
  const TimePoint Now = BootClock::now();
  if (View.shuns(Which) || View.endpoints().find(Which) == nullptr)
    return;
  View.shun(Which, FleetView::UnusableSpan, Now);
  refreshRoutes();
  logEvent(Event::EndpointUnusable,
           {{"endpoint", Which}, {"at_fault", AtFault}});
  asio::io_context &Context = Threads.context(0);
  if (Desk.holds(Now))
    Desk.askAbout(Which.Text, Context.get_executor());
  else if (Suspected.insert_or_assign(Which.Text, Now).second)
    asio::co_spawn(Context, Link.reportStall(Which.Text), asio::detached);
}

void FleetHost::settleMoves(TimePoint Now) {
  if (!MovingUntil || Now < *MovingUntil)
    return;
  MovingUntil.reset();
  Endpoints.space(Desk.holds(Now) ? DriverSpacing : followerSpacing());
}

Awaitable<void> FleetHost::tick() {
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  while (true) {
    leaveSilent(BootClock::now());
    settleMoves(BootClock::now());
    View.advance(BootClock::now());
    refreshRoutes();
    logConfigProof(BootClock::now());
    if (Desk.held() && !View.knowsAllEndpoints())
      readAllEndpoints();
    shareBounds(BootClock::now());
    shareCold(BootClock::now());
    Routing.advance();
    if (const std::uint64_t Dropped = Relay.takeDroppedTrails(); Dropped > 0)
      logEvent(Event::TrailsDropped, {{"requests", Dropped}});
    Pause.expires_after(Routing.waiting() > 0 ? BusyTick : IdleTick);
    co_await Pause.async_wait(asio::use_awaitable);
  }
}

Awaitable<void> FleetHost::answerReadiness(Exchange &Call) {
  const bool Ready = !Stopping && View.ready(BootClock::now());
  HttpResponse Out =
      jsonResponse(Ready ? StatusOk : StatusUnavailable,
                   Ready ? R"({"ready":true})" : R"({"ready":false})");
  co_await Call.respond(std::move(Out));
}

Awaitable<void> FleetHost::answerMetrics(Exchange &Call) {
  HttpResponse Out;
  Out.Fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
  Out.Body = metricsText();
  co_await Call.respond(std::move(Out));
}

std::string FleetHost::metricsText() const {
  const CallerProxyCounts &Done = Relay.counts();
  std::string Out;
  const auto Line = [&Out](std::string_view Name, std::uint64_t Value) {
    Out += "coltsfoottrail_";
    Out += Name;
    Out += ' ';
    Out += std::to_string(Value);
    Out += '\n';
  };
  Line("requests_total", Done.Requests);
  Line("answered_total", Done.Answered);
  Line("refused_not_run_total", Done.RefusedNotRun);
  Line("failed_may_have_run_total", Done.FailedMayHaveRun);
  Line("sends_total", Done.Sends);
  Line("streams_resumed_total", Done.Resumed);
  Line("streams_cut_total", Done.CutStreams);
  Line("waiting", Routing.waiting());
  Line("endpoints", View.endpoints().all().size());
  Line("config_version", View.config() ? View.config()->version() : 0);
  const TimePoint Now = BootClock::now();
  Line("drives_groups", Desk.holds(Now) ? 1 : 0);
  Line("store_answers", StoreAnswers ? 1 : 0);
  Line("config_age_milliseconds",
       static_cast<std::uint64_t>(
           std::chrono::duration_cast<milliseconds>(View.configAge(Now))
               .count()));
  Line("entry_hosts", Link.hosts(Now));
  const EndpointTally Seen = View.tally();
  Line("endpoints_serving", Seen.Serving);
  Line("endpoints_draining", Seen.Draining);
  Line("endpoints_cold", Seen.Cold);
  Line("groups_open", Seen.Leaders);
  Relay.measured().appendTo(Out);
  return Out;
}

void FleetHost::stop(std::function<void(std::size_t)> Done) {
  asio::co_spawn(Threads.context(0), runStop(std::move(Done)), asio::detached);
}

// Failure guarded against: the balancer still sends connections for a while,
// and clients go on using open ones. Both are served until the balancer must
// have noticed; only then do answers close their connections.
Awaitable<void> FleetHost::runStop(std::function<void(std::size_t)> Done) {
  const TimePoint Began = BootClock::now();
  Stopping = true;
  logEvent(Event::Stopping, {{"in_progress", Front->inProgress()}});
  co_await Desk.leave();
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  Pause.expires_at(asio::steady_timer::clock_type::now() + BalancerNotices);
  co_await Pause.async_wait(asio::use_awaitable);
  Front->stopAccepting();
  const TimePoint End = Began + Settings.Bounds.StopGrace - StopMargin;
  while (Front->inProgress() > 0 && BootClock::now() < End) {
    Pause.expires_after(StopPoll);
    co_await Pause.async_wait(asio::use_awaitable);
  }
  const std::size_t Cut = Front->inProgress();
  logEvent(Event::Stopped, {{"cut", Cut}});
  Done(Cut);
}

} // namespace coltsfoottrail
