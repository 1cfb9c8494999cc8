/// @file
/// Metrics of the demand at one entry host.
#ifndef COLTSFOOTTRAIL_FLEETHOST_DEMANDMETRICS_HPP
#define COLTSFOOTTRAIL_FLEETHOST_DEMANDMETRICS_HPP

#include "coltsfoottrail/demand/rates.hpp"

#include <map>
#include <span>
#include <string>

namespace coltsfoottrail {

/// @brief Appends demand by pool and rank in the Prometheus text format.
/// Thread-safe.
/// @param Rows Demand of one host, in the order of its keys.
/// @param PoolNames Names of the pools by hash; rows of other pools are left
/// out, which bounds the number of series.
void appendDemandMetrics(std::string &Output, std::span<const DemandRow> Rows,
                         const std::map<std::uint64_t, std::string> &PoolNames);

} // namespace coltsfoottrail

#endif
