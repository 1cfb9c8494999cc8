/// @file
/// Appends records without repeating them while they are under way.
#ifndef COLTSFOOTTRAIL_GROUPS_PACER_HPP
#define COLTSFOOTTRAIL_GROUPS_PACER_HPP

#include "coltsfoottrail/groups/command.hpp"
#include "coltsfoottrail/groups/times.hpp"
#include "coltsfoottrail/platform/log.hpp"

#include <map>
#include <string>

namespace coltsfoottrail {

/// @brief Paces appends. What a record is for is seen in the agreed state, so
/// an append whose answer was lost is simply made again after a while; the fold
/// voids the second one. Not thread-safe.
class AppendPacer {
public:
  /// @brief Starts without appends under way.
  explicit AppendPacer(const GroupTimes &Given) : Times(Given) {}

  /// @brief Appends a record unless the same was appended a short while ago.
  /// @param Key Names what the record is for.
  /// @param Body The record.
  /// @param Now The time.
  /// @param Out Where the command goes.
  /// @return Whether it was appended.
  bool append(const std::string &Key, Record Body, TimePoint Now,
              GroupCommands &Out);

  /// @brief Takes an append's outcome.
  /// @return Whether the ticket was one of this object's.
  bool recordAppend(CommandId Which, const AppendResult &Outcome,
                    TimePoint Now);

  /// @brief Draws a ticket for another kind of command.
  [[nodiscard]] CommandId drawTicket() { return ++LastTicket; }

private:
  void forgetOld(TimePoint Now);

  GroupTimes Times;
  CommandId LastTicket = 0;
  std::map<std::string, TimePoint> NotBefore;
  std::map<CommandId, std::string> UnderWay;
};

} // namespace coltsfoottrail

#endif
