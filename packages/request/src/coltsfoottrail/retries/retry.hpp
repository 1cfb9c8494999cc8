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

/// @brief What decides whether an attempt in progress can be given up in favour
/// of another endpoint.
struct AttemptProgress {
  /// Whether the request may be sent again once a byte of it may have reached
  /// an endpoint.
  bool Repeatable = false;
  /// Endpoints that may have run the request before this attempt.
  std::uint32_t EarlierRuns = 0;
  /// Maximum number of endpoints that may run the request, including the first.
  std::uint32_t MaxRuns = 1;
  /// The caller has received part of the answer.
  bool HasBegun = false;
  /// Another endpoint can continue the answer after the part that the caller
  /// has.
  bool IsResumable = false;
};

/// @brief Whether a request has a run left for another endpoint if its current
/// attempt counts as one. Has no state; thread-safe.
[[nodiscard]] bool hasRunLeft(const AttemptProgress &Progress) noexcept;

/// @brief Whether an attempt in progress may be given up in favour of another
/// endpoint without ending the answer. Has no state; thread-safe.
[[nodiscard]] bool mayMove(const AttemptProgress &Progress) noexcept;

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
