/// @file
/// Selects the peers that an entry host stays connected with.
#ifndef COLTSFOOTTRAIL_MESH_NEIGHBOURS_HPP
#define COLTSFOOTTRAIL_MESH_NEIGHBOURS_HPP

#include "coltsfoottrail/core/name.hpp"

#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief An entry host and its data centre.
struct MeshMember {
  HostName Host;
  DataCentreName DataCentre;
};

/// @brief Target numbers of connections.
struct NeighbourPolicy {
  /// With up to this many hosts, every host is connected with every other one.
  std::size_t FullMeshMaxHosts = 32;
  /// Neighbours that each host selects within its data centre.
  std::size_t ConnectionsPerHost = 4;
  /// Hosts of each data centre that are connected with other data centres.
  std::size_t GatewaysPerCentre = 2;
};

/// @brief Selects the hosts that one host stays connected with.
///
/// Deterministic: every host with the same members computes the same result,
/// and little changes when one member joins or leaves. Within a data centre
/// each host selects its two neighbours on a hash ring, so that no host is
/// isolated, and further ones by rendezvous hashing, so that paths are short.
/// The gateways of all data centres are connected with each other. Thread-safe.
/// @param Self The host whose neighbours to select; one of the members.
/// @param Members All entry hosts of the agreed state.
/// @param Policy Target numbers of connections.
/// @return Sorted names without Self.
[[nodiscard]] std::vector<HostName>
chooseNeighbours(const HostName &Self, std::span<const MeshMember> Members,
                 const NeighbourPolicy &Policy = {});

} // namespace coltsfoottrail

#endif
