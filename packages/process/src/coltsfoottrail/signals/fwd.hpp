/// @file
/// Forward declarations of the module.
#ifndef COLTSFOOTTRAIL_SIGNALS_FWD_HPP
#define COLTSFOOTTRAIL_SIGNALS_FWD_HPP

namespace coltsfoottrail {

class SignalLoop;
struct SignalHandlers;

} // namespace coltsfoottrail

#endif
