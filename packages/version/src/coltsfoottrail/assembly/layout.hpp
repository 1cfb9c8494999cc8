/// @file
/// Decides which idle engines of a fabric domain load which model.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_LAYOUT_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_LAYOUT_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/fleet/config.hpp"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief An engine without a seat in a group.
struct IdleEngine {
  EndpointName Name;
  /// Model whose weights are on its host, if any.
  std::optional<ModelName> StagedModel;
};

/// @brief The idle engines of one fabric domain and the groups that serve in
/// it.
struct IdleDomain {
  std::vector<IdleEngine> Engines;
  /// Engines that load weights now, by model.
  std::map<ModelName, std::size_t> Loading;
  /// Groups by model.
  std::map<ModelName, std::size_t> Groups;
};

/// @brief Number of idle engines that a new group must leave free in its
/// domain.
///
/// Failure guarded against: the few engines that large groups leave over in a
/// domain form a small group, and when one of sixteen members dies, fifteen are
/// idle for the length of a load. One spare per group of a much larger model,
/// plus one, is kept free.
/// @param Groups Groups of the domain by model.
/// @param Models Models of the service.
/// @param Model Model of the new group.
[[nodiscard]] std::size_t
sparesKept(const std::map<ModelName, std::size_t> &Groups,
           std::span<const ServedModel> Models, const ServedModel &Model);

/// @brief A weight load to be ordered.
struct PlannedLoad {
  EndpointName Endpoint;
  ModelName Model;
  /// Loads with a lower rank are ordered first, since few may run at a time.
  double Rank = 0.0;
};

/// @brief Decides the weight loads of one domain. Pure; thread-safe.
///
/// Load pattern this is built for: engines die in pairs every few seconds, and
/// the survivors of their groups hold the weights of the wrong model or are one
/// engine short, so that a third of the fleet is idle. A load takes a fifth of
/// a minute, during which the engine cannot replace any lost member.
/// - Idle engines of one domain that suffice for a group load the weights they
/// lack, for the model with the largest deficit first.
/// - A spare whose model is served in its domain is kept unless the new group
/// needs few loads: the spare completes a group in a tenth of the time of a
/// load.
/// - Engines left over load the model that the groups around them use.
/// @param Domain The domain.
/// @param Models Models of the service.
/// @param Deficits For each model, the missing fraction of its wanted groups;
/// negative if there are more groups than wanted.
[[nodiscard]] std::vector<PlannedLoad>
planLoads(const IdleDomain &Domain, std::span<const ServedModel> Models,
          const std::map<ModelName, double> &Deficits);

} // namespace coltsfoottrail

#endif
