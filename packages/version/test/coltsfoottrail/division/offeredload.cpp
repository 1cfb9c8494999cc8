#include "coltsfoottrail/division/offeredload.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <numbers>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};
constexpr Duration Step = milliseconds(500);
const ModelName Big("big");
const ModelName Small("small");

TEST(OfferedLoad, StartsWithTheFirstWork) {
  OfferedLoad Load{{}};
  Load.record({{Big, 10.0}, {Small, 4.0}}, Start);
  EXPECT_DOUBLE_EQ(Load.recent(Big), 10.0);
  EXPECT_DOUBLE_EQ(Load.adjustedPeak(Small), 4.0);
  EXPECT_EQ(Load.recent(ModelName("other")), 0.0);
}

TEST(OfferedLoad, RisesFastAndItsPeakFallsSlowly) {
  OfferedLoad Load{{}};
  TimePoint Now = Start;
  Load.record({{Big, 10.0}, {Small, 4.0}}, Now);
  for (int Count = 0; Count < 3; ++Count)
    Load.record({{Big, 20.0}, {Small, 4.0}}, Now += Step);
  EXPECT_GT(Load.recent(Big), 19.0);
  EXPECT_GT(Load.adjustedRecent(Big), 19.0);
  // A moment without callers.
  for (int Count = 0; Count < 3; ++Count)
    Load.record({{Big, 0.0}, {Small, 4.0}}, Now += Step);
  EXPECT_LT(Load.adjustedRecent(Big), 2.0);
  EXPECT_GT(Load.adjustedPeak(Big), 10.0);
}

TEST(OfferedLoad, FactorCommonToAllIsLeftOut) {
  OfferedLoad Load{{}};
  for (int Count = 0; Count < 200; ++Count) {
    const double Phase = 2.0 * std::numbers::pi * 0.5 * Count / 13.0;
    const double Factor = 1.0 + 0.55 * std::sin(Phase);
    Load.record({{Big, 10.0 * Factor}, {Small, 4.0 * Factor}},
                Start + Step * Count);
    EXPECT_NEAR(Load.adjustedPeak(Big) / Load.adjustedPeak(Small), 2.5, 1e-9);
    if (Start + Step * Count >= Start + LoadAverages{}.LevelTime) {
      EXPECT_NEAR(Load.adjustedPeak(Big), 10.0, 1.0);
    }
  }
}

TEST(OfferedLoad, BurstOfOneModelCountsInFull) {
  OfferedLoad Load{{}};
  TimePoint Now = Start;
  for (int Count = 0; Count < 40; ++Count)
    Load.record({{Big, 10.0}, {Small, 4.0}}, Now += Step);
  for (int Count = 0; Count < 4; ++Count)
    Load.record({{Big, 16.0}, {Small, 4.0}}, Now += Step);
  EXPECT_GT(Load.adjustedPeak(Big), 15.5);
  EXPECT_NEAR(Load.adjustedPeak(Small), 4.0, 1e-9);
}

// Guards against a model without callers that makes the common factor zero.
TEST(OfferedLoad, ModelWithoutWorkChangesNothingForOthers) {
  OfferedLoad Load{{}};
  TimePoint Now = Start;
  for (int Count = 0; Count < 40; ++Count)
    Load.record({{Big, 10.0}, {Small, 0.0}}, Now += Step);
  EXPECT_NEAR(Load.adjustedPeak(Big), 10.0, 1e-9);
  EXPECT_EQ(Load.adjustedPeak(Small), 0.0);
}

} // namespace

} // namespace coltsfoottrail
