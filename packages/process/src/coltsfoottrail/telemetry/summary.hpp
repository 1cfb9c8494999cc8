/// @file
/// Quantiles of latencies in constant memory.
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

/// @brief A share of a distribution: a straight line between two values that
/// holds some of the samples.
struct QuantilePiece {
  double Lower = 0;
  double Upper = 0;
  /// Samples that lie in it.
  double Weight = 0;
};

/// @brief Quantile of a mixture of pieces, which is how estimates of several
/// shards become one. Thread-safe.
/// @param Pieces All pieces of all shards; may be empty.
/// @param Probability From 0 to 1.
/// @return The value; nothing without samples.
[[nodiscard]] std::optional<double>
mixtureQuantile(std::span<const QuantilePiece> Pieces, double Probability);

/// @brief Estimates the quantiles of the last one to two windows of a stream of
/// values; sum and count are of all time. Not thread-safe: it stands under the
/// lock of its shard.
///
/// The first values of a window are kept exactly, since the P-square estimate
/// (Boost.Accumulators) is meaningless before its markers have settled.
class LatencySummary {
public:
  /// Length of a window.
  static constexpr Duration Window = seconds(60);

  /// @brief Takes a value.
  /// @param Value The value, in any unit.
  /// @param Now The time; never earlier than in the last call.
  void record(double Value, TimePoint Now);

  /// @brief Appends the pieces of the last one to two windows.
  /// @param Now The time.
  /// @param Out Where to.
  void collect(TimePoint Now, std::vector<QuantilePiece> &Out) const;

  /// @brief Counts all values ever taken.
  [[nodiscard]] std::uint64_t count() const noexcept { return Count; }
  /// @brief Sum of all values ever taken.
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
    void collect(std::vector<QuantilePiece> &Out) const;

    std::vector<double> Exact;
    Estimator Estimate;
  };

  TimePoint Begin{};
  std::optional<Period> Current;
  std::optional<Period> Last;
  std::uint64_t Count = 0;
  double Sum = 0;
};

} // namespace coltsfoottrail

#endif
