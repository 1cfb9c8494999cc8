/// @file
/// The agreed state: the result of folding all records up to an offset.
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
  EntryHostJoined JoinRecord;
  Offset JoinOffset = 0;
  [[nodiscard]] friend bool operator==(const EntryHost &,
                                       const EntryHost &) = default;
};

/// Lifecycle phase of a group. Only a Serving group gets requests.
enum class GroupPhase : std::uint8_t { Forming, Serving, Stopping, Broken };

/// @brief A serving group.
struct Group {
  FormGroup Spec;
  GroupPhase Phase = GroupPhase::Forming;
  /// Offset of the record that created it; the fencing token of orders to its
  /// members.
  Offset Generation = 0;
  std::vector<Incarnation> MemberRuns;
  /// Members whose hosts have not been released yet.
  std::set<HostName> HeldHosts;
  [[nodiscard]] friend bool operator==(const Group &, const Group &) = default;
};

/// Lifecycle phase of a plan.
enum class PlanPhase : std::uint8_t { Proposed, Running, Done, Abandoned };

/// @brief A plan and its progress.
struct PlanProgress {
  PlanProposed ProposalRecord;
  PlanPhase Phase = PlanPhase::Proposed;
  /// Fencing token of its executor's orders; zero before the first lease.
  Offset Lease = 0;
  HostName Executor;
  Incarnation ExecutorRun = 0;
  std::uint32_t StepsDone = 0;
  std::string Reason;
  /// Offset of the confirmation; zero before it.
  Offset ConfirmedAt = 0;
  /// Offset of the record that ended it; zero while it is Proposed or Running.
  Offset EndedAt = 0;
  /// Numbers of the groups that its steps have formed so far. A number is never
  /// formed twice, so that a late record for a removed group has no effect.
  std::set<std::uint32_t> FormedGroups;
  [[nodiscard]] friend bool operator==(const PlanProgress &,
                                       const PlanProgress &) = default;
};

/// @brief Last append folded of one run.
struct WriterMark {
  /// Highest sequence number folded.
  std::uint64_t Sequence = 0;
  /// Offset of its last record.
  Offset LastOffset = 0;
  [[nodiscard]] friend bool operator==(const WriterMark &,
                                       const WriterMark &) = default;
};

/// @brief The newest checkpoint announced on the agreed stream.
struct AnnouncedCheckpoint {
  /// Next of the state that it holds; zero before the first checkpoint.
  Offset StateNext = 0;
  std::uint64_t Digest = 0;
  /// Offset of the announcement.
  Offset AnnouncedAt = 0;
  [[nodiscard]] friend bool operator==(const AnnouncedCheckpoint &,
                                       const AnnouncedCheckpoint &) = default;
};

/// @brief The agreed state after all records below Next.
struct State {
  /// Offset of the next record to fold; all below it have been folded.
  Offset Next = 0;
  Declaration Declared;
  std::map<HostName, EntryHost> EntryHosts;
  std::set<DataCentreName> DrainedDataCentres;
  std::set<HostName> DrainedHosts;
  std::map<GroupId, Group> Groups;
  /// Group of each occupied host; a host is in at most one group.
  std::map<HostName, GroupId> OccupiedHosts;
  /// Hosts that were dropped from the declaration while a broken group still
  /// held them, with the address needed to verify that their engines have
  /// stopped.
  std::map<HostName, HostSpec> DepartedHosts;
  std::map<Offset, PlanProgress> Plans;
  /// Last append folded of each writer, to drop duplicates.
  std::map<Incarnation, WriterMark> Writers;
  AnnouncedCheckpoint Checkpoint;
  /// Next of the state after the last change of the entry hosts.
  Offset EntryHostsChange = 0;
  /// Offset of the last record that changed state on which plans depend.
  Offset LastChange = 0;
  /// Last changes of the state on which plans depend, each as the Next of the
  /// state after the change: a plan whose PlannedAt is lower was made before
  /// the change. Zero or absent if there was none.
  Offset DeclaredChange = 0;
  std::map<ModelName, Offset> ModelChanges;
  std::map<DataCentreName, Offset> DataCentreChanges;
  std::map<HostName, Offset> HostChanges;

  [[nodiscard]] friend bool operator==(const State &, const State &) = default;
};

} // namespace coltsfoottrail

#endif
