/// @file
/// Internal functions of the fold: one applyRecord() overload for each kind of
/// record, and the state changes they share.
#ifndef COLTSFOOTTRAIL_FOLD_APPLY_HPP
#define COLTSFOOTTRAIL_FOLD_APPLY_HPP

#include "coltsfoottrail/fold/fold.hpp"

#include <string>

namespace coltsfoottrail::internal {

/// @brief Returns the result of a record that changed the state.
[[nodiscard]] FoldResult applied();
/// @brief Returns the result of a void record.
/// @param Reason Human-readable reason.
/// @param ConflictingOffset Offset of the record it conflicts with, if any.
[[nodiscard]] FoldResult
voided(std::string Reason,
       std::optional<Offset> ConflictingOffset = std::nullopt);

/// @brief Records that state which plans for a model depend on has changed, so
/// that plans made before this record become void.
void markModelChanged(State &Current, Offset RecordOffset,
                      const ModelName &Model);

/// @brief Creates a group and marks its hosts as occupied.
/// @param Current The state.
/// @param RecordOffset Generation of the group.
/// @param Plan The plan that it belongs to.
/// @param Spec The group; all its hosts must be free.
void formGroup(State &Current, Offset RecordOffset, Offset Plan,
               const FormGroup &Spec);
/// @brief Returns whether no member of a group to be formed is occupied.
[[nodiscard]] bool hostsAreFree(const State &Current, const FormGroup &Spec);

/// @brief Checks whether a plan is still valid against the current state.
/// @param Current The state.
/// @param Proposal The plan.
/// @return Nothing if it is valid, else the result for the record that proposes
/// or confirms it.
[[nodiscard]] std::optional<FoldResult> validatePlan(const State &Current,
                                                     const Plan &Proposal);
/// @brief Puts a plan's intent in force.
/// @param Current The state.
/// @param RecordOffset Offset of the confirmation.
/// @param Request The intent; its declaration is moved from.
void applyIntent(State &Current, Offset RecordOffset, Intent &Request);

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const EntryHostJoined &Body);
FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const EntryHostLeft &Body);
FoldResult applyRecord(State &Current, Offset RecordOffset, PlanProposed &Body);
FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const PlanConfirmed &Body);
FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const PlanAbandoned &Body);
FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const ExecutorTaken &Body);
FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const StepFinished &Body);
FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const GroupConfirmed &Body);
FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const GroupBroken &Body);
FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const HostReleased &Body);
FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const CheckpointPart &Body);

} // namespace coltsfoottrail::internal

#endif
