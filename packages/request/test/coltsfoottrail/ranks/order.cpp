#include "coltsfoottrail/ranks/order.hpp"

#include <array>
#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

const std::array<PoolRank, 5> FiveRanks{{{0, milliseconds(200)},
                                         {1, milliseconds(400)},
                                         {2, milliseconds(800)},
                                         {5, milliseconds(800)},
                                         {9, seconds(2)}}};

constexpr std::array<RankPart, 3> Parts{RankPart::WithinShare,
                                        RankPart::AboveShare, RankPart::Late};

TEST(RankOrder, OneRankIsTreatedLikeNone) {
  const RankOrder One{std::span(FiveRanks).first(1)};
  for (const RankOrder &Order : {RankOrder(), One}) {
    EXPECT_FALSE(Order.isActive());
    EXPECT_EQ(Order.shortestTarget(), Duration::zero());
    for (const std::uint32_t Rank : {0U, 1U, 9U}) {
      EXPECT_EQ(Order.place(Rank), 0U);
      for (const RankPart Part : Parts)
        EXPECT_EQ(Order.queueLevel(Rank, Part), 0U);
      EXPECT_EQ(Order.enginePriority(Rank, StreamStage::Resumed), 1U);
      EXPECT_EQ(Order.enginePriority(Rank, StreamStage::Fresh), 4U);
      EXPECT_EQ(Order.enginePriority(Rank, StreamStage::Late), 8U);
    }
  }
}

TEST(RankOrder, PlacesAreBoundedAndFollowTheRanks) {
  const RankOrder Order(FiveRanks);
  EXPECT_TRUE(Order.isActive());
  EXPECT_EQ(Order.shortestTarget(), milliseconds(200));
  EXPECT_EQ(Order.place(0), 0U);
  EXPECT_EQ(Order.place(2), 2U);
  EXPECT_EQ(Order.place(3), 3U);
  EXPECT_EQ(Order.place(5), 3U);
  EXPECT_EQ(Order.place(9), RankOrder::MaxPlaces - 1);
  EXPECT_EQ(Order.place(1000), RankOrder::MaxPlaces - 1);
}

// Guards against late requests of an urgent rank that keep an engine from
// admitting fresh ones of another rank.
TEST(RankOrder, EngineAdmitsResumedThenFreshThenLateStreams) {
  const RankOrder Order(FiveRanks);
  constexpr std::uint32_t MaxPriority = 9;
  const std::uint32_t Resumed = Order.enginePriority(9, StreamStage::Resumed);
  for (const PoolRank &Fresh : FiveRanks) {
    EXPECT_LT(Resumed, Order.enginePriority(Fresh.Rank, StreamStage::Fresh));
    for (const PoolRank &Late : FiveRanks)
      EXPECT_LT(Order.enginePriority(Fresh.Rank, StreamStage::Fresh),
                Order.enginePriority(Late.Rank, StreamStage::Late));
    EXPECT_LE(Order.enginePriority(Fresh.Rank, StreamStage::Late), MaxPriority);
  }
  EXPECT_LT(Order.enginePriority(1, StreamStage::Fresh),
            Order.enginePriority(2, StreamStage::Fresh));
  EXPECT_LT(Order.enginePriority(1, StreamStage::Late),
            Order.enginePriority(2, StreamStage::Late));
}

TEST(RankOrder, QueueGoesByRankThenByTimeliness) {
  const RankOrder Order(FiveRanks);
  std::size_t Expected = 0;
  for (const std::uint32_t Rank : {0U, 1U, 2U, 5U})
    for (const RankPart Part : Parts) {
      EXPECT_EQ(Order.queueLevel(Rank, Part), Expected);
      EXPECT_EQ(RankOrder::isLateLevel(Expected), Part == RankPart::Late);
      ++Expected;
    }
  EXPECT_EQ(Expected, RankOrder::MaxLevels);
}

} // namespace
} // namespace coltsfoottrail
