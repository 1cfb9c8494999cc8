/// @file
/// Tracks the reports and orders of the engines that an entry host deals with.
#ifndef COLTSFOOTTRAIL_GROUPS_ENGINEBOOK_HPP
#define COLTSFOOTTRAIL_GROUPS_ENGINEBOOK_HPP

#include "coltsfoottrail/groups/command.hpp"
#include "coltsfoottrail/groups/pacer.hpp"
#include "coltsfoottrail/groups/times.hpp"

#include <map>
#include <optional>

namespace coltsfoottrail {

/// @brief State of one engine as seen by this host.
struct EngineView {
  /// Last report. Cleared when an order is sent, so that no decision is based
  /// on a report from before the order.
  std::optional<EngineReport> LastReport;
  /// When the query was sent that LastReport answers.
  TimePoint LastQueriedAt;
  TimePoint NextQuery;
  TimePoint NextOrder;
  /// Since when it has not answered.
  std::optional<TimePoint> SilentSince;
  std::optional<CommandId> QueryId;
  std::optional<CommandId> OrderId;
  TimePoint QuerySentAt;
  std::optional<OrderResult> LastResult;
  TimePoint LastUse;
};

/// @brief Queries engines and sends them orders, at most one query and one
/// order at a time per engine. A lost answer is resolved by querying. Not
/// thread-safe.
class EngineTracker {
public:
  /// @brief Makes a tracker without engines.
  /// @param Timing Timing of the deployment.
  /// @param Ids Source of command ids; must outlive the tracker.
  EngineTracker(const GroupTimes &Timing, AppendPacer &Ids)
      : Times(Timing), CommandIds(Ids) {}

  /// @brief Queries an engine if its next query is due.
  /// @param Host The host of the engine.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void query(const HostSpec &Host, TimePoint Now, GroupCommands &Out);

  /// @brief Sends an order unless one is in progress or was sent a short while
  /// ago.
  /// @param Host The host of the engine.
  /// @param Order The order.
  /// @param NotAfter End of the lease that the order is sent under.
  /// @param Now The time.
  /// @param Out Commands are added here.
  void order(const HostSpec &Host, EngineOrder Order, TimePoint NotAfter,
             TimePoint Now, GroupCommands &Out);

  /// @brief Records a report, or that none came.
  void recordReport(CommandId Id, std::optional<EngineReport> Report,
                    TimePoint Now);
  /// @brief Records the outcome of an order.
  void recordOrder(CommandId Id, OrderResult Result, TimePoint Now);

  /// @brief Finds a report whose query was sent at or after a time.
  /// @return Null if there is none; valid until the next call.
  [[nodiscard]] const EngineReport *reportSince(const HostName &Host,
                                                TimePoint Since) const;

  /// @brief Finds the state of an engine; null if it is unknown.
  [[nodiscard]] const EngineView *find(const HostName &Host) const;

  /// @brief Whether the last order was refused because of its fencing number;
  /// clears the result.
  [[nodiscard]] bool takeRefusedFence(const HostName &Host);

  /// @brief How long an engine has not answered.
  [[nodiscard]] Duration silentFor(const HostName &Host, TimePoint Now) const;

  /// @brief Whether engines were queried and none has answered for a while,
  /// which suggests that this host is cut off rather than that the engines are
  /// down.
  [[nodiscard]] bool seemsCutOff(TimePoint Now) const;

  /// @brief Records that an engine answered another component of this host.
  void recordOtherAnswer(TimePoint Now) { LastAnswer = Now; }

  /// @brief Drops engines that have not been used for a while.
  void forgetIdle(TimePoint Now);

private:
  GroupTimes Times;
  AppendPacer &CommandIds;
  std::optional<TimePoint> LastAnswer;
  std::map<HostName, EngineView> Engines;
  std::map<CommandId, HostName> PendingQueries;
  std::map<CommandId, HostName> PendingOrders;
};

} // namespace coltsfoottrail

#endif
