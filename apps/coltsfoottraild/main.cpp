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
constexpr int ExitSettings = 3;
constexpr int ExitPort = 4;
constexpr int ExitCut = 5;
constexpr int ExitEnded = 6;

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
    "SIGTERM or SIGINT stops it as planned: unready at once, no new requests\n"
    "after stop.grace_ms, requests in progress run out. Another signal "
    "changes\n"
    "nothing.\n"
    "\n"
    "Exit codes: 0 stopped with nothing cut, 1 failed, 2 wrong usage, 3 wrong\n"
    "settings, 4 a port cannot be had, 5 stopped and requests were cut at\n"
    "stop.stream_limit_ms, 6 its peers had found this run gone (a long "
    "pause):\n"
    "it stopped as planned and is to be started again.\n";

struct Options {
  std::string File;
  std::string FleetFile;
  bool Check = false;
  bool Show = false;
};

/// Runs until a signal, then stops as planned.
int runHost(const Settings &Wanted) {
  EntryHostProcess Process(Wanted);
  logEvent(Event::Started, {{"host", Wanted.Host},
                            {"data_centre", Wanted.DataCentre},
                            {"caller_port", Process.callerPort()},
                            {"operator_port", Process.operatorPort()}});
  boost::asio::io_context Waiting;
  boost::asio::signal_set Signals(Waiting, SIGINT, SIGTERM);
  std::thread Stopper;
  std::size_t Cut = 0;
  bool Ended = false;
  const auto BeginStop = [&] {
    if (Stopper.joinable())
      return false;
    Stopper = std::thread([&] {
      Cut = Process.stop();
      Waiting.stop();
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
  // Failure guarded against: the host slept, its peers have dropped this run,
  // and it would stay unready for good. It stops as planned, and whoever keeps
  // it running starts it again under a new run.
  Process.onRunRemoved([&] {
    boost::asio::post(Waiting, [&] { Ended = BeginStop() || Ended; });
  });
  Waiting.run();
  Stopper.join();
  if (Cut > 0)
    return ExitCut;
  return Ended ? ExitEnded : ExitOk;
}

int start(const Options &Given) {
  Settings Wanted;
  try {
    Wanted = readSettings(Given.File);
  } catch (const Error &Problem) {
    std::cerr << "coltsfoottraild: " << Problem.what() << '\n';
    return ExitSettings;
  }
  if (Given.Show)
    std::cout << describeSettings(Wanted).dump(2) << '\n';
  if (Given.Check && !Given.Show)
    std::cout << Given.File << ": ok\n";
  if (Given.Check || Given.Show)
    return ExitOk;
  try {
    openLog(Wanted.Telemetry);
    const int Code = runHost(Wanted);
    closeLog();
    return Code;
  } catch (const boost::system::system_error &Problem) {
    logEvent(Event::PortTaken, {{"problem", Problem.what()}});
    std::cerr << "coltsfoottraild: cannot listen: " << Problem.what() << '\n';
    return ExitPort;
  } catch (const PortError &Problem) {
    logEvent(Event::PortTaken, {{"problem", Problem.what()}});
    std::cerr << "coltsfoottraild: cannot listen: " << Problem.what() << '\n';
    return ExitPort;
  } catch (const std::exception &Problem) {
    std::cerr << "coltsfoottraild: " << Problem.what() << '\n';
    return ExitFailed;
  }
}

int startFleet(const Options &Given) {
  try {
    if (Given.Check) {
      (void)readFleetSettings(Given.FleetFile);
      std::cout << Given.FleetFile << ": ok\n";
      return ExitOk;
    }
    openOutputLog(LogLevel::Info);
    const std::size_t Cut = runFleetHost(Given.FleetFile);
    closeLog();
    return Cut > 0 ? ExitCut : ExitOk;
  } catch (const InputError &Problem) {
    logEvent(Event::SettingsRefused, {{"problem", Problem.what()}});
    std::cerr << "coltsfoottraild: " << Problem.what() << '\n';
    return ExitSettings;
  } catch (const boost::system::system_error &Problem) {
    logEvent(Event::PortTaken, {{"problem", Problem.what()}});
    std::cerr << "coltsfoottraild: cannot listen: " << Problem.what() << '\n';
    return ExitPort;
  }
}

} // namespace

int main(int Count, char **Arguments) {
  constexpr int CheckOption = 256;
  constexpr int ShowOption = 257;
  static const option Known[] = {{"config", required_argument, nullptr, 'c'},
                                 {"fleet", required_argument, nullptr, 'f'},
                                 {"check", no_argument, nullptr, CheckOption},
                                 {"show", no_argument, nullptr, ShowOption},
                                 {"version", no_argument, nullptr, 'V'},
                                 {"help", no_argument, nullptr, 'h'},
                                 {nullptr, 0, nullptr, 0}};
  Options Given;
  int Letter = 0;
  while ((Letter = ::getopt_long(Count, Arguments, "c:f:Vh", Known, nullptr)) !=
         -1) {
    switch (Letter) {
    case 'c':
      Given.File = optarg;
      break;
    case 'f':
      Given.FleetFile = optarg;
      break;
    case CheckOption:
      Given.Check = true;
      break;
    case ShowOption:
      Given.Show = true;
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
  if (Given.File.empty() == Given.FleetFile.empty() || optind != Count) {
    std::cerr << Usage;
    return ExitUsage;
  }
  return Given.File.empty() ? startFleet(Given) : start(Given);
}
