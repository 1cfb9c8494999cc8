/// @file
/// Decides from the store's answers whether this host has the duty, and under
/// which fencing number.
#ifndef COLTSFOOTTRAIL_FLEETHOST_DUTYTERM_HPP
#define COLTSFOOTTRAIL_FLEETHOST_DUTYTERM_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/core/time.hpp"

namespace coltsfoottrail {

/// @brief Lease times of a duty.
struct LeaseTimes {
  /// Another host takes over when this one was silent for so long.
  milliseconds Lease{1'500};
  /// A store that answers slowly is asked for a longer lease, for one that
  /// ends before the next answer is of no use; but not for more than this.
  milliseconds LongestLease{6'000};
  /// Kept free of the lease, so that an order arrives inside it.
  milliseconds Margin{300};
  /// After the duty was gained, records written under the predecessor are still
  /// on their way.
  milliseconds TakeOverPause{500};
  /// Records that are older are not acted on: several reads of a slow store.
  milliseconds StaleRecords{3'000};
};

/// What an answer changed.
enum class DutyChange : std::uint8_t { None, Gained, Lost };

/// @brief One host's part in a duty. Pure: takes answers and times. Not
/// thread-safe.
///
/// A term begins when the duty is gained and has one fencing number. It goes on
/// over a gap in the lease if the store's generation has not moved: then nobody
/// else has had the duty. Failure guarded against: the store answers a second
/// late for a while, the lease runs out before each renewal is answered, and
/// the driver began anew with each answer, under the same fencing number: it
/// forgot what it had ordered, used epochs a second time, and gave an engine of
/// a group that served to another group.
class DutyTerm {
public:
  /// @brief Starts without the duty.
  explicit DutyTerm(LeaseTimes Times) : Times(Times) {}

  /// @brief The lease to ask for now.
  [[nodiscard]] milliseconds lease() const noexcept;

  /// @brief Takes an answer.
  /// @param Grant What the store said.
  /// @param AskedAt When the question left: the store counts the lease from
  /// later on.
  /// @param Now The time.
  DutyChange applyGrant(const DutyGrant &Grant, TimePoint RequestedAt,
                        TimePoint Now);

  /// @brief An engine refused this term's fencing number: another host has the
  /// duty, and this term is over.
  void recordFenced() noexcept;
  /// @brief The duty is given up.
  void release() noexcept { LastHolder = false; }

  /// @brief Whether this host may act now.
  [[nodiscard]] bool holds(TimePoint Now) const noexcept {
    return LastHolder && Now < LeaseEnd;
  }
  /// @brief Whether it may act on records that were read at a time.
  ///
  /// Failure guarded against: a host is cut off from the store for seconds,
  /// gains the duty with the first call that gets through, and acts before its
  /// feed is read again: engines that the last driver has put into a group look
  /// free, and a leader that serves is given to another group.
  /// @param RecordsAsOf When the store was asked for them.
  [[nodiscard]] bool mayAct(TimePoint Now,
                            TimePoint RecordsAsOf) const noexcept {
    return holds(Now) && RecordsAsOf >= ActFrom &&
           Now - RecordsAsOf < Times.StaleRecords;
  }
  /// @brief Whether it was the last one to have the duty as far as it knows.
  [[nodiscard]] bool isLastHolder() const noexcept { return LastHolder; }
  /// @brief Fencing number of the term.
  [[nodiscard]] std::uint64_t fence() const noexcept { return Fence; }
  /// @brief The store's generation as last heard; zero for none.
  [[nodiscard]] std::uint64_t generation() const noexcept { return Generation; }

private:
  LeaseTimes Times;
  std::uint64_t Generation = 0;
  std::uint64_t Fence = 0;
  bool LastHolder = false;
  bool Superseded = false;
  TimePoint LeaseEnd{};
  TimePoint ActFrom{};
  /// How long the last answer took.
  Duration LastResponseTime{};
};

} // namespace coltsfoottrail

#endif
