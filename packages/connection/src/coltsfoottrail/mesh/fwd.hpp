/// @file
/// Forward declarations and aliases of the mesh module.
#ifndef COLTSFOOTTRAIL_MESH_FWD_HPP
#define COLTSFOOTTRAIL_MESH_FWD_HPP

#include "coltsfoottrail/core/fwd.hpp"

#include <cstdint>

namespace coltsfoottrail {

enum class Channel : std::uint8_t;
enum class PeerRefusal : std::uint8_t;
struct MeshLimits;
struct MeshConfig;
struct MeshPeer;
struct MeshSeed;
struct PeerUp;
struct PeerDown;
struct PeerRefused;
struct ChannelCounters;
struct MeshCounters;
struct MeshMember;
struct NeighbourPolicy;
class ListenError;
class Mesh;
class WebSocket;

namespace internal {
class Handshake;
class Outbox;
class PeerTable;
struct LinkTag;
using LinkId = Ident<LinkTag>;
} // namespace internal

} // namespace coltsfoottrail

#endif
