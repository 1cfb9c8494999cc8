/// @file
/// Forward declarations and aliases of the fleet module.
#ifndef COLTSFOOTTRAIL_FLEET_FWD_HPP
#define COLTSFOOTTRAIL_FLEET_FWD_HPP

#include "coltsfoottrail/core/fwd.hpp"

#include <cstdint>

namespace coltsfoottrail {

struct EndpointNameTag;
struct RouteTag;

/// Identifier that an endpoint chose at its start; unique among all endpoints.
using EndpointName = Name<EndpointNameTag>;
/// Name of a route of the published configuration.
using RouteName = Name<RouteTag>;

/// Orders the memberships of endpoints in groups; the assembler never uses a
/// number twice.
using GroupEpoch = std::uint64_t;

struct GroupSeat;
struct EndpointRecord;
struct ServedModel;
struct EngineProfile;
struct ServiceProfile;
struct RouteSpec;
struct TeamKeys;
struct PublishedConfig;
class EndpointCatalogue;
class RouteIndex;

} // namespace coltsfoottrail

#endif
