#include "coltsfoottrail/quarantine/chance.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace coltsfoottrail {

namespace {

constexpr double SmallestShare = 1e-4;
constexpr double LargestShare = 0.95;
constexpr double ShareStep = 1.25;

double logOfChoose(double Count, double Chosen) {
  return std::lgamma(Count + 1) - std::lgamma(Chosen + 1) -
         std::lgamma(Count - Chosen + 1);
}

} // namespace

double chanceOfCrashes(const CrashSample &Sample) {
  const double At = static_cast<double>(Sample.Crashes);
  const double All = std::max(At, static_cast<double>(Sample.AllCrashes));
  double Best = -std::numeric_limits<double>::infinity();
  for (double Share = SmallestShare; Share < LargestShare; Share *= ShareStep) {
    const double LogWithout = std::log1p(-Share);
    const double LogAbsent = Sample.RequestsPerCrash * LogWithout;
    const double Present = -std::expm1(LogAbsent);
    Best = std::max(Best, At * std::log(Present) + (All - At) * LogAbsent +
                              Sample.SoundRequests * LogWithout);
  }
  return std::exp(std::min(0.0, Best + logOfChoose(All, At)));
}

} // namespace coltsfoottrail
