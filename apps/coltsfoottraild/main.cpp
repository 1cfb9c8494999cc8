#include "fleetmain.hpp"

#include "coltsfoottrail/fleethost/settings.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/server/process.hpp"
#include "coltsfoottrail/settings/settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <functional>
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
    "signals\n"
    "have no effect.\n"
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

/// Runs the entry host until SIGINT, SIGTERM or the end of its run, then shuts
/// it down gracefully.
int runHost(const Settings &Config) {
  EntryHostProcess Process(Config);
  logEvent(Event::Started, {{"host", Config.Host},
                            {"data_centre", Config.DataCentre},
                            {"caller_port", Process.callerPort()},
                            {"operator_port", Process.operatorPort()}});
  boost::asio::io_context Context;
  boost::asio::signal_set Signals(Context, SIGINT, SIGTERM);
  std::thread StopThread;
  std::size_t CutRequests = 0;
  bool RunEnded = false;
  const auto BeginStop = [&] {
    if (StopThread.joinable())
      return false;
    StopThread = std::thread([&] {
      CutRequests = Process.stop();
      Context.stop();
    });
    return true;
  };
  std::function<void(const boost::system::error_code &, int)> OnSignal =
      [&](const boost::system::error_code &Problem, int) {
        if (Problem)
          return;
        if (!BeginStop())
          logEvent(Event::SecondStopSignal);
        Signals.async_wait(OnSignal);
      };
  Signals.async_wait(OnSignal);
  // After a long pause of the process, the peers may have removed this run from
  // the membership, and it would stay unready forever. It shuts down gracefully
  // with an exit code of its own, so that its supervisor restarts it under a
  // new run.
  Process.onRunRemoved([&] {
    boost::asio::post(Context, [&] { RunEnded = BeginStop() || RunEnded; });
  });
  Context.run();
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
    const int Code = runHost(Config);
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
