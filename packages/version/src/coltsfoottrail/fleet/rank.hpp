/// @file
/// Precedence of requests when there is too little capacity for all.
#ifndef COLTSFOOTTRAIL_FLEET_RANK_HPP
#define COLTSFOOTTRAIL_FLEET_RANK_HPP

#include "coltsfoottrail/fleet/config.hpp"

#include <cstdint>

namespace coltsfoottrail {

/// @brief Rank of a team's requests on a route; zero is the most urgent.
/// Thread-safe.
/// @param Route The route.
/// @param Team The caller's team, whose priority overrides the route's; null
/// for a caller without a credential.
[[nodiscard]] inline std::uint32_t rankOf(const RouteSpec &Route,
                                          const TeamKeys *Team) noexcept {
  return Team != nullptr && Team->Priority ? *Team->Priority : Route.Priority;
}

} // namespace coltsfoottrail

#endif
