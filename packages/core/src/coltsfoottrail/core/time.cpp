#include "coltsfoottrail/core/time.hpp"

#include <ctime>

namespace coltsfoottrail {

BootClock::time_point BootClock::now() noexcept {
  timespec Raw{};
  ::clock_gettime(CLOCK_BOOTTIME, &Raw);
  return time_point(std::chrono::seconds(Raw.tv_sec) +
                    std::chrono::nanoseconds(Raw.tv_nsec));
}

} // namespace coltsfoottrail
