/// @file
/// One end of a connection between entry hosts, driven by hand.
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

/// Dials a mesh and speaks its protocol step by step; blocking.
class RawPeer {
public:
  /// Connects and ends the WebSocket handshake.
  RawPeer(std::uint16_t Port, internal::Introduction Self, std::string Key)
      : Socket(Io), Proof(internal::Handshake::End::Dialler, std::move(Self),
                          std::move(Key)),
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

  /// Proves the key. Tells whether the other end proved it too.
  [[nodiscard]] bool prove() {
    send(Proof.hello());
    while (!Closed) {
      while (Messages.empty())
        if (Closed || !step())
          return false;
      const auto Done = Proof.take(Messages.front());
      Messages.erase(Messages.begin());
      if (Done.Refused)
        return false;
      if (Done.Reply)
        send(*Done.Reply);
      if (Done.Proved)
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

  /// Reads until the other end has closed.
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
      Protocol.end();
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
  internal::Handshake Proof;
  std::string Output;
  bool Open = false;
  WebSocket Protocol;
};

} // namespace coltsfoottrail

#endif
