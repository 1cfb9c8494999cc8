/// @file
/// Restores missing groups.
#ifndef COLTSFOOTTRAIL_GROUPS_REPAIRER_HPP
#define COLTSFOOTTRAIL_GROUPS_REPAIRER_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/groups/enginebook.hpp"
#include "coltsfoottrail/intents/planner.hpp"

#include <map>
#include <optional>
#include <set>

namespace coltsfoottrail {

/// Operator name in the plans of repairs.
inline constexpr const char *RepairOperator = "repair";

/// @brief Proposes and confirms plans that restore groups that are declared and
/// missing.
///
/// The declaration was confirmed by an operator, so restoring it needs no
/// second confirmation. A repair waits a short while for the surviving hosts of
/// a broken group, then queries each host that it would use before it proposes
/// a plan. It does no harm if two entry hosts repair the same group: the fold
/// voids the second plan. Not thread-safe.
class GroupRepairer {
public:
  /// @brief Makes a repairer without state.
  /// @param Timing Timing of the deployment.
  /// @param Name Name of this entry host.
  GroupRepairer(const GroupTimes &Timing, HostName Name)
      : Times(Timing), Self(std::move(Name)) {}

  /// @brief Advances the repairs that this entry host may act on.
  /// @param Agreed The agreed state.
  /// @param Now The time.
  /// @param Engines Reports and orders of the engines.
  /// @param Appends Paces the appends.
  /// @param Out Commands are added here.
  void poll(const State &Agreed, TimePoint Now, EngineTracker &Engines,
            AppendPacer &Appends, GroupCommands &Out);

  /// @brief Excludes a host from plans for a while.
  void avoid(const HostName &Host, TimePoint Now) {
    Avoided[Host] = Now + Times.AvoidFor;
  }

  /// @brief The hosts that are excluded from plans, also for the planning of
  /// intents.
  [[nodiscard]] std::set<HostName> avoidedHosts(TimePoint Now) const;

private:
  struct PollContext;
  struct RepairState {
    TimePoint Since;
    std::size_t Rank = 0;
    std::optional<Plan> Candidate;
    Offset PlannedAtChange = 0;
    std::size_t AvoidedCount = 0;
  };

  void refresh(const State &Agreed, TimePoint Now);
  void repair(const PollContext &Context, const MissingGroups &Missing,
              RepairState &Repair);
  [[nodiscard]] bool awaitsSurvivors(const PollContext &Context,
                                     const MissingGroups &Missing,
                                     const RepairState &Repair) const;
  [[nodiscard]] static bool hasSurvivors(const PollContext &Context,
                                         const Group &Broken);
  [[nodiscard]] std::optional<Offset>
  findProposed(const PollContext &Context, const MissingGroups &Missing) const;
  void plan(const PollContext &Context, const MissingGroups &Missing,
            RepairState &Repair) const;
  [[nodiscard]] bool allAnswer(const PollContext &Context,
                               const Plan &Candidate);

  GroupTimes Times;
  HostName Self;
  std::map<MissingGroups, RepairState> Repairs;
  std::map<HostName, TimePoint> Avoided;
  /// When each proposed repair was confirmed. A repair that is still only
  /// proposed some time later was superseded by another change and is replaced
  /// by a new one.
  std::map<Offset, TimePoint> ConfirmedAt;
  TimePoint NextRefresh;
  /// State::LastChange at the last refresh.
  std::optional<Offset> RefreshedChange;
};

} // namespace coltsfoottrail

#endif
