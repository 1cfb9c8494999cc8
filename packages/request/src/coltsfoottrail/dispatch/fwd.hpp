/// @file
/// Forward declarations and aliases of the dispatch module.
#ifndef COLTSFOOTTRAIL_DISPATCH_FWD_HPP
#define COLTSFOOTTRAIL_DISPATCH_FWD_HPP

#include "coltsfoottrail/core/fwd.hpp"

#include <cstdint>

namespace coltsfoottrail {

struct TicketTag;
/// Identifier of a request that a dispatcher has accepted.
using Ticket = Ident<TicketTag>;

enum class Priority : std::uint8_t;
struct WorkItem;
struct AttemptResult;
struct LoadReport;
struct SendCommand;
enum class StopStage : std::uint8_t;
enum class RetryStop : std::uint8_t;
struct RefusalDetails;
struct RefuseCommand;
struct DispatchCounts;
struct DispatcherOptions;
class HeldRequests;
class Dispatcher;

} // namespace coltsfoottrail

#endif
