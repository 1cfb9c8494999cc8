#include "coltsfoottrail/http/server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr milliseconds StreamDuration{300};

Awaitable<void> streamSlowly(Exchange &Call) {
  HttpResponse Head;
  co_await Call.begin(std::move(Head));
  co_await Call.write("part");
  boost::asio::steady_timer Pause(co_await boost::asio::this_coro::executor);
  Pause.expires_after(StreamDuration);
  co_await Pause.async_wait(boost::asio::use_awaitable);
  co_await Call.end();
}

// Guards against requests that are cut off in the last second of a planned
// stop: the head of a stream that began before stopAccepting() does not
// announce that the connection closes, so the client may send its next request
// on it seconds later, and that request is cut when the time for stopping is
// over. The server must close the connection after the stream.
TEST(HttpServer, ClosesTheConnectionAfterAStreamThatBeganBeforeTheStop) {
  IoPool Pool(1);
  HttpServer Server(Pool, "127.0.0.1", 0, ServerLimits{},
                    {streamSlowly, {}, {}});
  boost::asio::io_context Context;
  Tcp::socket Client(Context);
  Client.connect({boost::asio::ip::make_address("127.0.0.1"), Server.port()});
  boost::asio::write(
      Client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  boost::asio::streambuf Received;
  boost::asio::read_until(Client, Received, "part");
  Server.stopAccepting();
  auto Reading = std::async(std::launch::async, [&] {
    boost::system::error_code Problem;
    boost::asio::read(Client, Received, Problem);
    return Problem;
  });
  const bool Closed = Reading.wait_for(seconds(3)) == std::future_status::ready;
  EXPECT_TRUE(Closed);
  if (!Closed)
    Server.cutAll();
  Reading.wait();
  Pool.stop();
}

} // namespace

} // namespace coltsfoottrail
