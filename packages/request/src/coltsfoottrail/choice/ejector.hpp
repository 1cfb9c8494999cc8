/// @file
/// Leaves stragglers and failing endpoints out of the choice for a while.
#ifndef COLTSFOOTTRAIL_CHOICE_EJECTOR_HPP
#define COLTSFOOTTRAIL_CHOICE_EJECTOR_HPP

#include "coltsfoottrail/choice/candidates.hpp"
#include "coltsfoottrail/core/random.hpp"

#include <map>
#include <optional>
#include <utility>

namespace coltsfoottrail {

/// @brief Judges endpoints after each attempt. Works on a table that outlives
/// it. Not thread-safe.
class Ejector {
public:
  /// @brief Makes an ejector that has ejected nothing.
  explicit Ejector(EjectionLimits Wanted) noexcept : Limits(Wanted) {}

  /// @brief Ejects an endpoint, or takes it back, by what is known of it.
  /// @param PoolMean Mean time of service of the pool.
  /// @param Draw Spreads the returns.
  void judge(CandidateTable &Table, CandidateId Which, double PoolMean,
             Random &Draw, TimePoint Now);

  /// @brief Takes an endpoint back, as when it leaves or has restarted.
  void release(CandidateTable &Table, CandidateId Which);

  /// @brief Lets endpoints whose ejection is over be tried; the first one at
  /// once when there is no other to use.
  void advance(CandidateTable &Table, TimePoint Now);

  /// @brief When advance() has something to do next.
  [[nodiscard]] std::optional<TimePoint> nextChange() const;

  /// @brief Endpoints ejected or being tried again.
  [[nodiscard]] std::size_t ejected() const noexcept { return Ejected; }

private:
  [[nodiscard]] bool isSlow(const Candidate &Endpoint, double Evidence,
                            double PoolMean, TimePoint Now) const;
  [[nodiscard]] bool mayEject(const CandidateTable &Table,
                              Health::Cause Cause) const;
  [[nodiscard]] std::optional<Health::Cause>
  fault(const Candidate &Endpoint, double PoolMean, TimePoint Now) const;
  void judgeProbe(CandidateTable &Table, CandidateId Which, double PoolMean,
                  Random &Draw, TimePoint Now);
  void eject(Candidate &Endpoint, CandidateId Which, Health::Cause Cause,
             Random &Draw, TimePoint Now);

  EjectionLimits Limits;
  /// By end of the ejection, then by order.
  std::map<std::pair<TimePoint, std::uint64_t>, CandidateId> Ends;
  std::uint64_t NextNumber = 0;
  std::size_t Ejected = 0;
  std::size_t EjectedSlow = 0;
};

} // namespace coltsfoottrail

#endif
