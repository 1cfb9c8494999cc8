#include "coltsfoottrail/ratelimit/trafficshare.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace coltsfoottrail {

namespace {

/// Least part, so that rates and waits stay finite.
constexpr double MinShare = 1e-6;
/// Longest time without a query for which the part grows: after a quiet time
/// the other hosts begin at the same moment.
constexpr Duration MaxGrowthTime = milliseconds(250);

double ratio(Duration Elapsed, Duration Unit) {
  return std::chrono::duration<double>(Elapsed) /
         std::chrono::duration<double>(Unit);
}

} // namespace

double TrafficShare::own(TimePoint Now) const {
  return OwnPerSecond * std::exp2(-ratio(Now - OwnAt, HalfLife));
}

void TrafficShare::recordRequest(TimePoint Now) {
  const std::chrono::duration<double> Life = HalfLife;
  OwnPerSecond = own(Now) + std::numbers::ln2 / Life.count();
  OwnAt = Now;
}

void TrafficShare::setOthers(double PerSecond, TimePoint Now) noexcept {
  OthersPerSecond = PerSecond;
  OthersAt = Now;
}

double TrafficShare::target(TimePoint Now) const {
  const double Even = 1.0 / double(Hosts);
  if (!OthersAt || Now - *OthersAt > OthersLife)
    return Even;
  const double Own = own(Now);
  const double All = Own + OthersPerSecond;
  return All < MinShare ? Even : std::max(Own / All, MinShare);
}

double TrafficShare::value(TimePoint Now) {
  const double Even = 1.0 / double(Hosts);
  const Duration Elapsed = std::min(Now - CurrentAt, MaxGrowthTime);
  const double Grown =
      std::max(Current, Even) * std::exp2(ratio(Elapsed, Doubling));
  Current = std::min({target(Now), Grown, 1.0});
  CurrentAt = Now;
  return Current;
}

} // namespace coltsfoottrail
