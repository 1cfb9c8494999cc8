#include "coltsfoottrail/adapter/engines.hpp"
#include "coltsfoottrail/http/blocking.hpp"
#include "coltsfoottrail/standin/engine.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace coltsfoottrail {

namespace {

constexpr milliseconds CallTimeout{5'000};

HttpRequest post(std::string Target, std::string Body) {
  HttpRequest Request;
  Request.Method = "POST";
  Request.Target = std::move(Target);
  Request.Fields = {{"Content-Type", "application/json"}};
  Request.Body = std::move(Body);
  return Request;
}

// Guards against a bound on concurrent requests that seems broken: a request is
// counted after its caller has the whole response and sends the next one.
TEST(EngineStandin, CountsARequestNoLongerThanItsCallerWaits) {
  constexpr int Requests = 1'500;
  IoPool Pool(2);
  EngineStandin Engine(Pool, "127.0.0.1", 0, EngineTraits{});
  const EngineAddress Address{"127.0.0.1", Engine.port()};
  JoinGroup Join;
  Join.Model = ModelName("m");
  Join.Version = VersionName("v1");
  EngineOrder Order;
  Order.Fence = 1;
  Order.What = Join;
  (void)fetchBlocking(Address, post("/orders", writeOrder(Order).dump()),
                      CallTimeout);
  while (Engine.report().Phase != EnginePhase::Ready)
    std::this_thread::sleep_for(milliseconds(10));
  for (const bool Stream : {true, false})
    for (int Index = 0; Index < Requests / 2; ++Index) {
      const nlohmann::json Body{{"model", "m"},
                                {"prompt", "x"},
                                {"max_tokens", 1},
                                {"stream", Stream}};
      const auto Reply = fetchBlocking(
          Address, post("/v1/completions", Body.dump()), CallTimeout);
      ASSERT_TRUE(std::holds_alternative<HttpResponse>(Reply));
      ASSERT_EQ(std::get<HttpResponse>(Reply).Status, 200U);
      ASSERT_EQ(Engine.report().Running, 0U) << "request " << Index;
    }
  EXPECT_EQ(Engine.peakConcurrency(), 1U);
  EXPECT_EQ(Engine.cancelled(), 0U);
  Pool.stop();
}

} // namespace

} // namespace coltsfoottrail
