#include "coltsfoottrail/logging/requestlog.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

// The one request that a user complains of is not in the log.
// Under overload far more requests end than lines can be written; those that
// failed have a limit of their own, which usual ones do not use up.
TEST(RequestLogBudget, KeepsFailuresBeforeUsualRequests) {
  RequestLogBudget Budget{RequestLogLimits{2, 3}};
  for (int Index = 0; Index < 10; ++Index)
    (void)Budget.admit(false, Start);
  EXPECT_EQ(Budget.takeDropped(), 8U);
  EXPECT_TRUE(Budget.admit(true, Start));
  EXPECT_TRUE(Budget.admit(true, Start));
  EXPECT_TRUE(Budget.admit(true, Start));
  EXPECT_FALSE(Budget.admit(true, Start));
}

TEST(RequestLogBudget, StartsAnewEachSecond) {
  RequestLogBudget Budget{RequestLogLimits{1, 1}};
  EXPECT_TRUE(Budget.admit(false, Start));
  EXPECT_FALSE(Budget.admit(false, Start + milliseconds(999)));
  EXPECT_TRUE(Budget.admit(false, Start + seconds(1)));
}

TEST(EventLine, PutsTheFirstFieldsFirst) {
  EXPECT_EQ(eventLine(Event::RequestPlaced, {{"pool", "p"}},
                      {{"request", "r1"}, {"at_ms", 7}}),
            "E1311 request-placed request=r1 at_ms=7 pool=p");
}

} // namespace

} // namespace coltsfoottrail
