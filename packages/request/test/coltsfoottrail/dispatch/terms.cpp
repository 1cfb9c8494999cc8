#include "coltsfoottrail/dispatch/terms.hpp"

#include "batching.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(1000)};

RequestTiming timingOf(Timeliness Status) {
  RequestTiming Timing;
  Timing.Status = Status;
  Timing.Streams = true;
  Timing.ArrivedAt = Start;
  Timing.AnswerBy = Start + seconds(5);
  Timing.TargetLatency = milliseconds(200);
  return Timing;
}

TEST(Terms, LateStreamsLeavePlacesToThoseThatCanBeOnTime) {
  WorkItem Fresh;
  setSchedulingTerms(timingOf(Timeliness::Fresh), Start, Fresh);
  EXPECT_GE(Fresh.Overcommit, 0);
  EXPECT_EQ(Fresh.FirstEventBy, Start + milliseconds(200));
  EXPECT_LT(Fresh.StartBy, Fresh.FirstEventBy);
  for (const Timeliness Status :
       {Timeliness::Resubmitted, Timeliness::Demoted}) {
    WorkItem Late;
    setSchedulingTerms(timingOf(Status), Start, Late);
    EXPECT_LT(Late.Overcommit, 0);
    EXPECT_EQ(Late.Urgency, Priority::Batch);
    EXPECT_EQ(Late.FirstEventBy, TimePoint::max());
    EXPECT_LT(Late.StartBy, Start + seconds(1));
  }
}

TEST(Terms, CallsOfPlainServicesAreNotHeldToAnEngine) {
  RequestTiming Plain = timingOf(Timeliness::Fresh);
  Plain.Streams = false;
  WorkItem Item;
  setSchedulingTerms(Plain, Start, Item);
  EXPECT_EQ(Item.Overcommit, 0);
  EXPECT_EQ(Item.FirstEventBy, TimePoint::max());
}

/// Alternative policy: late requests queue behind all others at an engine.
void queueBehindOthers(const RequestTiming &Timing, TimePoint Now,
                       WorkItem &Item) {
  constexpr std::int32_t BehindOthers = 36;
  setSchedulingTerms(Timing, Now, Item);
  Item.FirstEventBy = TimePoint::max();
  if (Timing.Status != Timeliness::Fresh)
    Item.Overcommit = BehindOthers;
}

std::string summary(const test::CallerTally &Tally) {
  return std::to_string(Tally.Submitted) + " submitted, " +
         std::to_string(Tally.OnTime) + " on time, " +
         std::to_string(Tally.Late) + " late, " +
         std::to_string(Tally.LeftUnanswered) + " left unanswered, " +
         std::to_string(Tally.LeftMidway) + " left midway, " +
         std::to_string(Tally.Refused) + " refused";
}

// Guards against late requests that wait at an engine without a chance to
// start: half of the engines are lost for ten seconds, late requests queue at
// the others behind fresh ones, and their callers leave at the deadline without
// an answer. Callers who are refused at once submit again when there are free
// slots.
TEST(Terms, HardlyAnyCallerWaitsForATurnThatCannotCome) {
  constexpr double MaxUnansweredFraction = 0.01;
  std::size_t Served = 0;
  std::size_t ServedWithQueue = 0;
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    test::BatchingLoad Load;
    Load.Seed = Seed;
    const test::CallerTally WithoutQueue =
        test::BatchingSimulation(Load, setSchedulingTerms).run();
    const test::CallerTally WithQueue =
        test::BatchingSimulation(Load, queueBehindOthers).run();
    EXPECT_LT(double(WithoutQueue.LeftUnanswered),
              MaxUnansweredFraction * double(WithoutQueue.Submitted))
        << "seed " << Seed;
    EXPECT_GT(WithoutQueue.OnTime, WithQueue.OnTime) << "seed " << Seed;
    Served += WithoutQueue.served();
    ServedWithQueue += WithQueue.served();
    std::printf("seed %u: %s; queued behind others: %s\n", unsigned(Seed),
                summary(WithoutQueue).c_str(), summary(WithQueue).c_str());
  }
  EXPECT_GE(Served, ServedWithQueue);
}

} // namespace
} // namespace coltsfoottrail
