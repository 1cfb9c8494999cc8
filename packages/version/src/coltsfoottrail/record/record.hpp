/// @file
/// The records of the agreed stream.
#ifndef COLTSFOOTTRAIL_RECORD_RECORD_HPP
#define COLTSFOOTTRAIL_RECORD_RECORD_HPP

#include "coltsfoottrail/record/intent.hpp"

#include <variant>
#include <vector>

namespace coltsfoottrail {

/// A run of an entry host joins and announces its addresses.
struct EntryHostJoined {
  HostName Host;
  Incarnation Run = 0;
  DataCentreName DataCentre;
  /// IP address at which peers and callers reach it.
  std::string Address;
  std::uint16_t MeshPort = 0;
  std::uint16_t CallerPort = 0;
  [[nodiscard]] friend bool operator==(const EntryHostJoined &,
                                       const EntryHostJoined &) = default;
};
/// A run of an entry host has ended: it announced its stop, or its peers
/// detected its failure. Void for any other run.
struct EntryHostLeft {
  HostName Host;
  Incarnation Run = 0;
  [[nodiscard]] friend bool operator==(const EntryHostLeft &,
                                       const EntryHostLeft &) = default;
};
/// A plan is proposed for confirmation. The offset of this record identifies
/// the plan.
struct PlanProposed {
  Plan Proposal;
  std::string Operator;
  [[nodiscard]] friend bool operator==(const PlanProposed &,
                                       const PlanProposed &) = default;
};
/// An operator confirms a plan. Void if state on which the plan depends has
/// changed since it was made.
struct PlanConfirmed {
  Offset Plan = 0;
  std::string Operator;
  [[nodiscard]] friend bool operator==(const PlanConfirmed &,
                                       const PlanConfirmed &) = default;
};
/// An operator or the executor abandons a plan; no further steps are begun.
struct PlanAbandoned {
  Offset Plan = 0;
  std::string Reason;
  [[nodiscard]] friend bool operator==(const PlanAbandoned &,
                                       const PlanAbandoned &) = default;
};
/// An entry host takes the lease on a plan's execution; the record's offset is
/// the fencing token of its orders. Void unless the plan's lease is
/// ReplacedLease, so that two hosts cannot both hold it.
struct ExecutorTaken {
  Offset Plan = 0;
  HostName Host;
  Incarnation Run = 0;
  /// The lease that this one replaces; zero for the first one.
  Offset ReplacedLease = 0;
  [[nodiscard]] friend bool operator==(const ExecutorTaken &,
                                       const ExecutorTaken &) = default;
};
/// The executor has finished a step. Void unless Lease is the plan's current
/// lease.
struct StepFinished {
  Offset Plan = 0;
  Offset Lease = 0;
  std::uint32_t StepIndex = 0;
  [[nodiscard]] friend bool operator==(const StepFinished &,
                                       const StepFinished &) = default;
};
/// All members of a group have confirmed their generation: the group may serve
/// requests.
struct GroupConfirmed {
  GroupId Group;
  Offset Lease = 0;
  /// The run of each member's engine, in the order of the members.
  std::vector<Incarnation> MemberRuns;
  [[nodiscard]] friend bool operator==(const GroupConfirmed &,
                                       const GroupConfirmed &) = default;
};
/// A member of a group has failed: the group serves no more requests, and its
/// hosts stay occupied until their stop is proved.
struct GroupBroken {
  GroupId Group;
  HostName LostMember;
  std::string Reason;
  [[nodiscard]] friend bool operator==(const GroupBroken &,
                                       const GroupBroken &) = default;
};
/// A host is free: its engine has proved that it no longer serves its group, or
/// the engine's lease has expired.
struct HostReleased {
  HostName Host;
  GroupId Group;
  [[nodiscard]] friend bool operator==(const HostReleased &,
                                       const HostReleased &) = default;
};
/// A part of a checkpoint of the state at an offset. Parts are written to the
/// checkpoint stream; on the agreed stream, a record of this kind with zero
/// parts and no bytes announces that all parts are written.
struct CheckpointPart {
  Offset StateNext = 0;
  std::uint32_t Part = 0;
  std::uint32_t Parts = 1;
  std::uint64_t Digest = 0;
  std::vector<std::uint8_t> Bytes;
  [[nodiscard]] friend bool operator==(const CheckpointPart &,
                                       const CheckpointPart &) = default;
};

/// Body of a record.
using Record =
    std::variant<EntryHostJoined, EntryHostLeft, PlanProposed, PlanConfirmed,
                 PlanAbandoned, ExecutorTaken, StepFinished, GroupConfirmed,
                 GroupBroken, HostReleased, CheckpointPart>;

/// @brief Identifies one append: a retry carries the same identifier, so that
/// the fold can drop the duplicate.
struct WriterId {
  Incarnation Run = 0;
  std::uint64_t Sequence = 0;
  [[nodiscard]] friend auto operator<=>(const WriterId &,
                                        const WriterId &) = default;
};

/// @brief A record with the identifier of its append.
struct Envelope {
  WriterId Writer;
  Record Body;
  [[nodiscard]] friend bool operator==(const Envelope &,
                                       const Envelope &) = default;
};

} // namespace coltsfoottrail

#endif
