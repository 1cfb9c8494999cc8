#include "fleetmain.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/fleethost/host.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/platformlink/engines.hpp"
#include "coltsfoottrail/platformlink/store.hpp"
#include "coltsfoottrail/platformlink/wire.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>

namespace coltsfoottrail {

namespace {

/// Handles signals until the shutdown that SIGINT or SIGTERM began is complete.
/// SIGHUP checks the settings file.
class SignalLoop {
public:
  SignalLoop(FleetHost &ManagedHost, std::filesystem::path Path)
      : Host(ManagedHost), SettingsFile(std::move(Path)),
        Signals(Context, SIGINT, SIGTERM, SIGHUP) {
    listen();
  }

  std::size_t run() {
    Context.run();
    return CutRequests;
  }

private:
  void listen() {
    Signals.async_wait(
        [this](const boost::system::error_code &Problem, int Signal) {
          if (Problem)
            return;
          if (Signal == SIGHUP)
            checkSettings();
          else
            beginStop();
          listen();
        });
  }

  void beginStop() {
    if (Stopping) {
      logEvent(Event::SecondStopSignal);
      return;
    }
    Stopping = true;
    Host.stop([this](std::size_t Unfinished) {
      CutRequests = Unfinished;
      Context.stop();
    });
  }

  // Validates the file without applying it: addresses cannot change under open
  // connections, and the limits are fixed for the life of the process. An
  // invalid file is reported now rather than at the next start.
  void checkSettings() {
    try {
      (void)readFleetSettings(SettingsFile);
      logEvent(Event::Reloaded, {{"file", SettingsFile.string()}});
    } catch (const InputError &Problem) {
      logEvent(Event::SettingsRefused, {{"problem", Problem.what()}});
    }
  }

  FleetHost &Host;
  std::filesystem::path SettingsFile;
  boost::asio::io_context Context{1};
  boost::asio::signal_set Signals;
  std::size_t CutRequests = 0;
  bool Stopping = false;
};

} // namespace

std::size_t runFleetHost(const std::filesystem::path &SettingsFile) {
  const FleetSettings Config = readFleetSettings(SettingsFile);
  IoPool Pool(1);
  PlatformStore Store(Pool.context(0),
                      {Config.Store.Address, Config.Store.Port});
  TcpConnector Network;
  Dialer Endpoints(Network, hashText(Config.Host.Text));
  PlatformEngines Engines(Pool.context(0), Endpoints);
  const PlatformWire Wire;
  FleetHost Host(Config, Pool, {Store, Engines, Wire, Endpoints});
  logEvent(Event::Started, {{"host", Config.Host},
                            {"data_centre", Config.DataCentre},
                            {"caller_port", Host.callerPort()},
                            {"readiness_port", Host.readinessPort()}});
  const std::size_t CutRequests = SignalLoop(Host, SettingsFile).run();
  Pool.stop();
  Store.close();
  Engines.close();
  Host.close();
  return CutRequests;
}

} // namespace coltsfoottrail
