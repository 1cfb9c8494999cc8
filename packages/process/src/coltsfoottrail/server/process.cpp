#include "coltsfoottrail/server/process.hpp"

#include "coltsfoottrail/claims/codec.hpp"
#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/dissemination/noticewire.hpp"
#include "coltsfoottrail/intents/describe.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/server/meshpeers.hpp"
#include "coltsfoottrail/server/refusal.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <random>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr milliseconds TickInterval{5};
constexpr milliseconds SlowTickInterval{100};
constexpr std::uint64_t LoadPollIntervalTicks = 5;
constexpr std::uint64_t HostListIntervalTicks = 20;
constexpr milliseconds QueryTimeout{400};
constexpr milliseconds RecordTimeout{5'000};
constexpr milliseconds StaleRetryAfter{500};
constexpr milliseconds StopPollInterval{10};
constexpr milliseconds LeaveTimeout{3'000};
/// Before the limit for streams, time for the last responses to be written.
constexpr milliseconds LastAnswerMargin{200};

Incarnation drawRun() {
  std::random_device Source;
  Incarnation Run = 0;
  while (Run == 0)
    Run = (Incarnation{Source()} << 31U) ^ Source();
  return Run;
}

ServerLimits callerLimits(const CallerSettings &From,
                          std::uint64_t MaxBodyMemory) {
  ServerLimits Limits;
  Limits.MaxBodyMemory = MaxBodyMemory;
  Limits.MaxHeaderBytes = static_cast<std::uint32_t>(From.MaxHeaderBytes);
  Limits.MaxBodyBytes = From.MaxBodyBytes;
  Limits.MaxConnections = From.MaxConnections;
  Limits.HeaderTimeout = From.HeaderTimeout;
  Limits.BodyTimeout = From.BodyTimeout;
  Limits.WriteTimeout = From.WriteTimeout;
  return Limits;
}

ClaimOptions claimOptions(const Settings &From, Incarnation Run) {
  ClaimOptions ClaimSettings;
  ClaimSettings.Self = From.Host;
  ClaimSettings.Run = Run;
  ClaimSettings.KeyLife =
      std::chrono::duration_cast<seconds>(From.Claims.KeyLife);
  ClaimSettings.BatchDelay = From.Claims.BatchTime;
  return ClaimSettings;
}

/// Parses the group id from the key of a model's endpoint (PLAN.NUMBER@...);
/// empty for a service's endpoint.
std::optional<GroupId> groupOfKey(std::string_view Key) {
  GroupId Out;
  const char *const End = Key.data() + Key.size();
  const auto Plan = std::from_chars(Key.data(), End, Out.Plan);
  if (Plan.ec != std::errc{} || Plan.ptr == End || *Plan.ptr != '.')
    return std::nullopt;
  const auto Number = std::from_chars(Plan.ptr + 1, End, Out.Number);
  if (Number.ec != std::errc{} || Number.ptr == End || *Number.ptr != '@')
    return std::nullopt;
  return Out;
}

RouterOptions routerOptions(const Settings &From) {
  RouterOptions RouterSettings;
  RouterSettings.Self = From.Host;
  RouterSettings.Dispatch.LocalDataCentre = From.DataCentre;
  RouterSettings.Dispatch.MaxWaiting = From.Limits.MaxWaiting;
  RouterSettings.Dispatch.MaxWaitingBytes = From.Limits.MaxWaitingBytes;
  return RouterSettings;
}

EngineAddress logAddress(const Settings &From) {
  return {From.Platform.Log.ServerAddress.Address,
          From.Platform.Log.ServerAddress.Port};
}

HttpResponse plain(unsigned Status, std::string Text) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Fields = {{"Content-Type", "text/plain"}};
  Response.Body = std::move(Text);
  return Response;
}

HttpResponse refuseUnserved(const HttpRequest & /*Head*/, unsigned Status,
                            std::string_view Why) {
  return serverRefusal(Status, Why);
}

HttpResponse readiness(bool Ready) {
  return Ready ? plain(200, "ready\n") : plain(503, "not ready\n");
}

} // namespace

EntryHostProcess::EntryHostProcess(Settings Wanted)
    : Options(std::move(Wanted)), Run(drawRun()), Control(1),
      ControlGuard(asio::make_work_guard(Control)), Threads(Options.Threads),
      LogClient(Control, logAddress(Options)), EngineClients(Control),
      Peers(meshConfig()), Agreed(Control, LogClient, agreedOptions()),
      Claims(Control, LogClient, claimOptions(Options, Run),
             [this](const HostName &To, const ClaimMessage &Message) {
               send(To, Channel::Claims, writeClaimMessage(Message));
             }),
      Groups(
          Control, Agreed, EngineClients, Options.Host, Run,
          [this](const HostName &To, Json Beat) {
            send(To, Channel::Sightings, std::move(Beat));
          },
          [](const HostName &, const EngineReport &) {}),
      Evidence(Peers, Options.Host),
      Routing(
          [this] {
            RouterOptions Limits = routerOptions(Options);
            Limits.Seed = Run;
            Limits.OnDemandChanged = [this](std::string_view Pool,
                                            std::size_t Waiting) {
              Members->setPoolDemand(Pool, static_cast<std::uint32_t>(Waiting));
            };
            return Limits;
          }(),
          Evidence),
      Spans(Options.Telemetry.TraceFile, Options.Host, Run),
      CallerRelay(
          Threads, Routing, Claims,
          CallerLimits{Options.Callers.DefaultDeadline,
                       Options.Callers.MaxDeadline},
          AdmissionHooks{
              [this](const EndpointSpec &To) { return admit(To); },
              [this](const EndpointSpec &To, const AttemptResult &Result) {
                attemptEnded(To, Result);
              }},
          Spans),
      OperatorInterface(
          Agreed, sha256Hex(std::string(Options.Operators.Credential.reveal())),
          [this] { return Registry.prometheusText(BootClock::now()); }),
      TickTimer(Control), SlowTickTimer(Control),
      Routes(std::make_shared<const RouteTable>()),
      Usable(std::make_shared<const UsableEndpoints>()) {
  CallerServer = std::make_unique<HttpServer>(
      Threads, Options.Callers.Listen.Address, Options.Callers.Listen.Port,
      callerLimits(Options.Callers, Options.Limits.MaxBodyMemory),
      ServerHooks{[this](Exchange &Call) { return serveCaller(Call); },
                  [this](const HttpRequest &Head) { return checkCaller(Head); },
                  refuseUnserved});
  OperatorServer = std::make_unique<HttpServer>(
      Threads, Options.Operators.Listen.Address, Options.Operators.Listen.Port,
      ServerLimits{.MaxBodyBytes = std::uint64_t{64} << 20U},
      ServerHooks{
          [this](Exchange &Call) { return OperatorInterface.serve(Call); },
          [this](const HttpRequest &Head) {
            return OperatorInterface.check(Head);
          },
          refuseUnserved});
  setUpMetrics();
  listenToPeers();
  if (Options.Platform.HostList)
    HostListing = std::make_unique<HttpHostList>(
        Control, EngineAddress{Options.Platform.HostList->Address,
                               Options.Platform.HostList->Port});
  Members = std::make_unique<MembershipDriver>(
      joinRecord(startPeers()), Options.Callers.MaxDeadline, memberHooks());
  asio::post(Control, [this] {
    Agreed.start(agreedListener());
    tick();
    tickSlow();
  });
  ControlThread = std::thread([this] { Control.run(); });
}

EntryHostProcess::~EntryHostProcess() {
  StopRequested = true;
  CallerServer->stopAccepting();
  CallerServer->cutAll();
  OperatorServer->cutAll();
  Peers.stop();
  Control.stop();
  if (ControlThread.joinable())
    ControlThread.join();
  Threads.stop();
  dropControlWork();
  CallerRelay.closeClients();
  CallerServer.reset();
  OperatorServer.reset();
  Threads.clear();
}

// Guards against a use after destruction: handlers still queued on the control
// thread hold timers of the callers' threads and would outlive them. With
// everything stopped, polling the context once destroys them.
void EntryHostProcess::dropControlWork() {
  Agreed.stop();
  Claims.stop();
  Groups.stop();
  TickTimer.cancel();
  SlowTickTimer.cancel();
  Control.restart();
  Control.poll();
}

std::uint16_t EntryHostProcess::callerPort() const noexcept {
  return CallerServer->port();
}

std::uint16_t EntryHostProcess::operatorPort() const noexcept {
  return OperatorServer->port();
}

void EntryHostProcess::onRunRemoved(std::function<void()> Callback) {
  asio::post(Control, [this, Then = std::move(Callback)]() mutable {
    RunRemovedCallback = std::move(Then);
  });
}

std::uint16_t EntryHostProcess::startPeers() {
  try {
    return Peers.start();
  } catch (const Error &Problem) {
    throw PortError(Problem.what());
  }
}

bool EntryHostProcess::mayStartWork() const {
  const Freshness Now = Agreed.freshness(BootClock::now());
  return Now == Freshness::Fresh || Now == Freshness::LogDownForAll;
}

bool EntryHostProcess::ready() const {
  return Joined && !Unready && mayStartWork();
}

MeshConfig EntryHostProcess::meshConfig() const {
  MeshConfig Config;
  Config.Self = Options.Host;
  Config.Run = Run;
  Config.Address = Options.Mesh.Listen.Address;
  Config.Port = Options.Mesh.Listen.Port;
  Config.Key = std::string(Options.Mesh.Key.reveal());
  Config.Seed = Run;
  return Config;
}

AgreedOptions EntryHostProcess::agreedOptions() const {
  AgreedOptions StreamOptions;
  StreamOptions.Stream = Options.AgreedStream;
  StreamOptions.Host = Options.Host;
  StreamOptions.DataCentre = Options.DataCentre;
  StreamOptions.Run = Run;
  StreamOptions.AppendTimeout = Options.Platform.Log.Timeout;
  return StreamOptions;
}

EntryHostJoined EntryHostProcess::joinRecord(std::uint16_t MeshPort) const {
  EntryHostJoined Joining;
  Joining.Host = Options.Host;
  Joining.Run = Run;
  Joining.DataCentre = Options.DataCentre;
  Joining.Address = Options.AdvertisedAddress;
  Joining.MeshPort = MeshPort;
  Joining.CallerPort = CallerServer->port();
  return Joining;
}

MembershipHooks EntryHostProcess::memberHooks() {
  MembershipHooks Hooks;
  Hooks.SendMembership = [this](const HostName &To, Json Message) {
    send(To, Channel::Heartbeat, std::move(Message));
  };
  Hooks.SendShares = [this](const HostName &To, Json Message) {
    send(To, Channel::Credits, std::move(Message));
  };
  Hooks.Append = [this](Record NewRecord) {
    Agreed.append(std::move(NewRecord), RecordTimeout,
                  [](const AppendOutcome &) {});
  };
  Hooks.OnRunRemoved = [this] {
    Unready = true;
    logEvent(Event::Unready, {{"why", "its peers have found this run gone"}});
    if (RunRemovedCallback)
      RunRemovedCallback();
  };
  Hooks.OnShares = [this](const std::map<std::string, std::uint32_t> &Shares) {
    Routing.setShares(Shares);
  };
  return Hooks;
}

AgreedListener EntryHostProcess::agreedListener() {
  AgreedListener Listener;
  Listener.OnState = [this](const StatePtr &Now) { onState(Now); };
  Listener.OnLogRead = [this](TimePoint CutRequests) {
    Members->recordLogRead(CutRequests);
  };
  Listener.OnLogFailure = [this] { Members->recordLogFailure(); };
  Listener.SendToPeer = [this](const HostName &To, Json Message) {
    send(To, Channel::Records, std::move(Message));
  };
  return Listener;
}

void EntryHostProcess::send(const HostName &To, Channel MessageChannel,
                            Json Body) {
  (void)Peers.send(To, MessageChannel, std::move(Body));
}

void EntryHostProcess::subscribe(
    Channel MessageChannel,
    void (EntryHostProcess::*Take)(const HostName &, const Json &)) {
  Peers.onMessage(
      MessageChannel,
      [this, Take](const HostName &From, Incarnation, const Json &Message) {
        asio::post(Control, [this, Take, From, Message] {
          if (!StopRequested || ControlThread.joinable())
            (this->*Take)(From, Message);
        });
      });
}

void EntryHostProcess::listenToPeers() {
  subscribe(Channel::Heartbeat, &EntryHostProcess::handleMembership);
  subscribe(Channel::Credits, &EntryHostProcess::handleShares);
  subscribe(Channel::Claims, &EntryHostProcess::handleClaims);
  subscribe(Channel::Sightings, &EntryHostProcess::handleBeat);
  subscribe(Channel::Records, &EntryHostProcess::handleRecords);
  subscribe(Channel::Notices, &EntryHostProcess::handleNotice);
  Peers.onPeer([this](const PeerEvent &What) {
    if (const auto *const Up = std::get_if<PeerUp>(&What)) {
      logEvent(Event::PeerConnected, {{"peer", Up->Host}});
      Evidence.sendKept(Up->Host);
    } else if (const auto *const Down = std::get_if<PeerDown>(&What))
      logEvent(Event::PeerLost, {{"peer", Down->Host}, {"why", Down->Why}});
    else if (const auto *const Refused = std::get_if<PeerRefused>(&What))
      logEvent(Event::PeerRefused, {{"address", Refused->Address},
                                    {"why", refusalText(Refused->Why)}});
  });
  std::vector<MeshSeed> Seeds;
  for (const SocketAddress &Seed : Options.Mesh.Seeds)
    Seeds.push_back({Seed.Address, Seed.Port});
  Peers.setSeeds(Seeds);
}

void EntryHostProcess::handleMembership(const HostName &From,
                                        const Json &Message) {
  Members->receiveMembership(From, Message);
}

void EntryHostProcess::handleShares(const HostName &From, const Json &Message) {
  Members->receiveShares(From, Message);
}

void EntryHostProcess::handleClaims(const HostName &From, const Json &Message) {
  try {
    Claims.receive(From, readClaimMessage(Message, "message about claims"));
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void EntryHostProcess::handleBeat(const HostName &From, const Json &Message) {
  Groups.receive(From, Message);
}

void EntryHostProcess::handleRecords(const HostName &From,
                                     const Json &Message) {
  Agreed.receive(From, Message);
}

void EntryHostProcess::handleNotice(const HostName &From, const Json &Message) {
  try {
    const PoolNotice Received = readNotice(Message);
    // Broadcasts reach neighbours only, so hosts forward notices that are new
    // to them.
    if (!Routing.observeNotice(Received.PoolName, Received.Notice))
      return;
    Evidence.keep(Received);
    if (!AllAreNeighbours)
      Peers.broadcast(Channel::Notices, Message);
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void EntryHostProcess::onState(const StatePtr &Now) {
  const auto Built = std::make_shared<const RouteTable>(buildRoutes(*Now));
  std::vector<ClaimMember> Claimants;
  for (const auto &[Name, Host] : Now->EntryHosts)
    Claimants.push_back({Name, Host.JoinRecord.Run});
  logChanges(*Now);
  Routes = Built;
  Members->onState(*Now, *Built);
  Claims.setMembers(Claimants);
  setPeers(*Now);
  Groups.poll();
  refreshUsableEndpoints();
  applyRoutes();
  CallerRelay.setRoutes(Built);
  if (Members->joined() && !Joined.exchange(true))
    logEvent(Event::Joined, {{"host", Options.Host}, {"next", Now->Next}});
}

void EntryHostProcess::logChanges(const State &Now) {
  for (const auto &[Id, GroupState] : Now.Groups) {
    const auto [Known, New] = LoggedGroups.try_emplace(Id, GroupPhase::Forming);
    if (Known->second == GroupState.Phase)
      continue;
    Known->second = GroupState.Phase;
    if (GroupState.Phase == GroupPhase::Broken)
      logEvent(Event::GroupBroken, {{"group", textOf(Id)}});
    if (GroupState.Phase == GroupPhase::Serving)
      logEvent(Event::GroupConfirmed, {{"group", textOf(Id)}});
  }
  std::erase_if(LoggedGroups, [&](const auto &Entry) {
    return !Now.Groups.contains(Entry.first);
  });
  for (const auto &[Id, Progress] : Now.Plans) {
    const auto [Known, New] = LoggedPlans.try_emplace(Id, PlanPhase::Proposed);
    if (Known->second == Progress.Phase)
      continue;
    Known->second = Progress.Phase;
    if (Progress.Phase == PlanPhase::Done)
      logEvent(Event::PlanFinished, {{"plan", Id}});
    if (Progress.Phase == PlanPhase::Abandoned)
      logEvent(Event::PlanAbandoned, {{"plan", Id}, {"why", Progress.Reason}});
    if (Progress.Phase == PlanPhase::Running)
      logEvent(Event::PlanTaken, {{"plan", Id}});
  }
  std::erase_if(LoggedPlans, [&](const auto &Entry) {
    return !Now.Plans.contains(Entry.first);
  });
}

void EntryHostProcess::setPeers(const State &Now) {
  if (AppliedPeersChange == Now.EntryHostsChange)
    return;
  AppliedPeersChange = Now.EntryHostsChange;
  const std::vector<MeshPeer> All = meshPeers(Options.Host, Now);
  AllAreNeighbours =
      std::all_of(All.begin(), All.end(),
                  [](const MeshPeer &Peer) { return Peer.Neighbour; });
  Peers.setPeers(All);
}

void EntryHostProcess::refreshUsableEndpoints() {
  const std::map<GroupId, TimePoint> Live = Groups.usableUntil();
  auto Next = std::make_shared<UsableEndpoints>();
  for (const auto &[Name, RoutedPool] : Routes->Pools)
    for (const EndpointSpec &Spec : RoutedPool.Endpoints) {
      const std::optional<GroupId> Group = groupOfKey(Spec.Key);
      if (!Group)
        (*Next)[Spec.Key] = TimePoint::max();
      else if (const auto Found = Live.find(*Group); Found != Live.end())
        (*Next)[Spec.Key] = Found->second;
    }
  const std::lock_guard Hold(UsableLock);
  Usable = std::move(Next);
}

void EntryHostProcess::applyRoutes() {
  const TimePoint Now = BootClock::now();
  RouteTable Filtered = *Routes;
  std::set<std::string> Keys;
  std::map<std::string, std::uint32_t> Shares;
  for (auto &[Name, RoutedPool] : Filtered.Pools) {
    std::erase_if(RoutedPool.Endpoints, [&](const EndpointSpec &Spec) {
      const auto Found = Usable->find(Spec.Key);
      return Found == Usable->end() || Found->second <= Now;
    });
    for (const EndpointSpec &Spec : RoutedPool.Endpoints) {
      Keys.insert(Spec.Key);
      Shares[Spec.Key] = Members->share(Spec.Key);
    }
  }
  if (Keys == AppliedKeys && AppliedVersion == Filtered.Version)
    return;
  AppliedKeys = std::move(Keys);
  AppliedVersion = Filtered.Version;
  Routing.setRoutes(Filtered, Shares, Agreed.state()->EntryHosts.size());
  Routing.setEntryHosts(Agreed.state()->EntryHosts.size());
}

// Guards against stale decisions: between the dispatcher's decision and this
// call, the host may have been paused, or a drain, the loss of a member or the
// end of a share may have taken effect. Each is checked again with the clock
// read now.
bool EntryHostProcess::admit(const EndpointSpec &To) {
  if (!mayStartWork())
    return false;
  std::shared_ptr<const UsableEndpoints> Now;
  {
    const std::lock_guard Hold(UsableLock);
    Now = Usable;
  }
  const auto Found = Now->find(To.Key);
  if (Found == Now->end() || Found->second <= BootClock::now())
    return false;
  return Members->tryStart(To.Key);
}

void EntryHostProcess::attemptEnded(const EndpointSpec &To,
                                    const AttemptResult &Result) {
  const bool Blameless = Result.Answered || Result.WantsBackoff ||
                         Result.Withheld ||
                         Result.FailureReason == Reason::Cancelled;
  Members->finish(To.Key, Blameless, Result.Total);
  const std::optional<GroupId> Group = groupOfKey(To.Key);
  if (Group && Result.ConnectionLost)
    asio::post(Control, [this, Lost = *Group] { Groups.suspect(Lost); });
}

void EntryHostProcess::pollLoad() {
  for (const auto &[Name, RoutedPool] : Routes->Pools)
    for (const EndpointSpec &Spec : RoutedPool.Endpoints) {
      if (Members->share(Spec.Key) == 0 && !Members->isSteward(Spec.Key))
        continue;
      EngineClients.ask(
          Spec.Address, QueryTimeout,
          [this, Key = Spec.Key](std::optional<EngineReport> Report) {
            if (Report)
              recordLoad(Key, *Report);
          });
    }
}

void EntryHostProcess::recordLoad(const std::string &Key,
                                  const EngineReport &Report) {
  const LoadReport Load{Key, Report.Run, Report.Running, Report.Queued};
  Members->observe(Load);
  Routing.observe(Load);
}

void EntryHostProcess::tick() {
  Routing.advance();
  Members->tick();
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait([this](const boost::system::error_code &Problem) {
    if (!Problem)
      tick();
  });
}

void EntryHostProcess::tickSlow() {
  ++SlowTicks;
  Routing.repeatDemand();
  Retries.log(Routing.retryTallies(), Agreed.state()->EntryHosts.size(),
              BootClock::now());
  RateLimits.logChanges(Routing.takeRateLimitChanges(), BootClock::now());
  RateLimits.logUse(Routing.rateLimits(), BootClock::now());
  Availability.logChanges(Routing.availability().takeChanges(),
                          BootClock::now());
  Groups.poll();
  refreshUsableEndpoints();
  applyRoutes();
  if (SlowTicks % LoadPollIntervalTicks == 0)
    pollLoad();
  if (HostListing && SlowTicks % HostListIntervalTicks == 0)
    HostListing->list(QueryTimeout, [this](const auto &Hosts) {
      if (Hosts)
        Members->applyHostList(*Hosts);
    });
  SlowTickTimer.expires_after(SlowTickInterval);
  SlowTickTimer.async_wait([this](const boost::system::error_code &Problem) {
    if (!Problem)
      tickSlow();
  });
}

std::optional<HttpResponse>
EntryHostProcess::checkCaller(const HttpRequest &Head) {
  if (Head.Target == "/healthz" || Head.Target == "/readyz")
    return std::nullopt;
  if (!mayStartWork())
    return refusalOf(
        Verdict{RunState::NotRun, Reason::Stale, StaleRetryAfter},
        "this entry host cannot prove that its configuration is current");
  return CallerRelay.check(Head);
}

Awaitable<void> EntryHostProcess::serveCaller(Exchange &Call) {
  const std::string &Target = Call.request().Target;
  if (Target == "/healthz")
    co_await Call.respond(plain(200, "alive\n"));
  else if (Target == "/readyz")
    co_await Call.respond(readiness(ready()));
  else
    co_await CallerRelay.serve(Call);
}

/// Waits until all callers' connections are closed or a time has come.
void EntryHostProcess::awaitCallers(TimePoint Until) const {
  while (!CallerServer->hasEnded() && BootClock::now() < Until)
    std::this_thread::sleep_for(StopPollInterval);
}

std::size_t EntryHostProcess::stop() {
  if (StopRequested.exchange(true))
    return 0;
  Unready = true;
  logEvent(Event::Unready, {{"why", "planned stop"}});
  logEvent(Event::Stopping, {{"in_progress", CallerServer->inProgress()}});
  CallerServer->announceClose();
  const TimePoint Limit =
      BootClock::now() + Options.Stop.Grace + Options.Stop.StreamLimit;
  Routing.announceStop(Limit - LastAnswerMargin);
  std::this_thread::sleep_for(Options.Stop.Grace);
  CallerRelay.stopAccepting();
  CallerServer->stopAccepting();
  // Callers of what waits need the rest of their time to be served elsewhere.
  awaitCallers(Limit - Options.Stop.StreamLimit / 2);
  Routing.stop(StopStage::NoWaiting);
  awaitCallers(Limit - LastAnswerMargin);
  Routing.stop(StopStage::NoSending);
  CallerRelay.abortCalls();
  awaitCallers(Limit);
  const std::size_t CutRequests = CallerServer->inProgress();
  if (CutRequests > 0)
    logEvent(Event::StreamCut, {{"requests", CutRequests}});
  CallerServer->cutAll();
  // Guards against losing an outcome: if this host left before the settlement
  // of an answered request is on the log, a repeat of that request at another
  // host would get "may have run" instead of the stored response.
  const TimePoint SettleLimit = BootClock::now() + LeaveTimeout;
  while (Claims.unsettled() > 0 && BootClock::now() < SettleLimit)
    std::this_thread::sleep_for(StopPollInterval);
  asio::post(Control, [this] { Members->leave(); });
  const TimePoint LeaveLimit = BootClock::now() + LeaveTimeout;
  const auto IsMember = [this] {
    const StatePtr Now = Agreed.state();
    const auto Found = Now->EntryHosts.find(Options.Host);
    return Found != Now->EntryHosts.end() &&
           Found->second.JoinRecord.Run == Run;
  };
  while (IsMember() && BootClock::now() < LeaveLimit)
    std::this_thread::sleep_for(StopPollInterval);
  Peers.stop();
  Control.stop();
  ControlThread.join();
  logEvent(Event::Stopped, {{"cut", CutRequests}});
  return CutRequests;
}

} // namespace coltsfoottrail
