#include "coltsfoottrail/assembly/stagingplan.hpp"

#include <algorithm>
#include <tuple>

namespace coltsfoottrail {

namespace {

double deficitOf(const std::map<ModelName, double> &Deficits,
                 const ModelName &Model) {
  const auto Entry = Deficits.find(Model);
  return Entry == Deficits.end() ? 0.0 : Entry->second;
}

const ServedModel *secondModel(const ModelName &First,
                               std::span<const ServedModel> Models,
                               const std::map<ModelName, double> &Deficits) {
  const ServedModel *Best = nullptr;
  for (const ServedModel &Model : Models)
    if (Model.Name != First &&
        (Best == nullptr ||
         deficitOf(Deficits, Model.Name) > deficitOf(Deficits, Best->Name)))
      Best = &Model;
  return Best;
}

/// A staging and its place in the order.
struct RankedStaging {
  double Deficit = 0.0;
  /// Number of stagings for the same model that its domain begins before.
  std::size_t Turn = 0;
  PlannedStaging Staging;
};

} // namespace

std::vector<PlannedStaging>
planStaging(std::span<const std::vector<WarmEngine>> Domains,
            std::span<const ServedModel> Models,
            const std::map<ModelName, double> &Deficits) {
  std::vector<RankedStaging> Ranked;
  for (const std::vector<WarmEngine> &Engines : Domains) {
    std::map<ModelName, std::size_t> Turns;
    for (const WarmEngine &Engine : Engines) {
      const ServedModel *const Second =
          secondModel(Engine.Model, Models, Deficits);
      if (Second == nullptr)
        continue;
      const std::size_t Turn = Turns[Second->Name]++;
      if (!Engine.HoldsSecond)
        Ranked.push_back({deficitOf(Deficits, Second->Name),
                          Turn,
                          {Engine.Name, Second->Name}});
    }
  }
  std::stable_sort(Ranked.begin(), Ranked.end(),
                   [](const RankedStaging &Left, const RankedStaging &Right) {
                     return std::tuple(-Left.Deficit, Left.Turn) <
                            std::tuple(-Right.Deficit, Right.Turn);
                   });
  std::vector<PlannedStaging> Stagings;
  for (RankedStaging &Entry : Ranked)
    Stagings.push_back(std::move(Entry.Staging));
  return Stagings;
}

} // namespace coltsfoottrail
