/// @file
/// The part that each entry host takes in carrying plans out.
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
/// on running plans, forms groups, carries steps on, releases the hosts of
/// groups that are over and repairs what is missing.
///
/// The same object runs on every entry host; who acts on what is spread by
/// rendezvous hash, and whoever comes next steps in when the first one doesn't
/// act. Pure: it goes by the agreed state, the answers that it is told and the
/// times that it is given. Not thread-safe.
class GroupExecutor {
public:
  /// @brief Starts with nothing known.
  /// @param Given Times of the deployment.
  /// @param Name This entry host.
  /// @param Run This run of it.
  GroupExecutor(const GroupTimes &Given, const HostName &Name, Incarnation Run)
      : Pace(Given), Book(Given, Pace), Leases(Given, Name, Run), Form(Given),
        Steps(Given), Release(Given, Name), Repair(Given, Name) {}

  /// @brief Decides. Call it several times a second and when the state has
  /// changed.
  /// @param Now The agreed state; never older than the one given before.
  /// @param At The time.
  /// @return What is to be done, in any order.
  [[nodiscard]] GroupCommands poll(const State &Now, TimePoint At);

  /// @brief Takes an append's outcome.
  void recordAppend(CommandId Which, const AppendResult &Outcome,
                    TimePoint At) {
    Pace.recordAppend(Which, Outcome, At);
  }
  /// @brief Takes an order's outcome.
  void recordOrder(CommandId Which, OrderResult Result, TimePoint At) {
    Book.recordOrder(Which, Result, At);
  }
  /// @brief Takes a report, or nothing when none came.
  void recordReport(CommandId Which, std::optional<EngineReport> Report,
                    TimePoint At) {
    Book.recordReport(Which, std::move(Report), At);
  }
  /// @brief Tells that an engine has answered to the watch over members: this
  /// host is not cut off.
  void recordOtherAnswer(TimePoint At) { Book.recordOtherAnswer(At); }

  /// @brief Hosts that are known not to answer; intents are planned without
  /// them.
  [[nodiscard]] std::set<HostName> avoidedHosts(TimePoint At) const {
    return Repair.avoidedHosts(At);
  }

private:
  void sortGroups(const State &Now);

  AppendPacer Pace;
  EngineTracker Book;
  LeaseKeeper Leases;
  GroupFormer Form;
  StepRunner Steps;
  HostReleaser Release;
  GroupRepairer Repair;
  std::optional<Offset> SortedAt;
  std::vector<GroupId> Forming;
  std::vector<GroupId> Over;
};

} // namespace coltsfoottrail

#endif
