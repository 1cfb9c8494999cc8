#include "coltsfoottrail/choice/forecast.hpp"

#include <algorithm>
#include <cmath>

namespace coltsfoottrail {

Duration firstEventAfter(const EnginePace &Pace, const EngineBacklog &Before,
                         std::uint32_t PromptTokens) {
  const double TooMany = std::max(0.0, Before.Ahead + 1.0 - Before.Slots);
  const double ForASlot = TooMany * Before.SecondsPerRequest / Before.Slots;
  const double Writing = std::min(Before.Ahead, Before.Slots);
  const double Step = Pace.StepSeconds + Pace.StepSecondsPerRequest * Writing;
  const double Tokens = Before.UnreadTokens + PromptTokens;
  const double Chunks =
      Pace.ChunkTokens > 0 ? std::ceil(Tokens / Pace.ChunkTokens) : 1.0;
  const double Reading = Tokens / Pace.PromptTokensPerSecond + Chunks * Step;
  const double Seconds = ForASlot + Reading + Pace.Stride * Step;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace coltsfoottrail
