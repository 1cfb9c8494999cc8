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

/// @brief What connections tell the mesh; called on their strands.
class LinkOwner {
public:
  LinkOwner() = default;
  LinkOwner(const LinkOwner &) = delete;
  LinkOwner &operator=(const LinkOwner &) = delete;
  virtual ~LinkOwner() = default;

  /// @brief The other end has proved the key.
  /// @return Why the connection is refused nevertheless, if it is.
  [[nodiscard]] virtual std::optional<PeerRefusal> proved(Link &Which) = 0;
  /// @brief A message came over a proved connection.
  virtual void received(Link &Which, std::string_view Message) = 0;
  /// @brief The connection is over; called exactly once.
  /// @param Refused Set when it ended because one end refused it.
  virtual void ended(Link &Which, std::optional<PeerRefusal> Refused,
                     const std::string &Why) = 0;
};

/// @brief What a connection is made with.
struct LinkSetup {
  Handshake::End End = Handshake::End::Dialler;
  Introduction Self;
  std::string Key;
  MeshLimits Limits;
  /// The address to dial; nothing for a connection that was accepted.
  std::optional<DialTarget> Dialled;
  OutboxBounds Bounds;
};

/// @brief One connection between entry hosts: a socket, the WebSocket protocol,
/// the proof of the key, and the messages that wait. Its work runs on its own
/// strand.
class Link : public std::enable_shared_from_this<Link> {
public:
  /// @brief Makes a connection; start() begins it.
  /// @param Listener Must outlive the threads of the io context.
  /// @param QueuedBytes Bytes that wait for all peers; must outlive it too.
  Link(Tcp::socket Opened, Strand On, LinkSetup How, LinkOwner &Listener,
       std::atomic<std::size_t> &QueuedBytes);

  /// @brief Sets the identifier; before start().
  void identify(LinkId Own) noexcept { Identifier = Own; }
  /// @brief Identifier in the mesh.
  [[nodiscard]] LinkId id() const noexcept { return Identifier; }
  /// @brief The address that was dialled, if this end dialled.
  [[nodiscard]] const std::optional<DialTarget> &dialled() const noexcept {
    return Setup.Dialled;
  }
  /// @brief What the other end said it is; fixed once proved.
  [[nodiscard]] const Introduction &other() const noexcept {
    return Proof.other();
  }
  /// @brief Tells whether the other end has proved the key; on the strand.
  [[nodiscard]] bool wasProved() const noexcept { return Proved; }
  /// @brief IP number and port of the other end, for events.
  [[nodiscard]] const std::string &remote() const noexcept { return Remote; }

  /// @brief Begins. Thread-safe.
  void start();
  /// @brief Sends what waits. Thread-safe.
  void wake();
  /// @brief Sends nothing more and closes a little later. Thread-safe.
  void closeLater();
  /// @brief Closes now; nothing more is received from it. Thread-safe.
  void cut(const std::string &Why);

  /// @brief The messages that wait. Thread-safe.
  [[nodiscard]] Outbox &waiting() noexcept { return Waiting; }
  /// @brief Tells whether messages from it still count. Thread-safe.
  [[nodiscard]] bool delivers() const noexcept { return Delivers; }

  /// @brief Notes that a message went either way. Thread-safe.
  void markUsed(TimePoint Now) noexcept { LastUsed = Now; }
  /// @brief When the last message went either way. Thread-safe.
  [[nodiscard]] TimePoint lastUsed() const noexcept { return LastUsed; }

private:
  void connect();
  void greet();
  void opened();
  void watch();
  void read();
  void flush();
  void written(const boost::system::error_code &Problem);
  void fill();
  void fail(const boost::system::error_code &Problem);
  void tick();
  void armTimer();
  void message(const std::string &Bytes);
  void refuse(PeerRefusal Why);
  void closed(std::uint16_t Code, const std::string &Reason);
  void beginClose(std::uint16_t Code, const std::string &Why);
  void end();

  Tcp::socket Socket;
  Strand Executor;
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer LingerTimer;
  LinkSetup Setup;
  LinkOwner &Owner;
  Outbox Waiting;
  std::string Remote;
  LinkId Identifier;
  Handshake Proof;
  WebSocket Protocol;
  std::string Output;
  std::string InFlight;
  TimePoint LastReceived;
  std::optional<PeerRefusal> Refused;
  std::string EndText;
  bool Open = false;
  bool Proved = false;
  bool Sending = false;
  bool Writing = false;
  bool Closing = false;
  bool Ended = false;
  std::atomic<bool> Delivers = true;
  std::atomic<TimePoint> LastUsed = TimePoint{};
  std::atomic<bool> WakePosted = false;
};

} // namespace coltsfoottrail::internal

#endif
