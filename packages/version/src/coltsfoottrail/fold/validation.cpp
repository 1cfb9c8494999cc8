#include "coltsfoottrail/fold/apply.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace coltsfoottrail::internal {

namespace {

using Rejection = std::optional<FoldResult>;

/// Checks a plan against the state at the offset at which it is proposed or
/// confirmed.
class PlanValidator {
public:
  PlanValidator(const State &Base, const Plan &Proposal)
      : Current(Base), Candidate(Proposal) {
    const auto *const Apply =
        std::get_if<ApplyDeclaration>(&Candidate.RequestedIntent);
    if (Apply == nullptr)
      return;
    NewDeclaration = &Apply->Desired;
    if (!Apply->Dropped)
      return;
    MergedDeclaration =
        applyChange(Current.Declared, Apply->Desired, *Apply->Dropped);
    NewDeclaration = &MergedDeclaration;
  }
  PlanValidator(const PlanValidator &) = delete;
  PlanValidator &operator=(const PlanValidator &) = delete;

  Rejection run() {
    if (Candidate.PlannedAt > Current.Next)
      return voided("planned on a state that is yet to come");
    if (Rejection Failure = std::visit(
            [&](const auto &Request) { return checkIntent(Request); },
            Candidate.RequestedIntent))
      return Failure;
    collectReservedHosts();
    for (const Step &PlanStep : Candidate.Steps)
      if (Rejection Failure = std::visit(
              [&](const auto &PlannedStep) { return checkStep(PlannedStep); },
              PlanStep))
        return Failure;
    return std::nullopt;
  }

private:
  [[nodiscard]] const Declaration &resultingDeclaration() const {
    return NewDeclaration != nullptr ? *NewDeclaration : Current.Declared;
  }

  /// Rejects the plan if a change was made after it was planned.
  [[nodiscard]] Rejection rejectIfChanged(Offset Change,
                                          const std::string &What) const {
    if (Change <= Candidate.PlannedAt)
      return std::nullopt;
    return voided(What + " has changed since the plan was made", Change - 1);
  }

  template <class Name>
  [[nodiscard]] Rejection
  rejectIfEntryChanged(const std::map<Name, Offset> &Changes, const Name &Key,
                       const char *Kind) const {
    const auto It = Changes.find(Key);
    if (It == Changes.end())
      return std::nullopt;
    return rejectIfChanged(It->second, Kind + Key.Text);
  }

  [[nodiscard]] Rejection rejectUndeclared(const std::string &What) const {
    const Offset Change = Current.DeclaredChange;
    return voided(What + " is not declared",
                  Change > 0 ? std::optional(Change - 1) : std::nullopt);
  }

  [[nodiscard]] Rejection checkModel(const ModelName &Model) const {
    if (findModel(Current.Declared, Model) == nullptr)
      return rejectUndeclared("model " + Model.Text);
    return rejectIfEntryChanged(Current.ModelChanges, Model, "model ");
  }

  [[nodiscard]] Rejection checkDataCentre(const DataCentreName &Name) const {
    if (!std::ranges::binary_search(Current.Declared.DataCentres, Name))
      return rejectUndeclared("data centre " + Name.Text);
    return rejectIfEntryChanged(Current.DataCentreChanges, Name,
                                "data centre ");
  }

  [[nodiscard]] Rejection checkHost(const HostName &Name) const {
    if (!isKnownHost(Current.Declared, Name))
      return rejectUndeclared("host " + Name.Text);
    return rejectIfEntryChanged(Current.HostChanges, Name, "host ");
  }

  [[nodiscard]] Rejection checkIntent(const ApplyDeclaration &Request) const {
    if (Rejection Failure =
            rejectIfChanged(Current.DeclaredChange, "what is declared"))
      return Failure;
    for (const auto &[Model, Change] : Current.ModelChanges)
      if (Rejection Failure = rejectIfChanged(Change, "model " + Model.Text))
        return Failure;
    if (Request.Dropped)
      if (const auto Problem = declarationProblem(*NewDeclaration))
        return voided("with the change, " + *Problem);
    return checkOccupied();
  }

  [[nodiscard]] Rejection checkIntent(const SetCapacity &Request) const {
    if (!std::ranges::binary_search(Current.Declared.DataCentres,
                                    Request.DataCentre))
      return rejectUndeclared("data centre " + Request.DataCentre.Text);
    return checkModel(Request.Model);
  }
  [[nodiscard]] Rejection checkIntent(const SetVersion &Request) const {
    return checkModel(Request.Model);
  }
  [[nodiscard]] Rejection checkIntent(const SetAdapters &Request) const {
    return checkModel(Request.Model);
  }
  [[nodiscard]] Rejection checkIntent(const DrainDataCentre &Request) const {
    return checkDataCentre(Request.DataCentre);
  }
  [[nodiscard]] Rejection checkIntent(const ReturnDataCentre &Request) const {
    return checkDataCentre(Request.DataCentre);
  }
  [[nodiscard]] Rejection checkIntent(const DrainHost &Request) const {
    return checkHost(Request.Host);
  }
  [[nodiscard]] Rejection checkIntent(const ReturnHost &Request) const {
    return checkHost(Request.Host);
  }

  /// Failure guarded against: a declaration drops or moves a host whose engine
  /// still serves a group. Its address would be lost, so that its requests in
  /// progress could not be reached and its engine could not be stopped. Only a
  /// host of a broken group, which serves no requests, may be dropped; it is
  /// kept in DepartedHosts until it is released.
  [[nodiscard]] Rejection checkOccupied() const {
    const DeclarationChange Change =
        diffDeclarations(Current.Declared, *NewDeclaration);
    for (const HostSpec &NewSpec : Change.Upserted.Hosts) {
      const HostSpec *const CurrentSpec =
          findHost(Current.Declared, NewSpec.Name);
      const auto Holder = Current.OccupiedHosts.find(NewSpec.Name);
      if (CurrentSpec != nullptr && Holder != Current.OccupiedHosts.end() &&
          !sameLocation(*CurrentSpec, NewSpec))
        return rejectOccupied(Holder->first, Holder->second);
    }
    for (const HostName &Name : Change.Dropped.Hosts) {
      const auto Holder = Current.OccupiedHosts.find(Name);
      if (Holder != Current.OccupiedHosts.end() && !isBroken(Holder->second))
        return rejectOccupied(Holder->first, Holder->second);
    }
    return checkDeparted(Change.Dropped.Hosts);
  }

  [[nodiscard]] Rejection rejectOccupied(const HostName &Name,
                                         const GroupId &Id) const {
    return voided("host " + Name.Text +
                      " is still in a group: drain it before its "
                      "declaration changes",
                  generationOf(Id));
  }

  /// Failure guarded against: a machine on which an engine of a broken group
  /// may still run is declared again, perhaps under another name, and is put
  /// into a second group.
  [[nodiscard]] Rejection
  checkDeparted(const std::vector<HostName> &Dropped) const {
    std::set<std::pair<std::string_view, std::uint16_t>> HeldAddresses;
    for (const auto &[Name, Host] : Current.DepartedHosts)
      HeldAddresses.emplace(Host.Address, Host.Port);
    for (const HostName &Name : Dropped)
      if (Current.OccupiedHosts.contains(Name)) {
        const HostSpec &Host = *findHost(Current.Declared, Name);
        HeldAddresses.emplace(Host.Address, Host.Port);
      }
    if (HeldAddresses.empty())
      return std::nullopt;
    for (const HostSpec &Host : NewDeclaration->Hosts)
      if (Current.DepartedHosts.contains(Host.Name) ||
          HeldAddresses.contains({Host.Address, Host.Port}))
        return voided("host " + Host.Name.Text +
                      " was dropped and is not released by its group yet");
    return std::nullopt;
  }

  [[nodiscard]] static bool sameLocation(const HostSpec &Left,
                                         const HostSpec &Right) {
    return Left.DataCentre == Right.DataCentre &&
           Left.FabricDomain == Right.FabricDomain &&
           Left.Address == Right.Address && Left.Port == Right.Port;
  }

  [[nodiscard]] bool isBroken(const GroupId &Id) const {
    return Current.Groups.at(Id).Phase == GroupPhase::Broken;
  }

  [[nodiscard]] Offset generationOf(const GroupId &Id) const {
    return Current.Groups.at(Id).Generation;
  }

  /// Collects the hosts that running plans have yet to occupy.
  void collectReservedHosts() {
    for (const auto &[Id, Progress] : Current.Plans) {
      if (Progress.Phase != PlanPhase::Running)
        continue;
      for (const Step &PlanStep : Progress.ProposalRecord.Proposal.Steps) {
        const auto *const Form = std::get_if<FormGroup>(&PlanStep);
        if (Form == nullptr || Progress.FormedGroups.contains(Form->Number))
          continue;
        for (const HostName &Host : Form->Members)
          ReservedHosts.emplace(Host, Progress.ConfirmedAt);
      }
    }
  }

  [[nodiscard]] std::optional<ModelSpec>
  resultingModel(const ModelName &Model) const {
    const ModelSpec *const Declared = findModel(resultingDeclaration(), Model);
    if (Declared == nullptr)
      return std::nullopt;
    ModelSpec Result = *Declared;
    if (const auto *const Request =
            std::get_if<SetVersion>(&Candidate.RequestedIntent))
      if (Request->Model == Model)
        Result.Version = Request->Version;
    if (const auto *const Request =
            std::get_if<SetAdapters>(&Candidate.RequestedIntent))
      if (Request->Model == Model)
        Result.Adapters = Request->Adapters;
    return Result;
  }

  [[nodiscard]] bool isDrainedByPlan(const HostSpec &Host) const {
    if (const auto *const Request =
            std::get_if<DrainDataCentre>(&Candidate.RequestedIntent))
      if (Request->DataCentre == Host.DataCentre)
        return true;
    if (const auto *const Request =
            std::get_if<DrainHost>(&Candidate.RequestedIntent))
      if (Request->Host == Host.Name)
        return true;
    return isDataCentreDrained(Host.DataCentre) || isHostDrained(Host.Name);
  }

  [[nodiscard]] bool isDataCentreDrained(const DataCentreName &Name) const {
    const auto *const Request =
        std::get_if<ReturnDataCentre>(&Candidate.RequestedIntent);
    const bool Returns = Request != nullptr && Request->DataCentre == Name;
    return !Returns && Current.DrainedDataCentres.contains(Name);
  }

  [[nodiscard]] bool isHostDrained(const HostName &Name) const {
    const auto *const Request =
        std::get_if<ReturnHost>(&Candidate.RequestedIntent);
    const bool Returns = Request != nullptr && Request->Host == Name;
    return !Returns && Current.DrainedHosts.contains(Name);
  }

  [[nodiscard]] static bool
  sameAdapters(const std::vector<AdapterName> &Left,
               const std::vector<AdapterName> &Right) {
    return std::set(Left.begin(), Left.end()) ==
           std::set(Right.begin(), Right.end());
  }

  Rejection checkStep(const FormGroup &Form) {
    if (!GroupNumbers.insert(Form.Number).second)
      return voided("the plan forms two groups of one number");
    const std::optional<ModelSpec> Model = resultingModel(Form.Model);
    if (!Model)
      return rejectUndeclared("model " + Form.Model.Text);
    if (Model->Version != Form.Version || Model->Role != Form.Role ||
        Model->MembersPerGroup != Form.Members.size() ||
        !sameAdapters(Model->Adapters, Form.Adapters))
      return voided("a group to be formed is not as model " + Form.Model.Text +
                    " is declared");
    return checkMembers(Form);
  }

  Rejection checkMembers(const FormGroup &Form) {
    const HostSpec *const Leader =
        findHost(resultingDeclaration(), Form.Members.front());
    for (const HostName &Name : Form.Members) {
      const HostSpec *const Host = findHost(resultingDeclaration(), Name);
      if (Host == nullptr)
        return rejectUndeclared("host " + Name.Text);
      if (Host->DataCentre != Form.DataCentre ||
          Host->FabricDomain != Leader->FabricDomain)
        return voided("the members of a group to be formed are not in one "
                      "fabric domain");
      if (Rejection Failure = checkMember(*Host))
        return Failure;
    }
    return std::nullopt;
  }

  Rejection checkMember(const HostSpec &Host) {
    if (!PlannedHosts.insert(Host.Name).second)
      return voided("the plan puts host " + Host.Name.Text + " in two groups");
    if (isDrainedByPlan(Host))
      return voided("host " + Host.Name.Text + " is drained");
    const auto Reservation = ReservedHosts.find(Host.Name);
    if (Reservation != ReservedHosts.end())
      return voided("host " + Host.Name.Text + " is meant for another plan",
                    Reservation->second);
    const auto Holder = Current.OccupiedHosts.find(Host.Name);
    if (Holder != Current.OccupiedHosts.end() &&
        !StoppedGroups.contains(Holder->second))
      return voided("host " + Host.Name.Text + " is in another group",
                    generationOf(Holder->second));
    return std::nullopt;
  }

  Rejection checkStep(const StopGroup &Stop) {
    StoppedGroups.insert(Stop.Group);
    return std::nullopt;
  }

  Rejection checkStep(const SwapAdapters &Swap) {
    const auto It = Current.Groups.find(Swap.Group);
    if (It == Current.Groups.end() || It->second.Phase != GroupPhase::Serving ||
        StoppedGroups.contains(Swap.Group))
      return voided("a group whose adapters are to change is not serving",
                    Current.LastChange);
    return std::nullopt;
  }

  const State &Current;
  const Plan &Candidate;
  const Declaration *NewDeclaration = nullptr;
  Declaration MergedDeclaration;
  std::map<HostName, Offset> ReservedHosts;
  std::set<GroupId> StoppedGroups;
  std::set<std::uint32_t> GroupNumbers;
  std::set<HostName> PlannedHosts;
};

} // namespace

std::optional<FoldResult> validatePlan(const State &Current,
                                       const Plan &Proposal) {
  return PlanValidator(Current, Proposal).run();
}

} // namespace coltsfoottrail::internal
