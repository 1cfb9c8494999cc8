/// @file
/// Peers of the mesh and events of their connections.
#ifndef COLTSFOOTTRAIL_MESH_PEER_HPP
#define COLTSFOOTTRAIL_MESH_PEER_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/mesh/fwd.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace coltsfoottrail {

/// @brief An entry host as the agreed state lists it.
struct MeshPeer {
  HostName Host;
  Incarnation Run = 0;
  /// IP address.
  std::string Address;
  std::uint16_t Port = 0;
  /// Whether to stay connected with it. Other hosts are connected on demand:
  /// from the first message until none has been exchanged for
  /// MeshLimits::UnusedAfter.
  bool Neighbour = true;
  [[nodiscard]] friend bool operator==(const MeshPeer &,
                                       const MeshPeer &) = default;
};

/// @brief The address of an entry host whose name is not known.
struct MeshSeed {
  /// IP address.
  std::string Address;
  std::uint16_t Port = 0;
  [[nodiscard]] friend bool operator==(const MeshSeed &,
                                       const MeshSeed &) = default;
};

/// Why a connection was refused.
enum class PeerRefusal : std::uint8_t {
  /// A handshake message was invalid.
  Malformed,
  /// The ends have no protocol version in common.
  Version,
  /// The other end does not have the shared key.
  Key,
  /// The other end is this same run: the process dialled itself.
  Self,
  /// A different host than the listed one answered at the dialled address.
  OtherHost,
  /// The run is retired: another run of its host has replaced it.
  RetiredRun,
  /// Another run with the same host name takes precedence: this process, or a
  /// connected run that the agreed state lists.
  RunConflict,
  /// The handshake took too long.
  Timeout,
  /// Too many connections.
  TooMany,
  /// The other end refused; its close reason has the cause.
  ByPeer,
};

/// @brief Name of a refusal in logs and close reasons. Thread-safe.
[[nodiscard]] std::string_view refusalText(PeerRefusal Why) noexcept;

/// A run of an entry host is connected.
struct PeerUp {
  HostName Host;
  Incarnation Run = 0;
};
/// A run of an entry host is no longer connected.
struct PeerDown {
  HostName Host;
  Incarnation Run = 0;
  std::string Why;
};
/// A connection was refused before any of its messages was delivered.
struct PeerRefused {
  /// IP address and port of the other end.
  std::string Address;
  PeerRefusal Why = PeerRefusal::Malformed;
  /// The host name or close reason that the other end sent; not authenticated.
  std::string Detail;
};

/// An event of a connection.
using PeerEvent = std::variant<PeerUp, PeerDown, PeerRefused>;

} // namespace coltsfoottrail

#endif
