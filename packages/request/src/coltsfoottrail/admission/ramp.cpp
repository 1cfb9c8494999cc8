#include "coltsfoottrail/admission/ramp.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// The bound may be raised after a window whose peak used this fraction of it.
constexpr double NearBoundFraction = 0.7;
/// Largest latency growth over the baseline at which the bound is raised.
constexpr double MaxSteadyGrowth = 1.5;
/// Latency growth above which the bound is cut.
constexpr double CutGrowth = 2.5;
/// Latency growth above which the endpoint counts as cold again.
constexpr double RestartGrowth = 6.0;
/// Failure rate above which the bound is cut.
constexpr double CutFailureRate = 0.1;
/// Failure rate above which the endpoint counts as cold again.
constexpr double RestartFailureRate = 0.5;
/// Weight of a window in the moving average of the baseline latency.
constexpr double BaselineWeight = 0.1;
constexpr std::uint32_t MinWindowRequests = 4;

} // namespace

Ramp::Ramp(std::uint32_t ColdBound, std::uint32_t WarmBound)
    : Cold(std::max(1U, ColdBound)), Warm(std::max(Cold, WarmBound)),
      Bound(Cold) {}

void Ramp::declare(std::uint32_t ColdBound, std::uint32_t WarmBound) {
  Cold = std::max(1U, ColdBound);
  Warm = std::max(Cold, WarmBound);
  Bound = std::clamp(Bound, Cold, Warm);
}

void Ramp::adopt(std::uint32_t AdoptedBound) {
  Bound = std::clamp(AdoptedBound, Cold, Warm);
}

void Ramp::restart() {
  Bound = Cold;
  Window = CompletedRequests{};
  Peak = 0;
  BaselineMicros = 0;
}

std::uint32_t Ramp::windowSize() const {
  return std::max(MinWindowRequests, Bound);
}

void Ramp::ended(const CompletedRequests &Ended, std::uint32_t InFlight) {
  Window.Successes += Ended.Successes;
  Window.Failures += Ended.Failures;
  Window.TotalLatencyMicros += Ended.TotalLatencyMicros;
  Peak = std::max(Peak, InFlight);
  const std::uint32_t Count = Window.Successes + Window.Failures;
  if (Count >= windowSize())
    closeWindow();
}

void Ramp::closeWindow() {
  const auto Count = static_cast<double>(Window.Successes + Window.Failures);
  const double FailureRate = Window.Failures / Count;
  const double MeanMicros =
      Window.Successes == 0
          ? 0
          : static_cast<double>(Window.TotalLatencyMicros) / Window.Successes;
  const double Growth = BaselineMicros > 0 ? MeanMicros / BaselineMicros : 1;
  const bool NearBound = Peak >= NearBoundFraction * Bound;
  Window = CompletedRequests{};
  Peak = 0;
  // Failure guarded against: an endpoint turns cold without a restart, for
  // example when its caches are dropped, and full load would bring it down. It
  // shows as failures or as a jump in latency.
  if (FailureRate > RestartFailureRate || Growth > RestartGrowth) {
    restart();
    return;
  }
  // At the cold bound there is nothing left to cut. The latency there becomes
  // the baseline, for example when a team's prompts have grown longer.
  const bool AtColdBound = Bound == Cold && FailureRate <= CutFailureRate;
  if (!AtColdBound && (FailureRate > CutFailureRate || Growth > CutGrowth)) {
    cut();
    return;
  }
  if (NearBound && Growth <= MaxSteadyGrowth)
    raise();
  BaselineMicros =
      BaselineMicros > 0
          ? BaselineMicros + BaselineWeight * (MeanMicros - BaselineMicros)
          : MeanMicros;
}

void Ramp::raise() { Bound = std::min(Warm, Bound + std::max(1U, Bound / 2)); }

void Ramp::cut() { Bound = std::max(Cold, Bound / 2); }

} // namespace coltsfoottrail
