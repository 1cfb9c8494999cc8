/// @file
/// How many groups of engines the work of a model's callers occupies.
#ifndef COLTSFOOTTRAIL_DIVISION_CAPACITY_HPP
#define COLTSFOOTTRAIL_DIVISION_CAPACITY_HPP

#include "coltsfoottrail/division/types.hpp"
#include "coltsfoottrail/fleet/config.hpp"

#include <optional>

namespace coltsfoottrail {

/// Utilisation of a group above which the first event of a stream is late:
/// requests arrive unevenly, and one that finds all slots taken waits.
inline constexpr double MaxUtilisation = 0.8;

/// @brief Groups that the offered work of a model would occupy if each were
/// busy all the time. Pure; thread-safe.
///
/// A prompt occupies the group at its prompt speed. An answer's token occupies
/// its part of a step that all slots share, and the time that each running
/// request adds to the step.
/// @param Engine Speed and slots of a group.
/// @param Model The model.
/// @param Demand The offered work; its rates are not negative.
/// @return Seconds of one group per second; nothing if the engine declares no
/// speed.
[[nodiscard]] std::optional<double> offeredGroups(const EngineProfile &Engine,
                                                  const ServedModel &Model,
                                                  const ModelDemand &Demand);

/// @brief Groups that serve work in time: those that it occupies, at
/// MaxUtilisation. Pure; thread-safe.
/// @param OfferedGroups Result of offeredGroups().
[[nodiscard]] constexpr double neededGroups(double OfferedGroups) noexcept {
  return OfferedGroups / MaxUtilisation;
}

} // namespace coltsfoottrail

#endif
