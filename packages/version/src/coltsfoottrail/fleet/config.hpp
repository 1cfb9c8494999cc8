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
  /// Number of endpoints of a group.
  std::uint32_t Size = 1;
  /// Factor on all times of the engine.
  double Pace = 1.0;
  /// Initial share of the service's work.
  double Share = 0.0;
  /// Time to load the weights from the shared store.
  milliseconds LoadTime{0};
  /// Time to load the weights from the host's own copy.
  milliseconds WarmTime{0};
};

/// @brief Capacity and speed of the engines of a service.
struct EngineProfile {
  /// Requests that run concurrently.
  std::uint32_t Slots = 1;
  /// Tokens that fit into the memory of a group.
  std::uint64_t MemoryTokens = 0;
  /// Duration of one token step, in milliseconds.
  double StepMs = 0.0;
  /// Added to a step for each running request, in milliseconds.
  double StepMsPerRequest = 0.0;
  /// Prompt tokens processed per second.
  double PromptTokensPerSecond = 0.0;
  /// Maximum number of prompt tokens processed between two token steps; zero
  /// for no limit.
  std::uint32_t ChunkTokens = 0;
  /// Token steps in one pass.
  std::uint32_t Stride = 1;
  /// Loads that may start per second, over all engines.
  double LoadsPerSecond = 1.0;
  /// Number of concurrent loads above which each takes longer.
  std::uint32_t MaxConcurrentLoads = 1;
  /// Time between an order to open a group and the start of its serving.
  milliseconds OpenTime{0};
  /// Number of models whose weights a host keeps.
  std::uint32_t KeptModels = 1;
  std::vector<ServedModel> Models;
};

/// @brief Speed of an engine that serves a given model. Pure; thread-safe.
[[nodiscard]] inline EnginePace enginePace(const EngineProfile &Engine,
                                           const ServedModel &Model) {
  constexpr double MsPerSecond = 1000.0;
  EnginePace Pace;
  Pace.StepSeconds = Engine.StepMs * Model.Pace / MsPerSecond;
  Pace.StepSecondsPerRequest =
      Engine.StepMsPerRequest * Model.Pace / MsPerSecond;
  if (Model.Pace > 0.0)
    Pace.PromptTokensPerSecond = Engine.PromptTokensPerSecond / Model.Pace;
  Pace.ChunkTokens = Engine.ChunkTokens;
  Pace.Stride = Engine.Stride;
  return Pace;
}

/// @brief A service: a set of equivalent endpoints.
struct ServiceProfile {
  ServiceName Name;
  /// Connections that an endpoint accepts from all entry hosts together.
  std::uint32_t MaxConnections = 0;
  /// Requests per second that a cold endpoint can take from all entry hosts
  /// together; zero if endpoints do not start cold.
  double ColdRequestsPerSecond = 0.0;
  /// Set if the endpoints of the service are model engines.
  std::optional<EngineProfile> Engine;
};

/// Whether a request may be executed more than once.
enum class RunPolicy : std::uint8_t {
  Idempotent,
  AtMostOnce,
  /// An event stream that may be resumed at another endpoint.
  ResumableStream,
  /// An event stream that cannot be resumed: executed at most once.
  Stream
};

/// @brief A service and its share of the requests of a route.
struct WeightedService {
  ServiceName Service;
  std::uint32_t Weight = 1;
};

/// @brief The route of the requests for one host name and path prefix.
struct RouteSpec {
  RouteName Name;
  std::string HostHeader;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RunPolicy Policy = RunPolicy::AtMostOnce;
  std::vector<WeightedService> Services;
  /// Longest time that a caller is kept waiting.
  milliseconds Timeout{60'000};
  /// Latency up to which a response earns its full value.
  milliseconds TargetLatency{1'000};
  /// Longest pause between events of a stream that counts as on time.
  milliseconds TargetGap{1'000};
  /// Number of endpoints that one request may be sent to.
  std::uint32_t MaxAttempts = 1;
  /// Zero is the highest priority.
  std::uint32_t Priority = 0;
  /// Whether callers need no credential.
  bool Public = false;

  /// @brief Whether responses are event streams.
  [[nodiscard]] bool streams() const noexcept {
    return Policy == RunPolicy::ResumableStream || Policy == RunPolicy::Stream;
  }
  /// @brief Whether a request may be executed again without harm.
  [[nodiscard]] bool repeatable() const noexcept {
    return Policy == RunPolicy::Idempotent ||
           Policy == RunPolicy::ResumableStream;
  }
};

/// @brief A team and the credentials of its callers.
struct TeamKeys {
  TeamName Name;
  std::vector<std::string> Credentials;
  /// Overrides the route's priority.
  std::optional<std::uint32_t> Priority;
};

/// @brief Limits on what a caller may send.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes = 16384;
  std::uint64_t MaxBodyBytes = 4194304;
  milliseconds HeaderTimeout{3'000};
  milliseconds IdleTimeout{15'000};
};

/// @brief One complete version of the published configuration.
struct PublishedConfig {
  std::uint64_t Version = 0;
  std::vector<RouteSpec> Routes;
  std::vector<ServiceProfile> Services;
  /// Not set where callers need no credentials; if it is empty, none is valid.
  std::optional<std::vector<TeamKeys>> Teams;
  CallerLimits Limits;
};

} // namespace coltsfoottrail

#endif
