/// @file
/// The ranks that the requests of a service can have.
#ifndef COLTSFOOTTRAIL_FLEET_POOLRANKS_HPP
#define COLTSFOOTTRAIL_FLEET_POOLRANKS_HPP

#include "coltsfoottrail/fleet/config.hpp"
#include "coltsfoottrail/route/poolrank.hpp"

#include <vector>

namespace coltsfoottrail {

/// @brief The ranks that streams of a service can have, the most urgent first.
///
/// A route names no model, so the ranks of a service hold for each of its
/// models. Pure; thread-safe.
/// @param Config The configuration.
/// @param Service The service.
/// @return Empty if no streaming route leads to the service.
[[nodiscard]] std::vector<PoolRank> poolRanks(const PublishedConfig &Config,
                                              const ServiceName &Service);

} // namespace coltsfoottrail

#endif
