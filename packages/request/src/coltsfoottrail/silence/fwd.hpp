/// @file
/// Forward declarations of the silence module.
#ifndef COLTSFOOTTRAIL_SILENCE_FWD_HPP
#define COLTSFOOTTRAIL_SILENCE_FWD_HPP

namespace coltsfoottrail {

class PauseHistory;
class StallDetector;

} // namespace coltsfoottrail

#endif
