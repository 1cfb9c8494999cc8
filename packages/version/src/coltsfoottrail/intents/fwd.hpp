/// @file
/// Forward declarations of the intents module.
#ifndef COLTSFOOTTRAIL_INTENTS_FWD_HPP
#define COLTSFOOTTRAIL_INTENTS_FWD_HPP

namespace coltsfoottrail {

class FreeHosts;
class PlanError;

} // namespace coltsfoottrail

#endif
