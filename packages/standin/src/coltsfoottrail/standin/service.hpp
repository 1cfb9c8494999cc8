/// @file
/// Stand-in for a plain service, and for the platform's host list.
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

/// @brief A plain service that counts how often each body was run.
class ServiceStandin {
public:
  /// @brief Starts to serve.
  /// @param Threads Where connections live; must outlive the stand-in.
  /// @param Address IP number.
  /// @param Port Port; zero for any free one.
  ServiceStandin(IoPool &Threads, const std::string &Address,
                 std::uint16_t Port);

  /// @brief The port served on. Thread-safe.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// @brief How often a body was run. Thread-safe.
  [[nodiscard]] std::uint64_t executionsOf(const std::string &Body) const;
  /// @brief All runs. Thread-safe.
  [[nodiscard]] std::uint64_t runs() const;
  /// @brief Sets the time that a call takes. Thread-safe.
  void setDelay(milliseconds Wanted);
  /// @brief Runs each call but loses its answer while set. Thread-safe.
  void setLoseAnswers(bool Wanted);

private:
  [[nodiscard]] Awaitable<void> handle(Exchange &Call);

  mutable std::mutex Lock;
  std::map<std::string, std::uint64_t> Runs;
  milliseconds Delay{0};
  bool LoseAnswers = false;
  std::atomic<std::uint32_t> InProgress{0};
  HttpServer Server;
};

/// @brief The platform's list of hosts.
class HostListStandin {
public:
  /// @brief Starts to serve an empty list.
  /// @param Threads Where connections live; must outlive the stand-in.
  /// @param Address IP number.
  /// @param Port Port; zero for any free one.
  HostListStandin(IoPool &Threads, const std::string &Address,
                  std::uint16_t Port);

  /// @brief The port served on. Thread-safe.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// @brief Replaces the list. Thread-safe.
  void set(std::vector<ListedHost> Wanted);

private:
  [[nodiscard]] Awaitable<void> handle(Exchange &Call);

  mutable std::mutex Lock;
  std::vector<ListedHost> Hosts;
  HttpServer Server;
};

} // namespace coltsfoottrail

#endif
