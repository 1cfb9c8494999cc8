/// @file
/// Forward declarations of the stand-ins.
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
