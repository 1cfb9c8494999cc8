#include "coltsfoottrail/intents/planner.hpp"

#include "coltsfoottrail/intents/convergence.hpp"
#include "coltsfoottrail/intents/describe.hpp"
#include "coltsfoottrail/intents/placement.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

using internal::Aim;
using internal::Course;
using internal::Extent;

constexpr std::size_t MostNamesTold = 10;

template <class Listed, class NameOf>
std::string firstNames(const Listed &All, NameOf Name) {
  std::string Text;
  std::size_t Told = 0;
  for (const auto &Entry : All) {
    if (Told == MostNamesTold)
      return Text + ", ...";
    Text += (Told++ == 0 ? "" : ", ") + Name(Entry).Text;
  }
  return Text.empty() ? std::string("none") : Text;
}

constexpr auto NameItself = [](const auto &Entry) -> const auto & {
  return Entry;
};
constexpr auto NameOfSpec = [](const auto &Entry) -> const auto & {
  return Entry.Name;
};

ModelSpec &modelIn(Declaration &Declared, const ModelName &Name) {
  for (ModelSpec &Model : Declared.Models)
    if (Model.Name == Name)
      return Model;
  throw PlanError("unknown model \"" + Name.Text + "\"; declared are: " +
                  firstNames(Declared.Models, NameOfSpec));
}

void requireDataCentre(const Declaration &Declared,
                       const DataCentreName &Name) {
  const auto &Known = Declared.DataCentres;
  if (std::find(Known.begin(), Known.end(), Name) == Known.end())
    throw PlanError("unknown data centre \"" + Name.Text +
                    "\"; declared are: " + firstNames(Known, NameItself));
}

void requireHost(const Declaration &Declared, const HostName &Name) {
  if (!isKnownHost(Declared, Name))
    throw PlanError("unknown host \"" + Name.Text +
                    "\"; it must be declared as a host of an engine or of a "
                    "service's instance");
}

bool samePlace(const HostSpec &Left, const HostSpec &Right) {
  return Left.DataCentre == Right.DataCentre &&
         Left.FabricDomain == Right.FabricDomain &&
         Left.Address == Right.Address && Left.Port == Right.Port;
}

Plan planFor(const Aim &To, Intent Asked) {
  Course Found = internal::converge(To);
  Plan Made;
  Made.RequestedIntent = std::move(Asked);
  Made.PlannedAt = To.Now->Next;
  Made.Steps = std::move(Found.Steps);
  Made.Forecast = std::move(Found.Forecast);
  Made.WillNotDo = std::move(Found.WillNotDo);
  return Made;
}

Aim aimAtDeclared(const State &Now) {
  Aim To;
  To.Now = &Now;
  To.Declared = &Now.Declared;
  To.DrainedDataCentres = Now.DrainedDataCentres;
  To.DrainedHosts = Now.DrainedHosts;
  return To;
}

/// The intent of a repair: what is declared stays as it is.
SetCapacity keepCapacity(const State &Now, const ModelName &Model,
                         const DataCentreName &Where) {
  return SetCapacity{Model, Where,
                     findModel(Now.Declared, Model)->Groups.at(Where)};
}

/// What one intent changes, and where steps may be planned for it.
class IntentAim {
public:
  explicit IntentAim(const State &Current)
      : Now(Current), Declared(Current.Declared) {
    To.Now = &Now;
    To.Declared = &Declared;
    To.DrainedDataCentres = Now.DrainedDataCentres;
    To.DrainedHosts = Now.DrainedHosts;
  }
  IntentAim(const IntentAim &) = delete;
  IntentAim &operator=(const IntentAim &) = delete;

  void operator()(const ApplyDeclaration &Apply) {
    for (const auto &[Name, Group] : Now.OccupiedHosts)
      requireUnchanged(Name, Group, Apply.Desired);
    requireReleased(Apply.Desired);
    Declared = Apply.Desired;
  }

  void operator()(const SetCapacity &Set) {
    requireDataCentre(Declared, Set.DataCentre);
    modelIn(Declared, Set.Model).Groups[Set.DataCentre] = Set.Groups;
    To.OnlyModel = Set.Model;
    To.OnlyDataCentre = Set.DataCentre;
  }

  void operator()(const SetVersion &Set) {
    if (Set.Version.empty())
      throw PlanError("the version of model \"" + Set.Model.Text +
                      "\" must not be empty");
    modelIn(Declared, Set.Model).Version = Set.Version;
    To.OnlyModel = Set.Model;
  }

  void operator()(const SetAdapters &Set) {
    modelIn(Declared, Set.Model).Adapters = Set.Adapters;
    To.OnlyModel = Set.Model;
  }

  void operator()(const DrainDataCentre &Drain) {
    requireDataCentre(Declared, Drain.DataCentre);
    if (!To.DrainedDataCentres.insert(Drain.DataCentre).second)
      refuse("drain " + Drain.DataCentre.Text + " again: it is drained");
    refuse("stop the groups in " + Drain.DataCentre.Text +
           ": they finish their requests, get no new ones and stay loaded for "
           "its return");
    To.May = Extent::ForecastOnly;
  }

  void operator()(const ReturnDataCentre &Return) {
    requireDataCentre(Declared, Return.DataCentre);
    if (To.DrainedDataCentres.erase(Return.DataCentre) == 0)
      refuse("return " + Return.DataCentre.Text + ": it is not drained");
    To.OnlyDataCentre = Return.DataCentre;
  }

  void operator()(const DrainHost &Drain) {
    requireHost(Declared, Drain.Host);
    if (!To.DrainedHosts.insert(Drain.Host).second)
      refuse("drain " + Drain.Host.Text + " again: it is drained");
    const auto Holder = Now.OccupiedHosts.find(Drain.Host);
    if (Holder == Now.OccupiedHosts.end()) {
      To.May = Extent::ForecastOnly;
      return;
    }
    const auto Found = Now.Groups.find(Holder->second);
    if (Found == Now.Groups.end())
      return;
    To.OnlyModel = Found->second.Spec.Model;
    To.OnlyDataCentre = Found->second.Spec.DataCentre;
  }

  void operator()(const ReturnHost &Return) {
    requireHost(Declared, Return.Host);
    if (To.DrainedHosts.erase(Return.Host) == 0)
      refuse("return " + Return.Host.Text + ": it is not drained");
    To.May = Extent::ForecastOnly;
  }

  Plan plan(const Intent &Asked, const std::set<HostName> &Avoided) {
    To.Avoided = Avoided;
    Plan Made = planFor(To, Asked);
    Made.WillNotDo.insert(Made.WillNotDo.begin(), WillNotDo.begin(),
                          WillNotDo.end());
    return Made;
  }

private:
  void refuse(std::string Reason) { WillNotDo.push_back(std::move(Reason)); }

  /// Failure guarded against: a declaration without a host whose engine still
  /// serves takes away the address that the order to stop must go to. The host
  /// of a broken group may be dropped: that is how an operator says that it is
  /// lost for good.
  void requireUnchanged(const HostName &Name, const GroupId &Group,
                        const Declaration &Wanted) const {
    const HostSpec *Before = findHost(Now.Declared, Name);
    const HostSpec *After = findHost(Wanted, Name);
    const auto Holder = Now.Groups.find(Group);
    const bool Broken = Holder != Now.Groups.end() &&
                        Holder->second.Phase == GroupPhase::Broken;
    if (Before == nullptr || (After == nullptr && Broken))
      return;
    if (After == nullptr)
      throw PlanError("host \"" + Name.Text +
                      "\" is not in the declaration, but serves group " +
                      textOf(Group) +
                      "; drain it first and apply the declaration then");
    if (!samePlace(*Before, *After))
      throw PlanError("host \"" + Name.Text +
                      "\" changes its place or address while it is in group " +
                      textOf(Group) +
                      "; drain it first and apply the declaration then");
  }

  /// Failure guarded against: a machine that an engine of a broken group may
  /// still run on is declared again and gets a second group.
  void requireReleased(const Declaration &Wanted) const {
    for (const auto &[Name, Before] : Now.DepartedHosts)
      if (findHost(Wanted, Name) != nullptr)
        throw PlanError("host \"" + Name.Text +
                        "\" was dropped while a broken group held it and has "
                        "not proved that it stopped; declare it again once its "
                        "engine has answered");
  }

  const State &Now;
  Declaration Declared;
  Aim To;
  std::vector<std::string> WillNotDo;
};

} // namespace

Plan planIntent(const State &Now, const Intent &Asked,
                const std::set<HostName> &Avoided) {
  IntentAim Target(Now);
  std::visit(Target, Asked);
  return Target.plan(Asked, Avoided);
}

std::vector<MissingGroups> findMissing(const State &Now) {
  Aim To = aimAtDeclared(Now);
  To.May = Extent::ForecastOnly;
  std::vector<MissingGroups> Missing;
  for (const auto &[Model, Where] : internal::converge(To).Missing)
    Missing.push_back({Model, Where});
  return Missing;
}

Plan planRepairOf(const State &Now, const MissingGroups &Where,
                  const std::set<HostName> &Avoided) {
  Aim To = aimAtDeclared(Now);
  To.Avoided = Avoided;
  To.May = Extent::MissingOnly;
  To.OnlyModel = Where.Model;
  To.OnlyDataCentre = Where.DataCentre;
  return planFor(To, keepCapacity(Now, Where.Model, Where.DataCentre));
}

std::optional<Plan> planRepair(const State &Now,
                               const std::set<HostName> &Avoided) {
  std::optional<Plan> Made;
  for (const MissingGroups &Where : findMissing(Now)) {
    Plan Candidate = planRepairOf(Now, Where, Avoided);
    const bool Helps = !Candidate.Steps.empty();
    if (Helps || !Made)
      Made = std::move(Candidate);
    if (Helps)
      break;
  }
  return Made;
}

bool isInRoutes(const Group &Asked,
                const std::set<DataCentreName> &DrainedDataCentres,
                const std::set<HostName> &DrainedHosts) {
  if (Asked.Phase != GroupPhase::Serving ||
      DrainedDataCentres.contains(Asked.Spec.DataCentre))
    return false;
  return std::none_of(Asked.Spec.Members.begin(), Asked.Spec.Members.end(),
                      [&DrainedHosts](const HostName &Member) {
                        return DrainedHosts.contains(Member);
                      });
}

} // namespace coltsfoottrail
