/// @file
/// Forward declarations of the server module.
#ifndef COLTSFOOTTRAIL_SERVER_FWD_HPP
#define COLTSFOOTTRAIL_SERVER_FWD_HPP

namespace coltsfoottrail {

struct CallerRequest;
struct Assignment;
struct RouterOptions;
class Router;
class DispatchHandle;
class Relay;
class AgreedStream;
class OperatorApi;
class EntryHostProcess;

} // namespace coltsfoottrail

#endif
