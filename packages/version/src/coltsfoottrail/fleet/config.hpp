/// @file
/// The configuration that operators publish: routes, services, teams, limits.
#ifndef COLTSFOOTTRAIL_FLEET_CONFIG_HPP
#define COLTSFOOTTRAIL_FLEET_CONFIG_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/fleet/fwd.hpp"
#include "coltsfoottrail/route/enginepace.hpp"

#include <optional>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief A model that the engines of a service can serve.
struct ServedModel {
  ModelName Name;
  /// Endpoints of a group.
  std::uint32_t Size = 1;
  /// Factor on all times of the engine.
  double Pace = 1.0;
  /// Share of the work at the start.
  double Share = 0.0;
  /// Loading the weights from the shared store.
  milliseconds LoadTime{0};
  /// Loading the weights from the host's own copy.
  milliseconds WarmTime{0};
};

/// @brief How fast the engines of a service work.
struct EngineProfile {
  /// Requests that run at once.
  std::uint32_t Slots = 1;
  /// Tokens that fit into the memory of a group.
  std::uint64_t MemoryTokens = 0;
  /// One token step, in milliseconds.
  double StepMs = 0.0;
  /// Added to a step for each running request, in milliseconds.
  double StepMsPerRequest = 0.0;
  /// Prompt tokens read in a second.
  double PromptTokensPerSecond = 0.0;
  /// Prompt tokens read between two token steps at most; zero for no bound.
  std::uint32_t ChunkTokens = 0;
  /// Token steps in one pass.
  std::uint32_t Stride = 1;
  /// Loads that may begin in a second, over all engines.
  double LoadsPerSecond = 1.0;
  /// Loads at once beyond which each takes longer.
  std::uint32_t MaxConcurrentLoads = 1;
  /// Between an order to open a group and its serving.
  milliseconds OpenTime{0};
  /// Models whose weights a host keeps.
  std::uint32_t KeptModels = 1;
  std::vector<ServedModel> Models;
};

/// @brief Pace of an engine that serves a model. Pure; thread-safe.
[[nodiscard]] inline EnginePace enginePace(const EngineProfile &Engine,
                                           const ServedModel &Model) {
  constexpr double MsPerSecond = 1000.0;
  EnginePace Out;
  Out.StepSeconds = Engine.StepMs * Model.Pace / MsPerSecond;
  Out.StepSecondsPerRequest =
      Engine.StepMsPerRequest * Model.Pace / MsPerSecond;
  if (Model.Pace > 0.0)
    Out.PromptTokensPerSecond = Engine.PromptTokensPerSecond / Model.Pace;
  Out.ChunkTokens = Engine.ChunkTokens;
  Out.Stride = Engine.Stride;
  return Out;
}

/// @brief A service: a set of like endpoints.
struct ServiceProfile {
  ServiceName Name;
  /// Connections that an endpoint takes from all entry hosts.
  std::uint32_t MaxConnections = 0;
  /// Requests a second that a cold endpoint bears from all entry hosts; zero
  /// where endpoints do not start cold.
  double ColdRequestsPerSecond = 0.0;
  /// Set where model engines carry the service.
  std::optional<EngineProfile> Engine;
};

/// Whether a request may run more than once.
enum class RunPolicy : std::uint8_t {
  Idempotent,
  AtMostOnce,
  /// A sequence of events; it may be resumed at another endpoint.
  ResumableStream,
  /// A sequence of events that cannot be resumed: runs at most once.
  Stream
};

/// @brief A service that a route sends a part of its requests to.
struct WeightedService {
  ServiceName Service;
  std::uint32_t Weight = 1;
};

/// @brief Where requests of one host name and path go.
struct RouteSpec {
  RouteName Name;
  std::string HostHeader;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RunPolicy Policy = RunPolicy::AtMostOnce;
  std::vector<WeightedService> Services;
  /// Longest that a caller is kept waiting.
  milliseconds Timeout{60'000};
  /// Latency within which an answer earns its full worth.
  milliseconds TargetLatency{1'000};
  /// Longest pause between events of a stream that is on time.
  milliseconds TargetGap{1'000};
  /// Endpoints that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  /// Zero is the most urgent.
  std::uint32_t Priority = 0;
  /// Whether callers need no credential.
  bool Public = false;

  /// @brief Whether answers are sequences of events.
  [[nodiscard]] bool streams() const noexcept {
    return Policy == RunPolicy::ResumableStream || Policy == RunPolicy::Stream;
  }
  /// @brief Whether a second run does no harm.
  [[nodiscard]] bool repeatable() const noexcept {
    return Policy == RunPolicy::Idempotent ||
           Policy == RunPolicy::ResumableStream;
  }
};

/// @brief A team and the credentials of its callers.
struct TeamKeys {
  TeamName Name;
  std::vector<std::string> Credentials;
  /// Takes precedence over the route's.
  std::optional<std::uint32_t> Priority;
};

/// @brief Bounds on what a caller may send.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes = 16384;
  std::uint64_t MaxBodyBytes = 4194304;
  milliseconds HeaderTimeout{3'000};
  milliseconds IdleTimeout{15'000};
};

/// @brief One version of the published configuration, whole.
struct PublishedConfig {
  std::uint64_t Version = 0;
  std::vector<RouteSpec> Routes;
  std::vector<ServiceProfile> Services;
  std::vector<TeamKeys> Teams;
  CallerLimits Limits;
};

} // namespace coltsfoottrail

#endif
