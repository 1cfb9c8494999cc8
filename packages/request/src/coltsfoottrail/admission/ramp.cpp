#include "coltsfoottrail/admission/ramp.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// A window proves the bound when this part of it was in use.
constexpr double NearBound = 0.7;
/// Latency may grow by this with the load of a raised bound.
constexpr double SteadyGrowth = 1.5;
/// More than this is no longer borne: the bound is cut.
constexpr double TooMuchGrowth = 2.5;
/// More than this is an endpoint that has lost its warmth.
constexpr double ColdGrowth = 6.0;
constexpr double FailuresCut = 0.1;
constexpr double FailuresCold = 0.5;
constexpr double UsualWeight = 0.1;
constexpr std::uint32_t MinWindow = 4;

} // namespace

Ramp::Ramp(std::uint32_t ColdBound, std::uint32_t WarmBound)
    : Cold(std::max(1U, ColdBound)), Warm(std::max(Cold, WarmBound)),
      Bound(Cold) {}

void Ramp::declare(std::uint32_t ColdBound, std::uint32_t WarmBound) {
  Cold = std::max(1U, ColdBound);
  Warm = std::max(Cold, WarmBound);
  Bound = std::clamp(Bound, Cold, Warm);
}

void Ramp::adopt(std::uint32_t Found) { Bound = std::clamp(Found, Cold, Warm); }

void Ramp::restart() {
  Bound = Cold;
  Window = CompletedRequests{};
  Peak = 0;
  UsualMicros = 0;
}

std::uint32_t Ramp::windowSize() const { return std::max(MinWindow, Bound); }

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
  const double FailureShare = Window.Failures / Count;
  const double Mean =
      Window.Successes == 0
          ? 0
          : static_cast<double>(Window.TotalLatencyMicros) / Window.Successes;
  const double Growth = UsualMicros > 0 ? Mean / UsualMicros : 1;
  const bool Near = Peak >= NearBound * Bound;
  Window = CompletedRequests{};
  Peak = 0;
  // Failure guarded against: an endpoint turns cold without a restart, as when
  // its caches are dropped. It shows as failures or as a jump of the latency,
  // and full load would bring it down.
  if (FailureShare > FailuresCold || Growth > ColdGrowth) {
    restart();
    return;
  }
  // At the cold bound there is nothing left to cut: what it takes there is its
  // usual latency, as when a team's prompts have grown longer.
  const bool AtBottom = Bound == Cold && FailureShare <= FailuresCut;
  if (!AtBottom && (FailureShare > FailuresCut || Growth > TooMuchGrowth)) {
    cut();
    return;
  }
  if (Near && Growth <= SteadyGrowth)
    raise();
  UsualMicros =
      UsualMicros > 0 ? UsualMicros + UsualWeight * (Mean - UsualMicros) : Mean;
}

void Ramp::raise() { Bound = std::min(Warm, Bound + std::max(1U, Bound / 2)); }

void Ramp::cut() { Bound = std::max(Cold, Bound / 2); }

} // namespace coltsfoottrail
