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
  (void)value(Now);
  const std::chrono::duration<double> Life = HalfLife;
  OwnPerSecond = own(Now) + std::numbers::ln2 / Life.count();
  OwnAt = Now;
}

void TrafficShare::setOthers(double PerSecond, TimePoint Now) noexcept {
  OthersPerSecond = PerSecond;
  OthersAt = Now;
}

bool TrafficShare::knowsOthers(TimePoint Now) const noexcept {
  return OthersAt && Now - *OthersAt <= OthersLife;
}

double TrafficShare::target(TimePoint Now) const {
  const double Own = own(Now);
  const double All = Own + OthersPerSecond;
  if (!knowsOthers(Now) || All < MinShare)
    return 1.0 / double(Hosts);
  return std::max(Own / All, MinShare);
}

// Failure guarded against: a host of many gets a request now and then. If the
// part at that moment held for the time since the one before, the hosts
// together would earn a multiple of the rate.
double TrafficShare::meanTarget(TimePoint Now) const {
  const double Halves = ratio(Now - CurrentAt, HalfLife);
  if (!knowsOthers(Now) || Halves <= 0.0)
    return target(Now);
  const double Own = own(CurrentAt) * (1.0 - std::exp2(-Halves)) /
                     (Halves * std::numbers::ln2);
  const double All = Own + OthersPerSecond;
  return All < MinShare ? 1.0 / double(Hosts) : std::max(Own / All, MinShare);
}

RateShare TrafficShare::value(TimePoint Now) {
  const Duration Elapsed = Now - CurrentAt;
  const double Grown = std::min(
      1.0, std::max(Current.Part, 1.0 / double(Hosts)) *
               std::exp2(ratio(std::min(Elapsed, MaxGrowthTime), Doubling)));
  if (CurrentAt != TimePoint{})
    Current.Earned += std::min(meanTarget(Now), Grown) *
                      std::chrono::duration<double>(Elapsed).count();
  Current.Part = std::min(target(Now), Grown);
  CurrentAt = Now;
  return Current;
}

} // namespace coltsfoottrail
