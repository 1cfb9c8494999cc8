#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/standin/engine.hpp"
#include "coltsfoottrail/standin/log.hpp"
#include "coltsfoottrail/standin/service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <vector>

namespace {

using namespace coltsfoottrail;

constexpr std::uint64_t MaxPort = 65535;

/// The stand-ins that one process runs.
struct Standins {
  std::vector<std::unique_ptr<LogStandin>> Logs;
  std::vector<std::unique_ptr<HostListStandin>> HostLists;
  std::vector<std::unique_ptr<EngineStandin>> Engines;
  std::vector<std::unique_ptr<ServiceStandin>> Services;
};

std::uint16_t portOf(ObjectReader &Reader) {
  return static_cast<std::uint16_t>(Reader.number("port", 1, MaxPort));
}

EngineTraits traitsOf(ObjectReader &Reader) {
  EngineTraits Traits;
  Traits.RefusesOldFences = Reader.flagOr("refuses_old_fences", true);
  Traits.MaxConcurrentRequests =
      static_cast<std::uint32_t>(Reader.numberOr("bears", 64, 1, 1U << 20U));
  Traits.LoadTime = milliseconds(Reader.numberOr("load_ms", 50, 0, 600'000));
  Traits.TimePerToken = milliseconds(Reader.numberOr("token_ms", 2, 0, 10'000));
  return Traits;
}

Standins startAll(const Json &Config, const std::string &File, IoPool &Pool) {
  ObjectReader Root(Config, File);
  const std::string Address = Root.textOr("address", "127.0.0.1");
  Standins Result;
  Root.eachObject("logs", [&](ObjectReader &Reader) {
    const auto RetainedEntries =
        static_cast<std::size_t>(Reader.numberOr("keep_entries", 1U << 20U, 1));
    Result.Logs.push_back(std::make_unique<LogStandin>(
        Pool, Address, portOf(Reader), RetainedEntries));
  });
  Root.eachObject("host_lists", [&](ObjectReader &Reader) {
    Result.HostLists.push_back(
        std::make_unique<HostListStandin>(Pool, Address, portOf(Reader)));
  });
  Root.eachObject("engines", [&](ObjectReader &Reader) {
    const std::uint16_t Port = portOf(Reader);
    Result.Engines.push_back(
        std::make_unique<EngineStandin>(Pool, Address, Port, traitsOf(Reader)));
  });
  Root.eachObject("services", [&](ObjectReader &Reader) {
    Result.Services.push_back(
        std::make_unique<ServiceStandin>(Pool, Address, portOf(Reader)));
  });
  Root.finish();
  return Result;
}

int run(const std::string &File) {
  std::ifstream Input(File);
  if (!Input) {
    std::cerr << File << ": cannot be read\n";
    return 2;
  }
  const std::string Text((std::istreambuf_iterator<char>(Input)), {});
  IoPool Pool(2);
  const Standins Running = startAll(parseJson(Text, File), File, Pool);
  boost::asio::io_context MainContext;
  boost::asio::signal_set Signals(MainContext, SIGINT, SIGTERM);
  Signals.async_wait([](const boost::system::error_code &, int) {});
  std::cout << "stand-ins ready\n" << std::flush;
  MainContext.run();
  Pool.stop();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: coltsfoottrail-standin FILE\n"
                 "Runs stand-ins for the platform's log, host list, model "
                 "engines and plain services.\n";
    return 2;
  }
  try {
    return run(Arguments[1]);
  } catch (const std::exception &Exception) {
    std::cerr << Exception.what() << '\n';
    return 1;
  }
}
