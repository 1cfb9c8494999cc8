// The part of CallerProxy that sends a request to an endpoint and forwards the
// response.
#include "coltsfoottrail/fleethost/callerproxy.hpp"

#include "coltsfoottrail/admission/idleshare.hpp"
#include "coltsfoottrail/server/attempts.hpp"
#include "coltsfoottrail/server/evidencelog.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusFirstNonSuccess = 300;
constexpr unsigned StatusFirstServerError = 500;

/// With less time left than this an endpoint is not tried: a connection and one
/// step of an engine take about as long.
constexpr Duration MinUsefulTime = milliseconds(10);
/// A stream that is silent for the target gap times this factor, within the
/// limits below, is resumed at another endpoint that has room for it. The limit
/// is several times the gap that counts as on time and well below two seconds,
/// after which the platform's callers give up at the earliest.
constexpr int SilenceFactor = 2;
constexpr Duration MinSilence = milliseconds(500);
constexpr Duration MaxSilence = milliseconds(1500);

bool isSuccess(unsigned Status) {
  return Status >= StatusOk && Status < StatusFirstNonSuccess;
}

Duration silenceLimit(const RouteSpec &Route) {
  return std::clamp<Duration>(Route.TargetGap * SilenceFactor, MinSilence,
                              MaxSilence);
}

/// Reports the progress and the end of one stream to the silence watch.
class StreamGuard {
public:
  StreamGuard(StallDetector &Silence, const std::string &Endpoint)
      : Watch(Silence), Name(Endpoint) {}
  StreamGuard(const StreamGuard &) = delete;
  StreamGuard &operator=(const StreamGuard &) = delete;
  ~StreamGuard() { end(); }
  void end() {
    if (std::exchange(Begun, false))
      Watch.streamEnded(Name);
  }
  void heard() {
    if (std::exchange(Begun, true))
      Watch.dataReceived(Name, BootClock::now());
    else
      Watch.streamStarted(Name, BootClock::now());
  }

private:
  StallDetector &Watch;
  std::string Name;
  bool Begun = false;
};

} // namespace

void CallerProxy::measureEvent(RequestContext &Context) {
  const TimePoint Now = BootClock::now();
  if (Context.LastEventAt) {
    Metrics.recordEventGap(Now - *Context.LastEventAt);
    Context.LongestEventGap =
        std::max(Context.LongestEventGap, Now - *Context.LastEventAt);
  } else {
    Metrics.recordResponseStart(Context.Route->Policy, Now - Context.ArrivedAt);
    Context.TimeToFirstEvent = Now - Context.ArrivedAt;
  }
  Context.LastEventAt = Now;
}

void CallerProxy::recordDistant(const RequestContext &Context,
                                DistantTraffic Purpose, std::size_t Bytes) {
  if (Context.Away != AwayReason::None)
    Placement.recordBytes(Purpose, Bytes);
}

// A request that must not run twice gets a new connection: if it were written
// to a kept one that the endpoint is just closing, nobody could tell whether it
// ran.
ConnectionUse CallerProxy::connectionUse(const RequestContext &Context,
                                         const CallPolicy &Policy) const {
  return {Context.Route->repeatable() ? Reuse::Allowed : Reuse::Never,
          idleShare(Context.Service->MaxConnections, EntryHosts), &Policy};
}

AttemptProgress CallerProxy::attemptProgress(const RequestContext &Context) {
  AttemptProgress Progress;
  Progress.Repeatable = Context.Route->repeatable();
  Progress.EarlierRuns = Context.Runs;
  Progress.MaxRuns = Context.Route->MaxAttempts;
  Progress.HasBegun = Context.Events.hasReleased();
  Progress.IsResumable = !Context.Events.lastId().empty();
  return Progress;
}

// Failure guarded against: an endpoint is quiet for a moment, and a stream that
// no other endpoint can continue is cut although its endpoint would have
// completed it. Only attempts that can go on elsewhere are aborted. What has
// not begun may still be refused, and its caller comes back; it waits for no
// retry.
class CallerProxy::MovePolicy final : public CallPolicy {
public:
  MovePolicy(const RequestContext &Context, const EndpointSpec &Target,
             const EndpointAvailability &Availability,
             const ReachabilityTracker &Reach)
      : Context(Context), Target(Target), Availability(Availability),
        Reach(Reach) {}
  [[nodiscard]] bool mayAbort() const override {
    if (Context.Move || Context.RouterPlace == nullptr ||
        !mayMove(attemptProgress(Context)))
      return false;
    if (!Context.Events.hasReleased())
      return Context.RouterPlace->mayResend();
    return Reach.reachesNothing(BootClock::now()) ||
           Context.RouterPlace->mayBeginMove();
  }
  [[nodiscard]] bool isOverdue(TimePoint Now) const override {
    return Now >= DueBy;
  }
  /// Sets when the endpoint must have sent something.
  void setDue(TimePoint When) noexcept { DueBy = When; }
  [[nodiscard]] bool maySend() const override {
    return Availability.maySend(Target.Process, BootClock::now());
  }

private:
  const RequestContext &Context;
  const EndpointSpec &Target;
  const EndpointAvailability &Availability;
  const ReachabilityTracker &Reach;
  TimePoint DueBy = TimePoint::max();
};

/// Counts a request in its pool's backlog from its send until its response
/// begins.
class CallerProxy::BacklogGuard {
public:
  BacklogGuard(std::shared_ptr<PoolBacklog> PoolCounts, bool Late)
      : Backlog(std::move(PoolCounts)), Late(Late) {
    ++(Late ? Backlog->Late : Backlog->Fresh);
  }
  BacklogGuard(const BacklogGuard &) = delete;
  BacklogGuard &operator=(const BacklogGuard &) = delete;
  ~BacklogGuard() { begun(); }
  void begun() {
    if (Backlog)
      --(Late ? Backlog->Late : Backlog->Fresh);
    Backlog.reset();
  }

private:
  std::shared_ptr<PoolBacklog> Backlog;
  bool Late;
};

Awaitable<AttemptResult> CallerProxy::attempt(Exchange &Call,
                                              RequestContext &Context,
                                              const EndpointSpec &Target) {
  const TimePoint Start = BootClock::now();
  const Duration TimeLeft = Context.Deadline - Start;
  if (TimeLeft < MinUsefulTime)
    co_return failedAttempt(RunState::NotRun, Reason::DeadlinePassed, Start);
  if (!admitCold(Context, Target, Start)) {
    logWithheld(Context, Target);
    co_return withheldAttempt(Start);
  }
  ForwardMetadata Marks;
  Marks.Endpoint = EndpointName(Target.Host.Text);
  Marks.Team = Context.Team;
  Marks.TimeLeft = std::chrono::floor<milliseconds>(TimeLeft);
  if (Context.Route->streams())
    Marks.QueuePriority = Context.Ranks.enginePriority(
        Context.Rank,
        Context.isLate() ? StreamStage::Late : StreamStage::Fresh);
  // Failure guarded against: an endpoint breaks off inside its first event, and
  // the incomplete event is put before the first event of the next endpoint.
  Context.Events.dropPartial();
  if (Context.Events.hasReleased()) {
    Marks.QueuePriority =
        Context.Ranks.enginePriority(Context.Rank, StreamStage::Resumed);
    Marks.LastEventId = Context.Events.lastId();
    ++Counts.Resumed;
  }
  ++Counts.Sends;
  Placement.recordSend(Context.Away);
  if (++Context.Sends == 1)
    measureAdmitted(Context, Start - Context.ArrivedAt);
  Context.Trail.add(Event::RequestPlaced,
                    {{"pool", Context.Pool},
                     {"endpoint", Target.Host},
                     {"team", Context.Team},
                     {"rank", Context.Rank},
                     {"config", Context.Config->version()},
                     {"left_ms", Marks.TimeLeft.count()},
                     {"send", Context.Sends},
                     {"fingerprint", fingerprintText(Context.Fingerprint)},
                     {"parts", idList(Context.Caller.SharedParts)},
                     {"late", Context.isLate()},
                     {"away", awayReasonCode(Context.Away)}},
                    Start);
  logUnwanted(Context, Target, Start);
  HttpRequest Sent = Wire.forward(Call.request(), Marks);
  recordDistant(Context, DistantTraffic::RequestBody, Sent.Body.size());
  BacklogGuard QueuedGuard(Backlogs[Context.Pool], Context.isLate());
  const bool IsLimited = Context.Move || (Context.Route->streams() &&
                                          !Context.Events.hasReleased() &&
                                          hasRunLeft(attemptProgress(Context)));
  const TimePoint HeadDeadline =
      IsLimited ? std::min(Context.Deadline, Start + MaxSilence)
                : Context.Deadline;
  MovePolicy Policy(Context, Target, Routing.availability(), Reach);
  if (Context.Events.hasReleased())
    Policy.setDue(Start + MaxSilence);
  auto Started =
      co_await Client.start(Target.Address, std::move(Sent), HeadDeadline,
                            connectionUse(Context, Policy));
  if (const auto *const Failure = std::get_if<CallFailure>(&Started)) {
    AttemptResult Result = failedAttempt(*Failure, Start);
    if (Failure->Withheld)
      takeBackSend(Context, Target);
    if (Failure->Why == Reason::EndpointTimedOut &&
        BootClock::now() < Context.Deadline)
      Result.FailureReason = Reason::EndpointCut;
    co_return Result;
  }
  HttpCall UpstreamCall = std::move(std::get<HttpCall>(Started));
  if (const auto &Forwarder = UpstreamCall.forwarder())
    Context.Trail.add(Event::RequestForwarded,
                      {{"endpoint", Target.Host}, {"host", textOf(*Forwarder)}},
                      BootClock::now());
  const ResponseMetadata AnswerHeaders = Wire.readResponse(UpstreamCall.head());
  recordLoad(Target, AnswerHeaders);
  if (!AnswerHeaders.Id.empty() && AnswerHeaders.Id != Context.Caller.Id)
    co_return failedAttempt(RunState::MayHaveRun, Reason::EndpointCut, Start);
  recordRateLimit(Target, AnswerHeaders, Start);
  recordAvailability(Target, AnswerHeaders);
  if (ReportUnusable && AnswerHeaders.provesUnusable(Target.Address))
    ReportUnusable(EndpointName(Target.Host.Text), AnswerHeaders.FaultyEngine);
  if (AnswerHeaders.NotRun || AnswerHeaders.WrongEndpoint)
    co_return refusedAttempt(AnswerHeaders.asksForBackoff(), Start);
  const unsigned Status = UpstreamCall.head().Status;
  // Failure guarded against: the caller of a stream gets the end of a body
  // after a status that has none, and takes it for the beginning of its next
  // response.
  const bool IsStream = Context.Route->streams() && isSuccess(Status) &&
                        Status != StatusNoContent;
  const bool Broken = (isSuccess(Status) && !AnswerHeaders.Signed) ||
                      (Call.hasBegun() && !IsStream);
  if (Broken)
    co_return failedAttempt(RunState::MayHaveRun, Reason::EndpointFailed,
                            Start);
  if (IsStream)
    co_return co_await relayStream(Call, Context, std::move(UpstreamCall),
                                   Target, Start, QueuedGuard, Policy);
  co_return co_await relayWhole(Call, Context, std::move(UpstreamCall), Target,
                                Start);
}

void CallerProxy::logUnbounded(RequestContext &Context,
                               const EndpointSpec &Target, std::size_t Bytes,
                               std::string_view Why) {
  Context.Trail.markNotable();
  Context.Trail.add(Event::ResponseUnbounded,
                    {{"endpoint", Target.Host}, {"bytes", Bytes}, {"why", Why}},
                    BootClock::now());
}

namespace {

/// Requests per second that an endpoint can take from all entry hosts while it
/// is cold; empty if there is no limit.
std::optional<double> coldRate(const RouteIndexPtr &Config,
                               const KnownEndpoint &Entry) {
  const ServiceProfile *const Service =
      Config ? Config->service(Entry.Record.Service) : nullptr;
  if (Service == nullptr || Service->ColdRequestsPerSecond <= 0.0)
    return std::nullopt;
  return Service->ColdRequestsPerSecond;
}

} // namespace

bool CallerProxy::mayUseCold(const KnownEndpoint &Entry, TimePoint Now) {
  const std::optional<double> Rate = coldRate(View.config(), Entry);
  return !Rate || Gate.canAdmit(Entry.Record.Name.Text, *Rate, Now);
}

bool CallerProxy::admitCold(const RequestContext &Context,
                            const EndpointSpec &Target, TimePoint Now) {
  const KnownEndpoint *const Entry =
      View.endpoints().find(EndpointName(Target.Host.Text));
  if (Entry == nullptr || !View.mayBeCold(*Entry))
    return true;
  const std::optional<double> Rate = coldRate(Context.Config, *Entry);
  if (!Rate)
    return true;
  const bool Admitted = Gate.admit(Target.Host.Text, *Rate, Now);
  // Closes the endpoint until its next turn, so that the next request waits at
  // another endpoint.
  Routing.setShares({{Target.Key, 0}});
  return Admitted;
}

void CallerProxy::recordLoad(const EndpointSpec &Endpoint,
                             const ResponseMetadata &AnswerHeaders) {
  if (!AnswerHeaders.ReportedLoad)
    return;
  LoadReport Report;
  Report.EndpointKey = Endpoint.Key;
  Report.Running = AnswerHeaders.ReportedLoad->Running;
  Report.Queued = AnswerHeaders.ReportedLoad->Waiting;
  Routing.observe(Report);
}

// A response of another endpoint at the address says nothing of this one, and
// one without the request's identifier may be no response at all.
void CallerProxy::recordRateLimit(const EndpointSpec &Endpoint,
                                  const ResponseMetadata &AnswerHeaders,
                                  TimePoint SentAt) {
  const RateLimitField &Named = AnswerHeaders.RateLimit;
  if (Named.IsInvalid && ReportInvalidRateLimit)
    ReportInvalidRateLimit(EndpointName(Endpoint.Host.Text));
  const bool IsUsable = !AnswerHeaders.WrongEndpoint && !Named.IsInvalid &&
                        (Named.PerSecond || !AnswerHeaders.Id.empty());
  if (IsUsable)
    Routing.observeRateLimit(Endpoint, Named.PerSecond, SentAt);
}

// A response of another endpoint at the address says nothing of this one.
void CallerProxy::recordAvailability(const EndpointSpec &Endpoint,
                                     const ResponseMetadata &AnswerHeaders) {
  if (AnswerHeaders.WrongEndpoint)
    return;
  const RetryAfterField &Backoff = AnswerHeaders.Backoff;
  if (Backoff.IsInvalid && ReportInvalidBackoff)
    ReportInvalidBackoff(EndpointName(Endpoint.Host.Text));
  EndpointAvailability &Availability = Routing.availability();
  const TimePoint Now = BootClock::now();
  if (Backoff.Pause)
    Availability.recordBackoff(Endpoint.Process, *Backoff.Pause, Now);
  if (AnswerHeaders.Leaving)
    Availability.recordLeaving(Endpoint.Process, Now);
}

void CallerProxy::logUnwanted(RequestContext &Context,
                              const EndpointSpec &Target, TimePoint Now) const {
  const EndpointAvailability &Availability = Routing.availability();
  const bool Leaves = Availability.isLeaving(Target.Process);
  const std::optional<Duration> Left =
      Availability.backoffLeft(Target.Process, Now);
  if (!Leaves && !Left)
    return;
  std::string_view Kind = Context.Sends == 1 ? "first" : "retry";
  if (Context.Events.hasReleased())
    Kind = "resumed";
  Context.Trail.add(Event::SentUnwanted,
                    {{"endpoint", Target.Host},
                     {"why", Leaves ? "leaving" : "backoff"},
                     {"left_ms", std::chrono::duration_cast<milliseconds>(
                                     Left.value_or(Duration::zero()))
                                     .count()},
                     {"kind", Kind}},
                    Now);
}

/// Takes back that a request was sent to an endpoint.
void CallerProxy::takeBackSend(RequestContext &Context,
                               const EndpointSpec &Target) {
  --Counts.Sends;
  --Context.Sends;
  logWithheld(Context, Target);
}

void CallerProxy::logWithheld(RequestContext &Context,
                              const EndpointSpec &Target) {
  Context.Trail.add(Event::SendWithheld, {{"endpoint", Target.Host}},
                    BootClock::now());
}

Awaitable<AttemptResult> CallerProxy::relayWhole(Exchange &Call,
                                                 RequestContext &Context,
                                                 HttpCall UpstreamCall,
                                                 const EndpointSpec &Target,
                                                 TimePoint Start) {
  const TimePoint FirstByte = BootClock::now();
  HttpResponse Reply = Wire.responseHead(UpstreamCall.head());
  ResponseBuffer Body(Memory);
  while (true) {
    auto Next = co_await UpstreamCall.next(Context.Deadline);
    if (const auto *const Failure = std::get_if<CallFailure>(&Next))
      co_return failedAttempt(*Failure, Start);
    auto &Chunk = std::get<std::optional<std::string>>(Next);
    if (!Chunk)
      break;
    recordDistant(Context, DistantTraffic::ResponseBody, Chunk->size());
    if (!Body.append(*Chunk)) {
      logUnbounded(Context, Target, Body.size() + Chunk->size(), "body");
      co_return failedAttempt(RunState::MayHaveRun, Reason::EndpointFailed,
                              Start);
    }
  }
  Reply.Body = Body.take();
  const bool RetryElsewhere = Reply.Status >= StatusFirstServerError &&
                              hasRunLeft(attemptProgress(Context));
  if (RetryElsewhere) {
    Context.FallbackResponse = std::move(Reply);
    co_return failedAttempt(RunState::MayHaveRun, Reason::EndpointFailed,
                            Start);
  }
  Metrics.recordResponseStart(Context.Route->Policy,
                              BootClock::now() - Context.ArrivedAt);
  Context.RouterPlace->responseProgressed();
  const unsigned Status = Reply.Status;
  co_await Call.respond(std::move(Reply));
  recordEnd(Context, "answered", Status, {});
  co_return answeredAttempt(Start, FirstByte);
}

// Failure guarded against: a stream is taken from a silent endpoint, the other
// one refuses it or is silent as well, and the stream ends although the first
// endpoint goes on. The first attempt stays open, unread, until the other one
// has an event for the caller.
Awaitable<std::optional<AttemptResult>>
CallerProxy::moveStream(Exchange &Call, RequestContext &Context,
                        std::function<void()> LeaveFirst) {
  const std::optional<Assignment> Place = Context.RouterPlace->beginMove();
  if (!Place)
    co_return std::nullopt;
  Context.Trail.markNotable();
  Context.Trail.add(Event::MoveBegan,
                    {{"from", Context.Endpoint->Host},
                     {"to", Place->Endpoint->Host},
                     {"last_event", Context.Events.lastId()}},
                    BootClock::now());
  EventStreamBuffer Received = Context.Events;
  const AwayReason FirstAway = std::exchange(Context.Away, Place->Away);
  Context.Move = PendingMove{Place->Endpoint, std::move(LeaveFirst)};
  ++Context.Runs;
  const AttemptResult Result =
      co_await attempt(Call, Context, *Place->Endpoint);
  if (!Context.Move)
    co_return Result;
  Context.Move.reset();
  Context.RouterPlace->abandonMove(Result);
  ++Counts.AbandonedMoves;
  Context.Trail.add(Event::MoveAbandoned,
                    {{"endpoint", Place->Endpoint->Host},
                     {"verdict", runStateCode(Result.State)},
                     {"reason", reasonCode(Result.FailureReason)}},
                    BootClock::now());
  if (Result.State == RunState::NotRun)
    --Context.Runs;
  Context.Events = std::move(Received);
  Context.Away = FirstAway;
  co_return std::nullopt;
}

/// Makes the endpoint that has continued a stream the one that it is at.
void CallerProxy::completeMove(RequestContext &Context) {
  if (!Context.Move)
    return;
  const PendingMove Move =
      std::move(*std::exchange(Context.Move, std::nullopt));
  ++Counts.Moves;
  Move.LeaveFirst();
  Context.Endpoint = Move.To;
  Context.RouterPlace->completeMove();
}

/// Sets in the result of a broken stream whether it can be resumed at another
/// endpoint.
void CallerProxy::markDelivered(const RequestContext &Context,
                                AttemptResult &Result) {
  const bool CanContinue =
      hasRunLeft(attemptProgress(Context)) && !Context.Events.lastId().empty();
  Result.CallerSawBytes = Context.Events.hasReleased() && !CanContinue;
  Result.Resumable = Context.Events.hasReleased() && CanContinue;
}

// Failure guarded against: an endpoint dies or falls silent in the middle of a
// stream, and the caller takes the partial response for a complete one or waits
// until it gives up. Only complete events are forwarded, and only those with
// data are progress: bytes may come without end that complete none. A stream
// that breaks is resumed at another endpoint after the last complete event, and
// so is one that makes no progress for several times the gap that counts as on
// time, once another endpoint has an event for it. A stream that cannot be
// resumed is cut in a way that the caller can detect.
Awaitable<AttemptResult>
CallerProxy::relayStream(Exchange &Call, RequestContext &Context,
                         HttpCall UpstreamCall, const EndpointSpec &Target,
                         TimePoint Start, BacklogGuard &QueuedGuard,
                         MovePolicy &Policy) {
  const TimePoint FirstByte = BootClock::now();
  StreamGuard Mark(Silence, Target.Host.Text);
  TimePoint ProgressAt = FirstByte;
  bool HasProgressed = false;
  while (true) {
    // The time in which this host did not read is not the endpoint's.
    if (std::exchange(HasProgressed, false))
      ProgressAt = BootClock::now();
    const TimePoint SilentAt = ProgressAt + silenceLimit(*Context.Route);
    TimePoint ReadDeadline = Context.Deadline;
    if (Context.Move)
      ReadDeadline = std::min(ReadDeadline, Start + MaxSilence);
    else if (Context.Events.hasReleased())
      Policy.setDue(SilentAt);
    else if (hasRunLeft(attemptProgress(Context)))
      ReadDeadline = std::min(ReadDeadline, SilentAt);
    auto Next = co_await UpstreamCall.next(ReadDeadline);
    if (const auto *const Failure = std::get_if<CallFailure>(&Next)) {
      // Where this host reaches nothing, its links are silent, not the
      // endpoint: the stream waits for one of them rather than take up a slot.
      const bool LinksAreSilent = Reach.reachesNothing(BootClock::now());
      if (Failure->Interrupted && Context.Events.hasReleased() &&
          !LinksAreSilent) {
        const std::function<void()> LeaveFirst = [&] {
          UpstreamCall = HttpCall();
          Mark.end();
        };
        const std::optional<AttemptResult> Moved =
            co_await moveStream(Call, Context, LeaveFirst);
        if (Moved)
          co_return *Moved;
        ProgressAt = BootClock::now();
        continue;
      }
      AttemptResult Result = failedAttempt(*Failure, Start);
      const bool WentSilent = Failure->Why == Reason::EndpointTimedOut &&
                              BootClock::now() < Context.Deadline;
      if (WentSilent)
        Result.FailureReason = Reason::EndpointCut;
      markDelivered(Context, Result);
      co_return Result;
    }
    auto &Chunk = std::get<std::optional<std::string>>(Next);
    if (!Chunk)
      break;
    recordDistant(Context, DistantTraffic::ResponseBody, Chunk->size());
    const std::string_view Events = Context.Events.append(*Chunk);
    if (Context.Events.isOverlong()) {
      logUnbounded(Context, Target, Context.Events.pendingBytes(), "event");
      AttemptResult Result =
          failedAttempt(RunState::MayHaveRun, Reason::EndpointFailed, Start);
      markDelivered(Context, Result);
      co_return Result;
    }
    if (Events.empty())
      continue;
    completeMove(Context);
    HasProgressed = true;
    Mark.heard();
    QueuedGuard.begun();
    Context.RouterPlace->responseProgressed();
    if (!Call.hasBegun()) {
      HttpResponse Head = Wire.responseHead(UpstreamCall.head());
      co_await Call.begin(std::move(Head));
    }
    measureEvent(Context);
    co_await Call.write(Events);
  }
  if (!Context.Events.endsOnBoundary()) {
    AttemptResult Result =
        failedAttempt(RunState::MayHaveRun, Reason::EndpointCut, Start);
    markDelivered(Context, Result);
    co_return Result;
  }
  completeMove(Context);
  if (!Call.hasBegun()) {
    HttpResponse Head = Wire.responseHead(UpstreamCall.head());
    co_await Call.begin(std::move(Head));
  }
  if (const std::string Rest = Context.Events.takeRest(); !Rest.empty())
    co_await Call.write(Rest);
  co_await Call.end();
  recordEnd(Context, "answered", StatusOk, {});
  co_return answeredAttempt(Start, FirstByte);
}

} // namespace coltsfoottrail
