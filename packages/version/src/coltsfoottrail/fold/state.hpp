/// @file
/// The agreed state: what all records up to an offset come to.
#ifndef COLTSFOOTTRAIL_FOLD_STATE_HPP
#define COLTSFOOTTRAIL_FOLD_STATE_HPP

#include "coltsfoottrail/fold/fwd.hpp"
#include "coltsfoottrail/record/record.hpp"

#include <map>
#include <set>
#include <string>

namespace coltsfoottrail {

/// @brief An entry host that has joined.
struct EntryHost {
  EntryHostJoined Joined;
  Offset Since = 0;
  [[nodiscard]] friend bool operator==(const EntryHost &,
                                       const EntryHost &) = default;
};

/// Where a group stands in its life. Only a Serving one gets requests.
enum class GroupPhase : std::uint8_t { Forming, Serving, Stopping, Broken };

/// @brief A serving group.
struct Group {
  FormGroup Formed;
  GroupPhase Phase = GroupPhase::Forming;
  /// Offset of the record that made it: the fencing number of its members'
  /// orders.
  Offset Generation = 0;
  std::vector<Incarnation> MemberRuns;
  /// Members whose hosts are not released yet.
  std::set<HostName> Held;
  [[nodiscard]] friend bool operator==(const Group &, const Group &) = default;
};

/// Where a plan stands.
enum class PlanPhase : std::uint8_t { Proposed, Running, Done, Abandoned };

/// @brief A plan and how far it has come.
struct PlanProgress {
  PlanProposed Proposed;
  PlanPhase Phase = PlanPhase::Proposed;
  /// Fencing number of its executor's orders; zero before the first.
  Offset Lease = 0;
  HostName Executor;
  Incarnation ExecutorRun = 0;
  std::uint32_t StepsDone = 0;
  std::string Why;
  [[nodiscard]] friend bool operator==(const PlanProgress &,
                                       const PlanProgress &) = default;
};

/// @brief The agreed state after all records up to At.
struct State {
  /// Offset of the next record to fold: all below it are in.
  Offset Next = 0;
  Declaration Declared;
  std::map<HostName, EntryHost> EntryHosts;
  std::set<DataCentreName> DrainedDataCentres;
  std::set<HostName> DrainedHosts;
  std::map<GroupId, Group> Groups;
  /// The group that each occupied host belongs to; a host stands here once at
  /// the most.
  std::map<HostName, GroupId> Occupied;
  std::map<Offset, PlanProgress> Plans;
  /// Highest sequence folded of each writer, to drop twins.
  std::map<Incarnation, std::uint64_t> Writers;
  /// Offset of the last record that changed what plans rest on.
  Offset LastChange = 0;

  [[nodiscard]] friend bool operator==(const State &, const State &) = default;
};

} // namespace coltsfoottrail

#endif
