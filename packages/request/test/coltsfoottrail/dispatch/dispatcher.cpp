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
  EXPECT_NE(Test.endpointOf(First), Test.endpointOf(Second));
  EXPECT_EQ(Test.endpointOf(Third), "");
  EXPECT_EQ(Test.Scheduler.waiting(), 1U);
  const std::string Freed = Test.endpointOf(First);
  Test.answer(First);
  EXPECT_EQ(Test.endpointOf(Third), Freed);
}

// Guards against queueing a request whose estimated wait is longer than its
// deadline, so that its caller waits in vain instead of being refused at once.
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

// Guards against refusing every request while the endpoints are idle, because
// earlier slow answers left an estimate that no new answer corrects.
TEST(Dispatcher, EstimateDoesNotRefuseWhileAnEndpointIdles) {
  DispatchHarness Test;
  Test.configure(testPool(1), 2);
  Test.answer(Test.submit(Test.item()), seconds(50));
  const Ticket Brief = Test.submit(Test.item(), seconds(1));
  EXPECT_EQ(Test.endpointOf(Brief), "e0");
}

TEST(Dispatcher, HopelessOnesAreRefusedSoonAfterEndpointsLeave) {
  DispatchHarness Test;
  Test.configure(testPool(4), 1);
  Test.answer(Test.submit(Test.item()), seconds(1));
  std::vector<Ticket> Submitted;
  Submitted.reserve(24);
  for (int Count = 0; Count < 24; ++Count)
    Submitted.push_back(Test.submit(Test.item(), seconds(9)));
  EXPECT_TRUE(Test.Refused.empty());
  Test.configure(testPool(1), 1);
  Test.advanceTime(milliseconds(200));
  EXPECT_GE(Test.Refused.size(), 12U);
  for (const auto &[Id, Final] : Test.Refused)
    EXPECT_EQ(Final.Why, Reason::DeadlineTooShort);
}

// Guards against holding requests until their deadline while the pool has no
// endpoint.
TEST(Dispatcher, WithoutEndpointsRequestsAreHeldBrieflyThenRefused) {
  DispatchHarness Test;
  const Ticket Early = Test.submit(Test.item());
  Test.advanceTime(milliseconds(1900));
  EXPECT_FALSE(Test.refusal(Early));
  Test.advanceTime(milliseconds(200));
  ASSERT_TRUE(Test.refusal(Early));
  EXPECT_EQ(Test.refusal(Early)->Why, Reason::NoEndpoint);
  const Ticket Late = Test.submit(Test.item());
  EXPECT_EQ(Test.refusal(Late)->State, RunState::NotRun);
  Test.configure(testPool(1), 1);
  EXPECT_EQ(Test.endpointOf(Test.submit(Test.item())), "e0");
}

// Guards against refusing the first request after an idle period as overloaded:
// shares are granted on demand, and all have lapsed although the endpoints are
// idle.
TEST(Dispatcher, FirstRequestAfterAQuietTimeWaitsForItsShare) {
  DispatchHarness Test;
  Test.configure(testPool(2), 4);
  Test.answer(Test.submit(Test.item()), seconds(1));
  Test.configure(testPool(2), 0);
  Test.advanceTime(seconds(3600));
  const Ticket First = Test.submit(Test.item());
  EXPECT_EQ(Test.refusal(First), std::nullopt);
  Test.advanceTime(seconds(7));
  Test.Scheduler.setShare("e0", 1, Test.Now, Test.Output);
  Test.processCommands();
  EXPECT_EQ(Test.endpointOf(First), "e0");
  Test.answer(First);
  Test.configure(testPool(2), 0);
  const Ticket Unlucky = Test.submit(Test.item());
  Test.advanceTime(milliseconds(8100));
  EXPECT_EQ(Test.refusal(Unlucky)->Why, Reason::Overloaded);
  EXPECT_EQ(Test.refusal(Test.submit(Test.item())), std::nullopt);
}

// Guards against refusing a burst by an estimate from the small share that was
// enough for a low rate, although a larger share is granted on demand.
TEST(Dispatcher, BurstIsNotRefusedBeforeSharesHadTimeToCome) {
  DispatchHarness Test;
  Test.configure(testPool(2), 1);
  Test.Scheduler.expectSlots(16.0);
  Test.answer(Test.submit(Test.item()), seconds(1));
  for (int Count = 0; Count < 16; ++Count)
    static_cast<void>(Test.submit(Test.item(), seconds(5)));
  EXPECT_TRUE(Test.Refused.empty());
  Test.configure(testPool(2), 4);
  EXPECT_EQ(Test.InFlight.size(), 8U);
  for (int Count = 0; Count < 16; ++Count)
    static_cast<void>(Test.submit(Test.item(), seconds(4)));
  Test.advanceTime(milliseconds(1100));
  EXPECT_EQ(Test.Refused.size(), 15U)
      << "more shares did not come: eight a second start, and those of the "
         "second burst may wait one second more";
}

// Guards against an overload that persists after the loss of a data centre:
// requests whose prefix is cached at a full endpoint go elsewhere and evict
// other prefixes. They wait for a slot there, no longer than the cache hit
// saves.
TEST(Dispatcher, RequestWaitsBrieflyForAPlaceWhereItsPrefixIs) {
  DispatchHarness Test;
  Test.configure(testPool(2), 1);
  WorkItem Prompt = Test.item();
  Prompt.PrefixHash = 42;
  const Ticket Holder = Test.submit(Prompt);
  const std::string Home = Test.endpointOf(Holder);
  Test.answer(Holder);
  const Ticket Running = Test.submit(Prompt);
  EXPECT_EQ(Test.endpointOf(Running), Home);
  const Ticket Lucky = Test.submit(Prompt);
  EXPECT_EQ(Test.endpointOf(Lucky), "");
  const Ticket Other = Test.submit(Test.item());
  EXPECT_NE(Test.endpointOf(Other), "") << "others do not wait behind it";
  Test.answer(Other);
  Test.advanceTime(milliseconds(200));
  Test.answer(Running);
  EXPECT_EQ(Test.endpointOf(Lucky), Home);
  const Ticket Late = Test.submit(Prompt);
  Test.advanceTime(milliseconds(400));
  EXPECT_NE(Test.endpointOf(Late), "");
  EXPECT_NE(Test.endpointOf(Late), Home)
      << "a cached prefix saves 0.3 s of 1 s here";
}

TEST(Dispatcher, FailedRequestGoesToAnotherEndpointAfterADelay) {
  DispatchHarness Test;
  Test.configure(testPool(3), 4);
  const Ticket Id = Test.submit(Test.item());
  const std::string First = Test.endpointOf(Id);
  Test.fail(Id, RunState::NotRun);
  Test.advanceTime(milliseconds(20));
  EXPECT_NE(Test.endpointOf(Id), "");
  EXPECT_NE(Test.endpointOf(Id), First);
  Test.answer(Id);
  EXPECT_EQ(Test.Scheduler.waiting(), 0U);
}

// Guards against running an order twice because it was sent again after an
// attempt that may have run, and against a refusal that says "not run" although
// an attempt before the last one may have run.
TEST(Dispatcher, FinalRefusalTellsTheLatestOfAllAttempts) {
  DispatchHarness Test(DispatchHarness::savedRetries());
  Test.configure(testPool(3), 4);
  const Ticket Order = Test.submit(Test.item());
  Test.fail(Order, RunState::MayHaveRun, Reason::EndpointCut);
  ASSERT_TRUE(Test.refusal(Order));
  EXPECT_EQ(Test.refusal(Order)->State, RunState::MayHaveRun);
  const Ticket Lookup = Test.submit(lookup());
  Test.fail(Lookup, RunState::MayHaveRun, Reason::EndpointCut);
  for (int Attempt = 0; Attempt < 3; ++Attempt) {
    Test.advanceTime(milliseconds(200));
    ASSERT_NE(Test.endpointOf(Lookup), "");
    Test.fail(Lookup, RunState::NotRun);
  }
  ASSERT_TRUE(Test.refusal(Lookup));
  EXPECT_EQ(Test.refusal(Lookup)->State, RunState::MayHaveRun);
  EXPECT_EQ(Test.refusal(Lookup)->Why, Reason::EndpointFailed);
}

// Guards against a retry storm after the loss of a data centre that overloads
// the remaining ones.
TEST(Dispatcher, EverythingFailsAndSendsStayWithinTheBudget) {
  DispatchHarness Test;
  Test.configure(testPool(30, 3), 100);
  const int RequestCount = 2000;
  const auto FailRunning = [&] {
    std::vector<Ticket> Running;
    for (const auto &[RunningId, Endpoint] : Test.InFlight)
      Running.push_back(RunningId);
    for (const Ticket RunningId : Running)
      Test.fail(RunningId, RunState::MayHaveRun);
  };
  for (int Count = 0; Count < RequestCount; ++Count) {
    const Ticket Id = Test.submit(lookup(), seconds(5));
    Test.advanceTime(milliseconds(5));
    FailRunning();
    static_cast<void>(Id);
  }
  Test.advanceTime(seconds(10));
  FailRunning();
  Test.advanceTime(seconds(10));
  EXPECT_LE(static_cast<double>(Test.SentEndpoints.size()), 1.2 * RequestCount);
  EXPECT_GT(Test.Scheduler.counts().Resends, 100U);
  EXPECT_EQ(Test.Refused.size(), static_cast<std::size_t>(RequestCount));
  EXPECT_EQ(Test.Scheduler.waiting(), 0U);
}

// Guards against cutting a stream because the retry budget is empty while the
// stream still has seconds left.
TEST(Dispatcher, ResumableStreamWaitsForTheBudgetWhileItHasTime) {
  DispatcherOptions Limits;
  Limits.Retries.Budget.Burst = 1.0;
  Limits.Retries.Budget.Ratio = 1.0;
  Limits.Retries.Budget.DataCentreRatio = 1.0;
  DispatchHarness Pool(Limits);
  Pool.configure(testPool(4), 8);
  const auto Cut = [&](Ticket Id) {
    AttemptResult Result;
    Result.State = RunState::MayHaveRun;
    Result.FailureReason = Reason::EndpointCut;
    Result.Resumable = true;
    Pool.finish(Id, Result);
  };
  WorkItem Item = DispatchHarness::item();
  Item.Repeatable = true;
  const Ticket First = Pool.submit(Item, seconds(8));
  const Ticket Second = Pool.submit(Item, seconds(8));
  Cut(First);
  Pool.advanceTime(milliseconds(100));
  EXPECT_FALSE(Pool.endpointOf(First).empty());
  Cut(Second);
  Pool.advanceTime(seconds(3));
  EXPECT_FALSE(Pool.refusal(Second));
  (void)Pool.submit(Item, seconds(8));
  Pool.advanceTime(seconds(1));
  EXPECT_FALSE(Pool.endpointOf(Second).empty());
}

// Guards against a begun stream that finds no retry until its time is over,
// because requests that endpoints refuse take each as it is earned.
TEST(Dispatcher, BegunStreamTakesTheNextRetryBeforeOthers) {
  DispatcherOptions Limits;
  Limits.Retries.Budget = BudgetLimits{0.5, 1.0, 10.0, 0.0, 0.0};
  DispatchHarness Test(Limits);
  Test.configure(testPool(4), 40);
  std::vector<Ticket> Others;
  for (int Count = 0; Count < 20; ++Count)
    Others.push_back(Test.submit(lookup(), seconds(8)));
  const Ticket Begun = Test.submit(lookup(), seconds(8));
  for (const Ticket Other : Others)
    Test.fail(Other, RunState::NotRun, Reason::EndpointRefused);
  Test.advanceTime(milliseconds(100));
  EXPECT_EQ(Test.Scheduler.counts().Resends, 10U) << "the budget is used";
  Test.cutStream(Begun);
  Test.advanceTime(milliseconds(100));
  EXPECT_EQ(Test.endpointOf(Begun), "");
  for (int FirstSend = 0; FirstSend < 2; ++FirstSend)
    static_cast<void>(Test.submit(lookup(), seconds(8)));
  Test.advanceTime(milliseconds(600));
  EXPECT_NE(Test.endpointOf(Begun), "");
  EXPECT_EQ(Test.Scheduler.counts().Resends, 11U);
}

// Guards against sends beyond the retry budget by requests that endpoints have
// refused and that are submitted again.
TEST(Dispatcher, SubmittingAgainDoesNotMakeARetryAFirstSend) {
  DispatcherOptions Limits;
  Limits.Retries.Budget = BudgetLimits{0.5, 1.0, 10.0, 0.0, 0.0};
  DispatchHarness Test(Limits);
  Test.configure(testPool(4), 8);
  WorkItem SentBefore = lookup();
  SentBefore.EarlierSends = 1;
  const Ticket Id = Test.submit(SentBefore, seconds(8));
  Test.advanceTime(milliseconds(100));
  EXPECT_EQ(Test.endpointOf(Id), "");
  EXPECT_FALSE(Test.refusal(Id));
  for (int FirstSend = 0; FirstSend < 2; ++FirstSend)
    static_cast<void>(Test.submit(lookup(), seconds(8)));
  Test.advanceTime(seconds(1));
  EXPECT_NE(Test.endpointOf(Id), "");
  EXPECT_EQ(Test.Scheduler.counts().FirstSends, 2U);
  EXPECT_EQ(Test.Scheduler.counts().Resends, 1U);
  SentBefore.EarlierSends = Limits.Retries.MaxAttempts;
  EXPECT_TRUE(Test.refusal(Test.submit(SentBefore, seconds(8))));
}

// Guards against giving up an attempt that is not followed by another one: too
// little time is left, the attempts are used, or no other endpoint is open.
TEST(Dispatcher, ResendsOnlyInTimeAndWhereAnEndpointIsOpen) {
  DispatchHarness Pool;
  Pool.configure(testPool(2), 8);
  Pool.answer(Pool.submit(lookup()), seconds(4));
  const Ticket Stream = Pool.submit(lookup(), seconds(8));
  const auto MayResend = [&] {
    return Pool.Scheduler.mayResend(Stream, Pool.Now);
  };
  const auto SetShare = [&](std::string_view Endpoint, std::uint32_t Share) {
    Pool.Scheduler.setShare(Endpoint, Share, Pool.Now, Pool.Output);
    Pool.processCommands();
  };
  const std::string First = Pool.endpointOf(Stream);
  const std::string Second = First == "e0" ? "e1" : "e0";
  SetShare(First, 0);
  EXPECT_TRUE(MayResend());
  SetShare(Second, 0);
  EXPECT_FALSE(MayResend());
  SetShare(Second, 8);
  EXPECT_TRUE(MayResend());
  Pool.advanceTime(milliseconds(5'900));
  EXPECT_TRUE(MayResend());
  Pool.advanceTime(milliseconds(200));
  EXPECT_FALSE(MayResend());

  DispatcherOptions OneAttempt;
  OneAttempt.Retries.MaxAttempts = 1;
  DispatchHarness Single(OneAttempt);
  Single.configure(testPool(2), 8);
  const Ticket Last = Single.submit(lookup(), seconds(8));
  EXPECT_FALSE(Single.Scheduler.mayResend(Last, Single.Now));
  Single.answer(Last);
  EXPECT_FALSE(Single.Scheduler.mayResend(Last, Single.Now));
}

/// Options of an entry host of a fleet that has saved up retries.
DispatcherOptions fleetOptions() {
  DispatcherOptions Result;
  EstimatedWaitPolicy Policy;
  Policy.FullByLoad = true;
  Result.Policy = Policy;
  Result.NoEndpointHold = milliseconds(250);
  Result.NoShareHold = milliseconds(250);
  Result.Retries.Budget = BudgetLimits{0.15, 0.2, 10.0, 0.0, 10.0};
  return Result;
}

// Guards against cutting a begun stream whose leader has closed, because its
// pool has no endpoint for some hundred milliseconds.
TEST(Dispatcher, BegunStreamOutlivesAPauseWithoutEndpoints) {
  DispatchHarness Test(fleetOptions());
  Test.configure(testPool(1), 8);
  const Ticket Id = Test.submit(lookup(), seconds(8));
  Test.configure(Pool{}, 0);
  Test.cutStream(Id);
  Test.advanceTime(milliseconds(600));
  EXPECT_FALSE(Test.refusal(Id));
  Test.configure(testPool(3), 8);
  Test.advanceTime(milliseconds(500));
  EXPECT_NE(Test.endpointOf(Id), "");
}

// Guards against holding requests that have not begun, or a begun stream beyond
// its time, while the pool has no endpoint.
TEST(Dispatcher, PauseWithoutEndpointsEndsOtherRequests) {
  DispatchHarness Test(fleetOptions());
  Test.configure(testPool(1), 8);
  const Ticket Begun = Test.submit(lookup(), seconds(3));
  const Ticket Waiting = Test.submit(lookup(), seconds(3));
  Test.configure(Pool{}, 0);
  Test.cutStream(Begun);
  Test.fail(Waiting, RunState::NotRun, Reason::EndpointRefused);
  Test.advanceTime(milliseconds(300));
  EXPECT_TRUE(Test.refusal(Waiting));
  EXPECT_FALSE(Test.refusal(Begun));
  EXPECT_TRUE(Test.refusal(Test.submit(lookup(), seconds(3))));
  EXPECT_FALSE(Test.refusal(Begun));
  Test.advanceTime(seconds(3));
  EXPECT_TRUE(Test.refusal(Begun));
}

// Guards against cutting a begun stream before its time because the whole of
// its answer, most of which its caller has, could no longer be made.
TEST(Dispatcher, BegunStreamWaitsUntilItsDeadline) {
  DispatchHarness Test(fleetOptions());
  Test.configure(testPool(1), 8);
  for (int Count = 0; Count < 50; ++Count)
    Test.answer(Test.submit(lookup(), seconds(8)), seconds(4));
  const Ticket Id = Test.submit(lookup(), seconds(8));
  Test.configure(testPool(1), 0);
  Test.cutStream(Id);
  Test.advanceTime(milliseconds(7'500));
  EXPECT_FALSE(Test.refusal(Id));
  Test.advanceTime(milliseconds(600));
  EXPECT_TRUE(Test.refusal(Id));
}

// Guards against cutting a begun stream because other requests fill the place
// for those that wait.
TEST(Dispatcher, BegunStreamIsHeldBesideAFullQueue) {
  DispatcherOptions Options = fleetOptions();
  Options.MaxWaiting = 1;
  DispatchHarness Test(Options);
  Test.configure(testPool(3), 8);
  const Ticket Other = Test.submit(lookup(), seconds(8));
  const Ticket Begun = Test.submit(lookup(), seconds(8));
  Test.fail(Other, RunState::NotRun, Reason::EndpointRefused);
  Test.cutStream(Begun);
  EXPECT_FALSE(Test.refusal(Begun));
  Test.advanceTime(milliseconds(600));
  EXPECT_NE(Test.endpointOf(Begun), "");
}

// Guards against cutting a begun stream whose leader has closed, because this
// host has no share of the other endpoints for some hundred milliseconds.
TEST(Dispatcher, BegunStreamOutlivesAPauseWithoutShares) {
  DispatchHarness Test(fleetOptions());
  Test.configure(testPool(3), 8);
  const Ticket Id = Test.submit(lookup(), seconds(8));
  Test.configure(testPool(3), 0);
  Test.cutStream(Id);
  Test.advanceTime(milliseconds(600));
  EXPECT_FALSE(Test.refusal(Id));
  Test.configure(testPool(3), 8);
  Test.advanceTime(milliseconds(500));
  EXPECT_NE(Test.endpointOf(Id), "");
}

// Guards against cutting a begun stream because endpoints that are closing
// refuse it as not run, each of which was counted as an attempt.
TEST(Dispatcher, RefusalsDoNotUseUpTheAttemptsOfABegunStream) {
  DispatchHarness Test(fleetOptions());
  Test.configure(testPool(8), 8);
  const Ticket Id = Test.submit(lookup(), seconds(8));
  Test.cutStream(Id);
  for (int Refusal = 0; Refusal < 3; ++Refusal) {
    Test.advanceTime(milliseconds(600));
    ASSERT_NE(Test.endpointOf(Id), "");
    Test.fail(Id, RunState::NotRun, Reason::EndpointRefused);
  }
  Test.advanceTime(milliseconds(600));
  EXPECT_FALSE(Test.refusal(Id));
  EXPECT_NE(Test.endpointOf(Id), "");
}

// Guards against one request that crashes endpoint after endpoint because its
// caller sends it again. Requests in flight beside it are answered.
TEST(Dispatcher, RequestThatCrashesTwoEndpointsIsRefused) {
  DispatchHarness Test(DispatchHarness::savedRetries());
  Test.configure(testPool(5), 4);
  const Ticket Bad = Test.submit(lookup(666));
  const Ticket Good = Test.submit(lookup(1));
  Test.crash(Bad);
  Test.crash(Good);
  Test.advanceTime(milliseconds(50));
  ASSERT_NE(Test.endpointOf(Bad), "");
  ASSERT_NE(Test.endpointOf(Good), "");
  EXPECT_NE(Test.endpointOf(Bad), Test.endpointOf(Good))
      << "suspects are kept apart";
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
  for (const EndpointNotice &Notice : Test.Scheduler.takeNotices(Test.Now))
    Other.Scheduler.observeNotice(Notice, Other.Now);
  EXPECT_EQ(Other.refusal(Other.submit(lookup(666)))->Why, Reason::Quarantined);
  EXPECT_EQ(Other.refusal(Other.submit(lookup(1))), std::nullopt);
}

// Guards against requests with a part that crashes endpoints that wait until
// their deadline, or until an endpoint is free to crash.
TEST(Dispatcher, WaitingRequestsWithARefusedPartAreRefusedAtOnce) {
  const auto WithPart = [](std::uint64_t Fingerprint, PromptPartId Part) {
    WorkItem Item = lookup(Fingerprint);
    Item.SharedParts = {Part};
    return Item;
  };
  constexpr PromptPartId Crashing = 666;
  constexpr PromptPartId Sound = 5;
  DispatchHarness Test(DispatchHarness::savedRetries());
  Test.configure(testPool(8), 4);
  for (std::uint64_t Fingerprint = 1; Fingerprint <= 200; ++Fingerprint)
    Test.answer(Test.submit(WithPart(Fingerprint, Sound)));
  for (std::uint64_t Fingerprint = 1000; Fingerprint < 1003; ++Fingerprint)
    Test.crash(Test.submit(WithPart(Fingerprint, Crashing)));
  Test.configure(Pool{}, 0);
  const Ticket Waiting = Test.submit(WithPart(2000, Crashing));
  const Ticket Other = Test.submit(WithPart(2001, Sound));
  Test.advanceTime(milliseconds(600));
  EXPECT_FALSE(Test.refusal(Waiting));
  Test.Scheduler.reviewEvidence(Test.Now, Test.Output);
  Test.processCommands();
  ASSERT_TRUE(Test.refusal(Waiting));
  EXPECT_EQ(Test.refusal(Waiting)->Why, Reason::PartQuarantined);
  EXPECT_EQ(Test.refusal(Waiting)->State, RunState::NotRun);
  EXPECT_GT(Test.refusal(Waiting)->RetryAfter, milliseconds(1));
  EXPECT_FALSE(Test.refusal(Other));
}

// Guards against blaming a harmless request that was sent to endpoints which
// had crashed before: the connections that were kept to them break at once.
TEST(Dispatcher, ConnectionThatBreaksAtOnceIsNoEvidence) {
  DispatcherOptions Options = fleetOptions();
  Options.CrashLimits.MinTimeInFlight = milliseconds(5);
  DispatchHarness Test(Options);
  Test.configure(testPool(5), 4);
  for (int Loss = 0; Loss < 3; ++Loss)
    Test.crash(Test.submit(lookup(1), seconds(8)));
  EXPECT_EQ(Test.Scheduler.suspects(), 0U);
  const Ticket InFlight = Test.submit(lookup(2), seconds(8));
  Test.advanceTime(milliseconds(10));
  Test.crash(InFlight);
  EXPECT_EQ(Test.Scheduler.suspects(), 1U);
}

TEST(Dispatcher, NewRunInALoadReportIsACrashForWhatWasInFlight) {
  DispatchHarness Test;
  Test.configure(testPool(1), 4);
  Test.Scheduler.observe(LoadReport{"e0", 1, 0, 0, {}}, Test.Now, Test.Output);
  static_cast<void>(Test.submit(lookup(5)));
  Test.Scheduler.observe(LoadReport{"e0", 2, 0, 0, {}}, Test.Now, Test.Output);
  EXPECT_EQ(Test.Scheduler.suspects(), 1U);
}

// Guards against head-of-line blocking by suspects that no endpoint can take at
// present.
TEST(Dispatcher, SuspectsStepAsideForOthers) {
  DispatchHarness Test(DispatchHarness::savedRetries());
  Test.configure(testPool(2), 2);
  std::vector<Ticket> Suspects;
  for (std::uint64_t Fingerprint = 1; Fingerprint <= 2; ++Fingerprint)
    Suspects.push_back(Test.submit(lookup(Fingerprint)));
  for (const Ticket Id : Suspects)
    Test.crash(Id);
  Test.configure(testPool(1), 2);
  Test.advanceTime(seconds(6));
  const Ticket Other = Test.submit(lookup(50));
  EXPECT_EQ(Test.endpointOf(Other), "e0");
  EXPECT_EQ(Test.Scheduler.waiting(), 1U);
  for (const Ticket Id : Suspects)
    if (!Test.endpointOf(Id).empty())
      Test.answer(Id);
  Test.advanceTime(milliseconds(500));
  EXPECT_EQ(Test.Scheduler.waiting(), 0U);
}

// Guards against ejecting healthy endpoints because callers with very short
// deadlines timed out there.
TEST(Dispatcher, ShortDeadlinesDoNotMakeEndpointsLookBroken) {
  DispatchHarness Test;
  Test.configure(testPool(5), 4);
  Test.answer(Test.submit(Test.item()), seconds(1));
  for (int Count = 0; Count < 50; ++Count) {
    const Ticket Id = Test.submit(Test.item());
    AttemptResult Result;
    Result.State = RunState::MayHaveRun;
    Result.FailureReason = Reason::EndpointTimedOut;
    Result.Total = milliseconds(100);
    Test.finish(Id, Result);
  }
  EXPECT_EQ(Test.Scheduler.ejected(), 0U);
}

// For any order of events, every request ends exactly once and none is in
// flight after its end.
class DispatcherProperty : public testing::TestWithParam<std::uint64_t> {
protected:
  void submit() {
    WorkItem Item = lookup(Draw.below(40));
    Item.Repeatable = Draw.below(2) == 0;
    Item.Team = TeamName(std::to_string(Draw.below(3)));
    Submitted.push_back(Test.submit(Item, milliseconds(Draw.below(9000))));
  }
  void end() {
    if (Test.InFlight.empty())
      return;
    const Ticket Id = Test.InFlight.begin()->first;
    const std::uint64_t Outcome = Draw.below(5);
    if (Outcome == 4)
      Test.crash(Id);
    else if (Outcome == 3)
      Test.fail(Id, static_cast<RunState>(Draw.below(2)));
    else
      answer(Id);
  }
  void answer(Ticket Id) {
    Test.answer(Id, milliseconds(1 + Draw.below(2000)));
    EXPECT_TRUE(Finished.insert(Id).second);
  }
  void cancel() {
    const Ticket Id = Submitted[Draw.below(Submitted.size())];
    Test.Scheduler.cancel(Id, Test.Now, Test.Output);
    Test.InFlight.erase(Id);
    Test.processCommands();
    if (!Test.refusal(Id))
      Finished.insert(Id);
  }
  void step() {
    const std::uint64_t Kind = Draw.below(12);
    if (Kind < 5 || Submitted.empty())
      submit();
    else if (Kind < 9)
      end();
    else if (Kind == 9)
      Test.advanceTime(milliseconds(Draw.below(500)));
    else if (Kind == 10)
      Test.configure(testPool(1 + Draw.below(5), 2),
                     static_cast<std::uint32_t>(Draw.below(4)));
    else
      cancel();
  }
  [[nodiscard]] bool ended(Ticket Id) const {
    return Finished.contains(Id) || Test.refusal(Id).has_value();
  }
  [[nodiscard]] static DispatcherOptions limits() {
    DispatcherOptions Limits;
    Limits.MaxWaiting = 20;
    Limits.Seed = GetParam();
    return Limits;
  }

  Random Draw{GetParam()};
  DispatchHarness Test{limits()};
  std::vector<Ticket> Submitted;
  /// Answered or cancelled.
  std::unordered_set<Ticket> Finished;
};

TEST_P(DispatcherProperty, EveryRequestEndsOnceUnderAnyOrder) {
  Test.configure(testPool(4, 2), 2);
  for (int Step = 0; Step < 600; ++Step) {
    step();
    for (const auto &[Id, Endpoint] : Test.InFlight)
      ASSERT_FALSE(ended(Id));
    ASSERT_LE(Test.Scheduler.waiting(), 40U);
  }
  for (int Round = 0; Test.Scheduler.waiting() + Test.InFlight.size() > 0;
       ++Round) {
    ASSERT_LT(Round, 1000);
    Test.advanceTime(seconds(1));
    if (!Test.InFlight.empty())
      answer(Test.InFlight.begin()->first);
  }
  EXPECT_EQ(Finished.size() + Test.Refused.size(), Submitted.size());
  for (const Ticket Id : Submitted)
    EXPECT_TRUE(ended(Id));
}

INSTANTIATE_TEST_SUITE_P(Seeds, DispatcherProperty,
                         testing::Range<std::uint64_t>(0, 40));

} // namespace
} // namespace coltsfoottrail
