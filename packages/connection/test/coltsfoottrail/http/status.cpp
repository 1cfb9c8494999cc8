// Responses with invalid status codes, and with rare ones.
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

constexpr std::string_view WholeResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

class ResponseStatus : public testing::TestWithParam<unsigned> {
protected:
  using Outcome = std::variant<HttpResponse, CallFailure>;

  ~ResponseStatus() override {
    Pool.stop();
    Client.closeIdle();
  }

  Outcome fetch(const RawEndpoint &Endpoint) {
    const TimePoint Begin = BootClock::now();
    Outcome Result =
        asio::co_spawn(Pool.context(0),
                       Client.fetch(Endpoint.address(), HttpRequest{},
                                    Begin + seconds(20)),
                       asio::use_future)
            .get();
    Took = BootClock::now() - Begin;
    return Result;
  }

  /// A response with the status of the test and a body.
  static std::string responseWith(std::string_view Body) {
    const std::string Digits = std::to_string(1'000 + GetParam()).substr(1);
    return "HTTP/1.1 " + Digits +
           " Odd\r\nContent-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + std::string(Body);
  }

  void expectNoResponse(const Outcome &Result) const {
    const auto *const Failure = std::get_if<CallFailure>(&Result);
    ASSERT_NE(Failure, nullptr);
    EXPECT_EQ(Failure->State, RunState::MayHaveRun);
    EXPECT_EQ(Failure->Why, Reason::EndpointFailed);
    EXPECT_FALSE(Failure->ConnectionLost);
    EXPECT_LT(Took, seconds(5));
  }

  IoPool Pool{1};
  HttpClient Client{Pool.context(0), ClientOptions{}};
  Duration Took{};
};

using InvalidStatus = ResponseStatus;

// Guards against callers that get an invalid status code.
TEST_P(InvalidStatus, IsGivenUp) {
  RawEndpoint Endpoint({responseWith("whole"), ""});
  expectNoResponse(fetch(Endpoint));
}

// Guards against waiting until the deadline for a response after this one.
TEST_P(InvalidStatus, IsGivenUpAtOnce) {
  RawEndpoint Endpoint({responseWith(""), ""});
  expectNoResponse(fetch(Endpoint));
}

// Guards against taking what follows, or the body, for the response.
TEST_P(InvalidStatus, IsNotFollowedByAnother) {
  RawEndpoint Endpoint({responseWith(WholeResponse), ""});
  expectNoResponse(fetch(Endpoint));
}

INSTANTIATE_TEST_SUITE_P(Outside, InvalidStatus,
                         testing::Values(0U, 7U, 99U, 101U, 600U, 999U));

using ValidStatus = ResponseStatus;

// Guards against a status that is rare, and one all the same, being given up.
TEST_P(ValidStatus, IsPassedOn) {
  RawEndpoint Endpoint({responseWith("whole"), ""});
  const Outcome Result = fetch(Endpoint);
  const auto *const Response = std::get_if<HttpResponse>(&Result);
  ASSERT_NE(Response, nullptr);
  EXPECT_EQ(Response->Status, GetParam());
  EXPECT_EQ(Response->Body, "whole");
  Client.closeIdle();
}

INSTANTIATE_TEST_SUITE_P(Inside, ValidStatus,
                         testing::Values(200U, 299U, 302U, 418U, 599U));

} // namespace
} // namespace coltsfoottrail
