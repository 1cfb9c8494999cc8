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
  if (Input.IsHeld)
    return DivisionOutcome::Held;
  const Change Proposed = proposal(Input, Now);
  const bool IsDue = hasLasted(Proposed, Now);
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
    Claim.Needed = neededGroups(Load.adjusted(Model.Name)) * Model.Size;
    Claim.Expected = std::max(
        Claim.Needed, neededGroups(Load.longTerm(Model.Name)) * Model.Size);
    if (Claim.Rank == Urgent)
      Claim.Expected *= Times.UrgentHeadroom;
    if (!isLevelKnown(Now))
      Claim.Rank = 0;
    Claims.push_back(Claim);
  }
  return Claims;
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
  Proposed.Reason = causeOf(Input, Claims, Proposed.Engines);
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

EngineDivision::Cause
EngineDivision::causeOf(const DivisionInput &Input,
                        const std::vector<EngineClaim> &Claims,
                        const std::vector<double> &Engines) const {
  const double OneGroup = smallestGroup(Input.Engine);
  double Moved = 0.0;
  bool IsShort = false;
  for (std::size_t Index = 0; Index < Claims.size(); ++Index) {
    const ServedModel &Model = Input.Engine.Models[Index];
    const EngineClaim &Claim = Claims[Index];
    const double Present = Shares.at(Model.Name) * Input.UsableEngines;
    const double Gain = Engines[Index] - Present;
    const double HalfGroup = Model.Size / 2.0;
    const double Substantial =
        std::max(HalfGroup, Times.ShortageFraction * Input.UsableEngines);
    Moved += std::max(0.0, Gain);
    IsShort = IsShort || (Gain >= Substantial && Present < Claim.Needed) ||
              (Gain >= HalfGroup && Present <= Claim.Min - HalfGroup) ||
              (-Gain >= HalfGroup && Present >= Claim.Max + HalfGroup);
  }
  if (IsShort)
    return Cause::Shortage;
  return Moved >= std::max(OneGroup,
                           Times.ImbalanceFraction * Input.UsableEngines)
             ? Cause::Imbalance
             : Cause::None;
}

bool EngineDivision::hasLasted(const Change &Proposed, TimePoint Now) {
  const auto Follow = [&](std::optional<Streak> &Lasting, bool Holds,
                          Duration Delay) {
    if (!Holds)
      Lasting.reset();
    else if (!Lasting || Lasting->Gainer != Proposed.Gainer)
      Lasting = {Proposed.Gainer, Now};
    return Lasting && Now - Lasting->Since >= Delay;
  };
  const bool IsShort =
      Follow(Shortage, Proposed.Reason == Cause::Shortage, Times.ShortageDelay);
  const bool IsUneven =
      Follow(Imbalance, Proposed.Reason != Cause::None, Times.ImbalanceDelay);
  return IsShort || IsUneven;
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
