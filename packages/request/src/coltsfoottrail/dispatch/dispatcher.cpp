#include "coltsfoottrail/dispatch/dispatcher.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/dispatch/terms.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr milliseconds ShortestRetryAfter{100};
constexpr milliseconds LongestRetryAfter{30000};
constexpr milliseconds UnknownRetryAfter{500};
/// Requests in a row for which no endpoint with a free slot is suitable, after
/// which a pass over the queue stops.
constexpr std::size_t MaxMisses = 8;
/// A drop of the slots below this fraction of the reference starts a check for
/// queued requests that can no longer meet their deadline.
constexpr double CapacityDrop = 0.9;
/// Shares are set one endpoint at a time: the capacity is checked only this
/// long after a drop.
constexpr Duration ShedDelay = milliseconds(100);
/// An endpoint that survives this long after a response has started is not
/// crashed by a part of its prompt, all of which has been read by then.
constexpr Duration PromptCrashTime = milliseconds(500);
/// Rates of ranks are exchanged as counts, in this part of a request per
/// second.
constexpr double RateUnits = 1000.0;
/// Part of the time until its deadline that a request waits for the end of
/// back-offs; a caller that is refused comes back within such a time.
constexpr double MaxBackoffWait = 1.0 / 3.0;

milliseconds retryAfter(Duration Wait) {
  return std::clamp(std::chrono::ceil<milliseconds>(Wait), ShortestRetryAfter,
                    LongestRetryAfter);
}

Verdict notRun(Reason Cause, std::optional<milliseconds> After = std::nullopt) {
  return Verdict{RunState::NotRun, Cause, After};
}

// Failure guarded against: callers with short deadlines make healthy endpoints
// look broken. A time-out is not a failure of the endpoint; its duration counts
// as service time.
AttemptOutcome attemptOutcome(const AttemptResult &Result) {
  if (Result.Answered)
    return AttemptOutcome::Answered;
  if (Result.ConnectionLost)
    return AttemptOutcome::Failed;
  if (Result.WantsBackoff || Result.Withheld)
    return AttemptOutcome::Deferred;
  switch (Result.FailureReason) {
  case Reason::EndpointFailed:
  case Reason::EndpointCut:
    return AttemptOutcome::Failed;
  case Reason::EndpointRefused:
  case Reason::Overloaded:
    return AttemptOutcome::Refused;
  default:
    return AttemptOutcome::GivenUp;
  }
}

RetryPrecedence retryPrecedence(bool HasBegun) {
  return HasBegun ? RetryPrecedence::BegunStream : RetryPrecedence::Normal;
}

/// Reason for refusing a request whose latest start has passed.
Reason expiryReason(const WorkItem &Item, TimePoint Now) {
  if (Item.Deadline <= Now)
    return Reason::DeadlinePassed;
  return Item.StartBy <= Now ? Reason::Overloaded : Reason::DeadlineTooShort;
}

QueueLimits queueLimits(const DispatcherOptions &Limits) {
  QueueLimits Bounds;
  Bounds.MaxWaiting = Limits.MaxWaiting;
  Bounds.MaxBytes = Limits.MaxWaitingBytes;
  Bounds.ReservedSlotRatio = Limits.ReservedSlotRatio;
  return Bounds;
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions Limits)
    : Options(std::move(Limits)), Rng(Options.Seed),
      Choice(Options.LocalDataCentre, Options.Policy, Rng()),
      Queue(queueLimits(Options)),
      Budget(Options.Retries.Budget, Options.RetryTokens),
      CrashHistory(Options.CrashLimits, Rng()),
      Forecast(Random(Options.Seed).fraction()) {
  Choice.limitRates(Options.RateLimits);
  Choice.observeAvailability(Options.Availability);
}

void Dispatcher::configure(const Pool &Config, TimePoint Now,
                           Commands &Output) {
  Choice.configure(Config);
  configureRanks(Config);
  pump(Now, Output);
}

void Dispatcher::configureRanks(const Pool &Config) {
  Ranks = RankOrder(Config.Ranks);
  Forecast.setEndpoints(Config.Endpoints.size());
  if (!Ranks.isActive())
    return;
  double Slots = 0.0;
  for (const EndpointSpec &Endpoint : Config.Endpoints)
    Slots += Endpoint.WarmBound;
  if (!Config.Endpoints.empty())
    SlotsPerEndpoint = Slots / static_cast<double>(Config.Endpoints.size());
  for (std::size_t Place = 0; Place < RankOrder::MaxPlaces; ++Place)
    RateKeys[Place] =
        hashText("rank/" + std::to_string(Place), hashText(Config.Name));
  for (std::size_t Level = 0; Level < RankOrder::MaxLevels; ++Level)
    Queue.setBlocking(Level, !RankOrder::isLateLevel(Level));
}

void Dispatcher::setShare(std::string_view EndpointKey, std::uint32_t Share,
                          TimePoint Now, Commands &Output) {
  const std::optional<CandidateId> Id = Choice.find(EndpointKey);
  if (!Id)
    return;
  Choice.setShare(*Id, Share);
  pump(Now, Output);
}

void Dispatcher::setTeam(const TeamName &Team, TeamShare Share, TimePoint Now,
                         Commands &Output) {
  Queue.setTeam(Queue.team(Team), Share);
  pump(Now, Output);
}

Ticket Dispatcher::submit(WorkItem Item, TimePoint Now, Commands &Output) {
  ++Counts.Submitted;
  const TeamId Team = queueTeam(Item, Now);
  RequestState Request;
  Request.Item = std::move(Item);
  Request.Team = Team;
  Request.Attempts = Request.Item.EarlierSends;
  Traffic.recordRequest(Now);
  const Ticket Id = Requests.insert(std::move(Request));
  trackCapacity(Now);
  if (const auto Refusal = immediateRefusal(*Requests.find(Id), Now)) {
    refuse(Id, *Refusal, RetryStop::NotTried, Output);
    return Id;
  }
  if (Requests.find(Id)->Attempts > 0) {
    resubmit(Id, Now, Output);
    return Id;
  }
  if (startNow(Id, Now, Output))
    return Id;
  const std::optional<Verdict> Refusal =
      Stage == StopStage::None ? admissionRefusal(*Requests.find(Id), Now)
                               : notRun(Reason::Stopping);
  if (Refusal) {
    refuse(Id, *Refusal, RetryStop::NotTried, Output);
    return Id;
  }
  enqueue(Id, Now);
  return Id;
}

// Failure guarded against: an endpoint has a free slot, and each of a hundred
// hosts sends a request of a lower rank there before it hears of the others.
bool Dispatcher::isHeldBack(const RequestState &Request, TimePoint Now) const {
  const std::size_t Place = Ranks.place(Request.Item.Rank);
  return Request.Attempts == 0 && PlaceBelowMinimum != Place &&
         (isLate(Request.Item) || leavesRoom(Request, Now)) &&
         !Forecast.mayStart(Place, rankPart(Request.Item, Now));
}

/// Counts an arriving request, and returns its team on the level of its rank.
TeamId Dispatcher::queueTeam(const WorkItem &Item, TimePoint Now) {
  if (!Ranks.isActive())
    return Queue.team(Item.Team);
  const std::size_t Place = Ranks.place(Item.Rank);
  RankPart Part = RankPart::Late;
  if (!isLate(Item)) {
    Forecast.recordArrival(Place, Now);
    Demands[Place].recordArrival(hashText(Item.Team.Text), Now);
    Part = rankPart(Item, Now);
  } else {
    Forecast.recordLateArrival(Place, Now);
  }
  return Queue.team(Item.Team, RankOrder::levelOf(Place, Part));
}

RankPart Dispatcher::rankPart(const WorkItem &Item, TimePoint Now) const {
  if (isLate(Item))
    return RankPart::Late;
  return otherTeamsBefore(Item, Now) ? RankPart::AboveShare
                                     : RankPart::WithinShare;
}

std::optional<double> Dispatcher::otherTeamsBefore(const WorkItem &Item,
                                                   TimePoint Now) const {
  const std::size_t Place = Ranks.place(Item.Rank);
  if (!Forecast.isScarce(Place))
    return std::nullopt;
  return Demands[Place].othersBefore(hashText(Item.Team.Text),
                                     Forecast.total(Place), Now);
}

// Failure guarded against: a request that endpoints have refused is submitted
// again, and its next send counts as a first one, which costs no retry and
// earns one.
void Dispatcher::resubmit(Ticket Id, TimePoint Now, Commands &Output) {
  RequestState &Request = *Requests.find(Id);
  Request.LastFailureReason = Reason::Overloaded;
  if (!hasAttemptLeft(Request))
    refuse(Id, notRun(Reason::Overloaded), RetryStop::AttemptsUsed, Output);
  else if (const auto Stop = holdForRetry(Id, Now))
    refuse(Id, notRun(Reason::Overloaded), *Stop, Output);
}

/// Why a request must not be sent to any endpoint; empty if it may be.
std::optional<Verdict> Dispatcher::quarantineRefusal(const WorkItem &Item,
                                                     TimePoint Now) const {
  if (CrashHistory.standing(Item.Fingerprint, Now) == Standing::Quarantined)
    return notRun(Reason::Quarantined);
  const std::optional<TimePoint> End = CrashHistory.parts().refusedUntil(
      Item.SharedParts, hashText(Item.Team.Text), Now);
  if (!End)
    return std::nullopt;
  return notRun(Reason::PartQuarantined,
                std::chrono::ceil<milliseconds>(*End - Now));
}

std::optional<Verdict> Dispatcher::immediateRefusal(const RequestState &Request,
                                                    TimePoint Now) const {
  if (Request.Item.Deadline <= Now)
    return notRun(Reason::DeadlinePassed);
  if (Stage == StopStage::NoSending || endsAfterStop(Request, Now))
    return notRun(Reason::Stopping);
  if (const auto Refusal = quarantineRefusal(Request.Item, Now))
    return Refusal;
  if (holdExpired(Now))
    return noCapacityVerdict();
  return std::nullopt;
}

// Failure guarded against: a wrong estimate of the wait refuses every request
// and is therefore never corrected. Only requests that would have to wait are
// refused; while an endpoint has a free slot, requests are sent there and their
// answers correct the estimate.
std::optional<Verdict> Dispatcher::admissionRefusal(const RequestState &Request,
                                                    TimePoint Now) const {
  const WorkItem &Item = Request.Item;
  const Throughput Speed = expectedThroughput(Now);
  Duration Wait =
      Speed.known()
          ? Queue.estimatedWait(Request.Team, Item.Urgency, Item.Cost, Speed)
          : Duration::zero();
  const std::optional<TimePoint> Permit = Choice.earliestPermit();
  if (Permit)
    Wait = std::max(Wait, *Permit - Now + Choice.resumeDelay(waiting()));
  if (const std::optional<Reason> QueueRefusal =
          Queue.refusal(Request.Team, Item.Bytes))
    return notRun(*QueueRefusal,
                  Speed.known() ? retryAfter(Wait) : UnknownRetryAfter);
  const TimePoint Latest =
      Permit ? latestResume(Request, Now) : latestStart(Request);
  if ((!Speed.known() && !Permit) || Now + Wait <= Latest)
    return std::nullopt;
  if (!Permit)
    return notRun(Reason::DeadlineTooShort, retryAfter(Wait));
  return limitRefusal(Request, Wait, Now);
}

/// Latest start of a request that waits until rate limits or back-offs allow
/// it.
TimePoint Dispatcher::latestResume(const RequestState &Request,
                                   TimePoint Now) const {
  const TimePoint Latest = latestStart(Request);
  if (!Choice.allBackOff() || Request.Resumable)
    return Latest;
  const Duration TimeLeft = Request.Item.Deadline - Now;
  return std::min(Latest, Now + std::chrono::duration_cast<Duration>(
                                    TimeLeft * MaxBackoffWait));
}

/// Refusal of a request that rate limits or back-offs allow too late.
Verdict Dispatcher::limitRefusal(const RequestState &Request, Duration Wait,
                                 TimePoint Now) const {
  if (Choice.allBackOff())
    return notRun(Reason::EndpointsBackOff, retryAfter(Wait));
  // It may still be of use after the others.
  const bool IsOnlyLate =
      Now + Wait <= latestStart(Request.Item, Options.ServiceMargin);
  return notRun(IsOnlyLate ? Reason::Overloaded : Reason::DeadlineTooShort,
                retryAfter(Wait));
}

Duration Dispatcher::expectedService(const WorkItem &Item) const {
  const double Seconds = Choice.throughput().SecondsPerCost * Item.Cost;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

TimePoint Dispatcher::latestStart(const WorkItem &Item, double Margin) const {
  return Item.Deadline -
         std::chrono::duration_cast<Duration>(expectedService(Item) * Margin);
}

// Failure guarded against: a stream is cut with time left, because the whole of
// its answer would take longer. Its caller has an unknown part of it.
TimePoint Dispatcher::latestStart(const RequestState &Request) const {
  if (Request.Resumable)
    return Request.Item.Deadline;
  if (Request.Attempts > 0)
    return latestStart(Request.Item, Options.RetryMargin);
  return std::min(Request.Item.StartBy,
                  latestStart(Request.Item, Options.ServiceMargin));
}

// Failure guarded against: shares are granted on demand and lapse when unused.
// After an idle period this host has none, and the first requests would be
// refused by an estimate that is based on no slots at all.
Throughput Dispatcher::expectedThroughput(TimePoint Now) const {
  Throughput Expected = Choice.throughput();
  if (Choice.allLimited())
    return Expected;
  if (!WaitingSince || Now < *WaitingSince + Options.ShareGrace)
    Expected.Slots = std::max(Expected.Slots, ExpectedSlots);
  return Expected;
}

/// When requests that wait for the first endpoint or share are refused.
std::optional<TimePoint> Dispatcher::holdDeadline() const {
  if (!UnusableSince)
    return std::nullopt;
  if (Choice.size() == 0)
    return *UnusableSince + Options.NoEndpointHold;
  if (!WaitingSince)
    return std::nullopt;
  return std::max(*UnusableSince, *WaitingSince) + Options.NoShareHold;
}

bool Dispatcher::holdExpired(TimePoint Now) const {
  const std::optional<TimePoint> End = holdDeadline();
  return End && *End <= Now;
}

Verdict Dispatcher::noCapacityVerdict() const {
  const Reason Cause =
      Choice.size() == 0 ? Reason::NoEndpoint : Reason::Overloaded;
  return notRun(Cause, std::chrono::ceil<milliseconds>(Options.NoEndpointHold));
}

bool Dispatcher::startNow(Ticket Id, TimePoint Now, Commands &Output) {
  RequestState &Request = *Requests.find(Id);
  if (!Queue.mayBypass(Request.Team) || !Choice.hasRoom())
    return false;
  const std::optional<CandidateId> Target = chooseEndpoint(Request, Now);
  if (!Target && !waitsForCache(Request, Now))
    return false;
  Queue.bypass(Request.Team, Request.Item.Cost);
  Request.InProgress = true;
  if (!Target) {
    holdAside(Id, Now, Output);
    return true;
  }
  send(Id, *Target, Now, Output);
  return true;
}

void Dispatcher::enqueue(Ticket Id, TimePoint Now) {
  const RequestState &Request = *Requests.find(Id);
  const WorkItem &Item = Request.Item;
  Queue.push(Request.Team, QueueItem{Id, Item.Urgency, latestStart(Request),
                                     Item.Bytes, Item.Cost});
  if (!WaitingSince)
    WaitingSince = Now;
  if (ExpectedSlots > Choice.throughput().Slots && !ShedCheckAt)
    ShedCheckAt = *WaitingSince + Options.ShareGrace;
}

ChoiceQuery Dispatcher::choiceQuery(const RequestState &Request,
                                    TimePoint Now) const {
  const WorkItem &Item = Request.Item;
  ChoiceQuery Query;
  Query.PrefixHash = Item.PrefixHash;
  Query.Cost = Item.Cost;
  Query.Overcommit = Item.Overcommit;
  Query.PromptTokens = Item.PromptTokens;
  if (Item.FirstEventBy < TimePoint::max() && Request.Attempts == 0)
    Query.FirstEventTimeLeft = Item.FirstEventBy - Now;
  Query.QueueAheadFraction = Item.QueuedAheadFraction;
  Query.Late = isLate(Item);
  Query.Avoid = Request.LastFailedEndpoint;
  Query.Suspect = Request.Suspect;
  Query.Repeatable = Item.Repeatable;
  Query.TimeToDeadline = Item.Deadline - Now;
  Query.CachedOnly = waitsForCache(Request, Now);
  if (Ranks.isActive())
    setRankTerms(Request, Now, Query);
  return Query;
}

/// Whether a request leaves slots free for others that can be on time.
bool Dispatcher::leavesRoom(const RequestState &Request, TimePoint Now) const {
  return Forecast.hasMoreUrgent(Ranks.place(Request.Item.Rank)) ||
         otherTeamsBefore(Request.Item, Now).has_value();
}

// Failure guarded against: the callers of a lower rank take every slot as it is
// freed, and more urgent ones find none in time. A stream that its caller has
// part of leaves no slots free.
void Dispatcher::setRankTerms(const RequestState &Request, TimePoint Now,
                              ChoiceQuery &Query) const {
  const std::size_t Place = Ranks.place(Request.Item.Rank);
  if (Request.Resumable || PlaceBelowMinimum == Place ||
      !leavesRoom(Request, Now))
    return;
  const double OtherTeams =
      Query.Late ? 0.0 : otherTeamsBefore(Request.Item, Now).value_or(0.0);
  Query.Overcommit =
      std::min(Query.Overcommit, 0) -
      Forecast.reservedSlots(Place, SlotsPerEndpoint, OtherTeams);
}

std::vector<EndpointLoad> Dispatcher::ownLoads() const {
  std::vector<EndpointLoad> Loads = Choice.ownLoads();
  if (Ranks.isActive())
    addRates(Loads);
  return Loads;
}

void Dispatcher::addRates(std::vector<EndpointLoad> &Loads) const {
  const auto ToUnits = [](double Rate) {
    return std::uint32_t(std::lround(Rate * RateUnits));
  };
  for (std::size_t Place = 0; Place < RankOrder::MaxPlaces; ++Place) {
    const RankRates &Rates = Forecast.own()[Place];
    EndpointLoad Entry;
    Entry.Endpoint = RateKeys[Place];
    Entry.Load.Running = ToUnits(Rates.Offered);
    Entry.Load.Fresh = ToUnits(Rates.Started);
    Entry.Load.Late = ToUnits(Rates.OfferedLate);
    if (Entry.Load.total() > 0)
      Loads.push_back(Entry);
    for (const TeamDemand::Rate &Team : Demands[Place].own(LastCallAt)) {
      EndpointLoad TeamEntry;
      TeamEntry.Endpoint = RateKeys[Place] ^ Team.Team;
      TeamEntry.Load.Running = ToUnits(Team.Offered);
      if (TeamEntry.Load.Running > 0)
        Loads.push_back(TeamEntry);
    }
  }
}

void Dispatcher::setRemoteRates(std::span<const EndpointLoad> Others,
                                TimePoint Now) {
  std::unordered_map<std::uint64_t, RequestLoad> ByKey;
  for (const EndpointLoad &Entry : Others)
    ByKey[Entry.Endpoint] += Entry.Load;
  RatesByPlace Sums{};
  for (std::size_t Place = 0; Place < RankOrder::MaxPlaces; ++Place) {
    const RequestLoad &Sum = ByKey[RateKeys[Place]];
    Sums[Place] = {Sum.Running / RateUnits, Sum.Fresh / RateUnits,
                   Sum.Late / RateUnits};
    std::map<std::uint64_t, double> Teams;
    for (const TeamDemand::Rate &Team : Demands[Place].own(Now))
      Teams[Team.Team] = ByKey[RateKeys[Place] ^ Team.Team].Running / RateUnits;
    Demands[Place].setOthers(Teams, Now);
  }
  Forecast.setOthers(Sums, Now);
  Forecast.setFreeSlots(Choice.room(0, Now));
  for (std::size_t Place = 0; Place < RankOrder::MaxPlaces; ++Place)
    for (const RankPart Part :
         {RankPart::WithinShare, RankPart::AboveShare, RankPart::Late}) {
      const double OtherTeams =
          Part == RankPart::AboveShare
              ? Demands[Place].withinShare(Forecast.total(Place), Now)
              : 0.0;
      const std::int32_t LeftByLate =
          Part == RankPart::Late ? SlotsReservedForFresh : 0;
      const std::int32_t Reserved =
          Forecast.reservedSlots(Place, SlotsPerEndpoint, OtherTeams) +
          LeftByLate;
      Forecast.setRoom(Place, Part, Choice.room(Reserved, Now));
    }
}

std::optional<CandidateId> Dispatcher::chooseEndpoint(RequestState &Request,
                                                      TimePoint Now) {
  if (Ranks.isActive() && isHeldBack(Request, Now))
    return std::nullopt;
  Request.Suspect =
      CrashHistory.standing(Request.Item.Fingerprint, Now) == Standing::Suspect;
  if (!Request.CacheWaitUntil)
    Request.CacheWaitUntil = cacheDelayEnd(Request, Now);
  const std::optional<CandidateId> Chosen =
      Choice.choose(choiceQuery(Request, Now), Now);
  Request.Away = Choice.away();
  return Chosen;
}

// Failure guarded against: under load the endpoints that have cached a prefix
// are full, its requests go elsewhere and evict other prefixes, cache misses
// take longer, and the pool stays overloaded by a load that it could serve
// before. A request waits for a slot at an endpoint that has its prefix, no
// longer than the cache hit saves, and only while few other requests do so.
TimePoint Dispatcher::cacheDelayEnd(const RequestState &Request,
                                    TimePoint Now) const {
  const double WaiterCount = static_cast<double>(Held.endpointWaiters());
  if (Request.Item.PrefixHash == 0 ||
      WaiterCount >= Options.MaxCacheWaitRatio * Choice.throughput().Slots)
    return Now;
  const double Fraction = Options.CacheDelay * Choice.cacheSaving();
  const Duration Delay = std::chrono::duration_cast<Duration>(
      expectedService(Request.Item) * Fraction);
  return std::min(Now + Delay, latestStart(Request));
}

bool Dispatcher::waitsForCache(const RequestState &Request, TimePoint Now) {
  return Request.CacheWaitUntil && Now < *Request.CacheWaitUntil;
}

void Dispatcher::send(Ticket Id, CandidateId Target, TimePoint Now,
                      Commands &Output) {
  RequestState &Request = *Requests.find(Id);
  const Candidate &Chosen = *Choice.candidate(Target);
  Request.SentTo = Target;
  Request.SentAt = Now;
  Request.SentRun = Chosen.Run;
  Request.ResponseStartedAt.reset();
  Request.IsSound = false;
  CrashHistory.parts().recordSend(Request.Item.SharedParts,
                                  hashText(Request.Item.Team.Text), Now);
  if (Request.Attempts++ == 0) {
    if (!std::exchange(Request.IsCounted, true)) {
      Forecast.recordStart(Ranks.place(Request.Item.Rank),
                           rankPart(Request.Item, Now), Now);
      Budget.recordFirstSend(Chosen.DataCentre, Now);
    }
    ++Counts.FirstSends;
  } else {
    ++Counts.Resends;
  }
  Output.emplace_back(SendCommand{Id, Chosen.Spec.Key, Request.Away});
  Request.Hinted = Choice.sent(Target, choiceQuery(Request, Now), Now);
  updateQueueSlots();
}

void Dispatcher::responseProgressed(Ticket Id, TimePoint Now) {
  RequestState *const Request = Requests.find(Id);
  if (Request == nullptr || !Request->SentTo)
    return;
  endTokenWait(*Request);
  if (Request->ResponseStartedAt) {
    if (!hasJustBegun(*Request, Now))
      recordSound(*Request, Now);
    return;
  }
  Request->ResponseStartedAt = Now;
  Choice.responseStarted(*Request->SentTo, isLate(Request->Item),
                         Request->Item.PromptTokens);
}

void Dispatcher::setRemoteLoads(std::span<const EndpointLoad> Others,
                                TimePoint Now, Commands &Output) {
  Choice.setOtherHostLoads(Others, Now);
  if (Ranks.isActive())
    setRemoteRates(Others, Now);
  pump(Now, Output);
}

void Dispatcher::attemptEnded(Ticket Id, const AttemptResult &Result,
                              TimePoint Now, Commands &Output) {
  RequestState *const Request = Requests.find(Id);
  if (Request == nullptr || !Request->SentTo)
    return;
  trackCapacity(Now);
  if (Result.Withheld) {
    takeBackSend(Id, Now, Output);
    pump(Now, Output);
    return;
  }
  recordCrashEvidence(*Request, Result, Now);
  const CandidateId FreedEndpoint = *Request->SentTo;
  endAttempt(*Request, Result, Now);
  if (Result.Answered) {
    ++Counts.Answered;
    removeRequest(Id);
  } else {
    handleFailure(Id, Result, Now, Output);
  }
  sendCacheWaiters(FreedEndpoint, Now, Output);
  pump(Now, Output);
}

void Dispatcher::endAttempt(RequestState &Request, const AttemptResult &Result,
                            TimePoint Now) {
  EndedAttempt Ended;
  Ended.Outcome = attemptOutcome(Result);
  Ended.PrefixHash = Request.Item.PrefixHash;
  Ended.Cost = Request.Item.Cost;
  Ended.Suspect = Request.Suspect;
  Ended.Hinted = Request.Hinted;
  Ended.Late = isLate(Request.Item);
  Ended.ResponseStarted = Request.ResponseStartedAt.has_value();
  Ended.PromptTokens = Request.Item.PromptTokens;
  Ended.Total =
      Result.Total > Duration::zero() ? Result.Total : Now - Request.SentAt;
  Request.LastFailedEndpoint = std::exchange(Request.SentTo, std::nullopt);
  Choice.ended(*Request.LastFailedEndpoint, Ended, Now);
}

// Failure guarded against: a request that this host held back in the last
// moment loses an attempt, and its endpoint counts as failing.
void Dispatcher::takeBackSend(Ticket Id, TimePoint Now, Commands &Output) {
  RequestState &Request = *Requests.find(Id);
  const CandidateId Target = *std::exchange(Request.SentTo, std::nullopt);
  const std::uint32_t DataCentre = Choice.candidate(Target)->DataCentre;
  EndedAttempt Ended;
  Ended.Outcome = AttemptOutcome::Deferred;
  Ended.Suspect = Request.Suspect;
  Ended.Late = isLate(Request.Item);
  Ended.PromptTokens = Request.Item.PromptTokens;
  Choice.ended(Target, Ended, Now);
  if (--Request.Attempts == 0) {
    --Counts.FirstSends;
  } else {
    --Counts.Resends;
    Budget.refund(DataCentre);
  }
  if (Now >= latestStart(Request)) {
    refuse(Id, notRun(expiryReason(Request.Item, Now)),
           retryStop(Request, RetryStop::NoTime), Output);
  } else if (!mayHold(Request)) {
    refuse(Id, notRun(Reason::Overloaded, UnknownRetryAfter),
           retryStop(Request, RetryStop::QueueFull), Output);
  } else {
    EndedHold.reset();
    Held.holdReady(Id, Request.Item.Bytes, latestStart(Request));
  }
}

// Failure guarded against: a request is sent on kept connections to endpoints
// that have crashed before, and is blamed for their crashes.
bool Dispatcher::mayHaveBegun(const RequestState &Request,
                              TimePoint Now) const {
  return Request.ResponseStartedAt ||
         Now - Request.SentAt >= Options.CrashLimits.MinTimeInFlight;
}

/// Whether the endpoint may just have begun to run a request, so that a part of
/// its prompt may crash it now.
bool Dispatcher::hasJustBegun(const RequestState &Request, TimePoint Now) {
  return !Request.ResponseStartedAt ||
         Now - *Request.ResponseStartedAt < PromptCrashTime;
}

SuspectedRequest Dispatcher::suspectedRequest(const WorkItem &Item) {
  return {Item.Fingerprint, hashText(Item.Team.Text), Item.SharedParts};
}

void Dispatcher::recordSound(RequestState &Request, TimePoint Now) {
  if (std::exchange(Request.IsSound, true))
    return;
  CrashHistory.parts().recordSound(
      Request.Item.SharedParts,
      Request.ResponseStartedAt.value_or(Request.SentAt), Now);
}

void Dispatcher::suspectParts(const RequestState &Request, TimePoint Now) {
  if (!Request.Item.SharedParts.empty() && hasJustBegun(Request, Now))
    CrashHistory.suspectParts(Choice.candidate(*Request.SentTo)->Spec.Key,
                              suspectedRequest(Request.Item), Now);
}

void Dispatcher::recordCrashEvidence(RequestState &Request,
                                     const AttemptResult &Result,
                                     TimePoint Now) {
  const EndpointSpec &Spec = Choice.candidate(*Request.SentTo)->Spec;
  const std::uint64_t Fingerprint = Request.Item.Fingerprint;
  if (Result.Answered) {
    CrashHistory.requestAnswered(Spec.Key, Fingerprint, Request.SentAt, Now);
    recordSound(Request, Now);
  } else if (Result.ConnectionLost && mayHaveBegun(Request, Now)) {
    CrashHistory.endpointLost(Spec.Key, Spec.DataCentre, Request.SentRun,
                              std::span(&Fingerprint, 1), Now);
    suspectParts(Request, Now);
  }
}

void Dispatcher::handleFailure(Ticket Id, const AttemptResult &Result,
                               TimePoint Now, Commands &Output) {
  RequestState &Request = *Requests.find(Id);
  Request.State = laterRunState(Request.State, Result.State);
  Request.LastFailureReason = Result.FailureReason;
  Request.LastFailureTime = Now;
  Request.Resumable = Request.Resumable || Result.Resumable;
  Request.NotRunAttempts += Result.State == RunState::NotRun ? 1U : 0U;
  Request.DeferredAttempts += Result.WantsBackoff ? 1U : 0U;
  if (isRefusedForStop(Request, Now))
    refuse(Id, stopRefusal(Request), RetryStop::HostStops, Output);
  else if (const auto Refusal = quarantineRefusal(Request.Item, Now))
    refuse(Id, *Refusal, RetryStop::Quarantined, Output);
  else if (!mayRetry(Request.Item, Result))
    refuse(Id, notRun(Result.FailureReason), RetryStop::NotRepeatable, Output);
  else if (!hasAttemptLeft(Request))
    refuse(Id, notRun(Result.FailureReason), RetryStop::AttemptsUsed, Output);
  else if (const auto Stop = holdForRetry(Id, Now))
    refuse(Id, retryRefusal(Request, Now), *Stop, Output);
}

/// Refusal of a request for which there is no further attempt.
Verdict Dispatcher::retryRefusal(const RequestState &Request,
                                 TimePoint Now) const {
  const std::optional<TimePoint> Permit = Choice.earliestPermit();
  if (!Permit || !Choice.allBackOff() || Request.State != RunState::NotRun)
    return notRun(Request.LastFailureReason);
  return notRun(Reason::EndpointsBackOff, retryAfter(*Permit - Now));
}

// Failure guarded against: endpoints that are closing refuse a stream that its
// caller has part of. It can no longer be refused as not run, and would be cut
// after a few of them with seconds left.
bool Dispatcher::hasAttemptLeft(const RequestState &Request) const noexcept {
  const std::uint32_t Excepted =
      Request.Resumable ? Request.NotRunAttempts : Request.DeferredAttempts;
  const std::uint32_t Counted = Request.Attempts - Excepted;
  return Counted < Options.Retries.MaxAttempts;
}

bool Dispatcher::mayResend(Ticket Id, TimePoint Now) const {
  const RequestState *const Request = Requests.find(Id);
  if (Request == nullptr || !hasAttemptLeft(*Request) ||
      Stage == StopStage::NoSending || endsAfterStop(*Request, Now))
    return false;
  const TimePoint Latest = latestStart(Request->Item, Options.RetryMargin);
  const TimePoint Earliest = Choice.earliestPermit().value_or(Now);
  return std::max(Now, Earliest) < Latest && Choice.usable() &&
         !quarantineRefusal(Request->Item, Now);
}

// Failure guarded against: an endpoint that is silent for a moment loses its
// streams to endpoints that cannot take them, and their callers lose answers
// that it would have completed.
bool Dispatcher::mayBeginMove(Ticket Id, TimePoint Now) {
  RequestState *const Request = Requests.find(Id);
  if (Request == nullptr || !Request->SentTo || Request->Move)
    return false;
  if (canMove(*Request, Now))
    return mayTakeToken(*Request, Now);
  endTokenWait(*Request);
  return false;
}

/// Whether another endpoint has a slot for a request, and time is left.
bool Dispatcher::canMove(const RequestState &Request, TimePoint Now) const {
  if (!hasAttemptLeft(Request) || Stage == StopStage::NoSending)
    return false;
  const TimePoint End = std::min(Request.Item.Deadline, LastAnswerAt);
  const TimePoint Latest = latestStart(Request.Item, Options.RetryMargin) -
                           (Request.Item.Deadline - End);
  return Now < Latest && !Choice.earliestPermit() &&
         Choice.hasRoomBeside(*Request.SentTo) &&
         !quarantineRefusal(Request.Item, Now);
}

Dispatcher::SentAttempt Dispatcher::RequestState::takeAttempt() {
  return {*std::exchange(SentTo, std::nullopt),
          SentAt,
          SentRun,
          Hinted,
          std::exchange(ResponseStartedAt, std::nullopt),
          std::exchange(IsSound, false)};
}

void Dispatcher::RequestState::setAttempt(const SentAttempt &Attempt) {
  SentTo = Attempt.Endpoint;
  SentAt = Attempt.At;
  SentRun = Attempt.Run;
  Hinted = Attempt.Hinted;
  ResponseStartedAt = Attempt.ResponseStartedAt;
  IsSound = Attempt.IsSound;
}

std::optional<SendCommand> Dispatcher::beginMove(Ticket Id, TimePoint Now) {
  if (!mayBeginMove(Id, Now))
    return std::nullopt;
  RequestState &Request = *Requests.find(Id);
  ChoiceQuery Query = choiceQuery(Request, Now);
  Query.Avoid = Request.SentTo;
  Query.CachedOnly = false;
  const std::optional<CandidateId> Target = Choice.choose(Query, Now);
  if (!Target || Target == Request.SentTo)
    return std::nullopt;
  const Candidate &Chosen = *Choice.candidate(*Target);
  if (!Budget.take(Chosen.DataCentre, RetryPrecedence::BegunStream, Now))
    return std::nullopt;
  CrashHistory.parts().recordSend(Request.Item.SharedParts,
                                  hashText(Request.Item.Team.Text), Now);
  ++Request.Attempts;
  ++Counts.Resends;
  const AwayReason Away = Choice.away();
  const bool IsHinted = Choice.sent(*Target, Query, Now);
  Request.Move =
      SentAttempt{*Target, Now, Chosen.Run, IsHinted, std::nullopt, false};
  updateQueueSlots();
  return SendCommand{Id, Chosen.Spec.Key, Away};
}

void Dispatcher::completeMove(Ticket Id, TimePoint Now, Commands &Output) {
  RequestState *const Request = Requests.find(Id);
  if (Request == nullptr || !Request->Move)
    return;
  const CandidateId Left = *Request->SentTo;
  AttemptResult Result;
  Result.State = RunState::MayHaveRun;
  Result.FailureReason = Reason::EndpointCut;
  endAttempt(*Request, Result, Now);
  Request->State = laterRunState(Request->State, Result.State);
  Request->LastFailureReason = Result.FailureReason;
  Request->LastFailureTime = Now;
  Request->setAttempt(*std::exchange(Request->Move, std::nullopt));
  sendCacheWaiters(Left, Now, Output);
  pump(Now, Output);
}

void Dispatcher::abandonMove(Ticket Id, const AttemptResult &Result,
                             TimePoint Now, Commands &Output) {
  RequestState *const Request = Requests.find(Id);
  if (Request == nullptr || !Request->Move)
    return;
  const SentAttempt Remaining = Request->takeAttempt();
  Request->setAttempt(*std::exchange(Request->Move, std::nullopt));
  const CandidateId Left = *Request->SentTo;
  if (Result.Withheld) {
    --Request->Attempts;
    --Counts.Resends;
    Budget.refund(Choice.candidate(Left)->DataCentre);
  } else {
    recordCrashEvidence(*Request, Result, Now);
    Request->NotRunAttempts += Result.State == RunState::NotRun ? 1U : 0U;
    Request->DeferredAttempts += Result.WantsBackoff ? 1U : 0U;
  }
  Request->State = laterRunState(Request->State, Result.State);
  endAttempt(*Request, Result, Now);
  Request->setAttempt(Remaining);
  sendCacheWaiters(Left, Now, Output);
  pump(Now, Output);
}

// Failure guarded against: thousands of requests fail at once and are held with
// their bodies in memory, in addition to a queue that is already full. A stream
// that its caller has part of can only be held or cut.
bool Dispatcher::mayHold(const RequestState &Request) const {
  if (Request.Resumable)
    return true;
  return Held.size() < Options.MaxWaiting &&
         Held.bytes() + Request.Item.Bytes <= Options.MaxWaitingBytes;
}

/// Holds a request until its next attempt.
/// @return Why there is no further attempt; nothing when it is held.
std::optional<RetryStop> Dispatcher::holdForRetry(Ticket Id, TimePoint Now) {
  RequestState &Request = *Requests.find(Id);
  const Duration TimeLeft = latestStart(Request) - Now;
  const std::optional<Duration> Delay =
      retryDelay(Options.Retries, Request.Delays, TimeLeft, Rng);
  if (!Delay)
    return RetryStop::NoTime;
  const std::optional<TimePoint> Permit = Choice.earliestPermit();
  if (Permit && *Permit > latestResume(Request, Now) && !Request.Resumable)
    return RetryStop::NoTime;
  if (!mayHold(Request))
    return RetryStop::QueueFull;
  ++Request.Delays;
  EndedHold.reset();
  Held.holdUntil(Id, Request.Item.Bytes, Now + *Delay);
  return std::nullopt;
}

// Failure guarded against: requests that endpoints refuse take every token as
// it is earned, and a stream that its caller has part of finds none until its
// time is over. While such streams wait, others leave a token for each of them.
bool Dispatcher::mayTakeToken(RequestState &Request, TimePoint Now) {
  const bool HasBegun =
      Request.Resumable || (Request.SentTo && Request.ResponseStartedAt);
  const bool MayTake = Budget.hasToken(retryPrecedence(HasBegun), Now);
  if (MayTake) {
    endTokenWait(Request);
  } else if (HasBegun && !std::exchange(Request.WaitsForToken, true)) {
    Budget.addWaitingStream();
  }
  return MayTake;
}

void Dispatcher::endTokenWait(RequestState &Request) {
  if (std::exchange(Request.WaitsForToken, false))
    Budget.removeWaitingStream();
}

void Dispatcher::waitForBudget(Ticket Id, TimePoint Now, Commands &Output) {
  RequestState &Request = *Requests.find(Id);
  Held.remove(Id);
  Budget.recordWait();
  // The caller of a resumable stream has received part of it, so that it can no
  // longer be refused as not run: the number of its waits for the budget is not
  // limited.
  const bool MayWait =
      Request.Resumable || Request.BudgetWaits < Options.Retries.MaxBudgetWaits;
  ++Request.BudgetWaits;
  if (MayWait && !holdForRetry(Id, Now))
    return;
  ++Counts.BudgetExhausted;
  refuse(Id, notRun(Request.LastFailureReason, UnknownRetryAfter),
         RetryStop::BudgetUsed, Output);
}

void Dispatcher::cancel(Ticket Id, TimePoint Now, Commands &Output) {
  RequestState *const Removed = Requests.find(Id);
  if (Removed == nullptr)
    return;
  AttemptResult Result;
  Result.FailureReason = Reason::Cancelled;
  if (Removed->SentTo)
    endAttempt(*Removed, Result, Now);
  if (Removed->Move) {
    Removed->setAttempt(*std::exchange(Removed->Move, std::nullopt));
    endAttempt(*Removed, Result, Now);
  }
  Queue.remove(Id);
  Held.remove(Id);
  removeRequest(Id);
  pump(Now, Output);
}

void Dispatcher::observe(const LoadReport &Report, TimePoint Now,
                         Commands &Output) {
  const std::optional<CandidateId> Id = Choice.find(Report.EndpointKey);
  if (!Id)
    return;
  const Incarnation OldRun = Choice.candidate(*Id)->Run;
  if (Choice.observe(*Id, Report, Now))
    recordRestart(*Id, OldRun, Now);
  pump(Now, Output);
}

void Dispatcher::recordRestart(CandidateId Id, Incarnation OldRun,
                               TimePoint Now) {
  std::vector<std::uint64_t> InFlight;
  const auto WasThere = [&](const RequestState &Request) {
    return Request.SentTo == Id && Request.SentRun == OldRun;
  };
  Requests.each([&](Ticket /*Id*/, const RequestState &Request) {
    if (WasThere(Request))
      InFlight.push_back(Request.Item.Fingerprint);
  });
  if (InFlight.empty())
    return;
  const EndpointSpec &Spec = Choice.candidate(Id)->Spec;
  if (!CrashHistory.endpointRestarted(Spec.Key, Spec.DataCentre, OldRun,
                                      InFlight, Now))
    return;
  Requests.each([&](Ticket /*Id*/, const RequestState &Request) {
    if (WasThere(Request))
      suspectParts(Request, Now);
  });
}

void Dispatcher::observeCache(std::string_view EndpointKey,
                              const CacheChange &Change, TimePoint Now) {
  if (const std::optional<CandidateId> Id = Choice.find(EndpointKey))
    Choice.observeCache(*Id, Change, Now);
}

void Dispatcher::observeClosed(std::string_view EndpointKey, TimePoint Now) {
  CrashHistory.endpointClosed(EndpointKey, Now);
}

// Failure guarded against: requests that wait with a part that is refused by
// now are sent when an endpoint becomes free, or hear of it at their deadline
// only.
void Dispatcher::reviewEvidence(TimePoint Now, Commands &Output) {
  const std::size_t RefusedBefore = refusedParts();
  CrashHistory.parts().review(Now);
  if (refusedParts() <= RefusedBefore)
    return;
  for (const Ticket Id : Held.all())
    if (const auto Refusal = quarantineRefusal(Requests.find(Id)->Item, Now)) {
      Held.remove(Id);
      refuse(Id, *Refusal, RetryStop::Quarantined, Output);
    }
  for (const Ticket Id : Queue.all())
    if (const auto Refusal = quarantineRefusal(Requests.find(Id)->Item, Now)) {
      Queue.remove(Id);
      refuse(Id, *Refusal, RetryStop::Quarantined, Output);
    }
}

std::vector<EndpointNotice> Dispatcher::takeNotices(TimePoint Now) {
  return CrashHistory.takeNotices(Now);
}

bool Dispatcher::observeNotice(const EndpointNotice &Notice, TimePoint Now) {
  return CrashHistory.observe(Notice, Now);
}

void Dispatcher::advance(TimePoint Now, Commands &Output) {
  Choice.advance(Now);
  pump(Now, Output);
  refuseUnmeetable(Now, Output);
  if (holdExpired(Now)) {
    refuseWaiting(noCapacityVerdict(), Output);
    EndedHold = holdDeadline();
  }
  refuseForStop(Now, Output);
}

void Dispatcher::announceStop(TimePoint LastAnswer, TimePoint Now,
                              Commands &Output) {
  LastAnswerAt = LastAnswer;
  refuseForStop(Now, Output);
}

void Dispatcher::stop(StopStage NewStage, TimePoint Now, Commands &Output) {
  Stage = std::max(Stage, NewStage);
  pump(Now, Output);
  refuseForStop(Now, Output);
}

// Failure guarded against: a request is sent to an endpoint shortly before its
// host ends, and its caller, who may not repeat it then, hears that it may have
// run. A stream that has begun has nothing to lose.
bool Dispatcher::endsAfterStop(const RequestState &Request,
                               TimePoint Now) const {
  return !Request.Resumable && LastAnswerAt != TimePoint::max() &&
         Now + expectedService(Request.Item) > LastAnswerAt;
}

/// Whether a request that is at no endpoint is refused because the host stops.
bool Dispatcher::isRefusedForStop(const RequestState &Request,
                                  TimePoint Now) const {
  return Stage == StopStage::NoSending || endsAfterStop(Request, Now) ||
         (Stage == StopStage::NoWaiting && Request.State == RunState::NotRun &&
          !Request.Resumable);
}

Verdict Dispatcher::stopRefusal(const RequestState &Request) {
  return notRun(Request.State == RunState::NotRun ? Reason::Stopping
                                                  : Request.LastFailureReason);
}

// Failure guarded against: requests wait for a slot until the process ends, and
// their callers, who may not repeat them, hear nothing.
void Dispatcher::refuseForStop(TimePoint Now, Commands &Output) {
  if (Stage == StopStage::None && LastAnswerAt == TimePoint::max())
    return;
  const auto IsRefused = [&](Ticket Id) {
    return isRefusedForStop(*Requests.find(Id), Now);
  };
  for (const Ticket Id : takeWaiting(IsRefused))
    refuse(Id, stopRefusal(*Requests.find(Id)),
           retryStop(*Requests.find(Id), RetryStop::HostStops), Output);
}

std::optional<TimePoint> Dispatcher::nextWake() const {
  std::optional<TimePoint> Earliest;
  const auto Consider = [&](std::optional<TimePoint> When) {
    if (When && (!Earliest || *When < *Earliest))
      Earliest = When;
  };
  if (waiting() == 0)
    return Earliest;
  Consider(Queue.earliestExpiry());
  Consider(Held.earliest());
  Consider(Choice.nextChange());
  Consider(ShedCheckAt);
  if (holdDeadline() != EndedHold)
    Consider(holdDeadline());
  return Earliest;
}

std::size_t Dispatcher::waiting() const noexcept {
  return Queue.size() + Held.size();
}

void Dispatcher::pump(TimePoint Now, Commands &Output) {
  trackCapacity(Now);
  Forecast.advance(Now);
  LastCallAt = Now;
  expire(Now, Output);
  refuseLimited(Now, Output);
  sendHeld(Now, Output);
  sendWaiting(Now, Output);
}

void Dispatcher::expire(TimePoint Now, Commands &Output) {
  while (const std::optional<Ticket> Id = Queue.popExpired(Now)) {
    const RequestState &Request = *Requests.find(*Id);
    refuse(
        *Id,
        notRun(expiryReason(Request.Item, Now), retryAfterOfRank(Request.Item)),
        retryStop(Request, RetryStop::NoTime), Output);
  }
  while (const std::optional<Ticket> Id = Held.popDue(Now))
    expireHeld(*Id, Now, Output);
}

void Dispatcher::expireHeld(Ticket Id, TimePoint Now, Commands &Output) {
  const RequestState &Request = *Requests.find(Id);
  const TimePoint Latest = latestStart(Request);
  if (Now < Latest) {
    Held.holdReady(Id, Request.Item.Bytes, Latest);
    return;
  }
  const Reason UntriedReason = expiryReason(Request.Item, Now);
  refuse(
      Id,
      notRun(Request.Attempts > 0 ? Request.LastFailureReason : UntriedReason),
      retryStop(Request, RetryStop::NoTime), Output);
}

void Dispatcher::sendHeld(TimePoint Now, Commands &Output) {
  std::size_t Misses = 0;
  while (Misses == 0 && Choice.hasRoom()) {
    const std::vector<Ticket> Ready = Held.ready(MaxMisses);
    if (Ready.empty())
      return;
    for (const Ticket Id : Ready)
      Misses += placeHeld(Id, Now, Output) == PlaceResult::NoSlot ? 1U : 0U;
  }
}

/// Sends requests that wait for a slot at the endpoint where one became free.
void Dispatcher::sendCacheWaiters(CandidateId FreedEndpoint, TimePoint Now,
                                  Commands &Output) {
  while (const std::optional<Ticket> Id =
             Held.firstWaitingFor(FreedEndpoint.Index)) {
    const Candidate *const Endpoint = Choice.candidate(FreedEndpoint);
    if (Endpoint == nullptr || !Endpoint->open() ||
        placeHeld(*Id, Now, Output) == PlaceResult::NoSlot)
      return;
  }
}

Dispatcher::PlaceResult Dispatcher::placeHeld(Ticket Id, TimePoint Now,
                                              Commands &Output) {
  RequestState &Request = *Requests.find(Id);
  if (const auto Refusal = quarantineRefusal(Request.Item, Now)) {
    Held.remove(Id);
    refuse(Id, *Refusal, RetryStop::Quarantined, Output);
    return PlaceResult::Handled;
  }
  if (Request.Attempts > 0 && !mayTakeToken(Request, Now)) {
    waitForBudget(Id, Now, Output);
    return PlaceResult::Handled;
  }
  const std::optional<CandidateId> Target = chooseEndpoint(Request, Now);
  if (!Target)
    return PlaceResult::NoSlot;
  if (Request.Attempts > 0 &&
      !Budget.take(Choice.candidate(*Target)->DataCentre,
                   retryPrecedence(Request.Resumable), Now)) {
    waitForBudget(Id, Now, Output);
    return PlaceResult::Handled;
  }
  Held.remove(Id);
  send(Id, *Target, Now, Output);
  return PlaceResult::Handled;
}

// Failure guarded against: head-of-line blocking by a request, such as a
// suspect, for which no endpoint with a free slot is suitable at present. It is
// moved to the held requests and the next one is tried.
void Dispatcher::sendWaiting(TimePoint Now, Commands &Output) {
  sendMinimumStarts(Now, Output);
  std::size_t Misses = 0;
  for (std::size_t Level = 0; Level < Queue.levels(); ++Level)
    while (Misses < MaxMisses && Choice.hasRoom() && Queue.peek(Level)) {
      const PlaceResult Result = sendFirst(Level, Now, Output);
      if (Result == PlaceResult::HeldAside)
        ++Misses;
      if (Result != PlaceResult::NoSlot)
        continue;
      // Late requests leave slots free for all that can be on time.
      if (!Ranks.isActive() || !RankOrder::isLateLevel(Level))
        return;
      break;
    }
}

/// Sends the next request of a level.
Dispatcher::PlaceResult Dispatcher::sendFirst(std::size_t Level, TimePoint Now,
                                              Commands &Output) {
  const Ticket Id = *Queue.peek(Level);
  RequestState &Request = *Requests.find(Id);
  const auto Refusal = quarantineRefusal(Request.Item, Now);
  const std::optional<CandidateId> Target =
      Refusal ? std::nullopt : chooseEndpoint(Request, Now);
  if (!Refusal && !Target && !Request.Suspect && !waitsForCache(Request, Now))
    return PlaceResult::NoSlot;
  Request.InProgress = Queue.pop(Level).has_value();
  if (Refusal) {
    refuse(Id, *Refusal, RetryStop::Quarantined, Output);
    return PlaceResult::Handled;
  }
  if (Target) {
    send(Id, *Target, Now, Output);
    return PlaceResult::Handled;
  }
  holdAside(Id, Now, Output);
  return PlaceResult::HeldAside;
}

// Failure guarded against: more urgent requests arrive without a pause, and
// callers of a lower rank are all refused.
void Dispatcher::sendMinimumStarts(TimePoint Now, Commands &Output) {
  if (!Ranks.isActive())
    return;
  for (std::size_t Place = 1; Place < RankOrder::MaxPlaces; ++Place) {
    PlaceBelowMinimum = Place;
    for (const RankPart Part : {RankPart::WithinShare, RankPart::AboveShare}) {
      const std::size_t Level = RankOrder::levelOf(Place, Part);
      while (Forecast.isBelowMinimum(Place) && Choice.hasRoom() &&
             Queue.peek(Level))
        if (sendFirst(Level, Now, Output) != PlaceResult::Handled)
          break;
    }
  }
  PlaceBelowMinimum.reset();
}

/// When room for a request of its rank is expected, where ranks differ.
std::optional<milliseconds>
Dispatcher::retryAfterOfRank(const WorkItem &Item) const {
  if (!Ranks.isActive())
    return std::nullopt;
  const std::size_t Level = Ranks.queueLevel(
      Item.Rank, isLate(Item) ? RankPart::Late : RankPart::AboveShare);
  const std::optional<Duration> Wait = Forecast.expectedWait(
      Ranks.place(Item.Rank), Queue.waitingUpTo(Level) + 1);
  return Wait ? retryAfter(*Wait) : UnknownRetryAfter;
}

void Dispatcher::updateQueueSlots() {
  Queue.setSlots(Choice.throughput().Slots,
                 static_cast<double>(Choice.freeSlots()));
}

void Dispatcher::holdAside(Ticket Id, TimePoint Now, Commands &Output) {
  const RequestState &Request = *Requests.find(Id);
  const TimePoint Until = waitsForCache(Request, Now) ? *Request.CacheWaitUntil
                                                      : latestStart(Request);
  if (mayHold(Request)) {
    EndedHold.reset();
    Held.holdReady(Id, Request.Item.Bytes, Until);
  } else
    refuse(Id, notRun(Reason::Overloaded, UnknownRetryAfter),
           retryStop(Request, RetryStop::QueueFull), Output);
}

void Dispatcher::trackCapacity(TimePoint Now) {
  Choice.updateLimits(Traffic.value(Now), Now);
  if (Choice.usable())
    UnusableSince.reset();
  else if (!UnusableSince)
    UnusableSince = Now;
  if (waiting() == 0)
    WaitingSince.reset();
  const double Slots = Choice.throughput().Slots;
  updateQueueSlots();
  if (Slots > ReferenceSlots)
    ReferenceSlots = Slots;
  if (Slots < CapacityDrop * ReferenceSlots && !ShedCheckAt)
    ShedCheckAt = Now + ShedDelay;
}

// Failure guarded against: half of the endpoints are lost, and callers whose
// requests can no longer be served in time learn that only at their deadline.
void Dispatcher::refuseUnmeetable(TimePoint Now, Commands &Output) {
  if (!ShedCheckAt || Now < *ShedCheckAt)
    return;
  ShedCheckAt.reset();
  const Throughput Speed = expectedThroughput(Now);
  ReferenceSlots = Choice.throughput().Slots;
  if (!Speed.known())
    return;
  for (const Ticket Id : Queue.unmeetable(Speed, Now)) {
    const RequestState &Request = *Requests.find(Id);
    const Duration Wait = Queue.estimatedWait(
        Request.Team, Request.Item.Urgency, Request.Item.Cost, Speed);
    Queue.remove(Id);
    refuse(Id, notRun(Reason::DeadlineTooShort, retryAfter(Wait)),
           retryStop(Request, RetryStop::NoTime), Output);
  }
}

/// Removes the requests that wait and meet a condition, and returns them.
std::vector<Ticket>
Dispatcher::takeWaiting(const std::function<bool(Ticket)> &IsTaken) {
  std::vector<Ticket> Taken;
  for (const Ticket Id : Held.all())
    if (IsTaken(Id)) {
      Held.remove(Id);
      Taken.push_back(Id);
    }
  for (const Ticket Id : Queue.all())
    if (IsTaken(Id)) {
      Queue.remove(Id);
      Taken.push_back(Id);
    }
  return Taken;
}

// Failure guarded against: the last endpoint of a pool asks for a back-off, and
// callers whose requests wait learn that it is too long at their deadline only.
void Dispatcher::refuseLimited(TimePoint Now, Commands &Output) {
  const std::optional<TimePoint> Permit = Choice.earliestPermit();
  if (std::exchange(CheckedPermit, Permit) == Permit || !Permit)
    return;
  const auto IsTooLate = [&](Ticket Id) {
    const RequestState &Request = *Requests.find(Id);
    return !Request.Resumable && *Permit > latestResume(Request, Now);
  };
  for (const Ticket Id : takeWaiting(IsTooLate)) {
    const RequestState &Request = *Requests.find(Id);
    refuse(Id, limitRefusal(Request, *Permit - Now, Now),
           retryStop(Request, RetryStop::NoTime), Output);
  }
}

// Failure guarded against: a pool has no endpoint while its groups form anew,
// and streams that their callers have part of are cut with seconds left. They
// cannot be refused as not run and are held as long as there is time.
void Dispatcher::refuseWaiting(const Verdict &Refusal, Commands &Output) {
  std::vector<Ticket> Removed;
  for (const Ticket Id : Held.all())
    if (!Requests.find(Id)->Resumable)
      Removed.push_back(Id);
  for (const Ticket Id : Removed)
    Held.remove(Id);
  for (const Ticket Id : Queue.all()) {
    Queue.remove(Id);
    Removed.push_back(Id);
  }
  for (const Ticket Id : Removed)
    refuse(Id, Refusal, retryStop(*Requests.find(Id), RetryStop::NoEndpoint),
           Output);
}

/// Ends a request that was not answered. Its run state is the furthest that any
/// of its attempts reached.
void Dispatcher::refuse(Ticket Id, Verdict Refusal, RetryStop Stop,
                        Commands &Output) {
  const RequestState &Request = *Requests.find(Id);
  Refusal.State = laterRunState(Refusal.State, Request.State);
  const RefusalDetails Basis{Stop, Request.Attempts, Request.BudgetWaits,
                             Choice.size(), Request.LastFailureTime};
  ++Counts.Refused;
  Counts.RefusedTooShort += Refusal.Why == Reason::DeadlineTooShort ? 1U : 0U;
  Counts.RefusedOverloaded += Refusal.Why == Reason::Overloaded ? 1U : 0U;
  Counts.RefusedQuarantined += Refusal.Why == Reason::Quarantined ||
                                       Refusal.Why == Reason::PartQuarantined
                                   ? 1U
                                   : 0U;
  removeRequest(Id);
  Output.emplace_back(RefuseCommand{Id, Refusal, Basis});
}

RetryStop Dispatcher::retryStop(const RequestState &Request,
                                RetryStop StopIfTried) noexcept {
  return Request.Attempts > 0 ? StopIfTried : RetryStop::NotTried;
}

void Dispatcher::removeRequest(Ticket Id) {
  std::optional<RequestState> Removed = Requests.erase(Id);
  endTokenWait(*Removed);
  if (Removed->InProgress)
    Queue.requestEnded(Removed->Team);
}

} // namespace coltsfoottrail
