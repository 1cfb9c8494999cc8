/// @file
/// Decides which engines hold the weights of a second model.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_STAGINGPLAN_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_STAGINGPLAN_HPP

#include "coltsfoottrail/fleet/config.hpp"

#include <map>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief An engine that serves a model, or can serve it at once.
struct WarmEngine {
  EndpointName Name;
  ModelName Model;
  /// Whether its host holds the weights of another model of the service, or is
  /// loading them.
  bool HoldsSecond = false;
};

/// @brief A second model to be staged at an engine.
struct PlannedStaging {
  EndpointName Engine;
  ModelName Model;
};

/// @brief Chooses for each engine without a second model the one with the
/// largest deficit. Pure; thread-safe.
/// @param Domains Engines by fabric domain; members of one group stand next to
/// each other, since a group is of use once all its members hold the model.
/// @param Models Models of the service.
/// @param Deficits For each model, the missing fraction of its wanted groups.
/// @return Stagings in the order in which they are to begin: those for the
/// model with the largest deficit first, and the domains by turns.
[[nodiscard]] std::vector<PlannedStaging>
planStaging(std::span<const std::vector<WarmEngine>> Domains,
            std::span<const ServedModel> Models,
            const std::map<ModelName, double> &Deficits);

} // namespace coltsfoottrail

#endif
