#include "coltsfoottrail/groups/steps.hpp"

#include "coltsfoottrail/intents/describe.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace coltsfoottrail {

struct StepRunner::Pass {
  const State &Now;
  TimePoint At;
  LeaseKeeper &Leases;
  EngineBook &Book;
  AppendPacer &Pace;
  GroupCommands &Out;
};

namespace {

bool stillForms(const State &Now, Offset Plan) {
  const GroupId First{Plan, 0};
  const GroupId Last{Plan, std::numeric_limits<std::uint32_t>::max()};
  for (auto Each = Now.Groups.lower_bound(First);
       Each != Now.Groups.end() && Each->first <= Last; ++Each)
    if (Each->second.Phase == GroupPhase::Forming)
      return true;
  return false;
}

bool sameAdapters(const std::vector<AdapterName> &Left,
                  const std::vector<AdapterName> &Right) {
  return std::set(Left.begin(), Left.end()) ==
         std::set(Right.begin(), Right.end());
}

} // namespace

void StepRunner::poll(const State &Now, TimePoint At, LeaseKeeper &Leases,
                      EngineBook &Book, AppendPacer &Pace, GroupCommands &Out) {
  std::erase_if(Waits, [&Now](const auto &Entry) {
    const auto Found = Now.Plans.find(Entry.first);
    return Found == Now.Plans.end() ||
           Found->second.Phase != PlanPhase::Running;
  });
  const Pass In{Now, At, Leases, Book, Pace, Out};
  for (const auto &[Plan, Progress] : Now.Plans) {
    if (Progress.Phase != PlanPhase::Running)
      continue;
    if (const auto Lease = Leases.held(Plan, At))
      runPlan(In, Plan, Progress, *Lease);
  }
}

void StepRunner::runPlan(const Pass &In, Offset Plan,
                         const PlanProgress &Progress, const PlanLease &Lease) {
  const Step &What =
      Progress.ProposalRecord.Proposal.Steps.at(Progress.StepsDone);
  Outcome Found;
  if (const auto *Form = std::get_if<FormGroup>(&What))
    Found = formOutcome(In, Plan, Progress, *Form);
  else if (const auto *Stop = std::get_if<StopGroup>(&What))
    Found = stopOutcome(In, Plan, Progress, *Stop);
  else
    Found =
        swapOutcome(In, Plan, Progress, std::get<SwapAdapters>(What), Lease);
  const std::string Key = "/" + std::to_string(Plan) + "/" +
                          std::to_string(Progress.StepsDone) + "/" +
                          std::to_string(Lease.Fence);
  if (Found.Is == Standing::Finished)
    In.Pace.append("step" + Key,
                   StepFinished{Plan, Lease.Fence, Progress.StepsDone}, In.At,
                   In.Out);
  // Abandoning a plan stops what it still forms: one lost host must not take
  // down the other groups of the plan, so they are formed first.
  if (Found.Is == Standing::Impossible && !stillForms(In.Now, Plan))
    In.Pace.append("abandon" + Key, PlanAbandoned{Plan, Found.Why}, In.At,
                   In.Out);
}

StepRunner::Outcome StepRunner::formOutcome(const Pass &In, Offset Plan,
                                            const PlanProgress &Progress,
                                            const FormGroup &Form) {
  const GroupId Id{Plan, Form.Number};
  const auto Found = In.Now.Groups.find(Id);
  const std::string Lost = "group " + textOf(Id) + " broke";
  if (Found == In.Now.Groups.end()) {
    const bool Gone = Progress.FormedGroups.contains(Form.Number);
    return Gone ? Outcome{Standing::Impossible, Lost} : Outcome{};
  }
  switch (Found->second.Phase) {
  case GroupPhase::Forming:
    return Outcome{};
  case GroupPhase::Serving:
    return Outcome{Standing::Finished, {}};
  case GroupPhase::Stopping:
  case GroupPhase::Broken:
    break;
  }
  return Outcome{Standing::Impossible, Lost};
}

StepRunner::Outcome StepRunner::stopOutcome(const Pass &In, Offset Plan,
                                            const PlanProgress &Progress,
                                            const StopGroup &Stop) {
  const auto Found = In.Now.Groups.find(Stop.Group);
  if (Found == In.Now.Groups.end())
    return Outcome{Standing::Finished, {}};
  const Group &Known = Found->second;
  if (Known.Phase != GroupPhase::Broken ||
      !patienceIsOver(In, Plan, Progress.StepsDone, Known.HeldHosts.size()))
    return Outcome{};
  return Outcome{Standing::Impossible, "host " + Known.HeldHosts.begin()->Text +
                                           " of group " + textOf(Stop.Group) +
                                           " has not proved that it stopped"};
}

StepRunner::Outcome StepRunner::swapOutcome(const Pass &In, Offset Plan,
                                            const PlanProgress &Progress,
                                            const SwapAdapters &Swap,
                                            const PlanLease &Lease) {
  const auto Found = In.Now.Groups.find(Swap.Group);
  if (Found == In.Now.Groups.end() ||
      Found->second.Phase != GroupPhase::Serving)
    return Outcome{Standing::Impossible,
                   "group " + textOf(Swap.Group) + " broke"};
  std::size_t Waiting = 0;
  for (const HostName &Member : Found->second.Spec.Members) {
    const HostSpec *Host = findHost(In.Now.Declared, Member);
    if (Host == nullptr)
      continue;
    if (In.Book.takeRefusedFence(Member))
      In.Leases.renewNow(Plan);
    In.Book.ask(*Host, In.At, In.Out);
    const EngineReport *Report =
        In.Book.reportSince(Member, In.At - Times.ConfirmWindow);
    if (Report != nullptr && sameAdapters(Report->Adapters, Swap.Adapters))
      continue;
    ++Waiting;
    if (Report != nullptr && Report->Group == Swap.Group)
      In.Book.order(
          *Host,
          EngineOrder{Lease.Fence, LoadAdapters{Swap.Group, Swap.Adapters}},
          Lease.End, In.At, In.Out);
  }
  if (Waiting == 0)
    return Outcome{Standing::Finished, {}};
  if (!patienceIsOver(In, Plan, Progress.StepsDone, Waiting))
    return Outcome{};
  return Outcome{Standing::Impossible,
                 "group " + textOf(Swap.Group) + " has not taken the adapters"};
}

bool StepRunner::patienceIsOver(const Pass &In, Offset Plan, std::uint32_t Step,
                                std::size_t Held) {
  const auto [Entry, Fresh] = Waits.try_emplace(Plan, Wait{Step, Held, In.At});
  Wait &Known = Entry->second;
  if (Known.Step != Step || Known.Held != Held)
    Known = Wait{Step, Held, In.At};
  return In.At - Known.Since >= Times.StepPatience;
}

} // namespace coltsfoottrail
