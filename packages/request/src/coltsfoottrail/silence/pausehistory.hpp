/// @file
/// Longest recent pause of the endpoints that this host uses.
#ifndef COLTSFOOTTRAIL_SILENCE_PAUSEHISTORY_HPP
#define COLTSFOOTTRAIL_SILENCE_PAUSEHISTORY_HPP

#include "coltsfoottrail/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace coltsfoottrail {

/// @brief Longest duration recorded within a recent window. Not thread-safe;
/// times must not go back.
class PauseHistory {
public:
  /// A pause is forgotten after this time, or up to one bucket sooner.
  static constexpr Duration Window = seconds(30);

  /// @brief Records a pause that has just ended.
  void record(Duration Pause, TimePoint Now) noexcept;
  /// @brief The longest pause within the window; zero if there was none.
  [[nodiscard]] Duration longest(TimePoint Now) const noexcept;

private:
  static constexpr std::size_t BucketCount = 6;
  static constexpr Duration BucketSpan = Window / BucketCount;

  struct Bucket {
    /// Number of the time span that the bucket covers.
    std::int64_t Span = 0;
    Duration Longest{};
  };

  [[nodiscard]] static std::int64_t spanAt(TimePoint Now) noexcept {
    return Now.time_since_epoch() / BucketSpan;
  }

  std::array<Bucket, BucketCount> Buckets;
};

} // namespace coltsfoottrail

#endif
