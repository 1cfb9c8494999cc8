/// @file
/// One entry host's part of a bound on retries that holds over all of them.
#ifndef COLTSFOOTTRAIL_RETRIES_SHARE_HPP
#define COLTSFOOTTRAIL_RETRIES_SHARE_HPP

#include "coltsfoottrail/core/time.hpp"

#include <cmath>
#include <cstddef>

namespace coltsfoottrail {

/// @brief A bound of the platform: in ten seconds a service may get Ratio times
/// its requests, and Slack more, as retries from all entry hosts.
struct RetryBound {
  double Ratio = 0.2;
  double Slack = 130.0;
};

/// Part of the slack that is used: hosts that were not counted lately send too.
inline constexpr double RetrySlackUsed = 0.8;
/// Part of the ratio that each request earns at once.
inline constexpr double RetryRatioEarned = 0.75;
/// Part of the ratio that may be saved up beside it; the rest is kept for
/// requests that are counted in another window than their retries.
inline constexpr double RetryRatioSaved = 0.2;

/// @brief Counts what happened lately, older events for less. Not thread-safe.
class RecentCount {
public:
  /// Length of the platform's window.
  static constexpr Duration Window = seconds(10);

  /// @brief Counts an event; times must not go back.
  void add(TimePoint Now) {
    Count = value(Now) + 1.0;
    CountedAt = Now;
  }
  /// @brief About how many there were in the last window.
  [[nodiscard]] double value(TimePoint Now) const {
    const std::chrono::duration<double> Since = Now - CountedAt;
    const std::chrono::duration<double> Whole = Window;
    return Count * std::exp(-Since / Whole);
  }

private:
  double Count = 0.0;
  TimePoint CountedAt{};
};

/// @brief Retries that one entry host may save up for a service, over all of
/// its pools: its part of the slack, and what its own requests leave of the
/// ratio. Thread-safe.
/// @param Hosts Entry hosts that share the bound; above zero.
/// @param OwnRequests This host's requests of the service in the last window.
[[nodiscard]] inline double retriesSaved(const RetryBound &Bound, double Hosts,
                                         double OwnRequests) {
  return Bound.Slack * RetrySlackUsed / Hosts +
         Bound.Ratio * RetryRatioSaved * OwnRequests;
}

} // namespace coltsfoottrail

#endif
