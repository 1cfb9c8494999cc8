/// @file
/// Has missing groups formed again.
#ifndef COLTSFOOTTRAIL_GROUPS_REPAIRER_HPP
#define COLTSFOOTTRAIL_GROUPS_REPAIRER_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/groups/enginebook.hpp"
#include "coltsfoottrail/intents/planner.hpp"

#include <map>
#include <optional>
#include <set>

namespace coltsfoottrail {

/// Operator that plans of repairs carry.
inline constexpr const char *RepairOperator = "repair";

/// @brief Proposes and confirms plans that bring back the groups that are
/// declared and missing.
///
/// The declaration was confirmed by an operator, so keeping to it needs no
/// second confirmation. A repair waits a short while for the survivors of a
/// broken group, then asks each host that it would use before it proposes. Two
/// entry hosts that repair the same do no harm: the fold voids the second. Not
/// thread-safe.
class GroupRepairer {
public:
  /// @brief Starts with nothing known.
  /// @param Given Times of the deployment.
  /// @param Name This entry host.
  GroupRepairer(const GroupTimes &Given, HostName Name)
      : Times(Given), Self(std::move(Name)) {}

  /// @brief Acts on missing groups, where this entry host has its turn.
  /// @param Now The agreed state.
  /// @param At The time.
  /// @param Book The engines.
  /// @param Pace Where appends go through.
  /// @param Out Where commands go.
  void poll(const State &Now, TimePoint At, EngineTracker &Book,
            AppendPacer &Pace, GroupCommands &Out);

  /// @brief Keeps a host out of plans for a while.
  void avoid(const HostName &Host, TimePoint At) {
    Avoided[Host] = At + Times.AvoidFor;
  }

  /// @brief The hosts that are kept out of plans, for the planning of intents
  /// as well.
  [[nodiscard]] std::set<HostName> avoidedHosts(TimePoint At) const;

private:
  struct Pass;
  struct Repair {
    TimePoint Since;
    std::size_t Turn = 0;
    std::optional<Plan> Candidate;
    Offset PlannedOn = 0;
    std::size_t AvoidedThen = 0;
  };

  void look(const State &Now, TimePoint At);
  void repair(const Pass &In, const MissingGroups &Where, Repair &How);
  [[nodiscard]] bool awaitsSurvivors(const Pass &In, const MissingGroups &Where,
                                     const Repair &How) const;
  [[nodiscard]] static bool hasSurvivors(const Pass &In, const Group &Broken);
  [[nodiscard]] std::optional<Offset>
  findProposed(const Pass &In, const MissingGroups &Where) const;
  void plan(const Pass &In, const MissingGroups &Where, Repair &How) const;
  [[nodiscard]] bool allAnswer(const Pass &In, const Plan &Candidate);

  GroupTimes Times;
  HostName Self;
  std::map<MissingGroups, Repair> Repairs;
  std::map<HostName, TimePoint> Avoided;
  /// When each proposed repair was confirmed. One that is still only proposed a
  /// while later was beaten by a change, and a new one takes its place.
  std::map<Offset, TimePoint> ConfirmedAt;
  TimePoint NextLook;
  /// LastChange of the state that was looked at last.
  std::optional<Offset> LookedAt;
};

} // namespace coltsfoottrail

#endif
