#include "coltsfoottrail/assembly/layout.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// Loads for which a spare that fits its domain is given up. Two end together,
/// like one; with three the domain is mostly better off with its spares.
constexpr std::size_t FewLoads = 2;
/// Loads for spares come after all loads that complete a group.
constexpr double SpareRank = 100.0;
/// What one load weighs against a missing part of a model's groups.
constexpr double LoadWeight = 0.25;

/// Spares are kept for groups that are at least so many times as large: a small
/// group that is not formed costs more than a group of like size that waits.
constexpr std::uint32_t MuchLarger = 3;

std::size_t countOf(const std::map<ModelName, std::size_t> &In,
                    const ModelName &Model) {
  const auto Found = In.find(Model);
  return Found == In.end() ? 0 : Found->second;
}

/// A domain while its loads are planned.
class Planning {
public:
  Planning(const IdleDomain &Of, std::span<const ServedModel> Given,
           const std::map<ModelName, double> &Missing)
      : Domain(Of), Models(Given), Deficits(Missing), Left(Of.Idle),
        Loading(Of.Loading) {}

  std::vector<PlannedLoad> plan() {
    while (completeGroup())
      continue;
    for (const IdleEngine &Each : Left)
      stageSpare(Each);
    return std::move(Out);
  }

private:
  /// A group that could be made of what is left.
  struct Target {
    const ServedModel *Model = nullptr;
    std::size_t Loads = 0;
    double Rank = 0.0;
  };

  [[nodiscard]] std::size_t having(const ModelName &Model) const {
    return static_cast<std::size_t>(
        std::count_if(Left.begin(), Left.end(), [&](const IdleEngine &Each) {
          return Each.Has == Model;
        }));
  }

  /// Whether a spare could fill in for a member of a group of its domain.
  [[nodiscard]] bool fits(const IdleEngine &Which) const {
    return Which.Has && countOf(Domain.Groups, *Which.Has) > 0;
  }

  [[nodiscard]] std::optional<Target> target(const ServedModel &Model) const {
    const std::size_t Have = having(Model.Name) + countOf(Loading, Model.Name);
    const std::size_t Lacking = Left.size() - having(Model.Name);
    if (Have + Lacking < Model.Size + sparesKept(Domain.Groups, Models, Model))
      return std::nullopt;
    Target Out;
    Out.Model = &Model;
    Out.Loads = Model.Size - std::min<std::size_t>(Have, Model.Size);
    const auto Spares = static_cast<std::size_t>(
        std::count_if(Left.begin(), Left.end(), [&](const IdleEngine &Each) {
          return Each.Has != Model.Name && fits(Each);
        }));
    const bool GivesSparesUp = Out.Loads > Lacking - Spares;
    if (GivesSparesUp && Out.Loads > FewLoads)
      return std::nullopt;
    Out.Rank = double(Out.Loads) * LoadWeight - Deficits.at(Model.Name);
    return Out;
  }

  /// Reserves engines for the best group that can be made.
  bool completeGroup() {
    std::optional<Target> Best;
    for (const ServedModel &Each : Models)
      if (const auto Next = target(Each);
          Next && (!Best || Next->Rank < Best->Rank))
        Best = Next;
    if (!Best)
      return false;
    reserve(*Best);
    return true;
  }

  void reserve(const Target &Of) {
    const ModelName &Model = Of.Model->Name;
    std::size_t &UnderWay = Loading[Model];
    std::size_t Needed =
        Of.Model->Size - std::min<std::size_t>(UnderWay, Of.Model->Size);
    UnderWay -= Of.Model->Size - Needed;
    // Those that have the weights, then blank ones, then unfit ones, then
    // spares.
    std::stable_sort(Left.begin(), Left.end(),
                     [&](const IdleEngine &One, const IdleEngine &Other) {
                       return costOf(One, Model) < costOf(Other, Model);
                     });
    for (std::size_t Index = 0; Index < Needed; ++Index)
      if (Left[Index].Has != Model)
        Out.push_back({Left[Index].Name, Model, Of.Rank});
    Left.erase(Left.begin(), Left.begin() + std::ptrdiff_t(Needed));
  }

  [[nodiscard]] int costOf(const IdleEngine &Which,
                           const ModelName &Model) const {
    if (Which.Has == Model)
      return 0;
    if (!Which.Has)
      return 1;
    return fits(Which) ? 3 : 2;
  }

  void stageSpare(const IdleEngine &Which) {
    if (fits(Which))
      return;
    const ServedModel *Wanted = nullptr;
    for (const ServedModel &Each : Models)
      if (Wanted == nullptr || use(Each) > use(*Wanted))
        Wanted = &Each;
    if (Wanted == nullptr || Which.Has == Wanted->Name)
      return;
    if (Which.Has && countOf(Domain.Groups, Wanted->Name) == 0)
      return;
    ++Loading[Wanted->Name];
    Out.push_back({Which.Name, Wanted->Name, SpareRank});
  }

  /// How much another spare of a model is worth: how often a member is lost,
  /// times the engines that idle then, for each spare that is there already.
  [[nodiscard]] double use(const ServedModel &Model) const {
    const double Spares =
        double(having(Model.Name) + countOf(Loading, Model.Name));
    const double Members =
        double(countOf(Domain.Groups, Model.Name)) * Model.Size;
    return Members * Model.Size / (1.0 + Spares) +
           Deficits.at(Model.Name) * LoadWeight;
  }

  const IdleDomain &Domain;
  std::span<const ServedModel> Models;
  const std::map<ModelName, double> &Deficits;
  std::vector<IdleEngine> Left;
  std::map<ModelName, std::size_t> Loading;
  std::vector<PlannedLoad> Out;
};

} // namespace

std::size_t sparesKept(const std::map<ModelName, std::size_t> &Groups,
                       std::span<const ServedModel> Models,
                       const ServedModel &For) {
  std::size_t Larger = 0;
  for (const ServedModel &Each : Models)
    if (Each.Size >= MuchLarger * For.Size)
      Larger += countOf(Groups, Each.Name);
  return Larger > 0 ? Larger + 1 : 0;
}

std::vector<PlannedLoad>
planLoads(const IdleDomain &Domain, std::span<const ServedModel> Models,
          const std::map<ModelName, double> &Deficits) {
  return Planning(Domain, Models, Deficits).plan();
}

} // namespace coltsfoottrail
