/// @file
/// Forward declarations of the platform module.
#ifndef COLTSFOOTTRAIL_PLATFORM_FWD_HPP
#define COLTSFOOTTRAIL_PLATFORM_FWD_HPP

#include <cstdint>

namespace coltsfoottrail {

enum class LogFailure : std::uint8_t;
struct LogEntry;
struct LogBatch;
class Log;
struct EngineAddress;
struct EngineOrder;
struct EngineReport;
class Engines;
class HostList;

} // namespace coltsfoottrail

#endif
