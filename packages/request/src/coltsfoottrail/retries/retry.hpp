/// @file
/// Retry policy: whether and when a failed attempt is followed by another.
#ifndef COLTSFOOTTRAIL_RETRIES_RETRY_HPP
#define COLTSFOOTTRAIL_RETRIES_RETRY_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/retries/budget.hpp"

#include <optional>

namespace coltsfoottrail {

/// @brief Limits of the retries of one request.
struct RetryLimits {
  /// Maximum number of attempts, including the first one.
  std::uint32_t MaxAttempts = 4;
  /// How often a retry waits for the budget before the request is refused.
  std::uint32_t MaxBudgetWaits = 6;
  /// Longest delay before the first retry; doubles with each.
  Duration FirstDelay = milliseconds(20);
  Duration LongestDelay = milliseconds(500);
  BudgetLimits Budget;
};

/// @brief Whether a request may be sent again. Has no state; thread-safe.
/// @param Item The request.
/// @param Result How its last attempt ended.
/// @return True only if the request cannot run twice as a result, or running it
/// twice is harmless, and the caller has received nothing of the answer.
[[nodiscard]] bool mayRetry(const WorkItem &Item,
                            const AttemptResult &Result) noexcept;

/// @brief Draws the delay before the next attempt: full jitter below a ceiling
/// that doubles with each delay and is bounded by the time left.
/// @param Limits The bounds.
/// @param PreviousDelays Number of delays of this request so far.
/// @param TimeLeft Time until the attempt must start.
/// @param Rng Random number generator.
/// @return Nothing when no time is left.
[[nodiscard]] std::optional<Duration> retryDelay(const RetryLimits &Limits,
                                                 std::uint32_t PreviousDelays,
                                                 Duration TimeLeft,
                                                 Random &Rng);

} // namespace coltsfoottrail

#endif
