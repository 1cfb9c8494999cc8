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
/// The store may deal the lease out anew when its members change. Candidates
/// are members from their start, so that one of them takes over at once from a
/// holder that stops. One that lost the store asks again only if there is no
/// sign of a coordinator whose lease is valid. After an outage, when no lease
/// is, the last holder asks first, then the candidates, then the reserves.
class Candidacy {
public:
  /// @brief Starts without a sign of a coordinator.
  Candidacy(DutyRole Role, CandidacyTimes Times, TimePoint Now) noexcept
      : Role(Role), Times(Times), LastSignAt(Now) {}

  /// @brief Takes a sign that another host coordinates.
  /// @param LeaseIsValid Whether it may act: one that is cut off from the store
  /// may not, and a candidate is to take over from it.
  void recordCoordinator(bool LeaseIsValid, TimePoint Now) noexcept {
    if (LeaseIsValid || Role == DutyRole::Reserve)
      LastSignAt = Now;
  }
  /// @brief Takes that the store counts this host as a member until a time.
  void recordMembership(TimePoint Until) noexcept {
    MemberUntil = Until;
    LostStore = false;
  }
  /// @brief Takes whether the store answers.
  void recordStore(bool Answers, TimePoint Now) noexcept;

  /// @brief Whether this host leaves the lease to others.
  /// @param Holds Whether it had the lease last.
  [[nodiscard]] bool standsAside(bool WasLastHolder,
                                 TimePoint Now) const noexcept;

private:
  DutyRole Role;
  CandidacyTimes Times;
  /// Since when there has been no sign of a coordinator.
  TimePoint LastSignAt;
  TimePoint MemberUntil{};
  bool StoreAnswers = true;
  /// Whether the store was away since this host was a member.
  bool LostStore = false;
};

} // namespace coltsfoottrail

#endif
