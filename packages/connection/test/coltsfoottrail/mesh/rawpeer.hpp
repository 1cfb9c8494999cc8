/// @file
/// A mesh peer that a test drives step by step.
#ifndef COLTSFOOTTRAIL_MESH_RAWPEER_HPP
#define COLTSFOOTTRAIL_MESH_RAWPEER_HPP

#include "coltsfoottrail/mesh/handshake.hpp"
#include "coltsfoottrail/mesh/websocket.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// Dials a mesh and runs its protocol step by step. Calls block.
class RawPeer {
public:
  /// Connects and completes the WebSocket handshake.
  RawPeer(std::uint16_t Port, internal::PeerHello Self, std::string Key)
      : Socket(Io), AuthHandshake(internal::Handshake::End::Dialler,
                                  std::move(Self), std::move(Key)),
        Protocol(WebSocket::Role::Client, std::size_t{1} << 24U,
                 WebSocket::Handlers{
                     [this](std::string_view Bytes) { Output.append(Bytes); },
                     [this] { Open = true; },
                     [this](const std::string &Message) {
                       Messages.push_back(Message);
                     },
                     [this](std::uint16_t Code, const std::string &Reason) {
                       Closed = true;
                       CloseCode = Code;
                       CloseReason = Reason;
                     }}) {
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    Protocol.start();
    while (!Open && !Closed && step()) {
    }
  }

  /// Runs the authentication handshake; returns whether both ends are
  /// authenticated.
  [[nodiscard]] bool authenticate() {
    send(AuthHandshake.hello());
    while (!Closed) {
      while (Messages.empty())
        if (Closed || !step())
          return false;
      const auto Result = AuthHandshake.receive(Messages.front());
      Messages.erase(Messages.begin());
      if (Result.Refused)
        return false;
      if (Result.Reply)
        send(*Result.Reply);
      if (Result.Authenticated)
        return true;
    }
    return false;
  }

  void send(std::string_view Message) {
    (void)Protocol.send(Message);
    write();
  }

  /// Writes bytes that are not WebSocket frames.
  void sendRaw(std::string_view Bytes) {
    Output.append(Bytes);
    write();
  }

  /// Reads until the other end has closed the connection.
  void readToEnd() {
    while (!Closed && step()) {
    }
  }

  std::vector<std::string> Messages;
  bool Closed = false;
  std::uint16_t CloseCode = 0;
  std::string CloseReason;

private:
  bool step() {
    write();
    std::array<char, 4096> Buffer{};
    boost::system::error_code Problem;
    const std::size_t Size =
        Socket.read_some(boost::asio::buffer(Buffer), Problem);
    if (Problem) {
      Protocol.receiveEof();
      Closed = true;
      return false;
    }
    (void)Protocol.read(std::string_view(Buffer.data(), Size));
    write();
    return true;
  }

  void write() {
    boost::system::error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Output), Ignored);
    Output.clear();
  }

  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket;
  internal::Handshake AuthHandshake;
  std::string Output;
  bool Open = false;
  WebSocket Protocol;
};

} // namespace coltsfoottrail

#endif
