/// @file
/// How often entry hosts report to their upstream.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_PACE_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_PACE_HPP

#include "coltsfoottrail/core/time.hpp"

#include <algorithm>
#include <cstddef>

namespace coltsfoottrail {

/// Average time between two responses of an upstream: bounds its responses per
/// second.
inline constexpr std::chrono::microseconds UpstreamTimePerHost{1'700};
/// Loads change with each prompt, every few hundredths of a second; more
/// frequent exchanges would cost more than they are worth.
inline constexpr milliseconds ShortestReportPace{30};
/// Well below the time after which reported loads expire.
inline constexpr milliseconds LongestReportPace{240};
/// Updates are collected for the report pace divided by this before a response
/// is sent.
inline constexpr int BatchesPerPace = 4;

/// @brief How long an upstream holds a response back unless there is an update.
/// Bounds the responses per second. Pure; thread-safe.
/// @param Reporters Hosts that report to it; zero if unknown.
[[nodiscard]] constexpr milliseconds reportPace(std::size_t Reporters) {
  if (Reporters == 0)
    return LongestReportPace;
  const auto Interval = std::chrono::duration_cast<milliseconds>(
      UpstreamTimePerHost * static_cast<std::int64_t>(Reporters));
  return std::clamp(Interval, ShortestReportPace, LongestReportPace);
}

/// @brief How long updates are collected before a response is sent: with many
/// reporters each update would otherwise wake all of them. Pure; thread-safe.
[[nodiscard]] constexpr milliseconds batchTime(std::size_t Reporters) {
  return reportPace(Reporters) / BatchesPerPace;
}

} // namespace coltsfoottrail

#endif
