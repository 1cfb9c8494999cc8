// Requests at a host that stops.
#include "harness.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

class StoppingDispatch : public testing::Test {
protected:
  void configure(std::uint32_t Share) { Harness.configure(testPool(1), Share); }
  void stop(StopStage Stage) {
    Harness.Scheduler.stop(Stage, Harness.Now, Harness.Output);
    Harness.processCommands();
  }
  void announce(Duration Left) {
    Harness.Scheduler.announceStop(Harness.Now + Left, Harness.Now,
                                   Harness.Output);
    Harness.processCommands();
  }
  void advance(Duration Span) {
    Harness.advanceTime(Span);
    Harness.Scheduler.advance(Harness.Now, Harness.Output);
    Harness.processCommands();
  }
  void learnServiceTime(Duration Time) {
    for (int Count = 0; Count < 50; ++Count)
      Harness.answer(Harness.submit(DispatchHarness::item()), Time);
  }
  [[nodiscard]] bool isRefused(Ticket Id, RunState State,
                               Reason Why = Reason::Stopping) const {
    const std::optional<Verdict> Final = Harness.refusal(Id);
    return Final && Final->Why == Why && Final->State == State;
  }
  DispatchHarness Harness{DispatchHarness::savedRetries()};
};

// Guards against requests that wait for a slot until the process ends.
TEST_F(StoppingDispatch, RefusesWhatWaits) {
  configure(1);
  const Ticket Running = Harness.submit(DispatchHarness::item());
  const Ticket Waiting = Harness.submit(DispatchHarness::item());
  ASSERT_FALSE(Harness.refusal(Waiting));
  stop(StopStage::NoWaiting);
  EXPECT_TRUE(isRefused(Waiting, RunState::NotRun));
  const Ticket Late = Harness.submit(DispatchHarness::item());
  EXPECT_TRUE(isRefused(Late, RunState::NotRun));
  EXPECT_NE(Harness.endpointOf(Running), "");
  Harness.answer(Running);
  EXPECT_NE(Harness.endpointOf(Harness.submit(DispatchHarness::item())), "");
}

// Guards against a retry that is held beyond the end of the process.
TEST_F(StoppingDispatch, RefusesWhatAnEndpointRefused) {
  configure(1);
  stop(StopStage::NoWaiting);
  const Ticket Id = Harness.submit(DispatchHarness::item());
  Harness.fail(Id, RunState::NotRun, Reason::EndpointRefused);
  EXPECT_TRUE(isRefused(Id, RunState::NotRun));
}

// Guards against streams that are cut although they could go on elsewhere.
TEST_F(StoppingDispatch, StreamsGoOnUntilNothingIsSent) {
  configure(2);
  WorkItem Item = DispatchHarness::item();
  Item.Repeatable = true;
  const Ticket Id = Harness.submit(Item);
  stop(StopStage::NoWaiting);
  Harness.cutStream(Id);
  EXPECT_FALSE(Harness.refusal(Id));
  Harness.advanceTime(seconds(1));
  EXPECT_NE(Harness.endpointOf(Id), "");
  stop(StopStage::NoSending);
  Harness.cutStream(Id);
  EXPECT_TRUE(isRefused(Id, RunState::MayHaveRun, Reason::EndpointCut));
}

// Guards against requests that are begun although they will not end before
// their host does.
TEST_F(StoppingDispatch, BeginsNothingThatEndsAfterTheHost) {
  configure(2);
  learnServiceTime(seconds(3));
  announce(seconds(2));
  EXPECT_TRUE(
      isRefused(Harness.submit(DispatchHarness::item()), RunState::NotRun));
}

// Guards against requests that are refused although they can still end.
TEST_F(StoppingDispatch, BeginsWhatEndsBeforeTheHost) {
  configure(2);
  learnServiceTime(seconds(3));
  announce(seconds(7));
  EXPECT_NE(Harness.endpointOf(Harness.submit(DispatchHarness::item())), "");
}

// Guards against requests that wait at a host until they cannot be served by
// any other either.
TEST_F(StoppingDispatch, RefusesWhatWaitsOnceItCannotEndInTime) {
  configure(1);
  learnServiceTime(seconds(3));
  (void)Harness.submit(DispatchHarness::item());
  const Ticket Waiting = Harness.submit(DispatchHarness::item());
  announce(seconds(7));
  advance(seconds(3));
  EXPECT_FALSE(Harness.refusal(Waiting));
  advance(seconds(2));
  EXPECT_TRUE(isRefused(Waiting, RunState::NotRun));
}

// Guards against the same for requests that an endpoint has refused.
TEST_F(StoppingDispatch, RetriesNothingThatEndsAfterTheHost) {
  configure(2);
  learnServiceTime(seconds(3));
  const Ticket Id = Harness.submit(DispatchHarness::item());
  announce(seconds(2));
  Harness.fail(Id, RunState::NotRun, Reason::EndpointRefused);
  EXPECT_TRUE(isRefused(Id, RunState::NotRun));
}

// Guards against requests that begin to run when their answer can no longer be
// sent.
TEST_F(StoppingDispatch, SendsNothingAtTheEnd) {
  configure(2);
  stop(StopStage::NoSending);
  stop(StopStage::NoWaiting);
  EXPECT_TRUE(
      isRefused(Harness.submit(DispatchHarness::item()), RunState::NotRun));
}

} // namespace
} // namespace coltsfoottrail
