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
  /// Longer than a few lost exchanges with it, and than the last holder takes
  /// to notice the store's return; shorter than a lease.
  milliseconds Candidate{1'000};
};

/// @brief One host's decision whether to ask for the lease. Pure; not
/// thread-safe; times must not go back.
///
/// The store deals the lease out anew whenever its members change. A host
/// becomes a member only if there is no sign of a coordinator whose lease is
/// valid; a candidate that is one remains so. After an outage of the store,
/// when no lease is valid, the last holder asks first, then the candidates,
/// then the reserves.
class Candidacy {
public:
  /// @brief Starts without a sign of a coordinator.
  /// @param Given The role of this host.
  /// @param Spans How long it stands aside.
  /// @param NewFleet Whether all hosts start for the first time: there is no
  /// coordinator that a candidate could hear of.
  /// @param Now The time.
  Candidacy(DutyRole Given, CandidacyTimes Spans, bool NewFleet,
            TimePoint Now) noexcept
      : Role(Given), Times(Spans),
        AloneSince(NewFleet && Given == DutyRole::Candidate ? TimePoint{}
                                                            : Now) {}

  /// @brief Takes a sign that another host coordinates.
  /// @param LeaseIsValid Whether it may act: one that is cut off from the store
  /// may not, and a candidate is to take over from it.
  void recordCoordinator(bool LeaseIsValid, TimePoint Now) noexcept {
    if (LeaseIsValid || Role == DutyRole::Reserve)
      AloneSince = Now;
  }
  /// @brief Takes that the store counts this host as a member until a time.
  void recordMembership(TimePoint Until) noexcept { MemberUntil = Until; }
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
  TimePoint MemberUntil{};
  bool StoreAnswers = true;
};

} // namespace coltsfoottrail

#endif
