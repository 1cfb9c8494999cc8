/// @file
/// The times that group life, leases and the watch over members go by.
#ifndef COLTSFOOTTRAIL_GROUPS_TIMES_HPP
#define COLTSFOOTTRAIL_GROUPS_TIMES_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/groups/fwd.hpp"

#include <cstdint>

namespace coltsfoottrail {

/// @brief Times of group life. All hosts of one deployment use the same.
struct GroupTimes {
  /// How long an executor may act on its lease, by its own clock, counted from
  /// before it asked for it.
  Duration LeaseLength = seconds(20);
  /// A clock of one host gains or loses at most one part in this many on
  /// another's.
  std::uint32_t DriftParts = 100;
  /// Within this an order's answer has come or is given up.
  milliseconds OrderTimeout = milliseconds(3000);
  /// Within this a report has come or is given up.
  milliseconds AskTimeout = milliseconds(500);
  /// Between the turns of entry hosts that may do the same.
  Duration Stagger = seconds(2);
  /// Before a record that had no effect is appended again.
  Duration AppendRetry = seconds(3);
  /// Between two reports asked of an engine that loads or leaves.
  Duration PollEvery = milliseconds(500);
  /// Between two reports asked of an engine that doesn't answer.
  Duration SilentPollEvery = seconds(5);
  /// Between two orders of one kind to one engine.
  Duration OrderEvery = seconds(1);
  /// A group whose member hasn't answered for so long while it forms or stops
  /// is given up.
  Duration MemberSilenceLimit = seconds(30);
  /// A group that hasn't formed in this time since its turn to load came is
  /// given up.
  Duration FormTimeout = std::chrono::minutes(20);
  /// Who asked engines and heard from none of them for so long takes itself for
  /// cut off and leaves leases and judgements to others.
  Duration CutOffAfter = seconds(10);
  /// Reports of all members that are this fresh prove together that a group is
  /// whole.
  Duration ConfirmWindow = seconds(2);
  /// After this no entry host sends work to a group that is stopping: longer
  /// than a record takes to be in force everywhere.
  Duration StopSettle = seconds(5);
  /// A group at rest for so long in its engines' reports, which lag, is told to
  /// leave.
  Duration IdleFor = seconds(1);
  /// A step that waits so long for hosts of a broken group is given up.
  Duration StepTimeout = seconds(120);
  /// Between two looks for groups that are missing.
  Duration RepairEvery = seconds(1);
  /// A repair waits so long for the survivors of a broken group.
  Duration SurvivorWait = seconds(5);
  /// A host that didn't answer gets no group for so long.
  Duration AvoidFor = seconds(60);

  /// @brief After this, counted by any clock from when a lease was seen to be
  /// held, no order under it is sent or under way. Thread-safe.
  [[nodiscard]] Duration leaseExpiredAfter() const {
    return LeaseLength + 2 * LeaseLength / DriftParts + OrderTimeout +
           seconds(1);
  }
};

} // namespace coltsfoottrail

#endif
