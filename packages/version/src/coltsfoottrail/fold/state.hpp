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
  FormGroup Spec;
  GroupPhase Phase = GroupPhase::Forming;
  /// Offset of the record that made it: the fencing number of its members'
  /// orders.
  Offset Generation = 0;
  std::vector<Incarnation> MemberRuns;
  /// Members whose hosts are not released yet.
  std::set<HostName> HeldHosts;
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
  std::string Reason;
  /// Offset of the confirmation; zero before.
  Offset ConfirmedAt = 0;
  /// Offset of the record that ended it; zero while it is Proposed or Running.
  Offset EndedAt = 0;
  /// Numbers of the groups that its steps have formed so far; a number is never
  /// formed twice, so a late record for a gone group finds nothing.
  std::set<std::uint32_t> Formed;
  [[nodiscard]] friend bool operator==(const PlanProgress &,
                                       const PlanProgress &) = default;
};

/// @brief What is known of the appends of one run.
struct WriterMark {
  /// Highest sequence folded.
  std::uint64_t Sequence = 0;
  /// Offset of its last record.
  Offset LastOffset = 0;
  [[nodiscard]] friend bool operator==(const WriterMark &,
                                       const WriterMark &) = default;
};

/// @brief The newest checkpoint that was announced on the agreed stream.
struct AnnouncedCheckpoint {
  /// Next of the state that it holds; zero before the first.
  Offset StateNext = 0;
  std::uint64_t Digest = 0;
  /// Offset of the announcement.
  Offset AnnouncedAt = 0;
  [[nodiscard]] friend bool operator==(const AnnouncedCheckpoint &,
                                       const AnnouncedCheckpoint &) = default;
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
  std::map<HostName, GroupId> OccupiedHosts;
  /// Hosts that were dropped from the declaration while a broken group still
  /// held them, with the address at which their stop can be proved.
  std::map<HostName, HostSpec> DepartedHosts;
  std::map<Offset, PlanProgress> Plans;
  /// Highest sequence folded of each writer, to drop twins.
  std::map<Incarnation, WriterMark> Writers;
  AnnouncedCheckpoint Checkpoint;
  /// Next of the state that the last change of the entry hosts made.
  Offset EntryHostsChange = 0;
  /// Offset of the last record that changed what plans rest on.
  Offset LastChange = 0;
  /// What a plan rests on, and the Next of the state that its last change made:
  /// a plan has not seen the change when its PlannedAt is below. Zero or absent
  /// when it never changed.
  Offset DeclaredChange = 0;
  std::map<ModelName, Offset> ModelChanges;
  std::map<DataCentreName, Offset> DataCentreChanges;
  std::map<HostName, Offset> HostChanges;

  [[nodiscard]] friend bool operator==(const State &, const State &) = default;
};

} // namespace coltsfoottrail

#endif
