#include "coltsfoottrail/assembly/conversion.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace coltsfoottrail {

namespace {

/// Part of its target that a model keeps when it gives up groups to complete a
/// larger group.
constexpr double MinFractionLeft = 0.5;
/// Tolerance of comparisons of group numbers.
constexpr double Rounding = 1e-6;

std::uint32_t countOf(const CountByModel &Counts, const ModelName &Model) {
  const auto Entry = Counts.find(Model);
  return Entry == Counts.end() ? 0 : Entry->second;
}

double targetGroups(const ServedModel &Model, const EngineTargets &Targets,
                    double UsableEngines) {
  const auto Target = Targets.find(Model.Name);
  const double Share = Target == Targets.end() ? 0.0 : Target->second.Share;
  return UsableEngines * Share / Model.Size;
}

/// A set of groups of one domain that could be closed.
struct Option {
  PlannedConversion Conversion;
  CountByModel ClosedByModel;
  std::uint32_t Idle = 0;
};

/// State of choosing the conversions.
class ConversionPlanner {
public:
  explicit ConversionPlanner(const ConversionInput &Source)
      : Input(Source), Groups(Source.Groups), EnginesLeft(Source.MaxEngines) {}

  ConversionPlan plan() {
    std::vector<const ServedModel *> Receivers;
    for (const ServedModel &Model : Input.Models)
      Receivers.push_back(&Model);
    std::stable_sort(Receivers.begin(), Receivers.end(),
                     [](const ServedModel *Left, const ServedModel *Right) {
                       return Left->Size > Right->Size;
                     });
    for (const ServedModel *const Receiver : Receivers)
      convertFor(*Receiver);
    return std::move(Result);
  }

private:
  void convertFor(const ServedModel &Receiver) {
    while (const std::uint32_t Missing =
               missingGroups(Receiver, Input.Targets, Input.UsableEngines,
                             countOf(Groups, Receiver.Name))) {
      Obstacle = ConversionObstacle::NoWeights;
      const std::optional<Option> Best = bestOption(Receiver, Missing);
      if (!Best) {
        Result.Obstacles.emplace(Receiver.Name, Obstacle);
        return;
      }
      apply(Receiver, *Best);
    }
  }

  [[nodiscard]] std::optional<Option> bestOption(const ServedModel &Receiver,
                                                 std::uint32_t Missing) {
    const auto Rank = [](const Option &Candidate) {
      return std::tuple(Candidate.Conversion.Closed.size(), Candidate.Idle);
    };
    std::optional<Option> Best;
    for (std::size_t Index = 0; Index < Input.Domains.size(); ++Index) {
      if (UsedDomains.contains(Index))
        continue;
      std::optional<Option> Candidate = optionIn(Receiver, Missing, Index);
      if (Candidate && (!Best || Rank(*Candidate) < Rank(*Best)))
        Best = std::move(Candidate);
    }
    return Best;
  }

  /// Closes as few groups of a domain as complete a group of the receiver.
  [[nodiscard]] std::optional<Option> optionIn(const ServedModel &Receiver,
                                               std::uint32_t Missing,
                                               std::size_t Index) {
    const ConversionDomain &Domain = Input.Domains[Index];
    const std::uint32_t Waiting = countOf(Domain.FreeHolding, Receiver.Name);
    std::vector<const DonorGroup *> Donors;
    for (const DonorGroup &Group : Domain.Groups)
      if (Group.Model != Receiver.Name &&
          countOf(Group.Holding, Receiver.Name) > 0)
        Donors.push_back(&Group);
    std::stable_sort(Donors.begin(), Donors.end(),
                     [&](const DonorGroup *Left, const DonorGroup *Right) {
                       return countOf(Left->Holding, Receiver.Name) >
                              countOf(Right->Holding, Receiver.Name);
                     });
    Option Candidate;
    Candidate.Conversion.Domain = Index;
    Candidate.Conversion.Model = Receiver.Name;
    std::uint32_t Available = Waiting;
    for (const DonorGroup *const Donor : Donors) {
      Candidate.Conversion.Closed.push_back(Donor->Epoch);
      Candidate.Conversion.Engines += Donor->Size;
      ++Candidate.ClosedByModel[Donor->Model];
      Available += countOf(Donor->Holding, Receiver.Name);
      if (Available >= Receiver.Size)
        break;
    }
    if (Donors.empty() || Available < Receiver.Size)
      return std::nullopt;
    if (!mayGiveUp(Receiver, Candidate, Waiting)) {
      raise(ConversionObstacle::NoSurplus);
      return std::nullopt;
    }
    if (Domain.IsPaused) {
      raise(ConversionObstacle::Paused);
      return std::nullopt;
    }
    if (Candidate.Conversion.Engines > EnginesLeft) {
      raise(ConversionObstacle::TooManyAtOnce);
      return std::nullopt;
    }
    Candidate.Conversion.Gained = std::min(Missing, Available / Receiver.Size);
    Candidate.Idle = Domain.Free + Candidate.Conversion.Engines -
                     Candidate.Conversion.Gained * Receiver.Size;
    return Candidate;
  }

  [[nodiscard]] bool mayGiveUp(const ServedModel &Receiver,
                               const Option &Candidate,
                               std::uint32_t Waiting) const {
    const bool PutsMoreToWork = Waiting > Candidate.Conversion.Engines;
    return std::all_of(
        Candidate.ClosedByModel.begin(), Candidate.ClosedByModel.end(),
        [&](const auto &Entry) {
          const auto Donor =
              std::find_if(Input.Models.begin(), Input.Models.end(),
                           [&](const ServedModel &Model) {
                             return Model.Name == Entry.first;
                           });
          if (Donor == Input.Models.end())
            return false;
          const double Target = std::floor(
              targetGroups(*Donor, Input.Targets, Input.UsableEngines) +
              Rounding);
          const bool IsSmaller = Donor->Size < Receiver.Size;
          const double Kept =
              PutsMoreToWork && IsSmaller ? Target * MinFractionLeft : Target;
          const double Left =
              double(countOf(Groups, Entry.first)) - double(Entry.second);
          return Left + Rounding >= std::max(1.0, Kept);
        });
  }

  void apply(const ServedModel &Receiver, const Option &Chosen) {
    Groups[Receiver.Name] += Chosen.Conversion.Gained;
    for (const auto &[Model, Count] : Chosen.ClosedByModel)
      Groups[Model] -= Count;
    EnginesLeft -= Chosen.Conversion.Engines;
    UsedDomains.insert(Chosen.Conversion.Domain);
    Result.Conversions.push_back(Chosen.Conversion);
  }

  /// Keeps the obstacle that is closest to a conversion.
  void raise(ConversionObstacle Other) { Obstacle = std::max(Obstacle, Other); }

  const ConversionInput &Input;
  CountByModel Groups;
  std::uint32_t EnginesLeft;
  std::set<std::size_t> UsedDomains;
  ConversionObstacle Obstacle = ConversionObstacle::NoWeights;
  ConversionPlan Result;
};

} // namespace

std::string_view describe(ConversionObstacle Obstacle) noexcept {
  switch (Obstacle) {
  case ConversionObstacle::NoSurplus:
    return "no other model has a group to spare";
  case ConversionObstacle::NoWeights:
    return "too few engines of one domain hold the weights";
  case ConversionObstacle::Paused:
    return "the domains that could have just converted groups";
  case ConversionObstacle::TooManyAtOnce:
    return "too many engines are out of service for conversions";
  case ConversionObstacle::RecordsUnsettled:
    break;
  }
  return "records may be missing after an outage of the store";
}

std::uint32_t missingGroups(const ServedModel &Model,
                            const EngineTargets &Targets, double UsableEngines,
                            std::uint32_t Groups) {
  const auto Target = Targets.find(Model.Name);
  if (Target == Targets.end() || Target->second.Share <= 0.0)
    return 0;
  double Wanted = std::max(
      1.0, std::floor(targetGroups(Model, Targets, UsableEngines) + Rounding));
  if (const std::optional<double> &Needed = Target->second.NeededGroups)
    Wanted = std::min(Wanted, std::max(1.0, std::ceil(*Needed - Rounding)));
  return Wanted > Groups ? static_cast<std::uint32_t>(Wanted) - Groups : 0;
}

ConversionPlan planConversions(const ConversionInput &Input) {
  return ConversionPlanner(Input).plan();
}

} // namespace coltsfoottrail
