/// @file
/// A lease that is checked at the act itself.
#ifndef COLTSFOOTTRAIL_MEMBERSHIP_LEASE_HPP
#define COLTSFOOTTRAIL_MEMBERSHIP_LEASE_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/membership/fwd.hpp"

namespace coltsfoottrail {

/// @brief Leave to act until a time on this machine's BootClock.
///
/// Failure guarded against: a process sleeps past the end of its lease, wakes
/// and goes on where it was. A flag that a timer clears is still set, as the
/// timer sleeps too. The guard holds no flag: it compares with the time that
/// the caller reads just before the act, on a clock that counts the sleep.
/// Thread-safe to read.
class LeaseGuard {
public:
  /// @brief A lease that never holds.
  LeaseGuard() = default;
  /// @brief A lease.
  /// @param End First time at which it no longer holds.
  explicit LeaseGuard(TimePoint End) : End(End) {}

  /// @brief Tells whether the lease holds.
  /// @param Now BootClock::now(), read just before the act.
  [[nodiscard]] bool holds(TimePoint Now) const noexcept { return Now < End; }
  /// @brief First time at which it no longer holds.
  [[nodiscard]] TimePoint end() const noexcept { return End; }

private:
  TimePoint End;
};

} // namespace coltsfoottrail

#endif
