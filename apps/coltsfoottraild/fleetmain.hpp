/// @file
/// Runs an entry host on a platform whose endpoints publish themselves.
#ifndef COLTSFOOTTRAILD_FLEETMAIN_HPP
#define COLTSFOOTTRAILD_FLEETMAIN_HPP

#include <filesystem>

namespace coltsfoottrail {

/// @brief Runs the entry host until SIGINT or SIGTERM has shut it down.
/// @param SettingsFile Settings in JSON; see docs/operations/fleet.md.
/// @return Number of requests that the shutdown cut off.
/// @throws InputError The settings are invalid.
/// @throws boost::system::system_error A port is unavailable.
[[nodiscard]] std::size_t
runFleetHost(const std::filesystem::path &SettingsFile);

} // namespace coltsfoottrail

#endif
