#include "coltsfoottrail/groups/repairer.hpp"

#include "coltsfoottrail/groups/spread.hpp"

#include <utility>

namespace coltsfoottrail {

struct Repairer::Pass {
  const State &Now;
  TimePoint At;
  EngineBook &Book;
  AppendPacer &Pace;
  GroupCommands &Out;
};

namespace {

std::string keyOf(const MissingGroups &Where) {
  return Where.Model.Text + "/" + Where.DataCentre.Text;
}

} // namespace

void Repairer::poll(const State &Now, TimePoint At, EngineBook &Book,
                    AppendPacer &Pace, GroupCommands &Out) {
  if (At >= NextLook)
    look(Now, At);
  const Pass In{Now, At, Book, Pace, Out};
  for (auto &[Where, How] : Repairs) {
    const auto Turn = static_cast<std::int64_t>(How.Turn);
    if (At - How.Since >= Turn * Times.Stagger)
      repair(In, Where, How);
  }
}

std::set<HostName> Repairer::avoided(TimePoint At) const {
  std::set<HostName> Names;
  for (const auto &[Host, Until] : Avoided)
    if (At < Until)
      Names.insert(Host);
  return Names;
}

void Repairer::look(const State &Now, TimePoint At) {
  NextLook = At + Times.RepairEvery;
  if (Repairs.empty() && LookedAt == Now.LastChange)
    return;
  LookedAt = Now.LastChange;
  std::erase_if(Avoided,
                [At](const auto &Entry) { return Entry.second <= At; });
  std::erase_if(ConfirmedAt, [&Now](const auto &Entry) {
    return !Now.Plans.contains(Entry.first);
  });
  std::map<MissingGroups, Repair> Still;
  for (MissingGroups &Where : findMissing(Now)) {
    const auto Before = Repairs.find(Where);
    Repair How;
    How.Since = At;
    if (Before != Repairs.end())
      How = std::move(Before->second);
    How.Turn = turnOf("repair/" + keyOf(Where), Now.EntryHosts, Self);
    Still.emplace(std::move(Where), std::move(How));
  }
  Repairs = std::move(Still);
}

void Repairer::repair(const Pass &In, const MissingGroups &Where, Repair &How) {
  if (const auto Proposed = findProposed(In, Where)) {
    ConfirmedAt.try_emplace(*Proposed, In.At);
    In.Pace.append("confirm-plan/" + std::to_string(*Proposed),
                   PlanConfirmed{*Proposed, RepairOperator}, In.At, In.Out);
    return;
  }
  if (awaitsSurvivors(In, Where, How))
    return;
  plan(In, Where, How);
  if (How.Candidate->Steps.empty() || !allAnswer(In, *How.Candidate))
    return;
  if (In.Pace.append("repair/" + keyOf(Where),
                     PlanProposed{*How.Candidate, RepairOperator}, In.At,
                     In.Out))
    How.Candidate.reset();
}

bool Repairer::awaitsSurvivors(const Pass &In, const MissingGroups &Where,
                               const Repair &How) const {
  if (In.At - How.Since >= Times.SurvivorPatience)
    return false;
  bool Awaits = false;
  for (const auto &[Id, Known] : In.Now.Groups)
    if (Known.Phase == GroupPhase::Broken && Known.Spec.Model == Where.Model &&
        Known.Spec.DataCentre == Where.DataCentre)
      Awaits = hasSurvivors(In, Known) || Awaits;
  return Awaits;
}

/// Tells whether a broken group holds a host that may soon be free: one that
/// answers, or has not been asked long enough to tell.
bool Repairer::hasSurvivors(const Pass &In, const Group &Broken) {
  bool Any = false;
  for (const HostName &Member : Broken.HeldHosts) {
    const HostSpec *Host = findHost(In.Now.Declared, Member);
    if (Host == nullptr)
      continue;
    In.Book.ask(*Host, In.At, In.Out);
    Any = Any || In.Book.silentFor(Member, In.At) == Duration::zero();
  }
  return Any;
}

std::optional<Offset> Repairer::findProposed(const Pass &In,
                                             const MissingGroups &Where) const {
  for (const auto &[Id, Progress] : In.Now.Plans) {
    const auto *Asked = std::get_if<SetCapacity>(
        &Progress.ProposalRecord.Proposal.RequestedIntent);
    const bool Fits =
        Progress.Phase == PlanPhase::Proposed && Asked != nullptr &&
        Progress.ProposalRecord.Operator == RepairOperator &&
        Asked->Model == Where.Model && Asked->DataCentre == Where.DataCentre;
    const auto Tried = ConfirmedAt.find(Id);
    const bool Beaten = Tried != ConfirmedAt.end() &&
                        In.At - Tried->second >= 2 * Times.AppendRetry;
    if (Fits && !Beaten)
      return Id;
  }
  return std::nullopt;
}

void Repairer::plan(const Pass &In, const MissingGroups &Where,
                    Repair &How) const {
  const std::set<HostName> Out = avoided(In.At);
  if (How.Candidate && How.PlannedOn == In.Now.LastChange &&
      How.AvoidedThen == Out.size())
    return;
  How.Candidate = planRepairOf(In.Now, Where, Out);
  How.PlannedOn = In.Now.LastChange;
  How.AvoidedThen = Out.size();
}

bool Repairer::allAnswer(const Pass &In, const Plan &Candidate) {
  bool All = true;
  for (const Step &What : Candidate.Steps)
    for (const HostName &Member : std::get<FormGroup>(What).Members) {
      const HostSpec *Host = findHost(In.Now.Declared, Member);
      if (Host == nullptr)
        return false;
      In.Book.ask(*Host, In.At, In.Out);
      // Failure guarded against: the spare that a group would move to is dead
      // as well, and the group waits for it until it is given up.
      if (In.Book.silentFor(Member, In.At) > Duration::zero() &&
          !In.Book.seemsCutOff(In.At))
        avoid(Member, In.At);
      const Duration Fresh = 2 * Times.PollEvery + Times.AskTimeout;
      All = All && In.Book.reportSince(Member, In.At - Fresh) != nullptr;
    }
  return All;
}

} // namespace coltsfoottrail
