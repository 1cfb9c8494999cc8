/// @file
/// What the decisions on groups want done; the process carries it out.
#ifndef COLTSFOOTTRAIL_GROUPS_COMMAND_HPP
#define COLTSFOOTTRAIL_GROUPS_COMMAND_HPP

#include "coltsfoottrail/groups/fwd.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/record/record.hpp"

#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Append a record and tell the outcome by appended().
struct AppendRecord {
  CommandId Id = 0;
  Record Body;
};

/// Give an order and tell the outcome by ordered(). Failure guarded against: a
/// host that was paused after it decided gives an order under a lease that has
/// lapsed meanwhile. Whoever sends it reads the BootClock last of all and tells
/// OrderResult::NotDone instead when NotAfter has passed.
struct OrderEngine {
  CommandId Id = 0;
  HostName Host;
  EngineAddress Address;
  EngineOrder Order;
  milliseconds Timeout{0};
  TimePoint NotAfter = TimePoint::max();
};

/// Ask for a report and tell it by reported().
struct AskEngine {
  CommandId Id = 0;
  HostName Host;
  EngineAddress Address;
  milliseconds Timeout{0};
};

/// What is to be done.
using GroupCommand = std::variant<AppendRecord, OrderEngine, AskEngine>;
using GroupCommands = std::vector<GroupCommand>;

} // namespace coltsfoottrail

#endif
