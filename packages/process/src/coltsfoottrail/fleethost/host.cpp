#include "coltsfoottrail/fleethost/host.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/fleethost/demandmetrics.hpp"
#include "coltsfoottrail/fleethost/lastingtask.hpp"
#include "coltsfoottrail/fleethost/reachlog.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/retries/share.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <malloc.h>
#include <random>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnavailable = 503;

/// Interval between two ticks while requests wait. Waiting requests are placed
/// by events; the tick only ends waits whose time is up.
constexpr milliseconds BusyTick{20};
/// Interval while no request waits; a cold endpoint counts as warm at most this
/// late.
constexpr milliseconds IdleTick{50};
/// Minimum interval between reads of the endpoints' feed by the coordinator;
/// each read is a billed call. It is shorter than for other hosts so that a
/// lost member is replaced sooner.
constexpr milliseconds CoordinatorSpacing{150};
/// Other hosts read, or use what was relayed, within this fraction of the time
/// in which they must learn that an endpoint leaves: a lost read and one more
/// still fit in.
constexpr double FollowerFraction = 0.35;
/// Minimum interval between reads from an order that changes seats until its
/// effect must show. Each of the three steps of a repair is noticed sooner, at
/// the cost of some 20 calls per repair.
constexpr milliseconds SeatChangeSpacing{50};
constexpr milliseconds SeatChangeTime{600};
/// The load balancer checks readiness once per second and needs two failures;
/// this is a little more.
constexpr milliseconds BalancerNoticeTime{2'600};
/// Part of the stop time reserved for the end of the process.
constexpr milliseconds StopMargin{300};
/// Before that, time for the last responses to be written.
constexpr milliseconds LastAnswerMargin{200};
constexpr milliseconds StopPoll{50};
/// Longest long poll of the operators' feed. A connection that goes silent is
/// noticed one second after this, which leaves time for one more attempt before
/// credentials count as stale.
constexpr milliseconds MaxOperatorsWait{1'000};
/// The same as a fraction of the time in which a configuration must be in
/// force.
constexpr double OperatorsWaitFraction = 0.15;
/// Minimum interval between two reports of the same stalled endpoint.
constexpr milliseconds StallReportInterval{1'000};
/// Long poll of the endpoints' feed. Endpoints publish many times per second,
/// so a read hardly ever waits, and a lost one is noticed sooner with a short
/// limit.
constexpr milliseconds EndpointsWait{100};
/// Share of a processor core below which a host does not compete for the
/// coordinator lease from its start.
constexpr double MinCoordinatorShare = 0.2;
/// Beyond these limits a request has to wait at the caller instead.
constexpr std::size_t MaxWaitingRequests = 256;
constexpr std::size_t MaxWaitingBodyBytes = std::size_t{4} << 20U;
/// Part of the process's memory that the bodies of requests in progress may
/// take. While a body is written to an endpoint there are two copies of it.
constexpr double BodyMemoryFraction = 0.35;
/// Number of sets of prefix hints for each pool; each takes about 128 bytes.
constexpr std::uint32_t HintSets = 16;
/// Idle connections kept for each endpoint: as many as an engine has slots.
constexpr std::size_t IdlePerEndpoint = 16;
/// How often the limits that are divided by the number of hosts and requests
/// are recalculated.
constexpr milliseconds ShareEvery{500};
/// How often this host's own demand is renewed.
constexpr milliseconds OwnDemandEvery{100};
/// How long a request is held while its pool has no endpoint: a group that is
/// being opened serves after 0.3 s.
constexpr milliseconds NoEndpointHold{250};
/// Connections break up to this long before the first new one fails.
constexpr seconds LossesBeforeCut{1};

/// The platform allows three crashes. Two would blame requests for the crashes
/// of two others until the other hosts have told what was in flight there.
constexpr std::size_t CrashesToBlame = 3;
/// Less than one step of an engine.
constexpr milliseconds MinTimeInFlight{5};

DispatcherOptions dispatcherOptions(const FleetSettings &Settings) {
  DispatcherOptions Result;
  Result.LocalDataCentre = Settings.DataCentre;
  Result.MaxWaiting = MaxWaitingRequests;
  Result.MaxWaitingBytes = MaxWaitingBodyBytes;
  Result.NoEndpointHold = NoEndpointHold;
  Result.NoShareHold = NoEndpointHold;
  EstimatedWaitPolicy Policy;
  Policy.HintSets = HintSets;
  Policy.UseRing = false;
  Policy.FullByLoad = true;
  if (Settings.Placement.HomeFirst)
    Policy.Home = HomeFirst{};
  Result.Policy = Policy;
  Result.Retries.Budget =
      budgetLimits({Settings.Bounds.RetryRatio, Settings.Bounds.RetrySlack});
  Result.CrashLimits.CrashesToBlame = CrashesToBlame;
  Result.CrashLimits.MinTimeInFlight = MinTimeInFlight;
  return Result;
}

RouterOptions routerOptions(const FleetSettings &Settings) {
  RouterOptions Result;
  Result.Self = Settings.Host;
  Result.Seed = std::random_device()();
  Result.Dispatch = dispatcherOptions(Settings);
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

/// Limits for callers before a configuration is known.
ServerLimits initialLimits(const FleetSettings &Settings) {
  ServerLimits Result;
  Result.MaxBodyMemory = static_cast<std::uint64_t>(
      static_cast<double>(Settings.MemoryBytes) * BodyMemoryFraction);
  return Result;
}

ServerLimits callerLimits(const CallerLimits &Limits,
                          const FleetSettings &Settings) {
  ServerLimits Result = initialLimits(Settings);
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
      View(Settings.Bounds), Draw(hashText(Settings.Host.Text)), Evidence(Link),
      Forwarding(Links.Endpoints), Routing(routerOptions(Settings), Evidence),
      Client(Pool.context(0), clientOptions(), &Links.Endpoints),
      Proxy(View, Links.Endpoints.reach(), Routing, Client, Links.Wire, Silence,
            hashText(Settings.Host.Text)),
      Member(makeMemberName(Settings)),
      Coordinator(Links.Store, Links.Engines, View, Silence,
                  Links.Endpoints.reach(), Member, AssemblyTimes{},
                  {dutyRole(), CandidacyTimes{}, BootClock::now()}),
      Operators(Links.Store, Feed::Operators,
                operatorFollowTimes(Settings.Bounds),
                {[this](FeedPage Page, bool IsSnapshot, TimePoint RequestedAt) {
                   ingestPage(Feed::Operators, std::move(Page), IsSnapshot,
                              RequestedAt);
                 },
                 [this](StoreFailure, TimePoint RequestedAt) {
                   readFailed(Feed::Operators, RequestedAt);
                 },
                 [this](TimePoint RequestedAt) {
                   storeAnswered(Feed::Operators, RequestedAt);
                 }}),
      Endpoints(Links.Store, Feed::Endpoints,
                endpointFollowTimes(followerSpacing()),
                {[this](FeedPage Page, bool IsSnapshot, TimePoint RequestedAt) {
                   ingestPage(Feed::Endpoints, std::move(Page), IsSnapshot,
                              RequestedAt);
                 },
                 [this](StoreFailure, TimePoint RequestedAt) {
                   readFailed(Feed::Endpoints, RequestedAt);
                 },
                 [this](TimePoint RequestedAt) {
                   storeAnswered(Feed::Endpoints, RequestedAt);
                 }}),
      Link(Pool, Settings.Peers, Member, Links.Store, linkHooks()) {
  Front.emplace(Pool, Settings.Callers.Address, Settings.Callers.Port,
                initialLimits(Settings), frontHooks());
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
// this object. Destroyed together with the contexts after this object, they
// wrote into freed memory, and the process crashed at its end.
void FleetHost::close() {
  MetricsServer.reset();
  Readiness.reset();
  Front.reset();
  Link.close();
  Operators.close();
  Endpoints.close();
  Coordinator.close();
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
          [this](const HttpRequest &Head, unsigned Status,
                 std::string_view Reason) {
            return Proxy.refuse(Head, Status, Reason);
          }};
}

void FleetHost::startFollowing() {
  Proxy.onUnusable(
      [this](const EndpointName &Endpoint, const std::string &AtFault) {
        reportUnusable(Endpoint, AtFault);
      });
  Proxy.onInvalidRateLimit([this](const EndpointName &Endpoint) {
    RateLimits.logInvalid(Endpoint.Text, BootClock::now());
  });
  Proxy.onInvalidBackoff([this](const EndpointName &Endpoint) {
    Availability.logInvalid(Endpoint.Text, BootClock::now());
  });
  Platform.Engines.onLeaving([this](const EndpointName &Name) {
    const KnownEndpoint *const Entry = View.endpoints().find(Name);
    if (Entry != nullptr)
      Routing.availability().recordLeaving(
          FleetView::processName(Entry->Record), BootClock::now());
  });
  Coordinator.onDuty([this](bool Holds) {
    Operators.setEagerRetry(Holds);
    Endpoints.setEagerRetry(Holds);
    if (Holds) {
      endDeferrals();
      readAllEndpoints();
    }
    Endpoints.setSpacing(Holds ? CoordinatorSpacing : followerSpacing());
  });
  View.setRanks(Settings.RanksByPriority);
  Coordinator.setDivision(Settings.Engines);
  Coordinator.onHostCount([this](TimePoint Now) { return Link.hosts(Now); });
  Coordinator.onOrders([this] {
    SeatChangesUntil = BootClock::now() + SeatChangeTime;
    Endpoints.setSpacing(SeatChangeSpacing);
  });
  if (Settings.Engines.FollowDemand)
    followDemand();
  deferOwnReads();
  startTasks();
}

// What a task has read counts as known before it is applied, so that both feeds
// are read anew after a failure.
void FleetHost::startTasks() {
  const auto Start = [this](std::string_view Name,
                            std::function<Awaitable<void>()> Run) {
    asio::co_spawn(Threads.context(0),
                   keepRunning({Name, std::move(Run),
                                [this] {
                                  Operators.restart();
                                  Endpoints.restart();
                                }}),
                   asio::detached);
  };
  Start("operators-feed", [this] { return Operators.run(); });
  Start("endpoints-feed", [this] { return Endpoints.run(); });
  Start("lease", [this] { return Coordinator.holdDuty(); });
  Start("tree-link", [this] { return Link.run(); });
  Start("groups", [this] { return Coordinator.driveGroups(); });
  Start("tick", [this] { return tick(); });
}

void FleetHost::refreshRoutes() {
  if (View.version() == RoutedVersion)
    return;
  RoutedVersion = View.version();
  refreshReach();
  const FleetRoutes NewRoutes = View.routes();
  Routing.setRoutes(NewRoutes.Table, NewRoutes.Shares, 1);
  if (!View.config() || View.config()->version() == LimitedVersion)
    return;
  LimitedVersion = View.config()->version();
  if (Front)
    Front->setLimits(callerLimits(View.config()->config().Limits, Settings));
  // Returns the memory that decoding a large configuration took; the allocator
  // would keep it otherwise.
  malloc_trim(0);
}

void FleetHost::refreshReach() {
  std::vector<ReachableEndpoint> Known;
  for (const auto &[Name, Entry] : View.endpoints().all())
    Known.push_back({Entry.Record.Address, Entry.Record.DataCentre});
  Platform.Endpoints.reach().setEndpoints(Known);
}

/// Finds out which endpoints this host reaches, and logs changes.
void FleetHost::trackReach(TimePoint Now) {
  ReachabilityTracker &Reach = Platform.Endpoints.reach();
  Reach.advance(Now);
  for (EngineAddress &Endpoint : Reach.takeProbes(Now))
    asio::co_spawn(Threads.context(0),
                   Platform.Endpoints.probe(std::move(Endpoint)),
                   asio::detached);
  for (const ReachChange &Change : Reach.takeChanges()) {
    logReachChange(Change, Now);
    handleReachChange(Change);
  }
}

void FleetHost::handleReachChange(const ReachChange &Change) {
  if (const auto *const Cut = std::get_if<CutOffBegan>(&Change))
    leaveSilentConnections(*Cut);
}

// Failure guarded against: this host is cut off, and each request on an open
// connection waits until its own time limit, while endpoints that are taken for
// stalled get no requests although other hosts reach them.
void FleetHost::leaveSilentConnections(const CutOffBegan &Cut) {
  for (const auto &[Name, SuspendedAt] : SilencedAt)
    if (SuspendedAt >= Cut.Since)
      View.resume(Name);
  SilencedAt.clear();
  refreshRoutes();
  const TimePoint Now = BootClock::now();
  const ReachabilityTracker &Reach = Platform.Endpoints.reach();
  for (const auto &[Name, Entry] : View.endpoints().all())
    if (Reach.isBehindCut(Entry.Record.Address, Now))
      Client.abort(Entry.Record.Address);
  Routing.dismissOwnLosses(Cut.Since - LossesBeforeCut);
  Routing.advance();
}

// Failure guarded against: the platform limits retries over all entry hosts,
// and each of seventy hosts saves up ten for each pool: 1,718 retries for 6,670
// requests in ten seconds, where 1,585 are allowed.
void FleetHost::limitRetries(std::size_t Hosts, TimePoint Now) {
  const RetryBound Bound{Settings.Bounds.RetryRatio,
                         Settings.Bounds.RetrySlack};
  for (const auto &[Service, Names] : View.pools()) {
    double Recent = 0.0;
    for (const std::string &Name : Names)
      Recent += Proxy.recentRequests(Name, Now);
    for (const std::string &Name : Names)
      Routing.setRetryAllowance(Name,
                                retryAllowance(Bound, double(Hosts), Recent));
  }
}

/// Divides limits that apply to all entry hosts together among the hosts that
/// exist.
void FleetHost::shareLimits(TimePoint Now) {
  if (Now < NextShareAt)
    return;
  NextShareAt = Now + ShareEvery;
  const std::size_t Hosts = Link.hosts(Now);
  limitFailedReads(Hosts, Now);
  if (Hosts > 0)
    LastEntryHosts = Hosts;
  Proxy.setEntryHosts(LastEntryHosts);
  Routing.setEntryHosts(LastEntryHosts);
  limitRetries(LastEntryHosts, Now);
  Retries.log(Routing.retryTallies(), LastEntryHosts, Now);
}

void FleetHost::followDemand() {
  Demand.emplace(hashText(Settings.DataCentre.Text));
  Proxy.recordDemand(*Demand);
  Coordinator.onDemand([this](TimePoint Now) { return demand(Now); });
}

void FleetHost::shareDemand(TimePoint Now) {
  if (!Demand || Now < NextDemandAt)
    return;
  NextDemandAt = Now + OwnDemandEvery;
  Demand->advance(Now);
  Link.recordOwnDemand(Demand->rows(Now));
}

std::map<std::uint64_t, std::string> FleetHost::poolNames() const {
  std::map<std::uint64_t, std::string> Result;
  for (const auto &[Service, Names] : View.pools())
    for (const std::string &Name : Names)
      Result.emplace(hashText(Name), Name);
  return Result;
}

/// Makes cold endpoints whose turn has come available to the router.
void FleetHost::openColdEndpoints(TimePoint Now) {
  std::map<std::string, std::uint32_t> Open;
  for (const auto &[Name, Entry] : View.endpoints().all())
    if (View.mayBeCold(Entry) && Proxy.mayUseCold(Entry, Now))
      Open[FleetView::endpointKey(Entry.Record)] = FleetView::ColdShare;
  if (!Open.empty())
    Routing.setShares(Open);
}

// Failure guarded against: a group stalls, and its callers wait until the
// silence limit of each stream, those whose stream has not begun even longer.
// The requests at a silent endpoint that can go on elsewhere are moved at once.
void FleetHost::suspendSilent(TimePoint Now) {
  for (const std::string &Name :
       Silence.idleFor(StallDetector::SuspectTimeout, Now)) {
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
  for (const std::string &Name : Silence.stalledEndpoints(Now)) {
    const EndpointName Endpoint(Name);
    const KnownEndpoint *const Entry = View.endpoints().find(Endpoint);
    if (Entry == nullptr || View.isSuspended(Endpoint))
      continue;
    const EngineAddress Address = Entry->Record.Address;
    if (!Platform.Endpoints.reach().cutOffSince()) {
      View.suspend(Endpoint, FleetView::SilentSuspension, Now);
      SilencedAt.insert_or_assign(Endpoint, Now);
      refreshRoutes();
      asio::co_spawn(Threads.context(0), Platform.Endpoints.probe(Address),
                     asio::detached);
    }
    const std::size_t Moved = Client.abort(Address);
    logEvent(Event::EndpointSilent, {{"endpoint", Name}, {"moved", Moved}});
  }
  Client.abortOverdue(Now);
  std::erase_if(SilencedAt, [&](const auto &Entry) {
    return Now - Entry.second > FleetView::SilentSuspension;
  });
}

/// Suspends an endpoint whose group needs repair and reports it to the
/// coordinator.
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

/// Replaces groups whose members leave, as if their records said so.
void FleetHost::followAvailability(TimePoint Now) {
  const std::vector<AvailabilityChange> Changes =
      Routing.availability().takeChanges();
  Availability.logChanges(Changes, Now);
  bool AnyLeaves = false;
  for (const AvailabilityChange &Change : Changes)
    if (const auto *const Noticed = std::get_if<LeavingNoticed>(&Change))
      AnyLeaves = View.recordLeaving(Noticed->Process, Now) || AnyLeaves;
  if (!AnyLeaves)
    return;
  refreshRoutes();
  Coordinator.planNow();
}

void FleetHost::endFastReads(TimePoint Now) {
  if (!SeatChangesUntil || Now < *SeatChangesUntil)
    return;
  SeatChangesUntil.reset();
  Endpoints.setSpacing(Coordinator.holds(Now) ? CoordinatorSpacing
                                              : followerSpacing());
}

// Failure guarded against: this host decodes a large configuration or gets no
// processor time, reads no data meanwhile, and takes its endpoints for silent.
// The time by which a tick is late does not count as their silence.
Awaitable<void> FleetHost::tick() {
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  TimePoint Due = BootClock::now();
  while (true) {
    const TimePoint Start = BootClock::now();
    Silence.recordOwnPause(Start - Due, Start);
    // What arrived during the pause is read before the next tick.
    if (Start - Due < StallDetector::MinOwnPause)
      suspendSilent(Start);
    trackReach(BootClock::now());
    endFastReads(BootClock::now());
    View.advance(BootClock::now());
    recordOverdue(BootClock::now());
    refreshRoutes();
    logConfigFreshness(BootClock::now());
    if (Coordinator.isLastHolder() && !View.knowsAllEndpoints())
      readAllEndpoints();
    shareLimits(BootClock::now());
    shareDemand(BootClock::now());
    openColdEndpoints(BootClock::now());
    Routing.advance();
    RateLimits.logChanges(Routing.takeRateLimitChanges(), BootClock::now());
    RateLimits.logUse(Routing.rateLimits(), BootClock::now());
    followAvailability(BootClock::now());
    if (const std::uint64_t Dropped = Proxy.takeDroppedTrails(); Dropped > 0)
      logEvent(Event::TrailsDropped, {{"requests", Dropped}});
    const milliseconds Interval = Routing.waiting() > 0 ? BusyTick : IdleTick;
    Due = Start + Interval;
    Pause.expires_after(Interval);
    co_await Pause.async_wait(asio::use_awaitable);
  }
}

Awaitable<void> FleetHost::answerReadiness(Exchange &Call) {
  const TimePoint Now = BootClock::now();
  const bool Ready = !Stopping && View.ready(Now) &&
                     !Platform.Endpoints.reach().reachesNothing(Now);
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
  AppendLine("streams_moved_total", Counts.Moves);
  AppendLine("streams_not_moved_total", Counts.AbandonedMoves);
  AppendLine("streams_cut_total", Counts.CutStreams);
  for (const auto &[Stop, Count] : Counts.CutInTime)
    AppendLine("streams_cut_in_time_total{why=\"" +
                   std::string(retryStopCode(Stop)) + "\"}",
               Count);
  const ClosedConnections Closed = Front->closedConnections();
  AppendLine("connections_closed_idle_total", Closed.Idle);
  AppendLine("connections_closed_in_progress_total", Closed.InProgress);
  AppendLine("connections_closed_unread_total", Closed.Unread);
  AppendLine("body_memory_bytes", Front->bodyMemory());
  AppendLine("waiting", Routing.waiting());
  const Router::PartTally Parts = Routing.partTally();
  AppendLine("prompt_parts_suspected", Parts.Suspected);
  AppendLine("prompt_parts_refused", Parts.Refused);
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
  const ReachTally Reached = Platform.Endpoints.reach().tally(Now);
  AppendLine("endpoints_reached_directly", Reached.Direct);
  AppendLine("endpoints_reached_through_hosts", Reached.Forwarded);
  AppendLine("endpoints_not_reached", Reached.Unreachable);
  AppendLine("connections_forwarded_total", Forwarding.total());
  AppendLine("connections_forwarded", Forwarding.open());
  AppendLine("cut_off", Platform.Endpoints.reach().cutOffSince() ? 1 : 0);
  RetryReport::appendTo(Text, Routing.retryTallies());
  RateLimitReport::appendTo(Text, Routing.rateLimits());
  AvailabilityReport::appendTo(Text, Routing.availability().tally(Now));
  if (Demand)
    appendDemandMetrics(Text, Demand->rows(Now), poolNames());
  Proxy.metrics().appendTo(Text);
  Coordinator.appendMetrics(Text, Now);
  Proxy.placement().appendTo(Text);
  return Text;
}

void FleetHost::stop(std::function<void(std::size_t)> Done) {
  asio::co_spawn(Threads.context(0), runStop(std::move(Done)), asio::detached);
}

/// Gives up the coordinator lease, which takes as long as the store does.
Awaitable<void> FleetHost::leaveDuty() {
  try {
    co_await Coordinator.leave();
  } catch (const boost::system::system_error &Problem) {
    logEvent(Event::InternalError, {{"why", Problem.what()}});
  }
  HasLeft = true;
}

FleetHost::StopTimes FleetHost::stopTimes(TimePoint StartedAt) const {
  StopTimes Result;
  Result.End = StartedAt + Settings.Bounds.StopGrace - StopMargin;
  Result.LastAnswer = Result.End - LastAnswerMargin;
  Result.Close =
      std::min<TimePoint>(StartedAt + BalancerNoticeTime, Result.LastAnswer);
  Result.RefuseWaiting = Result.Close + (Result.LastAnswer - Result.Close) / 2;
  return Result;
}

/// Waits until no connection is left or a time has come.
Awaitable<void> FleetHost::awaitEnd(TimePoint Until) {
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  while (BootClock::now() < Until &&
         !(HasLeft && Front->hasEnded() && Forwarding.open() == 0)) {
    Pause.expires_after(StopPoll);
    co_await Pause.async_wait(asio::use_awaitable);
  }
}

// Failure guarded against: the load balancer still sends connections for a
// while, and clients keep using open ones. Both are served until the balancer
// must have noticed the failing readiness check, and told that their connection
// closes. Each step has its time from the stop signal, since the store may take
// long, and what has no answer by the last one would end without any.
Awaitable<void> FleetHost::runStop(std::function<void(std::size_t)> Done) {
  const StopTimes Times = stopTimes(BootClock::now());
  Stopping = true;
  Forwarding.stop();
  Front->announceClose();
  Routing.announceStop(Times.LastAnswer);
  logEvent(Event::Stopping, {{"in_progress", Front->inProgress()}});
  const auto Executor = co_await asio::this_coro::executor;
  asio::co_spawn(Executor, leaveDuty(), asio::detached);
  asio::steady_timer Pause(Executor);
  Pause.expires_after(Times.Close - BootClock::now());
  co_await Pause.async_wait(asio::use_awaitable);
  Front->stopAccepting();
  co_await awaitEnd(Times.RefuseWaiting);
  Routing.stop(StopStage::NoWaiting);
  co_await awaitEnd(Times.LastAnswer);
  Proxy.stop();
  Routing.stop(StopStage::NoSending);
  const std::size_t Unanswered = Front->inProgress();
  Client.abortAll();
  co_await awaitEnd(Times.End);
  const std::size_t CutRequests = Front->inProgress();
  Front->cutAll();
  const ClosedConnections Closed = Front->closedConnections();
  logEvent(Event::Stopped, {{"cut", CutRequests},
                            {"given_up", Unanswered},
                            {"forwarded", Forwarding.open()},
                            {"closed_idle", Closed.Idle},
                            {"closed_in_progress", Closed.InProgress},
                            {"closed_unread", Closed.Unread}});
  Done(CutRequests);
}

} // namespace coltsfoottrail
