#include "coltsfoottrail/fold/apply.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace coltsfoottrail::internal {

namespace {

using Plans = std::map<Offset, PlanProgress>;

std::string describe(Offset Plan) { return "plan " + std::to_string(Plan); }

void stopGroup(State &Into, Offset At, const GroupId &Which) {
  const auto Found = Into.Groups.find(Which);
  if (Found == Into.Groups.end())
    return;
  Group &Known = Found->second;
  if (Known.Phase != GroupPhase::Forming && Known.Phase != GroupPhase::Serving)
    return;
  Known.Phase = GroupPhase::Stopping;
  touchModel(Into, At, Known.Spec.Model);
}

void stopForming(State &Into, Offset At, Offset Plan) {
  const GroupId First{Plan, 0};
  const GroupId Last{Plan, std::numeric_limits<std::uint32_t>::max()};
  for (auto Each = Into.Groups.lower_bound(First);
       Each != Into.Groups.end() && Each->first <= Last; ++Each)
    if (Each->second.Phase == GroupPhase::Forming)
      stopGroup(Into, At, Each->first);
}

/// Drops the declaration that a plan carries: once in force it stands in the
/// state, and a plan that ended needs it no more.
void dropDeclaration(PlanProgress &Progress) {
  Intent &Asked = Progress.Proposed.Proposal.RequestedIntent;
  if (auto *const Apply = std::get_if<ApplyDeclaration>(&Asked))
    *Apply = ApplyDeclaration{};
}

void endPlan(PlanProgress &Progress, Offset At, PlanPhase Phase,
             std::string Why) {
  Progress.Phase = Phase;
  Progress.EndedAt = At;
  Progress.Reason = std::move(Why);
  Progress.Formed.clear();
  dropDeclaration(Progress);
}

void abandonPlan(State &Into, Offset At, Plans::iterator Which,
                 std::string Why) {
  endPlan(Which->second, At, PlanPhase::Abandoned, std::move(Why));
  stopForming(Into, At, Which->first);
}

bool mayForm(const State &In, const FormGroup &Wanted) {
  const bool Usable =
      std::ranges::all_of(Wanted.Members, [&](const HostName &Name) {
        const HostSpec *const Host = findHost(In.Declared, Name);
        return Host != nullptr && !In.DrainedHosts.contains(Name) &&
               !In.DrainedDataCentres.contains(Host->DataCentre);
      });
  return Usable && hostsAreFree(In, Wanted);
}

/// Begins the step that is next, and with a StopGroup those that follow it.
void beginSteps(State &Into, Offset At, Plans::iterator Which) {
  PlanProgress &Progress = Which->second;
  const std::vector<Step> &Steps = Progress.Proposed.Proposal.Steps;
  for (std::size_t Index = Progress.StepsDone; Index < Steps.size(); ++Index) {
    const auto *const Stop = std::get_if<StopGroup>(&Steps[Index]);
    if (Stop == nullptr)
      break;
    stopGroup(Into, At, Stop->Group);
  }
  const auto *const Form = std::get_if<FormGroup>(&Steps[Progress.StepsDone]);
  if (Form == nullptr || Progress.Formed.contains(Form->Number))
    return;
  if (mayForm(Into, *Form))
    formGroup(Into, At, Which->first, *Form);
  else
    abandonPlan(Into, At, Which,
                "the hosts of group " + std::to_string(Form->Number) +
                    " can no longer be used");
}

/// Occupies the hosts of all groups whose hosts are free now.
void formFreeGroups(State &Into, Offset At, Offset Plan) {
  const PlanProgress &Progress = Into.Plans.at(Plan);
  for (const Step &Each : Progress.Proposed.Proposal.Steps) {
    const auto *const Form = std::get_if<FormGroup>(&Each);
    if (Form != nullptr && hostsAreFree(Into, *Form))
      formGroup(Into, At, Plan, *Form);
  }
}

void touchStepModels(State &Into, Offset At, const Plan &Proposal) {
  for (const Step &Each : Proposal.Steps) {
    if (const auto *const Form = std::get_if<FormGroup>(&Each)) {
      touchModel(Into, At, Form->Model);
      continue;
    }
    const auto *const Stop = std::get_if<StopGroup>(&Each);
    const GroupId Which =
        Stop != nullptr ? Stop->Group : std::get<SwapAdapters>(Each).Group;
    const auto Found = Into.Groups.find(Which);
    if (Found != Into.Groups.end())
      touchModel(Into, At, Found->second.Spec.Model);
  }
}

/// Keeps the proposals of whole declarations bounded: the oldest gives way.
void limitDeclarations(State &Into, Offset At) {
  std::vector<Plans::iterator> Waiting;
  for (auto Each = Into.Plans.begin(); Each != Into.Plans.end(); ++Each)
    if (Each->second.Phase == PlanPhase::Proposed &&
        std::holds_alternative<ApplyDeclaration>(
            Each->second.Proposed.Proposal.RequestedIntent))
      Waiting.push_back(Each);
  if (Waiting.size() > MaxDeclarationProposals)
    abandonPlan(Into, At, Waiting.front(), "newer declarations were proposed");
}

std::optional<FoldResult> leaseObjection(const PlanProgress &Progress,
                                         Offset Plan, Offset Lease) {
  if (Progress.Phase != PlanPhase::Running)
    return voided(describe(Plan) + " is not running");
  if (Lease == 0 || Progress.Lease != Lease)
    return voided("the lease on " + describe(Plan) + " is another one",
                  Progress.Lease);
  return std::nullopt;
}

std::string stepObjection(const State &In, Offset Plan, const Step &Which) {
  if (const auto *const Stop = std::get_if<StopGroup>(&Which))
    return In.Groups.contains(Stop->Group)
               ? "the hosts of the group are not all released"
               : "";
  const auto *const Form = std::get_if<FormGroup>(&Which);
  const GroupId Group = Form != nullptr ? GroupId{Plan, Form->Number}
                                        : std::get<SwapAdapters>(Which).Group;
  const auto Found = In.Groups.find(Group);
  const bool Serves =
      Found != In.Groups.end() && Found->second.Phase == GroupPhase::Serving;
  return Serves ? "" : "the group is not serving";
}

void finishStep(State &Into, Offset At, Plans::iterator Which) {
  PlanProgress &Progress = Which->second;
  const std::vector<Step> &Steps = Progress.Proposed.Proposal.Steps;
  const Step &Done = Steps[Progress.StepsDone];
  if (const auto *const Swap = std::get_if<SwapAdapters>(&Done))
    Into.Groups.at(Swap->Group).Spec.Adapters = Swap->Adapters;
  ++Progress.StepsDone;
  Into.LastChange = At;
  if (Progress.StepsDone == Steps.size())
    endPlan(Progress, At, PlanPhase::Done, {});
  else
    beginSteps(Into, At, Which);
}

} // namespace

FoldResult applyRecord(State &Into, Offset At, PlanProposed &Said) {
  if (std::optional<FoldResult> Found = planObjection(Into, Said.Proposal))
    return *std::move(Found);
  Into.Plans[At].Proposed = std::move(Said);
  limitDeclarations(Into, At);
  return applied();
}

FoldResult applyRecord(State &Into, Offset At, const PlanConfirmed &Said) {
  const auto Found = Into.Plans.find(Said.Plan);
  if (Found == Into.Plans.end())
    return voided(describe(Said.Plan) + " is not known");
  PlanProgress &Progress = Found->second;
  if (Progress.Phase != PlanPhase::Proposed)
    return voided(describe(Said.Plan) + " does not wait for confirmation",
                  Progress.EndedAt > 0 ? Progress.EndedAt
                                       : Progress.ConfirmedAt);
  Plan &Proposal = Progress.Proposed.Proposal;
  if (std::optional<FoldResult> Objection = planObjection(Into, Proposal))
    return *std::move(Objection);
  Progress.Phase = PlanPhase::Running;
  Progress.ConfirmedAt = At;
  enforceIntent(Into, At, Proposal.RequestedIntent);
  touchStepModels(Into, At, Proposal);
  if (Proposal.Steps.empty()) {
    endPlan(Progress, At, PlanPhase::Done, {});
    return applied();
  }
  formFreeGroups(Into, At, Found->first);
  beginSteps(Into, At, Found);
  return applied();
}

FoldResult applyRecord(State &Into, Offset At, const PlanAbandoned &Said) {
  const auto Found = Into.Plans.find(Said.Plan);
  if (Found == Into.Plans.end())
    return voided(describe(Said.Plan) + " is not known");
  if (Found->second.EndedAt > 0)
    return voided(describe(Said.Plan) + " has ended", Found->second.EndedAt);
  abandonPlan(Into, At, Found, Said.Reason);
  return applied();
}

FoldResult applyRecord(State &Into, Offset At, const ExecutorTaken &Said) {
  const auto Found = Into.Plans.find(Said.Plan);
  if (Found == Into.Plans.end())
    return voided(describe(Said.Plan) + " is not known");
  PlanProgress &Progress = Found->second;
  if (Progress.Phase != PlanPhase::Running)
    return voided(describe(Said.Plan) + " is not running");
  if (Progress.Lease != Said.ReplacedLease)
    return voided("the lease on " + describe(Said.Plan) +
                      " was taken by entry host " + Progress.Executor.Text,
                  Progress.Lease);
  const auto Host = Into.EntryHosts.find(Said.Host);
  if (Host == Into.EntryHosts.end() || Host->second.Joined.Run != Said.Run)
    return voided("this run of entry host " + Said.Host.Text +
                  " has not joined");
  Progress.Lease = At;
  Progress.Executor = Said.Host;
  Progress.ExecutorRun = Said.Run;
  return applied();
}

FoldResult applyRecord(State &Into, Offset At, const StepFinished &Said) {
  const auto Found = Into.Plans.find(Said.Plan);
  if (Found == Into.Plans.end())
    return voided(describe(Said.Plan) + " is not known");
  const PlanProgress &Progress = Found->second;
  if (auto Objection = leaseObjection(Progress, Said.Plan, Said.Lease))
    return *std::move(Objection);
  if (Said.StepIndex != Progress.StepsDone)
    return voided("the step that is next is " +
                  std::to_string(Progress.StepsDone));
  const Step &Which = Progress.Proposed.Proposal.Steps[Said.StepIndex];
  std::string Problem = stepObjection(Into, Said.Plan, Which);
  if (!Problem.empty())
    return voided(std::move(Problem));
  finishStep(Into, At, Found);
  return applied();
}

} // namespace coltsfoottrail::internal
