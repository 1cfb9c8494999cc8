#include "coltsfoottrail/division/allocation.hpp"

#include "coltsfoottrail/property.hpp"

#include <gmock/gmock.h>
#include <numeric>

namespace coltsfoottrail {

namespace {

using testing::DoubleNear;
using testing::ElementsAre;

constexpr double Unbounded = 1e6;
constexpr double Tolerance = 1e-6;

auto isNear(double Value) { return DoubleNear(Value, Tolerance); }

std::vector<double> allocate(const std::vector<EngineClaim> &Claims,
                             double Engines) {
  return allocateEngines(Claims, Engines);
}

TEST(Allocation, HeadroomIsTheSameForAll) {
  EXPECT_THAT(allocate({{60, 60, 6, Unbounded}, {30, 30, 6, Unbounded}}, 180),
              ElementsAre(isNear(120), isNear(60)));
}

TEST(Allocation, HeadroomCountsWhatIsExpected) {
  EXPECT_THAT(allocate({{60, 60, 6, Unbounded}, {0, 60, 6, Unbounded}}, 180),
              ElementsAre(isNear(90), isNear(90)));
  EXPECT_THAT(allocate({{150, 150, 6, Unbounded}, {0, 150, 6, Unbounded}}, 180),
              ElementsAre(isNear(150), isNear(30)));
}

TEST(Allocation, ModelWithoutWorkKeepsItsMinimum) {
  EXPECT_THAT(allocate({{60, 60, 12, Unbounded}, {0, 0, 6, Unbounded}}, 180),
              ElementsAre(isNear(174), isNear(6)));
}

TEST(Allocation, MoreUrgentRankIsServedFirst) {
  EXPECT_THAT(
      allocate({{100, 100, 6, Unbounded, 1}, {90, 90, 6, Unbounded, 0}}, 120),
      ElementsAre(isNear(30), isNear(90)));
}

TEST(Allocation, LessUrgentRankKeepsItsMinimum) {
  EXPECT_THAT(
      allocate({{100, 100, 24, Unbounded, 1}, {200, 200, 6, Unbounded, 0}},
               120),
      ElementsAre(isNear(24), isNear(96)));
}

TEST(Allocation, OneRankIsShortInProportion) {
  EXPECT_THAT(allocate({{100, 100, 6, Unbounded}, {50, 50, 6, Unbounded}}, 120),
              ElementsAre(isNear(80), isNear(40)));
}

// Guards against a flood that takes the engines of another model of its rank
// in proportion to its size.
TEST(Allocation, NeedCountsUpToTheNumberOfEngines) {
  EXPECT_THAT(
      allocate({{60, 60, 6, Unbounded}, {12'000, 12'000, 6, Unbounded}}, 120),
      ElementsAre(isNear(40), isNear(80)));
}

TEST(Allocation, MaximumLeavesTheRestToOthers) {
  EXPECT_THAT(allocate({{60, 60, 6, 72}, {30, 30, 6, Unbounded}}, 180),
              ElementsAre(isNear(72), isNear(108)));
  EXPECT_THAT(allocate({{60, 60, 6, 72}, {30, 30, 6, 36}}, 180),
              ElementsAre(isNear(72), isNear(36)));
}

TEST(Allocation, MinimaAboveTheEnginesAreScaledAlike) {
  EXPECT_THAT(
      allocate({{60, 60, 12, Unbounded, 0}, {30, 30, 6, Unbounded, 1}}, 9),
      ElementsAre(isNear(6), isNear(3)));
}

TEST(Allocation, KeepsBoundsAndSumForAnyClaims) {
  test::expectProperty([] {
    const double Engines = *rc::gen::inRange(20, 400);
    const auto Count = *rc::gen::inRange<std::size_t>(1, 5);
    std::vector<EngineClaim> Claims;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      EngineClaim Claim;
      Claim.Needed = *rc::gen::inRange(0, 600);
      Claim.Expected = Claim.Needed + *rc::gen::inRange(0, 100);
      Claim.Min = *rc::gen::inRange(1, 5);
      Claim.Max = Claim.Min + *rc::gen::inRange(0, 500);
      Claim.Rank = *rc::gen::inRange<std::uint32_t>(0, 3);
      Claims.push_back(Claim);
    }
    const std::vector<double> Result = allocateEngines(Claims, Engines);
    for (std::size_t Index = 0; Index < Count; ++Index) {
      RC_ASSERT(Result[Index] >= Claims[Index].Min - Tolerance);
      RC_ASSERT(Result[Index] <= Claims[Index].Max + Tolerance);
    }
    const double Sum = std::accumulate(Result.begin(), Result.end(), 0.0);
    RC_ASSERT(Sum <= Engines + Tolerance);
    // Nothing is left over unless each model that expects work is at its
    // maximum.
    for (std::size_t Index = 0; Index < Count; ++Index)
      RC_ASSERT(Sum >= Engines - Tolerance || Claims[Index].Expected == 0.0 ||
                Result[Index] >= Claims[Index].Max - Tolerance);
  });
}

} // namespace

} // namespace coltsfoottrail
