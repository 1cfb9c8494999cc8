#include "coltsfoottrail/fleethost/candidacy.hpp"

#include <utility>

namespace coltsfoottrail {

void Candidacy::recordStore(bool Answers, TimePoint Now) noexcept {
  if (Answers && !StoreAnswers)
    AloneSince = Now;
  StoreAnswers = Answers;
  LostStore = LostStore || !Answers;
}

bool Candidacy::standsAside(bool Holds, TimePoint Now) const noexcept {
  if (Holds)
    return false;
  const Duration Alone = Now - AloneSince;
  if (Role == DutyRole::Candidate)
    return LostStore && Now >= MemberUntil && Alone < Times.Candidate;
  return !StoreAnswers || Alone < Times.Reserve;
}

} // namespace coltsfoottrail
