/// @file
/// Decides which idle engines of a domain load which weights.
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
  /// Model whose weights its host has; nothing for none.
  std::optional<ModelName> Has;
};

/// @brief What is idle in one fabric domain, and what serves there.
struct IdleDomain {
  std::vector<IdleEngine> Idle;
  /// Engines that load weights now, by model.
  std::map<ModelName, std::size_t> Loading;
  /// Groups by model.
  std::map<ModelName, std::size_t> Groups;
};

/// @brief Idle engines that a new group must leave in its domain.
///
/// Failure guarded against: the few engines that large groups leave of a domain
/// form a small group, and when one of sixteen members dies, fifteen idle for
/// the length of a load. A spare for each group of a much larger model, and one
/// more, stays.
/// @param Groups Groups of the domain by model.
/// @param Models Models of the service.
/// @param For Model of the new group.
[[nodiscard]] std::size_t
sparesKept(const std::map<ModelName, std::size_t> &Groups,
           std::span<const ServedModel> Models, const ServedModel &For);

/// @brief A load to be ordered.
struct PlannedLoad {
  EndpointName Where;
  ModelName Model;
  /// The lower, the sooner: loads are few at a time.
  double Rank = 0.0;
};

/// @brief Decides the loads of one domain. Pure; thread-safe.
///
/// Load answered: engines die in pairs every few seconds, and what is left of
/// their groups has the weights of the wrong model, or is one engine short, so
/// that a third of the fleet idles. A load takes a fifth of a minute, in which
/// the engine can fill in for nobody.
/// - Whoever is idle together and is enough for a group loads what is lacking
///   to it, the model with the largest deficit first.
/// - A spare that fits a group of its domain is kept unless the group to be
///   made needs few loads: it makes a group whole again in a tenth of the time
///   of a load.
/// - Engines that stay single load what the groups around them use.
/// @param Domain The domain.
/// @param Models Models of the service.
/// @param Deficits For each model, the missing part of its wanted groups;
/// negative when there are more.
[[nodiscard]] std::vector<PlannedLoad>
planLoads(const IdleDomain &Domain, std::span<const ServedModel> Models,
          const std::map<ModelName, double> &Deficits);

} // namespace coltsfoottrail

#endif
