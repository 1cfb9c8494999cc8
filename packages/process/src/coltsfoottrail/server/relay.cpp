#include "coltsfoottrail/server/relay.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/http/ratelimitfield.hpp"
#include "coltsfoottrail/http/retryafterfield.hpp"
#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/server/attempts.hpp"
#include "coltsfoottrail/server/events.hpp"
#include "coltsfoottrail/server/refusal.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxResumeBytes = std::size_t{256} << 10U;
constexpr milliseconds StoppingRetryAfter{200};
constexpr milliseconds InProgressRetryAfter{500};
constexpr milliseconds InitialJoinDelay{25};
constexpr milliseconds MaxJoinDelay{400};
constexpr std::string_view OutcomesPrefix = "/outcomes/";
constexpr std::string_view VerdictField = "Coltsfoottrail-Verdict";
/// Requests per second that an endpoint takes from all entry hosts together.
constexpr std::string_view RateLimitName = "Coltsfoottrail-Rate-Limit";
/// "1" in the responses of an endpoint that leaves.
constexpr std::string_view LeavingName = "Coltsfoottrail-Leaving";
constexpr unsigned StatusOk = 200;
constexpr unsigned FirstErrorStatus = 500;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusConflict = 409;

Verdict notRun(Reason Why, std::optional<milliseconds> RetryAfter = {}) {
  return {RunState::NotRun, Why, RetryAfter};
}

/// The Coltsfoottrail-Group value for an endpoint: its key up to the '@',
/// without the generation. The engine refuses the request if it serves another
/// group.
std::string groupOf(const EndpointSpec &To) {
  return To.Key.substr(0, To.Key.find('@'));
}

/// Whether a request refused with this status may be tried at another endpoint.
bool isRetryableStatus(unsigned Status) {
  return Status == StatusConflict || Status == StatusTooMany ||
         Status >= FirstErrorStatus;
}

std::string resumedBody(const std::string &Body, const std::string &Text,
                        std::uint64_t Tokens) {
  Json Resumed = Json::parse(Body);
  Resumed["coltsfoottrail_resume"] = {{"tokens", Tokens}, {"text", Text}};
  return Resumed.dump();
}

bool isForwardedBack(std::string_view Name) {
  constexpr std::array<std::string_view, 5> Known{
      "Content-Type", "Content-Encoding", "Cache-Control", "ETag", "Location"};
  constexpr std::string_view OwnPrefix = "X-";
  const auto Same = [Name](std::string_view Other) {
    return boost::beast::iequals(Name, Other);
  };
  return std::any_of(Known.begin(), Known.end(), Same) ||
         boost::beast::iequals(Name.substr(0, OwnPrefix.size()), OwnPrefix);
}

std::vector<HttpField> answerFields(const HttpResponse &Head) {
  std::vector<HttpField> Forwarded;
  for (const HttpField &Field : Head.Fields)
    if (isForwardedBack(Field.Name))
      Forwarded.push_back(Field);
  return Forwarded;
}

HttpResponse replayedAnswer(const StoredOutcome &Outcome) {
  HttpResponse Response;
  Response.Status = Outcome.Status;
  Response.Fields = {{"Content-Type", Outcome.ContentType},
                     {"Coltsfoottrail-Replayed", "true"},
                     {std::string(VerdictField), "ran"}};
  Response.Body = Outcome.Body;
  return Response;
}

/// Response for a request that ran but whose response body was not kept.
HttpResponse ranWithoutBody(const StoredOutcome &Outcome) {
  const Json Body{{"verdict", "ran"},
                  {"status", Outcome.Status},
                  {"detail", "the request ran; its answer was not kept"}};
  HttpResponse Response = jsonResponse(StatusOk, Body.dump());
  Response.Fields.push_back({"Coltsfoottrail-Replayed", "true"});
  Response.Fields.push_back({std::string(VerdictField), "ran"});
  return Response;
}

HttpResponse replayOf(const StoredOutcome &Outcome) {
  return Outcome.BodyKept ? replayedAnswer(Outcome) : ranWithoutBody(Outcome);
}

/// Response to a query for the outcome of a key.
HttpResponse outcomeAnswer(const ClaimDecision &Decision) {
  Json Body;
  unsigned Status = StatusOk;
  std::visit(
      Overloaded{
          [&](const ClaimReplay &Replay) {
            Body = {{"verdict", "ran"}, {"status", Replay.Outcome.Status}};
            if (Replay.Outcome.BodyKept)
              Body["body"] = Replay.Outcome.Body;
          },
          [&](const ClaimInProgress &) {
            Body = {{"verdict", "in-progress"}};
          },
          [&](const ClaimNotRun &) {
            Body = {{"verdict", "not-run"}};
          },
          [&](const ClaimNotKnown &) {
            Body = {{"verdict", "not-known"}};
          },
          [&](const ClaimUnavailable &) {
            Status = 503;
            Body = {{"verdict", "not-known"}, {"reason", "claim-unavailable"}};
          },
          [&](const auto &) {
            Body = {{"verdict", "may-have-run"}};
          },
      },
      Decision);
  return jsonResponse(
      Status, Body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

ClaimKey keyOf(const TeamName &Team, const std::string &Key) {
  return ClaimKey{Team, Key};
}

void addField(std::vector<HttpField> &Fields, std::string_view Name,
              std::string_view Value) {
  Fields.push_back({std::string(Name), std::string(Value)});
}

void setField(std::vector<HttpField> &Fields, std::string_view Name,
              std::string_view Value) {
  std::erase_if(Fields, [Name](const HttpField &Field) {
    return boost::beast::iequals(Field.Name, Name);
  });
  addField(Fields, Name, Value);
}

ClaimRequest claimOf(const CallerRequest &Request) {
  ClaimRequest Claim;
  Claim.ScopedKey = ClaimKey{Request.Team.Name, Request.IdempotencyKey};
  Claim.BodyDigest =
      sha256Hex(Request.PoolName + "\n" + Request.Forwarded.Method + "\n" +
                Request.Forwarded.Target + "\n" + Request.Forwarded.Body);
  Claim.Birth = birthOfKey(Request.IdempotencyKey);
  return Claim;
}

} // namespace

/// The part of a streamed response that the caller has received.
struct Relay::StreamProgress {
  EventSplitter Events{MaxResumeBytes};
  /// Trace context of the current attempt.
  TraceContext Trace;
  /// Its place in the router.
  DispatchHandle *RouterPlace = nullptr;
};

Relay::Relay(IoPool &Threads, Router &Where, ClaimDriver &Desk,
             CallerLimits Bounds, AdmissionHooks Checks, SpanFactory &Traces)
    : Threads(Threads), Routing(Where), Claims(Desk), Limits(Bounds),
      Hooks(std::move(Checks)), SpanSource(Traces),
      Routes(std::make_shared<const RouteTable>()) {
  for (std::size_t Index = 0; Index < Threads.size(); ++Index)
    Clients.push_back(
        std::make_unique<HttpClient>(Threads.context(Index), ClientOptions{}));
}

void Relay::setRoutes(RouteTablePtr Wanted) {
  const std::lock_guard Hold(Lock);
  Routes = std::move(Wanted);
}

RouteTablePtr Relay::routes() const {
  const std::lock_guard Hold(Lock);
  return Routes;
}

void Relay::abortCalls() {
  for (std::size_t Thread = 0; Thread < Clients.size(); ++Thread)
    boost::asio::post(Threads.context(Thread),
                      [&Calls = *Clients[Thread]] { Calls.abortAll(); });
}

HttpClient &Relay::client(std::size_t Thread) { return *Clients.at(Thread); }

std::optional<HttpResponse> Relay::check(const HttpRequest &Head) {
  if (Stopping) {
    ++Counts.RefusedNotRun;
    return refusalOf(notRun(Reason::Stopping, StoppingRetryAfter));
  }
  try {
    (void)authenticate(Head, *routes());
    return std::nullopt;
  } catch (const RequestRefused &Problem) {
    ++Counts.RefusedNotRun;
    return refusalOf(Problem.verdict(), Problem.what());
  }
}

Awaitable<void> Relay::refuse(Exchange &Call, Verdict Final) {
  return refuseWith(Call, Final, std::string());
}

Awaitable<void> Relay::refuseWith(Exchange &Call, Verdict Final,
                                  std::string Detail) {
  if (Final.State == RunState::NotRun)
    ++Counts.RefusedNotRun;
  else
    ++Counts.RefusedMayHaveRun;
  co_await Call.respond(refusalOf(Final, Detail));
}

Awaitable<void> Relay::serve(Exchange &Call) {
  if (std::string_view(Call.request().Target).starts_with(OutcomesPrefix)) {
    co_await serveOutcomeQuery(Call);
    co_return;
  }
  std::optional<CallerRequest> Request;
  Verdict Refused;
  std::string Detail;
  try {
    Request =
        readCallerRequest(Call.request(), *routes(), Limits, BootClock::now());
  } catch (const RequestRefused &Problem) {
    Refused = Problem.verdict();
    Detail = Problem.what();
  }
  if (!Request) {
    co_await refuseWith(Call, Refused, std::move(Detail));
    co_return;
  }
  const TraceContext From =
      SpanSource.accept(fieldOf(Call.request().Fields, "traceparent"));
  ScopedSpan Server = SpanSource.begin("request", SpanKind::Server, From);
  Server.setAttribute(SpanKey::Target, Request->PoolName);
  Request->Trace = Server.context();
  if (!Request->Item.Repeatable && !Request->IdempotencyKey.empty())
    co_await serveClaimed(Call, std::move(*Request));
  else
    co_await serveRouted(Call, std::move(*Request), nullptr);
}

Awaitable<void> Relay::serveOutcomeQuery(Exchange &Call) {
  const auto Now = routes();
  std::optional<TeamName> Team;
  try {
    Team = authenticate(Call.request(), *Now).Name;
  } catch (const RequestRefused &) {
  }
  if (!Team) {
    co_await refuse(Call, notRun(Reason::Unauthenticated));
    co_return;
  }
  std::string Key = Call.request().Target.substr(OutcomesPrefix.size());
  Key.resize(std::min(Key.size(), Key.find('?')));
  if (Key.empty() || Key.size() > MaxClaimKeyBytes) {
    co_await refuse(Call, notRun(Reason::BadRequest));
    co_return;
  }
  const ClaimKey Wanted = keyOf(*Team, Key);
  const DeliverDecision Decided =
      co_await Claims.query(Wanted, BootClock::now() + Limits.DefaultDeadline);
  co_await Call.respond(outcomeAnswer(Decided.Decision));
}

// A repeated request often arrives while the first one is still in progress. It
// waits for the outcome of the first one instead of being refused; only if that
// is still open at the deadline is the response "key-in-use".
Awaitable<DeliverDecision> Relay::claimOrJoin(const CallerRequest &Request) {
  boost::asio::steady_timer Pause(co_await boost::asio::this_coro::executor);
  milliseconds Wait = InitialJoinDelay;
  while (true) {
    const ClaimRequest Wanted = claimOf(Request);
    DeliverDecision Decided =
        co_await Claims.claim(Wanted, Request.Item.Deadline);
    const bool Open = std::holds_alternative<ClaimInProgress>(Decided.Decision);
    if (!Open || BootClock::now() + Wait >= Request.AnswerDeadline)
      co_return Decided;
    Pause.expires_after(Wait);
    co_await Pause.async_wait(boost::asio::use_awaitable);
    Wait = std::min(Wait * 2, MaxJoinDelay);
  }
}

void Relay::logKeyInUse(const CallerRequest &Request,
                        const ClaimInProgress &Held) {
  const std::optional<std::uint64_t> HeldBack =
      Sampler.admit(Event::KeyInUse, BootClock::now());
  if (!HeldBack)
    return;
  logEvent(Event::KeyInUse,
           {{"team", Request.Team.Name},
            {"key", Request.IdempotencyKey},
            {"partition",
             partitionOf(keyOf(Request.Team.Name, Request.IdempotencyKey))},
            {"claimant", Held.Claimant},
            {"fence", Held.Fence},
            {"read_up_to", Held.ReadUpTo},
            {"held_back", *HeldBack}});
}

Awaitable<void> Relay::serveClaimed(Exchange &Call, CallerRequest Request) {
  const DeliverDecision Decided = co_await claimOrJoin(Request);
  if (const auto *const Replay = std::get_if<ClaimReplay>(&Decided.Decision)) {
    ++Counts.Answered;
    co_await Call.respond(replayOf(Replay->Outcome));
    co_return;
  }
  if (std::optional<Verdict> Refused = verdictOf(Decided.Decision)) {
    if (const auto *const Held =
            std::get_if<ClaimInProgress>(&Decided.Decision)) {
      Refused->RetryAfter = InProgressRetryAfter;
      logKeyInUse(Request, *Held);
    }
    co_await refuse(Call, *Refused);
    co_return;
  }
  ClaimGuard Guard(Claims, Decided.Id);
  Request.Item.Deadline =
      std::min(Request.Item.Deadline, Decided.DispatchBefore);
  co_await serveRouted(Call, std::move(Request), &Guard);
}

Awaitable<void> Relay::serveRouted(Exchange &Call, CallerRequest Request,
                                   ClaimGuard *Guard) {
  std::optional<DispatchHandle> Handle =
      Routing.submit(Request.PoolName, Request.Item,
                     co_await boost::asio::this_coro::executor);
  if (!Handle) {
    co_await refuse(Call, notRun(Reason::UnknownTarget));
    co_return;
  }
  StreamProgress Progress;
  Progress.RouterPlace = &*Handle;
  while (true) {
    const Decision Next = co_await Handle->next();
    if (const auto *const Refused = std::get_if<Refusal>(&Next)) {
      if (!Call.hasBegun()) {
        co_await refuse(Call, Refused->Final);
      } else {
        ++Counts.Cut;
        Call.cut();
      }
      co_return;
    }
    ++Counts.Attempts;
    const auto To = std::get<Assignment>(Next).Endpoint;
    const AttemptResult Result =
        co_await admittedAttempt(Call, Request, *To, Progress, Guard);
    Handle->report(Result);
    if (Result.Answered) {
      ++Counts.Answered;
      co_return;
    }
  }
}

namespace {

/// Lets no request go to an endpoint that wants none.
class WillingEndpoint final : public CallPolicy {
public:
  WillingEndpoint(const EndpointAvailability &Shared, const EndpointSpec &To)
      : Availability(Shared), Target(To) {}
  [[nodiscard]] bool mayAbort() const override { return true; }
  [[nodiscard]] bool maySend() const override {
    return Availability.maySend(Target.Process, BootClock::now());
  }

private:
  const EndpointAvailability &Availability;
  const EndpointSpec &Target;
};

/// Reports the end of an admitted attempt on destruction, also if the caller
/// disconnects.
class AdmissionGuard {
public:
  AdmissionGuard(const AdmissionHooks &Gate, const EndpointSpec &To)
      : Home(Gate), Where(To) {
    Result.FailureReason = Reason::Cancelled;
  }
  AdmissionGuard(const AdmissionGuard &) = delete;
  AdmissionGuard &operator=(const AdmissionGuard &) = delete;
  ~AdmissionGuard() { Home.OnAttemptEnded(Where, Result); }

  AttemptResult Result;

private:
  const AdmissionHooks &Home;
  const EndpointSpec &Where;
};

} // namespace

Awaitable<AttemptResult> Relay::admittedAttempt(Exchange &Call,
                                                const CallerRequest &Request,
                                                const EndpointSpec &To,
                                                StreamProgress &Progress,
                                                ClaimGuard *Guard) {
  if (!Hooks.Admit(To))
    co_return failedAttempt(RunState::NotRun, Reason::NoEndpoint,
                            BootClock::now());
  AdmissionGuard Admission(Hooks, To);
  ScopedSpan Client =
      SpanSource.begin("attempt", SpanKind::Client, Request.Trace);
  Client.setAttribute(SpanKey::Endpoint, To.Key);
  Progress.Trace = Client.context();
  Admission.Result = co_await attempt(Call, Request, To, Progress, Guard);
  Client.recordResult(Admission.Result);
  co_return Admission.Result;
}

// Guards against a request of unknown fate: written to a pooled connection that
// the endpoint is just closing, a request that must not run twice may or may
// not have run. Such requests use a new connection each, so that "not run" and
// "may have run" can be told apart.
Awaitable<AttemptResult> Relay::attempt(Exchange &Call,
                                        const CallerRequest &Request,
                                        const EndpointSpec &To,
                                        StreamProgress &Progress,
                                        ClaimGuard *Guard) {
  const TimePoint Start = BootClock::now();
  HttpRequest Sent = Request.Forwarded;
  setField(Sent.Fields, "traceparent", formatTraceparent(Progress.Trace));
  if (Request.IsModelCall)
    addField(Sent.Fields, "Coltsfoottrail-Group", groupOf(To));
  if (Call.hasBegun()) {
    const std::optional<std::string> Text = Progress.Events.text();
    Progress.Events.dropPartial();
    if (!Text) {
      AttemptResult Lost =
          failedAttempt(RunState::MayHaveRun, Reason::EndpointCut, Start);
      Lost.CallerSawBytes = true;
      co_return Lost;
    }
    ++Counts.Resumed;
    Sent.Body = resumedBody(Sent.Body, *Text, Progress.Events.tokens());
  }
  if (Guard != nullptr) {
    if (BootClock::now() >= Request.Item.Deadline)
      co_return failedAttempt(RunState::NotRun, Reason::DeadlinePassed, Start);
    Guard->markSent();
  }
  const WillingEndpoint Policy(Routing.availability(), To);
  ConnectionUse Use;
  Use.Mode = Request.Item.Repeatable ? Reuse::Allowed : Reuse::Never;
  Use.Policy = &Policy;
  auto Started =
      co_await client(Call.thread())
          .start(To.Address, std::move(Sent), Request.AnswerDeadline, Use);
  if (const auto *const Failure = std::get_if<CallFailure>(&Started)) {
    if (Guard != nullptr && Failure->State == RunState::NotRun)
      Guard->markNotRun();
    co_return failedAttempt(*Failure, Start);
  }
  HttpCall Answer = std::move(std::get<HttpCall>(Started));
  recordRateLimit(To, Answer.head(), Start);
  recordAvailability(To, Answer.head());
  const unsigned Status = Answer.head().Status;
  const bool NotRun = fieldOf(Answer.head().Fields, VerdictField) == "not-run";
  if (NotRun && Guard != nullptr)
    Guard->markNotRun();
  if (NotRun && (isRetryableStatus(Status) || Call.hasBegun()))
    co_return refusedAttempt(
        readRetryAfter(Answer.head()).Pause > Duration::zero(), Start);
  const bool Broken = Call.hasBegun() && Status != StatusOk;
  if (Broken || (Request.IsModelCall && Status >= FirstErrorStatus))
    co_return failedAttempt(RunState::MayHaveRun, Reason::EndpointFailed,
                            Start);
  if (Request.IsStreaming && Status == StatusOk)
    co_return co_await relayStream(Call, Request, To, std::move(Answer), Start,
                                   Progress);
  co_return co_await relayWhole(Call, Request, To, std::move(Answer), Start,
                                Guard);
}

void Relay::recordRateLimit(const EndpointSpec &From, const HttpResponse &Head,
                            TimePoint SentAt) {
  const RateLimitField Named = readRateLimit(Head.Fields, RateLimitName);
  if (!Named.IsInvalid)
    Routing.observeRateLimit(From, Named.PerSecond, SentAt);
  else if (const auto HeldBack =
               Sampler.admit(Event::RateLimitInvalid, BootClock::now()))
    logEvent(Event::RateLimitInvalid,
             {{"endpoint", From.Key}, {"held_back", *HeldBack}});
}

void Relay::recordAvailability(const EndpointSpec &From,
                               const HttpResponse &Head) {
  const RetryAfterField Backoff = readRetryAfter(Head);
  const TimePoint Now = BootClock::now();
  if (Backoff.Pause)
    Routing.availability().recordBackoff(From.Process, *Backoff.Pause, Now);
  if (fieldOf(Head.Fields, LeavingName) == "1")
    Routing.availability().recordLeaving(From.Process, Now);
  if (!Backoff.IsInvalid)
    return;
  if (const auto HeldBack = Sampler.admit(Event::BackoffInvalid, Now))
    logEvent(Event::BackoffInvalid,
             {{"endpoint", From.Key}, {"held_back", *HeldBack}});
}

void Relay::logUnbounded(const EndpointSpec &From, std::size_t Bytes,
                         std::string_view Why) {
  if (const auto HeldBack =
          Sampler.admit(Event::ResponseUnbounded, BootClock::now()))
    logEvent(Event::ResponseUnbounded, {{"endpoint", From.Key},
                                        {"bytes", Bytes},
                                        {"why", Why},
                                        {"held_back", *HeldBack}});
}

Awaitable<AttemptResult> Relay::relayWhole(Exchange &Call,
                                           const CallerRequest &Request,
                                           const EndpointSpec &To,
                                           HttpCall Answer, TimePoint Start,
                                           ClaimGuard *Guard) {
  const TimePoint FirstByte = BootClock::now();
  HttpResponse Response;
  Response.Status = Answer.head().Status;
  Response.Fields = answerFields(Answer.head());
  ResponseBuffer Body(Memory);
  while (true) {
    auto Next = co_await Answer.next(Request.AnswerDeadline);
    if (const auto *const Failure = std::get_if<CallFailure>(&Next))
      co_return failedAttempt(*Failure, Start);
    auto &Part = std::get<std::optional<std::string>>(Next);
    if (!Part)
      break;
    if (!Body.append(*Part)) {
      logUnbounded(To, Body.size() + Part->size(), "body");
      co_return failedAttempt(RunState::MayHaveRun, Reason::EndpointFailed,
                              Start);
    }
  }
  Response.Body = Body.take();
  const bool NotRun = fieldOf(Answer.head().Fields, VerdictField) == "not-run";
  if (Guard != nullptr && !NotRun) {
    StoredOutcome Outcome;
    Outcome.Status = Response.Status;
    Outcome.ContentType = std::string(fieldOf(Response.Fields, "Content-Type"));
    Outcome.BodyKept = Response.Body.size() <= MaxOutcomeBytes;
    if (Outcome.BodyKept)
      Outcome.Body = Response.Body;
    Guard->settle(std::move(Outcome));
  }
  addField(Response.Fields, VerdictField, NotRun ? "not-run" : "ran");
  co_await Call.respond(std::move(Response));
  co_return answeredAttempt(Start, FirstByte);
}

// Guards against a truncated stream that looks complete when an endpoint dies
// in the middle. Only complete events are passed on and the response ends
// normally only after the "[DONE]" event; otherwise another endpoint resumes it
// at the next token, or the connection is visibly cut.
Awaitable<AttemptResult> Relay::relayStream(Exchange &Call,
                                            const CallerRequest &Request,
                                            const EndpointSpec &To,
                                            HttpCall Answer, TimePoint Start,
                                            StreamProgress &Progress) {
  const TimePoint FirstByte = BootClock::now();
  if (!Call.hasBegun()) {
    HttpResponse Head;
    Head.Fields = answerFields(Answer.head());
    co_await Call.begin(std::move(Head));
  }
  while (true) {
    auto Next = co_await Answer.next(Request.AnswerDeadline);
    if (const auto *const Failure = std::get_if<CallFailure>(&Next)) {
      AttemptResult Result = failedAttempt(*Failure, Start);
      Result.CallerSawBytes = !Progress.Events.resumable();
      Result.Resumable = Progress.Events.resumable();
      Result.FirstByte = FirstByte - Start;
      co_return Result;
    }
    auto &Part = std::get<std::optional<std::string>>(Next);
    if (!Part)
      break;
    const std::string_view Events = Progress.Events.take(*Part);
    if (Progress.Events.isOverlong()) {
      logUnbounded(To, EventSplitter::MaxEventBytes, "event");
      AttemptResult Result =
          failedAttempt(RunState::MayHaveRun, Reason::EndpointFailed, Start);
      Result.CallerSawBytes = !Progress.Events.resumable();
      Result.Resumable = Progress.Events.resumable();
      co_return Result;
    }
    if (Events.empty())
      continue;
    Progress.RouterPlace->responseProgressed();
    co_await Call.write(Events);
  }
  if (!Progress.Events.sawEnd()) {
    AttemptResult Result =
        failedAttempt(RunState::MayHaveRun, Reason::EndpointCut, Start);
    Result.CallerSawBytes = !Progress.Events.resumable();
    Result.Resumable = Progress.Events.resumable();
    co_return Result;
  }
  co_await Call.end();
  co_return answeredAttempt(Start, FirstByte);
}

} // namespace coltsfoottrail
