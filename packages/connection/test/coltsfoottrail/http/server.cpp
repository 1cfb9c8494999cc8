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

constexpr milliseconds StreamTime{300};

Awaitable<void> streamForAWhile(Exchange &Call) {
  HttpResponse Head;
  co_await Call.begin(std::move(Head));
  co_await Call.write("part");
  boost::asio::steady_timer Pause(co_await boost::asio::this_coro::executor);
  Pause.expires_after(StreamTime);
  co_await Pause.async_wait(boost::asio::use_awaitable);
  co_await Call.end();
}

// A request is cut off in the last second of a planned stop.
// A stream began before the server stopped to accept, so its head does not say
// that the connection closes; its client sent the next request on it seconds
// later, and that one was cut when the time to stop was used up. The connection
// must close behind the stream.
TEST(HttpServer, ClosesBehindAStreamThatBeganBeforeTheStop) {
  IoPool Pool(1);
  HttpServer Server(Pool, "127.0.0.1", 0, ServerLimits{},
                    {streamForAWhile, {}, {}});
  boost::asio::io_context Context;
  Tcp::socket Client(Context);
  Client.connect({boost::asio::ip::make_address("127.0.0.1"), Server.port()});
  boost::asio::write(
      Client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  boost::asio::streambuf Answer;
  boost::asio::read_until(Client, Answer, "part");
  Server.stopAccepting();
  auto Rest = std::async(std::launch::async, [&] {
    boost::system::error_code Problem;
    boost::asio::read(Client, Answer, Problem);
    return Problem;
  });
  const bool Closed = Rest.wait_for(seconds(3)) == std::future_status::ready;
  EXPECT_TRUE(Closed);
  if (!Closed)
    Server.cutAll();
  Rest.wait();
  Pool.stop();
}

} // namespace

} // namespace coltsfoottrail
