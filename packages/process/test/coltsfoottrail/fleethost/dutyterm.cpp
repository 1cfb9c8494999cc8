#include "coltsfoottrail/fleethost/dutyterm.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

TimePoint at(int Ms) { return TimePoint{} + seconds(100) + milliseconds(Ms); }

TEST(DutyTerm, ActsUnderOneFencingTokenUntilTheLeaseEnds) {
  DutyTerm Term(LeaseTimes{});
  EXPECT_FALSE(Term.holds(at(0)));
  EXPECT_EQ(Term.applyGrant({7, true}, at(0), at(4)), DutyChange::Gained);
  EXPECT_EQ(Term.fence(), 7U);
  EXPECT_TRUE(Term.holds(at(1'100)));
  EXPECT_FALSE(Term.holds(at(1'250)));
}

// Guards against an engine that serves two groups at once: the store answers a
// second late, so that each renewal is answered after the lease has expired.
// The unchanged generation shows that no other host held the lease; a
// coordinator that started afresh under the same fencing token would reuse
// epochs.
TEST(DutyTerm, GoesOnOverAGapInTheLeaseIfNobodyElseHadTheDuty) {
  DutyTerm Term(LeaseTimes{});
  EXPECT_EQ(Term.applyGrant({7, true}, at(0), at(4)), DutyChange::Gained);
  EXPECT_FALSE(Term.holds(at(1'400)));
  EXPECT_EQ(Term.applyGrant({7, true}, at(400), at(1'500)), DutyChange::None);
  EXPECT_EQ(Term.fence(), 7U);
}

TEST(DutyTerm, BeginsANewTermIfAnotherHostMayHaveHeldTheLease) {
  DutyTerm Term(LeaseTimes{});
  (void)Term.applyGrant({7, true}, at(0), at(4));
  EXPECT_EQ(Term.applyGrant({9, true}, at(2'000), at(2'004)),
            DutyChange::Gained);
  EXPECT_EQ(Term.fence(), 9U);
}

// Guards against a slow store that prevents repairs of groups: with a lease of
// the usual length the coordinator could act for only a tenth of the time.
TEST(DutyTerm, AsksASlowStoreForALongerLease) {
  DutyTerm Term(LeaseTimes{});
  (void)Term.applyGrant({7, true}, at(0), at(1'000));
  (void)Term.applyGrant({7, true}, at(1'400), at(2'400));
  EXPECT_GE(Term.lease(), milliseconds(4'000));
  EXPECT_TRUE(Term.holds(at(3'900)));
}

// Guards against an engine that serves two groups at once: a host that was cut
// off from the store for six seconds gains the lease with its first call. Its
// records are six seconds old, and it gives a serving leader to another group
// before it has read its feed again.
TEST(DutyTerm, ActsOnlyOnRecordsReadSinceItBegan) {
  DutyTerm Term(LeaseTimes{});
  (void)Term.applyGrant({7, true}, at(0), at(4));
  EXPECT_FALSE(Term.mayAct(at(600), at(-5'000)));
  EXPECT_FALSE(Term.mayAct(at(600), at(300)));
  EXPECT_TRUE(Term.mayAct(at(600), at(510)));
  (void)Term.applyGrant({7, true}, at(3'600), at(3'604));
  EXPECT_FALSE(Term.mayAct(at(3'700), at(510)));
}

TEST(DutyTerm, EndsWhenAnEngineHasSeenAHigherFencingToken) {
  DutyTerm Term(LeaseTimes{});
  (void)Term.applyGrant({7, true}, at(0), at(4));
  Term.recordFenced();
  EXPECT_FALSE(Term.holds(at(100)));
  EXPECT_EQ(Term.applyGrant({8, true}, at(400), at(404)), DutyChange::Gained);
  EXPECT_EQ(Term.fence(), 8U);
}

} // namespace

} // namespace coltsfoottrail::test
