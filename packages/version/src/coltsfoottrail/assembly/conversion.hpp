/// @file
/// Decides which groups are closed so that their engines serve another model.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_CONVERSION_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_CONVERSION_HPP

#include "coltsfoottrail/division/types.hpp"
#include "coltsfoottrail/fleet/config.hpp"
#include "coltsfoottrail/fleet/fwd.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Numbers of engines or groups by model.
using CountByModel = std::map<ModelName, std::uint32_t>;

/// @brief A group that serves and may be closed.
struct DonorGroup {
  GroupEpoch Epoch = 0;
  ModelName Model;
  std::uint32_t Size = 0;
  /// Members that can join a group of a model without a load from the shared
  /// store.
  CountByModel Holding;
};

/// @brief A fabric domain in which groups may be closed.
struct ConversionDomain {
  /// Engines without a seat in a group, and those of them that can join a group
  /// of a model without a load from the shared store.
  std::uint32_t Free = 0;
  CountByModel FreeHolding;
  std::vector<DonorGroup> Groups;
  /// Whether a conversion is in progress or has just ended.
  bool IsPaused = false;
};

/// @brief What the choice of conversions depends on.
struct ConversionInput {
  std::span<const ServedModel> Models;
  const EngineTargets &Targets;
  /// Engines that can serve.
  double UsableEngines = 0.0;
  /// Groups that serve or are being formed, without those that are closing.
  CountByModel Groups;
  std::span<const ConversionDomain> Domains;
  /// Limit on the members of all groups that are closed.
  std::uint32_t MaxEngines = 0;
};

/// @brief Groups to be closed in one domain for a group of another model.
struct PlannedConversion {
  /// Index of the domain in the input.
  std::size_t Domain = 0;
  ModelName Model;
  std::vector<GroupEpoch> Closed;
  /// Members of the closed groups.
  std::uint32_t Engines = 0;
  /// Groups that can be formed of them and of the free engines, as far as the
  /// model lacks them.
  std::uint32_t Gained = 0;
};

/// Why a model that lacks groups gets none by conversion.
enum class ConversionObstacle : std::uint8_t {
  /// Too few engines of any one domain hold its weights.
  NoWeights,
  /// No other model has a group to spare.
  NoSurplus,
  /// The domains that could have converted groups a short time ago, or do so.
  Paused,
  /// Enough engines are out of service for conversions already.
  TooManyAtOnce,
  /// Records may be missing or old after an outage of the store.
  RecordsUnsettled
};

/// @brief Text of an obstacle for the log. Thread-safe.
[[nodiscard]] std::string_view describe(ConversionObstacle Obstacle) noexcept;

/// @brief Conversions to begin, and why there are none for a model that lacks
/// groups.
struct ConversionPlan {
  std::vector<PlannedConversion> Conversions;
  std::map<ModelName, ConversionObstacle> Obstacles;
};

/// @brief Number of whole groups that a model lacks by its target. Thread-safe.
/// @param Model The model.
/// @param Targets Targets of all models; a model without one lacks nothing.
/// @param UsableEngines Engines that can serve.
/// @param Groups Groups that the model has.
[[nodiscard]] std::uint32_t missingGroups(const ServedModel &Model,
                                          const EngineTargets &Targets,
                                          double UsableEngines,
                                          std::uint32_t Groups);

/// @brief Chooses the groups to close: larger models first, then the domain in
/// which the fewest groups are closed, then the fewest engines left idle. At
/// most one conversion for each domain. Pure; thread-safe.
///
/// A model gives up a group if it keeps the whole groups of its target, and
/// always keeps one group.
/// It also gives up groups smaller than the wanted one while it keeps half of
/// its target, if the conversion puts more waiting engines to work than it
/// takes out of service.
[[nodiscard]] ConversionPlan planConversions(const ConversionInput &Input);

} // namespace coltsfoottrail

#endif
