/// @file
/// Chooses whom an entry host is connected with when there are many.
#ifndef COLTSFOOTTRAIL_MESH_NEIGHBOURS_HPP
#define COLTSFOOTTRAIL_MESH_NEIGHBOURS_HPP

#include "coltsfoottrail/core/name.hpp"

#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief An entry host and where it stands.
struct MeshMember {
  HostName Host;
  DataCentreName DataCentre;
};

/// @brief How many connections there shall be.
struct NeighbourPolicy {
  /// Up to so many hosts in all, everyone is connected with everyone.
  std::size_t FullMeshMaxHosts = 32;
  /// Connections that each host begins within its data centre.
  std::size_t ConnectionsPerHost = 4;
  /// Hosts of a data centre that are connected with other data centres.
  std::size_t Gateways = 2;
};

/// @brief Chooses the hosts that one host shall be connected with.
///
/// The same on every host that knows the same members, and little changes when
/// one member comes or goes. Within a data centre each host takes its two
/// neighbours on a ring, so that none is left out, and further ones by
/// rendezvous hashing, so that the ways are short. The gateways of all data
/// centres are connected with each other. Thread-safe.
/// @param Self The host that asks; among the members.
/// @param Members All entry hosts of the agreed state.
/// @param Policy How many connections.
/// @return Names, sorted, without Self.
[[nodiscard]] std::vector<HostName>
chooseNeighbours(const HostName &Self, std::span<const MeshMember> Members,
                 const NeighbourPolicy &Policy = {});

} // namespace coltsfoottrail

#endif
