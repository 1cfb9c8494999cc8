#include "coltsfoottrail/http/client.hpp"

#include "coltsfoottrail/http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

Awaitable<void> answer(Exchange &Call) {
  HttpResponse Out;
  Out.Body = "whole";
  co_await Call.respond(std::move(Out));
}

class HttpClientTest : public ::testing::Test {
protected:
  HttpClientTest()
      : Server(Pool, "127.0.0.1", 0, ServerLimits{}, {answer, {}, {}}),
        Client(Pool.context(0), ClientOptions{}) {}
  ~HttpClientTest() override {
    Pool.stop();
    Client.closeIdle();
  }

  /// @return Connections kept after a call.
  std::size_t idleAfter(ConnectionUse Use) {
    return boost::asio::co_spawn(
               Pool.context(0),
               [this, Use]() -> Awaitable<std::size_t> {
                 EngineAddress To{"127.0.0.1", Server.port()};
                 HttpRequest Request;
                 (void)co_await Client.fetch(std::move(To), std::move(Request),
                                             BootClock::now() + seconds(5),
                                             Use);
                 co_return Client.idle();
               },
               boost::asio::use_future)
        .get();
  }

  IoPool Pool{1};
  HttpServer Server;
  HttpClient Client;
};

TEST_F(HttpClientTest, KeepsAConnectionForReuse) {
  EXPECT_EQ(idleAfter({}), 1U);
  EXPECT_EQ(idleAfter({}), 1U);
}

// Orders fill an endpoint's connections and are reset.
// Each call that must not run twice opened a connection of its own and left it
// behind for others, forty a second.
TEST_F(HttpClientTest, LeavesNoMoreBehindThanTold) {
  EXPECT_EQ(idleAfter(SingleUseConnection), 0U);
  EXPECT_EQ(idleAfter({Reuse::Never, 1}), 1U);
  EXPECT_EQ(idleAfter({Reuse::Never, 1}), 1U);
  EXPECT_EQ(idleAfter({Reuse::Allowed, 0}), 0U);
}

} // namespace

} // namespace coltsfoottrail
