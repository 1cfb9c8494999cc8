#include "fixture.hpp"

#include "coltsfoottrail/server/events.hpp"
#include "coltsfoottrail/server/refusal.hpp"

namespace coltsfoottrail::testing {
namespace {

// An unexpected exception comes while a request is already at its endpoint. The
// caller must not be told that it has not run.
TEST(Refusal, UnexpectedFailureMayHaveRun) {
  EXPECT_EQ(Json::parse(serverRefusal(500, "internal").Body).at("verdict"),
            "may-have-run");
  EXPECT_EQ(
      Json::parse(serverRefusal(413, "body-too-large").Body).at("verdict"),
      "not-run");
}

TEST(Refusal, TellsVerdictReasonAndWhenToComeBack) {
  const HttpResponse Got = refusalOf(
      Verdict{RunState::NotRun, Reason::Overloaded, milliseconds(1'200)});
  EXPECT_EQ(Got.Status, 503U);
  EXPECT_EQ(fieldOf(Got.Fields, "Retry-After"), "2");
  EXPECT_EQ(Json::parse(Got.Body).at("reason"), "overloaded");
}

// An endpoint dies in the middle of an event. The half event must not reach the
// caller, or the resumed stream would repeat its token.
TEST(EventSplitter, PassesOnWholeEventsAndResumesBehindThem) {
  const std::string First = R"(data: {"choices":[{"text":"close "}]})"
                            "\n\n";
  const std::string Second = R"(data: {"choices":[{"text":"lane "}]})"
                             "\n\n";
  EventSplitter Events(1U << 16U);
  EXPECT_EQ(Events.take(First + Second.substr(0, 9)), First);
  EXPECT_EQ(Events.tokens(), 1U);
  Events.dropPartial();
  EXPECT_EQ(Events.take(Second), Second);
  EXPECT_EQ(Events.text(), "close lane ");
  EXPECT_FALSE(Events.sawEnd());
  EXPECT_EQ(Events.take("data: [DONE]\n\n"), "data: [DONE]\n\n");
  EXPECT_TRUE(Events.sawEnd());
}

TEST(EventSplitter, StreamBeyondTheBoundIsNotResumable) {
  EventSplitter Events(8);
  (void)Events.take("data: {\"choices\":[{\"text\":\"x\"}]}\n\n");
  EXPECT_FALSE(Events.resumable());
  EXPECT_FALSE(Events.text());
}

/// An endpoint that answers a service's calls as it is told.
class Answers : public ClusterFixture {
protected:
  Answers()
      : Endpoint(IoThreads, std::string(Loopback), 0, ServerLimits{},
                 ServerHooks{
                     [this](Exchange &Call) { return answer(Call); }, {}, {}}) {
  }

  void SetUp() override {
    addHost("entry-1", "east");
    ASSERT_TRUE(allReady());
    Json Declared = declaration();
    Declared["services"][0]["instances"][0]["port"] = Endpoint.port();
    applyIntent({{"kind", "apply_declaration"}, {"declaration", Declared}});
  }

  Awaitable<void> answer(Exchange &Call) {
    HttpResponse Out = Told;
    if (Call.request().Target == "/report")
      Out = jsonResponse(200, R"({"run":1})");
    else
      ++Calls;
    co_await Call.respond(std::move(Out));
  }

  HttpResponse Told;
  std::atomic<unsigned> Calls{0};
  HttpServer Endpoint;
};

// A service refuses an order before it runs it, says so, and gives status 400.
// The caller must hear "not run", and its corrected order under the same key
// must not be taken for a repeat of one that ran.
TEST_F(Answers, RefusalOfAServiceIsNotStoredAsAnOutcome) {
  Told = jsonResponse(400, R"({"error":"no such sign"})");
  Told.Fields.push_back({"Coltsfoottrail-Verdict", "not-run"});
  const HttpResponse First =
      call(Hosts[0]->callerPort(), orderRequest("k", "sign 999"));
  EXPECT_EQ(First.Status, 400U) << First.Body;
  EXPECT_EQ(fieldOf(First.Fields, "Coltsfoottrail-Verdict"), "not-run");
  Told = jsonResponse(200, "{}");
  const HttpResponse Again =
      call(Hosts[0]->callerPort(), orderRequest("k", "sign 999"));
  EXPECT_EQ(Again.Status, 200U) << Again.Body;
  EXPECT_EQ(Calls, 2U);
}

TEST_F(Answers, FieldsComeBackWhateverTheirCase) {
  Told.Fields = {{"content-type", "text/plain"}, {"x-park", "7"}};
  Told.Body = "ok";
  const HttpResponse Got = call(Hosts[0]->callerPort(), orderRequest("", "a"));
  EXPECT_EQ(fieldOf(Got.Fields, "Content-Type"), "text/plain");
  EXPECT_EQ(fieldOf(Got.Fields, "X-Park"), "7");
}

} // namespace
} // namespace coltsfoottrail::testing
