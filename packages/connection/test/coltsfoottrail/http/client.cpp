#include "coltsfoottrail/http/client.hpp"

#include "coltsfoottrail/http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

Awaitable<void> sendResponse(Exchange &Call) {
  HttpResponse Response;
  Response.Body = "whole";
  co_await Call.respond(std::move(Response));
}

class HttpClientTest : public ::testing::Test {
protected:
  HttpClientTest()
      : Server(Pool, "127.0.0.1", 0, ServerLimits{}, {sendResponse, {}, {}}),
        Client(Pool.context(0), ClientOptions{}) {}
  ~HttpClientTest() override {
    Pool.stop();
    Client.closeIdle();
  }

  /// @brief Makes a call.
  /// @return Number of idle connections after it.
  std::size_t idleConnectionsAfterCall(ConnectionUse Use) {
    return boost::asio::co_spawn(
               Pool.context(0),
               [this, Use]() -> Awaitable<std::size_t> {
                 EngineAddress Endpoint{"127.0.0.1", Server.port()};
                 HttpRequest Request;
                 (void)co_await Client.fetch(
                     std::move(Endpoint), std::move(Request),
                     BootClock::now() + seconds(5), Use);
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
  EXPECT_EQ(idleConnectionsAfterCall({}), 1U);
  EXPECT_EQ(idleConnectionsAfterCall({}), 1U);
}

// Guards against exhausting an endpoint's connections, which makes it reset
// orders: each call that must not be executed twice opens its own connection,
// and if each left its connection open for reuse, forty a second would add up.
TEST_F(HttpClientTest, KeepsNoMoreIdleConnectionsThanAllowed) {
  EXPECT_EQ(idleConnectionsAfterCall(SingleUseConnection), 0U);
  EXPECT_EQ(idleConnectionsAfterCall({Reuse::Never, 1}), 1U);
  EXPECT_EQ(idleConnectionsAfterCall({Reuse::Never, 1}), 1U);
  EXPECT_EQ(idleConnectionsAfterCall({Reuse::Allowed, 0}), 0U);
}

} // namespace

} // namespace coltsfoottrail
