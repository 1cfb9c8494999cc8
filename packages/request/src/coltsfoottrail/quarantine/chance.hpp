/// @file
/// Tells by chance from by cause, where a part of prompts was at crashes.
#ifndef COLTSFOOTTRAIL_QUARANTINE_CHANCE_HPP
#define COLTSFOOTTRAIL_QUARANTINE_CHANCE_HPP

#include <cstddef>

namespace coltsfoottrail {

/// @brief What was seen of a part since the first crash that it was at.
struct CrashSample {
  /// Crashes that it was at, and all crashes.
  std::size_t Crashes = 0;
  std::size_t AllCrashes = 0;
  /// Mean number of requests that had just begun to run at a crash.
  double RequestsPerCrash = 1.0;
  /// Requests that were run without a crash, none of which had the part.
  double SoundRequests = 0.0;
};

/// @brief The probability that a part that crashes nothing is at as many of the
/// crashes and in none of the other requests, for the share of the requests
/// that makes this most likely. Pure; thread-safe.
[[nodiscard]] double chanceOfCrashes(const CrashSample &Sample);

} // namespace coltsfoottrail

#endif
