/// @file
/// An endpoint that writes a fixed sequence of bytes, whatever it is asked.
#ifndef COLTSFOOTTRAIL_TEST_HTTP_RAWENDPOINT_HPP
#define COLTSFOOTTRAIL_TEST_HTTP_RAWENDPOINT_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/platform/engine.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

namespace coltsfoottrail::test {

/// @brief What an endpoint writes to each connection, without looking at the
/// request.
struct Script {
  std::string First;
  /// Written again and again until the connection is closed; empty for
  /// nothing.
  std::string Repeated;
  milliseconds Interval{0};
};

/// @brief Writes a script to one connection and counts the bytes that were
/// taken.
class RawEndpoint {
public:
  explicit RawEndpoint(Script Bytes)
      : Content(std::move(Bytes)),
        Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] { run(); }) {}
  ~RawEndpoint() { Thread.join(); }

  [[nodiscard]] EngineAddress address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  /// Waits until the client has closed the connection.
  std::size_t bytesTaken() {
    while (!Closed)
      std::this_thread::sleep_for(milliseconds(5));
    return Taken;
  }

private:
  void run() {
    boost::asio::ip::tcp::socket Peer(Context);
    boost::system::error_code Problem;
    Acceptor.accept(Peer, Problem);
    boost::asio::streambuf Request;
    boost::asio::read_until(Peer, Request, "\r\n\r\n", Problem);
    Taken +=
        boost::asio::write(Peer, boost::asio::buffer(Content.First), Problem);
    while (!Problem && !Content.Repeated.empty()) {
      Taken += boost::asio::write(Peer, boost::asio::buffer(Content.Repeated),
                                  Problem);
      std::this_thread::sleep_for(Content.Interval);
    }
    char Byte = 0;
    if (!Problem)
      Peer.read_some(boost::asio::buffer(&Byte, 1), Problem);
    Closed = true;
  }

  Script Content;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::atomic<std::size_t> Taken{0};
  std::atomic<bool> Closed{false};
  std::thread Thread;
};

} // namespace coltsfoottrail::test

#endif
