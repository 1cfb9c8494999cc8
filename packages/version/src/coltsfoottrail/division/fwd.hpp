/// @file
/// Forward declarations of the division module.
#ifndef COLTSFOOTTRAIL_DIVISION_FWD_HPP
#define COLTSFOOTTRAIL_DIVISION_FWD_HPP

namespace coltsfoottrail {

struct DivisionInput;
struct DivisionTimes;
struct EngineClaim;
struct ModelAccount;
struct ModelDemand;
struct ModelLimits;
struct ModelTarget;
class EngineDivision;
class OfferedLoad;

} // namespace coltsfoottrail

#endif
