/// @file
/// What is known of one endpoint when a request looks for one.
#ifndef COLTSFOOTTRAIL_CHOICE_CANDIDATE_HPP
#define COLTSFOOTTRAIL_CHOICE_CANDIDATE_HPP

#include "coltsfoottrail/choice/health.hpp"
#include "coltsfoottrail/choice/latency.hpp"
#include "coltsfoottrail/choice/load.hpp"
#include "coltsfoottrail/route/table.hpp"

namespace coltsfoottrail {

/// Which list of a CandidateTable an endpoint stands in.
enum class Listing : std::uint8_t {
  /// No room, or not to be chosen.
  None,
  /// Room, in the data centre of this entry host.
  Near,
  /// Room, in another data centre.
  Far,
  /// May be tried with one request.
  Probe
};

/// @brief An endpoint of a pool.
struct Candidate {
  LoadModel Load;
  /// Recent time of service, in seconds for a unit of cost.
  LatencyModel Service = recentService();
  /// Recent failures: the mean of 1 for each failure and 0 for each answer.
  LatencyModel Failures = recentFailures();
  Health Condition;
  std::uint32_t Share = 0;
  /// Requests that it bears at once when warm, from all entry hosts.
  std::uint32_t Bound = 1;
  /// Own requests there that are suspected of crashing endpoints.
  std::uint32_t Suspects = 0;
  /// Number of its data centre.
  std::uint32_t DataCentre = 0;
  /// Generation of its cache hints and the last cache event seen.
  std::uint32_t HintEpoch = 1;
  std::uint64_t CacheSequence = 0;
  /// Kept by the table.
  std::uint32_t CountedSlots = 0;
  std::uint32_t CountedFree = 0;
  std::uint32_t Position = 0;
  Listing Listed = Listing::None;
  bool IsNear = false;
  bool Current = true;
  /// Run that it last reported; zero when it never did.
  Incarnation Run = 0;
  EndpointSpec Spec;

  /// @brief Whether it may be chosen among others.
  [[nodiscard]] bool open() const noexcept {
    return Listed == Listing::Near || Listed == Listing::Far;
  }
};

} // namespace coltsfoottrail

#endif
