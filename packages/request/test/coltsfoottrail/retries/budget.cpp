#include "coltsfoottrail/retries/budget.hpp"

#include "coltsfoottrail/core/random.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

// Any pattern of first sends and wishes to send again, over any data centres:
// the sends stay below the ratio, in all and for each data centre.
TEST(RetryBudgetProperty, SendsStayBelowTheRatio) {
  for (std::uint64_t Seed = 0; Seed < 100; ++Seed) {
    Random Draw(Seed);
    const BudgetLimits Limits;
    RetryBudget Budget(Limits);
    std::vector<double> First(3, 0.0);
    std::vector<double> Again(3, 0.0);
    for (int Step = 0; Step < 3000; ++Step) {
      const std::size_t DataCentre = Draw.below(3);
      if (Draw.below(2) == 0) {
        Budget.recordFirstSend(DataCentre);
        First[DataCentre] += 1.0;
      } else if (Budget.take(DataCentre)) {
        Again[DataCentre] += 1.0;
      }
    }
    const double FirstAll = First[0] + First[1] + First[2];
    const double AgainAll = Again[0] + Again[1] + Again[2];
    ASSERT_LE(AgainAll, Limits.Ratio * FirstAll + Limits.Burst);
    for (std::size_t Index = 0; Index < 3; ++Index)
      ASSERT_LE(Again[Index],
                Limits.DataCentreRatio * First[Index] + Limits.Burst);
  }
}

// An outage of a data centre is followed by more retries than the platform
// allows for all entry hosts together.
// Seventy hosts have each saved up the burst of one; told how many they are,
// they keep to their parts of it, also of what was saved before.
TEST(RetryBudget, HostsKeepToTheirPartsOfASharedBurst) {
  constexpr std::size_t Hosts = 70;
  constexpr double Shared = 250.0;
  std::size_t Taken = 0;
  for (std::size_t Index = 0; Index < Hosts; ++Index) {
    RetryBudget Budget{BudgetLimits{}};
    Budget.recordFirstSend(0);
    Budget.setBurst(Shared / Hosts);
    while (Budget.take(0))
      ++Taken;
  }
  EXPECT_LE(double(Taken), Shared);
  EXPECT_GT(double(Taken), Shared / 2);
}

TEST(RetryBudget, QuietTimesDoNotSaveUpMoreThanTheBurst) {
  RetryBudget Budget(BudgetLimits{0.5, 1.0, 2.0});
  for (int Count = 0; Count < 100; ++Count)
    Budget.recordFirstSend(0);
  EXPECT_TRUE(Budget.take(0));
  EXPECT_TRUE(Budget.take(0));
  EXPECT_FALSE(Budget.take(0));
  EXPECT_FALSE(Budget.hasToken());
  Budget.recordFirstSend(0);
  Budget.recordFirstSend(1);
  EXPECT_TRUE(Budget.take(1));
}

} // namespace
} // namespace coltsfoottrail
