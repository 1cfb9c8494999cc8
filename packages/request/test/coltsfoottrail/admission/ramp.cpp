#include "coltsfoottrail/admission/ramp.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

CompletedRequests well(std::uint32_t Count, std::uint64_t Micros = 1000) {
  return {Count, 0, Count * Micros};
}

// One request at a time proves nothing of what an endpoint bears: it must not
// be called warm because it has been up for long.
TEST(Ramp, LightLoadProvesNothing) {
  Ramp Bound(4, 32);
  for (int Round = 0; Round < 1000; ++Round)
    Bound.ended(well(10), 1);
  EXPECT_EQ(Bound.bound(), 4U);
}

TEST(Ramp, LoadNearTheBoundWarms) {
  Ramp Bound(4, 32);
  int Rounds = 0;
  while (Bound.bound() < 32 && Rounds < 100) {
    Bound.ended(well(Bound.bound()), Bound.bound());
    ++Rounds;
  }
  EXPECT_EQ(Bound.bound(), 32U);
  EXPECT_LE(Rounds, 10);
}

// The endpoint slows down under a raised bound, or fails some: less is sent,
// and never less than the declared cold bound.
TEST(Ramp, FailuresAndGrownLatencyCut) {
  Ramp Bound(4, 32);
  Bound.ended(well(8), 4);
  Bound.adopt(32);
  Bound.ended(well(32, 3000), 32);
  EXPECT_EQ(Bound.bound(), 16U);
  Bound.ended({12, 4, 12'000}, 16);
  EXPECT_EQ(Bound.bound(), 8U);
  Bound.ended({0, 8, 0}, 8);
  EXPECT_EQ(Bound.bound(), 4U);
}

// A team's prompts grow longer for good. The endpoint must not stay at its cold
// bound for ever because of the latency that it once had.
TEST(Ramp, LastingLatencyBecomesUsual) {
  Ramp Bound(4, 32);
  Bound.ended(well(8), 4);
  for (int Round = 0; Round < 60; ++Round)
    Bound.ended(well(Bound.bound(), 4000), Bound.bound());
  EXPECT_EQ(Bound.bound(), 32U);
}

} // namespace
} // namespace coltsfoottrail
