#include "coltsfoottrail/intents/convergence.hpp"

#include "coltsfoottrail/intents/describe.hpp"
#include "coltsfoottrail/intents/placement.hpp"
#include "coltsfoottrail/intents/planner.hpp"

#include <algorithm>

namespace coltsfoottrail::internal {

namespace {

/// A group that is there, or that a running plan is still to form.
struct Known {
  GroupId Id;
  const FormGroup *Formed = nullptr;
  std::vector<AdapterName> Adapters;
  bool Serving = false;
  bool Routed = false;
};

/// The groups of one model in one data centre.
struct Site {
  ModelName Model;
  DataCentreName Where;
  /// Null when the model is declared no more.
  const ModelSpec *Spec = nullptr;
  std::uint32_t Wanted = 0;
  std::vector<Known> Good;
  std::vector<Known> Old;
  /// Groups in routes at the present step.
  std::size_t Routed = 0;
  /// Groups that this plan forms.
  std::size_t Made = 0;
  /// Broken groups, whose free survivors are used again.
  std::vector<const FormGroup *> Broken;
  bool ToldStopFirst = false;
};

class Convergence {
public:
  explicit Convergence(const Aim &Towards) : To(Towards) {}

  Course run() {
    readRunningPlans();
    openSites();
    sortGroups();
    findMissing();
    if (To.May != Extent::ForecastOnly)
      planSteps();
    forecast();
    return std::move(Out);
  }

private:
  [[nodiscard]] bool inScope(const SiteKey &Key) const {
    if (To.OnlyModel && *To.OnlyModel != Key.first)
      return false;
    return !To.OnlyDataCentre || *To.OnlyDataCentre == Key.second;
  }

  [[nodiscard]] bool isDrained(const DataCentreName &Where) const {
    return To.DrainedDataCentres.contains(Where);
  }

  void readRunningPlans() {
    for (const auto &[At, Progress] : To.Now->Plans)
      if (Progress.Phase == PlanPhase::Running)
        readRunningPlan(At, Progress);
  }

  void readRunningPlan(Offset At, const PlanProgress &Progress) {
    const std::vector<Step> &Steps = Progress.ProposalRecord.Proposal.Steps;
    for (std::size_t Index = Progress.StepsDone; Index < Steps.size();
         ++Index) {
      const Step &What = Steps[Index];
      if (const auto *Form = std::get_if<FormGroup>(&What))
        readPendingForm(At, Progress, *Form);
      else if (const auto *Stop = std::get_if<StopGroup>(&What))
        AboutToStop.insert(Stop->Group);
      else if (const auto *Swap = std::get_if<SwapAdapters>(&What))
        AboutToSwap[Swap->Group] = Swap->Adapters;
    }
  }

  void readPendingForm(Offset At, const PlanProgress &Progress,
                       const FormGroup &Form) {
    // A group that was formed and is there no more broke; it is missing.
    const GroupId Id{At, Form.Number};
    if (Progress.FormedGroups.contains(Form.Number) ||
        To.Now->Groups.contains(Id))
      return;
    Reserved.insert(Form.Members.begin(), Form.Members.end());
    Pending.push_back(Known{Id, &Form, Form.Adapters});
  }

  void openSites() {
    for (const ModelSpec &Model : To.Declared->Models)
      for (const auto &[Where, Wanted] : Model.Groups)
        openSite({Model.Name, Where}).Wanted = Wanted;
  }

  Site &openSite(const SiteKey &Key) {
    const auto [Found, Fresh] = Sites.try_emplace(Key);
    Site &Opened = Found->second;
    if (!Fresh)
      return Opened;
    Opened.Model = Key.first;
    Opened.Where = Key.second;
    Opened.Spec = findModel(*To.Declared, Key.first);
    return Opened;
  }

  void sortGroups() {
    for (const auto &[Id, Found] : To.Now->Groups)
      sortGroup(Id, Found);
    for (const Known &Planned : Pending)
      if (!AboutToStop.contains(Planned.Id))
        place(Planned);
  }

  void sortGroup(const GroupId &Id, const Group &Found) {
    const FormGroup &Formed = Found.Spec;
    if (Found.Phase == GroupPhase::Broken) {
      openSite({Formed.Model, Formed.DataCentre}).Broken.push_back(&Formed);
      return;
    }
    if (Found.Phase == GroupPhase::Stopping || AboutToStop.contains(Id))
      return;
    Known There{Id, &Formed, Formed.Adapters};
    There.Serving = Found.Phase == GroupPhase::Serving;
    There.Routed = isInRoutes(Found, To.DrainedDataCentres, To.DrainedHosts);
    if (const auto Swap = AboutToSwap.find(Id); Swap != AboutToSwap.end())
      There.Adapters = Swap->second;
    place(There);
  }

  void place(const Known &There) {
    const SiteKey Key{There.Formed->Model, There.Formed->DataCentre};
    Site &At = openSite(Key);
    At.Routed += There.Routed ? 1 : 0;
    (fits(At, *There.Formed) ? At.Good : At.Old).push_back(There);
  }

  [[nodiscard]] bool fits(const Site &At, const FormGroup &Formed) const {
    if (At.Spec == nullptr || Formed.Version != At.Spec->Version ||
        Formed.Role != At.Spec->Role ||
        Formed.Members.size() != At.Spec->MembersPerGroup)
      return false;
    return std::none_of(Formed.Members.begin(), Formed.Members.end(),
                        [this](const HostName &Member) {
                          return To.DrainedHosts.contains(Member);
                        });
  }

  void findMissing() {
    for (const auto &[Key, At] : Sites)
      if (!isDrained(At.Where) && At.Good.size() + At.Old.size() < At.Wanted)
        Out.Missing.push_back(Key);
  }

  void planSteps() {
    collectFree();
    std::vector<Site *> Chosen;
    for (auto &[Key, At] : Sites)
      if (inScope(Key) && !leaveDrained(At))
        Chosen.push_back(&At);
    if (To.May == Extent::Whole) {
      for (Site *At : Chosen)
        stopSurplus(*At);
      for (Site *At : Chosen)
        swapAdapters(*At);
    }
    for (Site *At : Chosen)
      formMissing(*At);
  }

  void collectFree() {
    for (const HostSpec &Host : To.Declared->Hosts)
      if (mayBeUsed(Host) && !To.Now->OccupiedHosts.contains(Host.Name))
        Free.add(Host);
  }

  [[nodiscard]] bool mayBeUsed(const HostSpec &Host) const {
    if (To.OnlyDataCentre && *To.OnlyDataCentre != Host.DataCentre)
      return false;
    return !Reserved.contains(Host.Name) && !To.Avoided.contains(Host.Name) &&
           !To.DrainedHosts.contains(Host.Name);
  }

  bool leaveDrained(const Site &At) {
    if (!isDrained(At.Where))
      return false;
    const bool Differs =
        !At.Old.empty() || At.Good.size() != At.Wanted || swapNeeded(At);
    if (Differs && To.May == Extent::Whole)
      refuse("change the groups of " + At.Model.Text + " in " + At.Where.Text +
             ": the data centre is drained; they are brought up to what is "
             "declared when it returns");
    return true;
  }

  [[nodiscard]] static bool swapNeeded(const Site &At) {
    return std::any_of(At.Good.begin(), At.Good.end(),
                       [&At](const Known &There) {
                         return There.Adapters != At.Spec->Adapters;
                       });
  }

  void stopSurplus(Site &At) {
    if (At.Spec == nullptr || At.Wanted == 0)
      stopAllOld(At);
    stopReplaced(At);
    // Those in the emptiest domains go first, so that whole domains get free.
    std::stable_sort(At.Good.begin(), At.Good.end(),
                     [this](const Known &Left, const Known &Right) {
                       return freeBeside(Left) < freeBeside(Right);
                     });
    for (std::size_t Index = At.Good.size();
         Index-- > 0 && At.Good.size() > At.Wanted;)
      if (stop(At, At.Good[Index]))
        At.Good.erase(At.Good.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  [[nodiscard]] std::size_t freeBeside(const Known &There) const {
    const HostSpec *First =
        findHost(*To.Declared, There.Formed->Members.front());
    return First == nullptr
               ? 0
               : Free.inDomain(First->DataCentre, First->FabricDomain);
  }

  void stopAllOld(Site &At) {
    std::erase_if(At.Old, [&](const Known &There) { return stop(At, There); });
  }

  /// @return Whether it is stopped; a group that another plan is still forming
  /// is not.
  bool stop(Site &At, const Known &There) {
    if (!There.Serving) {
      refuse("stop group " + textOf(There.Id) + " of " + At.Model.Text +
             ": plan " + std::to_string(There.Id.Plan) +
             " is still forming it; ask again when that plan is done");
      return false;
    }
    Out.Steps.emplace_back(StopGroup{There.Id});
    At.Routed -= There.Routed ? 1 : 0;
    for (const HostName &Member : There.Formed->Members) {
      const HostSpec *Host = findHost(*To.Declared, Member);
      if (Host != nullptr && mayBeUsed(*Host))
        Free.add(*Host);
    }
    return true;
  }

  void swapAdapters(Site &At) {
    if (At.Spec == nullptr)
      return;
    for (const Known &There : At.Good) {
      if (There.Adapters == At.Spec->Adapters)
        continue;
      if (There.Serving)
        Out.Steps.emplace_back(SwapAdapters{There.Id, At.Spec->Adapters});
      else
        refuse("change the adapters of group " + textOf(There.Id) + ": plan " +
               std::to_string(There.Id.Plan) +
               " is still forming it; ask again when that plan is done");
    }
  }

  void formMissing(Site &At) {
    if (At.Spec == nullptr)
      return;
    const std::size_t There =
        At.Good.size() + (To.May == Extent::Whole ? 0 : At.Old.size());
    std::size_t Need = At.Wanted > There ? At.Wanted - There : 0;
    Need -= formUpTo(At, Need);
    if (Need > 0)
      tellShortage(At, Need);
    if (To.May == Extent::Whole)
      stopRest(At, Need);
  }

  /// Forms as many groups as the weight store loads at once, then stops those
  /// that they replace, and so on.
  /// @return How many it forms.
  std::size_t formUpTo(Site &At, std::size_t Need) {
    const std::size_t Batch =
        std::max<std::size_t>(1, To.Declared->WeightLoadsAtOnce);
    std::size_t Formed = 0;
    while (Formed < Need && formOne(At)) {
      ++Formed;
      if (Formed % Batch == 0)
        stopReplaced(At);
    }
    stopReplaced(At);
    return Formed;
  }

  bool formOne(Site &At) {
    std::optional<std::vector<HostName>> Members = takeBesideSurvivors(At);
    if (!Members)
      Members = Free.take(At.Where, At.Spec->MembersPerGroup);
    if (!Members && stopReplaced(At))
      Members = Free.take(At.Where, At.Spec->MembersPerGroup);
    if (!Members && To.May == Extent::Whole)
      Members = takeByStopping(At);
    if (!Members)
      return false;
    FormGroup Form;
    Form.Number = NextNumber++;
    Form.Model = At.Model;
    Form.Version = At.Spec->Version;
    Form.Adapters = At.Spec->Adapters;
    Form.Role = At.Spec->Role;
    Form.DataCentre = At.Where;
    Form.Members = std::move(*Members);
    Out.Steps.emplace_back(std::move(Form));
    ++At.Routed;
    ++At.Made;
    return true;
  }

  std::optional<std::vector<HostName>> takeBesideSurvivors(Site &At) {
    while (!At.Broken.empty()) {
      const FormGroup &Lost = *At.Broken.back();
      At.Broken.pop_back();
      const HostSpec *First = findHost(*To.Declared, Lost.Members.front());
      if (First == nullptr)
        continue;
      auto Members = Free.takeFrom(At.Where, First->FabricDomain,
                                   At.Spec->MembersPerGroup, Lost.Members);
      if (Members)
        return Members;
    }
    return std::nullopt;
  }

  /// No domain has enough free hosts: one old group makes room for its own
  /// replacement.
  std::optional<std::vector<HostName>> takeByStopping(Site &At) {
    for (auto There = At.Old.begin(); There != At.Old.end(); ++There) {
      const HostSpec *First =
          findHost(*To.Declared, There->Formed->Members.front());
      if (First == nullptr || !There->Serving ||
          usableAfterStop(*There, *First) < At.Spec->MembersPerGroup)
        continue;
      const Known Stopped = *There;
      At.Old.erase(There);
      stop(At, Stopped);
      if (!At.ToldStopFirst)
        refuse("form before stopping for every group of " + At.Model.Text +
               " in " + At.Where.Text + ": no fabric domain has " +
               std::to_string(At.Spec->MembersPerGroup) +
               " free hosts, so one group at a time is stopped first");
      At.ToldStopFirst = true;
      return Free.takeFrom(At.Where, First->FabricDomain,
                           At.Spec->MembersPerGroup, Stopped.Formed->Members);
    }
    return std::nullopt;
  }

  [[nodiscard]] std::size_t usableAfterStop(const Known &There,
                                            const HostSpec &First) const {
    std::size_t Usable = Free.inDomain(First.DataCentre, First.FabricDomain);
    for (const HostName &Member : There.Formed->Members) {
      const HostSpec *Host = findHost(*To.Declared, Member);
      if (Host != nullptr && mayBeUsed(*Host))
        ++Usable;
    }
    return Usable;
  }

  /// Stops old groups that are not needed any more.
  /// @return Whether there were any.
  bool stopReplaced(Site &At) {
    if (To.May != Extent::Whole)
      return false;
    const std::size_t Before = Out.Steps.size();
    for (auto There = At.Old.begin(); There != At.Old.end();) {
      const std::size_t Left = At.Routed - (There->Routed ? 1 : 0);
      const bool Affordable = !There->Routed || Left >= At.Wanted;
      const bool Surplus = At.Good.size() + At.Made + At.Old.size() > At.Wanted;
      if (Surplus && Affordable && stop(At, *There))
        There = At.Old.erase(There);
      else
        ++There;
    }
    return Out.Steps.size() > Before;
  }

  /// Old groups stay where nothing replaces them; but one with a drained host
  /// goes, as the operator wants that host.
  void stopRest(Site &At, std::size_t Unmet) {
    std::size_t Keep = Unmet;
    std::erase_if(At.Old, [&](const Known &There) {
      const bool Useful = There.Serving && There.Routed;
      if (Useful && Keep > 0) {
        --Keep;
        refuse("stop group " + textOf(There.Id) + " of " + At.Model.Text + " " +
               There.Formed->Version.Text +
               ": nothing can be formed in its place");
        return false;
      }
      return stop(At, There);
    });
  }

  void tellShortage(const Site &At, std::size_t Unmet) {
    refuse("form " + std::to_string(Unmet) + " of " +
           std::to_string(At.Wanted) + " groups of " + At.Model.Text + " in " +
           At.Where.Text + ": each needs " +
           std::to_string(At.Spec->MembersPerGroup) +
           " free hosts in one fabric domain, and the domain with most has " +
           std::to_string(Free.largest(At.Where)));
  }

  void refuse(std::string Reason) {
    Out.WillNotDo.push_back(std::move(Reason));
  }

  void forecast() {
    std::map<ModelName, CapacityForecast> Models;
    for (const auto &[Key, At] : Sites)
      if (To.May == Extent::ForecastOnly || inScope(Key))
        Models[Key.first].Model = Key.first;
    std::map<ModelName, std::uint32_t> StillToCome;
    for (auto &[Id, Found] : To.Now->Groups) {
      const auto Of = Models.find(Found.Spec.Model);
      if (Of == Models.end())
        continue;
      if (isInRoutes(Found, To.Now->DrainedDataCentres, To.Now->DrainedHosts))
        ++Of->second.GroupsNow;
      if (isInRoutes(Found, To.DrainedDataCentres, To.DrainedHosts))
        ++Of->second.GroupsAfter;
      if (Found.Phase == GroupPhase::Forming &&
          !isDrained(Found.Spec.DataCentre))
        ++StillToCome[Found.Spec.Model];
    }
    for (const Known &Planned : Pending)
      if (!isDrained(Planned.Formed->DataCentre))
        ++StillToCome[Planned.Formed->Model];
    for (const GroupId &Id : AboutToStop)
      dropFrom(Models, Id);
    for (auto &[Model, Of] : Models)
      Of.GroupsAtWorst = Of.GroupsAfter;
    for (const Step &What : Out.Steps)
      forecastStep(Models, What);
    for (auto &[Model, Of] : Models) {
      Of.GroupsAfter += StillToCome[Model];
      if (const ModelSpec *Spec = findModel(*To.Declared, Model))
        for (const auto &[Where, Wanted] : Spec->Groups)
          Of.GroupsWanted += Wanted;
      Out.Forecast.push_back(Of);
    }
  }

  void forecastStep(std::map<ModelName, CapacityForecast> &Models,
                    const Step &What) const {
    if (const auto *Form = std::get_if<FormGroup>(&What))
      ++Models[Form->Model].GroupsAfter;
    if (const auto *Stop = std::get_if<StopGroup>(&What))
      dropFrom(Models, Stop->Group);
  }

  void dropFrom(std::map<ModelName, CapacityForecast> &Models,
                const GroupId &Id) const {
    const auto Found = To.Now->Groups.find(Id);
    if (Found == To.Now->Groups.end() ||
        !isInRoutes(Found->second, To.DrainedDataCentres, To.DrainedHosts))
      return;
    const auto Of = Models.find(Found->second.Spec.Model);
    if (Of == Models.end())
      return;
    --Of->second.GroupsAfter;
    Of->second.GroupsAtWorst =
        std::min(Of->second.GroupsAtWorst, Of->second.GroupsAfter);
  }

  const Aim &To;
  Course Out;
  std::set<GroupId> AboutToStop;
  std::map<GroupId, std::vector<AdapterName>> AboutToSwap;
  std::vector<Known> Pending;
  std::set<HostName> Reserved;
  std::map<SiteKey, Site> Sites;
  FreeHosts Free;
  std::uint32_t NextNumber = 0;
};

} // namespace

Course converge(const Aim &Towards) { return Convergence(Towards).run(); }

} // namespace coltsfoottrail::internal
