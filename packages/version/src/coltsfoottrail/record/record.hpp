/// @file
/// The records of the agreed stream.
#ifndef COLTSFOOTTRAIL_RECORD_RECORD_HPP
#define COLTSFOOTTRAIL_RECORD_RECORD_HPP

#include "coltsfoottrail/record/intent.hpp"

#include <variant>
#include <vector>

namespace coltsfoottrail {

/// An entry host's run says that it is there and how its peers reach it.
struct EntryHostJoined {
  HostName Host;
  Incarnation Run = 0;
  DataCentreName DataCentre;
  /// IP number that peers and callers reach it by.
  std::string Address;
  std::uint16_t MeshPort = 0;
  std::uint16_t CallerPort = 0;
  [[nodiscard]] friend bool operator==(const EntryHostJoined &,
                                       const EntryHostJoined &) = default;
};
/// An entry host's run is over: it said so itself, or its peers found it gone.
/// Void for any other run.
struct EntryHostLeft {
  HostName Host;
  Incarnation Run = 0;
  [[nodiscard]] friend bool operator==(const EntryHostLeft &,
                                       const EntryHostLeft &) = default;
};
/// A plan is put up for confirmation. Its offset names it.
struct PlanProposed {
  Plan Proposal;
  std::string Operator;
  [[nodiscard]] friend bool operator==(const PlanProposed &,
                                       const PlanProposed &) = default;
};
/// An operator confirms a plan. Void when something that the plan rests on has
/// changed since.
struct PlanConfirmed {
  Offset Plan = 0;
  std::string Operator;
  [[nodiscard]] friend bool operator==(const PlanConfirmed &,
                                       const PlanConfirmed &) = default;
};
/// An operator or the executor gives a plan up; steps not yet begun are not
/// begun.
struct PlanAbandoned {
  Offset Plan = 0;
  std::string Reason;
  [[nodiscard]] friend bool operator==(const PlanAbandoned &,
                                       const PlanAbandoned &) = default;
};
/// An entry host takes the lease on a plan's execution; the record's offset is
/// the fencing number of its orders. Void unless the plan's lease is the one
/// named, so two takers cannot both hold it.
struct ExecutorTaken {
  Offset Plan = 0;
  HostName Host;
  Incarnation Run = 0;
  /// The lease that this one replaces; zero for the first.
  Offset ReplacedLease = 0;
  [[nodiscard]] friend bool operator==(const ExecutorTaken &,
                                       const ExecutorTaken &) = default;
};
/// The executor finished a step. Void unless it holds the lease named.
struct StepFinished {
  Offset Plan = 0;
  Offset Lease = 0;
  std::uint32_t StepIndex = 0;
  [[nodiscard]] friend bool operator==(const StepFinished &,
                                       const StepFinished &) = default;
};
/// All members of a group have confirmed their generation: it may answer.
struct GroupConfirmed {
  GroupId Group;
  Offset Lease = 0;
  /// The run of each member's engine, in the order of the members.
  std::vector<Incarnation> MemberRuns;
  [[nodiscard]] friend bool operator==(const GroupConfirmed &,
                                       const GroupConfirmed &) = default;
};
/// A member of a group is lost: the group answers nothing more and its hosts
/// await a proven stop.
struct GroupBroken {
  GroupId Group;
  HostName LostMember;
  std::string Reason;
  [[nodiscard]] friend bool operator==(const GroupBroken &,
                                       const GroupBroken &) = default;
};
/// A host's engine has proved that it serves its group no more, or its lease
/// has run out: it is free.
struct HostReleased {
  HostName Host;
  GroupId Group;
  [[nodiscard]] friend bool operator==(const HostReleased &,
                                       const HostReleased &) = default;
};
/// A part of a checkpoint of the state at an offset. Parts stand on a stream of
/// their own; on the agreed stream a record of this kind without parts and
/// bytes announces that all parts are written.
struct CheckpointPart {
  Offset StateNext = 0;
  std::uint32_t Part = 0;
  std::uint32_t Parts = 1;
  std::uint64_t Digest = 0;
  std::vector<std::uint8_t> Bytes;
  [[nodiscard]] friend bool operator==(const CheckpointPart &,
                                       const CheckpointPart &) = default;
};

/// What a record says.
using Record =
    std::variant<EntryHostJoined, EntryHostLeft, PlanProposed, PlanConfirmed,
                 PlanAbandoned, ExecutorTaken, StepFinished, GroupConfirmed,
                 GroupBroken, HostReleased, CheckpointPart>;

/// @brief Names one append: a retry carries the same one, so that the fold can
/// drop the twin.
struct WriterId {
  Incarnation Run = 0;
  std::uint64_t Sequence = 0;
  [[nodiscard]] friend auto operator<=>(const WriterId &,
                                        const WriterId &) = default;
};

/// @brief A record with the append that it came by.
struct Envelope {
  WriterId Writer;
  Record Body;
  [[nodiscard]] friend bool operator==(const Envelope &,
                                       const Envelope &) = default;
};

} // namespace coltsfoottrail

#endif
