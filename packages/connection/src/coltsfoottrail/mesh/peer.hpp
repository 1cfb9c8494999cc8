/// @file
/// Entry hosts as the mesh sees them, and what it tells of them.
#ifndef COLTSFOOTTRAIL_MESH_PEER_HPP
#define COLTSFOOTTRAIL_MESH_PEER_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/mesh/fwd.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace coltsfoottrail {

/// @brief An entry host as the agreed state names it.
struct MeshPeer {
  HostName Host;
  Incarnation Run = 0;
  /// IP number.
  std::string Address;
  std::uint16_t Port = 0;
  /// Whether to stay connected with it. Any other one is connected on demand:
  /// from a message to it until no more come.
  bool Neighbour = true;
  [[nodiscard]] friend bool operator==(const MeshPeer &,
                                       const MeshPeer &) = default;
};

/// @brief An address of an entry host whose name is not known.
struct MeshSeed {
  /// IP number.
  std::string Address;
  std::uint16_t Port = 0;
  [[nodiscard]] friend bool operator==(const MeshSeed &,
                                       const MeshSeed &) = default;
};

/// Why a connection was refused.
enum class PeerRefusal : std::uint8_t {
  /// The first messages were not those of the protocol.
  Malformed,
  /// The other end speaks no version of the protocol that this one speaks.
  Version,
  /// The other end does not have the shared key.
  Key,
  /// The other end is this very run.
  Self,
  /// Another host answers at the address of the one that was dialled.
  OtherHost,
  /// The run is over: the agreed state has named a later one.
  RetiredRun,
  /// Another process with this host's name is connected, and the agreed state
  /// names that one.
  RunConflict,
  /// The proof took too long.
  Timeout,
  /// There are too many connections.
  TooMany,
  /// The other end refused; its text says why.
  ByPeer,
};

/// @brief Stable words for a refusal. Thread-safe.
[[nodiscard]] std::string_view refusalText(PeerRefusal Why) noexcept;

/// A run of an entry host is connected.
struct PeerUp {
  HostName Host;
  Incarnation Run = 0;
};
/// A run of an entry host is connected no more.
struct PeerDown {
  HostName Host;
  Incarnation Run = 0;
  std::string Why;
};
/// A connection was refused before any message of it was taken.
struct PeerRefused {
  /// IP number and port of the other end.
  std::string Address;
  PeerRefusal Why = PeerRefusal::Malformed;
  /// What the other end says it is, or the text that it gave; unproven.
  std::string Detail;
};

/// What the mesh tells of connections.
using PeerEvent = std::variant<PeerUp, PeerDown, PeerRefused>;

} // namespace coltsfoottrail

#endif
