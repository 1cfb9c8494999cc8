#include "coltsfoottrail/fold/apply.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace coltsfoottrail::internal {

namespace {

using Plans = std::map<Offset, PlanProgress>;

std::string describe(Offset Plan) { return "plan " + std::to_string(Plan); }

void stopGroup(State &Current, Offset RecordOffset, const GroupId &Id) {
  const auto It = Current.Groups.find(Id);
  if (It == Current.Groups.end())
    return;
  Group &Existing = It->second;
  if (Existing.Phase != GroupPhase::Forming &&
      Existing.Phase != GroupPhase::Serving)
    return;
  Existing.Phase = GroupPhase::Stopping;
  markModelChanged(Current, RecordOffset, Existing.Spec.Model);
}

void stopForming(State &Current, Offset RecordOffset, Offset Plan) {
  const GroupId First{Plan, 0};
  const GroupId Last{Plan, std::numeric_limits<std::uint32_t>::max()};
  for (auto It = Current.Groups.lower_bound(First);
       It != Current.Groups.end() && It->first <= Last; ++It)
    if (It->second.Phase == GroupPhase::Forming)
      stopGroup(Current, RecordOffset, It->first);
}

/// Drops the declaration that a plan carries: once in force it is part of the
/// state, and an ended plan no longer needs it.
void dropDeclaration(PlanProgress &Progress) {
  Intent &Request = Progress.ProposalRecord.Proposal.RequestedIntent;
  if (auto *const Apply = std::get_if<ApplyDeclaration>(&Request))
    *Apply = ApplyDeclaration{};
}

void endPlan(PlanProgress &Progress, Offset RecordOffset, PlanPhase Phase,
             std::string Reason) {
  Progress.Phase = Phase;
  Progress.EndedAt = RecordOffset;
  Progress.Reason = std::move(Reason);
  Progress.FormedGroups.clear();
  dropDeclaration(Progress);
}

void abandonPlan(State &Current, Offset RecordOffset, Plans::iterator It,
                 std::string Reason) {
  endPlan(It->second, RecordOffset, PlanPhase::Abandoned, std::move(Reason));
  stopForming(Current, RecordOffset, It->first);
}

bool canForm(const State &Current, const FormGroup &Spec) {
  const bool Usable =
      std::ranges::all_of(Spec.Members, [&](const HostName &Name) {
        const HostSpec *const Host = findHost(Current.Declared, Name);
        return Host != nullptr && !Current.DrainedHosts.contains(Name) &&
               !Current.DrainedDataCentres.contains(Host->DataCentre);
      });
  return Usable && hostsAreFree(Current, Spec);
}

/// Begins the next step; if it is a StopGroup, also the StopGroup steps that
/// directly follow it.
void beginSteps(State &Current, Offset RecordOffset, Plans::iterator It) {
  PlanProgress &Progress = It->second;
  const std::vector<Step> &Steps = Progress.ProposalRecord.Proposal.Steps;
  for (std::size_t Index = Progress.StepsDone; Index < Steps.size(); ++Index) {
    const auto *const Stop = std::get_if<StopGroup>(&Steps[Index]);
    if (Stop == nullptr)
      break;
    stopGroup(Current, RecordOffset, Stop->Group);
  }
  const auto *const Form = std::get_if<FormGroup>(&Steps[Progress.StepsDone]);
  if (Form == nullptr || Progress.FormedGroups.contains(Form->Number))
    return;
  if (canForm(Current, *Form))
    formGroup(Current, RecordOffset, It->first, *Form);
  else
    abandonPlan(Current, RecordOffset, It,
                "the hosts of group " + std::to_string(Form->Number) +
                    " can no longer be used");
}

/// Forms all groups of a plan whose hosts are already free.
void formFreeGroups(State &Current, Offset RecordOffset, Offset Plan) {
  const PlanProgress &Progress = Current.Plans.at(Plan);
  for (const Step &PlanStep : Progress.ProposalRecord.Proposal.Steps) {
    const auto *const Form = std::get_if<FormGroup>(&PlanStep);
    if (Form != nullptr && hostsAreFree(Current, *Form))
      formGroup(Current, RecordOffset, Plan, *Form);
  }
}

void markStepModelsChanged(State &Current, Offset RecordOffset,
                           const Plan &Proposal) {
  for (const Step &PlanStep : Proposal.Steps) {
    if (const auto *const Form = std::get_if<FormGroup>(&PlanStep)) {
      markModelChanged(Current, RecordOffset, Form->Model);
      continue;
    }
    const auto *const Stop = std::get_if<StopGroup>(&PlanStep);
    const GroupId Id =
        Stop != nullptr ? Stop->Group : std::get<SwapAdapters>(PlanStep).Group;
    const auto It = Current.Groups.find(Id);
    if (It != Current.Groups.end())
      markModelChanged(Current, RecordOffset, It->second.Spec.Model);
  }
}

/// Bounds the number of proposed declarations by abandoning the oldest.
void limitProposedDeclarations(State &Current, Offset RecordOffset) {
  std::vector<Plans::iterator> Waiting;
  for (auto It = Current.Plans.begin(); It != Current.Plans.end(); ++It)
    if (It->second.Phase == PlanPhase::Proposed &&
        std::holds_alternative<ApplyDeclaration>(
            It->second.ProposalRecord.Proposal.RequestedIntent))
      Waiting.push_back(It);
  if (Waiting.size() > MaxDeclarationProposals)
    abandonPlan(Current, RecordOffset, Waiting.front(),
                "newer declarations were proposed");
}

std::optional<FoldResult> validateLease(const PlanProgress &Progress,
                                        Offset Plan, Offset Lease) {
  if (Progress.Phase != PlanPhase::Running)
    return voided(describe(Plan) + " is not running");
  if (Lease == 0 || Progress.Lease != Lease)
    return voided("the lease on " + describe(Plan) + " is another one",
                  Progress.Lease);
  return std::nullopt;
}

/// Returns why a step is not finished; empty if it is.
std::string unfinishedReason(const State &Current, Offset Plan,
                             const Step &Candidate) {
  if (const auto *const Stop = std::get_if<StopGroup>(&Candidate))
    return Current.Groups.contains(Stop->Group)
               ? "the hosts of the group are not all released"
               : "";
  const auto *const Form = std::get_if<FormGroup>(&Candidate);
  const GroupId Group = Form != nullptr
                            ? GroupId{Plan, Form->Number}
                            : std::get<SwapAdapters>(Candidate).Group;
  const auto It = Current.Groups.find(Group);
  const bool Serves =
      It != Current.Groups.end() && It->second.Phase == GroupPhase::Serving;
  return Serves ? "" : "the group is not serving";
}

void finishStep(State &Current, Offset RecordOffset, Plans::iterator It) {
  PlanProgress &Progress = It->second;
  const std::vector<Step> &Steps = Progress.ProposalRecord.Proposal.Steps;
  const Step &Finished = Steps[Progress.StepsDone];
  if (const auto *const Swap = std::get_if<SwapAdapters>(&Finished))
    Current.Groups.at(Swap->Group).Spec.Adapters = Swap->Adapters;
  ++Progress.StepsDone;
  Current.LastChange = RecordOffset;
  if (Progress.StepsDone == Steps.size())
    endPlan(Progress, RecordOffset, PlanPhase::Done, {});
  else
    beginSteps(Current, RecordOffset, It);
}

} // namespace

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       PlanProposed &Body) {
  if (std::optional<FoldResult> Failure = validatePlan(Current, Body.Proposal))
    return *std::move(Failure);
  Current.Plans[RecordOffset].ProposalRecord = std::move(Body);
  limitProposedDeclarations(Current, RecordOffset);
  return applied();
}

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const PlanConfirmed &Body) {
  const auto It = Current.Plans.find(Body.Plan);
  if (It == Current.Plans.end())
    return voided(describe(Body.Plan) + " is not known");
  PlanProgress &Progress = It->second;
  if (Progress.Phase != PlanPhase::Proposed)
    return voided(describe(Body.Plan) + " does not wait for confirmation",
                  Progress.EndedAt > 0 ? Progress.EndedAt
                                       : Progress.ConfirmedAt);
  Plan &Proposal = Progress.ProposalRecord.Proposal;
  if (std::optional<FoldResult> Failure = validatePlan(Current, Proposal))
    return *std::move(Failure);
  Progress.Phase = PlanPhase::Running;
  Progress.ConfirmedAt = RecordOffset;
  applyIntent(Current, RecordOffset, Proposal.RequestedIntent);
  markStepModelsChanged(Current, RecordOffset, Proposal);
  if (Proposal.Steps.empty()) {
    endPlan(Progress, RecordOffset, PlanPhase::Done, {});
    return applied();
  }
  formFreeGroups(Current, RecordOffset, It->first);
  beginSteps(Current, RecordOffset, It);
  return applied();
}

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const PlanAbandoned &Body) {
  const auto It = Current.Plans.find(Body.Plan);
  if (It == Current.Plans.end())
    return voided(describe(Body.Plan) + " is not known");
  if (It->second.EndedAt > 0)
    return voided(describe(Body.Plan) + " has ended", It->second.EndedAt);
  abandonPlan(Current, RecordOffset, It, Body.Reason);
  return applied();
}

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const ExecutorTaken &Body) {
  const auto It = Current.Plans.find(Body.Plan);
  if (It == Current.Plans.end())
    return voided(describe(Body.Plan) + " is not known");
  PlanProgress &Progress = It->second;
  if (Progress.Phase != PlanPhase::Running)
    return voided(describe(Body.Plan) + " is not running");
  if (Progress.Lease != Body.ReplacedLease)
    return voided("the lease on " + describe(Body.Plan) +
                      " was taken by entry host " + Progress.Executor.Text,
                  Progress.Lease);
  const auto Host = Current.EntryHosts.find(Body.Host);
  if (Host == Current.EntryHosts.end() ||
      Host->second.JoinRecord.Run != Body.Run)
    return voided("this run of entry host " + Body.Host.Text +
                  " has not joined");
  Progress.Lease = RecordOffset;
  Progress.Executor = Body.Host;
  Progress.ExecutorRun = Body.Run;
  return applied();
}

FoldResult applyRecord(State &Current, Offset RecordOffset,
                       const StepFinished &Body) {
  const auto It = Current.Plans.find(Body.Plan);
  if (It == Current.Plans.end())
    return voided(describe(Body.Plan) + " is not known");
  const PlanProgress &Progress = It->second;
  if (auto Failure = validateLease(Progress, Body.Plan, Body.Lease))
    return *std::move(Failure);
  if (Body.StepIndex != Progress.StepsDone)
    return voided("the step that is next is " +
                  std::to_string(Progress.StepsDone));
  const Step &Finished = Progress.ProposalRecord.Proposal.Steps[Body.StepIndex];
  std::string Problem = unfinishedReason(Current, Body.Plan, Finished);
  if (!Problem.empty())
    return voided(std::move(Problem));
  finishStep(Current, RecordOffset, It);
  return applied();
}

} // namespace coltsfoottrail::internal
