#include "coltsfoottrail/http/blocking.hpp"
#include "coltsfoottrail/http/server.hpp"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace coltsfoottrail {

namespace {

constexpr std::uint64_t BodyBytes = 3'000'000;
constexpr milliseconds Timeout{10'000};

class BodyMemory : public testing::Test {
protected:
  BodyMemory()
      : Server(Pool, "127.0.0.1", 0, limits(),
               {[this](Exchange &Call) { return hold(Call); }, {}, {}}) {}
  ~BodyMemory() override { Pool.stop(); }

  static ServerLimits limits() {
    ServerLimits Result;
    Result.MaxBodyBytes = 4'000'000;
    Result.MaxBodyMemory = 2 * BodyBytes + 1;
    return Result;
  }
  Awaitable<void> hold(Exchange &Call) {
    boost::asio::steady_timer Pause(co_await boost::asio::this_coro::executor);
    while (Held) {
      Pause.expires_after(milliseconds(5));
      co_await Pause.async_wait(boost::asio::use_awaitable);
    }
    HttpResponse Response;
    Response.Body = std::to_string(Call.request().Body.size());
    co_await Call.respond(std::move(Response));
  }
  std::future<HttpResponse> post(std::size_t Bytes) {
    return std::async(std::launch::async, [this, Bytes] {
      HttpRequest Request;
      Request.Method = "POST";
      Request.Target = "/";
      Request.Body = std::string(Bytes, 'b');
      auto Outcome = fetchBlocking({"127.0.0.1", Server.port()},
                                   std::move(Request), Timeout);
      auto *const Response = std::get_if<HttpResponse>(&Outcome);
      return Response != nullptr ? std::move(*Response)
                                 : HttpResponse{0, {}, {}};
    });
  }
  void awaitMemory(std::uint64_t Bytes) const {
    for (int Polls = 0; Polls < 2000 && Server.bodyMemory() != Bytes; ++Polls)
      std::this_thread::sleep_for(milliseconds(2));
    EXPECT_EQ(Server.bodyMemory(), Bytes);
  }

  std::atomic<bool> Held{true};
  IoPool Pool{1};
  HttpServer Server;
};

// Guards against a process that is killed, with all its requests, because the
// bodies of a burst take more than its memory.
TEST_F(BodyMemory, RequestsBeyondItAreRefused) {
  auto First = post(BodyBytes);
  auto Second = post(BodyBytes);
  awaitMemory(2 * BodyBytes);
  EXPECT_EQ(post(BodyBytes).get().Status, 503U);
  EXPECT_EQ(Server.bodyMemory(), 2 * BodyBytes);
  auto Small = post(1);
  awaitMemory(2 * BodyBytes + 1);
  Held = false;
  EXPECT_EQ(First.get().Body, std::to_string(BodyBytes));
  EXPECT_EQ(Second.get().Body, std::to_string(BodyBytes));
  EXPECT_EQ(Small.get().Status, 200U);
  awaitMemory(0);
  EXPECT_EQ(post(BodyBytes).get().Status, 200U);
}

} // namespace

} // namespace coltsfoottrail
