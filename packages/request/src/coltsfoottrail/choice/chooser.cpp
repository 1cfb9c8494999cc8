#include "coltsfoottrail/choice/chooser.hpp"

#include "coltsfoottrail/choice/forecast.hpp"
#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Samples that the pool's mean counts for in an endpoint's estimate.
constexpr double PriorWeight = 3.0;
/// Estimate before the pool has answered anything; only orders endpoints.
constexpr double UnknownSeconds = 1.0;
/// An endpoint that always fails counts as this many times slower.
constexpr double FailureFactor = 8.0;
/// A refusal counts as an answer this many times slower than the pool.
constexpr double RefusalFactor = 2.0;
/// No sample counts for more than this many times the pool's mean.
constexpr double SampleCap = 10.0;
/// Part of the saving that is counted on for the prefix's place on the ring.
constexpr double RingCertainty = 0.5;
/// Places on the ring that are looked at.
constexpr std::size_t RingSteps = 3;
/// A probe takes a request with this many times the pool's mean left.
constexpr double ProbePatience = 5.0;
/// How long a failing endpoint's probe waits for a repeatable request.
constexpr Duration ProbeGrace = seconds(10);
constexpr double LeastCost = 1e-9;
/// Part of failures from which a cached prefix is no reason to go there.
constexpr double MostFailing = 0.25;
/// Samples on both sides before the saving of a cached prefix is believed.
constexpr double SavingEvidence = 20.0;
/// A prefix is thought to save at least and at most this part.
constexpr double LeastSaving = 0.1;
constexpr double MostSaving = 0.7;

double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

EstimatedWaitPolicy settingsOf(const ChoicePolicy &Policy) {
  const auto *const Chosen = std::get_if<EstimatedWaitPolicy>(&Policy);
  return Chosen != nullptr ? *Chosen : EstimatedWaitPolicy{};
}

} // namespace

Chooser::Chooser(DataCentreName Own, ChoicePolicy Wanted, std::uint64_t Seed)
    : Policy(Wanted), Draw(Seed), Table(std::move(Own)),
      Outliers(settingsOf(Wanted).Ejection), Hints(settingsOf(Wanted).HintSets),
      Saving(settingsOf(Wanted).CacheSaving) {}

void Chooser::configure(const Pool &Wanted) {
  Pace = Wanted.Pace;
  for (const CandidateId Which : Table.configure(Wanted)) {
    Outliers.release(Table, Which);
    Table.drop(Which);
  }
  Failures.resize(Table.dataCentres(), recentFailures());
  Ring.clear();
  for (const CandidateId Which : Table.all())
    Ring.add(Table.find(Which)->Spec.Key, Which);
  Ring.sort();
}

std::optional<CandidateId> Chooser::find(std::string_view Key) const {
  return Table.find(Key);
}

void Chooser::setShare(CandidateId Which, std::uint32_t Share) {
  Candidate *const Endpoint = Table.find(Which);
  if (Endpoint == nullptr || !Endpoint->Current)
    return;
  Endpoint->Share = Share;
  Table.relist(Which);
}

bool Chooser::hasRoom() const noexcept {
  return !Table.listed(Listing::Near).empty() ||
         !Table.listed(Listing::Far).empty() ||
         !Table.listed(Listing::Probe).empty();
}

Throughput Chooser::throughput() const noexcept {
  return Throughput{static_cast<double>(Table.slots()), Service.mean()};
}

std::optional<CandidateId> Chooser::choose(const ChoiceQuery &Query,
                                           TimePoint Now) {
  advance(Now);
  return std::visit(
      [&](const auto &Chosen) { return pick(Chosen, Query, Now); }, Policy);
}

bool Chooser::eligible(CandidateId Which, const ChoiceQuery &Query) const {
  const Candidate &Endpoint = *Table.find(Which);
  return Endpoint.open() && Query.Avoid != Which &&
         !(Query.Suspect && Endpoint.Suspects > 0);
}

std::optional<CandidateId> Chooser::pick(const EstimatedWaitPolicy &Chosen,
                                         const ChoiceQuery &Query,
                                         TimePoint Now) {
  if (const std::optional<CandidateId> Probe = probeCandidate(Query, Now))
    return Probe;
  Best Found;
  if (Query.PrefixHash != 0) {
    const bool Hinted = considerHinted(Chosen, Query, Now, Found);
    if (Hinted && Query.CachedOnly)
      return Found.Which;
    considerRing(Chosen, Query, Now, Found);
  }
  const bool NoneNear = Table.listed(Listing::Near).empty();
  const std::uint32_t Moved = NoneNear ? Chosen.NearProbes : 0;
  considerDrawn(Listing::Near, Chosen.NearProbes, Chosen, Query, Now, Found);
  considerDrawn(Listing::Far, Chosen.FarProbes + Moved, Chosen, Query, Now,
                Found);
  if (Found.Which || !Chosen.FullByLoad)
    return Found.Which ? Found.Which : anyEligible(Query);
  return anyBelowBound(Chosen, Query, Now);
}

bool Chooser::isFull(CandidateId Which, const ChoiceQuery &Query,
                     const EstimatedWaitPolicy &Chosen, TimePoint Now) const {
  const Candidate &Endpoint = *Table.find(Which);
  if (Pace.isDeclared() && Query.FirstEventWithin < Duration::max() &&
      Endpoint.Load.unreadTokens(Now) > 0 &&
      timeToAnswer(Endpoint, 0.0, Query, Now) >
          toSeconds(Query.FirstEventWithin))
    return true;
  return Chosen.FullByLoad && loadAhead(Endpoint, Query, Now) >=
                                  double(Endpoint.Bound) + Query.Overcommit;
}

/// Requests that run at an endpoint, and those waiting there that go before.
double Chooser::loadAhead(const Candidate &Endpoint, const ChoiceQuery &Query,
                          TimePoint Now) {
  if (!Query.Late)
    if (const auto Ahead = Endpoint.Load.aheadOfFresh(Now))
      return *Ahead;
  const double Load = Endpoint.Load.load(Now);
  const double Running = std::min<double>(Load, Endpoint.Bound);
  return Running + (Load - Running) * Query.WaitingPart;
}

std::optional<CandidateId>
Chooser::anyBelowBound(const EstimatedWaitPolicy &Chosen,
                       const ChoiceQuery &Query, TimePoint Now) const {
  for (const Listing From : {Listing::Near, Listing::Far})
    for (const CandidateId Which : Table.listed(From))
      if (eligible(Which, Query) && !isFull(Which, Query, Chosen, Now))
        return Which;
  return std::nullopt;
}

// Failure guarded against: an endpoint that was ejected stays out for ever,
// since without requests there is nothing to judge it by. One request at a time
// goes there: one that could still be answered in time if the endpoint is as
// slow as before, and for a failing one preferably one that may be repeated.
std::optional<CandidateId> Chooser::probeCandidate(const ChoiceQuery &Query,
                                                   TimePoint Now) const {
  const std::span<const CandidateId> Probes = Table.listed(Listing::Probe);
  if (Probes.empty() || Query.Suspect || Query.Avoid == Probes.front())
    return std::nullopt;
  const Health &Condition = Table.find(Probes.front())->Condition;
  const bool Risky = Condition.cause() == Health::Cause::Failing &&
                     !Query.Repeatable &&
                     Now < Condition.ejectedUntil() + ProbeGrace;
  const double Needed = ProbePatience * Service.mean() * Query.Cost;
  const bool Hurried = toSeconds(Query.Patience) < Needed;
  if ((Risky || Hurried) && Table.usable() > 0)
    return std::nullopt;
  return Probes.front();
}

bool Chooser::considerHinted(const EstimatedWaitPolicy &Chosen,
                             const ChoiceQuery &Query, TimePoint Now,
                             Best &Found) const {
  bool Any = false;
  for (const PrefixHints::Hint &Hint : Hints.setOf(Query.PrefixHash)) {
    if (!hintHolds(Hint, Query.PrefixHash, Now))
      continue;
    Any = true;
    if (mayCache(*Table.find(Hint.Where), Chosen))
      consider(Hint.Where, Saving, Chosen, Query, Now, Found);
  }
  return Any;
}

// Failure guarded against: a data centre is lost, and requests go on to where
// their prefixes were until each endpoint there has failed several.
bool Chooser::hintHolds(const PrefixHints::Hint &Hint, std::uint64_t PrefixHash,
                        TimePoint Now) const {
  if (Hint.PrefixHash != PrefixHash || Hint.Expires <= Now)
    return false;
  const Candidate *const Endpoint = Table.find(Hint.Where);
  return Endpoint != nullptr && Endpoint->Current &&
         Endpoint->HintEpoch == Hint.Epoch &&
         failing(*Endpoint, Now) < MostFailing;
}

std::vector<CandidateId> Chooser::cachedAt(std::uint64_t PrefixHash,
                                           TimePoint Now) const {
  std::vector<CandidateId> Out;
  for (const PrefixHints::Hint &Hint : Hints.setOf(PrefixHash))
    if (hintHolds(Hint, PrefixHash, Now))
      Out.push_back(Hint.Where);
  return Out;
}

void Chooser::considerRing(const EstimatedWaitPolicy &Chosen,
                           const ChoiceQuery &Query, TimePoint Now,
                           Best &Found) const {
  if (!Chosen.UseRing)
    return;
  const double Expected = Saving * RingCertainty;
  Ring.at(Query.PrefixHash, RingSteps, [&](CandidateId Which) {
    if (!eligible(Which, Query) || !mayCache(*Table.find(Which), Chosen))
      return false;
    consider(Which, Expected, Chosen, Query, Now, Found);
    return true;
  });
}

// Failure guarded against: a prefix that all callers share draws every request
// to the one endpoint that has it, while the others idle.
bool Chooser::mayCache(const Candidate &Endpoint,
                       const EstimatedWaitPolicy &Chosen) const {
  const double Mean =
      static_cast<double>(OwnTotal) / static_cast<double>(size());
  return Endpoint.Load.own() < 1.0 + Chosen.LoadFactor * Mean;
}

void Chooser::considerDrawn(Listing From, std::uint32_t Draws,
                            const EstimatedWaitPolicy &Chosen,
                            const ChoiceQuery &Query, TimePoint Now,
                            Best &Found) {
  const std::span<const CandidateId> Open = Table.listed(From);
  if (Open.empty())
    return;
  for (std::uint32_t Index = 0; Index < Draws; ++Index)
    consider(Open[Draw.below(Open.size())], 0.0, Chosen, Query, Now, Found);
}

void Chooser::consider(CandidateId Which, double Saving,
                       const EstimatedWaitPolicy &Chosen,
                       const ChoiceQuery &Query, TimePoint Now,
                       Best &Found) const {
  if (!eligible(Which, Query) || isFull(Which, Query, Chosen, Now))
    return;
  const double Score = score(*Table.find(Which), Saving, Chosen, Query, Now);
  if (Found.Which && Found.Score <= Score)
    return;
  Found.Which = Which;
  Found.Score = Score;
}

/// Recent part of failures of an endpoint and of its data centre.
double Chooser::failing(const Candidate &Endpoint, TimePoint Now) const {
  const LatencyModel &Around = Failures[Endpoint.DataCentre];
  return Endpoint.Failures.estimate(0.0, 1.0, Now) +
         Around.estimate(0.0, PriorWeight, Now);
}

// Failure guarded against: an endpoint that refuses every connection at once is
// never busy and so draws all requests. Its failures, and those of its data
// centre, count as slowness.
double Chooser::score(const Candidate &Endpoint, double Saving,
                      const EstimatedWaitPolicy &Chosen,
                      const ChoiceQuery &Query, TimePoint Now) const {
  const double Distance = Endpoint.IsNear ? 0.0 : toSeconds(Chosen.FarPenalty);
  return timeToAnswer(Endpoint, Saving, Query, Now) *
             (1.0 + FailureFactor * failing(Endpoint, Now)) +
         Distance;
}

/// Mean time of service at an endpoint, in seconds for a unit of cost.
double Chooser::secondsOf(const Candidate &Endpoint, TimePoint Now) const {
  const double PoolMean =
      Service.mean() > 0.0 ? Service.mean() : UnknownSeconds;
  return Endpoint.Service.estimate(PoolMean, PriorWeight, Now);
}

/// Until the first event where a pace is known, else until the end, in seconds.
double Chooser::timeToAnswer(const Candidate &Endpoint, double Saving,
                             const ChoiceQuery &Query, TimePoint Now) const {
  const double Seconds = secondsOf(Endpoint, Now);
  const double Bound = Endpoint.Bound;
  const double Load = loadAhead(Endpoint, Query, Now);
  if (Pace.isDeclared()) {
    const EngineBacklog Before{
        Bound, Load, double(Endpoint.Load.unreadTokens(Now)), Seconds};
    return toSeconds(firstEventAfter(Pace, Before, Query.PromptTokens));
  }
  const double Queued = std::max(0.0, Load + 1.0 - Bound);
  const double Wait = Seconds * Queued / Bound;
  const double Serve =
      Seconds * Query.Cost * (1.0 + Load / Bound) * (1.0 - Saving);
  return Wait + Serve;
}

std::optional<CandidateId>
Chooser::anyEligible(const ChoiceQuery &Query) const {
  for (const Listing From : {Listing::Near, Listing::Far})
    for (const CandidateId Which : Table.listed(From))
      if (eligible(Which, Query))
        return Which;
  return lastResort(Query) ? Query.Avoid : std::nullopt;
}

/// Whether the endpoint that just failed the request is the only one there is.
bool Chooser::lastResort(const ChoiceQuery &Query) const {
  if (!Query.Avoid || Table.usable() > 1)
    return false;
  const Candidate *const Endpoint = Table.find(*Query.Avoid);
  return Endpoint != nullptr && Endpoint->open() &&
         !(Query.Suspect && Endpoint->Suspects > 0);
}

std::optional<CandidateId> Chooser::pick(const RandomPolicy & /*Chosen*/,
                                         const ChoiceQuery &Query,
                                         TimePoint /*Now*/) {
  const std::span<const CandidateId> Near = Table.listed(Listing::Near);
  const std::span<const CandidateId> Far = Table.listed(Listing::Far);
  if (Near.empty() && Far.empty())
    return std::nullopt;
  const std::size_t Index = Draw.below(Near.size() + Far.size());
  const CandidateId Which =
      Index < Near.size() ? Near[Index] : Far[Index - Near.size()];
  return eligible(Which, Query) ? Which : anyEligible(Query);
}

std::optional<CandidateId> Chooser::pick(const RoundRobinPolicy & /*Chosen*/,
                                         const ChoiceQuery &Query,
                                         TimePoint /*Now*/) {
  for (std::size_t Step = 0; Step < size(); ++Step) {
    const CandidateId Which = Table.all()[Cursor++ % size()];
    if (eligible(Which, Query))
      return Which;
  }
  return anyEligible(Query);
}

std::optional<CandidateId> Chooser::pick(const LeastInFlightPolicy & /*Chosen*/,
                                         const ChoiceQuery &Query,
                                         TimePoint /*Now*/) {
  if (size() == 0)
    return std::nullopt;
  std::optional<CandidateId> Least;
  const std::size_t First = Draw.below(size());
  for (std::size_t Step = 0; Step < size(); ++Step) {
    const CandidateId Which = Table.all()[(First + Step) % size()];
    if (!eligible(Which, Query))
      continue;
    const std::uint32_t Own = Table.find(Which)->Load.own();
    if (!Least || Own < Table.find(*Least)->Load.own())
      Least = Which;
  }
  return Least ? Least : anyEligible(Query);
}

bool Chooser::sent(CandidateId Which, const ChoiceQuery &Query, TimePoint Now) {
  Candidate &Endpoint = *Table.find(Which);
  Endpoint.Load.sent(Query.Late, Now, Query.PromptTokens);
  Endpoint.Suspects += Query.Suspect ? 1U : 0U;
  ++OwnTotal;
  Table.relist(Which);
  if (Query.PrefixHash == 0)
    return false;
  return std::ranges::any_of(
      Hints.setOf(Query.PrefixHash), [&](const PrefixHints::Hint &Hint) {
        return Hint.Where == Which && hintHolds(Hint, Query.PrefixHash, Now);
      });
}

void Chooser::begun(CandidateId Which, bool Late, std::uint32_t PromptTokens) {
  if (Candidate *const Endpoint = Table.find(Which))
    Endpoint->Load.begun(Late, PromptTokens);
}

std::vector<EndpointLoad> Chooser::ownLoads() const {
  std::vector<EndpointLoad> Out;
  for (const CandidateId Which : Table.all()) {
    const Candidate &Endpoint = *Table.find(Which);
    if (Endpoint.Load.own() > 0)
      Out.push_back({hashText(Endpoint.Spec.Key), Endpoint.Load.ownLoad()});
  }
  return Out;
}

void Chooser::share(std::span<const EndpointLoad> Others, TimePoint Now) {
  std::unordered_map<std::uint64_t, RequestLoad> Sums;
  for (const EndpointLoad &Each : Others)
    Sums[Each.Endpoint] += Each.Load;
  for (const CandidateId Which : Table.all()) {
    Candidate &Endpoint = *Table.find(Which);
    const auto Found = Sums.find(hashText(Endpoint.Spec.Key));
    Endpoint.Load.share(Found == Sums.end() ? RequestLoad{} : Found->second,
                        Now);
  }
}

void Chooser::ended(CandidateId Which, const EndedAttempt &Attempt,
                    TimePoint Now) {
  Candidate *const Endpoint = Table.find(Which);
  if (Endpoint == nullptr)
    return;
  Endpoint->Load.ended(Attempt.Late, Attempt.Begun, Now, Attempt.PromptTokens);
  Endpoint->Suspects -= Attempt.Suspect ? 1U : 0U;
  --OwnTotal;
  learn(*Endpoint, Attempt, Now);
  if (!Endpoint->Current) {
    Table.drop(Which);
    return;
  }
  if (const auto *const Chosen = std::get_if<EstimatedWaitPolicy>(&Policy)) {
    if (Attempt.Outcome == AttemptOutcome::Answered)
      hint(Which, Attempt.PrefixHash, Chosen->OwnHintLife, Now);
    Outliers.judge(Table, Which, Service.mean(), Draw, Now);
  }
  Table.relist(Which);
}

void Chooser::learn(Candidate &Endpoint, const EndedAttempt &Attempt,
                    TimePoint Now) {
  const double PoolMean = Service.mean();
  const double Seconds =
      toSeconds(Attempt.Total) / std::max(Attempt.Cost, LeastCost);
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
    // answers, so it never yields a sample and goes on looking fast.
    if (PoolMean > 0.0 && Seconds > PoolMean)
      Endpoint.Service.record(std::min(Seconds, SampleCap * PoolMean), Now);
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
  const auto *const Chosen = std::get_if<EstimatedWaitPolicy>(&Policy);
  if (Chosen == nullptr || !Chosen->LearnSaving)
    return;
  (Hinted ? HintedService : OtherService).record(Seconds, Now);
  if (HintedService.weight(Now) < SavingEvidence ||
      OtherService.weight(Now) < SavingEvidence)
    return;
  const double Saved = 1.0 - HintedService.mean() / OtherService.mean();
  Saving = std::clamp(Saved, LeastSaving, MostSaving);
}

void Chooser::hint(CandidateId Which, std::uint64_t PrefixHash, Duration Life,
                   TimePoint Now) {
  if (PrefixHash == 0)
    return;
  const std::uint32_t Epoch = Table.find(Which)->HintEpoch;
  Hints.add(PrefixHints::Hint{PrefixHash, Which, Now + Life, Epoch});
}

void Chooser::advance(TimePoint Now) { Outliers.advance(Table, Now); }

std::optional<TimePoint> Chooser::nextChange() const {
  return Outliers.nextChange();
}

bool Chooser::observe(CandidateId Which, const LoadReport &Report,
                      TimePoint Now) {
  Candidate *const Endpoint = Table.find(Which);
  if (Endpoint == nullptr)
    return false;
  const bool Restarted =
      Endpoint->Run != 0 && Report.Run != 0 && Endpoint->Run != Report.Run;
  if (Report.Run != 0)
    Endpoint->Run = Report.Run;
  if (Restarted) {
    Outliers.release(Table, Which);
    Endpoint->Condition.reset();
    Endpoint->Service.reset();
    Endpoint->Failures.reset();
    ++Endpoint->HintEpoch;
    Endpoint->CacheSequence = 0;
    Table.relist(Which);
  }
  Endpoint->Load.report(Report.Running + Report.Queued, Report.Age, Now);
  return Restarted;
}

// Failure guarded against: the feed of an endpoint's cache events was cut, its
// cache has turned over meanwhile, and requests go on to where their prefix
// was. A long gap in the sequence voids all of its hints. After a short gap
// most are still right, and a wrong one costs a cache miss at most.
void Chooser::observeCache(CandidateId Which, const CacheChange &Change,
                           TimePoint Now) {
  Candidate *const Endpoint = Table.find(Which);
  const auto *const Chosen = std::get_if<EstimatedWaitPolicy>(&Policy);
  if (Endpoint == nullptr || Chosen == nullptr ||
      Change.Sequence <= Endpoint->CacheSequence)
    return;
  const std::uint64_t Lost = Endpoint->CacheSequence != 0
                                 ? Change.Sequence - Endpoint->CacheSequence - 1
                                 : 0;
  Endpoint->CacheSequence = Change.Sequence;
  if (Lost >= Chosen->ForgetGap)
    ++Endpoint->HintEpoch;
  if (Change.Added)
    hint(Which, Change.PrefixHash, Chosen->EventHintLife, Now);
  else
    Hints.remove(Change.PrefixHash, Which);
}

} // namespace coltsfoottrail
