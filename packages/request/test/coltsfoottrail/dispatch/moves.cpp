// Streams that another endpoint is asked to continue while theirs is silent.
#include "harness.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

class Moves : public testing::Test {
protected:
  /// Only the retries of all data centres together are short.
  static DispatcherOptions options() {
    DispatcherOptions Result = DispatchHarness::savedRetries();
    Result.Retries.Budget.DataCentreRatio = 1.0;
    return Result;
  }
  void configure(std::uint32_t Endpoints, std::uint32_t Share) {
    Harness.configure(testPool(Endpoints), Share);
  }
  [[nodiscard]] Ticket openStream(Duration Timeout = seconds(8)) {
    WorkItem Item = DispatchHarness::item();
    Item.Repeatable = true;
    const Ticket Id = Harness.submit(Item, Timeout);
    Harness.Scheduler.responseProgressed(Id, Harness.Now);
    return Id;
  }
  [[nodiscard]] std::optional<SendCommand> beginMove(Ticket Id) {
    return Harness.Scheduler.beginMove(Id, Harness.Now);
  }
  void completeMove(Ticket Id) {
    Harness.Scheduler.completeMove(Id, Harness.Now, Harness.Output);
    Harness.processCommands();
  }
  void abandonMove(Ticket Id, RunState State) {
    AttemptResult Result;
    Result.State = State;
    Result.FailureReason = Reason::EndpointRefused;
    Harness.Scheduler.abandonMove(Id, Result, Harness.Now, Harness.Output);
    Harness.processCommands();
  }
  /// Opens more streams than there are retries for, and moves them if possible.
  /// @return How many moves began.
  std::size_t openAndMoveMany() {
    for (int Count = 0; Count < 50; ++Count)
      Streams.push_back(openStream());
    std::size_t Moved = 0;
    for (const Ticket Id : Streams)
      Moved += beginMove(Id) ? 1U : 0U;
    return Moved;
  }
  void learnServiceTime(Duration Time) {
    for (int Count = 0; Count < 50; ++Count)
      Harness.answer(Harness.submit(DispatchHarness::item()), Time);
  }
  /// Whether a request that fails before its response is sent again soon.
  [[nodiscard]] bool isRetried() {
    WorkItem Item = DispatchHarness::item();
    Item.Repeatable = true;
    const Ticket Id = Harness.submit(Item);
    const std::size_t Sends = Harness.SentEndpoints.size();
    Harness.fail(Id, RunState::MayHaveRun);
    Harness.advanceTime(milliseconds(1'100));
    return Harness.SentEndpoints.size() > Sends;
  }
  DispatchHarness Harness{options()};
  std::vector<Ticket> Streams;
};

// Guards against a stream that is taken from the only endpoint with room.
TEST_F(Moves, NeedAnotherEndpointWithRoom) {
  configure(1, 8);
  const Ticket Only = openStream();
  EXPECT_FALSE(Harness.Scheduler.mayBeginMove(Only, Harness.Now));
  EXPECT_FALSE(beginMove(Only));
  configure(2, 1);
  const Ticket Second = openStream();
  EXPECT_NE(Harness.endpointOf(Second), Harness.endpointOf(Only));
  EXPECT_FALSE(beginMove(Second));
}

// Guards against a stream that is given up and then waits for a retry.
TEST_F(Moves, NeedARetry) {
  configure(2, 100);
  const std::size_t Moved = openAndMoveMany();
  EXPECT_GT(Moved, 0U);
  EXPECT_LT(Moved, Streams.size());
  for (const Ticket Id : Streams)
    EXPECT_FALSE(Harness.refusal(Id));
}

// Guards against retries of requests that have not begun, which take each one
// as it is earned while streams at a silent endpoint wait for it.
TEST_F(Moves, ComeBeforeOtherRetries) {
  configure(3, 100);
  openAndMoveMany();
  EXPECT_FALSE(isRetried());
  EXPECT_TRUE(Harness.Scheduler.mayBeginMove(Streams.back(), Harness.Now));
}

// Guards against retries that are kept for streams that can no longer use them.
TEST_F(Moves, LeaveRetriesToOthersOnceTooLate) {
  configure(3, 100);
  learnServiceTime(seconds(4));
  openAndMoveMany();
  Harness.advanceTime(milliseconds(7'900));
  for (const Ticket Id : Streams)
    EXPECT_FALSE(beginMove(Id));
  EXPECT_TRUE(isRetried());
}

// Guards against a stream that ends because the other endpoint refuses it.
TEST_F(Moves, AbandonedOneLeavesTheFirstAttempt) {
  configure(2, 1);
  const Ticket Id = openStream();
  const std::string First = Harness.endpointOf(Id);
  const std::optional<SendCommand> Other = beginMove(Id);
  ASSERT_TRUE(Other);
  EXPECT_NE(Other->EndpointKey, First);
  EXPECT_FALSE(beginMove(Id));
  abandonMove(Id, RunState::NotRun);
  EXPECT_FALSE(Harness.refusal(Id));
  EXPECT_EQ(Harness.endpointOf(openStream()), Other->EndpointKey);
  Harness.answer(Id);
  EXPECT_EQ(Harness.endpointOf(openStream()), First);
}

// Guards against a slot that stays taken at the endpoint that was left.
TEST_F(Moves, CompletedOneFreesTheFirstEndpoint) {
  configure(2, 1);
  const Ticket Id = openStream();
  const std::string First = Harness.endpointOf(Id);
  const std::optional<SendCommand> Other = beginMove(Id);
  ASSERT_TRUE(Other);
  completeMove(Id);
  EXPECT_EQ(Harness.endpointOf(openStream()), First);
  Harness.answer(Id);
  EXPECT_EQ(Harness.endpointOf(openStream()), Other->EndpointKey);
}

// Guards against slots that stay taken once the caller has left.
TEST_F(Moves, CancelledOneFreesBothEndpoints) {
  configure(2, 1);
  const Ticket Id = openStream();
  ASSERT_TRUE(beginMove(Id));
  Harness.Scheduler.cancel(Id, Harness.Now, Harness.Output);
  EXPECT_NE(Harness.endpointOf(openStream()), "");
  EXPECT_NE(Harness.endpointOf(openStream()), "");
}

// Guards against a stream that a stopping host sends to another endpoint too
// late for its end.
TEST_F(Moves, MustEndBeforeTheHost) {
  configure(2, 8);
  learnServiceTime(seconds(4));
  const Ticket Id = openStream();
  Harness.Scheduler.announceStop(Harness.Now + seconds(3), Harness.Now,
                                 Harness.Output);
  EXPECT_TRUE(Harness.Scheduler.mayBeginMove(Id, Harness.Now));
  Harness.advanceTime(milliseconds(1'500));
  EXPECT_FALSE(beginMove(Id));
  Harness.Scheduler.stop(StopStage::NoSending, Harness.Now, Harness.Output);
  EXPECT_FALSE(beginMove(Id));
  Harness.answer(Id);
}

} // namespace
} // namespace coltsfoottrail
