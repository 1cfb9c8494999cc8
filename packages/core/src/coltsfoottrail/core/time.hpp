/// @file
/// The clock that leases, deadlines and decisions use.
#ifndef COLTSFOOTTRAIL_CORE_TIME_HPP
#define COLTSFOOTTRAIL_CORE_TIME_HPP

#include <chrono>

namespace coltsfoottrail {

/// @brief Monotonic clock that goes on counting while the machine is suspended.
///
/// Failure guarded against: a host that sleeps and wakes believes that its
/// leases still run, because the usual monotonic clock stood still meanwhile.
/// CLOCK_BOOTTIME counts the sleep, so the lease is seen to have lapsed.
struct BootClock {
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  /// @brief Reads the clock. Thread-safe.
  /// @return The time since boot, suspended time included.
  [[nodiscard]] static time_point now() noexcept;
};

/// A time on this machine's BootClock; never sent to another machine.
using TimePoint = BootClock::time_point;
/// A span of time in nanoseconds.
using Duration = BootClock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace coltsfoottrail

#endif
