/// @file
/// One connection between entry hosts.
#ifndef COLTSFOOTTRAIL_MESH_LINK_HPP
#define COLTSFOOTTRAIL_MESH_LINK_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/mesh/handshake.hpp"
#include "coltsfoottrail/mesh/mesh.hpp"
#include "coltsfoottrail/mesh/outbox.hpp"
#include "coltsfoottrail/mesh/table.hpp"
#include "coltsfoottrail/mesh/websocket.hpp"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <memory>
#include <optional>
#include <string>

namespace coltsfoottrail::internal {

using Tcp = boost::asio::ip::tcp;
using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

class Link;

/// @brief Callbacks of connections; called on the strand of the connection.
class LinkOwner {
public:
  LinkOwner() = default;
  LinkOwner(const LinkOwner &) = delete;
  LinkOwner &operator=(const LinkOwner &) = delete;
  virtual ~LinkOwner() = default;

  /// @brief The other end is authenticated.
  /// @return Why the connection is refused; not set when it is accepted.
  [[nodiscard]] virtual std::optional<PeerRefusal>
  onAuthenticated(Link &Connection) = 0;
  /// @brief A message was received over an authenticated connection.
  virtual void onReceived(Link &Connection, std::string_view Message) = 0;
  /// @brief The connection is closed; called exactly once.
  /// @param Refused Set when one end refused the connection.
  /// @param Reason Text for events.
  virtual void onEnded(Link &Connection, std::optional<PeerRefusal> Refused,
                       const std::string &Reason) = 0;
};

/// @brief Construction parameters of a connection.
struct LinkSetup {
  Handshake::End LocalEnd = Handshake::End::Dialler;
  PeerHello Self;
  std::string Key;
  MeshLimits Limits;
  /// The address to dial; not set for an accepted connection.
  std::optional<DialTarget> Dialled;
  OutboxBounds Bounds;
};

/// @brief One connection between entry hosts: the socket, the WebSocket
/// protocol, the authentication handshake and the queue of outgoing messages.
/// It runs on its own strand.
class Link : public std::enable_shared_from_this<Link> {
public:
  /// @brief Creates a connection; nothing happens before start().
  /// @param NewOwner Receives the callbacks; must outlive the threads of the
  /// I/O context.
  /// @param QueuedBytes Bytes queued for all peers; must outlive them too.
  Link(Tcp::socket NewSocket, Strand LinkStrand, LinkSetup NewSetup,
       LinkOwner &NewOwner, std::atomic<std::size_t> &QueuedBytes);

  /// @brief Sets the identifier. Only before start().
  void setId(LinkId NewId) noexcept { Identifier = NewId; }
  /// @brief Identifier of the connection in this process.
  [[nodiscard]] LinkId id() const noexcept { return Identifier; }
  /// @brief The address that was dialled; not set for an accepted connection.
  [[nodiscard]] const std::optional<DialTarget> &dialled() const noexcept {
    return Setup.Dialled;
  }
  /// @brief The hello of the other end; does not change once authenticated.
  [[nodiscard]] const PeerHello &peerHello() const noexcept {
    return AuthHandshake.peerHello();
  }
  /// @brief Whether the other end is authenticated. Only on the strand.
  [[nodiscard]] bool isAuthenticated() const noexcept { return Authenticated; }
  /// @brief IP address and port of the other end, for events.
  [[nodiscard]] const std::string &remote() const noexcept { return Remote; }

  /// @brief Connects if this end dials, and starts the handshake. Thread-safe.
  void start();
  /// @brief Schedules sending of the queued messages. Thread-safe.
  void scheduleFlush();
  /// @brief Stops sending, and closes after MeshLimits::Linger. Thread-safe.
  void closeLater();
  /// @brief Closes at once and discards further messages from the peer.
  /// Thread-safe.
  void cut(const std::string &Reason);

  /// @brief The queue of outgoing messages. Thread-safe.
  [[nodiscard]] Outbox &outbox() noexcept { return Queue; }
  /// @brief Whether messages from the peer are still delivered: false after
  /// cut(). Thread-safe.
  [[nodiscard]] bool acceptsMessages() const noexcept {
    return AcceptsMessages;
  }

  /// @brief Records that a message was sent or received. Thread-safe.
  void markUsed(TimePoint Now) noexcept { LastUsed = Now; }
  /// @brief When the last message was sent or received. Thread-safe.
  [[nodiscard]] TimePoint lastUsed() const noexcept { return LastUsed; }

private:
  void connect();
  void onWebSocketOpen();
  void onConnected();
  void awaitReadable();
  void read();
  void flush();
  void onWritten(const boost::system::error_code &Problem);
  void fillOutput();
  void fail(const boost::system::error_code &Problem);
  void checkIdle();
  void armIdleTimer();
  void onWebSocketMessage(const std::string &Bytes);
  void refuse(PeerRefusal Refusal);
  void onWebSocketClosed(std::uint16_t Code, const std::string &Reason);
  void beginClose(std::uint16_t Code, const std::string &Reason);
  void end();

  Tcp::socket Socket;
  Strand Executor;
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer LingerTimer;
  LinkSetup Setup;
  LinkOwner &Owner;
  Outbox Queue;
  std::string Remote;
  LinkId Identifier;
  Handshake AuthHandshake;
  WebSocket Protocol;
  std::string Output;
  std::string InFlight;
  TimePoint LastReceived;
  std::optional<PeerRefusal> Refused;
  std::string CloseReason;
  bool Open = false;
  bool Authenticated = false;
  bool Sending = false;
  bool Writing = false;
  bool Closing = false;
  bool Ended = false;
  std::atomic<bool> AcceptsMessages = true;
  std::atomic<TimePoint> LastUsed = TimePoint{};
  std::atomic<bool> FlushPosted = false;
};

} // namespace coltsfoottrail::internal

#endif
