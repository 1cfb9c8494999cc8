/// @file
/// Settings of an entry host. docs/operations/settings.md explains each key.
#ifndef COLTSFOOTTRAIL_SETTINGS_SETTINGS_HPP
#define COLTSFOOTTRAIL_SETTINGS_SETTINGS_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/settings/fwd.hpp"
#include "coltsfoottrail/settings/secret.hpp"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// Severity of an event; as a setting, the least severe level that is logged.
enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// An IP address and a port.
struct SocketAddress {
  std::string Address;
  /// Zero lets a listener that allows it use any free port.
  std::uint16_t Port = 0;
  [[nodiscard]] friend bool operator==(const SocketAddress &,
                                       const SocketAddress &) = default;
};

/// The listener for callers and the limits of each connection.
struct CallerSettings {
  SocketAddress Listen;
  std::size_t MaxHeaderBytes = 16384;
  std::size_t MaxBodyBytes = 4194304;
  std::size_t MaxConnections = 10000;
  milliseconds HeaderTimeout{10000};
  milliseconds BodyTimeout{30000};
  milliseconds WriteTimeout{30000};
  milliseconds DefaultDeadline{60000};
  milliseconds MaxDeadline{600000};
};

/// The listener for operators.
struct OperatorSettings {
  SocketAddress Listen;
  Secret Credential;
};

/// The listener for other entry hosts.
struct MeshSettings {
  SocketAddress Listen;
  Secret Key;
  /// Entry hosts to contact before the first record is read.
  std::vector<SocketAddress> Seeds;
};

/// The platform's log.
struct LogServiceSettings {
  SocketAddress ServerAddress;
  milliseconds Timeout{2000};
};

/// Services of the platform.
struct PlatformSettings {
  LogServiceSettings Log;
  /// Service that lists live and leaving hosts. Without it, hosts are known
  /// only from the agreed state and from what this host observes of them.
  std::optional<SocketAddress> HostList;
};

/// Claims of idempotency keys on the log.
struct ClaimSettings {
  /// How long claims are collected into one append.
  milliseconds BatchTime{10};
  /// How long a key is remembered; must be less than the retention of the log.
  milliseconds KeyLife{3600000};
};

/// Graceful shutdown.
struct StopSettings {
  /// Time from turning unready until new requests are refused, so that the load
  /// balancer notices.
  milliseconds Grace{5000};
  /// How long requests in progress may continue.
  milliseconds StreamLimit{900000};
};

/// Limits of the requests that wait in this process.
struct LimitSettings {
  std::size_t MaxWaiting = 10000;
  std::size_t MaxWaitingBytes = 268435456;
  /// Bytes in the bodies of all requests in progress together.
  std::uint64_t MaxBodyMemory = 268435456;
};

/// Traces and logs.
struct TelemetrySettings {
  /// File that trace spans are appended to; empty if none are written.
  std::filesystem::path TraceFile;
  /// Empty to log to standard error.
  std::filesystem::path LogFile;
  LogLevel Level = LogLevel::Info;
};

/// @brief All settings of an entry host, validated.
struct Settings {
  HostName Host;
  DataCentreName DataCentre;
  /// IP address at which peers reach this host.
  std::string AdvertisedAddress;
  /// Threads that serve requests.
  std::uint32_t Threads = 2;
  CallerSettings Callers;
  OperatorSettings Operators;
  MeshSettings Mesh;
  PlatformSettings Platform;
  StreamName AgreedStream{"agreed"};
  ClaimSettings Claims;
  StopSettings Stop;
  LimitSettings Limits;
  TelemetrySettings Telemetry;
};

/// @brief Reads and checks a settings file and the secret files that it names.
/// Thread-safe.
/// @param File The JSON file; relative paths in it are resolved against its
/// folder.
/// @return The settings with defaults filled in.
/// @throws InputError The file cannot be read, or a value is not allowed; the
/// error names file, JSON pointer, value and allowed values.
[[nodiscard]] Settings readSettings(const std::filesystem::path &File);

/// @brief Checks constraints between values. Thread-safe.
/// @param Values Settings whose single values are within their bounds.
/// @param Source Name of the settings file, for errors.
/// @throws InputError Two values contradict each other.
void checkSettings(const Settings &Values, std::string_view Source);

/// @brief Formats settings like the settings file, with defaults filled in and
/// secrets replaced by a placeholder. Thread-safe.
/// @param Values The settings.
/// @return An object that has every key.
[[nodiscard]] Json describeSettings(const Settings &Values);

} // namespace coltsfoottrail

#endif
