/// @file
/// Forward declarations of the division module.
#ifndef COLTSFOOTTRAIL_DIVISION_FWD_HPP
#define COLTSFOOTTRAIL_DIVISION_FWD_HPP

namespace coltsfoottrail {

struct ModelDemand;
struct ModelLimits;
struct ModelTarget;
struct DivisionInput;
class EngineDivision;

} // namespace coltsfoottrail

#endif
