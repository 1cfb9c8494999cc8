#include "coltsfoottrail/choice/forecast.hpp"

#include <algorithm>
#include <cmath>

namespace coltsfoottrail {

Duration firstEventAfter(const EnginePace &Pace, const EngineBacklog &Backlog,
                         std::uint32_t PromptTokens) {
  const double ExcessRequests =
      std::max(0.0, Backlog.RequestsAhead + 1.0 - Backlog.Slots);
  const double SlotWait =
      ExcessRequests * Backlog.SecondsPerRequest / Backlog.Slots;
  const double Decoding = std::min(Backlog.RequestsAhead, Backlog.Slots);
  const double Step = Pace.StepSeconds + Pace.StepSecondsPerRequest * Decoding;
  const double Tokens = Backlog.UnreadTokens + PromptTokens;
  const double Chunks =
      Pace.ChunkTokens > 0 ? std::ceil(Tokens / Pace.ChunkTokens) : 1.0;
  const double PrefillTime =
      Tokens / Pace.PromptTokensPerSecond + Chunks * Step;
  const double Seconds = SlotWait + PrefillTime + Pace.Stride * Step;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace coltsfoottrail
