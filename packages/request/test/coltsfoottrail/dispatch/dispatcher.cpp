#include "coltsfoottrail/dispatch/dispatcher.hpp"
#include "coltsfoottrail/dispatch/harness.hpp"

#include <gtest/gtest.h>
#include <unordered_set>

namespace coltsfoottrail {
namespace {

WorkItem lookup(std::uint64_t Fingerprint = 0) {
  WorkItem Item = DispatchHarness::item();
  Item.Repeatable = true;
  Item.Fingerprint = Fingerprint;
  return Item;
}

TEST(Dispatcher, SendsWhereThereIsRoomAndKeepsTheRestWaiting) {
  DispatchHarness Test;
  Test.configure(testPool(2), 1);
  const Ticket First = Test.submit(Test.item());
  const Ticket Second = Test.submit(Test.item());
  const Ticket Third = Test.submit(Test.item());
  EXPECT_NE(Test.at(First), Test.at(Second));
  EXPECT_EQ(Test.at(Third), "");
  EXPECT_EQ(Test.Decides.waiting(), 1U);
  const std::string Freed = Test.at(First);
  Test.answer(First);
  EXPECT_EQ(Test.at(Third), Freed);
}

// A foreman waits to the end of his deadline for an answer that could never
// come: the queue in front of him was longer than his time, and that was known
// when he asked.
TEST(Dispatcher, RequestThatCannotMakeItIsRefusedAtOnce) {
  DispatchHarness Test;
  Test.configure(testPool(1), 1);
  Test.answer(Test.submit(Test.item()), seconds(2));
  static_cast<void>(Test.submit(Test.item()));
  static_cast<void>(Test.submit(Test.item()));
  const Ticket Hopeless = Test.submit(Test.item(), milliseconds(7900));
  ASSERT_TRUE(Test.refusal(Hopeless));
  EXPECT_EQ(Test.refusal(Hopeless),
            (Verdict{RunState::NotRun, Reason::DeadlineTooShort,
                     milliseconds(4000)}));
  const Ticket Patient = Test.submit(Test.item(), milliseconds(8100));
  EXPECT_FALSE(Test.refusal(Patient));
}

// Every request is refused for minutes although the endpoints idle: slow
// answers of the morning have left an estimate that nothing corrects.
TEST(Dispatcher, EstimateDoesNotRefuseWhileAnEndpointIdles) {
  DispatchHarness Test;
  Test.configure(testPool(1), 2);
  Test.answer(Test.submit(Test.item()), seconds(50));
  const Ticket Brief = Test.submit(Test.item(), seconds(1));
  EXPECT_EQ(Test.at(Brief), "e0");
}

TEST(Dispatcher, HopelessOnesAreRefusedSoonAfterEndpointsLeave) {
  DispatchHarness Test;
  Test.configure(testPool(4), 1);
  Test.answer(Test.submit(Test.item()), seconds(1));
  std::vector<Ticket> All;
  All.reserve(24);
  for (int Count = 0; Count < 24; ++Count)
    All.push_back(Test.submit(Test.item(), seconds(9)));
  EXPECT_TRUE(Test.Refused.empty());
  Test.configure(testPool(1), 1);
  Test.pass(milliseconds(200));
  EXPECT_GE(Test.Refused.size(), 12U);
  for (const auto &[Which, Final] : Test.Refused)
    EXPECT_EQ(Final.Why, Reason::DeadlineTooShort);
}

// Callers hang to their deadline while the last serving group is down.
TEST(Dispatcher, WithoutEndpointsRequestsAreHeldBrieflyThenRefused) {
  DispatchHarness Test;
  const Ticket Early = Test.submit(Test.item());
  Test.pass(milliseconds(1900));
  EXPECT_FALSE(Test.refusal(Early));
  Test.pass(milliseconds(200));
  ASSERT_TRUE(Test.refusal(Early));
  EXPECT_EQ(Test.refusal(Early)->Why, Reason::NoEndpoint);
  const Ticket Late = Test.submit(Test.item());
  EXPECT_EQ(Test.refusal(Late)->State, RunState::NotRun);
  Test.configure(testPool(1), 1);
  EXPECT_EQ(Test.at(Test.submit(Test.item())), "e0");
}

// The first gate of the morning is refused as overloaded although every
// endpoint idles: shares are given on demand, and in the quiet night all have
// lapsed.
TEST(Dispatcher, FirstRequestAfterAQuietTimeWaitsForItsShare) {
  DispatchHarness Test;
  Test.configure(testPool(2), 4);
  Test.answer(Test.submit(Test.item()), seconds(1));
  Test.configure(testPool(2), 0);
  Test.pass(seconds(3600));
  const Ticket First = Test.submit(Test.item());
  EXPECT_EQ(Test.refusal(First), std::nullopt);
  Test.pass(seconds(7));
  Test.Decides.setShare("e0", 1, Test.Now, Test.Out);
  Test.take();
  EXPECT_EQ(Test.at(First), "e0");
  Test.answer(First);
  Test.configure(testPool(2), 0);
  const Ticket Unlucky = Test.submit(Test.item());
  Test.pass(milliseconds(8100));
  EXPECT_EQ(Test.refusal(Unlucky)->Why, Reason::Overloaded);
  EXPECT_EQ(Test.refusal(Test.submit(Test.item())), std::nullopt);
}

// A school group arrives: the share that served one request an hour says that
// the tenth will wait too long, though a larger one was to be had for asking.
TEST(Dispatcher, BurstIsNotRefusedBeforeSharesHadTimeToCome) {
  DispatchHarness Test;
  Test.configure(testPool(2), 1);
  Test.Decides.expectSlots(16.0);
  Test.answer(Test.submit(Test.item()), seconds(1));
  for (int Count = 0; Count < 16; ++Count)
    static_cast<void>(Test.submit(Test.item(), seconds(5)));
  EXPECT_TRUE(Test.Refused.empty());
  Test.configure(testPool(2), 4);
  EXPECT_EQ(Test.At.size(), 8U);
  for (int Count = 0; Count < 16; ++Count)
    static_cast<void>(Test.submit(Test.item(), seconds(4)));
  Test.pass(milliseconds(1100));
  EXPECT_EQ(Test.Refused.size(), 15U)
      << "more shares did not come: eight a second start, and those of the "
         "second burst may wait one second more";
}

// After the loss of a data centre the pool stays overloaded by load that it
// bore: requests whose prefix is on a full endpoint go elsewhere and push other
// prefixes out. They wait for a place there, no longer than the prefix saves.
TEST(Dispatcher, RequestWaitsBrieflyForAPlaceWhereItsPrefixIs) {
  DispatchHarness Test;
  Test.configure(testPool(2), 1);
  WorkItem Prompt = Test.item();
  Prompt.PrefixHash = 42;
  const Ticket Holder = Test.submit(Prompt);
  const std::string Home = Test.at(Holder);
  Test.answer(Holder);
  const Ticket Running = Test.submit(Prompt);
  EXPECT_EQ(Test.at(Running), Home);
  const Ticket Lucky = Test.submit(Prompt);
  EXPECT_EQ(Test.at(Lucky), "");
  const Ticket Other = Test.submit(Test.item());
  EXPECT_NE(Test.at(Other), "") << "others do not wait behind it";
  Test.answer(Other);
  Test.pass(milliseconds(200));
  Test.answer(Running);
  EXPECT_EQ(Test.at(Lucky), Home);
  const Ticket Late = Test.submit(Prompt);
  Test.pass(milliseconds(400));
  EXPECT_NE(Test.at(Late), "");
  EXPECT_NE(Test.at(Late), Home) << "a cached prefix saves 0.3 s of 1 s here";
}

TEST(Dispatcher, FailedRequestGoesToAnotherEndpointAfterADelay) {
  DispatchHarness Test;
  Test.configure(testPool(3), 4);
  const Ticket Which = Test.submit(Test.item());
  const std::string First = Test.at(Which);
  Test.fail(Which, RunState::NotRun);
  Test.pass(milliseconds(20));
  EXPECT_NE(Test.at(Which), "");
  EXPECT_NE(Test.at(Which), First);
  Test.answer(Which);
  EXPECT_EQ(Test.Decides.waiting(), 0U);
}

// Twice the barriers stand on the road: an order that may have run was sent
// again. And "not run" stood on a refusal although the attempt before the last
// may have run.
TEST(Dispatcher, FinalRefusalTellsTheLatestOfAllAttempts) {
  DispatchHarness Test;
  Test.configure(testPool(3), 4);
  const Ticket Order = Test.submit(Test.item());
  Test.fail(Order, RunState::MayHaveRun, Reason::EndpointCut);
  ASSERT_TRUE(Test.refusal(Order));
  EXPECT_EQ(Test.refusal(Order)->State, RunState::MayHaveRun);
  const Ticket Lookup = Test.submit(lookup());
  Test.fail(Lookup, RunState::MayHaveRun, Reason::EndpointCut);
  for (int Attempt = 0; Attempt < 3; ++Attempt) {
    Test.pass(milliseconds(200));
    ASSERT_NE(Test.at(Lookup), "");
    Test.fail(Lookup, RunState::NotRun);
  }
  ASSERT_TRUE(Test.refusal(Lookup));
  EXPECT_EQ(Test.refusal(Lookup)->State, RunState::MayHaveRun);
  EXPECT_EQ(Test.refusal(Lookup)->Why, Reason::EndpointFailed);
}

// Sends multiply after the loss of a data centre until the others break down.
TEST(Dispatcher, EverythingFailsAndSendsStayWithinTheBudget) {
  DispatchHarness Test;
  Test.configure(testPool(30, 3), 100);
  const int Asked = 2000;
  for (int Count = 0; Count < Asked; ++Count) {
    const Ticket Which = Test.submit(lookup(), seconds(5));
    Test.pass(milliseconds(5));
    std::vector<Ticket> Running;
    for (const auto &[Each, Where] : Test.At)
      Running.push_back(Each);
    for (const Ticket Each : Running)
      Test.fail(Each, RunState::MayHaveRun);
    static_cast<void>(Which);
  }
  Test.pass(seconds(10));
  EXPECT_LE(static_cast<double>(Test.Sent.size()), 1.2 * Asked);
  EXPECT_GT(Test.Decides.counts().Resends, 100U);
  EXPECT_EQ(Test.Refused.size(), static_cast<std::size_t>(Asked));
  EXPECT_EQ(Test.Decides.waiting(), 0U);
}

// Guards against cutting a stream for want of the budget of retries while it
// has seconds left.
TEST(Dispatcher, ResumableStreamWaitsForTheBudgetWhileItHasTime) {
  DispatcherOptions Limits;
  Limits.Retries.Budget.Burst = 1.0;
  Limits.Retries.Budget.Ratio = 1.0;
  Limits.Retries.Budget.DataCentreRatio = 1.0;
  DispatchHarness Pool(Limits);
  Pool.configure(testPool(4), 8);
  const auto Cut = [&](Ticket Which) {
    AttemptResult Result;
    Result.State = RunState::MayHaveRun;
    Result.FailureReason = Reason::EndpointCut;
    Result.Resumable = true;
    Pool.finish(Which, Result);
  };
  WorkItem Item = DispatchHarness::item();
  Item.Repeatable = true;
  const Ticket First = Pool.submit(Item, seconds(8));
  const Ticket Second = Pool.submit(Item, seconds(8));
  Cut(First);
  Pool.pass(milliseconds(100));
  EXPECT_FALSE(Pool.at(First).empty());
  Cut(Second);
  Pool.pass(seconds(3));
  EXPECT_FALSE(Pool.refusal(Second));
  (void)Pool.submit(Item, seconds(8));
  Pool.pass(seconds(1));
  EXPECT_FALSE(Pool.at(Second).empty());
}

// Endpoint after endpoint dies by one request that its caller sends again. Its
// companions are answered.
TEST(Dispatcher, RequestThatCrashesTwoEndpointsIsRefused) {
  DispatchHarness Test;
  Test.configure(testPool(5), 4);
  const Ticket Bad = Test.submit(lookup(666));
  const Ticket Good = Test.submit(lookup(1));
  Test.crash(Bad);
  Test.crash(Good);
  Test.pass(milliseconds(50));
  ASSERT_NE(Test.at(Bad), "");
  ASSERT_NE(Test.at(Good), "");
  EXPECT_NE(Test.at(Bad), Test.at(Good)) << "suspects are kept apart";
  Test.crash(Bad);
  ASSERT_TRUE(Test.refusal(Bad));
  EXPECT_EQ(Test.refusal(Bad)->Why, Reason::Quarantined);
  EXPECT_EQ(Test.refusal(Bad)->State, RunState::MayHaveRun);
  Test.answer(Good);
  EXPECT_FALSE(Test.refusal(Good));
  const Ticket Resent = Test.submit(lookup(666));
  EXPECT_EQ(Test.refusal(Resent),
            (Verdict{RunState::NotRun, Reason::Quarantined, std::nullopt}));
  DispatchHarness Other;
  Other.configure(testPool(5), 4);
  for (const QuarantineNotice &Told : Test.Decides.takeNotices(Test.Now))
    Other.Decides.observeNotice(Told, Other.Now);
  EXPECT_EQ(Other.refusal(Other.submit(lookup(666)))->Why, Reason::Quarantined);
  EXPECT_EQ(Other.refusal(Other.submit(lookup(1))), std::nullopt);
}

TEST(Dispatcher, NewRunInALoadReportIsACrashForWhatWasInFlight) {
  DispatchHarness Test;
  Test.configure(testPool(1), 4);
  Test.Decides.observe(LoadReport{"e0", 1, 0, 0, {}}, Test.Now, Test.Out);
  static_cast<void>(Test.submit(lookup(5)));
  Test.Decides.observe(LoadReport{"e0", 2, 0, 0, {}}, Test.Now, Test.Out);
  EXPECT_EQ(Test.Decides.suspects(), 1U);
}

// Suspects that fit nowhere at present block the queue for everybody else.
TEST(Dispatcher, SuspectsStepAsideForOthers) {
  DispatchHarness Test;
  Test.configure(testPool(2), 2);
  std::vector<Ticket> Suspects;
  for (std::uint64_t Each = 1; Each <= 2; ++Each)
    Suspects.push_back(Test.submit(lookup(Each)));
  for (const Ticket Which : Suspects)
    Test.crash(Which);
  Test.configure(testPool(1), 2);
  Test.pass(seconds(6));
  const Ticket Other = Test.submit(lookup(50));
  EXPECT_EQ(Test.at(Other), "e0");
  EXPECT_EQ(Test.Decides.waiting(), 1U);
  for (const Ticket Which : Suspects)
    if (!Test.at(Which).empty())
      Test.answer(Which);
  Test.pass(milliseconds(500));
  EXPECT_EQ(Test.Decides.waiting(), 0U);
}

// Sound endpoints are left out one after the other because callers with very
// short deadlines gave up on them.
TEST(Dispatcher, ShortDeadlinesDoNotMakeEndpointsLookBroken) {
  DispatchHarness Test;
  Test.configure(testPool(5), 4);
  Test.answer(Test.submit(Test.item()), seconds(1));
  for (int Count = 0; Count < 50; ++Count) {
    const Ticket Which = Test.submit(Test.item());
    AttemptResult Result;
    Result.State = RunState::MayHaveRun;
    Result.FailureReason = Reason::EndpointTimedOut;
    Result.Total = milliseconds(100);
    Test.finish(Which, Result);
  }
  EXPECT_EQ(Test.Decides.ejected(), 0U);
}

// Any order of events: every request ends exactly once, and none is in flight
// after its end.
class DispatcherProperty : public testing::TestWithParam<std::uint64_t> {
protected:
  void submit() {
    WorkItem Item = lookup(Draw.below(40));
    Item.Repeatable = Draw.below(2) == 0;
    Item.Team = TeamName(std::to_string(Draw.below(3)));
    All.push_back(Test.submit(Item, milliseconds(Draw.below(9000))));
  }
  void end() {
    if (Test.At.empty())
      return;
    const Ticket Which = Test.At.begin()->first;
    const std::uint64_t How = Draw.below(5);
    if (How == 4)
      Test.crash(Which);
    else if (How == 3)
      Test.fail(Which, static_cast<RunState>(Draw.below(2)));
    else
      answer(Which);
  }
  void answer(Ticket Which) {
    Test.answer(Which, milliseconds(1 + Draw.below(2000)));
    EXPECT_TRUE(Gone.insert(Which).second);
  }
  void cancel() {
    const Ticket Which = All[Draw.below(All.size())];
    Test.Decides.cancel(Which, Test.Now, Test.Out);
    Test.At.erase(Which);
    Test.take();
    if (!Test.refusal(Which))
      Gone.insert(Which);
  }
  void step() {
    const std::uint64_t Kind = Draw.below(12);
    if (Kind < 5 || All.empty())
      submit();
    else if (Kind < 9)
      end();
    else if (Kind == 9)
      Test.pass(milliseconds(Draw.below(500)));
    else if (Kind == 10)
      Test.configure(testPool(1 + Draw.below(5), 2),
                     static_cast<std::uint32_t>(Draw.below(4)));
    else
      cancel();
  }
  [[nodiscard]] bool ended(Ticket Which) const {
    return Gone.contains(Which) || Test.refusal(Which).has_value();
  }
  [[nodiscard]] static DispatcherOptions limits() {
    DispatcherOptions Limits;
    Limits.MaxWaiting = 20;
    Limits.Seed = GetParam();
    return Limits;
  }

  Random Draw{GetParam()};
  DispatchHarness Test{limits()};
  std::vector<Ticket> All;
  /// Answered or cancelled.
  std::unordered_set<Ticket> Gone;
};

TEST_P(DispatcherProperty, EveryRequestEndsOnceUnderAnyOrder) {
  Test.configure(testPool(4, 2), 2);
  for (int Step = 0; Step < 600; ++Step) {
    step();
    for (const auto &[Which, Where] : Test.At)
      ASSERT_FALSE(ended(Which));
    ASSERT_LE(Test.Decides.waiting(), 40U);
  }
  for (int Round = 0; Test.Decides.waiting() + Test.At.size() > 0; ++Round) {
    ASSERT_LT(Round, 1000);
    Test.pass(seconds(1));
    if (!Test.At.empty())
      answer(Test.At.begin()->first);
  }
  EXPECT_EQ(Gone.size() + Test.Refused.size(), All.size());
  for (const Ticket Which : All)
    EXPECT_TRUE(ended(Which));
}

INSTANTIATE_TEST_SUITE_P(Seeds, DispatcherProperty,
                         testing::Range<std::uint64_t>(0, 40));

} // namespace
} // namespace coltsfoottrail
