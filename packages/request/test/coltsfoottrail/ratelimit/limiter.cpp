#include "coltsfoottrail/ratelimit/limiter.hpp"

#include <cmath>
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
  /// The part of a host that is alone.
  [[nodiscard]] RateShare whole() const {
    return {1.0, std::chrono::duration<double>(Now - Start).count()};
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

// Guards against a burst at the moment at which a limit ends.
TEST_F(RateLimiter, IsLiftedGradually) {
  name(1.0);
  Now += seconds(10);
  nameNone();
  double Before = 0.0;
  for (int Count = 0; Count < 5; ++Count) {
    const auto Permit = Limits.permit("p", whole(), Now);
    ASSERT_TRUE(Permit);
    EXPECT_GT(Permit->PerSecond, Before);
    EXPECT_LE(Permit->PerSecond, std::exp2(Count) + 1e-9);
    Before = Permit->PerSecond;
    advance(EndpointRateLimiter::ReleaseDoubling);
  }
}

// Guards against an endpoint that nobody asks whether it is well again.
TEST_F(RateLimiter, NothingIsAProbeNowAndThen) {
  name(0.0);
  int Sent = 0;
  for (int Count = 0; Count < 2'000; ++Count) {
    Now += milliseconds(10);
    name(0.0);
    if (Limits.permit("p", whole(), Now)->NextAt > Now)
      continue;
    Limits.recordSend("p");
    ++Sent;
  }
  EXPECT_GE(Sent, 3);
  EXPECT_LE(Sent, 5);
}

// Guards against notices that go round, and older ones that win.
TEST_F(RateLimiter, NoticesAreTakenOnceAndTheNewestHolds) {
  EndpointRateLimiter Other(2);
  Other.observe("p", 5.0, Now, Now);
  RateLimitNotice Notice = Other.takeNotice(Now);
  ASSERT_EQ(Notice.Observations.size(), 1U);
  EXPECT_TRUE(Limits.observeNotice(Notice, Now));
  EXPECT_FALSE(Limits.observeNotice(Notice, Now));
  EXPECT_FALSE(Other.observeNotice(Notice, Now));
  EXPECT_TRUE(Limits.isLimited("p"));
  EXPECT_TRUE(Limits.takeNotice(Now).Observations.empty());
  Now += milliseconds(100);
  name(2.0);
  Notice.Observations.front().Number += 1;
  Notice.Observations.front().Age = milliseconds(50);
  EXPECT_TRUE(Limits.observeNotice(Notice, Now));
  EXPECT_EQ(Limits.tallies(Now).front().PerSecond, 2.0);
}

// Guards against a limit that one host has seen end and the others keep.
TEST_F(RateLimiter, TheEndIsTold) {
  EndpointRateLimiter Other(2);
  name(2.0);
  EXPECT_TRUE(Other.observeNotice(Limits.takeNotice(Now), Now));
  Now += seconds(1);
  nameNone();
  EXPECT_TRUE(Other.observeNotice(Limits.takeNotice(Now), Now));
  Now += EndpointRateLimiter::ReleaseTime;
  Other.advance(Now);
  EXPECT_FALSE(Other.isLimited("p"));
}

// Guards against a notice for each response of an endpoint whose limit changes
// with each of them.
TEST_F(RateLimiter, NoticesAreFew) {
  std::size_t Told = 0;
  for (int Count = 0; Count < 1'000; ++Count) {
    Now += milliseconds(10);
    name(Count % 2 == 0 ? 2.0 : 9.0);
    Told += Limits.takeNotice(Now).Observations.size();
  }
  EXPECT_LE(Told, 21U);
}

} // namespace
} // namespace coltsfoottrail
