/// @file
/// Latency quantiles in constant memory.
#ifndef COLTSFOOTTRAIL_TELEMETRY_SUMMARY_HPP
#define COLTSFOOTTRAIL_TELEMETRY_SUMMARY_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/telemetry/fwd.hpp"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <optional>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief A piece of a distribution: an interval over which some of the samples
/// are taken to be spread evenly.
struct QuantilePiece {
  double Lower = 0;
  double Upper = 0;
  /// Number of samples in the interval.
  double Weight = 0;
};

/// @brief Quantile of a mixture of pieces; merges the estimates of several
/// shards into one. Thread-safe.
/// @param Pieces All pieces of all shards; may be empty.
/// @param Probability From 0 to 1.
/// @return The quantile; nothing if there are no samples.
[[nodiscard]] std::optional<double>
mixtureQuantile(std::span<const QuantilePiece> Pieces, double Probability);

/// @brief Estimates the quantiles of a stream of values over the last one to
/// two windows; sum and count cover all values ever recorded. Not thread-safe:
/// the lock of its shard protects it.
///
/// The first values of a window are kept exactly, since the P-square estimate
/// (Boost.Accumulators) is meaningless before its markers have settled.
class LatencySummary {
public:
  /// Length of a window.
  static constexpr Duration Window = seconds(60);

  /// @brief Records a value; one that is not finite is ignored.
  /// @param Value The value, in any unit.
  /// @param Now The current time; must not decrease between calls.
  void record(double Value, TimePoint Now);

  /// @brief Appends the pieces of the last one to two windows.
  /// @param Now The current time.
  /// @param Pieces Pieces are appended to it.
  void collect(TimePoint Now, std::vector<QuantilePiece> &Pieces) const;

  /// @brief Number of all values ever recorded.
  [[nodiscard]] std::uint64_t count() const noexcept { return Count; }
  /// @brief Sum of all values ever recorded.
  [[nodiscard]] double sum() const noexcept { return Sum; }

private:
  using Estimator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::extended_p_square,
                  boost::accumulators::tag::min, boost::accumulators::tag::max,
                  boost::accumulators::tag::count>>;
  struct Period {
    Period();
    void record(double Value);
    void collect(std::vector<QuantilePiece> &Pieces) const;

    std::vector<double> Exact;
    Estimator Estimate;
  };

  TimePoint WindowStart{};
  std::optional<Period> Current;
  std::optional<Period> Previous;
  std::uint64_t Count = 0;
  double Sum = 0;
};

} // namespace coltsfoottrail

#endif
