/// @file
/// Counts how many of the requests that had just begun to run were lost in
/// crashes of their endpoints.
#ifndef COLTSFOOTTRAIL_QUARANTINE_RUNTALLY_HPP
#define COLTSFOOTTRAIL_QUARANTINE_RUNTALLY_HPP

#include "coltsfoottrail/core/time.hpp"

#include <array>
#include <cstdint>

namespace coltsfoottrail {

/// @brief Numbers of runs.
struct RunCounts {
  std::size_t Lost = 0;
  std::size_t Sound = 0;
};

/// @brief Lost and surviving runs of the last minute. Not thread-safe.
class RunTally {
public:
  /// @brief Records a run that began at a time and survived.
  void addSound(TimePoint BegunAt) { ++slotAt(BegunAt).Sound; }
  /// @brief Records a run that was lost in a crash at a time.
  void addLost(TimePoint CrashedAt) { ++slotAt(CrashedAt).Lost; }

  /// @brief The runs that were lost since a time, and those that began between
  /// two times and survived.
  [[nodiscard]] RunCounts between(TimePoint From, TimePoint To) const;

private:
  static constexpr Duration SlotLength = milliseconds(250);
  static constexpr std::size_t SlotCount = 240;
  struct Slot {
    Duration::rep Number = -1;
    std::uint32_t Sound = 0;
    std::uint32_t Lost = 0;
  };

  [[nodiscard]] static Duration::rep numberOf(TimePoint Time) {
    return Time.time_since_epoch() / SlotLength;
  }
  [[nodiscard]] Slot &slotAt(TimePoint Time);

  std::array<Slot, SlotCount> Slots;
};

} // namespace coltsfoottrail

#endif
