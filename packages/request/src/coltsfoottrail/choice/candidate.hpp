/// @file
/// State of one endpoint that the choice for a request is based on.
#ifndef COLTSFOOTTRAIL_CHOICE_CANDIDATE_HPP
#define COLTSFOOTTRAIL_CHOICE_CANDIDATE_HPP

#include "coltsfoottrail/choice/health.hpp"
#include "coltsfoottrail/choice/latency.hpp"
#include "coltsfoottrail/choice/load.hpp"
#include "coltsfoottrail/route/table.hpp"

#include <optional>

namespace coltsfoottrail {

/// The list of a CandidateTable that an endpoint is in.
enum class Listing : std::uint8_t {
  /// Has no free slot, takes no request at present, or must not be chosen.
  None,
  /// Has a free slot, in the data centre of this entry host.
  Near,
  /// Has a free slot, in another data centre.
  Far,
  /// Was ejected and may be tried again with one request.
  Probe
};

/// @brief An endpoint of a pool.
struct Candidate {
  LoadModel Load;
  /// Recent service time, in seconds per unit of cost.
  LatencyModel Service = recentService();
  /// Recent failure rate: the mean of 1 for each failure and 0 for each answer.
  LatencyModel Failures = recentFailures();
  Health Condition;
  /// Requests that this entry host may have in progress there.
  std::uint32_t Share = 0;
  /// Limit of requests in progress when warm, from all entry hosts.
  std::uint32_t Bound = 1;
  /// This host's requests there that are suspected of crashing endpoints.
  std::uint32_t Suspects = 0;
  /// Index of its data centre in the table.
  std::uint32_t DataCentre = 0;
  /// Generation of its cache hints, and sequence number of the last cache
  /// event.
  std::uint32_t HintEpoch = 1;
  std::uint64_t CacheSequence = 0;
  /// This host's part of the rate limit that the endpoint has named, in
  /// requests per second; empty without a limit.
  std::optional<double> SendRate;
  /// When its rate limit and its back-off allow the next request; empty if they
  /// allow one now.
  std::optional<TimePoint> HeldUntil;
  /// It takes nothing until the end of its back-off.
  bool BacksOff = false;
  /// Its back-off has ended less than EndpointAvailability::ResumeTime ago.
  bool Resumes = false;
  /// It leaves and takes nothing any more.
  bool Leaves = false;
  // Maintained by the CandidateTable.
  std::uint32_t CountedSlots = 0;
  std::uint32_t CountedFree = 0;
  std::uint32_t Position = 0;
  Listing Listed = Listing::None;
  bool IsNear = false;
  bool CountedNear = false;
  bool Current = true;
  /// Run in its last load report; zero before the first.
  Incarnation Run = 0;
  EndpointSpec Spec;

  /// @brief Whether it takes no requests of this host for a while.
  [[nodiscard]] bool isUnwilling() const noexcept { return BacksOff || Leaves; }

  /// @brief Whether a rate limit, a back-off or its leaving was applied to it.
  [[nodiscard]] bool isRestricted() const noexcept {
    return SendRate || HeldUntil || isUnwilling() || Resumes;
  }

  /// @brief Whether it may be chosen in the normal way, not as a probe.
  [[nodiscard]] bool open() const noexcept {
    return Listed == Listing::Near || Listed == Listing::Far;
  }
};

} // namespace coltsfoottrail

#endif
