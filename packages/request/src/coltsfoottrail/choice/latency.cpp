#include "coltsfoottrail/choice/latency.hpp"

#include <cmath>

namespace coltsfoottrail {

void LatencyModel::record(double Seconds, TimePoint Now) noexcept {
  const double DecayedWeight = weight(Now) * KeptFraction;
  Weight = DecayedWeight + 1.0;
  Mean += (Seconds - Mean) / Weight;
  LastSampleAt = Now;
}

double LatencyModel::estimate(double Prior, double PriorWeight,
                              TimePoint Now) const noexcept {
  const double SampleWeight = weight(Now);
  return (SampleWeight * Mean + PriorWeight * Prior) /
         (SampleWeight + PriorWeight);
}

double LatencyModel::weight(TimePoint Now) const noexcept {
  if (Weight == 0.0)
    return 0.0;
  const double ElapsedHalfLives =
      static_cast<double>((Now - LastSampleAt).count()) /
      static_cast<double>(WeightHalfLife.count());
  return Weight * std::exp2(-ElapsedHalfLives);
}

void LatencyModel::reset() noexcept {
  Mean = 0.0;
  Weight = 0.0;
}

} // namespace coltsfoottrail
