#include "coltsfoottrail/server/process.hpp"

#include "coltsfoottrail/claims/codec.hpp"
#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/intents/describe.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/server/meshpeers.hpp"
#include "coltsfoottrail/server/noticewire.hpp"
#include "coltsfoottrail/server/refusal.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <random>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr milliseconds TickEvery{5};
constexpr milliseconds SlowTickEvery{100};
constexpr std::uint64_t LoadEverySlowTicks = 5;
constexpr std::uint64_t HostListEverySlowTicks = 20;
constexpr milliseconds AskTimeout{400};
constexpr milliseconds RecordTimeout{5'000};
constexpr milliseconds StaleRetryAfter{500};
constexpr milliseconds PollWhileStopping{10};
constexpr milliseconds LeavePatience{3'000};

Incarnation drawRun() {
  std::random_device Source;
  Incarnation Run = 0;
  while (Run == 0)
    Run = (Incarnation{Source()} << 31U) ^ Source();
  return Run;
}

ServerLimits callerLimits(const CallerSettings &From) {
  ServerLimits Out;
  Out.MaxHeaderBytes = static_cast<std::uint32_t>(From.MaxHeaderBytes);
  Out.MaxBodyBytes = From.MaxBodyBytes;
  Out.MaxConnections = From.MaxConnections;
  Out.HeaderTimeout = From.HeaderTimeout;
  Out.BodyTimeout = From.BodyTimeout;
  Out.WriteTimeout = From.WriteTimeout;
  return Out;
}

ClaimOptions claimOptions(const Settings &From, Incarnation Run) {
  ClaimOptions Out;
  Out.Self = From.Host;
  Out.Run = Run;
  Out.KeyLife = std::chrono::duration_cast<seconds>(From.Claims.KeyLife);
  Out.BatchDelay = From.Claims.BatchTime;
  return Out;
}

/// The group that the key of a model's endpoint names; nothing for a service.
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
  RouterOptions Out;
  Out.Self = From.Host;
  Out.Dispatch.Self = From.DataCentre;
  Out.Dispatch.MaxWaiting = From.Limits.MaxWaiting;
  Out.Dispatch.MaxWaitingBytes = From.Limits.MaxWaitingBytes;
  return Out;
}

EngineAddress logAddress(const Settings &From) {
  return {From.Platform.Log.At.Address, From.Platform.Log.At.Port};
}

HttpResponse plain(unsigned Status, std::string Text) {
  HttpResponse Out;
  Out.Status = Status;
  Out.Fields = {{"Content-Type", "text/plain"}};
  Out.Body = std::move(Text);
  return Out;
}

HttpResponse readiness(bool Ready) {
  return Ready ? plain(200, "ready\n") : plain(503, "not ready\n");
}

} // namespace

EntryHostProcess::EntryHostProcess(Settings Wanted)
    : Options(std::move(Wanted)), Run(drawRun()), Control(1),
      ControlGuard(asio::make_work_guard(Control)), Threads(Options.Threads),
      Platform(Control, logAddress(Options)), Orders(Control),
      Peers(meshConfig()), Agreed(Control, Platform, agreedOptions()),
      Claims(Control, Platform, claimOptions(Options, Run),
             [this](const HostName &To, const ClaimMessage &Message) {
               send(To, Channel::Claims, writeClaimMessage(Message));
             }),
      Groups(
          Control, Agreed, Orders, Options.Host, Run,
          [this](const HostName &To, Json Beat) {
            send(To, Channel::Sightings, std::move(Beat));
          },
          [](const HostName &, const EngineReport &) {}),
      Routing([this] {
        RouterOptions Limits = routerOptions(Options);
        Limits.OnWaiting = [this](std::string_view Pool, std::size_t Waiting) {
          Members->demand(Pool, static_cast<std::uint32_t>(Waiting));
        };
        return Limits;
      }()),
      Spans(Options.Telemetry.TraceFile, Options.Host, Run),
      Callers(
          Threads, Routing, Claims,
          CallerLimits{Options.Callers.DefaultDeadline,
                       Options.Callers.MaxDeadline},
          SendGate{[this](const EndpointSpec &To) { return admit(To); },
                   [this](const EndpointSpec &To, const AttemptResult &Result) {
                     ended(To, Result);
                   }},
          Spans),
      ForOperators(
          Agreed, sha256Hex(std::string(Options.Operators.Credential.reveal())),
          [this] { return Registry.prometheusText(BootClock::now()); }),
      Tick(Control), SlowTick(Control),
      Routes(std::make_shared<const RouteTable>()),
      Usable(std::make_shared<const UsableEndpoints>()) {
  CallerServer = std::make_unique<HttpServer>(
      Threads, Options.Callers.Listen.Address, Options.Callers.Listen.Port,
      callerLimits(Options.Callers),
      ServerHooks{[this](Exchange &Call) { return serveCaller(Call); },
                  [this](const HttpRequest &Head) { return checkCaller(Head); },
                  serverRefusal});
  OperatorServer = std::make_unique<HttpServer>(
      Threads, Options.Operators.Listen.Address, Options.Operators.Listen.Port,
      ServerLimits{.MaxBodyBytes = std::uint64_t{64} << 20U},
      ServerHooks{
          [this](Exchange &Call) { return ForOperators.serve(Call); },
          [this](const HttpRequest &Head) { return ForOperators.check(Head); },
          serverRefusal});
  setUpMetrics();
  listenToPeers();
  if (Options.Platform.HostList)
    HostListing = std::make_unique<HttpHostList>(
        Control, EngineAddress{Options.Platform.HostList->Address,
                               Options.Platform.HostList->Port});
  Members = std::make_unique<MemberDesk>(
      joinRecord(startPeers()), Options.Callers.MaxDeadline, memberHooks());
  asio::post(Control, [this] {
    Agreed.start(agreedListener());
    tick();
    tickSlow();
  });
  ControlThread = std::thread([this] { Control.run(); });
}

EntryHostProcess::~EntryHostProcess() {
  StoppedAlready = true;
  CallerServer->stopAccepting();
  CallerServer->cutAll();
  OperatorServer->cutAll();
  Peers.stop();
  Control.stop();
  if (ControlThread.joinable())
    ControlThread.join();
  Threads.stop();
  dropControlWork();
  Callers.closeClients();
  CallerServer.reset();
  OperatorServer.reset();
  Threads.clear();
}

// Failure guarded against: work that still waits on the control thread holds
// timers of the callers' threads, and would outlive them. With everything
// stopped, running it once lets go of them.
void EntryHostProcess::dropControlWork() {
  Agreed.stop();
  Claims.stop();
  Groups.stop();
  Tick.cancel();
  SlowTick.cancel();
  Control.restart();
  Control.poll();
}

std::uint16_t EntryHostProcess::callerPort() const noexcept {
  return CallerServer->port();
}

std::uint16_t EntryHostProcess::operatorPort() const noexcept {
  return OperatorServer->port();
}

void EntryHostProcess::onEnded(std::function<void()> Told) {
  asio::post(Control, [this, Then = std::move(Told)]() mutable {
    Ended = std::move(Then);
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
  MeshConfig Out;
  Out.Self = Options.Host;
  Out.Run = Run;
  Out.Address = Options.Mesh.Listen.Address;
  Out.Port = Options.Mesh.Listen.Port;
  Out.Key = std::string(Options.Mesh.Key.reveal());
  Out.Seed = Run;
  return Out;
}

AgreedOptions EntryHostProcess::agreedOptions() const {
  AgreedOptions Out;
  Out.Stream = Options.AgreedStream;
  Out.Host = Options.Host;
  Out.DataCentre = Options.DataCentre;
  Out.Run = Run;
  Out.AppendTimeout = Options.Platform.Log.Timeout;
  return Out;
}

EntryHostJoined EntryHostProcess::joinRecord(std::uint16_t MeshPort) const {
  EntryHostJoined Out;
  Out.Host = Options.Host;
  Out.Run = Run;
  Out.DataCentre = Options.DataCentre;
  Out.Address = Options.AdvertisedAddress;
  Out.MeshPort = MeshPort;
  Out.CallerPort = CallerServer->port();
  return Out;
}

MemberHooks EntryHostProcess::memberHooks() {
  MemberHooks Out;
  Out.SendMembership = [this](const HostName &To, Json Message) {
    send(To, Channel::Heartbeat, std::move(Message));
  };
  Out.SendShares = [this](const HostName &To, Json Message) {
    send(To, Channel::Credits, std::move(Message));
  };
  Out.Append = [this](Record Said) {
    Agreed.append(std::move(Said), RecordTimeout, [](const AppendOutcome &) {});
  };
  Out.OnEnded = [this] {
    Unready = true;
    logEvent(Event::Unready, {{"why", "its peers have found this run gone"}});
    if (Ended)
      Ended();
  };
  Out.OnShares = [this](const std::map<std::string, std::uint32_t> &Shares) {
    Routing.setShares(Shares);
  };
  return Out;
}

AgreedListener EntryHostProcess::agreedListener() {
  AgreedListener Out;
  Out.OnState = [this](const StatePtr &Now) { onState(Now); };
  Out.OnProof = [this](TimePoint Left) { Members->logAnswered(Left); };
  Out.OnLogFailure = [this] { Members->logFailed(); };
  Out.ToPeer = [this](const HostName &To, Json Message) {
    send(To, Channel::Records, std::move(Message));
  };
  return Out;
}

void EntryHostProcess::send(const HostName &To, Channel Which, Json Body) {
  (void)Peers.send(To, Which, std::move(Body));
}

void EntryHostProcess::take(Channel Which,
                            void (EntryHostProcess::*Take)(const HostName &,
                                                           const Json &)) {
  Peers.onMessage(Which, [this, Take](const HostName &From, Incarnation,
                                      const Json &Message) {
    asio::post(Control, [this, Take, From, Message] {
      if (!StoppedAlready || ControlThread.joinable())
        (this->*Take)(From, Message);
    });
  });
}

void EntryHostProcess::listenToPeers() {
  take(Channel::Heartbeat, &EntryHostProcess::takeMembership);
  take(Channel::Credits, &EntryHostProcess::takeShares);
  take(Channel::Claims, &EntryHostProcess::takeClaims);
  take(Channel::Sightings, &EntryHostProcess::takeBeat);
  take(Channel::Records, &EntryHostProcess::takeRecords);
  take(Channel::Notices, &EntryHostProcess::takeNotice);
  Peers.onPeer([](const PeerEvent &What) {
    if (const auto *const Up = std::get_if<PeerUp>(&What))
      logEvent(Event::PeerConnected, {{"peer", Up->Host}});
    else if (const auto *const Down = std::get_if<PeerDown>(&What))
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

void EntryHostProcess::takeMembership(const HostName &From,
                                      const Json &Message) {
  Members->receivedMembership(From, Message);
}

void EntryHostProcess::takeShares(const HostName &From, const Json &Message) {
  Members->receivedShares(From, Message);
}

void EntryHostProcess::takeClaims(const HostName &From, const Json &Message) {
  try {
    Claims.received(From, readClaimMessage(Message, "message about claims"));
  } catch (const InputError &Problem) {
    logEvent(Event::InternalError, {{"peer", From}, {"why", Problem.what()}});
  }
}

void EntryHostProcess::takeBeat(const HostName &From, const Json &Message) {
  Groups.received(From, Message);
}

void EntryHostProcess::takeRecords(const HostName &From, const Json &Message) {
  Agreed.received(From, Message);
}

void EntryHostProcess::takeNotice(const HostName &From, const Json &Message) {
  try {
    const PoolNotice Told = readNotice(Message);
    // Broadcasts reach neighbours only: hosts pass on what is news to them.
    if (Routing.observeNotice(Told.PoolName, Told.What) && !AllAreNeighbours)
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
  Claims.members(Claimants);
  setPeers(*Now);
  Groups.poll();
  refreshUsable();
  applyRoutes();
  Callers.setRoutes(Built);
  if (Members->joined() && !Joined.exchange(true))
    logEvent(Event::Joined, {{"host", Options.Host}, {"next", Now->Next}});
}

void EntryHostProcess::logChanges(const State &Now) {
  for (const auto &[Id, Grouped] : Now.Groups) {
    const auto [Known, New] = SeenGroups.try_emplace(Id, GroupPhase::Forming);
    if (Known->second == Grouped.Phase)
      continue;
    Known->second = Grouped.Phase;
    if (Grouped.Phase == GroupPhase::Broken)
      logEvent(Event::GroupBroken, {{"group", textOf(Id)}});
    if (Grouped.Phase == GroupPhase::Serving)
      logEvent(Event::GroupConfirmed, {{"group", textOf(Id)}});
  }
  std::erase_if(SeenGroups, [&](const auto &Entry) {
    return !Now.Groups.contains(Entry.first);
  });
  for (const auto &[Id, Progress] : Now.Plans) {
    const auto [Known, New] = SeenPlans.try_emplace(Id, PlanPhase::Proposed);
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
  std::erase_if(SeenPlans, [&](const auto &Entry) {
    return !Now.Plans.contains(Entry.first);
  });
}

void EntryHostProcess::setPeers(const State &Now) {
  if (PeersChange == Now.EntryHostsChange)
    return;
  PeersChange = Now.EntryHostsChange;
  const std::vector<MeshPeer> All = meshPeers(Options.Host, Now);
  AllAreNeighbours =
      std::all_of(All.begin(), All.end(),
                  [](const MeshPeer &Peer) { return Peer.Neighbour; });
  Peers.setPeers(All);
}

void EntryHostProcess::refreshUsable() {
  const std::map<GroupId, TimePoint> Live = Groups.usableUntil();
  auto Next = std::make_shared<UsableEndpoints>();
  for (const auto &[Name, Pooled] : Routes->Pools)
    for (const EndpointSpec &Spec : Pooled.Endpoints) {
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
  for (auto &[Name, Pooled] : Filtered.Pools) {
    std::erase_if(Pooled.Endpoints, [&](const EndpointSpec &Spec) {
      const auto Found = Usable->find(Spec.Key);
      return Found == Usable->end() || Found->second <= Now;
    });
    for (const EndpointSpec &Spec : Pooled.Endpoints) {
      Keys.insert(Spec.Key);
      Shares[Spec.Key] = Members->share(Spec.Key);
    }
  }
  if (Keys == Applied && AppliedVersion == Filtered.Version)
    return;
  Applied = std::move(Keys);
  AppliedVersion = Filtered.Version;
  Routing.setRoutes(Filtered, Shares, Agreed.state()->EntryHosts.size());
}

// Failure guarded against: between the decision and this moment the host was
// paused, or a drain, the loss of a member, or the end of a credit came into
// force. Each is looked at again with the clock read now.
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
  return Members->start(To.Key);
}

void EntryHostProcess::ended(const EndpointSpec &To,
                             const AttemptResult &Result) {
  const bool Blameless = Result.Answered || Result.Why == Reason::Cancelled;
  Members->finished(To.Key, Blameless, Result.Total);
  const std::optional<GroupId> Group = groupOfKey(To.Key);
  if (Group && Result.ConnectionLost)
    asio::post(Control, [this, Lost = *Group] { Groups.suspect(Lost); });
}

void EntryHostProcess::pollLoad() {
  for (const auto &[Name, Pooled] : Routes->Pools)
    for (const EndpointSpec &Spec : Pooled.Endpoints) {
      if (Members->share(Spec.Key) == 0 && !Members->isSteward(Spec.Key))
        continue;
      Orders.ask(Spec.Address, AskTimeout,
                 [this, Key = Spec.Key](std::optional<EngineReport> Report) {
                   if (Report)
                     loadReported(Key, *Report);
                 });
    }
}

void EntryHostProcess::loadReported(const std::string &Key,
                                    const EngineReport &Report) {
  const LoadReport Load{Key, Report.Run, Report.Running, Report.Queued};
  Members->observe(Load);
  Routing.observe(Load);
}

void EntryHostProcess::sendNotices() {
  for (const auto &[Pool, Told] : Routing.noticesOut())
    Peers.broadcast(Channel::Notices, writeNotice(PoolNotice{Pool, Told}));
}

void EntryHostProcess::tick() {
  Routing.advance();
  Members->tick();
  sendNotices();
  Tick.expires_after(TickEvery);
  Tick.async_wait([this](const boost::system::error_code &Problem) {
    if (!Problem)
      tick();
  });
}

void EntryHostProcess::tickSlow() {
  ++SlowTicks;
  Routing.repeatDemand();
  Groups.poll();
  refreshUsable();
  applyRoutes();
  if (SlowTicks % LoadEverySlowTicks == 0)
    pollLoad();
  if (HostListing && SlowTicks % HostListEverySlowTicks == 0)
    HostListing->list(AskTimeout, [this](const auto &Hosts) {
      if (Hosts)
        Members->listed(*Hosts);
    });
  SlowTick.expires_after(SlowTickEvery);
  SlowTick.async_wait([this](const boost::system::error_code &Problem) {
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
  return Callers.check(Head);
}

Awaitable<void> EntryHostProcess::serveCaller(Exchange &Call) {
  const std::string &Target = Call.request().Target;
  if (Target == "/healthz")
    co_await Call.respond(plain(200, "alive\n"));
  else if (Target == "/readyz")
    co_await Call.respond(readiness(ready()));
  else
    co_await Callers.serve(Call);
}

std::size_t EntryHostProcess::stop() {
  if (StoppedAlready.exchange(true))
    return 0;
  Unready = true;
  logEvent(Event::Unready, {{"why", "planned stop"}});
  logEvent(Event::Stopping, {{"in_progress", CallerServer->inProgress()}});
  std::this_thread::sleep_for(Options.Stop.Grace);
  Callers.stopTaking();
  CallerServer->stopAccepting();
  const TimePoint Limit = BootClock::now() + Options.Stop.StreamLimit;
  while (CallerServer->inProgress() > 0 && BootClock::now() < Limit)
    std::this_thread::sleep_for(PollWhileStopping);
  const std::size_t Left = CallerServer->inProgress();
  if (Left > 0)
    logEvent(Event::StreamCut, {{"requests", Left}});
  CallerServer->cutAll();
  // Failure guarded against: an order was answered here, its settlement is not
  // on the log yet, and this host is gone: its repeat at another host would be
  // told that it may have run, in place of the answer.
  const TimePoint SettleLimit = BootClock::now() + LeavePatience;
  while (Claims.unsettled() > 0 && BootClock::now() < SettleLimit)
    std::this_thread::sleep_for(PollWhileStopping);
  asio::post(Control, [this] { Members->leave(); });
  const TimePoint GiveUp = BootClock::now() + LeavePatience;
  const auto IsMember = [this] {
    const StatePtr Now = Agreed.state();
    const auto Found = Now->EntryHosts.find(Options.Host);
    return Found != Now->EntryHosts.end() &&
           Found->second.JoinRecord.Run == Run;
  };
  while (IsMember() && BootClock::now() < GiveUp)
    std::this_thread::sleep_for(PollWhileStopping);
  Peers.stop();
  Control.stop();
  ControlThread.join();
  logEvent(Event::Stopped, {{"cut", Left}});
  return Left;
}

} // namespace coltsfoottrail
