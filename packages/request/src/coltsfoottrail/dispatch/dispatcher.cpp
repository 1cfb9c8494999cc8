#include "coltsfoottrail/dispatch/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr milliseconds ShortestRetryAfter{100};
constexpr milliseconds LongestRetryAfter{30000};
constexpr milliseconds UnknownRetryAfter{500};
/// Requests tried in a row that no endpoint with room fits.
constexpr std::size_t MostMisses = 8;
/// Capacity that has fallen below this part makes the queue be looked through.
constexpr double CapacityDrop = 0.9;
/// Shares are set one by one; a fall must last this long to count.
constexpr Duration ShedDelay = milliseconds(100);

milliseconds retryAfter(Duration Wait) {
  return std::clamp(std::chrono::ceil<milliseconds>(Wait), ShortestRetryAfter,
                    LongestRetryAfter);
}

Verdict notRun(Reason Why, std::optional<milliseconds> After = std::nullopt) {
  return Verdict{RunState::NotRun, Why, After};
}

// Failure guarded against: callers with short deadlines make sound endpoints
// look broken. A time-out is no failure of the endpoint; its length counts as
// time of service.
AttemptOutcome outcomeOf(const AttemptResult &Result) {
  if (Result.Answered)
    return AttemptOutcome::Answered;
  if (Result.ConnectionLost)
    return AttemptOutcome::Failed;
  switch (Result.Why) {
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

/// Why a request whose latest start has passed is refused.
Reason expiryOf(const WorkItem &Item, TimePoint Now) {
  if (Item.Deadline <= Now)
    return Reason::DeadlinePassed;
  return Item.StartBy <= Now ? Reason::Overloaded : Reason::DeadlineTooShort;
}

QueueLimits queueLimits(const DispatcherOptions &Limits) {
  QueueLimits Out;
  Out.MaxWaiting = Limits.MaxWaiting;
  Out.MaxBytes = Limits.MaxWaitingBytes;
  Out.KeptPlaces = Limits.KeptPlaces;
  return Out;
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions Limits)
    : Options(std::move(Limits)), Draw(Options.Seed),
      Choice(Options.Self, Options.Policy, Draw()), Queue(queueLimits(Options)),
      Budget(Options.Retries.Budget, Options.RetryTokens),
      Crashes(Options.Crashes) {}

void Dispatcher::configure(const Pool &Wanted, TimePoint Now, Commands &Out) {
  Choice.configure(Wanted);
  pump(Now, Out);
}

void Dispatcher::setShare(std::string_view EndpointKey, std::uint32_t Share,
                          TimePoint Now, Commands &Out) {
  const std::optional<CandidateId> Which = Choice.find(EndpointKey);
  if (!Which)
    return;
  Choice.setShare(*Which, Share);
  pump(Now, Out);
}

void Dispatcher::setTeam(const TeamName &Team, TeamShare Wanted, TimePoint Now,
                         Commands &Out) {
  Queue.setTeam(Queue.team(Team), Wanted);
  pump(Now, Out);
}

Ticket Dispatcher::submit(WorkItem Item, TimePoint Now, Commands &Out) {
  ++Counts.Submitted;
  const TeamId Team = Queue.team(Item.Team);
  Request Asked;
  Asked.Item = std::move(Item);
  Asked.Team = Team;
  const Ticket Which = Requests.insert(std::move(Asked));
  watchCapacity(Now);
  if (const auto Final = refusalAtOnce(*Requests.find(Which), Now)) {
    refuse(Which, *Final, RetryStop::NotTried, Out);
    return Which;
  }
  if (startNow(Which, Now, Out))
    return Which;
  if (const auto Final = refusalToWait(*Requests.find(Which), Now)) {
    refuse(Which, *Final, RetryStop::NotTried, Out);
    return Which;
  }
  enqueue(Which, Now);
  return Which;
}

std::optional<Verdict> Dispatcher::refusalAtOnce(const Request &Asked,
                                                 TimePoint Now) const {
  if (Asked.Item.Deadline <= Now)
    return notRun(Reason::DeadlinePassed);
  if (Crashes.standing(Asked.Item.Fingerprint, Now) == Standing::Quarantined)
    return notRun(Reason::Quarantined);
  if (heldTooLong(Now))
    return emptyVerdict();
  return std::nullopt;
}

// Failure guarded against: the estimate is wrong, every request is refused by
// it, and so it is never corrected. Only a request that has to wait is refused;
// while an endpoint has room, requests go there and their answers correct it.
std::optional<Verdict> Dispatcher::refusalToWait(const Request &Asked,
                                                 TimePoint Now) const {
  const WorkItem &Item = Asked.Item;
  const Throughput Speed = speed(Now);
  const Duration Wait =
      Speed.known()
          ? Queue.estimatedWait(Asked.Team, Item.Urgency, Item.Cost, Speed)
          : Duration::zero();
  if (const std::optional<Reason> Full = Queue.refusal(Asked.Team, Item.Bytes))
    return notRun(*Full, Speed.known() ? retryAfter(Wait) : UnknownRetryAfter);
  if (Speed.known() && Now + Wait > latestStart(Asked))
    return notRun(Reason::DeadlineTooShort, retryAfter(Wait));
  return std::nullopt;
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

TimePoint Dispatcher::latestStart(const Request &Asked) const {
  if (Asked.Attempts > 0)
    return latestStart(Asked.Item, Options.RetryMargin);
  return std::min(Asked.Item.StartBy,
                  latestStart(Asked.Item, Options.ServiceMargin));
}

// Failure guarded against: shares are given on demand and lapse when they are
// not used. After a quiet time this host has none, and the first requests would
// be refused by an estimate for no places at all.
Throughput Dispatcher::speed(TimePoint Now) const {
  Throughput Out = Choice.throughput();
  if (!WaitingSince || Now < *WaitingSince + Options.ShareGrace)
    Out.Slots = std::max(Out.Slots, ExpectedPlaces);
  return Out;
}

/// When requests that wait for the first endpoint or share are given up.
std::optional<TimePoint> Dispatcher::holdEnd() const {
  if (!EmptySince)
    return std::nullopt;
  if (Choice.size() == 0)
    return *EmptySince + Options.NoEndpointHold;
  if (!WaitingSince)
    return std::nullopt;
  return std::max(*EmptySince, *WaitingSince) + Options.NoShareHold;
}

bool Dispatcher::heldTooLong(TimePoint Now) const {
  const std::optional<TimePoint> End = holdEnd();
  return End && *End <= Now;
}

Verdict Dispatcher::emptyVerdict() const {
  const Reason Why =
      Choice.size() == 0 ? Reason::NoEndpoint : Reason::Overloaded;
  return notRun(Why, std::chrono::ceil<milliseconds>(Options.NoEndpointHold));
}

bool Dispatcher::startNow(Ticket Which, TimePoint Now, Commands &Out) {
  Request &Asked = *Requests.find(Which);
  if (!Queue.mayPass(Asked.Team) || !Choice.hasRoom())
    return false;
  const std::optional<CandidateId> To = chooseFor(Asked, Now);
  if (!To && !waitsForCache(Asked, Now))
    return false;
  Queue.pass(Asked.Team, Asked.Item.Cost);
  Asked.InProgress = true;
  if (!To) {
    stepAside(Which, Now, Out);
    return true;
  }
  send(Which, *To, Now, Out);
  return true;
}

void Dispatcher::enqueue(Ticket Which, TimePoint Now) {
  const Request &Asked = *Requests.find(Which);
  const WorkItem &Item = Asked.Item;
  Queue.push(Asked.Team, QueueItem{Which, Item.Urgency, latestStart(Asked),
                                   Item.Bytes, Item.Cost});
  if (!WaitingSince)
    WaitingSince = Now;
  if (ExpectedPlaces > Choice.throughput().Slots && !ShedAt)
    ShedAt = *WaitingSince + Options.ShareGrace;
}

ChoiceQuery Dispatcher::queryOf(const Request &Asked, TimePoint Now) const {
  const WorkItem &Item = Asked.Item;
  ChoiceQuery Query;
  Query.PrefixHash = Item.PrefixHash;
  Query.Cost = Item.Cost;
  Query.Overcommit = Item.Overcommit;
  Query.PromptTokens = Item.PromptTokens;
  if (Item.FirstEventBy < TimePoint::max() && Asked.Attempts == 0)
    Query.FirstEventWithin = Item.FirstEventBy - Now;
  Query.WaitingPart = Item.WaitingPart;
  Query.Late = Item.Urgency == Priority::Batch;
  Query.Avoid = Asked.FailedAt;
  Query.Suspect = Asked.Suspect;
  Query.Repeatable = Item.Repeatable;
  Query.Patience = Item.Deadline - Now;
  Query.CachedOnly = waitsForCache(Asked, Now);
  return Query;
}

std::optional<CandidateId> Dispatcher::chooseFor(Request &Asked,
                                                 TimePoint Now) {
  Asked.Suspect =
      Crashes.standing(Asked.Item.Fingerprint, Now) == Standing::Suspect;
  if (!Asked.CachedUntil)
    Asked.CachedUntil = cacheDelayEnd(Asked, Now);
  return Choice.choose(queryOf(Asked, Now), Now);
}

// Failure guarded against: under load the endpoints that have a prefix are full
// at the moment, its requests go elsewhere and push other prefixes out, misses
// take longer, and the pool stays overloaded by load that it bore before. A
// request waits for a place where its prefix is, no longer than the prefix
// saves, and only as long as few others do.
TimePoint Dispatcher::cacheDelayEnd(const Request &Asked, TimePoint Now) const {
  const double Waiters = static_cast<double>(Held.choosy());
  if (Asked.Item.PrefixHash == 0 ||
      Waiters >= Options.CacheWaiters * Choice.throughput().Slots)
    return Now;
  const double Part = Options.CacheDelay * Choice.cacheSaving();
  const Duration Delay =
      std::chrono::duration_cast<Duration>(expectedService(Asked.Item) * Part);
  return std::min(Now + Delay, latestStart(Asked));
}

bool Dispatcher::waitsForCache(const Request &Asked, TimePoint Now) {
  return Asked.CachedUntil && Now < *Asked.CachedUntil;
}

void Dispatcher::send(Ticket Which, CandidateId To, TimePoint Now,
                      Commands &Out) {
  Request &Asked = *Requests.find(Which);
  const Candidate &Chosen = *Choice.candidate(To);
  Asked.SentTo = To;
  Asked.SentAt = Now;
  Asked.SentRun = Chosen.Run;
  Asked.Begun = false;
  if (Asked.Attempts++ == 0) {
    Budget.firstSend(Chosen.DataCentre);
    ++Counts.FirstSends;
  } else {
    ++Counts.Resends;
  }
  Out.emplace_back(SendCommand{Which, Chosen.Spec.Key});
  Asked.Hinted = Choice.sent(To, queryOf(Asked, Now), Now);
  countPlaces();
}

void Dispatcher::begun(Ticket Which) {
  Request *const Asked = Requests.find(Which);
  if (Asked == nullptr || !Asked->SentTo || std::exchange(Asked->Begun, true))
    return;
  Choice.begun(*Asked->SentTo, Asked->Item.Urgency == Priority::Batch,
               Asked->Item.PromptTokens);
}

void Dispatcher::share(std::span<const EndpointLoad> Others, TimePoint Now,
                       Commands &Out) {
  Choice.share(Others, Now);
  pump(Now, Out);
}

void Dispatcher::finished(Ticket Which, const AttemptResult &Result,
                          TimePoint Now, Commands &Out) {
  Request *const Asked = Requests.find(Which);
  if (Asked == nullptr || !Asked->SentTo)
    return;
  noteEvidence(*Asked, Result, Now);
  const CandidateId Freed = *Asked->SentTo;
  endAttempt(*Asked, Result, Now);
  if (Result.Answered) {
    ++Counts.Answered;
    forget(Which);
  } else {
    failed(Which, Result, Now, Out);
  }
  sendChoosy(Freed, Now, Out);
  pump(Now, Out);
}

void Dispatcher::endAttempt(Request &Asked, const AttemptResult &Result,
                            TimePoint Now) {
  EndedAttempt Ended;
  Ended.Outcome = outcomeOf(Result);
  Ended.PrefixHash = Asked.Item.PrefixHash;
  Ended.Cost = Asked.Item.Cost;
  Ended.Suspect = Asked.Suspect;
  Ended.Hinted = Asked.Hinted;
  Ended.Late = Asked.Item.Urgency == Priority::Batch;
  Ended.Begun = Asked.Begun;
  Ended.PromptTokens = Asked.Item.PromptTokens;
  Ended.Total =
      Result.Total > Duration::zero() ? Result.Total : Now - Asked.SentAt;
  Asked.FailedAt = std::exchange(Asked.SentTo, std::nullopt);
  Choice.ended(*Asked.FailedAt, Ended, Now);
}

void Dispatcher::noteEvidence(const Request &Asked, const AttemptResult &Result,
                              TimePoint Now) {
  const EndpointSpec &Spec = Choice.candidate(*Asked.SentTo)->Spec;
  const std::uint64_t Fingerprint = Asked.Item.Fingerprint;
  if (Result.Answered)
    Crashes.answered(Spec.Key, Fingerprint, Asked.SentAt, Now);
  else if (Result.ConnectionLost)
    Crashes.lost(Spec.Key, Spec.DataCentre, Asked.SentRun,
                 std::span(&Fingerprint, 1), Now);
}

void Dispatcher::failed(Ticket Which, const AttemptResult &Result,
                        TimePoint Now, Commands &Out) {
  Request &Asked = *Requests.find(Which);
  Asked.State = laterRunState(Asked.State, Result.State);
  Asked.LastWhy = Result.Why;
  Asked.FailedWhen = Now;
  Asked.Resumable = Asked.Resumable || Result.Resumable;
  if (Crashes.standing(Asked.Item.Fingerprint, Now) == Standing::Quarantined)
    refuse(Which, notRun(Reason::Quarantined), RetryStop::Quarantined, Out);
  else if (!mayRetry(Asked.Item, Result))
    refuse(Which, notRun(Result.Why), RetryStop::NotRepeatable, Out);
  else if (Asked.Attempts >= Options.Retries.MaxAttempts)
    refuse(Which, notRun(Result.Why), RetryStop::AttemptsUsed, Out);
  else if (const auto Stop = holdForRetry(Which, Now))
    refuse(Which, notRun(Result.Why), *Stop, Out);
}

// Failure guarded against: thousands of requests fail at once and are held back
// with their bodies, beside a queue that is full already.
bool Dispatcher::mayHold(const Request &Asked) const {
  return Held.size() < Options.MaxWaiting &&
         Held.bytes() + Asked.Item.Bytes <= Options.MaxWaitingBytes;
}

/// Holds a request until its next attempt.
/// @return Why there is none.
std::optional<RetryStop> Dispatcher::holdForRetry(Ticket Which, TimePoint Now) {
  Request &Asked = *Requests.find(Which);
  const Duration Left = latestStart(Asked) - Now;
  const std::optional<Duration> Delay =
      retryDelay(Options.Retries, Asked.Delays, Left, Draw);
  if (!Delay)
    return RetryStop::NoTime;
  if (!mayHold(Asked))
    return RetryStop::QueueFull;
  ++Asked.Delays;
  Held.holdUntil(Which, Asked.Item.Bytes, Now + *Delay);
  return std::nullopt;
}

void Dispatcher::waitForBudget(Ticket Which, TimePoint Now, Commands &Out) {
  Request &Asked = *Requests.find(Which);
  Held.remove(Which);
  // No truthful refusal is left for a stream that its caller has part of.
  const bool MayWait =
      Asked.Resumable || Asked.BudgetWaits < Options.Retries.MaxBudgetWaits;
  ++Asked.BudgetWaits;
  if (MayWait && !holdForRetry(Which, Now))
    return;
  ++Counts.BudgetExhausted;
  refuse(Which, notRun(Asked.LastWhy, UnknownRetryAfter), RetryStop::BudgetUsed,
         Out);
}

void Dispatcher::cancel(Ticket Which, TimePoint Now, Commands &Out) {
  Request *const Gone = Requests.find(Which);
  if (Gone == nullptr)
    return;
  if (Gone->SentTo) {
    AttemptResult Result;
    Result.Why = Reason::Cancelled;
    endAttempt(*Gone, Result, Now);
  }
  Queue.remove(Which);
  Held.remove(Which);
  forget(Which);
  pump(Now, Out);
}

void Dispatcher::observe(const LoadReport &Report, TimePoint Now,
                         Commands &Out) {
  const std::optional<CandidateId> Which = Choice.find(Report.EndpointKey);
  if (!Which)
    return;
  const Incarnation OldRun = Choice.candidate(*Which)->Run;
  if (Choice.observe(*Which, Report, Now))
    noteRestart(*Which, OldRun, Now);
  pump(Now, Out);
}

void Dispatcher::noteRestart(CandidateId Which, Incarnation OldRun,
                             TimePoint Now) {
  std::vector<std::uint64_t> InFlight;
  Requests.each([&](Ticket /*Each*/, const Request &Asked) {
    if (Asked.SentTo == Which && Asked.SentRun == OldRun)
      InFlight.push_back(Asked.Item.Fingerprint);
  });
  if (InFlight.empty())
    return;
  const EndpointSpec &Spec = Choice.candidate(Which)->Spec;
  Crashes.restarted(Spec.Key, Spec.DataCentre, OldRun, InFlight, Now);
}

void Dispatcher::observeCache(std::string_view EndpointKey,
                              const CacheChange &Change, TimePoint Now) {
  if (const std::optional<CandidateId> Which = Choice.find(EndpointKey))
    Choice.observeCache(*Which, Change, Now);
}

void Dispatcher::observeClosed(std::string_view EndpointKey, TimePoint Now) {
  Crashes.closed(EndpointKey, Now);
}

std::vector<QuarantineNotice> Dispatcher::noticesOut(TimePoint Now) {
  return Crashes.noticesOut(Now);
}

bool Dispatcher::observeNotice(const QuarantineNotice &Told, TimePoint Now) {
  return Crashes.observe(Told, Now);
}

void Dispatcher::advance(TimePoint Now, Commands &Out) {
  Choice.advance(Now);
  pump(Now, Out);
  refuseHopeless(Now, Out);
  if (heldTooLong(Now))
    refuseAllWaiting(emptyVerdict(), Out);
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
  Consider(ShedAt);
  Consider(holdEnd());
  return Earliest;
}

std::size_t Dispatcher::waiting() const noexcept {
  return Queue.size() + Held.size();
}

void Dispatcher::pump(TimePoint Now, Commands &Out) {
  watchCapacity(Now);
  expire(Now, Out);
  sendHeld(Now, Out);
  sendWaiting(Now, Out);
}

void Dispatcher::expire(TimePoint Now, Commands &Out) {
  while (const std::optional<Ticket> Which = Queue.popExpired(Now)) {
    const Request &Asked = *Requests.find(*Which);
    refuse(*Which, notRun(expiryOf(Asked.Item, Now)),
           stopOf(Asked, RetryStop::NoTime), Out);
  }
  while (const std::optional<Ticket> Which = Held.popDue(Now))
    expireHeld(*Which, Now, Out);
}

void Dispatcher::expireHeld(Ticket Which, TimePoint Now, Commands &Out) {
  const Request &Asked = *Requests.find(Which);
  const TimePoint Latest = latestStart(Asked);
  if (Now < Latest) {
    Held.holdReady(Which, Asked.Item.Bytes, Latest);
    return;
  }
  const Reason Untried = expiryOf(Asked.Item, Now);
  refuse(Which, notRun(Asked.Attempts > 0 ? Asked.LastWhy : Untried),
         stopOf(Asked, RetryStop::NoTime), Out);
}

void Dispatcher::sendHeld(TimePoint Now, Commands &Out) {
  std::size_t Misses = 0;
  while (Misses == 0 && Choice.hasRoom()) {
    const std::vector<Ticket> Next = Held.ready(MostMisses);
    if (Next.empty())
      return;
    for (const Ticket Which : Next)
      Misses += placeHeld(Which, Now, Out) == Placing::NoRoom ? 1U : 0U;
  }
}

/// Sends those that wait for a place at an endpoint where one became free.
void Dispatcher::sendChoosy(CandidateId Freed, TimePoint Now, Commands &Out) {
  while (const std::optional<Ticket> Which = Held.firstFor(Freed.Index)) {
    const Candidate *const Endpoint = Choice.candidate(Freed);
    if (Endpoint == nullptr || !Endpoint->open() ||
        placeHeld(*Which, Now, Out) == Placing::NoRoom)
      return;
  }
}

Dispatcher::Placing Dispatcher::placeHeld(Ticket Which, TimePoint Now,
                                          Commands &Out) {
  Request &Asked = *Requests.find(Which);
  if (Crashes.standing(Asked.Item.Fingerprint, Now) == Standing::Quarantined) {
    Held.remove(Which);
    refuse(Which, notRun(Reason::Quarantined), RetryStop::Quarantined, Out);
    return Placing::Done;
  }
  if (Asked.Attempts > 0 && !Budget.any()) {
    waitForBudget(Which, Now, Out);
    return Placing::Done;
  }
  const std::optional<CandidateId> To = chooseFor(Asked, Now);
  if (!To)
    return Placing::NoRoom;
  if (Asked.Attempts > 0 && !Budget.take(Choice.candidate(*To)->DataCentre)) {
    waitForBudget(Which, Now, Out);
    return Placing::Done;
  }
  Held.remove(Which);
  send(Which, *To, Now, Out);
  return Placing::Done;
}

// Failure guarded against: a request that no endpoint with room fits at
// present, as a suspect, keeps all behind it waiting. It steps aside and the
// next one is tried.
void Dispatcher::sendWaiting(TimePoint Now, Commands &Out) {
  std::size_t Misses = 0;
  while (Misses < MostMisses && Choice.hasRoom()) {
    const std::optional<Ticket> Which = Queue.peek();
    if (!Which)
      return;
    Request &Asked = *Requests.find(*Which);
    const bool Barred =
        Crashes.standing(Asked.Item.Fingerprint, Now) == Standing::Quarantined;
    const std::optional<CandidateId> To =
        Barred ? std::nullopt : chooseFor(Asked, Now);
    if (!Barred && !To && !Asked.Suspect && !waitsForCache(Asked, Now))
      return;
    Asked.InProgress = Queue.pop().has_value();
    if (Barred) {
      refuse(*Which, notRun(Reason::Quarantined), RetryStop::Quarantined, Out);
    } else if (To) {
      send(*Which, *To, Now, Out);
    } else {
      stepAside(*Which, Now, Out);
      ++Misses;
    }
  }
}

void Dispatcher::countPlaces() {
  Queue.setPlaces(Choice.throughput().Slots,
                  static_cast<double>(Choice.freeSlots()));
}

void Dispatcher::stepAside(Ticket Which, TimePoint Now, Commands &Out) {
  const Request &Asked = *Requests.find(Which);
  const TimePoint Until =
      waitsForCache(Asked, Now) ? *Asked.CachedUntil : latestStart(Asked);
  if (mayHold(Asked))
    Held.holdReady(Which, Asked.Item.Bytes, Until);
  else
    refuse(Which, notRun(Reason::Overloaded, UnknownRetryAfter),
           stopOf(Asked, RetryStop::QueueFull), Out);
}

void Dispatcher::watchCapacity(TimePoint Now) {
  if (Choice.usable())
    EmptySince.reset();
  else if (!EmptySince)
    EmptySince = Now;
  if (waiting() == 0)
    WaitingSince.reset();
  const double Slots = Choice.throughput().Slots;
  countPlaces();
  if (Slots > ShedSlots)
    ShedSlots = Slots;
  if (Slots < CapacityDrop * ShedSlots && !ShedAt)
    ShedAt = Now + ShedDelay;
}

// Failure guarded against: half of the endpoints go, and callers whose requests
// can no longer be served in time learn so at their deadline only.
void Dispatcher::refuseHopeless(TimePoint Now, Commands &Out) {
  if (!ShedAt || Now < *ShedAt)
    return;
  ShedAt.reset();
  const Throughput Speed = speed(Now);
  ShedSlots = Choice.throughput().Slots;
  if (!Speed.known())
    return;
  for (const Ticket Which : Queue.hopeless(Speed, Now)) {
    const Request &Asked = *Requests.find(Which);
    const Duration Wait = Queue.estimatedWait(Asked.Team, Asked.Item.Urgency,
                                              Asked.Item.Cost, Speed);
    Queue.remove(Which);
    refuse(Which, notRun(Reason::DeadlineTooShort, retryAfter(Wait)),
           stopOf(Asked, RetryStop::NoTime), Out);
  }
}

void Dispatcher::refuseAllWaiting(const Verdict &Final, Commands &Out) {
  std::vector<Ticket> Gone = Held.all();
  for (const Ticket Which : Gone)
    Held.remove(Which);
  for (const Ticket Which : Queue.all()) {
    Queue.remove(Which);
    Gone.push_back(Which);
  }
  for (const Ticket Which : Gone)
    refuse(Which, Final, stopOf(*Requests.find(Which), RetryStop::NoEndpoint),
           Out);
}

/// Ends a request that was not answered; its run state is the latest of all of
/// its attempts.
void Dispatcher::refuse(Ticket Which, Verdict Final, RetryStop Stop,
                        Commands &Out) {
  const Request &Asked = *Requests.find(Which);
  Final.State = laterRunState(Final.State, Asked.State);
  const RefusalBasis Basis{Stop, Asked.Attempts, Asked.BudgetWaits,
                           Choice.size(), Asked.FailedWhen};
  ++Counts.Refused;
  Counts.RefusedTooShort += Final.Why == Reason::DeadlineTooShort ? 1U : 0U;
  Counts.RefusedOverloaded += Final.Why == Reason::Overloaded ? 1U : 0U;
  Counts.RefusedQuarantined += Final.Why == Reason::Quarantined ? 1U : 0U;
  forget(Which);
  Out.emplace_back(RefuseCommand{Which, Final, Basis});
}

RetryStop Dispatcher::stopOf(const Request &Asked, RetryStop IfTried) noexcept {
  return Asked.Attempts > 0 ? IfTried : RetryStop::NotTried;
}

void Dispatcher::forget(Ticket Which) {
  const std::optional<Request> Gone = Requests.erase(Which);
  if (Gone->InProgress)
    Queue.ended(Gone->Team);
}

} // namespace coltsfoottrail
