#include "fixture.hpp"

namespace coltsfoottrail::testing {
namespace {

class OrdersOnThreeHosts : public ClusterFixture {
protected:
  void SetUp() override {
    addHost("entry-1", "east");
    addHost("entry-2", "north");
    addHost("entry-3", "west");
    ASSERT_TRUE(allReady());
    applyDeclaration();
  }
};

// Guards against running an order twice when a caller loses the response and
// repeats the order through another entry host: the second host must find the
// first one's claim on the log.
TEST_F(OrdersOnThreeHosts, SameKeyThroughAnotherHostRunsOnce) {
  const HttpResponse First =
      call(Hosts[0]->callerPort(), orderRequest("order-17", "close lane 2"));
  ASSERT_EQ(First.Status, 200U) << First.Body;
  const HttpResponse Second =
      call(Hosts[1]->callerPort(), orderRequest("order-17", "close lane 2"));
  EXPECT_EQ(Second.Status, 200U) << Second.Body;
  EXPECT_EQ(Second.Body, First.Body);
  EXPECT_EQ(fieldOf(Second.Fields, "Coltsfoottrail-Replayed"), "true");
  EXPECT_EQ(OrderService.executionsOf("close lane 2"), 1U);
}

// Guards against reuse of a key for another order: it must be neither run nor
// answered with the first order's outcome.
TEST_F(OrdersOnThreeHosts, SameKeyWithAnotherBodyIsRefused) {
  ASSERT_EQ(call(Hosts[0]->callerPort(), orderRequest("k", "one")).Status,
            200U);
  const HttpResponse Other =
      call(Hosts[2]->callerPort(), orderRequest("k", "two"));
  EXPECT_EQ(Other.Status, 422U);
  EXPECT_EQ(Json::parse(Other.Body).at("reason"), "key-reused");
  EXPECT_EQ(OrderService.executionsOf("two"), 0U);
}

// Guards against a second run after the response of the service was lost: the
// caller must get "may have run", also when it repeats the order through
// another host.
TEST_F(OrdersOnThreeHosts, LostAnswerIsNeverRunAgain) {
  OrderService.setLoseAnswers(true);
  const HttpResponse First =
      call(Hosts[0]->callerPort(), orderRequest("k", "sign"));
  EXPECT_EQ(First.Status, 502U);
  EXPECT_EQ(Json::parse(First.Body).at("verdict"), "may-have-run");
  OrderService.setLoseAnswers(false);
  const HttpResponse Repeated =
      call(Hosts[1]->callerPort(), orderRequest("k", "sign"));
  EXPECT_EQ(Json::parse(Repeated.Body).at("verdict"), "may-have-run");
  EXPECT_EQ(OrderService.executionsOf("sign"), 1U);
}

// Guards against sending an order without a proven claim: while the log is
// down, the caller gets "not run".
TEST_F(OrdersOnThreeHosts, NoClaimNoRunWhileTheLogIsDown) {
  LogService.setFaults({.Down = true});
  HttpRequest Request = orderRequest("k", "sign");
  Request.Fields.push_back({"Coltsfoottrail-Deadline-Ms", "400"});
  const HttpResponse Response =
      call(Hosts[0]->callerPort(), std::move(Request));
  EXPECT_EQ(Response.Status, 503U);
  EXPECT_EQ(Json::parse(Response.Body).at("verdict"), "not-run");
  EXPECT_EQ(Json::parse(Response.Body).at("reason"), "claim-unavailable");
  EXPECT_EQ(OrderService.runs(), 0U);
}

// Guards against retrying an order without a key whose response was lost: it
// may have run.
TEST_F(OrdersOnThreeHosts, WithoutAKeyItIsSentOnceAtTheMost) {
  OrderService.setLoseAnswers(true);
  const HttpResponse Response =
      call(Hosts[0]->callerPort(), orderRequest("", "sign"));
  EXPECT_EQ(Json::parse(Response.Body).at("verdict"), "may-have-run");
  EXPECT_EQ(OrderService.executionsOf("sign"), 1U);
}

// The settlement is appended after the response is sent, so the outcome may be
// "in progress" for a moment; it is never "not run" or "not known".
TEST_F(OrdersOnThreeHosts, OutcomeCanBeAskedFor) {
  ASSERT_EQ(call(Hosts[0]->callerPort(), orderRequest("k9", "sign")).Status,
            200U);
  HttpRequest Request;
  Request.Target = "/outcomes/k9";
  Request.Fields = {{"Authorization", "Bearer " + std::string(TeamCredential)}};
  std::string Verdict = "in-progress";
  EXPECT_TRUE(eventually([&] {
    if (Verdict == "in-progress")
      Verdict = Json::parse(call(Hosts[2]->callerPort(), Request).Body)
                    .at("verdict")
                    .get<std::string>();
    return Verdict != "in-progress";
  }));
  EXPECT_EQ(Verdict, "ran");
  Request.Target = "/outcomes/never-used";
  const HttpResponse Unknown = call(Hosts[2]->callerPort(), Request);
  EXPECT_EQ(Json::parse(Unknown.Body).at("verdict"), "not-known");
}

// Guards against losing an outcome when a host performs a planned stop right
// after it answered an order: the stop waits until the outcome is on the log,
// so a repeat at another host gets the stored response instead of "may have
// run".
TEST_F(OrdersOnThreeHosts, PlannedStopLeavesTheOutcomeBehind) {
  const HttpResponse First =
      call(Hosts[0]->callerPort(), orderRequest("stop-1", "sign"));
  ASSERT_EQ(First.Status, 200U) << First.Body;
  LogService.setFaults({.Delay = milliseconds(60)});
  EXPECT_EQ(Hosts[0]->stop(), 0U);
  LogService.setFaults({});
  const HttpResponse Repeated =
      call(Hosts[1]->callerPort(), orderRequest("stop-1", "sign"));
  EXPECT_EQ(Repeated.Status, 200U) << Repeated.Body;
  EXPECT_EQ(Repeated.Body, First.Body);
  EXPECT_EQ(OrderService.executionsOf("sign"), 1U);
}

TEST_F(OrdersOnThreeHosts, WrongInputIsRefusedAsNotRun) {
  HttpRequest NoCredential = orderRequest("k", "x");
  NoCredential.Fields.clear();
  EXPECT_EQ(call(Hosts[0]->callerPort(), NoCredential).Status, 401U);
  HttpRequest Unknown = orderRequest("k", "x");
  Unknown.Target = "/services/nothing/here";
  EXPECT_EQ(call(Hosts[0]->callerPort(), Unknown).Status, 404U);
  HttpRequest Large = orderRequest("k", std::string(65U << 10U, 'x'));
  EXPECT_EQ(call(Hosts[0]->callerPort(), Large).Status, 413U);
  HttpRequest Deadline = orderRequest("k", "x");
  Deadline.Fields.push_back({"Coltsfoottrail-Deadline-Ms", "soon"});
  EXPECT_EQ(call(Hosts[0]->callerPort(), Deadline).Status, 400U);
  EXPECT_EQ(OrderService.runs(), 0U);
}

} // namespace
} // namespace coltsfoottrail::testing
