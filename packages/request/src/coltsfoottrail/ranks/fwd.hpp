/// @file
/// Forward declarations of the ranks module.
#ifndef COLTSFOOTTRAIL_RANKS_FWD_HPP
#define COLTSFOOTTRAIL_RANKS_FWD_HPP

namespace coltsfoottrail {

class RankOrder;
struct RankRates;
class RankForecast;
class TeamDemand;

} // namespace coltsfoottrail

#endif
