#include "coltsfoottrail/intents/planner.hpp"

#include "coltsfoottrail/intents/convergence.hpp"
#include "coltsfoottrail/intents/describe.hpp"
#include "coltsfoottrail/intents/placement.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

using internal::AllowedSteps;
using internal::ConvergenceInput;
using internal::ConvergenceResult;

constexpr std::size_t MaxListedNames = 10;

template <class List, class NameGetter>
std::string firstNames(const List &Entries, NameGetter Name) {
  std::string Text;
  std::size_t Count = 0;
  for (const auto &Entry : Entries) {
    if (Count == MaxListedNames)
      return Text + ", ...";
    Text += (Count++ == 0 ? "" : ", ") + Name(Entry).Text;
  }
  return Text.empty() ? std::string("none") : Text;
}

constexpr auto NameOfName = [](const auto &Entry) -> const auto & {
  return Entry;
};
constexpr auto NameOfSpec = [](const auto &Entry) -> const auto & {
  return Entry.Name;
};

ModelSpec &requireModel(Declaration &Declared, const ModelName &Name) {
  for (ModelSpec &Model : Declared.Models)
    if (Model.Name == Name)
      return Model;
  throw PlanError("unknown model \"" + Name.Text + "\"; declared are: " +
                  firstNames(Declared.Models, NameOfSpec));
}

void requireDataCentre(const Declaration &Declared,
                       const DataCentreName &Name) {
  const auto &DataCentres = Declared.DataCentres;
  if (std::find(DataCentres.begin(), DataCentres.end(), Name) ==
      DataCentres.end())
    throw PlanError("unknown data centre \"" + Name.Text +
                    "\"; declared are: " + firstNames(DataCentres, NameOfName));
}

void requireHost(const Declaration &Declared, const HostName &Name) {
  if (!isKnownHost(Declared, Name))
    throw PlanError("unknown host \"" + Name.Text +
                    "\"; it must be declared as a host of an engine or of a "
                    "service's instance");
}

bool sameLocation(const HostSpec &Left, const HostSpec &Right) {
  return Left.DataCentre == Right.DataCentre &&
         Left.FabricDomain == Right.FabricDomain &&
         Left.Address == Right.Address && Left.Port == Right.Port;
}

Plan planFor(const ConvergenceInput &Input, Intent Request) {
  ConvergenceResult Converged = internal::converge(Input);
  Plan Planned;
  Planned.RequestedIntent = std::move(Request);
  Planned.PlannedAt = Input.Now->Next;
  Planned.Steps = std::move(Converged.Steps);
  Planned.Forecast = std::move(Converged.Forecast);
  Planned.WillNotDo = std::move(Converged.WillNotDo);
  return Planned;
}

ConvergenceInput inputForDeclared(const State &Now) {
  ConvergenceInput Input;
  Input.Now = &Now;
  Input.Declared = &Now.Declared;
  Input.DrainedDataCentres = Now.DrainedDataCentres;
  Input.DrainedHosts = Now.DrainedHosts;
  return Input;
}

/// The intent that a repair is planned under: the declared capacity, unchanged.
SetCapacity keepCapacity(const State &Now, const ModelName &Model,
                         const DataCentreName &DataCentre) {
  return SetCapacity{Model, DataCentre,
                     findModel(Now.Declared, Model)->Groups.at(DataCentre)};
}

/// Applies an intent to a copy of the declaration and of the drained sets, and
/// restricts the steps to what the intent concerns.
class IntentTarget {
public:
  explicit IntentTarget(const State &Current)
      : Now(Current), Declared(Current.Declared) {
    Input.Now = &Now;
    Input.Declared = &Declared;
    Input.DrainedDataCentres = Now.DrainedDataCentres;
    Input.DrainedHosts = Now.DrainedHosts;
  }
  IntentTarget(const IntentTarget &) = delete;
  IntentTarget &operator=(const IntentTarget &) = delete;

  void operator()(const ApplyDeclaration &Apply) {
    for (const auto &[Name, Group] : Now.OccupiedHosts)
      requireUnchanged(Name, Group, Apply.Desired);
    requireReleased(Apply.Desired);
    Declared = Apply.Desired;
  }

  void operator()(const SetCapacity &Set) {
    requireDataCentre(Declared, Set.DataCentre);
    requireModel(Declared, Set.Model).Groups[Set.DataCentre] = Set.Groups;
    Input.OnlyModel = Set.Model;
    Input.OnlyDataCentre = Set.DataCentre;
  }

  void operator()(const SetVersion &Set) {
    if (Set.Version.empty())
      throw PlanError("the version of model \"" + Set.Model.Text +
                      "\" must not be empty");
    requireModel(Declared, Set.Model).Version = Set.Version;
    Input.OnlyModel = Set.Model;
  }

  void operator()(const SetAdapters &Set) {
    requireModel(Declared, Set.Model).Adapters = Set.Adapters;
    Input.OnlyModel = Set.Model;
  }

  void operator()(const DrainDataCentre &Drain) {
    requireDataCentre(Declared, Drain.DataCentre);
    if (!Input.DrainedDataCentres.insert(Drain.DataCentre).second)
      refuse("drain " + Drain.DataCentre.Text + " again: it is drained");
    refuse("stop the groups in " + Drain.DataCentre.Text +
           ": they finish their requests, get no new ones and stay loaded for "
           "its return");
    Input.Allowed = AllowedSteps::ForecastOnly;
  }

  void operator()(const ReturnDataCentre &Return) {
    requireDataCentre(Declared, Return.DataCentre);
    if (Input.DrainedDataCentres.erase(Return.DataCentre) == 0)
      refuse("return " + Return.DataCentre.Text + ": it is not drained");
    Input.OnlyDataCentre = Return.DataCentre;
  }

  void operator()(const DrainHost &Drain) {
    requireHost(Declared, Drain.Host);
    if (!Input.DrainedHosts.insert(Drain.Host).second)
      refuse("drain " + Drain.Host.Text + " again: it is drained");
    const auto Occupancy = Now.OccupiedHosts.find(Drain.Host);
    if (Occupancy == Now.OccupiedHosts.end()) {
      Input.Allowed = AllowedSteps::ForecastOnly;
      return;
    }
    const auto Occupant = Now.Groups.find(Occupancy->second);
    if (Occupant == Now.Groups.end())
      return;
    Input.OnlyModel = Occupant->second.Spec.Model;
    Input.OnlyDataCentre = Occupant->second.Spec.DataCentre;
  }

  void operator()(const ReturnHost &Return) {
    requireHost(Declared, Return.Host);
    if (Input.DrainedHosts.erase(Return.Host) == 0)
      refuse("return " + Return.Host.Text + ": it is not drained");
    Input.Allowed = AllowedSteps::ForecastOnly;
  }

  Plan plan(const Intent &Request, const std::set<HostName> &ExcludedHosts) {
    Input.ExcludedHosts = ExcludedHosts;
    Plan Result = planFor(Input, Request);
    Result.WillNotDo.insert(Result.WillNotDo.begin(), WillNotDo.begin(),
                            WillNotDo.end());
    return Result;
  }

private:
  void refuse(std::string Reason) { WillNotDo.push_back(std::move(Reason)); }

  /// Rejects a declaration that drops or moves a host whose engine still
  /// serves: the address to which the stop order must be sent would be lost.
  /// The host of a broken group may be dropped: in this way an operator
  /// declares it lost for good.
  void requireUnchanged(const HostName &Name, const GroupId &Group,
                        const Declaration &NewDeclaration) const {
    const HostSpec *Before = findHost(Now.Declared, Name);
    const HostSpec *After = findHost(NewDeclaration, Name);
    const auto Occupant = Now.Groups.find(Group);
    const bool Broken = Occupant != Now.Groups.end() &&
                        Occupant->second.Phase == GroupPhase::Broken;
    if (Before == nullptr || (After == nullptr && Broken))
      return;
    if (After == nullptr)
      throw PlanError("host \"" + Name.Text +
                      "\" is not in the declaration, but serves group " +
                      textOf(Group) +
                      "; drain it first and apply the declaration then");
    if (!sameLocation(*Before, *After))
      throw PlanError("host \"" + Name.Text +
                      "\" changes its place or address while it is in group " +
                      textOf(Group) +
                      "; drain it first and apply the declaration then");
  }

  /// Rejects a declaration that adds a dropped host again while an engine of a
  /// broken group may still run on it: the host could get a second group.
  void requireReleased(const Declaration &NewDeclaration) const {
    for (const auto &[Name, Before] : Now.DepartedHosts)
      if (findHost(NewDeclaration, Name) != nullptr)
        throw PlanError("host \"" + Name.Text +
                        "\" was dropped while a broken group held it and has "
                        "not proved that it stopped; declare it again once its "
                        "engine has answered");
  }

  const State &Now;
  Declaration Declared;
  ConvergenceInput Input;
  std::vector<std::string> WillNotDo;
};

} // namespace

Plan planIntent(const State &Now, const Intent &Request,
                const std::set<HostName> &ExcludedHosts) {
  IntentTarget Target(Now);
  std::visit(Target, Request);
  return Target.plan(Request, ExcludedHosts);
}

std::vector<MissingGroups> findMissing(const State &Now) {
  ConvergenceInput Input = inputForDeclared(Now);
  Input.Allowed = AllowedSteps::ForecastOnly;
  std::vector<MissingGroups> Missing;
  for (const auto &[Model, DataCentre] : internal::converge(Input).Missing)
    Missing.push_back({Model, DataCentre});
  return Missing;
}

Plan planRepairOf(const State &Now, const MissingGroups &Missing,
                  const std::set<HostName> &ExcludedHosts) {
  ConvergenceInput Input = inputForDeclared(Now);
  Input.ExcludedHosts = ExcludedHosts;
  Input.Allowed = AllowedSteps::FormMissingOnly;
  Input.OnlyModel = Missing.Model;
  Input.OnlyDataCentre = Missing.DataCentre;
  return planFor(Input, keepCapacity(Now, Missing.Model, Missing.DataCentre));
}

std::optional<Plan> planRepair(const State &Now,
                               const std::set<HostName> &ExcludedHosts) {
  std::optional<Plan> Result;
  for (const MissingGroups &Missing : findMissing(Now)) {
    Plan Candidate = planRepairOf(Now, Missing, ExcludedHosts);
    const bool Helps = !Candidate.Steps.empty();
    if (Helps || !Result)
      Result = std::move(Candidate);
    if (Helps)
      break;
  }
  return Result;
}

bool isInRoutes(const Group &Candidate,
                const std::set<DataCentreName> &DrainedDataCentres,
                const std::set<HostName> &DrainedHosts) {
  if (Candidate.Phase != GroupPhase::Serving ||
      DrainedDataCentres.contains(Candidate.Spec.DataCentre))
    return false;
  return std::none_of(Candidate.Spec.Members.begin(),
                      Candidate.Spec.Members.end(),
                      [&DrainedHosts](const HostName &Member) {
                        return DrainedHosts.contains(Member);
                      });
}

} // namespace coltsfoottrail
