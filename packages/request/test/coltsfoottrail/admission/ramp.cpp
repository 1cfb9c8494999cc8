#include "coltsfoottrail/admission/ramp.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

CompletedRequests successes(std::uint32_t Count, std::uint64_t Micros = 1000) {
  return {Count, 0, Count * Micros};
}

// One request at a time does not show what an endpoint can serve: the bound
// must not be raised because the endpoint has been up for long.
TEST(Ramp, LightLoadProvesNothing) {
  Ramp Limit(4, 32);
  for (int Round = 0; Round < 1000; ++Round)
    Limit.ended(successes(10), 1);
  EXPECT_EQ(Limit.bound(), 4U);
}

TEST(Ramp, LoadNearTheBoundWarms) {
  Ramp Limit(4, 32);
  int Rounds = 0;
  while (Limit.bound() < 32 && Rounds < 100) {
    Limit.ended(successes(Limit.bound()), Limit.bound());
    ++Rounds;
  }
  EXPECT_EQ(Limit.bound(), 32U);
  EXPECT_LE(Rounds, 10);
}

// If the endpoint slows down under a raised bound or fails some requests, the
// bound is cut, but never below the declared cold bound.
TEST(Ramp, FailuresAndGrownLatencyCut) {
  Ramp Limit(4, 32);
  Limit.ended(successes(8), 4);
  Limit.adopt(32);
  Limit.ended(successes(32, 3000), 32);
  EXPECT_EQ(Limit.bound(), 16U);
  Limit.ended({12, 4, 12'000}, 16);
  EXPECT_EQ(Limit.bound(), 8U);
  Limit.ended({0, 8, 0}, 8);
  EXPECT_EQ(Limit.bound(), 4U);
}

// A team's prompts grow longer permanently. The endpoint must not stay at its
// cold bound because its latency was lower in the past.
TEST(Ramp, LastingLatencyBecomesUsual) {
  Ramp Limit(4, 32);
  Limit.ended(successes(8), 4);
  for (int Round = 0; Round < 60; ++Round)
    Limit.ended(successes(Limit.bound(), 4000), Limit.bound());
  EXPECT_EQ(Limit.bound(), 32U);
}

} // namespace
} // namespace coltsfoottrail
