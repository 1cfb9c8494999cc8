/// @file
/// The ways of choosing an endpoint and their settings.
#ifndef COLTSFOOTTRAIL_CHOICE_POLICY_HPP
#define COLTSFOOTTRAIL_CHOICE_POLICY_HPP

#include "coltsfoottrail/choice/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"

namespace coltsfoottrail {

/// @brief Any endpoint that has room; for comparisons.
struct RandomPolicy {};
/// @brief The next endpoint that has room, in order; for comparisons.
struct RoundRobinPolicy {};
/// @brief The endpoint with the fewest requests of this entry host in progress;
/// for comparisons. Looks at all endpoints.
struct LeastInFlightPolicy {};

/// @brief When an endpoint is taken out of the choice and tried again.
struct EjectionLimits {
  /// Times the pool's mean time of service from which an endpoint is a
  /// straggler.
  double SlowFactor = 2.5;
  /// Weight of samples that it takes to call an endpoint a straggler.
  double SlowEvidence = 5.0;
  /// Failures in a row that eject.
  std::uint32_t FailuresInRow = 2;
  /// Most of the pool that may be ejected for slowness.
  double MaxSlowShare = 0.2;
  /// Most of the pool that may be ejected, for whichever cause.
  double MaxEjectedShare = 0.7;
  /// First ejection; doubles each time up to the longest.
  Duration Shortest = seconds(5);
  Duration Longest = seconds(60);
  /// Answers of a former straggler before it is judged again.
  std::uint32_t SlowProbes = 3;
};

/// @brief The least estimated time to completion among a few candidates: those
/// that may have the prefix cached and some drawn at random, near and far.
struct EstimatedWaitPolicy {
  std::uint32_t NearProbes = 2;
  std::uint32_t FarProbes = 2;
  /// Added for an endpoint in another data centre.
  Duration FarPenalty = milliseconds(2);
  /// Part of the service that a cached prefix saves, until it is learned.
  double CacheSaving = 0.3;
  /// Whether the saving is learned from the answers.
  bool LearnSaving = true;
  /// Cached candidates are passed over above this factor of the mean load.
  double LoadFactor = 1.25;
  /// Life of a hint from a cache event.
  Duration EventHintLife = seconds(120);
  /// Life of a hint from an answer to this entry host.
  Duration OwnHintLife = seconds(30);
  /// Sets of four hints each; a power of two.
  std::uint32_t HintSets = 4096;
  /// Cache events lost at a time from which an endpoint's hints are dropped.
  std::uint64_t HintResetGap = 16;
  /// Whether a prefix without a hint goes to its place on the hash ring.
  bool UseRing = true;
  /// Whether an endpoint is full when its load, as reported and corrected by
  /// own requests since, reaches its bound. For entry hosts that share
  /// endpoints without shares of their own: their reports are all they know of
  /// each other.
  bool FullByLoad = false;
  EjectionLimits Ejection;
};

} // namespace coltsfoottrail

#endif
