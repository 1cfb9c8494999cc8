/// @file
/// The WebSocket protocol without a socket. This header is C++17, since the
/// library behind it does not compile as C++20.
#ifndef COLTSFOOTTRAIL_MESH_WEBSOCKET_HPP
#define COLTSFOOTTRAIL_MESH_WEBSOCKET_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief One end of a WebSocket connection: turns bytes of a connection into
/// messages and back. It does no I/O and has no clock.
///
/// Not thread-safe: calls and handlers of one object must not overlap. Handlers
/// run within the calls and must not destroy the object.
class WebSocket {
public:
  /// Which end this is.
  enum class Role : std::uint8_t { Client, Server };

  /// What the object tells its owner.
  struct Handlers {
    /// Bytes to write to the connection, in order.
    std::function<void(std::string_view)> OnOutput;
    /// The opening handshake is over; messages may be sent.
    std::function<void()> OnOpen;
    /// A whole binary message came.
    std::function<void(const std::string &)> OnMessage;
    /// The connection is over; called once at most. Takes the close code that
    /// the other end gave, or 1006, and the reason: that of the other end, or
    /// what this end found wrong.
    std::function<void(std::uint16_t, const std::string &)> OnClosed;
  };

  /// @brief Makes one end; nothing happens before start().
  /// @param End Which end.
  /// @param MaxMessageBytes Largest message taken; a larger one ends the
  /// connection.
  /// @param Told What to tell.
  WebSocket(Role End, std::size_t MaxMessageBytes, Handlers Told);
  WebSocket(const WebSocket &) = delete;
  WebSocket &operator=(const WebSocket &) = delete;
  ~WebSocket();

  /// @brief Begins the opening handshake.
  void start();
  /// @brief Takes bytes that came over the connection.
  /// @param Bytes Any part of the stream.
  /// @return Whether more bytes may come; false once it is over.
  bool read(std::string_view Bytes);
  /// @brief Sends a binary message.
  /// @param Message The message.
  /// @return Whether it went into OnOutput.
  bool send(std::string_view Message);
  /// @brief Sends a ping; the other end answers by itself.
  void ping();
  /// @brief Begins the closing handshake.
  /// @param Code 1000 or 4000 to 4999.
  /// @param Reason Up to 123 bytes.
  void close(std::uint16_t Code, std::string_view Reason);
  /// @brief Learns that no more bytes will come.
  void end();
  /// @brief Tells whether the connection is over.
  [[nodiscard]] bool isOver() const noexcept;
  /// @brief Changes the largest message taken.
  void setMaxMessageBytes(std::size_t MaxMessageBytes);

private:
  struct State;
  std::unique_ptr<State> Inner;
};

} // namespace coltsfoottrail

#endif
