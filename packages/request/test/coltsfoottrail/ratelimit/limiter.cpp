#include "coltsfoottrail/ratelimit/limiter.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(100)};

class RateLimiter : public testing::Test {
protected:
  void name(double PerSecond, Duration SentBefore = milliseconds(20)) {
    Limits.observe("p", PerSecond, Now - SentBefore, Now);
  }
  void nameNone(Duration SentBefore = milliseconds(20)) {
    Limits.observe("p", std::nullopt, Now - SentBefore, Now);
  }
  void advance(Duration Span) {
    Now += Span;
    Limits.advance(Now);
  }

  EndpointRateLimiter Limits{1};
  TimePoint Now = Start;
};

TEST_F(RateLimiter, HoldsFromTheFirstNaming) {
  EXPECT_FALSE(Limits.isLimited("p"));
  const std::uint64_t Before = Limits.version();
  name(2.5);
  EXPECT_TRUE(Limits.isLimited("p"));
  EXPECT_FALSE(Limits.isLimited("other"));
  EXPECT_NE(Limits.version(), Before);
  ASSERT_EQ(Limits.tallies(Now).size(), 1U);
  EXPECT_EQ(Limits.tallies(Now).front().PerSecond, 2.5);
}

TEST_F(RateLimiter, EndsWithALaterResponseThatNamesNone) {
  name(2.5);
  Now += milliseconds(500);
  nameNone();
  advance(EndpointRateLimiter::ReleaseTime);
  EXPECT_FALSE(Limits.isLimited("p"));
}

// Guards against a response that the endpoint sent before it named its limit,
// and that arrives after it.
TEST_F(RateLimiter, AnEarlierResponseDoesNotEndIt) {
  name(2.5);
  Now += milliseconds(10);
  nameNone(milliseconds(200));
  advance(EndpointRateLimiter::ReleaseTime);
  EXPECT_TRUE(Limits.isLimited("p"));
}

// Guards against a limit that lasts for ever because nobody asks the endpoint.
TEST_F(RateLimiter, EndsWhenNobodyHasHeardOfItForLong) {
  name(0.0);
  advance(EndpointRateLimiter::UnheardLife - milliseconds(1));
  EXPECT_TRUE(Limits.isLimited("p"));
  advance(milliseconds(1));
  advance(EndpointRateLimiter::ReleaseTime);
  EXPECT_FALSE(Limits.isLimited("p"));
  const std::vector<RateLimitChange> Changes = Limits.takeChanges();
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_TRUE(Changes.back().IsUnheard);
}

// Guards against a line for each response of an endpoint whose limit changes a
// little with each of them.
TEST_F(RateLimiter, SmallChangesAreNotReported) {
  for (int Count = 0; Count < 100; ++Count)
    name(2.5 + 0.001 * Count);
  EXPECT_EQ(Limits.takeChanges().size(), 1U);
}

} // namespace
} // namespace coltsfoottrail
