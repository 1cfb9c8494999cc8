/// @file
/// Latency histogram with fixed buckets.
#ifndef COLTSFOOTTRAIL_TELEMETRY_HISTOGRAM_HPP
#define COLTSFOOTTRAIL_TELEMETRY_HISTOGRAM_HPP

#include "coltsfoottrail/core/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Latency histogram. It takes 120 bytes where a LatencySummary takes
/// kilobytes, and the histograms of several hosts can be added up. Not
/// thread-safe.
class LatencyHistogram {
public:
  /// Upper bounds of the buckets in milliseconds: dense around the latency
  /// targets of user requests, which lie between 100 and 400 ms.
  static constexpr std::array<std::uint32_t, 12> UpperBoundsMs{
      5, 10, 25, 50, 100, 200, 300, 400, 600, 1'000, 2'000, 5'000};

  /// @brief Records a latency.
  void record(Duration Latency) noexcept;
  /// @brief Appends the histogram's series in the Prometheus text format.
  /// @param Output Text to append to.
  /// @param Name Name of the metric family.
  /// @param Labels Labels without braces; may be empty.
  void appendTo(std::string &Output, std::string_view Name,
                std::string_view Labels) const;
  /// @brief Number of latencies recorded.
  [[nodiscard]] std::uint64_t count() const noexcept { return Count; }

private:
  std::array<std::uint64_t, UpperBoundsMs.size()> Buckets{};
  std::uint64_t Count = 0;
  double SumSeconds = 0.0;
};

} // namespace coltsfoottrail

#endif
