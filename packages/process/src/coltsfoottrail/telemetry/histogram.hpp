/// @file
/// Counts of latencies in fixed buckets.
#ifndef COLTSFOOTTRAIL_TELEMETRY_HISTOGRAM_HPP
#define COLTSFOOTTRAIL_TELEMETRY_HISTOGRAM_HPP

#include "coltsfoottrail/core/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief A histogram of 120 bytes, where a summary takes kilobytes; several
/// hosts' histograms can be added up. Not thread-safe.
class LatencyHistogram {
public:
  /// Upper ends of the buckets in milliseconds: dense around the targets of the
  /// users' requests, which lie between 100 and 400 ms.
  static constexpr std::array<std::uint32_t, 12> UpperMs{
      5, 10, 25, 50, 100, 200, 300, 400, 600, 1'000, 2'000, 5'000};

  /// @brief Takes a latency.
  void record(Duration Latency) noexcept;
  /// @brief Appends its series in the Prometheus text format.
  /// @param Name Name of the family.
  /// @param Labels Labels without braces; may be empty.
  void appendTo(std::string &Out, std::string_view Name,
                std::string_view Labels) const;
  /// @brief Counts all latencies taken.
  [[nodiscard]] std::uint64_t count() const noexcept { return Count; }

private:
  std::array<std::uint64_t, UpperMs.size()> Buckets{};
  std::uint64_t Count = 0;
  double SumSeconds = 0.0;
};

} // namespace coltsfoottrail

#endif
