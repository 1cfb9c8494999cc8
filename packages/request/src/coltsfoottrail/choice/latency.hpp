/// @file
/// Smoothed time of service of an endpoint or a pool.
#ifndef COLTSFOOTTRAIL_CHOICE_LATENCY_HPP
#define COLTSFOOTTRAIL_CHOICE_LATENCY_HPP

#include "coltsfoottrail/choice/fwd.hpp"
#include "coltsfoottrail/core/time.hpp"

namespace coltsfoottrail {

/// @brief Mean of samples that lose weight with each further sample and with
/// time. Not thread-safe.
class LatencyModel {
public:
  /// @brief Makes a model without samples.
  /// @param KeepPerSample Part of the weight that is kept at each new sample.
  /// @param HalfLife Time in which the weight falls to half.
  LatencyModel(double KeepPerSample, Duration HalfLife) noexcept
      : Keep(KeepPerSample), Half(HalfLife) {}

  /// @brief Adds a sample.
  /// @param Seconds The sample.
  void record(double Seconds, TimePoint Now) noexcept;

  /// @brief The mean, drawn towards a prior mean where samples are few.
  /// @param Prior Mean to start from.
  /// @param PriorWeight How many samples the prior counts for.
  [[nodiscard]] double estimate(double Prior, double PriorWeight,
                                TimePoint Now) const noexcept;

  /// @brief The mean of the samples; zero without samples.
  [[nodiscard]] double mean() const noexcept { return Mean; }

  /// @brief Weight of the samples now.
  [[nodiscard]] double weight(TimePoint Now) const noexcept;

  /// @brief Forgets all samples.
  void reset() noexcept;

private:
  double Keep;
  Duration Half;
  double Mean = 0.0;
  double Weight = 0.0;
  TimePoint At;
};

/// @brief Model of an endpoint's time of service.
[[nodiscard]] inline LatencyModel recentService() noexcept {
  return {0.9, seconds(30)};
}
/// @brief Model of a whole pool's time of service.
[[nodiscard]] inline LatencyModel poolService() noexcept {
  return {0.99, seconds(300)};
}
/// @brief Model of the part of attempts that failed.
[[nodiscard]] inline LatencyModel recentFailures() noexcept {
  return {0.9, seconds(5)};
}

} // namespace coltsfoottrail

#endif
