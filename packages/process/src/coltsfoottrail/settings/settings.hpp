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

/// Least urgent events that reach the log.
enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };

/// An IP number and a port.
struct SocketAddress {
  std::string Address;
  /// Zero, where a listener allows it, takes any free port.
  std::uint16_t Port = 0;
  [[nodiscard]] friend bool operator==(const SocketAddress &,
                                       const SocketAddress &) = default;
};

/// The listener for callers and what each connection may use.
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
  /// Entry hosts to ask before the first record is read.
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
  /// The list of live and leaving hosts; without it, hosts are only known from
  /// the agreed state and from what is seen of them.
  std::optional<SocketAddress> HostList;
};

/// Claims of idempotency keys on the log.
struct ClaimSettings {
  /// How long claims are collected for one append.
  milliseconds BatchTime{10};
  /// How long a key is known; below the retention of the log.
  milliseconds KeyLife{3600000};
};

/// Planned stop.
struct StopSettings {
  /// From unready until new requests are refused, so that the balancer notices.
  milliseconds Grace{5000};
  /// How long requests in progress may go on.
  milliseconds StreamLimit{900000};
};

/// What may wait in this process.
struct LimitSettings {
  std::size_t MaxWaiting = 10000;
  std::size_t MaxWaitingBytes = 268435456;
};

/// Traces and logs.
struct TelemetrySettings {
  /// Empty for none.
  std::filesystem::path TraceFile;
  /// Empty for the standard error stream.
  std::filesystem::path LogFile;
  LogLevel Level = LogLevel::Info;
};

/// @brief All settings of an entry host, checked.
struct Settings {
  HostName Host;
  DataCentreName DataCentre;
  /// IP number that peers reach this host by.
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
/// @param File JSON; relative paths in it start from its folder.
/// @return The settings with defaults filled in.
/// @throws InputError The file cannot be read, or a value cannot be used: the
/// error names file, JSON pointer, value and what is allowed.
[[nodiscard]] Settings readSettings(const std::filesystem::path &File);

/// @brief Checks values that depend on each other. Thread-safe.
/// @param Checked Settings whose single values are within their bounds.
/// @param Source Named in errors.
/// @throws InputError Two values contradict each other.
void checkSettings(const Settings &Checked, std::string_view Source);

/// @brief Shows settings in the form of the file, with defaults filled in and
/// secrets replaced. Thread-safe.
/// @param Shown What to show.
/// @return An object that has every key.
[[nodiscard]] Json describeSettings(const Settings &Shown);

} // namespace coltsfoottrail

#endif
