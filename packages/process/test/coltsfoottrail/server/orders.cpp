#include "fixture.hpp"

namespace coltsfoottrail::testing {
namespace {

class Orders3 : public Bench {
protected:
  void SetUp() override {
    addHost("entry-1", "east");
    addHost("entry-2", "north");
    addHost("entry-3", "west");
    ASSERT_TRUE(allReady());
    declare();
  }
};

// A foreman's phone loses the answer to a sign order and sends it again; the
// balancer hands it to another entry host. The road must not get two sets of
// barriers: the second host has to find the first one's claim on the log.
TEST_F(Orders3, SameKeyThroughAnotherHostRunsOnce) {
  const HttpResponse First =
      call(Hosts[0]->callerPort(), order("order-17", "close lane 2"));
  ASSERT_EQ(First.Status, 200U) << First.Body;
  const HttpResponse Second =
      call(Hosts[1]->callerPort(), order("order-17", "close lane 2"));
  EXPECT_EQ(Second.Status, 200U) << Second.Body;
  EXPECT_EQ(Second.Body, First.Body);
  EXPECT_EQ(fieldOf(Second.Fields, "Coltsfoottrail-Replayed"), "true");
  EXPECT_EQ(Orders.executionsOf("close lane 2"), 1U);
}

// The same key comes with another order: running it would hide a mistake, and
// answering with the first one's outcome would be a lie.
TEST_F(Orders3, SameKeyWithAnotherBodyIsRefused) {
  ASSERT_EQ(call(Hosts[0]->callerPort(), order("k", "one")).Status, 200U);
  const HttpResponse Other = call(Hosts[2]->callerPort(), order("k", "two"));
  EXPECT_EQ(Other.Status, 422U);
  EXPECT_EQ(Json::parse(Other.Body).at("reason"), "key-reused");
  EXPECT_EQ(Orders.executionsOf("two"), 0U);
}

// The service runs an order and its answer is lost. The caller must hear "may
// have run", also when it asks again through another host, and it never runs a
// second time.
TEST_F(Orders3, LostAnswerIsNeverRunAgain) {
  Orders.setLoseAnswers(true);
  const HttpResponse First = call(Hosts[0]->callerPort(), order("k", "sign"));
  EXPECT_EQ(First.Status, 502U);
  EXPECT_EQ(Json::parse(First.Body).at("verdict"), "may-have-run");
  Orders.setLoseAnswers(false);
  const HttpResponse Again = call(Hosts[1]->callerPort(), order("k", "sign"));
  EXPECT_EQ(Json::parse(Again.Body).at("verdict"), "may-have-run");
  EXPECT_EQ(Orders.executionsOf("sign"), 1U);
}

// The log is down: no claim can be proved. The order must not be sent, and the
// caller hears that it has not run.
TEST_F(Orders3, NoClaimNoRunWhileTheLogIsDown) {
  LogService.setFaults({.Down = true});
  HttpRequest Asked = order("k", "sign");
  Asked.Fields.push_back({"Coltsfoottrail-Deadline-Ms", "400"});
  const HttpResponse Got = call(Hosts[0]->callerPort(), std::move(Asked));
  EXPECT_EQ(Got.Status, 503U);
  EXPECT_EQ(Json::parse(Got.Body).at("verdict"), "not-run");
  EXPECT_EQ(Json::parse(Got.Body).at("reason"), "claim-unavailable");
  EXPECT_EQ(Orders.runs(), 0U);
}

// An order without a key loses its answer; it may have run, so nobody may send
// it again on the caller's behalf.
TEST_F(Orders3, WithoutAKeyItIsSentOnceAtTheMost) {
  Orders.setLoseAnswers(true);
  const HttpResponse Got = call(Hosts[0]->callerPort(), order("", "sign"));
  EXPECT_EQ(Json::parse(Got.Body).at("verdict"), "may-have-run");
  EXPECT_EQ(Orders.executionsOf("sign"), 1U);
}

// The settlement follows the answer by one append, so the outcome may be "in
// progress" for a moment; it is never "not run" or "not known".
TEST_F(Orders3, OutcomeCanBeAskedFor) {
  ASSERT_EQ(call(Hosts[0]->callerPort(), order("k9", "sign")).Status, 200U);
  HttpRequest Asked;
  Asked.Target = "/outcomes/k9";
  Asked.Fields = {{"Authorization", "Bearer " + std::string(TeamCredential)}};
  std::string Verdict = "in-progress";
  EXPECT_TRUE(eventually([&] {
    if (Verdict == "in-progress")
      Verdict = Json::parse(call(Hosts[2]->callerPort(), Asked).Body)
                    .at("verdict")
                    .get<std::string>();
    return Verdict != "in-progress";
  }));
  EXPECT_EQ(Verdict, "ran");
  Asked.Target = "/outcomes/never-used";
  const HttpResponse Unknown = call(Hosts[2]->callerPort(), Asked);
  EXPECT_EQ(Json::parse(Unknown.Body).at("verdict"), "not-known");
}

// A host stops as planned right after it has answered an order. The order's
// repeat at another host must get the answer, not "may have run": the stop
// waits until the outcome is on the log.
TEST_F(Orders3, PlannedStopLeavesTheOutcomeBehind) {
  const HttpResponse First =
      call(Hosts[0]->callerPort(), order("stop-1", "sign"));
  ASSERT_EQ(First.Status, 200U) << First.Body;
  LogService.setFaults({.Delay = milliseconds(60)});
  EXPECT_EQ(Hosts[0]->stop(), 0U);
  LogService.setFaults({});
  const HttpResponse Again =
      call(Hosts[1]->callerPort(), order("stop-1", "sign"));
  EXPECT_EQ(Again.Status, 200U) << Again.Body;
  EXPECT_EQ(Again.Body, First.Body);
  EXPECT_EQ(Orders.executionsOf("sign"), 1U);
}

TEST_F(Orders3, WrongInputIsRefusedAsNotRun) {
  HttpRequest NoCredential = order("k", "x");
  NoCredential.Fields.clear();
  EXPECT_EQ(call(Hosts[0]->callerPort(), NoCredential).Status, 401U);
  HttpRequest Unknown = order("k", "x");
  Unknown.Target = "/services/nothing/here";
  EXPECT_EQ(call(Hosts[0]->callerPort(), Unknown).Status, 404U);
  HttpRequest Large = order("k", std::string(65U << 10U, 'x'));
  EXPECT_EQ(call(Hosts[0]->callerPort(), Large).Status, 413U);
  HttpRequest Deadline = order("k", "x");
  Deadline.Fields.push_back({"Coltsfoottrail-Deadline-Ms", "soon"});
  EXPECT_EQ(call(Hosts[0]->callerPort(), Deadline).Status, 400U);
  EXPECT_EQ(Orders.runs(), 0U);
}

} // namespace
} // namespace coltsfoottrail::testing
