#include "coltsfoottrail/fleethost/dutyterm.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// A lease must outlast the next response and one more that is lost.
constexpr int ResponsesPerLease = 3;

} // namespace

milliseconds DutyTerm::lease() const noexcept {
  const auto ResponseAllowance = std::chrono::duration_cast<milliseconds>(
      LastResponseTime * ResponsesPerLease);
  return std::min(Times.Lease + ResponseAllowance, Times.LongestLease);
}

DutyChange DutyTerm::applyGrant(const DutyGrant &Grant, TimePoint RequestedAt,
                                TimePoint Now) {
  const milliseconds RequestedLease = lease();
  LastResponseTime = Now - RequestedAt;
  const bool GenerationChanged =
      std::exchange(Generation, Grant.Generation) != Grant.Generation;
  if (!Grant.Holds)
    return std::exchange(LastHolder, false) ? DutyChange::Lost
                                            : DutyChange::None;
  const bool LeaseValid = holds(Now);
  const bool SameTerm =
      LastHolder && !Superseded && (LeaseValid || !GenerationChanged);
  LastHolder = true;
  LeaseEnd = RequestedAt + RequestedLease - Times.Margin;
  if (SameTerm)
    return DutyChange::None;
  Superseded = false;
  Fence = Generation;
  ActFrom = Now + Times.TakeOverPause;
  return DutyChange::Gained;
}

void DutyTerm::recordFenced() noexcept {
  Superseded = true;
  LeaseEnd = TimePoint{};
}

} // namespace coltsfoottrail
