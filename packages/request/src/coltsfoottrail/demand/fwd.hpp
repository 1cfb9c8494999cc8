/// @file
/// Forward declarations of the demand module.
#ifndef COLTSFOOTTRAIL_DEMAND_FWD_HPP
#define COLTSFOOTTRAIL_DEMAND_FWD_HPP

namespace coltsfoottrail {

struct DemandKey;
struct DemandRates;
struct DemandRow;
struct DemandSum;
class DemandMeter;
class DemandAggregator;

} // namespace coltsfoottrail

#endif
