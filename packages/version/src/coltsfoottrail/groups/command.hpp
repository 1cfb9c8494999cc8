/// @file
/// Commands that the decisions about groups result in; the process carries them
/// out.
#ifndef COLTSFOOTTRAIL_GROUPS_COMMAND_HPP
#define COLTSFOOTTRAIL_GROUPS_COMMAND_HPP

#include "coltsfoottrail/groups/fwd.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/record/record.hpp"

#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Append a record and report the outcome with recordAppend().
struct AppendRecord {
  CommandId Id = 0;
  Record Body;
};

/// Send an order and report the outcome with recordOrder(). Failure guarded
/// against: a host that was paused after it decided sends an order under a
/// lease that has lapsed in the meantime. So the sender reads the BootClock
/// immediately before sending, and reports OrderResult::NotDone instead if
/// NotAfter has passed.
struct OrderEngine {
  CommandId Id = 0;
  HostName Host;
  EngineAddress Address;
  EngineOrder Order;
  milliseconds Timeout{0};
  TimePoint NotAfter = TimePoint::max();
};

/// Query an engine for a report and pass it to recordReport().
struct AskEngine {
  CommandId Id = 0;
  HostName Host;
  EngineAddress Address;
  milliseconds Timeout{0};
};

/// Any command.
using GroupCommand = std::variant<AppendRecord, OrderEngine, AskEngine>;
using GroupCommands = std::vector<GroupCommand>;

} // namespace coltsfoottrail

#endif
