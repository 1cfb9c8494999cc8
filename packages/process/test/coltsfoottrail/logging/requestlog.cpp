#include "coltsfoottrail/logging/requestlog.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

// Guards against the log missing the failed request that a user reports. Under
// overload far more requests end than can be logged; failed ones have a limit
// of their own, which routine ones cannot use up.
TEST(RequestLogBudget, RoutineRequestsDoNotUseUpTheLimitOfFailures) {
  RequestLogBudget Budget{RequestLogLimits{2, 3}};
  for (int Index = 0; Index < 10; ++Index)
    (void)Budget.admit(false, Start);
  EXPECT_EQ(Budget.takeDropped(), 8U);
  EXPECT_TRUE(Budget.admit(true, Start));
  EXPECT_TRUE(Budget.admit(true, Start));
  EXPECT_TRUE(Budget.admit(true, Start));
  EXPECT_FALSE(Budget.admit(true, Start));
}

TEST(RequestLogBudget, LimitsApplyToEachSecond) {
  RequestLogBudget Budget{RequestLogLimits{1, 1}};
  EXPECT_TRUE(Budget.admit(false, Start));
  EXPECT_FALSE(Budget.admit(false, Start + milliseconds(999)));
  EXPECT_TRUE(Budget.admit(false, Start + seconds(1)));
}

TEST(EventLine, LeadingFieldsAreWrittenFirst) {
  EXPECT_EQ(eventLine(Event::RequestPlaced, {{"pool", "p"}},
                      {{"request", "r1"}, {"at_ms", 7}}),
            "E1311 request-placed request=r1 at_ms=7 pool=p");
}

} // namespace

} // namespace coltsfoottrail
