/// @file
/// Whether and when a failed attempt is followed by another.
#ifndef COLTSFOOTTRAIL_RETRIES_RETRY_HPP
#define COLTSFOOTTRAIL_RETRIES_RETRY_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/retries/budget.hpp"

#include <optional>

namespace coltsfoottrail {

/// @brief Bounds of the retries of one request.
struct RetryLimits {
  /// Attempts at most, the first one included.
  std::uint32_t MaxAttempts = 4;
  /// How often a retry waits for the budget before it is given up.
  std::uint32_t MaxBudgetWaits = 6;
  /// Longest delay before the first retry; doubles with each.
  Duration FirstDelay = milliseconds(20);
  Duration LongestDelay = milliseconds(500);
  BudgetLimits Budget;
};

/// @brief Tells whether a request may be sent again. Pure; thread-safe.
/// @param Item The request.
/// @param Result How its last attempt ended.
/// @return True only where no second run can result, or where a second run does
/// no harm, and the caller has seen nothing of the answer.
[[nodiscard]] bool mayRetry(const WorkItem &Item,
                            const AttemptResult &Result) noexcept;

/// @brief Draws the delay before the next attempt: full jitter below a ceiling
/// that doubles, inside the time that is left.
/// @param Limits The bounds.
/// @param Tries Delays of this request so far.
/// @param Left Time until the attempt must start.
/// @param Draw Randomness.
/// @return Nothing when no time is left.
[[nodiscard]] std::optional<Duration> retryDelay(const RetryLimits &Limits,
                                                 std::uint32_t Tries,
                                                 Duration Left, Random &Draw);

} // namespace coltsfoottrail

#endif
