#include "fleetmain.hpp"

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

/// Takes signals until one that stops has done its work.
class SignalLoop {
public:
  SignalLoop(FleetHost &Running, std::filesystem::path Settings)
      : Host(Running), File(std::move(Settings)),
        Signals(Waiting, SIGINT, SIGTERM, SIGHUP) {
    listen();
  }

  std::size_t run() {
    Waiting.run();
    return Cut;
  }

private:
  void listen() {
    Signals.async_wait(
        [this](const boost::system::error_code &Problem, int Signal) {
          if (Problem)
            return;
          if (Signal == SIGHUP)
            reload();
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
    Host.stop([this](std::size_t Left) {
      Cut = Left;
      Waiting.stop();
    });
  }

  // Addresses cannot change under open connections, and the bounds hold for the
  // life of the process; the file is still checked, so that a mistake shows
  // before the next start.
  void reload() {
    try {
      (void)readFleetSettings(File);
      logEvent(Event::Reloaded, {{"file", File.string()}});
    } catch (const InputError &Problem) {
      logEvent(Event::SettingsRefused, {{"problem", Problem.what()}});
    }
  }

  FleetHost &Host;
  std::filesystem::path File;
  boost::asio::io_context Waiting{1};
  boost::asio::signal_set Signals;
  std::size_t Cut = 0;
  bool Stopping = false;
};

} // namespace

std::size_t runFleetHost(const std::filesystem::path &File) {
  const FleetSettings Wanted = readFleetSettings(File);
  IoPool Pool(1);
  PlatformStore Store(Pool.context(0),
                      {Wanted.Store.Address, Wanted.Store.Port});
  PlatformEngines Engines(Pool.context(0));
  const PlatformWire Wire;
  FleetHost Host(Wanted, Pool, {Store, Engines, Wire});
  logEvent(Event::Started, {{"host", Wanted.Host},
                            {"data_centre", Wanted.DataCentre},
                            {"caller_port", Host.callerPort()},
                            {"readiness_port", Host.readinessPort()}});
  const std::size_t Cut = SignalLoop(Host, File).run();
  Pool.stop();
  Store.close();
  Engines.close();
  Host.close();
  return Cut;
}

} // namespace coltsfoottrail
