#include "coltsfoottrail/fleethost/dutyterm.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

TimePoint at(int Ms) { return TimePoint{} + seconds(100) + milliseconds(Ms); }

TEST(DutyTerm, ActsUnderOneNumberUntilTheLeaseEnds) {
  DutyTerm Term(LeaseTimes{});
  EXPECT_FALSE(Term.holds(at(0)));
  EXPECT_EQ(Term.applyGrant({7, true}, at(0), at(4)), DutyChange::Gained);
  EXPECT_EQ(Term.fence(), 7U);
  EXPECT_TRUE(Term.holds(at(1'100)));
  EXPECT_FALSE(Term.holds(at(1'250)));
}

// An engine serves two groups at once.
// The store answers a second late; each renewal is answered after the lease has
// run out. Nobody else had the duty, as the generation tells, yet the driver
// began anew at each answer under the number that it had, and used epochs
// again.
TEST(DutyTerm, GoesOnOverAGapInTheLeaseIfNobodyElseHadTheDuty) {
  DutyTerm Term(LeaseTimes{});
  EXPECT_EQ(Term.applyGrant({7, true}, at(0), at(4)), DutyChange::Gained);
  EXPECT_FALSE(Term.holds(at(1'400)));
  EXPECT_EQ(Term.applyGrant({7, true}, at(400), at(1'500)), DutyChange::None);
  EXPECT_EQ(Term.fence(), 7U);
}

TEST(DutyTerm, BeginsAnewIfSomebodyElseMayHaveHadTheDuty) {
  DutyTerm Term(LeaseTimes{});
  (void)Term.applyGrant({7, true}, at(0), at(4));
  EXPECT_EQ(Term.applyGrant({9, true}, at(2'000), at(2'004)),
            DutyChange::Gained);
  EXPECT_EQ(Term.fence(), 9U);
}

// No group is repaired while the store is slow: the host that drives them may
// act for a tenth of the time only.
TEST(DutyTerm, AsksASlowStoreForALongerLease) {
  DutyTerm Term(LeaseTimes{});
  (void)Term.applyGrant({7, true}, at(0), at(1'000));
  (void)Term.applyGrant({7, true}, at(1'400), at(2'400));
  EXPECT_GE(Term.lease(), milliseconds(4'000));
  EXPECT_TRUE(Term.holds(at(3'900)));
}

// An engine serves two groups at once.
// A host that was cut off from the store for six seconds gains the duty with
// its first call; its records are as old as the cut, and it gives a leader that
// serves to another group before its feed is read again.
TEST(DutyTerm, ActsOnlyOnRecordsReadSinceItBegan) {
  DutyTerm Term(LeaseTimes{});
  (void)Term.applyGrant({7, true}, at(0), at(4));
  EXPECT_FALSE(Term.mayAct(at(600), at(-5'000)));
  EXPECT_FALSE(Term.mayAct(at(600), at(300)));
  EXPECT_TRUE(Term.mayAct(at(600), at(510)));
  (void)Term.applyGrant({7, true}, at(3'600), at(3'604));
  EXPECT_FALSE(Term.mayAct(at(3'700), at(510)));
}

TEST(DutyTerm, EndsWhenAnEngineHasSeenAHigherNumber) {
  DutyTerm Term(LeaseTimes{});
  (void)Term.applyGrant({7, true}, at(0), at(4));
  Term.recordFenced();
  EXPECT_FALSE(Term.holds(at(100)));
  EXPECT_EQ(Term.applyGrant({8, true}, at(400), at(404)), DutyChange::Gained);
  EXPECT_EQ(Term.fence(), 8U);
}

} // namespace

} // namespace coltsfoottrail::test
