/// @file
/// Settings of an entry host on a platform where endpoints register themselves
/// in a store. docs/operations/fleet.md explains each key.
#ifndef COLTSFOOTTRAIL_FLEETHOST_SETTINGS_HPP
#define COLTSFOOTTRAIL_FLEETHOST_SETTINGS_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/division/types.hpp"
#include "coltsfoottrail/settings/settings.hpp"

#include <filesystem>
#include <map>
#include <optional>

namespace coltsfoottrail {

/// @brief Time limits and retry limits that the platform sets for every entry
/// host.
struct FleetBounds {
  /// Interval at which endpoints publish their records; a record expires after
  /// three missed heartbeats.
  milliseconds Heartbeat{1'200};
  /// Longest time for which a withdrawn credential may be accepted after its
  /// withdrawal was confirmed.
  milliseconds Revocation{5'000};
  /// Time within which an accepted configuration must be in force.
  milliseconds Configuration{2'000};
  /// Time within which an endpoint that announces its departure must stop
  /// receiving new requests.
  milliseconds Leaving{2'000};
  /// Time from the stop signal until the process is killed.
  milliseconds StopGrace{8'000};
  /// Retries as a fraction of the requests, over all entry hosts.
  double RetryRatio = 0.2;
  /// Retries that a service may make beyond that ratio in ten seconds, over all
  /// entry hosts.
  double RetrySlack = 130.0;
};

/// @brief How the engines of a service are divided among its models.
struct EngineSettings {
  /// Whether the division follows the demand rather than the shares of the
  /// configuration.
  bool FollowDemand = false;
  /// Whether engines hold the weights of a second model beside the one that
  /// they serve.
  bool StageAhead = false;
  /// Whether the division stays as it is.
  bool HoldDivision = false;
  /// Bounds of the groups of a model; none if a model is missing.
  std::map<ModelName, ModelLimits> Limits;
};

/// @brief Which endpoints requests are sent to.
struct PlacementSettings {
  /// Whether a request with a target latency stays in the data centre of this
  /// host while an endpoint there starts it in time.
  bool HomeFirst = false;
};

/// @brief All settings of an entry host, validated.
struct FleetSettings {
  HostName Host;
  DataCentreName DataCentre;
  SocketAddress Callers;
  SocketAddress Readiness;
  /// Empty if metrics are not served.
  std::optional<SocketAddress> Metrics;
  /// Address at which other entry hosts reach this one.
  SocketAddress Peers;
  SocketAddress Store;
  /// Whether all hosts of the system are starting for the first time.
  bool FirstStart = false;
  /// Share of a processor core that this host may use; 1 is a whole core.
  double ProcessorShare = 1.0;
  /// Memory that the process may use.
  std::uint64_t MemoryBytes = 256'000'000;
  FleetBounds Bounds;
  EngineSettings Engines;
  PlacementSettings Placement;
  /// Whether the priorities of routes and teams give requests precedence when
  /// there are too few slots.
  bool RanksByPriority = false;
};

/// @brief Reads and validates a settings file. Unknown keys are ignored because
/// the platform adds fields without notice. Thread-safe.
/// @param File Path of the JSON file.
/// @throws InputError The file cannot be read, or a value is invalid. The error
/// names the file, the JSON pointer, the value and what is allowed.
[[nodiscard]] FleetSettings
readFleetSettings(const std::filesystem::path &File);

} // namespace coltsfoottrail

#endif
