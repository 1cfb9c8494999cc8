#include "coltsfoottrail/groups/repairer.hpp"

#include "coltsfoottrail/groups/spread.hpp"

#include <utility>

namespace coltsfoottrail {

struct GroupRepairer::PollContext {
  const State &Agreed;
  TimePoint Now;
  EngineTracker &Engines;
  AppendPacer &Appends;
  GroupCommands &Out;
};

namespace {

std::string repairKey(const MissingGroups &Missing) {
  return Missing.Model.Text + "/" + Missing.DataCentre.Text;
}

} // namespace

void GroupRepairer::poll(const State &Agreed, TimePoint Now,
                         EngineTracker &Engines, AppendPacer &Appends,
                         GroupCommands &Out) {
  if (Now >= NextRefresh)
    refresh(Agreed, Now);
  const PollContext Context{Agreed, Now, Engines, Appends, Out};
  for (auto &[Missing, Repair] : Repairs) {
    const auto Rank = static_cast<std::int64_t>(Repair.Rank);
    if (Now - Repair.Since >= Rank * Times.Stagger)
      repair(Context, Missing, Repair);
  }
}

std::set<HostName> GroupRepairer::avoidedHosts(TimePoint Now) const {
  std::set<HostName> Names;
  for (const auto &[Host, Until] : Avoided)
    if (Now < Until)
      Names.insert(Host);
  return Names;
}

void GroupRepairer::refresh(const State &Agreed, TimePoint Now) {
  NextRefresh = Now + Times.RepairEvery;
  if (Repairs.empty() && RefreshedChange == Agreed.LastChange)
    return;
  RefreshedChange = Agreed.LastChange;
  std::erase_if(Avoided,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  std::erase_if(ConfirmedAt, [&Agreed](const auto &Entry) {
    return !Agreed.Plans.contains(Entry.first);
  });
  std::map<MissingGroups, RepairState> Updated;
  for (MissingGroups &Missing : findMissing(Agreed)) {
    const auto Previous = Repairs.find(Missing);
    RepairState Repair;
    Repair.Since = Now;
    if (Previous != Repairs.end())
      Repair = std::move(Previous->second);
    Repair.Rank =
        rendezvousRank("repair/" + repairKey(Missing), Agreed.EntryHosts, Self);
    Updated.emplace(std::move(Missing), std::move(Repair));
  }
  Repairs = std::move(Updated);
}

void GroupRepairer::repair(const PollContext &Context,
                           const MissingGroups &Missing, RepairState &Repair) {
  if (const auto Proposed = findProposed(Context, Missing)) {
    ConfirmedAt.try_emplace(*Proposed, Context.Now);
    Context.Appends.append("confirm-plan/" + std::to_string(*Proposed),
                           PlanConfirmed{*Proposed, RepairOperator},
                           Context.Now, Context.Out);
    return;
  }
  if (awaitsSurvivors(Context, Missing, Repair))
    return;
  plan(Context, Missing, Repair);
  if (Repair.Candidate->Steps.empty() || !allAnswer(Context, *Repair.Candidate))
    return;
  if (Context.Appends.append("repair/" + repairKey(Missing),
                             PlanProposed{*Repair.Candidate, RepairOperator},
                             Context.Now, Context.Out))
    Repair.Candidate.reset();
}

bool GroupRepairer::awaitsSurvivors(const PollContext &Context,
                                    const MissingGroups &Missing,
                                    const RepairState &Repair) const {
  if (Context.Now - Repair.Since >= Times.SurvivorWait)
    return false;
  bool AnyAwaited = false;
  for (const auto &[Id, Current] : Context.Agreed.Groups)
    if (Current.Phase == GroupPhase::Broken &&
        Current.Spec.Model == Missing.Model &&
        Current.Spec.DataCentre == Missing.DataCentre)
      AnyAwaited = hasSurvivors(Context, Current) || AnyAwaited;
  return AnyAwaited;
}

/// Whether a broken group holds a host that may soon be free: one that answers,
/// or that has not been queried for long enough to tell.
bool GroupRepairer::hasSurvivors(const PollContext &Context,
                                 const Group &Broken) {
  bool AnySurvivor = false;
  for (const HostName &Member : Broken.HeldHosts) {
    const HostSpec *Host = findHost(Context.Agreed.Declared, Member);
    if (Host == nullptr)
      continue;
    Context.Engines.query(*Host, Context.Now, Context.Out);
    AnySurvivor = AnySurvivor || Context.Engines.silentFor(
                                     Member, Context.Now) == Duration::zero();
  }
  return AnySurvivor;
}

std::optional<Offset>
GroupRepairer::findProposed(const PollContext &Context,
                            const MissingGroups &Missing) const {
  for (const auto &[Id, Progress] : Context.Agreed.Plans) {
    const auto *Intended = std::get_if<SetCapacity>(
        &Progress.ProposalRecord.Proposal.RequestedIntent);
    const bool Matches = Progress.Phase == PlanPhase::Proposed &&
                         Intended != nullptr &&
                         Progress.ProposalRecord.Operator == RepairOperator &&
                         Intended->Model == Missing.Model &&
                         Intended->DataCentre == Missing.DataCentre;
    const auto Confirmed = ConfirmedAt.find(Id);
    const bool IsSuperseded =
        Confirmed != ConfirmedAt.end() &&
        Context.Now - Confirmed->second >= 2 * Times.AppendRetry;
    if (Matches && !IsSuperseded)
      return Id;
  }
  return std::nullopt;
}

void GroupRepairer::plan(const PollContext &Context,
                         const MissingGroups &Missing,
                         RepairState &Repair) const {
  const std::set<HostName> Excluded = avoidedHosts(Context.Now);
  if (Repair.Candidate && Repair.PlannedAtChange == Context.Agreed.LastChange &&
      Repair.AvoidedCount == Excluded.size())
    return;
  Repair.Candidate = planRepairOf(Context.Agreed, Missing, Excluded);
  Repair.PlannedAtChange = Context.Agreed.LastChange;
  Repair.AvoidedCount = Excluded.size();
}

bool GroupRepairer::allAnswer(const PollContext &Context,
                              const Plan &Candidate) {
  bool AllAnswer = true;
  for (const Step &PlannedStep : Candidate.Steps)
    for (const HostName &Member : std::get<FormGroup>(PlannedStep).Members) {
      const HostSpec *Host = findHost(Context.Agreed.Declared, Member);
      if (Host == nullptr)
        return false;
      Context.Engines.query(*Host, Context.Now, Context.Out);
      // Failure guarded against: the spare that a group would move to is dead
      // as well, and the group waits for it until it is abandoned.
      if (Context.Engines.silentFor(Member, Context.Now) > Duration::zero() &&
          !Context.Engines.seemsCutOff(Context.Now))
        avoid(Member, Context.Now);
      const Duration MaxAge = 2 * Times.PollEvery + Times.AskTimeout;
      AllAnswer = AllAnswer && Context.Engines.reportSince(
                                   Member, Context.Now - MaxAge) != nullptr;
    }
  return AllAnswer;
}

} // namespace coltsfoottrail
