/// @file
/// One entry host's part of a retry limit that applies to all entry hosts
/// together.
#ifndef COLTSFOOTTRAIL_RETRIES_SHARE_HPP
#define COLTSFOOTTRAIL_RETRIES_SHARE_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/retries/budget.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace coltsfoottrail {

/// @brief Retry limit of a service on the platform: within ten seconds, all
/// entry hosts together may retry Ratio times its requests, plus Slack.
struct RetryBound {
  double Ratio = 0.2;
  double Slack = 130.0;
};

/// Fraction of the slack that is used, since hosts that are missing from the
/// latest count send retries as well.
inline constexpr double RetrySlackUsed = 0.8;
/// Fraction of that slack that is earned by time; the rest may be saved up.
inline constexpr double RetrySlackRenewed = 0.2;
/// Most that one host earns by time, in retries per second: a host that has
/// just started may have counted few others.
inline constexpr double MaxRetriesRenewedPerSecond = 0.5;
/// Fraction of the ratio that each request adds to the budget at once.
inline constexpr double RetryRatioEarned = 0.75;
/// Fraction of the ratio that may be saved up in addition. The rest is a
/// reserve for requests that are counted in another window than their retries.
inline constexpr double RetryRatioSaved = 0.2;

/// @brief Limits of a retry budget by which one entry host keeps its part of a
/// bound. Thread-safe.
[[nodiscard]] inline BudgetLimits budgetLimits(const RetryBound &Bound) {
  BudgetLimits Result;
  Result.Ratio = Bound.Ratio * RetryRatioEarned;
  Result.DataCentreRatio = Bound.Ratio;
  Result.PerSecond = 0.0;
  Result.Initial = 0.0;
  return Result;
}

/// @brief Exponentially decaying count of recent events. Not thread-safe.
class RecentCount {
public:
  /// Length of the window over which the platform applies its retry limit.
  static constexpr Duration Window = seconds(10);

  /// @brief Counts an event; times must not go back.
  void add(TimePoint Now) {
    Count = value(Now) + 1.0;
    CountedAt = Now;
  }
  /// @brief Approximate number of events in the last window.
  [[nodiscard]] double value(TimePoint Now) const {
    const std::chrono::duration<double> Elapsed = Now - CountedAt;
    const std::chrono::duration<double> WindowSeconds = Window;
    return Count * std::exp(-Elapsed / WindowSeconds);
  }

private:
  double Count = 0.0;
  TimePoint CountedAt{};
};

/// Retries that a host saves up as long as it does not know how many others
/// share the bound.
inline constexpr double RetriesSavedUncounted = 1.0;

/// @brief Retries that one entry host may save up and earns by time for a
/// service, over all of its pools: its part of the slack plus the saved part of
/// the ratio for its own requests. Thread-safe.
///
/// A window gets at most what was saved up before it and what is earned in it.
/// The part of the slack that is earned by time is as much as a window may get
/// of it, so that hosts that start again get none of it twice.
/// @param Hosts Entry hosts that share the bound; zero if it is not known.
/// @param OwnRequests This host's requests of the service in the last window.
[[nodiscard]] inline RetryAllowance
retryAllowance(const RetryBound &Bound, double Hosts, double OwnRequests) {
  if (Hosts <= 0.0)
    return {RetriesSavedUncounted, 0.0};
  const std::chrono::duration<double> Window = RecentCount::Window;
  const double Share = Bound.Slack * RetrySlackUsed / Hosts;
  return {Share * (1.0 - RetrySlackRenewed) +
              Bound.Ratio * RetryRatioSaved * OwnRequests,
          std::min(Share * RetrySlackRenewed / Window.count(),
                   MaxRetriesRenewedPerSecond)};
}

} // namespace coltsfoottrail

#endif
