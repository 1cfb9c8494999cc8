/// @file
/// Derives the mesh peers of an entry host from the agreed state.
#ifndef COLTSFOOTTRAIL_SERVER_MESHPEERS_HPP
#define COLTSFOOTTRAIL_SERVER_MESHPEERS_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/mesh/peer.hpp"

#include <vector>

namespace coltsfoottrail {

/// @brief All entry hosts of the agreed state except Self, with the neighbours
/// of Self marked. Pure; thread-safe.
/// @param Self The host whose peers are returned.
/// @param Now The agreed state.
[[nodiscard]] std::vector<MeshPeer> meshPeers(const HostName &Self,
                                              const State &Now);

} // namespace coltsfoottrail

#endif
