#include "coltsfoottrail/http/server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace coltsfoottrail {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr seconds ReadTimeout{5};
constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// A client with one connection.
class Client {
public:
  explicit Client(std::uint16_t Port, int ReceiveBuffer = 0) : Socket(Context) {
    Socket.open(Tcp::v4());
    if (ReceiveBuffer > 0)
      Socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBuffer));
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  }
  void send() {
    ErrorCode Ignored;
    asio::write(Socket, asio::buffer(Request), Ignored);
  }
  /// Reads until the bytes received contain a text, the connection ends or the
  /// time is up.
  /// @return What was received.
  std::string readUntil(const std::string &Text) {
    std::string Received;
    asio::async_read(
        Socket, asio::dynamic_buffer(Received),
        [&](const ErrorCode &Problem, std::size_t) -> std::size_t {
          const bool Found = Received.find(Text) != std::string::npos;
          return Problem || Found ? 0U : 4096U;
        },
        [](const ErrorCode &, std::size_t) {});
    Context.restart();
    Context.run_for(ReadTimeout);
    if (Socket.is_open())
      Socket.cancel();
    return Received;
  }
  void close() { Socket.close(); }

private:
  asio::io_context Context;
  Tcp::socket Socket;
};

/// Keeps the thread of a pool busy until it is released.
class BusyThread {
public:
  explicit BusyThread(IoPool &Pool) {
    std::promise<void> Entered;
    asio::post(Pool.context(0), [this, &Entered] {
      Entered.set_value();
      Released.get_future().wait();
    });
    Entered.get_future().wait();
  }
  void release() { Released.set_value(); }

private:
  std::promise<void> Released;
};

/// Stops a server in the middle of one poll of its thread.
class StopInPoll {
public:
  StopInPoll(IoPool &Pool, HttpServer &Server)
      : Stop(Pool.context(0)), Signal(Pool.context(0)) {
    asio::local::connect_pair(Stop, Signal);
    Stop.async_wait(asio::socket_base::wait_read,
                    [&Server](const ErrorCode &) { Server.stopAccepting(); });
  }
  /// What the thread learns of before this call it learns before the stop.
  void request() { asio::write(Signal, asio::buffer("s", 1)); }

private:
  asio::local::stream_protocol::socket Stop;
  asio::local::stream_protocol::socket Signal;
};

Awaitable<void> answer(Exchange &Call) {
  HttpResponse Response;
  Response.Body = "whole";
  co_await Call.respond(std::move(Response));
}

// Guards against connections that are closed as idle although a request has
// arrived.
TEST(HttpServerStop, AnswersRequestsThatHaveArrived) {
  constexpr std::size_t Count = 40;
  IoPool Pool(1);
  HttpServer Server(Pool, "127.0.0.1", 0, ServerLimits{}, {answer, {}, {}});
  std::vector<std::unique_ptr<Client>> Clients;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Clients.push_back(std::make_unique<Client>(Server.port()));
    Clients.back()->send();
    ASSERT_NE(Clients.back()->readUntil("whole"), "");
  }
  StopInPoll Stop(Pool, Server);
  BusyThread Busy(Pool);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Clients[Index]->send();
    if (Index == Count / 2)
      Stop.request();
  }
  Busy.release();
  std::size_t Answered = 0;
  for (const auto &Each : Clients)
    Answered += Each->readUntil("whole").ends_with("whole") ? 1U : 0U;
  EXPECT_EQ(Answered, Count);
  Pool.stop();
}

// Guards against a stop that lasts until the process is killed.
TEST(HttpServerStop, EndsOnceIdleConnectionsAreClosed) {
  IoPool Pool(1);
  HttpServer Server(Pool, "127.0.0.1", 0, ServerLimits{}, {answer, {}, {}});
  Client Idle(Server.port());
  Idle.send();
  ASSERT_NE(Idle.readUntil("whole"), "");
  EXPECT_FALSE(Server.hasEnded());
  Server.stopAccepting();
  EXPECT_EQ(Idle.readUntil("more"), "");
  Idle.close();
  for (int Polls = 0; Polls < 100 && !Server.hasEnded(); ++Polls)
    std::this_thread::sleep_for(milliseconds(5));
  EXPECT_TRUE(Server.hasEnded());
  EXPECT_EQ(Server.closedConnections().Idle, 1U);
  Pool.stop();
}

// Guards against connections that are reset because they were not accepted
// before the stop.
TEST(HttpServerStop, AnswersRequestsOnConnectionsNotYetAccepted) {
  IoPool Pool(1);
  HttpServer Server(Pool, "127.0.0.1", 0, ServerLimits{}, {answer, {}, {}});
  StopInPoll Stop(Pool, Server);
  BusyThread Busy(Pool);
  std::vector<std::unique_ptr<Client>> Clients;
  for (std::size_t Index = 0; Index < 16; ++Index) {
    Clients.push_back(std::make_unique<Client>(Server.port()));
    Clients.back()->send();
    if (Index == 8)
      Stop.request();
  }
  Busy.release();
  for (const auto &Each : Clients)
    EXPECT_NE(Each->readUntil("whole").find("whole"), std::string::npos);
  Pool.stop();
}

// Guards against a reset that takes the end of a response from a client that
// reads slowly and has sent its next request.
TEST(HttpServerStop, ANextRequestDoesNotTakeTheEndOfTheResponse) {
  const std::string Body = std::string(200'000, 'b') + "end";
  std::promise<void> Handling;
  IoPool Pool(1);
  HttpServer Server(Pool, "127.0.0.1", 0, ServerLimits{},
                    {[&](Exchange &Call) -> Awaitable<void> {
                       Handling.set_value();
                       asio::steady_timer Pause(
                           co_await asio::this_coro::executor);
                       Pause.expires_after(milliseconds(100));
                       co_await Pause.async_wait(asio::use_awaitable);
                       HttpResponse Response;
                       Response.Body = Body;
                       co_await Call.respond(std::move(Response));
                     },
                     {},
                     {}});
  Client Slow(Server.port(), 8'192);
  Slow.send();
  Handling.get_future().wait();
  Server.stopAccepting();
  Slow.send();
  std::this_thread::sleep_for(milliseconds(400));
  EXPECT_TRUE(Slow.readUntil("end").ends_with("end"));
  Pool.stop();
}

} // namespace

} // namespace coltsfoottrail
