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

// Operators take a data centre out; minutes later requests still start there:
// they had waited in the queue, or were between two attempts, when the drain
// came into force.
TEST(Drain, QueuedAndRetriedWorkDoesNotGoToADrainedDataCentre) {
  for (std::uint64_t Seed = 0; Seed < 30; ++Seed) {
    DispatcherOptions Limits;
    Limits.Seed = Seed;
    DispatchHarness Test(Limits);
    const Pool Whole = testPool(9, 3);
    Test.configure(Whole, 2);
    std::vector<Ticket> All;
    for (int Count = 0; Count < 60; ++Count) {
      WorkItem Item = Test.item();
      Item.Repeatable = true;
      Item.PrefixHash = static_cast<std::uint64_t>(Count % 5);
      All.push_back(Test.submit(Item, seconds(300)));
    }
    for (int Count = 0; Count < 6; ++Count)
      Test.fail(Test.At.begin()->first, RunState::NotRun);
    ASSERT_GT(Test.Decides.waiting(), 40U);
    Test.configure(without(Whole, "dc-1"), 2);
    const std::size_t Before = Test.Sent.size();
    while (!Test.At.empty() || Test.Decides.waiting() > 0) {
      Test.pass(milliseconds(100));
      if (!Test.At.empty())
        Test.answer(Test.At.begin()->first);
    }
    for (std::size_t Index = Before; Index < Test.Sent.size(); ++Index)
      ASSERT_FALSE(isIn(Test.Sent[Index], "dc-1", Whole)) << "seed " << Seed;
    ASSERT_GT(Test.Sent.size(), Before + 40U);
  }
}

// A planned drain cuts off a draft that is being written.
TEST(Drain, WorkInProgressGoesOnAndItsEndIsTaken) {
  DispatchHarness Test;
  const Pool Whole = testPool(2, 2);
  Test.configure(Whole, 1);
  const Ticket First = Test.submit(Test.item());
  const Ticket Second = Test.submit(Test.item());
  const Ticket Waits = Test.submit(Test.item());
  const Ticket There = Test.at(First) == "e1" ? First : Second;
  Test.configure(without(Whole, "dc-1"), 1);
  EXPECT_EQ(Test.at(There), "e1");
  EXPECT_FALSE(Test.refusal(There));
  Test.answer(There);
  EXPECT_EQ(Test.at(Waits), "") << "the freed place is in the drained centre";
  Test.answer(There == First ? Second : First);
  EXPECT_EQ(Test.at(Waits), "e0");
}

// A request fails on its way out of the drained data centre and is sent back
// there, since it is the only endpoint with room.
TEST(Drain, AttemptThatFailsInTheDrainedDataCentreIsNotRepeatedThere) {
  DispatchHarness Test;
  const Pool Whole = testPool(2, 2);
  Test.configure(Whole, 1);
  const Ticket First = Test.submit(Test.item());
  const Ticket Second = Test.submit(Test.item());
  const Ticket There = Test.at(First) == "e1" ? First : Second;
  Test.configure(without(Whole, "dc-1"), 1);
  Test.fail(There, RunState::NotRun);
  Test.pass(seconds(1));
  EXPECT_EQ(Test.at(There), "");
  EXPECT_FALSE(Test.refusal(There));
  Test.answer(There == First ? Second : First);
  EXPECT_EQ(Test.at(There), "e0");
}

// At its return a cold endpoint gets the load of the warm one that it was: its
// share from before the drain was still in force.
TEST(Drain, ReturningEndpointHasNoShareUntilItIsGiven) {
  DispatchHarness Test;
  const Pool Whole = testPool(2, 2);
  Test.configure(Whole, 4);
  std::vector<Ticket> Running;
  for (int Count = 0; Count < 8; ++Count)
    Running.push_back(Test.submit(Test.item()));
  Test.configure(without(Whole, "dc-1"), 4);
  Test.Decides.configure(Whole, Test.Now, Test.Out);
  Test.take();
  const std::size_t Before = Test.Sent.size();
  for (int Count = 0; Count < 8; ++Count)
    static_cast<void>(Test.submit(Test.item()));
  for (const Ticket Which : Running)
    Test.answer(Which);
  for (std::size_t Index = Before; Index < Test.Sent.size(); ++Index)
    EXPECT_EQ(Test.Sent[Index], "e0");
  Test.Decides.setShare("e1", 1, Test.Now, Test.Out);
  Test.take();
  EXPECT_EQ(Test.Sent.back(), "e1");
}

} // namespace
} // namespace coltsfoottrail
