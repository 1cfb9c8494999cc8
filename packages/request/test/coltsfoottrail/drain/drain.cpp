#include "coltsfoottrail/dispatch/harness.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

Pool without(const Pool &Whole, std::string_view DataCentre) {
  Pool Left = Whole;
  std::erase_if(Left.Endpoints, [&](const EndpointSpec &Spec) {
    return Spec.DataCentre.Text == DataCentre;
  });
  return Left;
}

bool isIn(std::string_view Key, std::string_view DataCentre,
          const Pool &Whole) {
  return std::ranges::any_of(Whole.Endpoints, [&](const EndpointSpec &Spec) {
    return Spec.Key == Key && Spec.DataCentre.Text == DataCentre;
  });
}

// Guards against requests that start in a data centre minutes after it was
// drained: they waited in the queue, or between two attempts, when the drain
// came into force.
TEST(Drain, QueuedAndRetriedWorkDoesNotGoToADrainedDataCentre) {
  for (std::uint64_t Seed = 0; Seed < 30; ++Seed) {
    DispatcherOptions Limits;
    Limits.Seed = Seed;
    DispatchHarness Test(Limits);
    const Pool Whole = testPool(9, 3);
    Test.configure(Whole, 2);
    std::vector<Ticket> Submitted;
    for (int Count = 0; Count < 60; ++Count) {
      WorkItem Item = Test.item();
      Item.Repeatable = true;
      Item.PrefixHash = static_cast<std::uint64_t>(Count % 5);
      Submitted.push_back(Test.submit(Item, seconds(300)));
    }
    for (int Count = 0; Count < 6; ++Count)
      Test.fail(Test.InFlight.begin()->first, RunState::NotRun);
    ASSERT_GT(Test.Scheduler.waiting(), 40U);
    Test.configure(without(Whole, "dc-1"), 2);
    const std::size_t Before = Test.SentEndpoints.size();
    while (!Test.InFlight.empty() || Test.Scheduler.waiting() > 0) {
      Test.advanceTime(milliseconds(100));
      if (!Test.InFlight.empty())
        Test.answer(Test.InFlight.begin()->first);
    }
    for (std::size_t Index = Before; Index < Test.SentEndpoints.size(); ++Index)
      ASSERT_FALSE(isIn(Test.SentEndpoints[Index], "dc-1", Whole))
          << "seed " << Seed;
    ASSERT_GT(Test.SentEndpoints.size(), Before + 40U);
  }
}

// Guards against a planned drain that cuts off a request in progress.
TEST(Drain, WorkInProgressGoesOnAndItsEndIsTaken) {
  DispatchHarness Test;
  const Pool Whole = testPool(2, 2);
  Test.configure(Whole, 1);
  const Ticket First = Test.submit(Test.item());
  const Ticket Second = Test.submit(Test.item());
  const Ticket Waiting = Test.submit(Test.item());
  const Ticket AtDrained = Test.endpointOf(First) == "e1" ? First : Second;
  Test.configure(without(Whole, "dc-1"), 1);
  EXPECT_EQ(Test.endpointOf(AtDrained), "e1");
  EXPECT_FALSE(Test.refusal(AtDrained));
  Test.answer(AtDrained);
  EXPECT_EQ(Test.endpointOf(Waiting), "")
      << "the freed slot is in the drained data centre";
  Test.answer(AtDrained == First ? Second : First);
  EXPECT_EQ(Test.endpointOf(Waiting), "e0");
}

// Guards against a retry into the drained data centre after a failure there,
// because its endpoint is the only one with a free slot.
TEST(Drain, AttemptThatFailsInTheDrainedDataCentreIsNotRepeatedThere) {
  DispatchHarness Test;
  const Pool Whole = testPool(2, 2);
  Test.configure(Whole, 1);
  const Ticket First = Test.submit(Test.item());
  const Ticket Second = Test.submit(Test.item());
  const Ticket AtDrained = Test.endpointOf(First) == "e1" ? First : Second;
  Test.configure(without(Whole, "dc-1"), 1);
  Test.fail(AtDrained, RunState::NotRun);
  Test.advanceTime(seconds(1));
  EXPECT_EQ(Test.endpointOf(AtDrained), "");
  EXPECT_FALSE(Test.refusal(AtDrained));
  Test.answer(AtDrained == First ? Second : First);
  EXPECT_EQ(Test.endpointOf(AtDrained), "e0");
}

// Guards against full load on a cold endpoint that returns, because its share
// from before the drain is still in force.
TEST(Drain, ReturningEndpointHasNoShareUntilItIsGiven) {
  DispatchHarness Test;
  const Pool Whole = testPool(2, 2);
  Test.configure(Whole, 4);
  std::vector<Ticket> Running;
  for (int Count = 0; Count < 8; ++Count)
    Running.push_back(Test.submit(Test.item()));
  Test.configure(without(Whole, "dc-1"), 4);
  Test.Scheduler.configure(Whole, Test.Now, Test.Output);
  Test.processCommands();
  const std::size_t Before = Test.SentEndpoints.size();
  for (int Count = 0; Count < 8; ++Count)
    static_cast<void>(Test.submit(Test.item()));
  for (const Ticket Id : Running)
    Test.answer(Id);
  for (std::size_t Index = Before; Index < Test.SentEndpoints.size(); ++Index)
    EXPECT_EQ(Test.SentEndpoints[Index], "e0");
  Test.Scheduler.setShare("e1", 1, Test.Now, Test.Output);
  Test.processCommands();
  EXPECT_EQ(Test.SentEndpoints.back(), "e1");
}

} // namespace
} // namespace coltsfoottrail
