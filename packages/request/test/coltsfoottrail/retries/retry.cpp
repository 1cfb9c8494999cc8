#include "coltsfoottrail/retries/retry.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

AttemptResult failure(RunState State, bool CallerSawBytes = false) {
  AttemptResult Result;
  Result.State = State;
  Result.FailureReason = Reason::EndpointFailed;
  Result.CallerSawBytes = CallerSawBytes;
  return Result;
}

// Guards against running an order twice: its connection broke after it was
// written, and it was sent to a second endpoint.
TEST(MayRetry, OnlyWhatCannotRunTwiceOrDoesNoHarm) {
  WorkItem Order;
  WorkItem Lookup;
  Lookup.Repeatable = true;
  EXPECT_TRUE(mayRetry(Order, failure(RunState::NotRun)));
  EXPECT_FALSE(mayRetry(Order, failure(RunState::MayHaveRun)));
  EXPECT_TRUE(mayRetry(Lookup, failure(RunState::MayHaveRun)));
  EXPECT_FALSE(mayRetry(Lookup, failure(RunState::Ran)));
  EXPECT_FALSE(mayRetry(Lookup, failure(RunState::MayHaveRun, true)));
  AttemptResult Bad = failure(RunState::NotRun);
  Bad.FailureReason = Reason::BadRequest;
  EXPECT_FALSE(mayRetry(Lookup, Bad));
}

AttemptProgress progress(std::uint32_t EarlierRuns, bool HasBegun,
                         bool IsResumable) {
  AttemptProgress Progress;
  Progress.Repeatable = true;
  Progress.EarlierRuns = EarlierRuns;
  Progress.MaxRuns = 2;
  Progress.HasBegun = HasBegun;
  Progress.IsResumable = IsResumable;
  return Progress;
}

// Guards against giving up an attempt that no other endpoint may continue: the
// answer would be cut.
TEST(MayMove, OnlyWhatAnotherEndpointMayContinue) {
  EXPECT_TRUE(mayMove(progress(0, false, false)));
  EXPECT_TRUE(mayMove(progress(0, true, true)));
  EXPECT_FALSE(mayMove(progress(0, true, false)));
  EXPECT_FALSE(mayMove(progress(1, false, false)));
  EXPECT_FALSE(mayMove(progress(1, true, true)));
  AttemptProgress Order = progress(0, false, false);
  Order.Repeatable = false;
  EXPECT_FALSE(mayMove(Order));
}

TEST(RetryDelay, JitterIsFullAndStaysInsideTheDeadline) {
  const RetryLimits Limits;
  Random Rng(3);
  Duration Shortest = Duration::max();
  Duration Longest{};
  for (int Count = 0; Count < 1000; ++Count) {
    const Duration Delay = *retryDelay(Limits, 2, seconds(10), Rng);
    Shortest = std::min(Shortest, Delay);
    Longest = std::max(Longest, Delay);
    ASSERT_LT(*retryDelay(Limits, 30, seconds(10), Rng), milliseconds(500));
    ASSERT_LT(*retryDelay(Limits, 30, milliseconds(7), Rng), milliseconds(7));
  }
  EXPECT_LT(Shortest, milliseconds(4));
  EXPECT_GT(Longest, milliseconds(76));
  EXPECT_LT(Longest, milliseconds(80));
  EXPECT_EQ(retryDelay(Limits, 0, Duration{}, Rng), std::nullopt);
}

} // namespace
} // namespace coltsfoottrail
