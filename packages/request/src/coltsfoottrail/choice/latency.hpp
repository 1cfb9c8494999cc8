/// @file
/// Smoothed service time of an endpoint or a pool.
#ifndef COLTSFOOTTRAIL_CHOICE_LATENCY_HPP
#define COLTSFOOTTRAIL_CHOICE_LATENCY_HPP

#include "coltsfoottrail/choice/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"

namespace coltsfoottrail {

/// @brief Exponentially weighted mean: samples lose weight with each further
/// sample and with time. Not thread-safe.
class LatencyModel {
public:
  /// @brief Makes a model without samples.
  /// @param KeepPerSample Fraction of the weight kept at each new sample.
  /// @param HalfLife Time in which the weight halves.
  LatencyModel(double KeepPerSample, Duration HalfLife) noexcept
      : KeptFraction(KeepPerSample), WeightHalfLife(HalfLife) {}

  /// @brief Adds a sample.
  /// @param Seconds The sample.
  void record(double Seconds, TimePoint Now) noexcept;

  /// @brief The mean, combined with a prior mean that dominates while there are
  /// few samples.
  /// @param Prior The prior mean.
  /// @param PriorWeight Weight of the prior, in samples.
  [[nodiscard]] double estimate(double Prior, double PriorWeight,
                                TimePoint Now) const noexcept;

  /// @brief The mean of the samples; zero without samples.
  [[nodiscard]] double mean() const noexcept { return Mean; }

  /// @brief Total weight of the samples at Now.
  [[nodiscard]] double weight(TimePoint Now) const noexcept;

  /// @brief Forgets all samples.
  void reset() noexcept;

private:
  double KeptFraction;
  Duration WeightHalfLife;
  double Mean = 0.0;
  double Weight = 0.0;
  TimePoint LastSampleAt;
};

/// @brief Model of an endpoint's service time.
[[nodiscard]] inline LatencyModel recentService() noexcept {
  return {0.9, seconds(30)};
}
/// @brief Model of a whole pool's service time.
[[nodiscard]] inline LatencyModel poolService() noexcept {
  return {0.99, seconds(300)};
}
/// @brief Model of the failure rate of attempts.
[[nodiscard]] inline LatencyModel recentFailures() noexcept {
  return {0.9, seconds(5)};
}

} // namespace coltsfoottrail

#endif
