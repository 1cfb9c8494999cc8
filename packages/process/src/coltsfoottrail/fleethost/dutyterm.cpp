#include "coltsfoottrail/fleethost/dutyterm.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Answers that a lease must outlast: the next one, and one more that is lost.
constexpr int AnswersInALease = 3;

} // namespace

milliseconds DutyTerm::lease() const noexcept {
  const auto Slow =
      std::chrono::duration_cast<milliseconds>(AnswerTook * AnswersInALease);
  return std::min(Times.Lease + Slow, Times.LongestLease);
}

DutyChange DutyTerm::take(const DutyGrant &Grant, TimePoint AskedAt,
                          TimePoint Now) {
  const milliseconds Asked = lease();
  AnswerTook = Now - AskedAt;
  const bool Moved =
      std::exchange(Generation, Grant.Generation) != Grant.Generation;
  if (!Grant.Holds)
    return std::exchange(Held, false) ? DutyChange::Lost : DutyChange::None;
  const bool Acting = holds(Now);
  const bool SameTerm = Held && !Over && (Acting || !Moved);
  Held = true;
  HeldUntil = AskedAt + Asked - Times.Margin;
  if (SameTerm)
    return DutyChange::None;
  Over = false;
  Fence = Generation;
  ActFrom = Now + Times.TakeOverPause;
  return DutyChange::Gained;
}

void DutyTerm::fenced() noexcept {
  Over = true;
  HeldUntil = TimePoint{};
}

} // namespace coltsfoottrail
