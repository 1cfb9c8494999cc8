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
constexpr milliseconds CoordinatorSpacing{150};
/// Others read, or go by what was relayed, within this part of the time in
/// which they must know that an endpoint leaves: a read that is lost and one
/// more still fit in.
constexpr double FollowerFraction = 0.35;
/// While seats move, from an order until its effect must show: each of the
/// three steps of a repair is seen this much sooner, some 20 calls a repair.
constexpr milliseconds SeatChangeSpacing{50};
constexpr milliseconds SeatChangeTime{600};
/// The balancer asks once a second and needs two misses; a little more.
constexpr milliseconds BalancerNoticeTime{2'600};
/// Kept free of the time to stop, for answers on their way.
constexpr milliseconds StopMargin{500};
constexpr milliseconds StopPoll{50};
/// How long the store may hold back a read of the operators' feed. A connection
/// that goes silent is noticed this much and a second later, which leaves time
/// for one more try before credentials count as stale.
constexpr milliseconds MaxOperatorsWait{1'000};
/// The same as a part of the time in which a configuration must be in force.
constexpr double OperatorsWaitFraction = 0.15;
/// The driver is told of the same endpoint again after this.
constexpr milliseconds StallReportInterval{1'000};
/// Endpoints publish many times a second: a read hardly ever waits, and one
/// that is lost is noticed this much sooner.
constexpr milliseconds EndpointsWait{100};
/// Part of a core below which a host stands aside from driving the groups.
constexpr double MinCoordinatorShare = 0.2;
/// Beyond these a request waits in the caller instead.
constexpr std::size_t MaxWaitingRequests = 256;
constexpr std::size_t MaxWaitingBodyBytes = std::size_t{4} << 20U;
/// Sets of prefix hints for each pool; each takes about 128 bytes.
constexpr std::uint32_t HintSets = 16;
/// Connections kept for reuse to one endpoint: an engine's slots.
constexpr std::size_t IdlePerEndpoint = 16;
/// How often what is shared by the number of hosts and requests is set anew.
constexpr milliseconds ShareEvery{500};
/// How long a request is held while its pool has no endpoint: a group that is
/// being opened serves after 0.3 s.
constexpr milliseconds NoEndpointHold{250};

DispatcherOptions dispatcherOptions(const FleetSettings &Settings) {
  DispatcherOptions Result;
  Result.Self = Settings.DataCentre;
  Result.MaxWaiting = MaxWaitingRequests;
  Result.MaxWaitingBytes = MaxWaitingBodyBytes;
  Result.NoEndpointHold = NoEndpointHold;
  Result.NoShareHold = NoEndpointHold;
  EstimatedWaitPolicy Policy;
  Policy.HintSets = HintSets;
  Policy.UseRing = false;
  Policy.FullByLoad = true;
  Result.Policy = Policy;
  Result.Retries.Budget.Ratio = Settings.Bounds.RetryRatio * RetryRatioEarned;
  Result.Retries.Budget.DataCentreRatio = Settings.Bounds.RetryRatio;
  return Result;
}

ClientOptions clientOptions() {
  ClientOptions Result;
  Result.MaxIdlePerEndpoint = IdlePerEndpoint;
  return Result;
}

std::string makeMemberName(const FleetSettings &Settings) {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return memberName(Settings.Peers, Settings.Host.Text + "." +
                                        std::to_string(SinceEpoch.count()));
}

ServerLimits callerLimits(const CallerLimits &Limits) {
  ServerLimits Result;
  Result.MaxHeaderBytes = Limits.MaxHeaderBytes;
  Result.MaxBodyBytes = Limits.MaxBodyBytes;
  Result.HeaderTimeout = Limits.HeaderTimeout;
  Result.IdleTimeout = Limits.IdleTimeout;
  return Result;
}

FollowTimes operatorFollowTimes(const FleetBounds &Bounds) {
  const auto MaxWait = std::chrono::duration_cast<milliseconds>(
      Bounds.Configuration * OperatorsWaitFraction);
  FollowTimes Result;
  Result.Wait = std::min(MaxOperatorsWait, MaxWait);
  return Result;
}

FollowTimes endpointFollowTimes(milliseconds Spacing) {
  FollowTimes Result;
  Result.Wait = EndpointsWait;
  Result.Spacing = Spacing;
  return Result;
}

} // namespace

DutyRole FleetHost::dutyRole() const noexcept {
  return Settings.ProcessorShare < MinCoordinatorShare ? DutyRole::Reserve
                                                       : DutyRole::Candidate;
}

milliseconds FleetHost::followerSpacing() const noexcept {
  return std::chrono::duration_cast<milliseconds>(Settings.Bounds.Leaving *
                                                  FollowerFraction);
}

FleetHost::FleetHost(FleetSettings InitialSettings, IoPool &Pool,
                     FleetLinks Links)
    : Settings(std::move(InitialSettings)), Threads(Pool), Platform(Links),
      View(Settings.Bounds), Draw(hashText(Settings.Host.Text)),
      Routing(RouterOptions{Settings.Host, dispatcherOptions(Settings), {}}),
      Client(Pool.context(0), clientOptions()),
      Proxy(View, Routing, Client, Links.Wire, Silence,
            hashText(Settings.Host.Text)),
      Member(makeMemberName(Settings)),
      Coordinator(Links.Store, Links.Engines, View, Silence, Member,
                  AssemblyTimes{},
                  {dutyRole(), CandidacyTimes{}, BootClock::now()}),
      Operators(Links.Store, Feed::Operators,
                operatorFollowTimes(Settings.Bounds),
                {[this](FeedPage Page, bool IsSnapshot, TimePoint RequestedAt) {
                   ingestPage(Feed::Operators, std::move(Page), IsSnapshot,
                              RequestedAt);
                 },
                 [this](StoreFailure) { readFailed(Feed::Operators); }}),
      Endpoints(Links.Store, Feed::Endpoints,
                endpointFollowTimes(followerSpacing()),
                {[this](FeedPage Page, bool IsSnapshot, TimePoint RequestedAt) {
                   ingestPage(Feed::Endpoints, std::move(Page), IsSnapshot,
                              RequestedAt);
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
            Coordinator.recordCaller();
            return Proxy.serve(Call);
          },
          {},
          {}};
}

void FleetHost::startFollowing() {
  Proxy.onUnusable(
      [this](const EndpointName &Endpoint, const std::string &AtFault) {
        reportUnusable(Endpoint, AtFault);
      });
  Coordinator.onDuty([this](bool Holds) {
    if (Holds)
      readAllEndpoints();
    Operators.setEagerRetry(Holds);
    Endpoints.setEagerRetry(Holds);
    Endpoints.setSpacing(Holds ? CoordinatorSpacing : followerSpacing());
  });
  Coordinator.onOrders([this] {
    SeatChangesUntil = BootClock::now() + SeatChangeTime;
    Endpoints.setSpacing(SeatChangeSpacing);
  });
  deferOwnReads();
  asio::io_context &Context = Threads.context(0);
  asio::co_spawn(Context, Operators.run(), asio::detached);
  asio::co_spawn(Context, Endpoints.run(), asio::detached);
  asio::co_spawn(Context, Coordinator.holdDuty(), asio::detached);
  asio::co_spawn(Context, Link.run(), asio::detached);
  asio::co_spawn(Context, Coordinator.driveGroups(), asio::detached);
  asio::co_spawn(Context, tick(), asio::detached);
}

void FleetHost::refreshRoutes() {
  if (View.version() == RoutedVersion)
    return;
  RoutedVersion = View.version();
  const FleetRoutes NewRoutes = View.routes();
  Routing.setRoutes(NewRoutes.Table, NewRoutes.Shares, 1);
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
void FleetHost::limitRetries(std::size_t Hosts, TimePoint Now) {
  const RetryBound Bound{Settings.Bounds.RetryRatio,
                         Settings.Bounds.RetrySlack};
  for (const auto &[Service, Names] : View.pools()) {
    double Recent = 0.0;
    for (const std::string &Name : Names)
      Recent += Proxy.recentRequests(Name, Now);
    for (const std::string &Name : Names)
      Routing.setRetryBurst(Name, retriesSaved(Bound, double(Hosts), Recent));
  }
}

/// What holds over all entry hosts is shared among those that there are.
void FleetHost::shareLimits(TimePoint Now) {
  if (Now < NextShareAt)
    return;
  NextShareAt = Now + ShareEvery;
  const std::size_t Hosts = Link.hosts(Now);
  Proxy.setEntryHosts(Hosts);
  limitFailedReads(Hosts, Now);
  // A host that has just started keeps the few retries that it begins with
  // until it knows who else there is.
  if (Hosts > 0)
    LastEntryHosts = Hosts;
  if (LastEntryHosts > 0)
    limitRetries(LastEntryHosts, Now);
}

/// Opens cold endpoints whose turn has come to the choice.
void FleetHost::openColdEndpoints(TimePoint Now) {
  std::map<std::string, std::uint32_t> Open;
  for (const auto &[Name, Entry] : View.endpoints().all())
    if (View.mayBeCold(Entry) && Proxy.mayUseCold(Entry, Now))
      Open[FleetView::endpointKey(Entry.Record)] = FleetView::ColdShare;
  if (!Open.empty())
    Routing.setShares(Open);
}

// Failure guarded against: a group stands still, and its callers wait until
// each stream's own limit, those whose stream has not begun even longer. All
// requests there are taken up elsewhere at once.
void FleetHost::suspendSilent(TimePoint Now) {
  for (const std::string &Name :
       Silence.quietFor(SilenceWatch::SuspectAfter, Now)) {
    asio::io_context &Context = Threads.context(0);
    if (View.isSuspended(EndpointName(Name)))
      continue;
    if (Coordinator.holds(Now))
      Coordinator.probeMembers(Name, Context.get_executor());
    else if (StallsReportedAt.insert_or_assign(Name, Now).second)
      asio::co_spawn(Context, Link.reportStall(Name), asio::detached);
  }
  std::erase_if(StallsReportedAt, [&](const auto &Entry) {
    return Now - Entry.second > StallReportInterval;
  });
  for (const std::string &Name : Silence.allSilent(Now)) {
    const EndpointName Endpoint(Name);
    const KnownEndpoint *const Entry = View.endpoints().find(Endpoint);
    if (Entry == nullptr || View.isSuspended(Endpoint))
      continue;
    View.suspend(Endpoint, FleetView::SilentSuspension, Now);
    refreshRoutes();
    const std::size_t Moved = Client.abort(Entry->Record.Address);
    logEvent(Event::EndpointSilent, {{"endpoint", Name}, {"moved", Moved}});
  }
}

/// The endpoint's group needs repair: the coordinator is told.
void FleetHost::reportUnusable(const EndpointName &Endpoint,
                               const std::string &AtFault) {
  const TimePoint Now = BootClock::now();
  if (View.isSuspended(Endpoint) || View.endpoints().find(Endpoint) == nullptr)
    return;
  View.suspend(Endpoint, FleetView::UnusableSuspension, Now);
  refreshRoutes();
  logEvent(Event::EndpointUnusable,
           {{"endpoint", Endpoint}, {"at_fault", AtFault}});
  asio::io_context &Context = Threads.context(0);
  if (Coordinator.holds(Now))
    Coordinator.probeMembers(Endpoint.Text, Context.get_executor());
  else if (StallsReportedAt.insert_or_assign(Endpoint.Text, Now).second)
    asio::co_spawn(Context, Link.reportStall(Endpoint.Text), asio::detached);
}

void FleetHost::endFastReads(TimePoint Now) {
  if (!SeatChangesUntil || Now < *SeatChangesUntil)
    return;
  SeatChangesUntil.reset();
  Endpoints.setSpacing(Coordinator.holds(Now) ? CoordinatorSpacing
                                              : followerSpacing());
}

Awaitable<void> FleetHost::tick() {
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  while (true) {
    suspendSilent(BootClock::now());
    endFastReads(BootClock::now());
    View.advance(BootClock::now());
    refreshRoutes();
    logConfigFreshness(BootClock::now());
    if (Coordinator.isLastHolder() && !View.knowsAllEndpoints())
      readAllEndpoints();
    shareLimits(BootClock::now());
    openColdEndpoints(BootClock::now());
    Routing.advance();
    if (const std::uint64_t Dropped = Proxy.takeDroppedTrails(); Dropped > 0)
      logEvent(Event::TrailsDropped, {{"requests", Dropped}});
    Pause.expires_after(Routing.waiting() > 0 ? BusyTick : IdleTick);
    co_await Pause.async_wait(asio::use_awaitable);
  }
}

Awaitable<void> FleetHost::answerReadiness(Exchange &Call) {
  const bool Ready = !Stopping && View.ready(BootClock::now());
  HttpResponse Reply =
      jsonResponse(Ready ? StatusOk : StatusUnavailable,
                   Ready ? R"({"ready":true})" : R"({"ready":false})");
  co_await Call.respond(std::move(Reply));
}

Awaitable<void> FleetHost::answerMetrics(Exchange &Call) {
  HttpResponse Reply;
  Reply.Fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
  Reply.Body = metricsText();
  co_await Call.respond(std::move(Reply));
}

std::string FleetHost::metricsText() const {
  const CallerProxyCounts &Counts = Proxy.counts();
  std::string Text;
  const auto AppendLine = [&Text](std::string_view Name, std::uint64_t Value) {
    Text += "coltsfoottrail_";
    Text += Name;
    Text += ' ';
    Text += std::to_string(Value);
    Text += '\n';
  };
  AppendLine("requests_total", Counts.Requests);
  AppendLine("answered_total", Counts.Answered);
  AppendLine("refused_not_run_total", Counts.RefusedNotRun);
  AppendLine("failed_may_have_run_total", Counts.FailedMayHaveRun);
  AppendLine("sends_total", Counts.Sends);
  AppendLine("streams_resumed_total", Counts.Resumed);
  AppendLine("streams_cut_total", Counts.CutStreams);
  AppendLine("waiting", Routing.waiting());
  AppendLine("endpoints", View.endpoints().all().size());
  AppendLine("config_version", View.config() ? View.config()->version() : 0);
  const TimePoint Now = BootClock::now();
  AppendLine("drives_groups", Coordinator.holds(Now) ? 1 : 0);
  AppendLine("store_answers", StoreAnswers ? 1 : 0);
  AppendLine("config_age_milliseconds",
             static_cast<std::uint64_t>(
                 std::chrono::duration_cast<milliseconds>(View.configAge(Now))
                     .count()));
  AppendLine("entry_hosts", Link.hosts(Now));
  const EndpointTally Tally = View.tally();
  AppendLine("endpoints_serving", Tally.Serving);
  AppendLine("endpoints_draining", Tally.Draining);
  AppendLine("endpoints_cold", Tally.Cold);
  AppendLine("groups_open", Tally.Leaders);
  Proxy.metrics().appendTo(Text);
  return Text;
}

void FleetHost::stop(std::function<void(std::size_t)> Done) {
  asio::co_spawn(Threads.context(0), runStop(std::move(Done)), asio::detached);
}

// Failure guarded against: the balancer still sends connections for a while,
// and clients go on using open ones. Both are served until the balancer must
// have noticed; only then do answers close their connections.
Awaitable<void> FleetHost::runStop(std::function<void(std::size_t)> Done) {
  const TimePoint StartedAt = BootClock::now();
  Stopping = true;
  logEvent(Event::Stopping, {{"in_progress", Front->inProgress()}});
  co_await Coordinator.leave();
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  Pause.expires_at(asio::steady_timer::clock_type::now() + BalancerNoticeTime);
  co_await Pause.async_wait(asio::use_awaitable);
  Front->stopAccepting();
  const TimePoint DrainDeadline =
      StartedAt + Settings.Bounds.StopGrace - StopMargin;
  while (Front->inProgress() > 0 && BootClock::now() < DrainDeadline) {
    Pause.expires_after(StopPoll);
    co_await Pause.async_wait(asio::use_awaitable);
  }
  const std::size_t CutRequests = Front->inProgress();
  logEvent(Event::Stopped, {{"cut", CutRequests}});
  Done(CutRequests);
}

} // namespace coltsfoottrail
