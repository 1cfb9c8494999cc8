#include "coltsfoottrail/division/capacity.hpp"

#include <algorithm>

namespace coltsfoottrail {

std::optional<double> offeredGroups(const EngineProfile &Engine,
                                    const ServedModel &Model,
                                    const ModelDemand &Demand) {
  const EnginePace Pace = enginePace(Engine, Model);
  if (!Pace.isDeclared())
    return std::nullopt;
  const double Slots = std::max<std::uint32_t>(1, Engine.Slots);
  return Demand.PromptTokens / Pace.PromptTokensPerSecond +
         Demand.AnswerTokens *
             (Pace.StepSeconds / Slots + Pace.StepSecondsPerRequest);
}

} // namespace coltsfoottrail
