#include "coltsfoottrail/fleethost/candidacy.hpp"

#include <utility>

namespace coltsfoottrail {

void Candidacy::recordStore(bool Answers, TimePoint Now) noexcept {
  if (Answers && !StoreAnswers)
    AloneSince = Now;
  StoreAnswers = Answers;
}

bool Candidacy::standsAside(bool Holds, TimePoint Now) const noexcept {
  if (Holds)
    return false;
  if (Role == DutyRole::Candidate)
    return Now - AloneSince < Times.Candidate;
  return !StoreAnswers || Now - AloneSince < Times.Reserve;
}

} // namespace coltsfoottrail
