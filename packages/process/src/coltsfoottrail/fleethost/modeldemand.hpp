/// @file
/// Translates what a coordinator knows into the inputs of the division of a
/// service's engines.
#ifndef COLTSFOOTTRAIL_FLEETHOST_MODELDEMAND_HPP
#define COLTSFOOTTRAIL_FLEETHOST_MODELDEMAND_HPP

#include "coltsfoottrail/demand/rates.hpp"
#include "coltsfoottrail/division/types.hpp"
#include "coltsfoottrail/fleet/catalogue.hpp"
#include "coltsfoottrail/fleet/config.hpp"

#include <cstddef>
#include <map>
#include <set>

namespace coltsfoottrail {

/// Sums that contain older rates are not acted on.
inline constexpr Duration MaxDemandAge = milliseconds(1'500);
/// The most urgent ranks of a model set its rank only if at least this part of
/// its tokens is theirs.
inline constexpr double SubstantialFraction = 0.2;

/// @brief Picks the demand of a service's models from a sum and adds it up over
/// ranks and data centres. Pure; thread-safe.
/// @return By model; models without demand are left out.
[[nodiscard]] std::map<ModelName, ModelDemand>
modelDemand(const ServiceProfile &Service, const DemandSum &Sum);

/// @brief Whether a sum is young and includes all entry hosts but a tenth, who
/// may be starting or stopping. Pure; thread-safe.
/// @param KnownHosts Number of entry hosts that take requests; zero if unknown.
[[nodiscard]] bool isCurrent(const DemandSum &Sum,
                             std::size_t KnownHosts) noexcept;

/// @brief Engines of a service in data centres that are not drained.
struct EngineTally {
  /// Engines that serve or could serve.
  std::uint32_t Usable = 0;
  /// Groups that serve, by model.
  std::map<ModelName, std::uint32_t> Groups;
};

/// @brief Counts the engines of a service. Pure; thread-safe.
[[nodiscard]] EngineTally countEngines(const EndpointCatalogue &Endpoints,
                                       const ServiceName &Service,
                                       const std::set<DataCentreName> &Drained);

} // namespace coltsfoottrail

#endif
