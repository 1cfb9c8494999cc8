/// @file
/// The clock for leases, deadlines and decisions.
#ifndef COLTSFOOTTRAIL_CORE_TIME_HPP
#define COLTSFOOTTRAIL_CORE_TIME_HPP

#include <chrono>

namespace coltsfoottrail {

/// @brief Monotonic clock that includes the time while the machine is
/// suspended.
///
/// With CLOCK_MONOTONIC, which stops during suspension, a host that resumes
/// would take its leases for valid although they have expired. CLOCK_BOOTTIME
/// counts the suspended time, so the leases are seen to have expired.
struct BootClock {
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  /// @brief Reads the clock. Thread-safe.
  /// @return The time since boot, including suspended time.
  [[nodiscard]] static time_point now() noexcept;
};

/// A point in time on this machine's BootClock; never sent to another machine.
using TimePoint = BootClock::time_point;
/// A span of time in nanoseconds.
using Duration = BootClock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace coltsfoottrail

#endif
