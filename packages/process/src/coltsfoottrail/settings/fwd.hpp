/// @file
/// Forward declarations of the settings module.
#ifndef COLTSFOOTTRAIL_SETTINGS_FWD_HPP
#define COLTSFOOTTRAIL_SETTINGS_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

class Secret;
enum class LogLevel : std::uint8_t;
struct SocketAddress;
struct CallerSettings;
struct OperatorSettings;
struct MeshSettings;
struct LogServiceSettings;
struct PlatformSettings;
struct ClaimSettings;
struct StopSettings;
struct LimitSettings;
struct TelemetrySettings;
struct Settings;

} // namespace coltsfoottrail

#endif
