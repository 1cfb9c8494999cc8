/// @file
/// Executes plans on an entry host.
#ifndef COLTSFOOTTRAIL_GROUPS_EXECUTOR_HPP
#define COLTSFOOTTRAIL_GROUPS_EXECUTOR_HPP

#include "coltsfoottrail/groups/former.hpp"
#include "coltsfoottrail/groups/releaser.hpp"
#include "coltsfoottrail/groups/repairer.hpp"
#include "coltsfoottrail/groups/steps.hpp"

#include <set>
#include <vector>

namespace coltsfoottrail {

/// @brief Decides what one entry host does for plans and groups: takes leases
/// on running plans, forms groups, advances plan steps, releases the hosts of
/// groups that have ended, and repairs missing groups.
///
/// The same object runs on every entry host. Rendezvous hashing spreads who
/// acts on what, and the next host in rank steps in if the first one does not
/// act. Pure: depends only on the agreed state, the recorded outcomes and the
/// times passed in. Not thread-safe.
class GroupExecutor {
public:
  /// @brief Makes an executor without state.
  /// @param Timing Timing of the deployment.
  /// @param Name Name of this entry host.
  /// @param Run Current run of this entry host.
  GroupExecutor(const GroupTimes &Timing, const HostName &Name, Incarnation Run)
      : Appends(Timing), Engines(Timing, Appends), Leases(Timing, Name, Run),
        Former(Timing), Steps(Timing), Releaser(Timing, Name),
        Repairer(Timing, Name) {}

  /// @brief Decides what to do now. Call it several times a second and when the
  /// state has changed.
  /// @param Agreed The agreed state; never older than the one passed before.
  /// @param Now The time.
  /// @return Commands, in any order.
  [[nodiscard]] GroupCommands poll(const State &Agreed, TimePoint Now);

  /// @brief Records the outcome of an append.
  void recordAppend(CommandId Id, const AppendResult &Outcome, TimePoint Now) {
    Appends.recordAppend(Id, Outcome, Now);
  }
  /// @brief Records the outcome of an order.
  void recordOrder(CommandId Id, OrderResult Result, TimePoint Now) {
    Engines.recordOrder(Id, Result, Now);
  }
  /// @brief Records an engine report, or that none came.
  void recordReport(CommandId Id, std::optional<EngineReport> Report,
                    TimePoint Now) {
    Engines.recordReport(Id, std::move(Report), Now);
  }
  /// @brief Records that an engine has answered a query of the watch, so this
  /// host is not cut off.
  void recordOtherAnswer(TimePoint Now) { Engines.recordOtherAnswer(Now); }

  /// @brief Hosts that are known not to answer; intents are planned without
  /// them.
  [[nodiscard]] std::set<HostName> avoidedHosts(TimePoint Now) const {
    return Repairer.avoidedHosts(Now);
  }

private:
  void sortGroups(const State &Agreed);

  AppendPacer Appends;
  EngineTracker Engines;
  LeaseKeeper Leases;
  GroupFormer Former;
  StepRunner Steps;
  HostReleaser Releaser;
  GroupRepairer Repairer;
  std::optional<Offset> SortedNext;
  std::vector<GroupId> Forming;
  std::vector<GroupId> Ended;
};

} // namespace coltsfoottrail

#endif
