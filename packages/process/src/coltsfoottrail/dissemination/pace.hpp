/// @file
/// How often entry hosts report to their upstream.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_PACE_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_PACE_HPP

#include "coltsfoottrail/core/time.hpp"

#include <algorithm>
#include <cstddef>

namespace coltsfoottrail {

/// An upstream answers no more than one host in this time, on average.
inline constexpr std::chrono::microseconds UpstreamTimePerHost{1'700};
/// Loads change by a prompt every few hundredths of a second; more often, the
/// exchanges cost more than they tell.
inline constexpr milliseconds ShortestReportPace{30};
/// Well below the time for which reported loads count.
inline constexpr milliseconds LongestReportPace{240};
/// Part of the pace for which updates are collected into one response.
inline constexpr int BatchesPerPace = 4;

/// @brief How long an upstream holds a response back unless there is an update.
/// Keeps the responses per second bounded. Pure; thread-safe.
/// @param Reporters Hosts that report to it; zero for not known.
[[nodiscard]] constexpr milliseconds reportPace(std::size_t Reporters) {
  if (Reporters == 0)
    return LongestReportPace;
  const auto Wanted = std::chrono::duration_cast<milliseconds>(
      UpstreamTimePerHost * static_cast<std::int64_t>(Reporters));
  return std::clamp(Wanted, ShortestReportPace, LongestReportPace);
}

/// @brief How long updates are collected before a response leaves: with many
/// reporters each update would otherwise wake all of them. Pure; thread-safe.
[[nodiscard]] constexpr milliseconds batchTime(std::size_t Reporters) {
  return reportPace(Reporters) / BatchesPerPace;
}

} // namespace coltsfoottrail

#endif
