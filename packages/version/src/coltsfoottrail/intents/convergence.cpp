#include "coltsfoottrail/intents/convergence.hpp"

#include "coltsfoottrail/intents/describe.hpp"
#include "coltsfoottrail/intents/placement.hpp"
#include "coltsfoottrail/intents/planner.hpp"

#include <algorithm>

namespace coltsfoottrail::internal {

namespace {

/// A group that exists, or that a running plan has yet to form.
struct ExpectedGroup {
  GroupId Id;
  const FormGroup *Formed = nullptr;
  std::vector<AdapterName> Adapters;
  /// False while a plan is still forming it.
  bool Serving = false;
  /// Whether requests may be sent to it once the plan is confirmed.
  bool Routed = false;
};

/// The groups of one model in one data centre.
struct SiteState {
  ModelName Model;
  DataCentreName DataCentre;
  /// Null when the model is no longer declared.
  const ModelSpec *Spec = nullptr;
  std::uint32_t DeclaredGroups = 0;
  /// Groups that match Spec and use no drained host.
  std::vector<ExpectedGroup> UpToDate;
  /// All other groups; to be replaced or stopped.
  std::vector<ExpectedGroup> Outdated;
  /// Groups that get requests after the steps planned so far.
  std::size_t RoutedCount = 0;
  /// Groups formed by the steps planned so far.
  std::size_t FormedCount = 0;
  /// Broken groups; their free hosts are preferred for replacements.
  std::vector<const FormGroup *> BrokenGroups;
  /// Whether WillNotDo already says that groups are stopped before their
  /// replacements are formed.
  bool StopFirstReported = false;
};

/// Computes the steps, the forecast and the missing groups of one plan.
class Convergence {
public:
  explicit Convergence(const ConvergenceInput &Request) : Input(Request) {}

  ConvergenceResult run() {
    readRunningPlans();
    openSites();
    classifyGroups();
    findMissing();
    if (Input.Allowed != AllowedSteps::ForecastOnly)
      planSteps();
    forecast();
    return std::move(Result);
  }

private:
  [[nodiscard]] bool inScope(const SiteKey &Key) const {
    if (Input.OnlyModel && *Input.OnlyModel != Key.first)
      return false;
    return !Input.OnlyDataCentre || *Input.OnlyDataCentre == Key.second;
  }

  [[nodiscard]] bool isDrained(const DataCentreName &DataCentre) const {
    return Input.DrainedDataCentres.contains(DataCentre);
  }

  void readRunningPlans() {
    for (const auto &[PlanOffset, Progress] : Input.Now->Plans)
      if (Progress.Phase == PlanPhase::Running)
        readRunningPlan(PlanOffset, Progress);
  }

  void readRunningPlan(Offset PlanOffset, const PlanProgress &Progress) {
    const std::vector<Step> &Steps = Progress.ProposalRecord.Proposal.Steps;
    for (std::size_t Index = Progress.StepsDone; Index < Steps.size();
         ++Index) {
      const Step &PlanStep = Steps[Index];
      if (const auto *Form = std::get_if<FormGroup>(&PlanStep))
        readPendingForm(PlanOffset, Progress, *Form);
      else if (const auto *Stop = std::get_if<StopGroup>(&PlanStep))
        GroupsToStop.insert(Stop->Group);
      else if (const auto *Swap = std::get_if<SwapAdapters>(&PlanStep))
        AdapterSwaps[Swap->Group] = Swap->Adapters;
    }
  }

  void readPendingForm(Offset PlanOffset, const PlanProgress &Progress,
                       const FormGroup &Form) {
    // A group that was formed and no longer exists was lost; it counts as
    // missing, not as pending.
    const GroupId Id{PlanOffset, Form.Number};
    if (Progress.FormedGroups.contains(Form.Number) ||
        Input.Now->Groups.contains(Id))
      return;
    ReservedHosts.insert(Form.Members.begin(), Form.Members.end());
    PendingGroups.push_back(ExpectedGroup{Id, &Form, Form.Adapters});
  }

  void openSites() {
    for (const ModelSpec &Model : Input.Declared->Models)
      for (const auto &[DataCentre, Count] : Model.Groups)
        openSite({Model.Name, DataCentre}).DeclaredGroups = Count;
  }

  SiteState &openSite(const SiteKey &Key) {
    const auto [Iterator, Inserted] = Sites.try_emplace(Key);
    SiteState &Site = Iterator->second;
    if (!Inserted)
      return Site;
    Site.Model = Key.first;
    Site.DataCentre = Key.second;
    Site.Spec = findModel(*Input.Declared, Key.first);
    return Site;
  }

  void classifyGroups() {
    for (const auto &[Id, Existing] : Input.Now->Groups)
      classifyGroup(Id, Existing);
    for (const ExpectedGroup &Planned : PendingGroups)
      if (!GroupsToStop.contains(Planned.Id))
        addToSite(Planned);
  }

  void classifyGroup(const GroupId &Id, const Group &Existing) {
    const FormGroup &Formed = Existing.Spec;
    if (Existing.Phase == GroupPhase::Broken) {
      openSite({Formed.Model, Formed.DataCentre})
          .BrokenGroups.push_back(&Formed);
      return;
    }
    if (Existing.Phase == GroupPhase::Stopping || GroupsToStop.contains(Id))
      return;
    ExpectedGroup Entry{Id, &Formed, Formed.Adapters};
    Entry.Serving = Existing.Phase == GroupPhase::Serving;
    Entry.Routed =
        isInRoutes(Existing, Input.DrainedDataCentres, Input.DrainedHosts);
    if (const auto Swap = AdapterSwaps.find(Id); Swap != AdapterSwaps.end())
      Entry.Adapters = Swap->second;
    addToSite(Entry);
  }

  void addToSite(const ExpectedGroup &Entry) {
    const SiteKey Key{Entry.Formed->Model, Entry.Formed->DataCentre};
    SiteState &Site = openSite(Key);
    Site.RoutedCount += Entry.Routed ? 1 : 0;
    (matchesSpec(Site, *Entry.Formed) ? Site.UpToDate : Site.Outdated)
        .push_back(Entry);
  }

  [[nodiscard]] bool matchesSpec(const SiteState &Site,
                                 const FormGroup &Formed) const {
    if (Site.Spec == nullptr || Formed.Version != Site.Spec->Version ||
        Formed.Role != Site.Spec->Role ||
        Formed.Members.size() != Site.Spec->MembersPerGroup)
      return false;
    return std::none_of(Formed.Members.begin(), Formed.Members.end(),
                        [this](const HostName &Member) {
                          return Input.DrainedHosts.contains(Member);
                        });
  }

  void findMissing() {
    for (const auto &[Key, Site] : Sites)
      if (!isDrained(Site.DataCentre) &&
          Site.UpToDate.size() + Site.Outdated.size() < Site.DeclaredGroups)
        Result.Missing.push_back(Key);
  }

  void planSteps() {
    collectAvailableHosts();
    std::vector<SiteState *> Chosen;
    for (auto &[Key, Site] : Sites)
      if (inScope(Key) && !skipIfDrained(Site))
        Chosen.push_back(&Site);
    if (Input.Allowed == AllowedSteps::All) {
      for (SiteState *Site : Chosen)
        stopSurplus(*Site);
      for (SiteState *Site : Chosen)
        swapAdapters(*Site);
    }
    for (SiteState *Site : Chosen)
      formMissing(*Site);
  }

  void collectAvailableHosts() {
    for (const HostSpec &Host : Input.Declared->Hosts)
      if (isUsable(Host) && !Input.Now->OccupiedHosts.contains(Host.Name))
        AvailableHosts.add(Host);
  }

  [[nodiscard]] bool isUsable(const HostSpec &Host) const {
    if (Input.OnlyDataCentre && *Input.OnlyDataCentre != Host.DataCentre)
      return false;
    return !ReservedHosts.contains(Host.Name) &&
           !Input.ExcludedHosts.contains(Host.Name) &&
           !Input.DrainedHosts.contains(Host.Name);
  }

  bool skipIfDrained(const SiteState &Site) {
    if (!isDrained(Site.DataCentre))
      return false;
    const bool Differs = !Site.Outdated.empty() ||
                         Site.UpToDate.size() != Site.DeclaredGroups ||
                         needsAdapterSwap(Site);
    if (Differs && Input.Allowed == AllowedSteps::All)
      refuse("change the groups of " + Site.Model.Text + " in " +
             Site.DataCentre.Text +
             ": the data centre is drained; they are brought up to what is "
             "declared when it returns");
    return true;
  }

  [[nodiscard]] static bool needsAdapterSwap(const SiteState &Site) {
    return std::any_of(Site.UpToDate.begin(), Site.UpToDate.end(),
                       [&Site](const ExpectedGroup &Entry) {
                         return Entry.Adapters != Site.Spec->Adapters;
                       });
  }

  void stopSurplus(SiteState &Site) {
    if (Site.Spec == nullptr || Site.DeclaredGroups == 0)
      stopAllOutdated(Site);
    stopReplaced(Site);
    // Groups in the domains with the most free hosts are stopped first, so that
    // whole domains become free.
    std::stable_sort(
        Site.UpToDate.begin(), Site.UpToDate.end(),
        [this](const ExpectedGroup &Left, const ExpectedGroup &Right) {
          return freeHostsInSameDomain(Left) < freeHostsInSameDomain(Right);
        });
    for (std::size_t Index = Site.UpToDate.size();
         Index-- > 0 && Site.UpToDate.size() > Site.DeclaredGroups;)
      if (stop(Site, Site.UpToDate[Index]))
        Site.UpToDate.erase(Site.UpToDate.begin() +
                            static_cast<std::ptrdiff_t>(Index));
  }

  [[nodiscard]] std::size_t
  freeHostsInSameDomain(const ExpectedGroup &Entry) const {
    const HostSpec *First =
        findHost(*Input.Declared, Entry.Formed->Members.front());
    return First == nullptr ? 0
                            : AvailableHosts.countInDomain(First->DataCentre,
                                                           First->FabricDomain);
  }

  void stopAllOutdated(SiteState &Site) {
    std::erase_if(Site.Outdated, [&](const ExpectedGroup &Entry) {
      return stop(Site, Entry);
    });
  }

  /// @return Whether a stop was planned; it is refused for a group that another
  /// plan is still forming.
  bool stop(SiteState &Site, const ExpectedGroup &Entry) {
    if (!Entry.Serving) {
      refuse("stop group " + textOf(Entry.Id) + " of " + Site.Model.Text +
             ": plan " + std::to_string(Entry.Id.Plan) +
             " is still forming it; ask again when that plan is done");
      return false;
    }
    Result.Steps.emplace_back(StopGroup{Entry.Id});
    Site.RoutedCount -= Entry.Routed ? 1 : 0;
    for (const HostName &Member : Entry.Formed->Members) {
      const HostSpec *Host = findHost(*Input.Declared, Member);
      if (Host != nullptr && isUsable(*Host))
        AvailableHosts.add(*Host);
    }
    return true;
  }

  void swapAdapters(SiteState &Site) {
    if (Site.Spec == nullptr)
      return;
    for (const ExpectedGroup &Entry : Site.UpToDate) {
      if (Entry.Adapters == Site.Spec->Adapters)
        continue;
      if (Entry.Serving)
        Result.Steps.emplace_back(SwapAdapters{Entry.Id, Site.Spec->Adapters});
      else
        refuse("change the adapters of group " + textOf(Entry.Id) + ": plan " +
               std::to_string(Entry.Id.Plan) +
               " is still forming it; ask again when that plan is done");
    }
  }

  void formMissing(SiteState &Site) {
    if (Site.Spec == nullptr)
      return;
    const std::size_t Present =
        Site.UpToDate.size() +
        (Input.Allowed == AllowedSteps::All ? 0 : Site.Outdated.size());
    std::size_t Unmet =
        Site.DeclaredGroups > Present ? Site.DeclaredGroups - Present : 0;
    Unmet -= formInBatches(Site, Unmet);
    if (Unmet > 0)
      reportShortage(Site, Unmet);
    if (Input.Allowed == AllowedSteps::All)
      stopRemaining(Site, Unmet);
  }

  /// Forms groups in batches of WeightLoadsAtOnce and stops the outdated groups
  /// that each batch replaces.
  /// @return Number of groups formed.
  std::size_t formInBatches(SiteState &Site, std::size_t Count) {
    const std::size_t Batch =
        std::max<std::size_t>(1, Input.Declared->WeightLoadsAtOnce);
    std::size_t Formed = 0;
    while (Formed < Count && formOne(Site)) {
      ++Formed;
      if (Formed % Batch == 0)
        stopReplaced(Site);
    }
    stopReplaced(Site);
    return Formed;
  }

  bool formOne(SiteState &Site) {
    std::optional<std::vector<HostName>> Members = takeHostsOfBrokenGroup(Site);
    if (!Members)
      Members =
          AvailableHosts.take(Site.DataCentre, Site.Spec->MembersPerGroup);
    if (!Members && stopReplaced(Site))
      Members =
          AvailableHosts.take(Site.DataCentre, Site.Spec->MembersPerGroup);
    if (!Members && Input.Allowed == AllowedSteps::All)
      Members = takeHostsByStopping(Site);
    if (!Members)
      return false;
    FormGroup Form;
    Form.Number = NextNumber++;
    Form.Model = Site.Model;
    Form.Version = Site.Spec->Version;
    Form.Adapters = Site.Spec->Adapters;
    Form.Role = Site.Spec->Role;
    Form.DataCentre = Site.DataCentre;
    Form.Members = std::move(*Members);
    Result.Steps.emplace_back(std::move(Form));
    ++Site.RoutedCount;
    ++Site.FormedCount;
    return true;
  }

  std::optional<std::vector<HostName>> takeHostsOfBrokenGroup(SiteState &Site) {
    while (!Site.BrokenGroups.empty()) {
      const FormGroup &Lost = *Site.BrokenGroups.back();
      Site.BrokenGroups.pop_back();
      const HostSpec *First = findHost(*Input.Declared, Lost.Members.front());
      if (First == nullptr)
        continue;
      auto Members =
          AvailableHosts.takeFrom(Site.DataCentre, First->FabricDomain,
                                  Site.Spec->MembersPerGroup, Lost.Members);
      if (Members)
        return Members;
    }
    return std::nullopt;
  }

  /// Called when no domain has enough free hosts: stops one outdated group, so
  /// that its replacement can be formed in its domain.
  std::optional<std::vector<HostName>> takeHostsByStopping(SiteState &Site) {
    for (auto Entry = Site.Outdated.begin(); Entry != Site.Outdated.end();
         ++Entry) {
      const HostSpec *First =
          findHost(*Input.Declared, Entry->Formed->Members.front());
      if (First == nullptr || !Entry->Serving ||
          usableHostsAfterStop(*Entry, *First) < Site.Spec->MembersPerGroup)
        continue;
      const ExpectedGroup Stopped = *Entry;
      Site.Outdated.erase(Entry);
      stop(Site, Stopped);
      if (!Site.StopFirstReported)
        refuse("form before stopping for every group of " + Site.Model.Text +
               " in " + Site.DataCentre.Text + ": no fabric domain has " +
               std::to_string(Site.Spec->MembersPerGroup) +
               " free hosts, so one group at a time is stopped first");
      Site.StopFirstReported = true;
      return AvailableHosts.takeFrom(Site.DataCentre, First->FabricDomain,
                                     Site.Spec->MembersPerGroup,
                                     Stopped.Formed->Members);
    }
    return std::nullopt;
  }

  [[nodiscard]] std::size_t usableHostsAfterStop(const ExpectedGroup &Entry,
                                                 const HostSpec &First) const {
    std::size_t Usable =
        AvailableHosts.countInDomain(First.DataCentre, First.FabricDomain);
    for (const HostName &Member : Entry.Formed->Members) {
      const HostSpec *Host = findHost(*Input.Declared, Member);
      if (Host != nullptr && isUsable(*Host))
        ++Usable;
    }
    return Usable;
  }

  /// Stops outdated groups beyond the declared number, as long as that many
  /// groups stay routed.
  /// @return Whether any stop was planned.
  bool stopReplaced(SiteState &Site) {
    if (Input.Allowed != AllowedSteps::All)
      return false;
    const std::size_t Before = Result.Steps.size();
    for (auto Entry = Site.Outdated.begin(); Entry != Site.Outdated.end();) {
      const std::size_t Left = Site.RoutedCount - (Entry->Routed ? 1 : 0);
      const bool Affordable = !Entry->Routed || Left >= Site.DeclaredGroups;
      const bool Surplus =
          Site.UpToDate.size() + Site.FormedCount + Site.Outdated.size() >
          Site.DeclaredGroups;
      if (Surplus && Affordable && stop(Site, *Entry))
        Entry = Site.Outdated.erase(Entry);
      else
        ++Entry;
    }
    return Result.Steps.size() > Before;
  }

  /// Stops the remaining outdated groups, but keeps one in service for each
  /// group that could not be formed. Groups with a drained host are
  /// stopped, as the operator needs that host.
  void stopRemaining(SiteState &Site, std::size_t Unmet) {
    std::size_t Keep = Unmet;
    std::erase_if(Site.Outdated, [&](const ExpectedGroup &Entry) {
      const bool Useful = Entry.Serving && Entry.Routed;
      if (Useful && Keep > 0) {
        --Keep;
        refuse("stop group " + textOf(Entry.Id) + " of " + Site.Model.Text +
               " " + Entry.Formed->Version.Text +
               ": nothing can be formed in its place");
        return false;
      }
      return stop(Site, Entry);
    });
  }

  void reportShortage(const SiteState &Site, std::size_t Unmet) {
    refuse("form " + std::to_string(Unmet) + " of " +
           std::to_string(Site.DeclaredGroups) + " groups of " +
           Site.Model.Text + " in " + Site.DataCentre.Text + ": each needs " +
           std::to_string(Site.Spec->MembersPerGroup) +
           " free hosts in one fabric domain, and the domain with most has " +
           std::to_string(AvailableHosts.largestDomain(Site.DataCentre)));
  }

  void refuse(std::string Reason) {
    Result.WillNotDo.push_back(std::move(Reason));
  }

  void forecast() {
    std::map<ModelName, CapacityForecast> Forecasts;
    for (const auto &[Key, Site] : Sites)
      if (Input.Allowed == AllowedSteps::ForecastOnly || inScope(Key))
        Forecasts[Key.first].Model = Key.first;
    std::map<ModelName, std::uint32_t> PendingCounts;
    for (auto &[Id, Existing] : Input.Now->Groups) {
      const auto Forecast = Forecasts.find(Existing.Spec.Model);
      if (Forecast == Forecasts.end())
        continue;
      if (isInRoutes(Existing, Input.Now->DrainedDataCentres,
                     Input.Now->DrainedHosts))
        ++Forecast->second.GroupsNow;
      if (isInRoutes(Existing, Input.DrainedDataCentres, Input.DrainedHosts))
        ++Forecast->second.GroupsAfter;
      if (Existing.Phase == GroupPhase::Forming &&
          !isDrained(Existing.Spec.DataCentre))
        ++PendingCounts[Existing.Spec.Model];
    }
    for (const ExpectedGroup &Planned : PendingGroups)
      if (!isDrained(Planned.Formed->DataCentre))
        ++PendingCounts[Planned.Formed->Model];
    for (const GroupId &Id : GroupsToStop)
      subtractGroup(Forecasts, Id);
    for (auto &[Model, Forecast] : Forecasts)
      Forecast.GroupsAtWorst = Forecast.GroupsAfter;
    for (const Step &PlanStep : Result.Steps)
      forecastStep(Forecasts, PlanStep);
    for (auto &[Model, Forecast] : Forecasts) {
      Forecast.GroupsAfter += PendingCounts[Model];
      if (const ModelSpec *Spec = findModel(*Input.Declared, Model))
        for (const auto &[DataCentre, Count] : Spec->Groups)
          Forecast.GroupsWanted += Count;
      Result.Forecast.push_back(Forecast);
    }
  }

  void forecastStep(std::map<ModelName, CapacityForecast> &Forecasts,
                    const Step &PlanStep) const {
    if (const auto *Form = std::get_if<FormGroup>(&PlanStep))
      ++Forecasts[Form->Model].GroupsAfter;
    if (const auto *Stop = std::get_if<StopGroup>(&PlanStep))
      subtractGroup(Forecasts, Stop->Group);
  }

  /// Takes a routed group out of its model's forecast.
  void subtractGroup(std::map<ModelName, CapacityForecast> &Forecasts,
                     const GroupId &Id) const {
    const auto Entry = Input.Now->Groups.find(Id);
    if (Entry == Input.Now->Groups.end() ||
        !isInRoutes(Entry->second, Input.DrainedDataCentres,
                    Input.DrainedHosts))
      return;
    const auto Forecast = Forecasts.find(Entry->second.Spec.Model);
    if (Forecast == Forecasts.end())
      return;
    --Forecast->second.GroupsAfter;
    Forecast->second.GroupsAtWorst =
        std::min(Forecast->second.GroupsAtWorst, Forecast->second.GroupsAfter);
  }

  const ConvergenceInput &Input;
  ConvergenceResult Result;
  /// Effects of the steps that running plans have yet to carry out.
  std::set<GroupId> GroupsToStop;
  std::map<GroupId, std::vector<AdapterName>> AdapterSwaps;
  std::vector<ExpectedGroup> PendingGroups;
  std::set<HostName> ReservedHosts;
  std::map<SiteKey, SiteState> Sites;
  FreeHosts AvailableHosts;
  std::uint32_t NextNumber = 0;
};

} // namespace

ConvergenceResult converge(const ConvergenceInput &Input) {
  return Convergence(Input).run();
}

} // namespace coltsfoottrail::internal
