/// @file
/// Tracks whether this host holds the coordinator lease, and under which
/// fencing token. The store's interface calls the coordinator role the duty.
#ifndef COLTSFOOTTRAIL_FLEETHOST_DUTYTERM_HPP
#define COLTSFOOTTRAIL_FLEETHOST_DUTYTERM_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/core/time.hpp"

namespace coltsfoottrail {

/// @brief Timing of the coordinator lease.
struct LeaseTimes {
  /// Requested duration. Another host takes over when the holder has not
  /// renewed for this long.
  milliseconds Lease{1'500};
  /// Upper bound of the requested duration. A store that answers slowly is
  /// asked for a longer lease, because one that expires before the next answer
  /// is useless.
  milliseconds LongestLease{6'000};
  /// Safety margin before the lease expires, so that an order arrives while it
  /// is still valid.
  milliseconds Margin{300};
  /// After the lease was gained, records written under the previous holder may
  /// still be on their way.
  milliseconds TakeOverPause{500};
  /// Records older than this are not acted on; it allows for several reads of a
  /// slow store.
  milliseconds StaleRecords{3'000};
};

/// How a response from the store changed this host's role.
enum class DutyChange : std::uint8_t { None, Gained, Lost };

/// @brief State of this host's coordinator lease. Pure: takes responses and
/// times. Not thread-safe.
///
/// A term begins when the lease is gained and has one fencing token. It
/// continues across a gap in the lease if the store's generation is unchanged,
/// because then no other host has held the lease. Failure guarded against: the
/// store answers a second late for a while, the lease expires before each
/// renewal is answered, and the coordinator starts afresh with each answer
/// under the same fencing token. It forgets what it ordered, reuses epochs, and
/// gives an engine of a serving group to another group.
class DutyTerm {
public:
  /// @brief Starts without a lease.
  explicit DutyTerm(LeaseTimes Times) : Times(Times) {}

  /// @brief The lease duration to request now.
  [[nodiscard]] milliseconds lease() const noexcept;

  /// @brief Applies a response of the store.
  /// @param Grant The response.
  /// @param RequestedAt When the request left this host. The store counts the
  /// lease from a later time.
  /// @param Now The current time.
  DutyChange applyGrant(const DutyGrant &Grant, TimePoint RequestedAt,
                        TimePoint Now);

  /// @brief Ends the term because an engine rejected its fencing token: another
  /// host holds the lease.
  void recordFenced() noexcept;
  /// @brief Releases the lease.
  void release() noexcept { LastHolder = false; }

  /// @brief Whether the lease is valid now.
  [[nodiscard]] bool holds(TimePoint Now) const noexcept {
    return LastHolder && Now < LeaseEnd;
  }
  /// @brief Whether this host may act on records that were read at a given
  /// time.
  ///
  /// Failure guarded against: a host is cut off from the store for seconds,
  /// gains the lease with its first successful call, and acts before it has
  /// read its feed again. Engines that the previous coordinator has put into a
  /// group look free, and a serving leader is given to another group.
  /// @param RecordsAsOf When the records were requested from the store.
  [[nodiscard]] bool mayAct(TimePoint Now,
                            TimePoint RecordsAsOf) const noexcept {
    return holds(Now) && RecordsAsOf >= ActFrom &&
           Now - RecordsAsOf < Times.StaleRecords;
  }
  /// @brief Whether this host was the last to hold the lease, as far as it
  /// knows.
  [[nodiscard]] bool isLastHolder() const noexcept { return LastHolder; }
  /// @brief Fencing token of the term.
  [[nodiscard]] std::uint64_t fence() const noexcept { return Fence; }
  /// @brief The store's generation in the last response; zero before the first.
  [[nodiscard]] std::uint64_t generation() const noexcept { return Generation; }

private:
  LeaseTimes Times;
  std::uint64_t Generation = 0;
  std::uint64_t Fence = 0;
  bool LastHolder = false;
  bool Superseded = false;
  TimePoint LeaseEnd{};
  TimePoint ActFrom{};
  /// Response time of the last request.
  Duration LastResponseTime{};
};

} // namespace coltsfoottrail

#endif
