/// @file
/// Temporary ejection of slow and failing endpoints (outlier detection).
#ifndef COLTSFOOTTRAIL_CHOICE_EJECTOR_HPP
#define COLTSFOOTTRAIL_CHOICE_EJECTOR_HPP

#include "coltsfoottrail/choice/candidates.hpp"
#include "coltsfoottrail/core/random.hpp"

#include <map>
#include <optional>
#include <utility>

namespace coltsfoottrail {

/// @brief Decides after each attempt whether its endpoint is ejected. The table
/// passed in must outlive it. Not thread-safe.
class Ejector {
public:
  /// @brief Starts without ejected endpoints.
  explicit Ejector(EjectionLimits Configured) noexcept : Limits(Configured) {}

  /// @brief Ejects or restores an endpoint by its recent failures and service
  /// times.
  /// @param PoolMean Mean service time of the pool.
  /// @param Rng Jitter for the end of the ejection.
  void judge(CandidateTable &Table, CandidateId Id, double PoolMean,
             Random &Rng, TimePoint Now);

  /// @brief Ends an ejection, for example because the endpoint was removed or
  /// has restarted.
  void release(CandidateTable &Table, CandidateId Id);

  /// @brief Makes endpoints whose ejection has ended available for probes; if
  /// no other endpoint is usable, the first one at once.
  void advance(CandidateTable &Table, TimePoint Now);

  /// @brief Time of the next call to advance() that has an effect.
  [[nodiscard]] std::optional<TimePoint> nextChange() const;

  /// @brief Number of endpoints ejected or being probed.
  [[nodiscard]] std::size_t ejected() const noexcept { return Ejected; }

private:
  [[nodiscard]] bool isSlow(const Candidate &Endpoint, double Evidence,
                            double PoolMean, TimePoint Now) const;
  [[nodiscard]] bool mayEject(const CandidateTable &Table,
                              Health::Cause Cause) const;
  [[nodiscard]] std::optional<Health::Cause>
  detectFault(const Candidate &Endpoint, double PoolMean, TimePoint Now) const;
  void judgeProbe(CandidateTable &Table, CandidateId Id, double PoolMean,
                  Random &Rng, TimePoint Now);
  void eject(Candidate &Endpoint, CandidateId Id, Health::Cause Cause,
             Random &Rng, TimePoint Now);

  EjectionLimits Limits;
  /// Ordered by end of the ejection, then by order of ejection.
  std::map<std::pair<TimePoint, std::uint64_t>, CandidateId> EjectionEnds;
  std::uint64_t NextSequence = 0;
  std::size_t Ejected = 0;
  std::size_t EjectedSlow = 0;
};

} // namespace coltsfoottrail

#endif
