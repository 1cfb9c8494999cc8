#include "coltsfoottrail/ranks/teamdemand.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(1000)};
constexpr std::uint64_t Flood = 1;
constexpr std::uint64_t Small = 2;

/// A host that has got requests of both teams.
TeamDemand demandOf(double FloodRate, double SmallRate) {
  TeamDemand Demand;
  Demand.recordArrival(Flood, Start - seconds(20));
  Demand.recordArrival(Small, Start - seconds(20));
  Demand.setOthers({{Flood, FloodRate}, {Small, SmallRate}}, Start);
  return Demand;
}

TEST(TeamDemand, FloodLeavesRoomForTheOthers) {
  const TeamDemand Demand = demandOf(180.0, 10.0);
  const auto Before = Demand.othersBefore(Flood, {195.0, 100.0, 0.0}, Start);
  ASSERT_TRUE(Before);
  EXPECT_NEAR(*Before, 15.0, 0.01) << "5 of them of teams unknown here";
  EXPECT_EQ(Demand.othersBefore(Small, {195.0, 100.0, 0.0}, Start),
            std::nullopt);
}

TEST(TeamDemand, TeamsThatAskForTheSameLeaveEachOtherNoRoom) {
  const TeamDemand Demand = demandOf(100.0, 100.0);
  const RankRates Total{200.0, 100.0, 0.0};
  EXPECT_EQ(Demand.othersBefore(Flood, Total, Start), std::nullopt);
  EXPECT_EQ(Demand.othersBefore(Small, Total, Start), std::nullopt);
}

// Guards against acting on what other hosts reported long ago.
TEST(TeamDemand, OldRatesOfOtherHostsAreNotUsed) {
  const TeamDemand Demand = demandOf(180.0, 10.0);
  const RankRates OwnOnly{1.0, 0.5, 0.0};
  EXPECT_TRUE(Demand.othersBefore(Flood, {195.0, 100.0, 0.0}, Start));
  EXPECT_EQ(Demand.othersBefore(Flood, OwnOnly, Start + seconds(1)),
            std::nullopt);
  EXPECT_EQ(TeamDemand().othersBefore(Flood, OwnOnly, Start), std::nullopt);
}

} // namespace
} // namespace coltsfoottrail
