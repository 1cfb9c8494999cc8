/// @file
/// What the parts of the assembler share. Internal to this folder.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_PASS_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_PASS_HPP

#include "coltsfoottrail/assembly/assembler.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace internal {

/// Loads before the first caller take a tenth of their time; a bound of the
/// platform.
inline constexpr int EarlyLoadFactor = 10;
/// Time after which a load must have ended, as a multiple of its usual time:
/// the number of loads at once is kept, so that hardly anything slows them.
inline constexpr double LoadTimeFactor = 1.25;
/// How long an endpoint that did not answer counts as dead: by then its record
/// has lapsed, or it has published itself again.
inline constexpr Duration DeathLife = seconds(8);

/// Whether a model is in a list.
[[nodiscard]] inline bool contains(const std::vector<ModelName> &Models,
                                   const ModelName &Which) {
  return std::find(Models.begin(), Models.end(), Which) != Models.end();
}

} // namespace internal

/// What one call of plan() works with.
struct Assembler::Pass {
  const AssemblyView &View;
  const EngineProfile &Engine;
  TimePoint Now;
  std::vector<SeatCommand> Out;

  [[nodiscard]] const ServedModel *model(const ModelName &Name) const {
    for (const ServedModel &Each : Engine.Models)
      if (Each.Name == Name)
        return &Each;
    return nullptr;
  }
  void order(const KnownEndpoint &To, SeatOrder What) {
    Out.push_back({To.Record.Name, To.Record.Address, std::move(What)});
  }
  [[nodiscard]] Duration loadTime(const ServedModel &Of) const {
    const milliseconds Plain = View.TrafficStarted
                                   ? Of.LoadTime
                                   : Of.LoadTime / internal::EarlyLoadFactor;
    return std::chrono::duration_cast<Duration>(Plain *
                                                internal::LoadTimeFactor);
  }
};

} // namespace coltsfoottrail

#endif
