/// @file
/// Timing of groups and leases.
#ifndef COLTSFOOTTRAIL_GROUPS_TIMES_HPP
#define COLTSFOOTTRAIL_GROUPS_TIMES_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/groups/fwd.hpp"

#include <cstdint>

namespace coltsfoottrail {

/// @brief Timing of groups, leases and appends. All hosts of one deployment use
/// the same values.
struct GroupTimes {
  /// How long an executor may act on its lease by its own clock, counted from
  /// before it requested the lease.
  Duration LeaseLength = seconds(20);
  /// The clocks of two hosts drift apart by at most one part in this many.
  std::uint32_t DriftParts = 100;
  /// Time after which an unanswered order is given up.
  milliseconds OrderTimeout = milliseconds(3000);
  /// Time after which an unanswered query for a report is given up.
  milliseconds AskTimeout = milliseconds(500);
  /// Delay between entry hosts of successive ranks that may act on the same
  /// task.
  Duration Stagger = seconds(2);
  /// Time after which a record that had no effect is appended again.
  Duration AppendRetry = seconds(3);
  /// Interval between two queries of an engine that loads or leaves.
  Duration PollEvery = milliseconds(500);
  /// Interval between two queries of an engine that does not answer.
  Duration SilentPollEvery = seconds(5);
  /// Minimum interval between two orders to one engine.
  Duration OrderEvery = seconds(1);
  /// A group is abandoned if a member has not answered for this long while the
  /// group forms or stops.
  Duration MemberSilenceLimit = seconds(30);
  /// A group is abandoned if it has not formed within this time after it was
  /// allowed to load.
  Duration FormTimeout = std::chrono::minutes(20);
  /// A host that has queried engines and received no answer from any for this
  /// long considers itself cut off, and leaves leases and failure decisions to
  /// others.
  Duration CutOffAfter = seconds(10);
  /// A group is confirmed when the reports of all members are ready and no
  /// older than this.
  Duration ConfirmWindow = seconds(2);
  /// Time after which no entry host sends requests to a stopping group: longer
  /// than a record takes to be in force everywhere.
  Duration StopSettle = seconds(5);
  /// A stopping group is ordered to leave after its engines have reported no
  /// requests for this long, since their reports lag.
  Duration IdleFor = seconds(1);
  /// A step that has waited this long for hosts of a broken group is abandoned.
  Duration StepTimeout = seconds(120);
  /// Interval between two checks for missing groups.
  Duration RepairEvery = seconds(1);
  /// How long a repair waits for the surviving hosts of a broken group.
  Duration SurvivorWait = seconds(5);
  /// How long a host that did not answer is excluded from new groups.
  Duration AvoidFor = seconds(60);

  /// @brief Time after which, counted by any clock from when a lease was seen
  /// to be held, no order under it is sent or in progress. Thread-safe.
  [[nodiscard]] Duration leaseExpiredAfter() const {
    return LeaseLength + 2 * LeaseLength / DriftParts + OrderTimeout +
           seconds(1);
  }
};

} // namespace coltsfoottrail

#endif
