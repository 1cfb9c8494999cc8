#include "coltsfoottrail/fleethost/candidacy.hpp"

#include <utility>

namespace coltsfoottrail {

void Candidacy::recordStore(bool Answers, TimePoint Now) noexcept {
  if (Answers && !StoreAnswers)
    LastSignAt = Now;
  StoreAnswers = Answers;
  LostStore = LostStore || !Answers;
}

bool Candidacy::standsAside(bool WasLastHolder, TimePoint Now) const noexcept {
  if (WasLastHolder)
    return false;
  const Duration SinceLastSign = Now - LastSignAt;
  if (Role == DutyRole::Candidate)
    return LostStore && Now >= MemberUntil && SinceLastSign < Times.Candidate;
  return !StoreAnswers || SinceLastSign < Times.Reserve;
}

} // namespace coltsfoottrail
