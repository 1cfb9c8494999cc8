#include "fleetmain.hpp"

#include "coltsfoottrail/fleethost/settings.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/server/process.hpp"
#include "coltsfoottrail/settings/settings.hpp"
#include "coltsfoottrail/signals/signalloop.hpp"

#include <boost/system/system_error.hpp>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace coltsfoottrail;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr int ExitBadSettings = 3;
constexpr int ExitPortUnavailable = 4;
constexpr int ExitRequestsCut = 5;
constexpr int ExitRunEnded = 6;

constexpr const char *Usage =
    "usage: coltsfoottraild --config FILE [--check] [--show]\n"
    "       coltsfoottraild --fleet FILE [--check]\n"
    "\n"
    "Runs an entry host of coltsfoottrail.\n"
    "\n"
    "  -c, --config FILE  settings in JSON; docs/operations/settings.md\n"
    "  -f, --fleet FILE   run on a platform whose endpoints publish "
    "themselves;\n"
    "                     settings in JSON; docs/operations/fleet.md\n"
    "      --check        check the settings and exit\n"
    "      --show         show the settings with defaults filled in, and exit\n"
    "  -V, --version      show the version\n"
    "  -h, --help         show this text\n"
    "\n"
    "SIGTERM or SIGINT shuts it down gracefully: unready at once, no new "
    "requests\n"
    "after stop.grace_ms, requests in progress are completed. Further "
    "ones\n"
    "have no effect. SIGHUP checks the settings file.\n"
    "\n"
    "Exit codes: 0 stopped, no requests cut, 1 failed, 2 usage error,\n"
    "3 invalid settings, 4 port unavailable, 5 stopped, and requests were cut\n"
    "at stop.stream_limit_ms, 6 its peers had removed this run (after a long\n"
    "pause): it shut down gracefully and should be restarted.\n";

struct Options {
  std::string SettingsFile;
  std::string FleetSettingsFile;
  bool Check = false;
  bool Show = false;
};

/// Validates the settings file without applying it, so that an invalid one is
/// reported before the next start.
void reportInvalidSettings(const std::string &SettingsFile) {
  try {
    (void)readSettings(SettingsFile);
    logEvent(Event::Reloaded, {{"file", SettingsFile}});
  } catch (const Error &Problem) {
    logEvent(Event::SettingsRefused, {{"problem", Problem.what()}});
  }
}

/// Runs the entry host until SIGINT, SIGTERM or the end of its run, then shuts
/// it down gracefully.
int runHost(const Settings &Config, const std::string &SettingsFile) {
  SignalLoop Signals;
  EntryHostProcess Process(Config);
  logEvent(Event::Started, {{"host", Config.Host},
                            {"data_centre", Config.DataCentre},
                            {"caller_port", Process.callerPort()},
                            {"operator_port", Process.operatorPort()}});
  std::thread StopThread;
  std::size_t CutRequests = 0;
  bool RunEnded = false;
  // After a long pause of the process, the peers may have removed this run from
  // the membership, and it would stay unready forever. It shuts down gracefully
  // with an exit code of its own, so that its supervisor restarts it under a
  // new run.
  Process.onRunRemoved([&] { Signals.requestStop([&] { RunEnded = true; }); });
  Signals.run({[&] {
                 StopThread = std::thread([&] {
                   CutRequests = Process.stop();
                   Signals.end();
                 });
               },
               [&] { reportInvalidSettings(SettingsFile); }});
  StopThread.join();
  if (CutRequests > 0)
    return ExitRequestsCut;
  return RunEnded ? ExitRunEnded : ExitOk;
}

int startHost(const Options &CommandLine) {
  Settings Config;
  try {
    Config = readSettings(CommandLine.SettingsFile);
  } catch (const Error &Problem) {
    std::cerr << "coltsfoottraild: " << Problem.what() << '\n';
    return ExitBadSettings;
  }
  if (CommandLine.Show)
    std::cout << describeSettings(Config).dump(2) << '\n';
  if (CommandLine.Check && !CommandLine.Show)
    std::cout << CommandLine.SettingsFile << ": ok\n";
  if (CommandLine.Check || CommandLine.Show)
    return ExitOk;
  try {
    openLog(Config.Telemetry);
    const int Code = runHost(Config, CommandLine.SettingsFile);
    closeLog();
    return Code;
  } catch (const boost::system::system_error &Problem) {
    logEvent(Event::PortTaken, {{"problem", Problem.what()}});
    std::cerr << "coltsfoottraild: cannot listen: " << Problem.what() << '\n';
    return ExitPortUnavailable;
  } catch (const PortError &Problem) {
    logEvent(Event::PortTaken, {{"problem", Problem.what()}});
    std::cerr << "coltsfoottraild: cannot listen: " << Problem.what() << '\n';
    return ExitPortUnavailable;
  } catch (const std::exception &Problem) {
    std::cerr << "coltsfoottraild: " << Problem.what() << '\n';
    return ExitFailed;
  }
}

int startFleet(const Options &CommandLine) {
  try {
    if (CommandLine.Check) {
      (void)readFleetSettings(CommandLine.FleetSettingsFile);
      std::cout << CommandLine.FleetSettingsFile << ": ok\n";
      return ExitOk;
    }
    openOutputLog(LogLevel::Info);
    const std::size_t CutRequests = runFleetHost(CommandLine.FleetSettingsFile);
    closeLog();
    return CutRequests > 0 ? ExitRequestsCut : ExitOk;
  } catch (const InputError &Problem) {
    logEvent(Event::SettingsRefused, {{"problem", Problem.what()}});
    std::cerr << "coltsfoottraild: " << Problem.what() << '\n';
    return ExitBadSettings;
  } catch (const boost::system::system_error &Problem) {
    logEvent(Event::PortTaken, {{"problem", Problem.what()}});
    std::cerr << "coltsfoottraild: cannot listen: " << Problem.what() << '\n';
    return ExitPortUnavailable;
  }
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int CheckOption = 256;
  constexpr int ShowOption = 257;
  static const option LongOptions[] = {
      {"config", required_argument, nullptr, 'c'},
      {"fleet", required_argument, nullptr, 'f'},
      {"check", no_argument, nullptr, CheckOption},
      {"show", no_argument, nullptr, ShowOption},
      {"version", no_argument, nullptr, 'V'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  Options CommandLine;
  int OptionCode = 0;
  while ((OptionCode = ::getopt_long(Count, Arguments, "c:f:Vh", LongOptions,
                                     nullptr)) != -1) {
    switch (OptionCode) {
    case 'c':
      CommandLine.SettingsFile = optarg;
      break;
    case 'f':
      CommandLine.FleetSettingsFile = optarg;
      break;
    case CheckOption:
      CommandLine.Check = true;
      break;
    case ShowOption:
      CommandLine.Show = true;
      break;
    case 'V':
      std::cout << "coltsfoottraild " << COLTSFOOTTRAIL_VERSION << '\n';
      return ExitOk;
    case 'h':
      std::cout << Usage;
      return ExitOk;
    default:
      std::cerr << Usage;
      return ExitUsage;
    }
  }
  if (CommandLine.SettingsFile.empty() ==
          CommandLine.FleetSettingsFile.empty() ||
      optind != Count) {
    std::cerr << Usage;
    return ExitUsage;
  }
  return CommandLine.SettingsFile.empty() ? startFleet(CommandLine)
                                          : startHost(CommandLine);
}
