#include "fleetmain.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/fleethost/host.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/platformlink/engines.hpp"
#include "coltsfoottrail/platformlink/store.hpp"
#include "coltsfoottrail/platformlink/wire.hpp"
#include "coltsfoottrail/signals/signalloop.hpp"

namespace coltsfoottrail {

namespace {

/// Validates the settings file without applying it: addresses cannot change
/// under open connections, and the limits are fixed for the life of the
/// process. An invalid file is reported now rather than at the next start.
void reportInvalidSettings(const std::filesystem::path &SettingsFile) {
  try {
    (void)readFleetSettings(SettingsFile);
    logEvent(Event::Reloaded, {{"file", SettingsFile.string()}});
  } catch (const InputError &Problem) {
    logEvent(Event::SettingsRefused, {{"problem", Problem.what()}});
  }
}

} // namespace

std::size_t runFleetHost(const std::filesystem::path &SettingsFile) {
  SignalLoop Signals;
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
  std::size_t CutRequests = 0;
  Signals.run({[&] {
                 Host.stop([&](std::size_t Unfinished) {
                   CutRequests = Unfinished;
                   Signals.end();
                 });
               },
               [&] { reportInvalidSettings(SettingsFile); }});
  Pool.stop();
  Store.close();
  Engines.close();
  Host.close();
  return CutRequests;
}

} // namespace coltsfoottrail
