#include "coltsfoottrail/choice/latency.hpp"

#include <cmath>

namespace coltsfoottrail {

void LatencyModel::record(double Seconds, TimePoint Now) noexcept {
  const double Kept = weight(Now) * Keep;
  Weight = Kept + 1.0;
  Mean += (Seconds - Mean) / Weight;
  At = Now;
}

double LatencyModel::estimate(double Prior, double PriorWeight,
                              TimePoint Now) const noexcept {
  const double Own = weight(Now);
  return (Own * Mean + PriorWeight * Prior) / (Own + PriorWeight);
}

double LatencyModel::weight(TimePoint Now) const noexcept {
  if (Weight == 0.0)
    return 0.0;
  const double Halves = static_cast<double>((Now - At).count()) /
                        static_cast<double>(Half.count());
  return Weight * std::exp2(-Halves);
}

void LatencyModel::reset() noexcept {
  Mean = 0.0;
  Weight = 0.0;
}

} // namespace coltsfoottrail
