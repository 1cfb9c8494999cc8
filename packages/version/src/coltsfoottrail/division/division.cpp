#include "coltsfoottrail/division/division.hpp"

#include "coltsfoottrail/division/capacity.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace coltsfoottrail {

namespace {

double smallestGroup(const EngineProfile &Engine) {
  const auto Smallest =
      std::min_element(Engine.Models.begin(), Engine.Models.end(),
                       [](const ServedModel &Left, const ServedModel &Right) {
                         return Left.Size < Right.Size;
                       });
  return Smallest->Size;
}

/// Bounds and rank of a model, without its need.
EngineClaim claimOf(const DivisionInput &Input, const ServedModel &Model) {
  EngineClaim Claim;
  ModelLimits Bounds;
  if (const auto It = Input.Limits.find(Model.Name); It != Input.Limits.end())
    Bounds = It->second;
  const double MinGroups = std::max<std::uint32_t>(1, Bounds.MinGroups);
  Claim.Min = MinGroups * Model.Size;
  Claim.Max = std::max(MinGroups, double(Bounds.MaxGroups)) * Model.Size;
  if (const auto It = Input.Demand.find(Model.Name); It != Input.Demand.end())
    Claim.Rank = It->second.Rank;
  return Claim;
}

/// @return The most urgent rank, if models differ in theirs.
std::optional<std::uint32_t> urgentRank(const DivisionInput &Input) {
  std::optional<std::uint32_t> Lowest;
  bool Differs = false;
  for (const auto &[Model, Demand] : Input.Demand) {
    Differs = Differs || (Lowest && Demand.Rank != *Lowest);
    Lowest = std::min(Lowest.value_or(Demand.Rank), Demand.Rank);
  }
  return Differs ? Lowest : std::nullopt;
}

/// Whether a model has too few or too many engines for its bounds and would be
/// brought nearer to them.
/// @param Margin Engines by which a bound may be missed.
bool isOutsideBounds(const EngineClaim &Claim, double Margin, double Present,
                     double Gain) {
  return (Gain >= Margin && Present <= Claim.Min - Margin) ||
         (-Gain >= Margin && Present >= Claim.Max + Margin);
}

double totalNeed(const std::vector<EngineClaim> &Claims) {
  return std::accumulate(
      Claims.begin(), Claims.end(), 0.0,
      [](double Sum, const EngineClaim &Claim) { return Sum + Claim.Needed; });
}

} // namespace

std::string_view outcomeText(DivisionOutcome Outcome) noexcept {
  switch (Outcome) {
  case DivisionOutcome::Starting:
    return "starting";
  case DivisionOutcome::NotCurrent:
    return "not-current";
  case DivisionOutcome::Held:
    return "held";
  case DivisionOutcome::WithinHysteresis:
    return "within-hysteresis";
  case DivisionOutcome::Moved:
    break;
  }
  return "moved";
}

EngineTargets EngineDivision::update(const DivisionInput &Input,
                                     TimePoint Now) {
  restartIfChanged(Input.Engine);
  const bool IsCurrent = recordWork(Input, Now);
  DivisionOutcome Outcome = DivisionOutcome::NotCurrent;
  if (IsCurrent)
    Outcome = decide(Input, Now);
  if (Outcome != DivisionOutcome::WithinHysteresis) {
    Shortage.reset();
    Imbalance.reset();
  }
  return targets(Input, IsCurrent, Outcome);
}

void EngineDivision::restartIfChanged(const EngineProfile &Engine) {
  std::map<ModelName, double> Declared;
  for (const ServedModel &Model : Engine.Models)
    Declared[Model.Name] = Model.Share;
  if (Declared == Configured)
    return;
  *this = EngineDivision(Times);
  Shares = Declared;
  Configured = std::move(Declared);
}

/// @return Whether the work of all models is known.
bool EngineDivision::recordWork(const DivisionInput &Input, TimePoint Now) {
  std::map<ModelName, double> Work;
  bool IsComplete = Input.IsCurrent && Input.UsableEngines > 0.0;
  for (const ServedModel &Model : Input.Engine.Models) {
    const auto It = Input.Demand.find(Model.Name);
    const std::optional<double> Groups =
        offeredGroups(Input.Engine, Model,
                      It == Input.Demand.end() ? ModelDemand{} : It->second);
    IsComplete = IsComplete && Groups;
    Work[Model.Name] = Groups.value_or(0.0);
  }
  if (!IsComplete) {
    if (!IsKnown)
      KnownSince.reset();
    return false;
  }
  Load.record(Work, Now);
  Offered = std::move(Work);
  if (!KnownSince)
    KnownSince = Now;
  return true;
}

DivisionOutcome EngineDivision::decide(const DivisionInput &Input,
                                       TimePoint Now) {
  if (!IsKnown && !isDemandKnown(Input, Now))
    return DivisionOutcome::Starting;
  const bool IsFirst = !std::exchange(IsKnown, true);
  followShortage(Input, Now);
  if (Input.IsHeld)
    return DivisionOutcome::Held;
  const Change Proposed = proposal(Input, Now);
  const bool IsDue = hasLasted(Proposed, Input.UsableEngines, Now);
  const bool Moves = IsFirst ? Proposed.Reason != Cause::None
                             : IsDue && !isTooSoon(Input, Proposed, Now);
  if (!Moves)
    return DivisionOutcome::WithinHysteresis;
  apply(Input, Proposed, Now);
  return DivisionOutcome::Moved;
}

std::vector<EngineClaim> EngineDivision::claims(const DivisionInput &Input,
                                                TimePoint Now) const {
  const std::optional<std::uint32_t> Urgent = urgentRank(Input);
  std::vector<EngineClaim> Claims;
  for (const ServedModel &Model : Input.Engine.Models) {
    EngineClaim Claim = claimOf(Input, Model);
    Claim.Needed = neededGroups(Load.adjustedPeak(Model.Name)) * Model.Size;
    Claim.Expected = std::max(
        Claim.Needed, neededGroups(Load.longTerm(Model.Name)) * Model.Size);
    if (Claim.Rank == Urgent)
      Claim.Expected *= Times.UrgentHeadroom;
    if (!isLevelKnown(Now))
      Claim.Rank = 0;
    const double Present = Shares.at(Model.Name) * Input.UsableEngines;
    if (!mustYield(Now))
      Claim.Min =
          std::clamp(std::min(Present, Claim.Needed), Claim.Min, Claim.Max);
    Claims.push_back(Claim);
  }
  return Claims;
}

void EngineDivision::followShortage(const DivisionInput &Input, TimePoint Now) {
  const double Needed = totalNeed(recentClaims(Input, claims(Input, Now)));
  if (Needed < Times.FitFraction * Input.UsableEngines)
    ShortSince.reset();
  else if (!ShortSince && Needed > Input.UsableEngines)
    ShortSince = Now;
}

bool EngineDivision::isDemandKnown(const DivisionInput &Input,
                                   TimePoint Now) const {
  const bool Fits = totalNeed(claims(Input, Now)) <= Input.UsableEngines;
  return isLevelKnown(Now) || (Fits && Now - *KnownSince >= Times.KnownAfter);
}

EngineDivision::Change EngineDivision::proposal(const DivisionInput &Input,
                                                TimePoint Now) const {
  const std::vector<EngineClaim> Claims = claims(Input, Now);
  if (totalNeed(Claims) <= 0.0)
    return {};
  Change Proposed;
  Proposed.Engines = allocateEngines(Claims, Input.UsableEngines);
  findCause(Input, Claims, Proposed);
  double LargestGain = 0.0;
  for (std::size_t Index = 0; Index < Claims.size(); ++Index) {
    const ModelName &Name = Input.Engine.Models[Index].Name;
    const double Gain =
        Proposed.Engines[Index] - Shares.at(Name) * Input.UsableEngines;
    if (Gain <= LargestGain)
      continue;
    LargestGain = Gain;
    Proposed.Gainer = Name;
  }
  return Proposed;
}

/// The claims with the needs of now instead of those that fall slowly.
std::vector<EngineClaim>
EngineDivision::recentClaims(const DivisionInput &Input,
                             std::vector<EngineClaim> Claims) const {
  for (std::size_t Index = 0; Index < Claims.size(); ++Index) {
    const ServedModel &Model = Input.Engine.Models[Index];
    Claims[Index].Needed =
        neededGroups(Load.adjustedRecent(Model.Name)) * Model.Size;
  }
  return Claims;
}

void EngineDivision::findCause(const DivisionInput &Input,
                               const std::vector<EngineClaim> &Claims,
                               Change &Proposed) const {
  const double OneGroup = smallestGroup(Input.Engine);
  const double Substantial =
      std::max(OneGroup, Times.ShortageFraction * Input.UsableEngines);
  const double Large = Times.LargeShortage * Input.UsableEngines;
  const std::vector<EngineClaim> Recent = recentClaims(Input, Claims);
  const std::vector<double> RecentEngines =
      allocateEngines(Recent, Input.UsableEngines);
  double Moved = 0.0;
  double LargestLack = 0.0;
  for (std::size_t Index = 0; Index < Claims.size(); ++Index) {
    const ServedModel &Model = Input.Engine.Models[Index];
    const double Present = Shares.at(Model.Name) * Input.UsableEngines;
    const double Gain = Proposed.Engines[Index] - Present;
    Moved += std::max(0.0, Gain);
    const double Lack = std::min(
        {Gain, RecentEngines[Index] - Present, Recent[Index].Needed - Present});
    if (Lack >= Substantial)
      LargestLack = std::max(LargestLack, Lack);
    if (isOutsideBounds(Claims[Index], Model.Size / 2.0, Present, Gain))
      LargestLack = std::max(LargestLack, Large);
  }
  Proposed.Lack = LargestLack;
  if (LargestLack > 0.0)
    Proposed.Reason = Cause::Shortage;
  else if (Moved >=
           std::max(OneGroup, Times.ImbalanceFraction * Input.UsableEngines))
    Proposed.Reason = Cause::Imbalance;
}

/// @param Engines Number of usable engines.
bool EngineDivision::hasLasted(const Change &Proposed, double Engines,
                               TimePoint Now) {
  const auto Follow = [&](std::optional<Streak> &Lasting, bool Holds) {
    if (!Holds)
      Lasting.reset();
    else if (!Lasting || Lasting->Gainer != Proposed.Gainer)
      Lasting = Streak{Proposed.Gainer, Now};
    if (Lasting) {
      Lasting->TotalLack += Proposed.Lack;
      ++Lasting->Count;
    }
  };
  Follow(Shortage, Proposed.Reason == Cause::Shortage);
  Follow(Imbalance, Proposed.Reason != Cause::None);
  if (Imbalance && Now - Imbalance->Since >= Times.ImbalanceDelay)
    return true;
  if (!Shortage)
    return false;
  const double MeanLack = Shortage->TotalLack / Shortage->Count;
  const double Smallness =
      std::max(1.0, Times.LargeShortage * Engines / MeanLack);
  return Now - Shortage->Since >= Times.ShortageDelay * (Smallness * Smallness);
}

bool EngineDivision::isTooSoon(const DivisionInput &Input,
                               const Change &Proposed, TimePoint Now) const {
  if (ChangedAt && Now - *ChangedAt < Times.MinInterval)
    return true;
  for (std::size_t Index = 0; Index < Proposed.Engines.size(); ++Index) {
    const ModelName &Name = Input.Engine.Models[Index].Name;
    const double Gain =
        Proposed.Engines[Index] - Shares.at(Name) * Input.UsableEngines;
    const auto It = LastMoves.find(Name);
    if (std::abs(Gain) >= 1.0 && It != LastMoves.end() &&
        It->second.IsRise != (Gain > 0.0) &&
        Now - It->second.At < Times.MinStay)
      return true;
  }
  return false;
}

void EngineDivision::apply(const DivisionInput &Input, const Change &Proposed,
                           TimePoint Now) {
  for (std::size_t Index = 0; Index < Proposed.Engines.size(); ++Index) {
    const ModelName &Name = Input.Engine.Models[Index].Name;
    const double Share = Proposed.Engines[Index] / Input.UsableEngines;
    if (std::abs(Share - Shares.at(Name)) * Input.UsableEngines >= 1.0)
      LastMoves[Name] = {Now, Share > Shares.at(Name)};
    Shares[Name] = Share;
  }
  ChangedAt = Now;
}

EngineTargets EngineDivision::targets(const DivisionInput &Input,
                                      bool IsCurrent, DivisionOutcome Outcome) {
  EngineTargets Result;
  Account.clear();
  for (const ServedModel &Model : Input.Engine.Models) {
    ModelAccount Entry;
    Entry.Share = Shares.at(Model.Name);
    Entry.Outcome = Outcome;
    ModelTarget Target{Entry.Share, std::nullopt};
    if (IsCurrent) {
      Entry.OfferedGroups = Offered.at(Model.Name);
      Entry.NeededGroups = neededGroups(Load.recent(Model.Name));
    }
    if (IsCurrent && IsKnown)
      Target.NeededGroups = Entry.NeededGroups;
    Account[Model.Name] = Entry;
    Result[Model.Name] = Target;
  }
  return Result;
}

} // namespace coltsfoottrail
