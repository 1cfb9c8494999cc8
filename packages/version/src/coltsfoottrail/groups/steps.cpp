#include "coltsfoottrail/groups/steps.hpp"

#include "coltsfoottrail/intents/describe.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace coltsfoottrail {

struct StepRunner::PollContext {
  const State &Agreed;
  TimePoint Now;
  LeaseKeeper &Leases;
  EngineTracker &Engines;
  AppendPacer &Appends;
  GroupCommands &Out;
};

namespace {

bool hasFormingGroups(const State &Agreed, Offset Plan) {
  const GroupId First{Plan, 0};
  const GroupId Last{Plan, std::numeric_limits<std::uint32_t>::max()};
  for (auto Entry = Agreed.Groups.lower_bound(First);
       Entry != Agreed.Groups.end() && Entry->first <= Last; ++Entry)
    if (Entry->second.Phase == GroupPhase::Forming)
      return true;
  return false;
}

bool sameAdapters(const std::vector<AdapterName> &Left,
                  const std::vector<AdapterName> &Right) {
  return std::set(Left.begin(), Left.end()) ==
         std::set(Right.begin(), Right.end());
}

} // namespace

void StepRunner::poll(const State &Agreed, TimePoint Now, LeaseKeeper &Leases,
                      EngineTracker &Engines, AppendPacer &Appends,
                      GroupCommands &Out) {
  std::erase_if(StepWaits, [&Agreed](const auto &Entry) {
    const auto Found = Agreed.Plans.find(Entry.first);
    return Found == Agreed.Plans.end() ||
           Found->second.Phase != PlanPhase::Running;
  });
  const PollContext Context{Agreed, Now, Leases, Engines, Appends, Out};
  for (const auto &[Plan, Progress] : Agreed.Plans) {
    if (Progress.Phase != PlanPhase::Running)
      continue;
    if (const auto Lease = Leases.held(Plan, Now))
      runPlan(Context, Plan, Progress, *Lease);
  }
}

void StepRunner::runPlan(const PollContext &Context, Offset Plan,
                         const PlanProgress &Progress, const PlanLease &Lease) {
  const Step &Current =
      Progress.ProposalRecord.Proposal.Steps.at(Progress.StepsDone);
  Outcome Result;
  if (const auto *Form = std::get_if<FormGroup>(&Current))
    Result = formOutcome(Context, Plan, Progress, *Form);
  else if (const auto *Stop = std::get_if<StopGroup>(&Current))
    Result = stopOutcome(Context, Plan, Progress, *Stop);
  else
    Result = swapOutcome(Context, Plan, Progress,
                         std::get<SwapAdapters>(Current), Lease);
  const std::string Key = "/" + std::to_string(Plan) + "/" +
                          std::to_string(Progress.StepsDone) + "/" +
                          std::to_string(Lease.Fence);
  if (Result.Status == StepStatus::Finished)
    Context.Appends.append("step" + Key,
                           StepFinished{Plan, Lease.Fence, Progress.StepsDone},
                           Context.Now, Context.Out);
  // Abandoning a plan stops the groups that it is still forming. One lost host
  // must not take down the other groups of the plan, so they are formed first.
  if (Result.Status == StepStatus::Impossible &&
      !hasFormingGroups(Context.Agreed, Plan))
    Context.Appends.append("abandon" + Key, PlanAbandoned{Plan, Result.Reason},
                           Context.Now, Context.Out);
}

StepRunner::Outcome StepRunner::formOutcome(const PollContext &Context,
                                            Offset Plan,
                                            const PlanProgress &Progress,
                                            const FormGroup &Form) {
  const GroupId Id{Plan, Form.Number};
  const auto Entry = Context.Agreed.Groups.find(Id);
  const std::string LossReason = "group " + textOf(Id) + " broke";
  if (Entry == Context.Agreed.Groups.end()) {
    const bool WasFormed = Progress.FormedGroups.contains(Form.Number);
    return WasFormed ? Outcome{StepStatus::Impossible, LossReason} : Outcome{};
  }
  switch (Entry->second.Phase) {
  case GroupPhase::Forming:
    return Outcome{};
  case GroupPhase::Serving:
    return Outcome{StepStatus::Finished, {}};
  case GroupPhase::Stopping:
  case GroupPhase::Broken:
    break;
  }
  return Outcome{StepStatus::Impossible, LossReason};
}

StepRunner::Outcome StepRunner::stopOutcome(const PollContext &Context,
                                            Offset Plan,
                                            const PlanProgress &Progress,
                                            const StopGroup &Stop) {
  const auto Entry = Context.Agreed.Groups.find(Stop.Group);
  if (Entry == Context.Agreed.Groups.end())
    return Outcome{StepStatus::Finished, {}};
  const Group &Current = Entry->second;
  if (Current.Phase != GroupPhase::Broken ||
      !isTimedOut(Context, Plan, Progress.StepsDone, Current.HeldHosts.size()))
    return Outcome{};
  return Outcome{StepStatus::Impossible,
                 "host " + Current.HeldHosts.begin()->Text + " of group " +
                     textOf(Stop.Group) + " has not proved that it stopped"};
}

StepRunner::Outcome StepRunner::swapOutcome(const PollContext &Context,
                                            Offset Plan,
                                            const PlanProgress &Progress,
                                            const SwapAdapters &Swap,
                                            const PlanLease &Lease) {
  const auto Entry = Context.Agreed.Groups.find(Swap.Group);
  if (Entry == Context.Agreed.Groups.end() ||
      Entry->second.Phase != GroupPhase::Serving)
    return Outcome{StepStatus::Impossible,
                   "group " + textOf(Swap.Group) + " broke"};
  std::size_t WaitingCount = 0;
  for (const HostName &Member : Entry->second.Spec.Members) {
    const HostSpec *Host = findHost(Context.Agreed.Declared, Member);
    if (Host == nullptr)
      continue;
    if (Context.Engines.takeRefusedFence(Member))
      Context.Leases.renewNow(Plan);
    Context.Engines.query(*Host, Context.Now, Context.Out);
    const EngineReport *Report =
        Context.Engines.reportSince(Member, Context.Now - Times.ConfirmWindow);
    if (Report != nullptr && sameAdapters(Report->Adapters, Swap.Adapters))
      continue;
    ++WaitingCount;
    if (Report != nullptr && Report->Group == Swap.Group)
      Context.Engines.order(
          *Host,
          EngineOrder{Lease.Fence, LoadAdapters{Swap.Group, Swap.Adapters}},
          Lease.End, Context.Now, Context.Out);
  }
  if (WaitingCount == 0)
    return Outcome{StepStatus::Finished, {}};
  if (!isTimedOut(Context, Plan, Progress.StepsDone, WaitingCount))
    return Outcome{};
  return Outcome{StepStatus::Impossible,
                 "group " + textOf(Swap.Group) + " has not taken the adapters"};
}

bool StepRunner::isTimedOut(const PollContext &Context, Offset Plan,
                            std::uint32_t Step, std::size_t HostCount) {
  const auto [Entry, IsNew] =
      StepWaits.try_emplace(Plan, StepWait{Step, HostCount, Context.Now});
  StepWait &Current = Entry->second;
  if (Current.Step != Step || Current.HostCount != HostCount)
    Current = StepWait{Step, HostCount, Context.Now};
  return Context.Now - Current.Since >= Times.StepTimeout;
}

} // namespace coltsfoottrail
