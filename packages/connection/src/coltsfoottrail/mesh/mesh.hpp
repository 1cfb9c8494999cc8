/// @file
/// Connections between entry hosts.
#ifndef COLTSFOOTTRAIL_MESH_MESH_HPP
#define COLTSFOOTTRAIL_MESH_MESH_HPP

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/mesh/channel.hpp"
#include "coltsfoottrail/mesh/peer.hpp"

#include <array>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// @brief Limits and timeouts of the mesh.
struct MeshLimits {
  /// Largest encoded message; a peer that sends a larger one is disconnected.
  std::size_t MaxMessageBytes = std::size_t{8} << 20U;
  /// Bounds of the send queue of one peer.
  std::size_t MaxQueuedMessages = 16384;
  std::size_t MaxQueuedBytes = std::size_t{12} << 20U;
  /// Bound of the send queues of all peers together.
  std::size_t MaxTotalQueuedBytes = std::size_t{32} << 20U;
  /// Accepted connections that are not authenticated yet.
  std::size_t MaxUnauthenticated = 64;
  /// Time for connecting and authenticating.
  milliseconds HandshakeTimeout{3000};
  /// A ping is sent after this time without data from the peer.
  milliseconds PingInterval{1000};
  /// The connection is closed after this time without data from the peer.
  milliseconds IdleTimeout{4000};
  /// Delay before closing a connection that was replaced by another one.
  milliseconds Linger{1000};
  /// Time for the closing handshake.
  milliseconds CloseTimeout{1000};
  /// Mean delay after the first failure to dial; doubles up to MaxRedial.
  milliseconds FirstRedial{200};
  milliseconds MaxRedial{10000};
  /// Interval between checks for peers to dial.
  milliseconds DialInterval{50};
  /// Time without a message after which the connection with a host that is not
  /// a neighbour is closed.
  milliseconds UnusedAfter{30'000};
};

/// @brief Configuration of the mesh.
struct MeshConfig {
  HostName Self;
  Incarnation Run = 0;
  /// IP address to listen on.
  std::string Address;
  /// Zero for any free port.
  std::uint16_t Port = 0;
  /// The key that all entry hosts share.
  std::string Key;
  MeshLimits Limits;
  /// Seed of the jitter on redial delays.
  std::uint64_t Seed = 0;
  std::size_t Threads = 1;
  /// Range of mesh protocol versions that this process supports.
  std::uint32_t LowestVersion = 1;
  std::uint32_t HighestVersion = 1;
};

/// @brief Counters of one channel since the start.
struct ChannelCounters {
  std::uint64_t MessagesOut = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t MessagesIn = 0;
  std::uint64_t BytesIn = 0;
  /// Messages that send() rejected, that newer ones displaced, or that were
  /// still queued when their connection closed.
  std::uint64_t Dropped = 0;
};

/// @brief Counters of the mesh since the start.
struct MeshCounters {
  std::array<ChannelCounters, ChannelCount> Channels;
  /// Messages of a channel that this release does not know.
  std::uint64_t UnknownChannel = 0;
  /// Messages that could not be decoded.
  std::uint64_t Malformed = 0;
  /// Messages received from a run after its connection was cut.
  std::uint64_t FromRetiredRun = 0;
  /// Exceptions thrown by handlers of messages and peer events.
  std::uint64_t HandlerFailures = 0;
  std::uint64_t RefusedConnections = 0;
  /// Currently connected peers.
  std::size_t Connected = 0;
  /// Bytes currently queued for all peers.
  std::size_t QueuedBytes = 0;
};

/// @brief Listening on the address of the mesh failed.
class ListenError : public Error {
public:
  using Error::Error;
};

/// Receives a message of an authenticated peer: its host, its run, the body.
using MessageHandler =
    std::function<void(const HostName &, Incarnation, const Json &)>;
/// Receives events of connections.
using PeerHandler = std::function<void(const PeerEvent &)>;

/// @brief Connections with other entry hosts: CBOR messages over WebSocket, one
/// connection per pair, authenticated with a shared key.
///
/// Within a channel, messages of one connection arrive in the order in which
/// they were sent. Delivery is at most once: a message that send() accepted is
/// lost when the connection closes before it arrives. Callers that need a reply
/// have to retry.
class Mesh {
public:
  /// @brief Creates a mesh; nothing happens before start().
  explicit Mesh(MeshConfig Config);
  Mesh(const Mesh &) = delete;
  Mesh &operator=(const Mesh &) = delete;
  /// @brief Calls stop().
  ~Mesh();

  /// @brief Sets the handler of a channel's messages. Only before start().
  /// @param ChannelId The channel.
  /// @param Handler Called on the mesh's threads, concurrently for several
  /// peers; must be fast, since it delays the peer's next message.
  void onMessage(Channel ChannelId, MessageHandler Handler);
  /// @brief Sets the handler of connection events. Only before start().
  /// @param Handler Called on the mesh's threads, one event at a time. A peer's
  /// first messages may be handled before its PeerUp. Must not call stop().
  void onPeer(PeerHandler Handler);

  /// @brief Starts to listen and to dial. May be called once only.
  /// @return The port listened on.
  /// @throws ListenError Listening failed; the message has the address and the
  /// cause.
  [[nodiscard]] std::uint16_t start();
  /// @brief Closes all connections and joins the threads; no handler runs
  /// afterwards. Must not be called from a handler.
  void stop();

  /// @brief Sets the peers that the agreed state lists. Thread-safe.
  ///
  /// This host stays connected with peers that are marked as neighbours, and
  /// with others only while there are messages for them. Hosts that are not
  /// listed may still connect to this one. When the run of a host changes, the
  /// connection with its old run is cut. chooseNeighbours() selects neighbours
  /// whose number does not grow with the number of hosts.
  /// @param Peers The complete list; an entry for this host is ignored.
  void setPeers(std::span<const MeshPeer> Peers);
  /// @brief Sets addresses that are dialled whichever host answers there.
  /// Thread-safe.
  void setSeeds(std::span<const MeshSeed> Seeds);

  /// @brief Queues a message for one peer. Thread-safe; does not block on I/O.
  /// @param Host Host name of the peer.
  /// @param ChannelId The channel.
  /// @param Body The message.
  /// @return Whether it was queued. False when the host is not connected and no
  /// connection is being opened, when the queue is full, or when the message is
  /// too large; nothing of it is sent then.
  [[nodiscard]] bool send(const HostName &Host, Channel ChannelId, Json Body);
  /// @brief Queues a message for all connected peers; it is encoded once.
  /// Thread-safe; does not block on I/O.
  /// @return Number of peers for which it was queued.
  std::size_t broadcast(Channel ChannelId, Json Body);

  /// @brief The connected peers. Thread-safe.
  [[nodiscard]] std::vector<HostName> connected() const;
  /// @brief A snapshot of the counters. Thread-safe.
  [[nodiscard]] MeshCounters counters() const;

private:
  class State;
  std::unique_ptr<State> Inner;
};

} // namespace coltsfoottrail

#endif
