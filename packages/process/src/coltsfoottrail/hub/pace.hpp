/// @file
/// How often entry hosts tell the hub their loads.
#ifndef COLTSFOOTTRAIL_HUB_PACE_HPP
#define COLTSFOOTTRAIL_HUB_PACE_HPP

#include "coltsfoottrail/core/time.hpp"

#include <algorithm>
#include <cstddef>

namespace coltsfoottrail {

/// The hub answers no more than one host in this time, on average.
inline constexpr std::chrono::microseconds HubTimePerHost{1'700};
/// Loads change by a prompt every few hundredths of a second; more often, the
/// exchanges cost more than they tell.
inline constexpr milliseconds ShortestReportPace{30};
/// Well below the time for which told loads count.
inline constexpr milliseconds LongestReportPace{240};

/// @brief How long the hub holds an answer back unless there is news.
///
/// Load answered: a few hosts place prompts before the same leaders, and each
/// knows of the others only what was told last. Few hosts tell often, many less
/// often, so that the hub's link and processor carry as much for a hundred
/// hosts as for forty. Pure; thread-safe.
/// @param Hosts How many there are; zero for not known.
[[nodiscard]] constexpr milliseconds reportPace(std::size_t Hosts) {
  if (Hosts == 0)
    return LongestReportPace;
  const auto Wanted = std::chrono::duration_cast<milliseconds>(
      HubTimePerHost * static_cast<std::int64_t>(Hosts));
  return std::clamp(Wanted, ShortestReportPace, LongestReportPace);
}

} // namespace coltsfoottrail

#endif
