/// @file
/// The parts of the fold, one for each kind of record.
#ifndef COLTSFOOTTRAIL_FOLD_APPLY_HPP
#define COLTSFOOTTRAIL_FOLD_APPLY_HPP

#include "coltsfoottrail/fold/fold.hpp"

#include <string>

namespace coltsfoottrail::internal {

/// @brief Result of a record that changed the state.
[[nodiscard]] FoldResult applied();
/// @brief Result of a void record.
/// @param Why For people.
/// @param ConflictingOffset The record that stands in its way, if there is one.
[[nodiscard]] FoldResult
voided(std::string Why, std::optional<Offset> ConflictingOffset = std::nullopt);

/// @brief Marks that something that plans for a model rest on has changed.
void touchModel(State &Into, Offset At, const ModelName &Model);

/// @brief Makes a group and occupies its hosts.
/// @param Into The state.
/// @param At Generation of the group.
/// @param Plan The plan that it belongs to.
/// @param Wanted The group; all its hosts must be free.
void formGroup(State &Into, Offset At, Offset Plan, const FormGroup &Wanted);
/// @brief Tells whether no member of a group to be is occupied.
[[nodiscard]] bool hostsAreFree(const State &In, const FormGroup &Wanted);

/// @brief Tells whether a plan still holds at the state's end.
/// @param In The state.
/// @param Proposal The plan.
/// @return Nothing when it holds, else the result for the record that wants it.
[[nodiscard]] std::optional<FoldResult> planObjection(const State &In,
                                                      const Plan &Proposal);
/// @brief Puts a plan's intent in force.
/// @param Into The state.
/// @param At Offset of the confirmation.
/// @param Asked The intent; its declaration is moved from.
void enforceIntent(State &Into, Offset At, Intent &Asked);

FoldResult applyRecord(State &Into, Offset At, const EntryHostJoined &Said);
FoldResult applyRecord(State &Into, Offset At, const EntryHostLeft &Said);
FoldResult applyRecord(State &Into, Offset At, PlanProposed &Said);
FoldResult applyRecord(State &Into, Offset At, const PlanConfirmed &Said);
FoldResult applyRecord(State &Into, Offset At, const PlanAbandoned &Said);
FoldResult applyRecord(State &Into, Offset At, const ExecutorTaken &Said);
FoldResult applyRecord(State &Into, Offset At, const StepFinished &Said);
FoldResult applyRecord(State &Into, Offset At, const GroupConfirmed &Said);
FoldResult applyRecord(State &Into, Offset At, const GroupBroken &Said);
FoldResult applyRecord(State &Into, Offset At, const HostReleased &Said);
FoldResult applyRecord(State &Into, Offset At, const CheckpointPart &Said);

} // namespace coltsfoottrail::internal

#endif
