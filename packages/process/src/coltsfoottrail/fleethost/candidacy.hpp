/// @file
/// Decides whether a host takes part in the election of the coordinator.
#ifndef COLTSFOOTTRAIL_FLEETHOST_CANDIDACY_HPP
#define COLTSFOOTTRAIL_FLEETHOST_CANDIDACY_HPP

#include "coltsfoottrail/core/time.hpp"

namespace coltsfoottrail {

/// @brief Whether a host takes part in the election from the start.
enum class DutyRole : std::uint8_t {
  Candidate,
  /// Only when it hears of no coordinator.
  Reserve
};

/// @brief How long a host that may coordinate leaves it to others.
struct CandidacyTimes {
  /// Without a sign of a coordinator, while the store answers.
  milliseconds Reserve{2'000};
  milliseconds Candidate{0};
};

/// @brief One host's decision whether to ask for the lease. Pure; not
/// thread-safe; times must not go back.
///
/// The store deals the lease out anew with each host that asks for it. A
/// reserve leaves it to the candidates, also after an outage of the store: all
/// hosts have lost the coordinator then, and it takes the candidates a moment
/// to elect one.
class Candidacy {
public:
  /// @brief Starts without a coordinator.
  Candidacy(DutyRole Given, CandidacyTimes Spans, TimePoint Now) noexcept
      : Role(Given), Times(Spans), AloneSince(Now) {}

  /// @brief Takes a sign that another host coordinates.
  void recordCoordinator(TimePoint Now) noexcept { AloneSince = Now; }
  /// @brief Takes whether the store answers.
  void recordStore(bool Answers, TimePoint Now) noexcept;

  /// @brief Whether this host leaves the lease to others.
  /// @param Holds Whether it had the lease last.
  [[nodiscard]] bool standsAside(bool Holds, TimePoint Now) const noexcept;

private:
  DutyRole Role;
  CandidacyTimes Times;
  /// Since when there has been no sign of a coordinator.
  TimePoint AloneSince;
  bool StoreAnswers = true;
};

} // namespace coltsfoottrail

#endif
