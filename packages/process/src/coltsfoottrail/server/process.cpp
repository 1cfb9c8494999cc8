#include "coltsfoottrail/server/process.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/server/refusal.hpp"

#include <boost/asio/post.hpp>
#include <random>
#include <utility>

namespace coltsfoottrail {

namespace asio = boost::asio;

namespace {

constexpr milliseconds TickEvery{5};
constexpr milliseconds JoinTimeout{30'000};
constexpr milliseconds PollWhileStopping{10};

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
      Platform(Control, logAddress(Options)),
      Agreed(Control, Platform, Options.AgreedStream, Run),
      Claims(Control, Platform, claimOptions(Options, Run),
             [](const HostName &, const ClaimMessage &) {}),
      Routing(routerOptions(Options)),
      Callers(Threads, Routing, Claims,
              CallerLimits{Options.Callers.DefaultDeadline,
                           Options.Callers.MaxDeadline}),
      ForOperators(Agreed, sha256Hex(Options.Operators.Credential.reveal()),
                   [this] { return metricsText(); }),
      Tick(Control) {
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
  asio::post(Control, [this] {
    Agreed.start([this](const StatePtr &Now) { onState(Now); });
    join();
    tick();
  });
  ControlThread = std::thread([this] { Control.run(); });
}

EntryHostProcess::~EntryHostProcess() {
  StoppedAlready = true;
  CallerServer->stopAccepting();
  CallerServer->cutAll();
  OperatorServer->cutAll();
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
  Control.restart();
  Control.poll();
}

std::uint16_t EntryHostProcess::callerPort() const noexcept {
  return CallerServer->port();
}

std::uint16_t EntryHostProcess::operatorPort() const noexcept {
  return OperatorServer->port();
}

bool EntryHostProcess::ready() const { return Joined && !Unready; }

void EntryHostProcess::join() {
  EntryHostJoined Record;
  Record.Host = Options.Host;
  Record.Run = Run;
  Record.DataCentre = Options.DataCentre;
  Record.Address = Options.AdvertisedAddress;
  Record.MeshPort = Options.Mesh.Listen.Port;
  Record.CallerPort = CallerServer->port();
  Agreed.append(
      std::move(Record), JoinTimeout, [this](const AppendOutcome &Got) {
        if (!Got.OnLog) {
          join();
          return;
        }
        Joined = true;
        logEvent(Event::Joined, {{"host", Options.Host}, {"offset", Got.At}});
      });
}

void EntryHostProcess::onState(const StatePtr &Now) {
  const auto Routes = std::make_shared<const RouteTable>(buildRoutes(*Now));
  std::vector<HostName> Hosts;
  std::vector<ClaimMember> Members;
  for (const auto &[Name, Host] : Now->EntryHosts) {
    Hosts.push_back(Name);
    Members.push_back({Name, Host.Joined.Run});
  }
  Routing.setRoutes(*Routes, evenShares(*Routes, Hosts, Options.Host));
  Callers.setRoutes(Routes);
  Claims.members(Members);
}

void EntryHostProcess::tick() {
  Routing.advance();
  Tick.expires_after(TickEvery);
  Tick.async_wait([this](const boost::system::error_code &Problem) {
    if (!Problem)
      tick();
  });
}

std::optional<HttpResponse>
EntryHostProcess::checkCaller(const HttpRequest &Head) {
  if (Head.Target == "/healthz" || Head.Target == "/readyz")
    return std::nullopt;
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

std::string EntryHostProcess::metricsText() {
  return Registry.prometheusText(BootClock::now());
}

std::size_t EntryHostProcess::stop() {
  if (StoppedAlready.exchange(true))
    return 0;
  Unready = true;
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
  std::atomic<bool> Told{false};
  Agreed.append(EntryHostLeft{Options.Host, Run}, milliseconds(2'000),
                [&Told](const AppendOutcome &) { Told = true; });
  const TimePoint GiveUp = BootClock::now() + seconds(3);
  while (!Told && BootClock::now() < GiveUp)
    std::this_thread::sleep_for(PollWhileStopping);
  asio::post(Control, [this] {
    Agreed.stop();
    Claims.stop();
    Tick.cancel();
  });
  Control.stop();
  ControlThread.join();
  logEvent(Event::Stopped, {{"cut", Left}});
  return Left;
}

} // namespace coltsfoottrail
