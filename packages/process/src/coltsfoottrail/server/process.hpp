/// @file
/// One entry host: everything that lives as long as the process.
#ifndef COLTSFOOTTRAIL_SERVER_PROCESS_HPP
#define COLTSFOOTTRAIL_SERVER_PROCESS_HPP

#include "coltsfoottrail/adapter/engines.hpp"
#include "coltsfoottrail/adapter/log.hpp"
#include "coltsfoottrail/server/agreedstream.hpp"
#include "coltsfoottrail/server/claimdesk.hpp"
#include "coltsfoottrail/server/operators.hpp"
#include "coltsfoottrail/server/relay.hpp"
#include "coltsfoottrail/settings/settings.hpp"
#include "coltsfoottrail/telemetry/metrics.hpp"

#include <memory>
#include <thread>

namespace coltsfoottrail {

/// @brief An entry host.
class EntryHostProcess {
public:
  /// @brief Listens and starts to follow the log.
  /// @param Wanted Checked settings.
  /// @throws boost::system::system_error A port is taken.
  explicit EntryHostProcess(Settings Wanted);
  EntryHostProcess(const EntryHostProcess &) = delete;
  EntryHostProcess &operator=(const EntryHostProcess &) = delete;
  /// @brief Stops at once what is still running.
  ~EntryHostProcess();

  /// @brief Port for callers. Thread-safe.
  [[nodiscard]] std::uint16_t callerPort() const noexcept;
  /// @brief Port for operators. Thread-safe.
  [[nodiscard]] std::uint16_t operatorPort() const noexcept;
  /// @brief Whether the balancer may send callers here. Thread-safe.
  [[nodiscard]] bool ready() const;
  /// @brief The newest agreed state. Thread-safe.
  [[nodiscard]] StatePtr state() const { return Agreed.state(); }
  /// @brief What callers got. Thread-safe.
  [[nodiscard]] const RelayCounters &counters() const noexcept {
    return Callers.counters();
  }

  /// @brief Stops as planned: unready at once, no new requests after the grace,
  /// requests in progress run out up to the limit. Blocks until all has ended.
  /// Not from one of the process's threads; a second call does nothing.
  /// @return Requests that were cut at the limit.
  std::size_t stop();

private:
  [[nodiscard]] Awaitable<void> serveCaller(Exchange &Call);
  [[nodiscard]] std::optional<HttpResponse>
  checkCaller(const HttpRequest &Head);
  [[nodiscard]] std::string metricsText();
  void join();
  void dropControlWork();
  void onState(const StatePtr &Now);
  void tick();

  Settings Options;
  Incarnation Run;
  boost::asio::io_context Control;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      ControlGuard;
  IoPool Threads;
  HttpLog Platform;
  AgreedStream Agreed;
  ClaimDesk Claims;
  Router Routing;
  Relay Callers;
  Operators ForOperators;
  Metrics Registry;
  boost::asio::steady_timer Tick;
  std::atomic<bool> Joined{false};
  std::atomic<bool> Unready{false};
  std::atomic<bool> StoppedAlready{false};
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> OperatorServer;
  std::thread ControlThread;
};

} // namespace coltsfoottrail

#endif
