#include "coltsfoottrail/fold/apply.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace coltsfoottrail::internal {

namespace {

using Objection = std::optional<FoldResult>;

/// Compares a plan with the state that it meets.
class PlanCheck {
public:
  PlanCheck(const State &Met, const Plan &Proposal)
      : In(Met), Wanted(Proposal) {
    const auto *const Apply = std::get_if<ApplyDeclaration>(&Wanted.Asked);
    if (Apply == nullptr)
      return;
    After = &Apply->Wanted;
    if (!Apply->Dropped)
      return;
    Changed = applyChange(In.Declared, Apply->Wanted, *Apply->Dropped);
    After = &Changed;
  }
  PlanCheck(const PlanCheck &) = delete;
  PlanCheck &operator=(const PlanCheck &) = delete;

  Objection run() {
    if (Wanted.PlannedAt > In.Next)
      return voided("planned on a state that is yet to come");
    if (Objection Found =
            std::visit([&](const auto &Asked) { return checkIntent(Asked); },
                       Wanted.Asked))
      return Found;
    collectPromised();
    for (const Step &Each : Wanted.Steps)
      if (Objection Found = std::visit(
              [&](const auto &Planned) { return checkStep(Planned); }, Each))
        return Found;
    return std::nullopt;
  }

private:
  [[nodiscard]] const Declaration &declaredAfter() const {
    return After != nullptr ? *After : In.Declared;
  }

  /// Objects to a change that the plan has not seen.
  [[nodiscard]] Objection unseen(Offset Change, const std::string &What) const {
    if (Change <= Wanted.PlannedAt)
      return std::nullopt;
    return voided(What + " has changed since the plan was made", Change - 1);
  }

  template <class Name>
  [[nodiscard]] Objection unseenOf(const std::map<Name, Offset> &Changes,
                                   const Name &Key, const char *Kind) const {
    const auto Found = Changes.find(Key);
    if (Found == Changes.end())
      return std::nullopt;
    return unseen(Found->second, Kind + Key.Text);
  }

  [[nodiscard]] Objection undeclared(const std::string &What) const {
    const Offset Change = In.DeclaredChange;
    return voided(What + " is not declared",
                  Change > 0 ? std::optional(Change - 1) : std::nullopt);
  }

  [[nodiscard]] Objection checkModel(const ModelName &Model) const {
    if (findModel(In.Declared, Model) == nullptr)
      return undeclared("model " + Model.Text);
    return unseenOf(In.ModelChanges, Model, "model ");
  }

  [[nodiscard]] Objection checkDataCentre(const DataCentreName &Name) const {
    if (!std::ranges::binary_search(In.Declared.DataCentres, Name))
      return undeclared("data centre " + Name.Text);
    return unseenOf(In.DataCentreChanges, Name, "data centre ");
  }

  [[nodiscard]] Objection checkHost(const HostName &Name) const {
    if (!isKnownHost(In.Declared, Name))
      return undeclared("host " + Name.Text);
    return unseenOf(In.HostChanges, Name, "host ");
  }

  [[nodiscard]] Objection checkIntent(const ApplyDeclaration &Asked) const {
    if (Objection Found = unseen(In.DeclaredChange, "what is declared"))
      return Found;
    for (const auto &[Model, Change] : In.ModelChanges)
      if (Objection Found = unseen(Change, "model " + Model.Text))
        return Found;
    if (Asked.Dropped)
      if (const auto Problem = declarationProblem(*After))
        return voided("with the change, " + *Problem);
    return checkOccupied();
  }

  [[nodiscard]] Objection checkIntent(const SetCapacity &Asked) const {
    if (!std::ranges::binary_search(In.Declared.DataCentres, Asked.DataCentre))
      return undeclared("data centre " + Asked.DataCentre.Text);
    return checkModel(Asked.Model);
  }
  [[nodiscard]] Objection checkIntent(const SetVersion &Asked) const {
    return checkModel(Asked.Model);
  }
  [[nodiscard]] Objection checkIntent(const SetAdapters &Asked) const {
    return checkModel(Asked.Model);
  }
  [[nodiscard]] Objection checkIntent(const DrainDataCentre &Asked) const {
    return checkDataCentre(Asked.DataCentre);
  }
  [[nodiscard]] Objection checkIntent(const ReturnDataCentre &Asked) const {
    return checkDataCentre(Asked.DataCentre);
  }
  [[nodiscard]] Objection checkIntent(const DrainHost &Asked) const {
    return checkHost(Asked.Host);
  }
  [[nodiscard]] Objection checkIntent(const ReturnHost &Asked) const {
    return checkHost(Asked.Host);
  }

  /// Failure guarded against: a declaration drops or moves a host whose engine
  /// still serves a group. Nobody would know its address any more, so it could
  /// neither be reached for its requests in progress nor be stopped. Only a
  /// host of a broken group, which answers nothing, may be dropped; it is kept
  /// under Departed until it is released.
  [[nodiscard]] Objection checkOccupied() const {
    const DeclarationChange Change = diffDeclarations(In.Declared, *After);
    for (const HostSpec &Then : Change.Upserted.Hosts) {
      const HostSpec *const Now = findHost(In.Declared, Then.Name);
      const auto Holder = In.Occupied.find(Then.Name);
      if (Now != nullptr && Holder != In.Occupied.end() &&
          !samePlace(*Now, Then))
        return stillHeld(Holder->first, Holder->second);
    }
    for (const HostName &Name : Change.Dropped.Hosts) {
      const auto Holder = In.Occupied.find(Name);
      if (Holder != In.Occupied.end() && !isBroken(Holder->second))
        return stillHeld(Holder->first, Holder->second);
    }
    return checkDeparted(Change.Dropped.Hosts);
  }

  [[nodiscard]] Objection stillHeld(const HostName &Name,
                                    const GroupId &Which) const {
    return voided("host " + Name.Text +
                      " is still in a group: drain it before its "
                      "declaration changes",
                  generationOf(Which));
  }

  /// Failure guarded against: a machine that an engine of a broken group may
  /// still run on is declared again, perhaps under another name, and gets a
  /// second group.
  [[nodiscard]] Objection
  checkDeparted(const std::vector<HostName> &Dropped) const {
    std::set<std::pair<std::string_view, std::uint16_t>> Held;
    for (const auto &[Name, Host] : In.Departed)
      Held.emplace(Host.Address, Host.Port);
    for (const HostName &Name : Dropped)
      if (In.Occupied.contains(Name)) {
        const HostSpec &Host = *findHost(In.Declared, Name);
        Held.emplace(Host.Address, Host.Port);
      }
    if (Held.empty())
      return std::nullopt;
    for (const HostSpec &Host : After->Hosts)
      if (In.Departed.contains(Host.Name) ||
          Held.contains({Host.Address, Host.Port}))
        return voided("host " + Host.Name.Text +
                      " was dropped and is not released by its group yet");
    return std::nullopt;
  }

  [[nodiscard]] static bool samePlace(const HostSpec &Left,
                                      const HostSpec &Right) {
    return Left.DataCentre == Right.DataCentre &&
           Left.FabricDomain == Right.FabricDomain &&
           Left.Address == Right.Address && Left.Port == Right.Port;
  }

  [[nodiscard]] bool isBroken(const GroupId &Which) const {
    return In.Groups.at(Which).Phase == GroupPhase::Broken;
  }

  [[nodiscard]] Offset generationOf(const GroupId &Which) const {
    return In.Groups.at(Which).Generation;
  }

  /// Hosts that running plans have still to occupy.
  void collectPromised() {
    for (const auto &[Id, Progress] : In.Plans) {
      if (Progress.Phase != PlanPhase::Running)
        continue;
      for (const Step &Each : Progress.Proposed.Proposal.Steps) {
        const auto *const Form = std::get_if<FormGroup>(&Each);
        if (Form == nullptr || Progress.Formed.contains(Form->Number))
          continue;
        for (const HostName &Host : Form->Members)
          Promised.emplace(Host, Progress.ConfirmedAt);
      }
    }
  }

  [[nodiscard]] std::optional<ModelSpec>
  modelAfter(const ModelName &Model) const {
    const ModelSpec *const Known = findModel(declaredAfter(), Model);
    if (Known == nullptr)
      return std::nullopt;
    ModelSpec Out = *Known;
    if (const auto *const Asked = std::get_if<SetVersion>(&Wanted.Asked))
      if (Asked->Model == Model)
        Out.Version = Asked->Version;
    if (const auto *const Asked = std::get_if<SetAdapters>(&Wanted.Asked))
      if (Asked->Model == Model)
        Out.Adapters = Asked->Adapters;
    return Out;
  }

  [[nodiscard]] bool isDrainedAfter(const HostSpec &Host) const {
    if (const auto *const Asked = std::get_if<DrainDataCentre>(&Wanted.Asked))
      if (Asked->DataCentre == Host.DataCentre)
        return true;
    if (const auto *const Asked = std::get_if<DrainHost>(&Wanted.Asked))
      if (Asked->Host == Host.Name)
        return true;
    return isDataCentreOutAfter(Host.DataCentre) || isHostOutAfter(Host.Name);
  }

  [[nodiscard]] bool isDataCentreOutAfter(const DataCentreName &Name) const {
    const auto *const Asked = std::get_if<ReturnDataCentre>(&Wanted.Asked);
    const bool Returns = Asked != nullptr && Asked->DataCentre == Name;
    return !Returns && In.DrainedDataCentres.contains(Name);
  }

  [[nodiscard]] bool isHostOutAfter(const HostName &Name) const {
    const auto *const Asked = std::get_if<ReturnHost>(&Wanted.Asked);
    const bool Returns = Asked != nullptr && Asked->Host == Name;
    return !Returns && In.DrainedHosts.contains(Name);
  }

  [[nodiscard]] static bool
  sameAdapters(const std::vector<AdapterName> &Left,
               const std::vector<AdapterName> &Right) {
    return std::set(Left.begin(), Left.end()) ==
           std::set(Right.begin(), Right.end());
  }

  Objection checkStep(const FormGroup &Planned) {
    if (!Numbers.insert(Planned.Number).second)
      return voided("the plan forms two groups of one number");
    const std::optional<ModelSpec> Model = modelAfter(Planned.Model);
    if (!Model)
      return undeclared("model " + Planned.Model.Text);
    if (Model->Version != Planned.Version || Model->Role != Planned.Role ||
        Model->MembersPerGroup != Planned.Members.size() ||
        !sameAdapters(Model->Adapters, Planned.Adapters))
      return voided("a group to be formed is not as model " +
                    Planned.Model.Text + " is declared");
    return checkMembers(Planned);
  }

  Objection checkMembers(const FormGroup &Planned) {
    const HostSpec *const Leader =
        findHost(declaredAfter(), Planned.Members.front());
    for (const HostName &Name : Planned.Members) {
      const HostSpec *const Host = findHost(declaredAfter(), Name);
      if (Host == nullptr)
        return undeclared("host " + Name.Text);
      if (Host->DataCentre != Planned.DataCentre ||
          Host->FabricDomain != Leader->FabricDomain)
        return voided("the members of a group to be formed are not in one "
                      "fabric domain");
      if (Objection Found = checkMember(*Host))
        return Found;
    }
    return std::nullopt;
  }

  Objection checkMember(const HostSpec &Host) {
    if (!Taken.insert(Host.Name).second)
      return voided("the plan puts host " + Host.Name.Text + " in two groups");
    if (isDrainedAfter(Host))
      return voided("host " + Host.Name.Text + " is drained");
    const auto Owed = Promised.find(Host.Name);
    if (Owed != Promised.end())
      return voided("host " + Host.Name.Text + " is meant for another plan",
                    Owed->second);
    const auto Holder = In.Occupied.find(Host.Name);
    if (Holder != In.Occupied.end() && !Stops.contains(Holder->second))
      return voided("host " + Host.Name.Text + " is in another group",
                    generationOf(Holder->second));
    return std::nullopt;
  }

  Objection checkStep(const StopGroup &Planned) {
    Stops.insert(Planned.Group);
    return std::nullopt;
  }

  Objection checkStep(const SwapAdapters &Planned) {
    const auto Found = In.Groups.find(Planned.Group);
    if (Found == In.Groups.end() ||
        Found->second.Phase != GroupPhase::Serving ||
        Stops.contains(Planned.Group))
      return voided("a group whose adapters are to change is not serving",
                    In.LastChange);
    return std::nullopt;
  }

  const State &In;
  const Plan &Wanted;
  const Declaration *After = nullptr;
  Declaration Changed;
  std::map<HostName, Offset> Promised;
  std::set<GroupId> Stops;
  std::set<std::uint32_t> Numbers;
  std::set<HostName> Taken;
};

} // namespace

std::optional<FoldResult> planObjection(const State &In, const Plan &Proposal) {
  return PlanCheck(In, Proposal).run();
}

} // namespace coltsfoottrail::internal
