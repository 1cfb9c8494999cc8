/// @file
/// Runs an entry host on the users' platform.
#ifndef COLTSFOOTTRAILD_FLEETMAIN_HPP
#define COLTSFOOTTRAILD_FLEETMAIN_HPP

#include <filesystem>

namespace coltsfoottrail {

/// @brief Runs until a signal stops it.
/// @param File Settings; docs/operations/fleet.md.
/// @return Requests that were cut by the stop.
/// @throws InputError The settings cannot be used.
/// @throws boost::system::system_error A port cannot be had.
[[nodiscard]] std::size_t runFleetHost(const std::filesystem::path &File);

} // namespace coltsfoottrail

#endif
