/// @file
/// Stand-ins for a plain service and for the platform's host list, for tests
/// and trials.
#ifndef COLTSFOOTTRAIL_STANDIN_SERVICE_HPP
#define COLTSFOOTTRAIL_STANDIN_SERVICE_HPP

#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/standin/fwd.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief A plain service that counts how often each request body was executed.
class ServiceStandin {
public:
  /// @brief Starts serving.
  /// @param Threads Threads that serve connections; must outlive the stand-in.
  /// @param Address IP address to listen on.
  /// @param Port Port to listen on; zero for any free port.
  ServiceStandin(IoPool &Threads, const std::string &Address,
                 std::uint16_t Port);

  /// @brief The port listened on. Thread-safe.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// @brief Number of calls executed with a request body. Thread-safe.
  [[nodiscard]] std::uint64_t executionsOf(const std::string &Body) const;
  /// @brief Number of calls executed in all. Thread-safe.
  [[nodiscard]] std::uint64_t runs() const;
  /// @brief Sets the duration of a call. Thread-safe.
  void setDelay(milliseconds Value);
  /// @brief While set, calls are executed but their responses are dropped.
  /// Thread-safe.
  void setLoseAnswers(bool Value);

private:
  [[nodiscard]] Awaitable<void> handle(Exchange &Call);

  mutable std::mutex Lock;
  /// Number of executions by request body.
  std::map<std::string, std::uint64_t> Runs;
  milliseconds Delay{0};
  bool LoseAnswers = false;
  std::atomic<std::uint32_t> InProgress{0};
  HttpServer Server;
};

/// @brief The platform's host list.
class HostListStandin {
public:
  /// @brief Starts serving an empty list.
  /// @param Threads Threads that serve connections; must outlive the stand-in.
  /// @param Address IP address to listen on.
  /// @param Port Port to listen on; zero for any free port.
  HostListStandin(IoPool &Threads, const std::string &Address,
                  std::uint16_t Port);

  /// @brief The port listened on. Thread-safe.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// @brief Replaces the list. Thread-safe.
  void set(std::vector<ListedHost> Value);

private:
  [[nodiscard]] Awaitable<void> handle(Exchange &Call);

  mutable std::mutex Lock;
  std::vector<ListedHost> Hosts;
  HttpServer Server;
};

} // namespace coltsfoottrail

#endif
