/// @file
/// Forward declarations of the standin module.
#ifndef COLTSFOOTTRAIL_STANDIN_FWD_HPP
#define COLTSFOOTTRAIL_STANDIN_FWD_HPP

namespace coltsfoottrail {

struct LogFaults;
struct EngineFaults;
struct EngineTraits;
class LogStandin;
class EngineStandin;
class ServiceStandin;
class HostListStandin;

} // namespace coltsfoottrail

#endif
