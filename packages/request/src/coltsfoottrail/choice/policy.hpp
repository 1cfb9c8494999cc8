/// @file
/// Policies for choosing an endpoint, and their settings.
#ifndef COLTSFOOTTRAIL_CHOICE_POLICY_HPP
#define COLTSFOOTTRAIL_CHOICE_POLICY_HPP

#include "coltsfoottrail/choice/fwd.hpp"
#include "coltsfoottrail/choice/locality.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <optional>

namespace coltsfoottrail {

/// @brief A random endpoint with a free slot; for comparisons.
struct RandomPolicy {};
/// @brief The next endpoint with a free slot, in order; for comparisons.
struct RoundRobinPolicy {};
/// @brief The endpoint with the fewest requests of this entry host in progress;
/// for comparisons. Examines all endpoints.
struct LeastInFlightPolicy {};

/// @brief When endpoints are ejected and probed again.
struct EjectionLimits {
  /// An endpoint is slow if its mean service time is above this many times the
  /// pool's.
  double SlowFactor = 2.5;
  /// Weight of samples needed to eject an endpoint as slow.
  double SlowEvidence = 5.0;
  /// Number of consecutive failures that ejects an endpoint.
  std::uint32_t ConsecutiveFailures = 2;
  /// Largest fraction of the pool that may be ejected as slow.
  double MaxSlowShare = 0.2;
  /// Largest fraction of the pool that may be ejected, for any cause.
  double MaxEjectedShare = 0.7;
  /// Duration of the first ejection; doubles each time up to Longest.
  Duration Shortest = seconds(5);
  Duration Longest = seconds(60);
  /// Answered probes needed before an endpoint ejected as slow is judged again.
  std::uint32_t SlowProbes = 3;
};

/// @brief The least estimated time to completion among a few candidates: those
/// that may have the prefix cached, and random samples of the endpoints in this
/// data centre (near) and in others (far).
struct EstimatedWaitPolicy {
  std::uint32_t NearProbes = 2;
  std::uint32_t FarProbes = 2;
  /// Added to the estimate for an endpoint in another data centre.
  Duration FarPenalty = milliseconds(2);
  /// Whether requests with a target latency and without a cached prefix stay in
  /// this data centre while it starts them in time; if empty, FarPenalty alone
  /// weighs distance.
  std::optional<HomeFirst> Home = std::nullopt;
  /// Initial fraction of the service time that a cached prefix saves.
  double CacheSaving = 0.3;
  /// Whether that fraction is learned from service times.
  bool LearnSaving = true;
  /// Candidates with the prefix are skipped if this host's requests there
  /// exceed this factor of its mean.
  double LoadFactor = 1.25;
  /// Lifetime of a hint from a cache event.
  Duration EventHintLife = seconds(120);
  /// Lifetime of a hint from an answer to this entry host.
  Duration OwnHintLife = seconds(30);
  /// Sets of four hints each; a power of two.
  std::uint32_t HintSets = 4096;
  /// Number of consecutive lost cache events from which an endpoint's hints are
  /// dropped.
  std::uint64_t HintResetGap = 16;
  /// Whether the endpoint at the prefix's position on the hash ring is a
  /// candidate.
  bool UseRing = true;
  /// Whether an endpoint is full when its estimated load (the last report,
  /// corrected by own requests since) reaches its bound. For entry hosts that
  /// use the same endpoints without credits: the load reports are all they know
  /// of each other's requests.
  bool FullByLoad = false;
  EjectionLimits Ejection;
};

} // namespace coltsfoottrail

#endif
