#include "coltsfoottrail/choice/health.hpp"

#include <algorithm>

namespace coltsfoottrail {

void Health::answered() noexcept {
  FailureCount = 0;
  if (Current == State::Probing)
    ++AnsweredProbes;
}

void Health::eject(Cause Reason, const EjectionLimits &Limits, double Jitter,
                   TimePoint Now) noexcept {
  constexpr std::uint32_t MaxDoublings = 10;
  const std::uint32_t Doublings = std::min(EjectionCount, MaxDoublings);
  const Duration Base =
      std::min(Limits.Longest, Limits.Shortest * (1U << Doublings));
  const double Spread = 0.75 + 0.5 * Jitter;
  EjectionEnd = Now + std::chrono::duration_cast<Duration>(Base * Spread);
  Current = State::Ejected;
  LastCause = Reason;
  ++EjectionCount;
}

void Health::probe() noexcept {
  Current = State::Probing;
  AnsweredProbes = 0;
  FailureCount = 0;
}

void Health::restore() noexcept {
  Current = State::Serving;
  FailureCount = 0;
  if (EjectionCount > 0)
    --EjectionCount;
}

} // namespace coltsfoottrail
