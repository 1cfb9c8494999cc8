#include "coltsfoottrail/choice/health.hpp"

#include <algorithm>

namespace coltsfoottrail {

void Health::answered() noexcept {
  InRow = 0;
  if (Now == State::Probing)
    ++Probes;
}

void Health::eject(Cause Reason, const EjectionLimits &Limits, double Jitter,
                   TimePoint When) noexcept {
  constexpr std::uint32_t MostDoublings = 10;
  const std::uint32_t Doublings = std::min(Times, MostDoublings);
  const Duration Base =
      std::min(Limits.Longest, Limits.Shortest * (1U << Doublings));
  const double Spread = 0.75 + 0.5 * Jitter;
  Until = When + std::chrono::duration_cast<Duration>(Base * Spread);
  Now = State::Ejected;
  Why = Reason;
  ++Times;
}

void Health::probe() noexcept {
  Now = State::Probing;
  Probes = 0;
  InRow = 0;
}

void Health::restore() noexcept {
  Now = State::Serving;
  InRow = 0;
  if (Times > 0)
    --Times;
}

} // namespace coltsfoottrail
