/// @file
/// Appends records without repeating them while they are in progress.
#ifndef COLTSFOOTTRAIL_GROUPS_PACER_HPP
#define COLTSFOOTTRAIL_GROUPS_PACER_HPP

#include "coltsfoottrail/groups/command.hpp"
#include "coltsfoottrail/groups/times.hpp"
#include "coltsfoottrail/platform/log.hpp"

#include <map>
#include <string>

namespace coltsfoottrail {

/// @brief Paces appends. The effect of a record is seen in the agreed state, so
/// an append whose answer was lost is repeated after a while, and the fold
/// voids the second record. Not thread-safe.
class AppendPacer {
public:
  /// @brief Makes a pacer without appends in progress.
  explicit AppendPacer(const GroupTimes &Timing) : Times(Timing) {}

  /// @brief Appends a record unless one with the same key was appended a short
  /// while ago.
  /// @param Key Identifies the purpose of the record.
  /// @param Body The record.
  /// @param Now The time.
  /// @param Out The command is added here.
  /// @return Whether it was appended.
  bool append(const std::string &Key, Record Body, TimePoint Now,
              GroupCommands &Out);

  /// @brief Records the outcome of an append.
  /// @return Whether the command was issued by this object.
  bool recordAppend(CommandId Id, const AppendResult &Outcome, TimePoint Now);

  /// @brief Returns a new command id for another kind of command.
  [[nodiscard]] CommandId nextId() { return ++LastId; }

private:
  void dropOld(TimePoint Now);

  GroupTimes Times;
  CommandId LastId = 0;
  std::map<std::string, TimePoint> NotBefore;
  std::map<CommandId, std::string> InProgress;
};

} // namespace coltsfoottrail

#endif
