#include "coltsfoottrail/assembly/layout.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// A spare whose model is served in its domain is given up for a group that
/// needs at most this many loads. Two loads end together, like one; with three
/// the domain is mostly better off with its spares.
constexpr std::size_t MaxLoadsForSpares = 2;
/// Rank of loads for spares: after all loads that complete a group.
constexpr double SpareLoadRank = 100.0;
/// Weight of one load against the missing fraction of the groups of a model.
constexpr double LoadWeight = 0.25;

/// Spares are kept for groups that are at least this many times as large as the
/// new one: a small group that is not formed costs more than a group of similar
/// size that waits.
constexpr std::uint32_t MinSizeRatioForSpares = 3;

std::size_t countOf(const std::map<ModelName, std::size_t> &Counts,
                    const ModelName &Model) {
  const auto Entry = Counts.find(Model);
  return Entry == Counts.end() ? 0 : Entry->second;
}

/// State of planning the loads of one domain.
class DomainLoadPlanner {
public:
  DomainLoadPlanner(const IdleDomain &Source,
                    std::span<const ServedModel> Served,
                    const std::map<ModelName, double> &ModelDeficits)
      : Domain(Source), Models(Served), Deficits(ModelDeficits),
        Remaining(Source.Engines), Loading(Source.Loading) {}

  std::vector<PlannedLoad> plan() {
    while (completeGroup())
      continue;
    for (const IdleEngine &Engine : Remaining)
      stageSpare(Engine);
    return std::move(Loads);
  }

private:
  /// A group that could be formed of the remaining idle engines.
  struct Target {
    const ServedModel *Model = nullptr;
    std::size_t Loads = 0;
    double Rank = 0.0;
  };

  [[nodiscard]] std::size_t countWithWeights(const ModelName &Model) const {
    return static_cast<std::size_t>(std::count_if(
        Remaining.begin(), Remaining.end(),
        [&](const IdleEngine &Engine) { return Engine.StagedModel == Model; }));
  }

  /// Whether a spare could replace a member of a group of its domain.
  [[nodiscard]] bool isUsefulSpare(const IdleEngine &Engine) const {
    return Engine.StagedModel &&
           countOf(Domain.Groups, *Engine.StagedModel) > 0;
  }

  [[nodiscard]] std::optional<Target>
  findTarget(const ServedModel &Model) const {
    const std::size_t Available =
        countWithWeights(Model.Name) + countOf(Loading, Model.Name);
    const std::size_t WithoutWeights =
        Remaining.size() - countWithWeights(Model.Name);
    if (Available + WithoutWeights <
        Model.Size + sparesKept(Domain.Groups, Models, Model))
      return std::nullopt;
    Target Group;
    Group.Model = &Model;
    Group.Loads = Model.Size - std::min<std::size_t>(Available, Model.Size);
    const auto Spares = static_cast<std::size_t>(std::count_if(
        Remaining.begin(), Remaining.end(), [&](const IdleEngine &Engine) {
          return Engine.StagedModel != Model.Name && isUsefulSpare(Engine);
        }));
    const bool UsesSpares = Group.Loads > WithoutWeights - Spares;
    if (UsesSpares && Group.Loads > MaxLoadsForSpares)
      return std::nullopt;
    Group.Rank = double(Group.Loads) * LoadWeight - Deficits.at(Model.Name);
    return Group;
  }

  /// Reserves engines for the best group that can be formed.
  /// @return False if none can.
  bool completeGroup() {
    std::optional<Target> Best;
    for (const ServedModel &Model : Models)
      if (const auto Candidate = findTarget(Model);
          Candidate && (!Best || Candidate->Rank < Best->Rank))
        Best = Candidate;
    if (!Best)
      return false;
    reserve(*Best);
    return true;
  }

  void reserve(const Target &Group) {
    const ModelName &Model = Group.Model->Name;
    std::size_t &InProgress = Loading[Model];
    std::size_t Needed = Group.Model->Size -
                         std::min<std::size_t>(InProgress, Group.Model->Size);
    InProgress -= Group.Model->Size - Needed;
    // Engines that have the weights come first, then those without weights,
    // then those whose model is not served in the domain, then spares of groups
    // of the domain.
    std::stable_sort(Remaining.begin(), Remaining.end(),
                     [&](const IdleEngine &Left, const IdleEngine &Right) {
                       return reuseCost(Left, Model) < reuseCost(Right, Model);
                     });
    for (std::size_t Index = 0; Index < Needed; ++Index)
      if (Remaining[Index].StagedModel != Model)
        Loads.push_back({Remaining[Index].Name, Model, Group.Rank});
    Remaining.erase(Remaining.begin(),
                    Remaining.begin() + std::ptrdiff_t(Needed));
  }

  [[nodiscard]] int reuseCost(const IdleEngine &Engine,
                              const ModelName &Model) const {
    if (Engine.StagedModel == Model)
      return 0;
    if (!Engine.StagedModel)
      return 1;
    return isUsefulSpare(Engine) ? 3 : 2;
  }

  void stageSpare(const IdleEngine &Engine) {
    if (isUsefulSpare(Engine))
      return;
    const ServedModel *Best = nullptr;
    for (const ServedModel &Model : Models)
      if (Best == nullptr || spareValue(Model) > spareValue(*Best))
        Best = &Model;
    if (Best == nullptr || Engine.StagedModel == Best->Name)
      return;
    if (Engine.StagedModel && countOf(Domain.Groups, Best->Name) == 0)
      return;
    ++Loading[Best->Name];
    Loads.push_back({Engine.Name, Best->Name, SpareLoadRank});
  }

  /// Value of another spare of a model: how often a member is lost, times the
  /// engines that are idle then, divided by the spares there are; plus a small
  /// part for the deficit of the model.
  [[nodiscard]] double spareValue(const ServedModel &Model) const {
    const double Spares =
        double(countWithWeights(Model.Name) + countOf(Loading, Model.Name));
    const double Members =
        double(countOf(Domain.Groups, Model.Name)) * Model.Size;
    return Members * Model.Size / (1.0 + Spares) +
           Deficits.at(Model.Name) * LoadWeight;
  }

  const IdleDomain &Domain;
  std::span<const ServedModel> Models;
  const std::map<ModelName, double> &Deficits;
  std::vector<IdleEngine> Remaining;
  std::map<ModelName, std::size_t> Loading;
  std::vector<PlannedLoad> Loads;
};

} // namespace

std::size_t sparesKept(const std::map<ModelName, std::size_t> &Groups,
                       std::span<const ServedModel> Models,
                       const ServedModel &Model) {
  std::size_t Larger = 0;
  for (const ServedModel &Other : Models)
    if (Other.Size >= MinSizeRatioForSpares * Model.Size)
      Larger += countOf(Groups, Other.Name);
  return Larger > 0 ? Larger + 1 : 0;
}

std::vector<PlannedLoad>
planLoads(const IdleDomain &Domain, std::span<const ServedModel> Models,
          const std::map<ModelName, double> &Deficits) {
  return DomainLoadPlanner(Domain, Models, Deficits).plan();
}

} // namespace coltsfoottrail
