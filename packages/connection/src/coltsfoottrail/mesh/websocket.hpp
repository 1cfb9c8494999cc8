/// @file
/// The WebSocket protocol without a socket. This header is limited to C++17,
/// since websocketpp does not compile as C++20.
#ifndef COLTSFOOTTRAIL_MESH_WEBSOCKET_HPP
#define COLTSFOOTTRAIL_MESH_WEBSOCKET_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief One end of a WebSocket connection: converts between the byte stream
/// of a connection and messages. Does no I/O and has no clock.
///
/// Not thread-safe: calls and handlers of one object must not overlap. Handlers
/// run within the calls and must not destroy the object.
class WebSocket {
public:
  /// Role of this end.
  enum class Role : std::uint8_t { Client, Server };

  /// Callbacks to the owner.
  struct Handlers {
    /// Bytes to write to the connection, in order.
    std::function<void(std::string_view)> OnOutput;
    /// The opening handshake has succeeded; messages may be sent.
    std::function<void()> OnOpen;
    /// A complete binary message was received.
    std::function<void(const std::string &)> OnMessage;
    /// The connection is closed; called at most once. Arguments: the close code
    /// of the other end, 1006 when it sent none, or 0 when the opening
    /// handshake failed; and the reason, either that of the other end or the
    /// error that this end detected.
    std::function<void(std::uint16_t, const std::string &)> OnClosed;
  };

  /// @brief Creates one end; nothing happens before start().
  /// @param LocalRole Role of this end.
  /// @param MaxMessageBytes Largest message accepted; a larger one closes the
  /// connection.
  /// @param Callbacks Callbacks to the owner.
  WebSocket(Role LocalRole, std::size_t MaxMessageBytes, Handlers Callbacks);
  WebSocket(const WebSocket &) = delete;
  WebSocket &operator=(const WebSocket &) = delete;
  ~WebSocket();

  /// @brief Begins the opening handshake.
  void start();
  /// @brief Processes received bytes.
  /// @param Bytes The next bytes of the stream, split anywhere.
  /// @return Whether more bytes may follow; false once the connection is
  /// closed.
  bool read(std::string_view Bytes);
  /// @brief Sends a binary message.
  /// @param Message The message.
  /// @return Whether it was passed to OnOutput.
  bool send(std::string_view Message);
  /// @brief Sends a ping; the other end replies with a pong automatically.
  void ping();
  /// @brief Begins the closing handshake.
  /// @param Code 1000 or 4000 to 4999.
  /// @param Reason Up to 123 bytes.
  void close(std::uint16_t Code, std::string_view Reason);
  /// @brief Signals that the byte stream has ended.
  void receiveEof();
  /// @brief Whether the connection is closed.
  [[nodiscard]] bool isClosed() const noexcept;
  /// @brief Changes the size of the largest message accepted.
  void setMaxMessageBytes(std::size_t MaxMessageBytes);

private:
  struct State;
  std::unique_ptr<State> Inner;
};

} // namespace coltsfoottrail

#endif
