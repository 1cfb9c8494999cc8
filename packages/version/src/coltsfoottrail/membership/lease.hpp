/// @file
/// A lease that is checked immediately before each action under it.
#ifndef COLTSFOOTTRAIL_MEMBERSHIP_LEASE_HPP
#define COLTSFOOTTRAIL_MEMBERSHIP_LEASE_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/membership/fwd.hpp"

namespace coltsfoottrail {

/// @brief Permission to act until a time of this machine's BootClock.
///
/// Failure guarded against: a process is suspended past the end of its lease,
/// wakes up and continues where it was. A flag that a timer clears would still
/// be set, as the timer is suspended too. The guard holds no flag: it compares
/// with the time that the caller reads just before the action, on a clock that
/// counts the suspension. Thread-safe to read.
class LeaseGuard {
public:
  /// @brief Makes a lease that never holds.
  LeaseGuard() = default;
  /// @brief Makes a lease.
  /// @param End First time at which it no longer holds.
  explicit LeaseGuard(TimePoint End) : End(End) {}

  /// @brief Whether the lease holds.
  /// @param Now BootClock::now(), read just before the action.
  [[nodiscard]] bool holds(TimePoint Now) const noexcept { return Now < End; }
  /// @brief First time at which it no longer holds.
  [[nodiscard]] TimePoint end() const noexcept { return End; }

private:
  TimePoint End;
};

} // namespace coltsfoottrail

#endif
