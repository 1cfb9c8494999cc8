/// @file
/// Stand-in for a model engine, for tests and trials.
#ifndef COLTSFOOTTRAIL_STANDIN_ENGINE_HPP
#define COLTSFOOTTRAIL_STANDIN_ENGINE_HPP

#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/standin/fwd.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Properties of an engine.
struct EngineTraits {
  /// Whether it rejects orders with an outdated fencing number.
  bool RefusesOldFences = true;
  /// Maximum number of concurrent requests; further requests are refused.
  std::uint32_t MaxConcurrentRequests = 64;
  milliseconds LoadTime{50};
  milliseconds TimePerToken{2};
};

/// @brief Faults to inject into an engine.
struct EngineFaults {
  /// A prompt that contains this text makes the engine restart, as a crash
  /// does; empty for none.
  std::string CrashOn;
  /// Number of tokens after which streams are cut; zero for never.
  std::uint32_t CutAfterTokens = 0;
  /// Bytes that streams send again and again from their first token on, until
  /// the connection is closed; empty for none.
  std::string EndlessBytes = {};
  /// Delay before the first token.
  milliseconds Delay{0};
};

/// @brief The text that every engine generates for a prompt. Thread-safe.
/// @param Prompt The prompt of the completion.
/// @param Tokens Number of tokens to generate.
[[nodiscard]] std::string completionText(std::string_view Prompt,
                                         std::uint64_t Tokens);

/// @brief A model engine that obeys orders, generates deterministic text and
/// counts requests.
class EngineStandin {
public:
  /// @brief Starts serving.
  /// @param Threads Threads that serve connections; must outlive the stand-in.
  /// @param Address IP address to listen on.
  /// @param Port Port to listen on; zero for any free port.
  /// @param Traits The engine's properties.
  EngineStandin(IoPool &Threads, const std::string &Address, std::uint16_t Port,
                EngineTraits Traits);

  /// @brief The port listened on. Thread-safe.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// @brief Sets the faults. Thread-safe.
  void setFaults(EngineFaults NewFaults);
  /// @brief Simulates a restart: drops connections, leaves the group and draws
  /// a new run number. Thread-safe.
  void restart();
  /// @brief The status that it reports. Thread-safe.
  [[nodiscard]] EngineReport report() const;
  /// @brief Highest number of concurrent requests so far. Thread-safe.
  [[nodiscard]] std::uint32_t peakConcurrency() const;
  /// @brief Number of requests that it started to process. Thread-safe.
  [[nodiscard]] std::uint64_t started() const;
  /// @brief Number of requests that ended early because the caller left or the
  /// engine restarted. Thread-safe.
  [[nodiscard]] std::uint64_t cancelled() const;

private:
  struct CompletionRequest;
  struct InProgressGuard;

  [[nodiscard]] Awaitable<void> handle(Exchange &Call);
  [[nodiscard]] Awaitable<void> complete(Exchange &Call);
  [[nodiscard]] Awaitable<void>
  streamCompletion(Exchange &Call, const CompletionRequest &Request,
                   InProgressGuard &Mark);
  [[nodiscard]] Awaitable<void>
  respondComplete(Exchange &Call, const CompletionRequest &Request,
                  InProgressGuard &Mark);
  [[nodiscard]] HttpResponse handleOrder(const std::string &Body);
  [[nodiscard]] HttpResponse setFaultsFrom(const std::string &Body);
  /// @return The refusal of a request that cannot be served, or nothing.
  [[nodiscard]] std::optional<HttpResponse> refuse(const HttpRequest &Request);
  /// Completes a finished load or leave. Requires Lock to be held.
  void updatePhase() const;

  EngineTraits Capabilities;
  mutable std::mutex Lock;
  EngineFaults Faults;
  mutable EngineReport Status;
  mutable TimePoint LoadedAt{};
  std::uint32_t PeakConcurrency = 0;
  std::uint64_t Started = 0;
  std::uint64_t Cancelled = 0;
  HttpServer Server;
};

} // namespace coltsfoottrail

#endif
