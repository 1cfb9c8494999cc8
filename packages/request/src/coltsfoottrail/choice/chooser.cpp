#include "coltsfoottrail/choice/chooser.hpp"

#include "coltsfoottrail/choice/forecast.hpp"
#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Weight, in samples, of the pool's mean in an endpoint's estimate.
constexpr double PriorWeight = 3.0;
/// Estimate before the pool's first answer; only the order of scores depends on
/// it.
constexpr double DefaultServiceSeconds = 1.0;
/// An endpoint with a failure rate of 1 counts as slower by this factor.
constexpr double FailureFactor = 8.0;
/// A refusal counts as an answer slower than the pool's mean by this factor.
constexpr double RefusalFactor = 2.0;
/// Samples are capped at this many times the pool's mean.
constexpr double SampleCap = 10.0;
/// Fraction of the cache saving expected at the prefix's position on the ring.
constexpr double RingSavingFraction = 0.5;
/// Number of points on the ring that are examined.
constexpr std::size_t MaxRingPoints = 3;
/// A probe requires a request whose time to its deadline is at least this many
/// times the pool's mean.
constexpr double ProbeTimeFactor = 5.0;
/// How long the probe of a failing endpoint waits for a repeatable request.
constexpr Duration RepeatableProbeWait = seconds(10);
constexpr double MinCost = 1e-9;
/// Failure rate from which an endpoint's cache hints are ignored.
constexpr double MaxHintFailureRate = 0.25;
/// Samples with and without a hint needed before the learned saving is used.
constexpr double MinSavingSamples = 20.0;
/// Limits of the learned saving.
constexpr double MinSaving = 0.1;
constexpr double MaxSaving = 0.7;

double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

EstimatedWaitPolicy settingsOf(const ChoicePolicy &Policy) {
  const auto *const Settings = std::get_if<EstimatedWaitPolicy>(&Policy);
  return Settings != nullptr ? *Settings : EstimatedWaitPolicy{};
}

} // namespace

Chooser::Chooser(DataCentreName OwnDataCentre, ChoicePolicy InitialPolicy,
                 std::uint64_t Seed)
    : Policy(InitialPolicy), Rng(Seed), Table(std::move(OwnDataCentre)),
      Ejections(settingsOf(InitialPolicy).Ejection),
      Hints(settingsOf(InitialPolicy).HintSets),
      Saving(settingsOf(InitialPolicy).CacheSaving) {}

void Chooser::configure(const Pool &NewPool) {
  Pace = NewPool.Pace;
  LimitsVersion.reset();
  Limited.clear();
  for (const CandidateId Id : Table.configure(NewPool)) {
    Ejections.release(Table, Id);
    Table.drop(Id);
  }
  Failures.resize(Table.dataCentres(), recentFailures());
  Ring.clear();
  for (const CandidateId Id : Table.all())
    Ring.add(Table.find(Id)->Spec.Key, Id);
  Ring.sort();
}

std::optional<CandidateId> Chooser::find(std::string_view Key) const {
  return Table.find(Key);
}

void Chooser::setShare(CandidateId Id, std::uint32_t Share) {
  Candidate *const Endpoint = Table.find(Id);
  if (Endpoint == nullptr || !Endpoint->Current)
    return;
  Endpoint->Share = Share;
  Table.relist(Id);
}

bool Chooser::hasRoom() const noexcept {
  return !Table.listed(Listing::Near).empty() ||
         !Table.listed(Listing::Far).empty() ||
         !Table.listed(Listing::Probe).empty();
}

bool Chooser::hasRoomBeside(CandidateId Id) const noexcept {
  return std::ranges::any_of(
      std::array{Listing::Near, Listing::Far, Listing::Probe},
      [&](Listing List) {
        const std::span<const CandidateId> Open = Table.listed(List);
        return Open.size() > 1 || (!Open.empty() && Open.front() != Id);
      });
}

// A limited endpoint uses as many slots as its rate keeps busy.
Throughput Chooser::throughput() const noexcept {
  double Slots = static_cast<double>(Table.slots());
  for (const CandidateId Id : Limited) {
    const Candidate *const Endpoint = Table.find(Id);
    if (Endpoint == nullptr || !Endpoint->SendRate || Service.mean() <= 0.0)
      continue;
    const double Busy = *Endpoint->SendRate * Service.mean();
    Slots -= std::max(0.0, double(Endpoint->CountedSlots) - Busy);
  }
  return Throughput{std::max(Slots, 0.0), Service.mean()};
}

double Chooser::room(std::int32_t Reserved, TimePoint Now) const {
  double Slots = 0.0;
  for (const CandidateId Id : Table.all()) {
    const Candidate &Endpoint = *Table.find(Id);
    if (Endpoint.isUnwilling())
      continue;
    const double Ahead = requestsAhead(Endpoint, ChoiceQuery{}, Now);
    Slots += std::max(0.0, double(Endpoint.Bound) - Reserved - Ahead);
  }
  return Slots;
}

std::uint64_t Chooser::limitsVersion() const noexcept {
  return (RateLimits ? RateLimits->version() : 0) +
         (Availability ? Availability->version() : 0);
}

bool Chooser::isLimited(const Candidate &Endpoint) const {
  const std::string &Process = Endpoint.Spec.Process;
  return (RateLimits && RateLimits->isLimited(Process)) ||
         (Availability && Availability->isRestricted(Process));
}

void Chooser::findLimited() {
  LimitsVersion = limitsVersion();
  Limited.clear();
  for (const CandidateId Id : Table.all()) {
    const Candidate &Endpoint = *Table.find(Id);
    if (isLimited(Endpoint))
      Limited.push_back(Id);
    else if (Endpoint.isRestricted())
      applyLimits(Id, TimePoint{});
  }
}

void Chooser::updateLimits(const RateShare &Share, TimePoint Now) {
  LimitShare = Share;
  if (LimitsVersion != limitsVersion())
    findLimited();
  for (const CandidateId Id : Limited)
    applyLimits(Id, Now);
}

void Chooser::applyLimits(CandidateId Id, TimePoint Now) {
  Candidate &Endpoint = *Table.find(Id);
  const std::string &Process = Endpoint.Spec.Process;
  const std::optional<RatePermit> Rate =
      RateLimits ? RateLimits->permit(Process, LimitShare, Now) : std::nullopt;
  const std::optional<SendPermit> Permit =
      Availability ? Availability->permit(Process, Now) : std::nullopt;
  Endpoint.SendRate = Rate ? std::optional(Rate->PerSecond) : std::nullopt;
  Endpoint.Leaves = Permit && Permit->Leaves;
  Endpoint.BacksOff = Permit && Permit->BacksOff;
  Endpoint.Resumes = Permit && !Permit->BacksOff;
  const TimePoint NextAt = std::max(Rate ? Rate->NextAt : TimePoint{},
                                    Permit ? Permit->NextAt : TimePoint{});
  Endpoint.HeldUntil =
      NextAt > Now ? std::optional<TimePoint>(NextAt) : std::nullopt;
  Table.relist(Id);
}

std::size_t Chooser::backsOff() const noexcept {
  return std::size_t(std::ranges::count_if(Limited, [&](CandidateId Id) {
    const Candidate &Endpoint = *Table.find(Id);
    return Endpoint.BacksOff && !Endpoint.Leaves && Endpoint.Share > 0;
  }));
}

bool Chooser::allBackOff() const noexcept {
  return Table.usable() == 0 && backsOff() > 0;
}

bool Chooser::allLimited() const noexcept {
  const auto Usable = std::ranges::count_if(Limited, [&](CandidateId Id) {
    const Candidate &Endpoint = *Table.find(Id);
    return Endpoint.CountedSlots > 0 && Endpoint.SendRate;
  });
  return std::uint64_t(Usable) == Table.usable() &&
         (Usable > 0 || backsOff() > 0);
}

std::optional<TimePoint> Chooser::earliestPermit() const noexcept {
  if (!Table.listed(Listing::Probe).empty())
    return std::nullopt;
  std::uint64_t HeldUsable = 0;
  std::optional<TimePoint> Earliest;
  for (const CandidateId Id : Limited) {
    const Candidate &Endpoint = *Table.find(Id);
    if (!Endpoint.HeldUntil || Endpoint.Leaves || Endpoint.Share == 0)
      continue;
    HeldUsable += Endpoint.CountedSlots > 0 ? 1U : 0U;
    if (!Earliest || *Endpoint.HeldUntil < *Earliest)
      Earliest = Endpoint.HeldUntil;
  }
  return HeldUsable == Table.usable() ? Earliest : std::nullopt;
}

Duration Chooser::resumeDelay(std::size_t Ahead) const {
  const auto Resuming = std::ranges::count_if(Limited, [&](CandidateId Id) {
    const Candidate &Endpoint = *Table.find(Id);
    return (Endpoint.BacksOff || Endpoint.Resumes) && Endpoint.Share > 0;
  });
  if (Resuming == 0)
    return Duration::zero();
  return EndpointAvailability::resumeDelay(1.0 +
                                           double(Ahead) / double(Resuming));
}

void Chooser::countWithheld() const {
  for (const CandidateId Id : Limited) {
    const Candidate &Endpoint = *Table.find(Id);
    if (Endpoint.HeldUntil && Endpoint.SendRate)
      RateLimits->recordWithheld(Endpoint.Spec.Process);
    if (Endpoint.BacksOff)
      Availability->recordWithheld(Endpoint.Spec.Process);
  }
}

std::optional<CandidateId> Chooser::choose(const ChoiceQuery &Query,
                                           TimePoint Now) {
  advance(Now);
  countWithheld();
  HomeMissed = AwayReason::None;
  const std::optional<CandidateId> Chosen = std::visit(
      [&](const auto &Settings) { return pick(Settings, Query, Now); }, Policy);
  Away = Chosen ? awayReason(*Chosen) : AwayReason::None;
  return Chosen;
}

bool Chooser::eligible(CandidateId Id, const ChoiceQuery &Query) const {
  const Candidate &Endpoint = *Table.find(Id);
  return Endpoint.open() && Query.Avoid != Id &&
         !(Query.Suspect && Endpoint.Suspects > 0);
}

std::optional<CandidateId> Chooser::pick(const EstimatedWaitPolicy &Settings,
                                         const ChoiceQuery &Query,
                                         TimePoint Now) {
  if (const std::optional<CandidateId> Probe = probeCandidate(Query, Now))
    return Probe;
  // The search of all endpoints begins at random, since the hosts of a data
  // centre without room would otherwise all find the same one.
  if (isHomeFirst(Settings, Query)) {
    const std::optional<CandidateId> Chosen =
        pickHomeFirst(Settings, Query, Now);
    return Chosen ? Chosen : anyOther(Settings, Query, Now, Rng());
  }
  Best BestSoFar;
  if (Query.PrefixHash != 0) {
    const bool Hinted = considerHinted(Settings, Query, Now, BestSoFar);
    if (Hinted && Query.CachedOnly)
      return BestSoFar.Id;
    considerRing(Settings, Query, Now, BestSoFar);
  }
  const bool NoneNear = Table.listed(Listing::Near).empty();
  const std::uint32_t ExtraFarProbes = NoneNear ? Settings.NearProbes : 0;
  considerSampled(Listing::Near, Settings.NearProbes, Settings, Query, Now,
                  BestSoFar);
  considerSampled(Listing::Far, Settings.FarProbes + ExtraFarProbes, Settings,
                  Query, Now, BestSoFar);
  return BestSoFar.Id ? BestSoFar.Id : anyOther(Settings, Query, Now, 0);
}

/// Searches all endpoints, after none of the examined ones could be chosen.
/// @param Start Position in each list at which the search begins.
std::optional<CandidateId>
Chooser::anyOther(const EstimatedWaitPolicy &Settings, const ChoiceQuery &Query,
                  TimePoint Now, std::uint64_t Start) const {
  return Settings.FullByLoad ? anyBelowBound(Settings, Query, Now, Start)
                             : anyEligible(Query);
}

AwayReason Chooser::awayReason(CandidateId Chosen) const {
  const Candidate &Endpoint = *Table.find(Chosen);
  if (Endpoint.IsNear)
    return AwayReason::None;
  if (Endpoint.Listed == Listing::Probe)
    return AwayReason::Probe;
  if (Table.usableNear() == 0)
    return AwayReason::NoEndpoint;
  if (Table.listed(Listing::Near).empty())
    return AwayReason::Full;
  return HomeMissed != AwayReason::None ? HomeMissed : AwayReason::Sooner;
}

bool Chooser::isHomeFirst(const EstimatedWaitPolicy &Settings,
                          const ChoiceQuery &Query) const {
  return Settings.Home && Pace.isDeclared() && Query.PrefixHash == 0 &&
         Query.FirstEventTimeLeft < Duration::max();
}

/// Forecast time to the first event at an idle endpoint, in seconds.
double Chooser::idleTimeToAnswer(const ChoiceQuery &Query) const {
  return toSeconds(firstEventAfter(Pace, EngineBacklog{}, Query.PromptTokens));
}

/// Part of an endpoint's slots that the requests ahead take.
double Chooser::loadFraction(CandidateId Id, const ChoiceQuery &Query,
                             TimePoint Now) const {
  const Candidate &Endpoint = *Table.find(Id);
  return requestsAhead(Endpoint, Query, Now) / Endpoint.Bound;
}

/// Considers endpoints of this data centre until one has room and starts the
/// request in time: two at random, whose choice spreads the requests of all
/// hosts, and neighbours in the list if neither does.
HomeFit Chooser::considerHome(const EstimatedWaitPolicy &Settings, double Bound,
                              const ChoiceQuery &Query, TimePoint Now,
                              Best &BestSoFar) {
  const std::span<const CandidateId> Open = Table.listed(Listing::Near);
  if (Open.empty())
    return HomeFit::None;
  const auto Fits = [&](const Best &Found) {
    return Found.Id && Found.Score <= Bound &&
           loadFraction(*Found.Id, Query, Now) < Settings.Home->MaxLoadFraction;
  };
  considerSampled(Listing::Near, Settings.NearProbes, Settings, Query, Now,
                  BestSoFar);
  if (Fits(BestSoFar))
    return HomeFit::InTimeWithRoom;
  const std::size_t First = Rng.below(Open.size());
  const std::size_t Count =
      std::min<std::size_t>(Open.size(), Settings.Home->MaxProbes);
  bool AllAtBound = true;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const CandidateId Id = Open[(First + Index) % Open.size()];
    Best Found;
    consider(Id, 0.0, Settings, Query, Now, Found);
    AllAtBound &= !eligible(Id, Query) || isAtBound(Id, Query, Now);
    if (Found.Id && (!BestSoFar.Id || Found.Score < BestSoFar.Score))
      BestSoFar = Found;
    if (!Fits(Found))
      continue;
    BestSoFar = Found;
    return HomeFit::InTimeWithRoom;
  }
  if (BestSoFar.Id && BestSoFar.Score <= Bound)
    return HomeFit::InTime;
  return AllAtBound ? HomeFit::None : HomeFit::Late;
}

/// Chooses by the rule of the own data centre. Between two endpoints without
/// room a request stays where it is as long as it starts in time, so that data
/// centres that are all busy do not exchange their requests.
std::optional<CandidateId>
Chooser::pickHomeFirst(const EstimatedWaitPolicy &Settings,
                       const ChoiceQuery &Query, TimePoint Now) {
  const double Bound = homeBound(*Settings.Home, idleTimeToAnswer(Query),
                                 toSeconds(Query.FirstEventTimeLeft));
  Best Home;
  const HomeFit Fit = considerHome(Settings, Bound, Query, Now, Home);
  if (Fit == HomeFit::InTimeWithRoom)
    return Home.Id;
  HomeMissed = Fit == HomeFit::Late ? AwayReason::Late : AwayReason::Full;
  const std::uint32_t ExtraFarProbes =
      Table.listed(Listing::Near).empty() ? Settings.NearProbes : 0;
  Best Far;
  considerSampled(Listing::Far, Settings.FarProbes + ExtraFarProbes, Settings,
                  Query, Now, Far);
  if (Fit == HomeFit::InTime) {
    const bool HasMoreRoom =
        Far.Id && Far.Score <= Bound &&
        loadFraction(*Far.Id, Query, Now) + Settings.Home->MinLoadDifference <
            loadFraction(*Home.Id, Query, Now);
    return HasMoreRoom ? Far.Id : Home.Id;
  }
  if (Home.Id && Far.Id)
    return Far.Score < Home.Score ? Far.Id : Home.Id;
  return Home.Id ? Home.Id : Far.Id;
}

/// Whether an endpoint's bound is reached by its estimated load.
bool Chooser::isAtBound(CandidateId Id, const ChoiceQuery &Query,
                        TimePoint Now) const {
  const Candidate &Endpoint = *Table.find(Id);
  return requestsAhead(Endpoint, Query, Now) >=
         double(Endpoint.Bound) + Query.Overcommit;
}

bool Chooser::isFull(CandidateId Id, const ChoiceQuery &Query,
                     const EstimatedWaitPolicy &Settings, TimePoint Now) const {
  const Candidate &Endpoint = *Table.find(Id);
  if (Pace.isDeclared() && Query.FirstEventTimeLeft < Duration::max() &&
      Endpoint.Load.unreadTokens(Now) > 0 &&
      timeToAnswer(Endpoint, 0.0, Query, Now) >
          toSeconds(Query.FirstEventTimeLeft))
    return true;
  return Settings.FullByLoad && isAtBound(Id, Query, Now);
}

/// Requests running at an endpoint, plus those waiting there that are served
/// before this one.
double Chooser::requestsAhead(const Candidate &Endpoint,
                              const ChoiceQuery &Query, TimePoint Now) {
  if (!Query.Late)
    if (const auto Ahead = Endpoint.Load.aheadOfFresh(Now))
      return *Ahead;
  const double Load = Endpoint.Load.load(Now);
  const double Running = std::min<double>(Load, Endpoint.Bound);
  return Running + (Load - Running) * Query.QueueAheadFraction;
}

std::optional<CandidateId>
Chooser::anyBelowBound(const EstimatedWaitPolicy &Settings,
                       const ChoiceQuery &Query, TimePoint Now,
                       std::uint64_t Start) const {
  for (const Listing List : {Listing::Near, Listing::Far}) {
    const std::span<const CandidateId> Open = Table.listed(List);
    for (std::size_t Index = 0; Index < Open.size(); ++Index) {
      const CandidateId Id = Open[(Start % Open.size() + Index) % Open.size()];
      if (eligible(Id, Query) && !isFull(Id, Query, Settings, Now))
        return Id;
    }
  }
  return std::nullopt;
}

// Failure guarded against: an ejected endpoint gets no requests, so there are
// no samples to judge it by and it stays ejected for ever. Therefore it gets
// one request at a time: one that could still be answered in time if the
// endpoint is as slow as before, and for a failing endpoint preferably one that
// may be repeated.
std::optional<CandidateId> Chooser::probeCandidate(const ChoiceQuery &Query,
                                                   TimePoint Now) const {
  const std::span<const CandidateId> Probes = Table.listed(Listing::Probe);
  if (Probes.empty() || Query.Suspect || Query.Avoid == Probes.front())
    return std::nullopt;
  const Health &Condition = Table.find(Probes.front())->Condition;
  const bool NotRepeatable =
      Condition.cause() == Health::Cause::Failing && !Query.Repeatable &&
      Now < Condition.ejectedUntil() + RepeatableProbeWait;
  const double Needed = ProbeTimeFactor * Service.mean() * Query.Cost;
  const bool TooLittleTime = toSeconds(Query.TimeToDeadline) < Needed;
  if ((NotRepeatable || TooLittleTime) && Table.usable() > 0)
    return std::nullopt;
  return Probes.front();
}

bool Chooser::considerHinted(const EstimatedWaitPolicy &Settings,
                             const ChoiceQuery &Query, TimePoint Now,
                             Best &BestSoFar) const {
  bool HasValidHint = false;
  for (const PrefixHints::Hint &Hint : Hints.setOf(Query.PrefixHash)) {
    if (!isHintValid(Hint, Query.PrefixHash, Now))
      continue;
    HasValidHint = true;
    if (isBelowCacheLoadLimit(*Table.find(Hint.Endpoint), Settings))
      consider(Hint.Endpoint, Saving, Settings, Query, Now, BestSoFar);
  }
  return HasValidHint;
}

// Failure guarded against: a data centre is lost, and requests are still sent
// to the endpoints that had their prefixes until each has failed several.
bool Chooser::isHintValid(const PrefixHints::Hint &Hint,
                          std::uint64_t PrefixHash, TimePoint Now) const {
  if (Hint.PrefixHash != PrefixHash || Hint.Expires <= Now)
    return false;
  const Candidate *const Endpoint = Table.find(Hint.Endpoint);
  return Endpoint != nullptr && Endpoint->Current && !Endpoint->isUnwilling() &&
         Endpoint->HintEpoch == Hint.Epoch &&
         failureRate(*Endpoint, Now) < MaxHintFailureRate;
}

std::vector<CandidateId> Chooser::endpointsWithPrefix(std::uint64_t PrefixHash,
                                                      TimePoint Now) const {
  std::vector<CandidateId> Result;
  for (const PrefixHints::Hint &Hint : Hints.setOf(PrefixHash))
    if (isHintValid(Hint, PrefixHash, Now))
      Result.push_back(Hint.Endpoint);
  return Result;
}

void Chooser::considerRing(const EstimatedWaitPolicy &Settings,
                           const ChoiceQuery &Query, TimePoint Now,
                           Best &BestSoFar) const {
  if (!Settings.UseRing)
    return;
  const double ExpectedSaving = Saving * RingSavingFraction;
  Ring.visitFrom(Query.PrefixHash, MaxRingPoints, [&](CandidateId Id) {
    if (!eligible(Id, Query) ||
        !isBelowCacheLoadLimit(*Table.find(Id), Settings))
      return false;
    consider(Id, ExpectedSaving, Settings, Query, Now, BestSoFar);
    return true;
  });
}

// Failure guarded against: a prefix that all callers share attracts every
// request to the one endpoint that has it cached, while the others are idle.
bool Chooser::isBelowCacheLoadLimit(const Candidate &Endpoint,
                                    const EstimatedWaitPolicy &Settings) const {
  const double Mean =
      static_cast<double>(OwnTotal) / static_cast<double>(size());
  return Endpoint.Load.own() < 1.0 + Settings.LoadFactor * Mean;
}

void Chooser::considerSampled(Listing List, std::uint32_t SampleCount,
                              const EstimatedWaitPolicy &Settings,
                              const ChoiceQuery &Query, TimePoint Now,
                              Best &BestSoFar) {
  const std::span<const CandidateId> Open = Table.listed(List);
  if (Open.empty())
    return;
  for (std::uint32_t Index = 0; Index < SampleCount; ++Index)
    consider(Open[Rng.below(Open.size())], 0.0, Settings, Query, Now,
             BestSoFar);
}

void Chooser::consider(CandidateId Id, double Saving,
                       const EstimatedWaitPolicy &Settings,
                       const ChoiceQuery &Query, TimePoint Now,
                       Best &BestSoFar) const {
  if (!eligible(Id, Query) || isFull(Id, Query, Settings, Now))
    return;
  const double Score = score(*Table.find(Id), Saving, Settings, Query, Now);
  if (BestSoFar.Id && BestSoFar.Score <= Score)
    return;
  BestSoFar.Id = Id;
  BestSoFar.Score = Score;
}

/// Sum of the recent failure rates of an endpoint and of its data centre.
double Chooser::failureRate(const Candidate &Endpoint, TimePoint Now) const {
  const LatencyModel &DataCentreFailures = Failures[Endpoint.DataCentre];
  return Endpoint.Failures.estimate(0.0, 1.0, Now) +
         DataCentreFailures.estimate(0.0, PriorWeight, Now);
}

// Failure guarded against: an endpoint that refuses every connection at once is
// never busy and so attracts all requests. Its failures, and those of its data
// centre, raise its estimated time.
double Chooser::score(const Candidate &Endpoint, double Saving,
                      const EstimatedWaitPolicy &Settings,
                      const ChoiceQuery &Query, TimePoint Now) const {
  const double Distance =
      Endpoint.IsNear ? 0.0 : toSeconds(Settings.FarPenalty);
  return timeToAnswer(Endpoint, Saving, Query, Now) *
             (1.0 + FailureFactor * failureRate(Endpoint, Now)) +
         Distance;
}

/// Mean service time at an endpoint, in seconds per unit of cost.
double Chooser::serviceSeconds(const Candidate &Endpoint, TimePoint Now) const {
  const double PoolMean =
      Service.mean() > 0.0 ? Service.mean() : DefaultServiceSeconds;
  return Endpoint.Service.estimate(PoolMean, PriorWeight, Now);
}

/// Estimated time in seconds until the first event if the engines' pace is
/// known, otherwise until the end of the answer.
double Chooser::timeToAnswer(const Candidate &Endpoint, double Saving,
                             const ChoiceQuery &Query, TimePoint Now) const {
  const double Seconds = serviceSeconds(Endpoint, Now);
  const double Bound = Endpoint.Bound;
  const double Load = requestsAhead(Endpoint, Query, Now);
  if (Pace.isDeclared()) {
    const EngineBacklog Backlog{
        Bound, Load, double(Endpoint.Load.unreadTokens(Now)), Seconds};
    return toSeconds(firstEventAfter(Pace, Backlog, Query.PromptTokens));
  }
  const double Queued = std::max(0.0, Load + 1.0 - Bound);
  const double Wait = Seconds * Queued / Bound;
  const double Serve =
      Seconds * Query.Cost * (1.0 + Load / Bound) * (1.0 - Saving);
  return Wait + Serve;
}

std::optional<CandidateId>
Chooser::anyEligible(const ChoiceQuery &Query) const {
  for (const Listing List : {Listing::Near, Listing::Far})
    for (const CandidateId Id : Table.listed(List))
      if (eligible(Id, Query))
        return Id;
  return isOnlyEndpoint(Query) ? Query.Avoid : std::nullopt;
}

/// Whether the endpoint that just failed the request is the only usable one.
bool Chooser::isOnlyEndpoint(const ChoiceQuery &Query) const {
  if (!Query.Avoid || Table.usable() > 1)
    return false;
  const Candidate *const Endpoint = Table.find(*Query.Avoid);
  return Endpoint != nullptr && Endpoint->open() &&
         !(Query.Suspect && Endpoint->Suspects > 0);
}

std::optional<CandidateId> Chooser::pick(const RandomPolicy & /*Settings*/,
                                         const ChoiceQuery &Query,
                                         TimePoint /*Now*/) {
  const std::span<const CandidateId> Near = Table.listed(Listing::Near);
  const std::span<const CandidateId> Far = Table.listed(Listing::Far);
  if (Near.empty() && Far.empty())
    return std::nullopt;
  const std::size_t Index = Rng.below(Near.size() + Far.size());
  const CandidateId Id =
      Index < Near.size() ? Near[Index] : Far[Index - Near.size()];
  return eligible(Id, Query) ? Id : anyEligible(Query);
}

std::optional<CandidateId> Chooser::pick(const RoundRobinPolicy & /*Settings*/,
                                         const ChoiceQuery &Query,
                                         TimePoint /*Now*/) {
  for (std::size_t Step = 0; Step < size(); ++Step) {
    const CandidateId Id = Table.all()[Cursor++ % size()];
    if (eligible(Id, Query))
      return Id;
  }
  return anyEligible(Query);
}

std::optional<CandidateId>
Chooser::pick(const LeastInFlightPolicy & /*Settings*/,
              const ChoiceQuery &Query, TimePoint /*Now*/) {
  if (size() == 0)
    return std::nullopt;
  std::optional<CandidateId> Least;
  const std::size_t First = Rng.below(size());
  for (std::size_t Step = 0; Step < size(); ++Step) {
    const CandidateId Id = Table.all()[(First + Step) % size()];
    if (!eligible(Id, Query))
      continue;
    const std::uint32_t OwnRequests = Table.find(Id)->Load.own();
    if (!Least || OwnRequests < Table.find(*Least)->Load.own())
      Least = Id;
  }
  return Least ? Least : anyEligible(Query);
}

bool Chooser::sent(CandidateId Id, const ChoiceQuery &Query, TimePoint Now) {
  Candidate &Endpoint = *Table.find(Id);
  Endpoint.Load.sent(Query.Late, Now, Query.PromptTokens);
  Endpoint.Suspects += Query.Suspect ? 1U : 0U;
  ++OwnTotal;
  if (RateLimits)
    RateLimits->recordSend(Endpoint.Spec.Process);
  if (Availability)
    Availability->recordSend(Endpoint.Spec.Process, Now);
  if (Endpoint.SendRate || Endpoint.Resumes)
    applyLimits(Id, Now);
  else
    Table.relist(Id);
  if (Query.PrefixHash == 0)
    return false;
  return std::ranges::any_of(
      Hints.setOf(Query.PrefixHash), [&](const PrefixHints::Hint &Hint) {
        return Hint.Endpoint == Id && isHintValid(Hint, Query.PrefixHash, Now);
      });
}

void Chooser::responseStarted(CandidateId Id, bool Late,
                              std::uint32_t PromptTokens) {
  if (Candidate *const Endpoint = Table.find(Id))
    Endpoint->Load.responseStarted(Late, PromptTokens);
}

std::vector<EndpointLoad> Chooser::ownLoads() const {
  std::vector<EndpointLoad> Result;
  for (const CandidateId Id : Table.all()) {
    const Candidate &Endpoint = *Table.find(Id);
    if (Endpoint.Load.own() > 0)
      Result.push_back({hashText(Endpoint.Spec.Key), Endpoint.Load.ownLoad()});
  }
  return Result;
}

void Chooser::setOtherHostLoads(std::span<const EndpointLoad> Others,
                                TimePoint Now) {
  std::unordered_map<std::uint64_t, RequestLoad> Sums;
  for (const EndpointLoad &Entry : Others)
    Sums[Entry.Endpoint] += Entry.Load;
  for (const CandidateId Id : Table.all()) {
    Candidate &Endpoint = *Table.find(Id);
    const auto Sum = Sums.find(hashText(Endpoint.Spec.Key));
    Endpoint.Load.setOtherHostLoad(
        Sum == Sums.end() ? RequestLoad{} : Sum->second, Now);
  }
}

void Chooser::ended(CandidateId Id, const EndedAttempt &Attempt,
                    TimePoint Now) {
  Candidate *const Endpoint = Table.find(Id);
  if (Endpoint == nullptr)
    return;
  Endpoint->Load.ended(Attempt.Late, Attempt.ResponseStarted, Now,
                       Attempt.PromptTokens);
  Endpoint->Suspects -= Attempt.Suspect ? 1U : 0U;
  --OwnTotal;
  learnFrom(*Endpoint, Attempt, Now);
  if (!Endpoint->Current) {
    Table.drop(Id);
    return;
  }
  if (const auto *const Settings = std::get_if<EstimatedWaitPolicy>(&Policy)) {
    if (Attempt.Outcome == AttemptOutcome::Answered)
      addHint(Id, Attempt.PrefixHash, Settings->OwnHintLife, Now);
    Ejections.judge(Table, Id, Service.mean(), Rng, Now);
  }
  Table.relist(Id);
}

void Chooser::learnFrom(Candidate &Endpoint, const EndedAttempt &Attempt,
                        TimePoint Now) {
  const double PoolMean = Service.mean();
  const double Seconds =
      toSeconds(Attempt.Total) / std::max(Attempt.Cost, MinCost);
  switch (Attempt.Outcome) {
  case AttemptOutcome::Answered:
    learnAnswer(Endpoint, Seconds, Now);
    if (Attempt.PrefixHash != 0)
      learnSaving(Seconds, Attempt.Hinted, Now);
    break;
  case AttemptOutcome::Failed:
    Endpoint.Failures.record(1.0, Now);
    Failures[Endpoint.DataCentre].record(1.0, Now);
    Endpoint.Condition.failed();
    break;
  case AttemptOutcome::Refused:
    Endpoint.Failures.record(1.0, Now);
    Endpoint.Service.record(RefusalFactor * PoolMean, Now);
    break;
  case AttemptOutcome::GivenUp:
    // Failure guarded against: callers give up on a hung endpoint before it
    // answers, so it yields no samples and still appears fast.
    if (PoolMean > 0.0 && Seconds > PoolMean)
      Endpoint.Service.record(std::min(Seconds, SampleCap * PoolMean), Now);
    break;
  case AttemptOutcome::Deferred:
    break;
  }
}

void Chooser::learnAnswer(Candidate &Endpoint, double Seconds, TimePoint Now) {
  const double PoolMean = Service.mean();
  const double Sample =
      PoolMean > 0.0 ? std::min(Seconds, SampleCap * PoolMean) : Seconds;
  Endpoint.Service.record(Sample, Now);
  if (Endpoint.Condition.state() == Health::State::Serving)
    Service.record(Sample, Now);
  Endpoint.Failures.record(0.0, Now);
  Failures[Endpoint.DataCentre].record(0.0, Now);
  Endpoint.Condition.answered();
}

void Chooser::learnSaving(double Seconds, bool Hinted, TimePoint Now) {
  const auto *const Settings = std::get_if<EstimatedWaitPolicy>(&Policy);
  if (Settings == nullptr || !Settings->LearnSaving)
    return;
  (Hinted ? HintedService : OtherService).record(Seconds, Now);
  if (HintedService.weight(Now) < MinSavingSamples ||
      OtherService.weight(Now) < MinSavingSamples)
    return;
  const double Saved = 1.0 - HintedService.mean() / OtherService.mean();
  Saving = std::clamp(Saved, MinSaving, MaxSaving);
}

void Chooser::addHint(CandidateId Id, std::uint64_t PrefixHash, Duration Life,
                      TimePoint Now) {
  if (PrefixHash == 0)
    return;
  const std::uint32_t Epoch = Table.find(Id)->HintEpoch;
  Hints.add(PrefixHints::Hint{PrefixHash, Id, Now + Life, Epoch});
}

void Chooser::advance(TimePoint Now) { Ejections.advance(Table, Now); }

std::optional<TimePoint> Chooser::nextChange() const {
  std::optional<TimePoint> Earliest = Ejections.nextChange();
  for (const CandidateId Id : Limited) {
    const std::optional<TimePoint> HeldUntil = Table.find(Id)->HeldUntil;
    if (HeldUntil && (!Earliest || *HeldUntil < *Earliest))
      Earliest = HeldUntil;
  }
  return Earliest;
}

bool Chooser::observe(CandidateId Id, const LoadReport &Report, TimePoint Now) {
  Candidate *const Endpoint = Table.find(Id);
  if (Endpoint == nullptr)
    return false;
  const bool Restarted =
      Endpoint->Run != 0 && Report.Run != 0 && Endpoint->Run != Report.Run;
  if (Report.Run != 0)
    Endpoint->Run = Report.Run;
  if (Restarted) {
    Ejections.release(Table, Id);
    Endpoint->Condition.reset();
    Endpoint->Service.reset();
    Endpoint->Failures.reset();
    ++Endpoint->HintEpoch;
    Endpoint->CacheSequence = 0;
    Table.relist(Id);
  }
  Endpoint->Load.report(Report.Running + Report.Queued, Report.Age, Now);
  return Restarted;
}

// Failure guarded against: the feed of an endpoint's cache events was
// interrupted, its cache contents have changed since, and requests are still
// sent there for prefixes that it has evicted. A long gap in the sequence
// invalidates all of its hints. After a short gap most are still right, and a
// wrong one costs at most a cache miss.
void Chooser::observeCache(CandidateId Id, const CacheChange &Change,
                           TimePoint Now) {
  Candidate *const Endpoint = Table.find(Id);
  const auto *const Settings = std::get_if<EstimatedWaitPolicy>(&Policy);
  if (Endpoint == nullptr || Settings == nullptr ||
      Change.Sequence <= Endpoint->CacheSequence)
    return;
  const std::uint64_t LostEvents =
      Endpoint->CacheSequence != 0
          ? Change.Sequence - Endpoint->CacheSequence - 1
          : 0;
  Endpoint->CacheSequence = Change.Sequence;
  if (LostEvents >= Settings->HintResetGap)
    ++Endpoint->HintEpoch;
  if (Change.Added)
    addHint(Id, Change.PrefixHash, Settings->EventHintLife, Now);
  else
    Hints.remove(Change.PrefixHash, Id);
}

} // namespace coltsfoottrail
