/// @file
/// Settings of an entry host on a platform whose endpoints publish themselves.
/// docs/operations/fleet.md explains each key.
#ifndef COLTSFOOTTRAIL_FLEETHOST_SETTINGS_HPP
#define COLTSFOOTTRAIL_FLEETHOST_SETTINGS_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/settings/settings.hpp"

#include <filesystem>
#include <optional>

namespace coltsfoottrail {

/// @brief What the platform holds every entry host to.
struct FleetBounds {
  /// Endpoints publish themselves this often; an entry lapses after three
  /// heartbeats of silence.
  milliseconds Heartbeat{1'200};
  /// A withdrawn credential must not be served for longer after its withdrawal
  /// was accepted.
  milliseconds Revocation{5'000};
  /// An accepted configuration must be in force after this.
  milliseconds Configuration{2'000};
  /// An endpoint that says that it leaves must get no new work after this.
  milliseconds Leaving{2'000};
  /// From the signal to stop until the process is killed.
  milliseconds StopGrace{8'000};
  /// Sends beyond the first of each request, as a part of the requests, over
  /// all entry hosts.
  double RetryRatio = 0.2;
  /// Sends beyond that ratio in ten seconds, for a service, over all entry
  /// hosts.
  double RetrySlack = 130.0;
};

/// @brief All settings, checked.
struct FleetSettings {
  HostName Host;
  DataCentreName DataCentre;
  SocketAddress Callers;
  SocketAddress Readiness;
  /// Nothing for no metrics.
  std::optional<SocketAddress> Metrics;
  /// Where other entry hosts reach this one.
  SocketAddress Peers;
  SocketAddress Store;
  /// Whether all hosts of the system start for the first time.
  bool FirstStart = false;
  /// Part of a processor core that this host may use.
  double ProcessorShare = 1.0;
  FleetBounds Bounds;
};

/// @brief Reads and checks a settings file. Unknown keys are passed over: the
/// platform adds fields without notice. Thread-safe.
/// @param File JSON.
/// @throws InputError The file cannot be read, or a value cannot be used: the
/// error names file, JSON pointer, value and what is allowed.
[[nodiscard]] FleetSettings
readFleetSettings(const std::filesystem::path &File);

} // namespace coltsfoottrail

#endif
