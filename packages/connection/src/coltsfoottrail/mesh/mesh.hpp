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

/// @brief Bounds and times of the mesh.
struct MeshLimits {
  /// Largest message, encoded; a peer that sends a larger one is cut off.
  std::size_t MaxMessageBytes = std::size_t{8} << 20U;
  /// What may wait for one peer.
  std::size_t MaxQueuedMessages = 16384;
  std::size_t MaxQueuedBytes = std::size_t{12} << 20U;
  /// What may wait for all peers together.
  std::size_t MaxTotalQueuedBytes = std::size_t{32} << 20U;
  /// Connections accepted that have not yet proved the key.
  std::size_t MaxUnauthenticated = 64;
  /// Time for connecting and proving the key.
  milliseconds HandshakeTimeout{3000};
  /// A ping is sent after this time without a byte from the peer.
  milliseconds PingInterval{1000};
  /// The connection is given up after this time without a byte from the peer.
  milliseconds IdleTimeout{4000};
  /// A connection whose place another one took is closed after this time.
  milliseconds Linger{1000};
  /// Time for the closing handshake.
  milliseconds CloseTimeout{1000};
  /// Mean wait after the first failure to dial; doubles up to the maximum.
  milliseconds FirstRedial{200};
  milliseconds MaxRedial{10000};
  /// How often it is looked whom to dial.
  milliseconds DialInterval{50};
  /// A connection with a host that is no neighbour is closed after this time
  /// without a message.
  milliseconds UnusedAfter{30'000};
};

/// @brief What the mesh is made with.
struct MeshConfig {
  HostName Self;
  Incarnation Run = 0;
  /// IP number to listen on.
  std::string Address;
  /// Zero for any free port.
  std::uint16_t Port = 0;
  /// The key that all entry hosts share.
  std::string Key;
  MeshLimits Limits;
  /// For the jitter.
  std::uint64_t Seed = 0;
  std::size_t Threads = 1;
  /// Versions of the protocol between entry hosts that this process speaks.
  std::uint32_t LowestVersion = 1;
  std::uint32_t HighestVersion = 1;
};

/// @brief What went over one channel since the start.
struct ChannelCounters {
  std::uint64_t MessagesOut = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t MessagesIn = 0;
  std::uint64_t BytesIn = 0;
  /// Messages that send() refused, that gave way to newer ones, or that still
  /// waited when their connection ended.
  std::uint64_t Dropped = 0;
};

/// @brief What the mesh has counted since the start.
struct MeshCounters {
  std::array<ChannelCounters, ChannelCount> Channels;
  /// Messages of a channel that this release does not know.
  std::uint64_t UnknownChannel = 0;
  /// Messages that could not be decoded.
  std::uint64_t Malformed = 0;
  /// Messages of a run that was cut.
  std::uint64_t FromRetiredRun = 0;
  /// Exceptions that left message handlers.
  std::uint64_t HandlerFailures = 0;
  std::uint64_t RefusedConnections = 0;
  /// Peers that are connected now.
  std::size_t Connected = 0;
  /// Bytes that wait for all peers now.
  std::size_t QueuedBytes = 0;
};

/// @brief The mesh's address cannot be listened on.
class ListenError : public Error {
public:
  using Error::Error;
};

/// Takes a message of a proved peer and the run that sent it.
using MessageHandler =
    std::function<void(const HostName &, Incarnation, const Json &)>;
/// Takes what happens to connections.
using PeerHandler = std::function<void(const PeerEvent &)>;

/// @brief Connections with other entry hosts: WebSocket and CBOR, one for each
/// pair, proved with a shared key.
///
/// Messages of one connection arrive in the order in which they were sent
/// within a channel. A message that send() took is lost when the connection
/// ends before it has arrived; whoever needs an answer asks again.
class Mesh {
public:
  /// @brief Makes a mesh that does nothing yet.
  explicit Mesh(MeshConfig Config);
  Mesh(const Mesh &) = delete;
  Mesh &operator=(const Mesh &) = delete;
  /// @brief Stops.
  ~Mesh();

  /// @brief Sets who takes a channel's messages. Only before start().
  /// @param Which The channel.
  /// @param Take Called on the mesh's threads, for several peers at once; must
  /// be quick, since the peer's next message waits for it.
  void onMessage(Channel Which, MessageHandler Take);
  /// @brief Sets who hears of connections. Only before start().
  /// @param Take Called on the mesh's threads, one event at a time. A peer's
  /// first messages may come before its PeerUp. Must not call stop().
  void onPeer(PeerHandler Take);

  /// @brief Listens and begins to dial. Once only.
  /// @return The port listened on.
  /// @throws ListenError The address cannot be listened on; says which and why.
  [[nodiscard]] std::uint16_t start();
  /// @brief Closes all connections and ends the threads; no handler runs
  /// afterwards. Not from a handler.
  void stop();

  /// @brief Sets the peers that the agreed state names. Thread-safe.
  ///
  /// This host stays connected with those that are marked as neighbours, and
  /// is connected with the others while there are messages for them. Others may
  /// connect with this host all the same. A host whose run changes is cut off
  /// under its old run. See chooseNeighbours() for a choice that does not grow
  /// with the number of hosts.
  /// @param Wanted All of them; this host among them is passed over.
  void setPeers(std::span<const MeshPeer> Wanted);
  /// @brief Sets addresses that are dialled whoever answers. Thread-safe.
  void setSeeds(std::span<const MeshSeed> Wanted);

  /// @brief Sends a message to one peer. Thread-safe; never waits.
  /// @param To The peer.
  /// @param Which The channel.
  /// @param Body The message.
  /// @return Whether it waits to be sent. False when there is no connection
  /// with the host and none is under way, when the queue is full, or when it is
  /// too large; then nothing of it has left.
  [[nodiscard]] bool send(const HostName &To, Channel Which, Json Body);
  /// @brief Sends a message to all connected peers; it is encoded once.
  /// Thread-safe; never waits.
  /// @return To how many it waits to be sent.
  std::size_t broadcast(Channel Which, Json Body);

  /// @brief The connected peers. Thread-safe.
  [[nodiscard]] std::vector<HostName> connected() const;
  /// @brief What was counted. Thread-safe.
  [[nodiscard]] MeshCounters counters() const;

private:
  class State;
  std::unique_ptr<State> Inner;
};

} // namespace coltsfoottrail

#endif
