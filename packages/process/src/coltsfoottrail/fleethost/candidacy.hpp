/// @file
/// Decides whether a host competes for the coordinator lease.
#ifndef COLTSFOOTTRAIL_FLEETHOST_CANDIDACY_HPP
#define COLTSFOOTTRAIL_FLEETHOST_CANDIDACY_HPP

#include "coltsfoottrail/core/time.hpp"

namespace coltsfoottrail {

/// @brief Whether a host competes for the coordinator lease from its start.
enum class DutyRole : std::uint8_t {
  Candidate,
  /// Competes only if it does not hear of a coordinator.
  Reserve
};

/// @brief How long a host that could coordinate leaves the lease to others.
struct CandidacyTimes {
  /// For reserves: time without a sign of a coordinator while the store
  /// answers.
  milliseconds Reserve{2'000};
  /// For candidates: longer than a few lost exchanges with the coordinator and
  /// than the last holder needs to notice that the store is back; shorter than
  /// a lease.
  milliseconds Candidate{1'000};
};

/// @brief Decides whether one host requests the lease. Pure; not thread-safe;
/// times must not go back.
///
/// The store may reassign the lease when its members change. Candidates are
/// members from their start, so that one of them takes over immediately when
/// the holder stops. A candidate that lost the store requests the lease again
/// only if there is no sign of a coordinator with a valid lease. After an
/// outage, when no lease is valid, the last holder requests it first, then the
/// candidates, then the reserves.
class Candidacy {
public:
  /// @brief Starts as if a coordinator had been heard of at the given time.
  Candidacy(DutyRole Role, CandidacyTimes Times, TimePoint Now) noexcept
      : Role(Role), Times(Times), LastSignAt(Now) {}

  /// @brief Records a sign that another host coordinates.
  /// @param LeaseIsValid Whether that host holds a valid lease. A coordinator
  /// that is cut off from the store does not, and a candidate should take over
  /// from it.
  void recordCoordinator(bool LeaseIsValid, TimePoint Now) noexcept {
    if (LeaseIsValid || Role == DutyRole::Reserve)
      LastSignAt = Now;
  }
  /// @brief Records until when the store counts this host as a member.
  void recordMembership(TimePoint Until) noexcept {
    MemberUntil = Until;
    LostStore = false;
  }
  /// @brief Records whether the store answers.
  void recordStore(bool Answers, TimePoint Now) noexcept;

  /// @brief Whether this host leaves the lease to others.
  /// @param WasLastHolder Whether this host was the last to hold the lease.
  [[nodiscard]] bool standsAside(bool WasLastHolder,
                                 TimePoint Now) const noexcept;

private:
  DutyRole Role;
  CandidacyTimes Times;
  /// Last sign of a coordinator, or the last time when the store came back.
  TimePoint LastSignAt;
  TimePoint MemberUntil{};
  bool StoreAnswers = true;
  /// Whether the store has been unavailable since this host was last a member.
  bool LostStore = false;
};

} // namespace coltsfoottrail

#endif
