/// @file
/// Forward declarations of the logging module.
#ifndef COLTSFOOTTRAIL_LOGGING_FWD_HPP
#define COLTSFOOTTRAIL_LOGGING_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

enum class Event : std::uint16_t;
struct EventInfo;
struct Field;
class EventSampler;

} // namespace coltsfoottrail

#endif
