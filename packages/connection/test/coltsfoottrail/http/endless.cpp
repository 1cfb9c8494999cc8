// Endpoints whose responses never end, or are none.
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/http/iopool.hpp"

#include "rawendpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

namespace asio = boost::asio;
using test::RawEndpoint;

class EndlessResponse : public testing::Test {
protected:
  using Outcome = std::variant<HttpResponse, CallFailure>;

  ~EndlessResponse() override {
    Pool.stop();
    Client.closeIdle();
  }

  Outcome fetch(RawEndpoint &Endpoint, milliseconds Within) {
    const TimePoint Begin = BootClock::now();
    Outcome Result = asio::co_spawn(Pool.context(0),
                                    Client.fetch(Endpoint.address(),
                                                 HttpRequest{}, Begin + Within),
                                    asio::use_future)
                         .get();
    Took = BootClock::now() - Begin;
    return Result;
  }

  static constexpr milliseconds LongTime{20'000};
  static constexpr milliseconds ShortTime{400};
  /// Beyond a deadline, on a busy machine.
  static constexpr milliseconds Slack{1'000};

  IoPool Pool{1};
  HttpClient Client{Pool.context(0), ClientOptions{}};
  Duration Took{};
};

// Guards against header fields without end, which fill the memory.
TEST_F(EndlessResponse, OfHeaderFieldsIsGivenUp) {
  RawEndpoint Endpoint(
      {"HTTP/1.1 200 OK\r\n", "A: " + std::string(512, 'x') + "\r\n"});
  const Outcome Result = fetch(Endpoint, LongTime);
  ASSERT_TRUE(std::holds_alternative<CallFailure>(Result));
  EXPECT_EQ(std::get<CallFailure>(Result).State, RunState::MayHaveRun);
  EXPECT_LT(Took, seconds(5));
  (void)Endpoint.bytesTaken();
}

// Guards against interim responses without end, each of them complete.
TEST_F(EndlessResponse, OfInterimResponsesIsGivenUp) {
  RawEndpoint Endpoint({"", "HTTP/1.1 102 Processing\r\n\r\n"});
  const Outcome Result = fetch(Endpoint, LongTime);
  EXPECT_TRUE(std::holds_alternative<CallFailure>(Result));
  EXPECT_LT(Took, seconds(5));
  (void)Endpoint.bytesTaken();
}

// Guards against taking an interim response for the response itself.
TEST_F(EndlessResponse, InterimResponsesAreSkipped) {
  RawEndpoint Endpoint({"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 "
                        "Processing\r\n\r\nHTTP/1.1 200 OK\r\n"
                        "Content-Length: 5\r\n\r\nwhole",
                        ""});
  const Outcome Result = fetch(Endpoint, LongTime);
  ASSERT_TRUE(std::holds_alternative<HttpResponse>(Result));
  EXPECT_EQ(std::get<HttpResponse>(Result).Status, 200U);
  EXPECT_EQ(std::get<HttpResponse>(Result).Body, "whole");
  Client.closeIdle();
}

// Guards against bytes that are no response and do not end.
TEST_F(EndlessResponse, OfNoiseIsGivenUp) {
  RawEndpoint Endpoint({"", std::string(1'000, '\x7f')});
  const Outcome Result = fetch(Endpoint, LongTime);
  EXPECT_TRUE(std::holds_alternative<CallFailure>(Result));
  EXPECT_LT(Took, seconds(5));
  (void)Endpoint.bytesTaken();
}

// Guards against a head that comes a byte at a time, so that no read times out.
TEST_F(EndlessResponse, WithASlowHeadEndsAtItsDeadline) {
  RawEndpoint Endpoint({"HTTP/1.1 200 OK\r\nA: ", "x", milliseconds(20)});
  const Outcome Result = fetch(Endpoint, ShortTime);
  EXPECT_TRUE(std::holds_alternative<CallFailure>(Result));
  EXPECT_LT(Took, ShortTime + Slack);
  (void)Endpoint.bytesTaken();
}

// Guards against a body of which there is always more to read, so that no read
// waits until the deadline.
TEST_F(EndlessResponse, WithASteadyBodyEndsAtItsDeadline) {
  RawEndpoint Endpoint(
      {"HTTP/1.1 200 OK\r\n\r\n", std::string(64, 'x'), milliseconds(1)});
  const Outcome Result = fetch(Endpoint, ShortTime);
  EXPECT_TRUE(std::holds_alternative<CallFailure>(Result));
  EXPECT_LT(Took, ShortTime + Slack);
  (void)Endpoint.bytesTaken();
}

// Guards against a body without end that is collected in memory.
TEST_F(EndlessResponse, OfBodyBytesIsGivenUp) {
  RawEndpoint Endpoint(
      {"HTTP/1.1 200 OK\r\n\r\n", std::string(64U << 10U, 'x')});
  const Outcome Result = fetch(Endpoint, LongTime);
  EXPECT_TRUE(std::holds_alternative<CallFailure>(Result));
  EXPECT_LT(Endpoint.bytesTaken(), std::size_t{24} << 20U);
}

} // namespace
} // namespace coltsfoottrail
