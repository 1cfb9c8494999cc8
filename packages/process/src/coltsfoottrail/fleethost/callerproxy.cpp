#include "coltsfoottrail/fleethost/callerproxy.hpp"

#include "coltsfoottrail/core/hash.hpp"
#include "coltsfoottrail/fleet/rank.hpp"
#include "coltsfoottrail/server/evidencelog.hpp"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <cstdio>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusUnauthenticated = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;

/// Retry-After where this host cannot serve at present but another one probably
/// can.
constexpr milliseconds ElsewhereRetryAfter{100};

/// A request that has less than this fraction of its route's timeout left has
/// been refused before: callers' first attempts arrive with 0.85 to 1.00 of it,
/// and callers that retry have waited at least 0.75 s.
constexpr double RetriedTimeFraction = 0.845;
/// Longest Retry-After as a fraction of the time left. Callers do not wait
/// longer than a third of it, and a group is repaired in two to four seconds.
constexpr double RetryAfterFraction = 0.3;
/// Latest useful retry where it is known when there will be room, as a fraction
/// of the time that the caller has left.
constexpr double LastUsefulRetryFraction = 0.5;
constexpr milliseconds MaxRetryAfter{1'500};
/// Callers that are refused because of one back-off come back spread over this
/// part of the time until its end.
constexpr double BackoffReturnSpread = 0.2;

std::int64_t toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

std::uint64_t fingerprintOf(const HttpRequest &Request, const TeamName &Team) {
  return hashText(Request.Body, hashText(Request.Target, hashText(Team.Text)));
}

std::string secondsText(milliseconds Span) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3f",
                std::chrono::duration<double>(Span).count());
  return Text;
}

} // namespace

/// Writes a request's log lines when its coroutine ends, in whatever way.
class CallerProxy::TrailGuard {
public:
  TrailGuard(const Exchange &Call, RequestContext &Context,
             std::shared_ptr<RequestLogBudget> Budget)
      : Call(Call), Context(Context), Budget(std::move(Budget)) {}
  TrailGuard(const TrailGuard &) = delete;
  TrailGuard &operator=(const TrailGuard &) = delete;
  ~TrailGuard() {
    const TimePoint Now = BootClock::now();
    if (!Context.Ended) {
      Context.Trail.markNotable();
      Context.Trail.add(Call.wasCut() ? Event::RequestCut : Event::CallerLeft,
                        {{"sends", Context.Sends}, {"begun", Call.hasBegun()}},
                        Now);
    }
    Context.Trail.end(*Budget, Now);
  }

private:
  const Exchange &Call;
  RequestContext &Context;
  std::shared_ptr<RequestLogBudget> Budget;
};

void CallerProxy::recordEnd(RequestContext &Context, std::string_view Outcome,
                            unsigned Status, const Verdict &Final) {
  Context.Ended = true;
  const bool Answered = Outcome == "answered";
  if (!Answered || Context.Sends > 1)
    Context.Trail.markNotable();
  const std::string_view ReasonText = Answered ? "none" : reasonCode(Final.Why);
  const std::string_view Ran = Answered ? "ran" : runStateCode(Final.State);
  measureEnd(Context, Outcome, ReasonText);
  if (Answered || Outcome == "refused")
    Metrics.recordRank(Context.Rank,
                       Answered ? RankEvent::Served : RankEvent::Refused);
  Context.Trail.add(Event::RequestEnded,
                    {{"outcome", Outcome},
                     {"status", Status},
                     {"verdict", Ran},
                     {"reason", ReasonText},
                     {"sends", Context.Sends},
                     {"fingerprint", fingerprintText(Context.Fingerprint)},
                     {"parts", idList(Context.Caller.SharedParts)},
                     {"last_event", Context.Events.lastId()},
                     {"pool", Context.Pool},
                     {"rank", Context.Rank},
                     {"first_ms", toMilliseconds(Context.TimeToFirstEvent)},
                     {"pause_ms", toMilliseconds(Context.LongestEventGap)}},
                    BootClock::now());
}

void CallerProxy::measureEnd(const RequestContext &Context,
                             std::string_view Outcome,
                             std::string_view ReasonText) {
  const RunPolicy Kind =
      Context.Route != nullptr ? Context.Route->Policy : RunPolicy::AtMostOnce;
  Metrics.recordEnd(
      Context.Service != nullptr ? Context.Service->Name : ServiceName(), Kind,
      Outcome, ReasonText, BootClock::now() - Context.ArrivedAt);
}

void CallerProxy::measureOffered(const RequestContext &Context) {
  if (Demand != nullptr)
    Demand->recordOffered(Context.PoolHash, Context.Rank,
                          Context.Caller.PromptTokens,
                          Context.Caller.AnswerTokens, BootClock::now());
}

void CallerProxy::measureAdmitted(const RequestContext &Context,
                                  Duration Wait) {
  Metrics.recordWait(Context.Route->Policy, Wait);
  if (Demand != nullptr)
    Demand->recordAdmitted(Context.PoolHash, Context.Rank, Wait,
                           BootClock::now());
}

// A request that is refused before its pool is chosen was not offered to any.
void CallerProxy::measureRefused(const RequestContext &Context) {
  if (Demand != nullptr && !Context.Pool.empty())
    Demand->recordRefused(Context.PoolHash, Context.Rank, BootClock::now());
}

void CallerProxy::measureDemoted(const RequestContext &Context) {
  if (Demand != nullptr)
    Demand->recordDemoted(Context.PoolHash, Context.Rank, BootClock::now());
}

void CallerProxy::logFailure(RequestContext &Context,
                             const EndpointSpec &Target,
                             const AttemptResult &Result) {
  Context.Trail.markNotable();
  Context.Trail.add(
      Event::AttemptFailed,
      {{"endpoint", Target.Host},
       {"verdict", runStateCode(Result.State)},
       {"reason", reasonCode(Result.FailureReason)},
       {"connection_lost", Result.ConnectionLost},
       {"ended_here", Result.EndedHere},
       {"parts", idList(Context.Caller.SharedParts)},
       {"after_ms",
        std::chrono::duration_cast<milliseconds>(Result.Total).count()},
       {"last_event", Context.Events.lastId()}},
      BootClock::now());
}

Awaitable<void> CallerProxy::serve(Exchange &Call) {
  ++Counts.Requests;
  RequestContext Context;
  const TrailGuard Mark(Call, Context, Budget);
  std::optional<HttpResponse> Refused = admit(Call.request(), Context);
  if (!Refused)
    Refused = choosePool(Context);
  if (!Refused) {
    measureOffered(Context);
    Refused = refuseUnlessReachable(Context);
  }
  if (Refused) {
    const TimePoint Now = BootClock::now();
    Context.Ended = true;
    measureEnd(Context, "turned-away", std::to_string(Refused->Status));
    Context.Trail.markNotable();
    Context.Trail.add(
        Event::RequestTurnedAway,
        {{"status", Refused->Status},
         {"answer", Refused->Body},
         {"config", Context.Config ? Context.Config->version() : 0},
         {"config_age_ms",
          std::chrono::duration_cast<milliseconds>(View.configAge(Now))
              .count()}},
        Now);
    Wire.addRequiredFields(*Refused, Context.Caller.Id);
    co_await Call.respond(std::move(*Refused));
    co_return;
  }
  co_await route(Call, Context);
}

std::optional<HttpResponse> CallerProxy::admit(const HttpRequest &Request,
                                               RequestContext &Context) {
  Context.ArrivedAt = BootClock::now();
  Context.Deadline = Context.ArrivedAt;
  Context.Caller = Wire.read(Request);
  Context.Trail.begin(Context.Caller.Id, Context.ArrivedAt);
  Context.Config = View.config();
  const Verdict StaleVerdict{RunState::NotRun, Reason::Stale,
                             ElsewhereRetryAfter};
  if (Stopping)
    return refusal(Context, Verdict{RunState::NotRun, Reason::Stopping, {}});
  if (!Context.Config)
    return refusal(Context, StaleVerdict);
  Context.Route =
      Context.Config->route(Context.Caller.HostHeader, Context.Caller.Path);
  // Without proof that its configuration is current, this host cannot know that
  // the route does not exist.
  if (Context.Route == nullptr && !View.credentialsFresh(Context.ArrivedAt))
    return refusal(Context, StaleVerdict);
  if (Context.Route == nullptr)
    return jsonResponse(StatusNotFound, R"({"error":"no-route"})");
  // If callers have credentials, none is accepted without proof that they are
  // current. A public route needs no credential, but it may have been
  // withdrawn.
  if (Context.Route->Public && Context.Config->usesCredentials() &&
      !View.routesFresh(Context.ArrivedAt))
    return refusal(Context, StaleVerdict);
  Context.Rank = rankOf(*Context.Route, nullptr);
  if (Context.Config->checksCredential(*Context.Route,
                                       Context.Caller.Credential)) {
    if (!View.credentialsFresh(Context.ArrivedAt))
      return refusal(Context, StaleVerdict);
    const TeamKeys *const Team =
        Context.Config->team(Context.Caller.Credential);
    if (Team == nullptr)
      return jsonResponse(StatusUnauthenticated,
                          R"({"error":"unknown-credential"})");
    Context.Team = Team->Name;
    Context.Rank = rankOf(*Context.Route, Team);
  }
  milliseconds CallerTimeout = Context.Route->Timeout;
  if (Context.Caller.Timeout)
    CallerTimeout = std::min(CallerTimeout, *Context.Caller.Timeout);
  Context.Deadline = Context.ArrivedAt + CallerTimeout;
  if (CallerTimeout < Context.Route->Timeout * RetriedTimeFraction)
    Context.Freshness = Timeliness::Resubmitted;
  return std::nullopt;
}

std::optional<HttpResponse> CallerProxy::choosePool(RequestContext &Context) {
  std::uint64_t Total = 0;
  for (const WeightedService &Weighted : Context.Route->Services)
    Total += Weighted.Weight;
  if (Total == 0)
    return jsonResponse(StatusNotFound, R"({"error":"no-service"})");
  std::uint64_t Point = Draw.below(Total);
  const WeightedService *Chosen = nullptr;
  for (const WeightedService &Weighted : Context.Route->Services) {
    Chosen = &Weighted;
    if (Point < Weighted.Weight)
      break;
    Point -= Weighted.Weight;
  }
  const ServiceProfile *const Service =
      Context.Config->service(Chosen->Service);
  if (Service == nullptr)
    return jsonResponse(StatusNotFound, R"({"error":"no-service"})");
  ModelName Model;
  if (Service->Engine && !Service->Engine->Models.empty()) {
    const auto &Models = Service->Engine->Models;
    const bool IsServed = std::any_of(
        Models.begin(), Models.end(), [&](const ServedModel &Candidate) {
          return Candidate.Name == Context.Caller.Model;
        });
    if (!IsServed)
      return jsonResponse(StatusBadRequest, R"({"error":"unknown-model"})");
    Model = Context.Caller.Model;
  }
  Context.Service = Service;
  Context.Ranks = RankOrder(View.ranks(Service->Name));
  Context.Pool = FleetView::poolName(Service->Name, Model);
  Context.PoolHash = hashText(Context.Pool);
  return std::nullopt;
}

// Failure guarded against: neither this host nor any other reaches an endpoint,
// and callers wait for a refusal that is certain.
std::optional<HttpResponse>
CallerProxy::refuseUnlessReachable(const RequestContext &Context) {
  if (!Reach.reachesNothing(BootClock::now()))
    return std::nullopt;
  return refusal(Context, Verdict{RunState::NotRun, Reason::NoEndpoint, {}});
}

double CallerProxy::recentRequests(const std::string &Pool,
                                   TimePoint Now) const {
  const auto It = Backlogs.find(Pool);
  return It == Backlogs.end() ? 0.0 : It->second->Recent.value(Now);
}

double CallerProxy::PoolBacklog::freshFraction() const noexcept {
  // Adds one of each, because a host with few requests has little evidence.
  return (Fresh + 1.0) / (Fresh + Late + 2.0);
}

WorkItem CallerProxy::makeWorkItem(const HttpRequest &Request,
                                   const RequestContext &Context,
                                   const PoolBacklog &Backlog) const {
  WorkItem Result;
  Result.Team = Context.Team;
  Result.Rank = Context.Rank;
  RequestTiming Case;
  Case.Status = Context.Freshness;
  Case.Streams = Context.Route->streams();
  Case.ArrivedAt = Context.ArrivedAt;
  Case.AnswerBy = Context.Deadline;
  Case.TargetLatency = Context.Route->TargetLatency;
  Case.ShortestTarget = Context.Ranks.shortestTarget();
  setSchedulingTerms(Case, BootClock::now(), Result);
  // Failure guarded against: late requests that wait in a leader's queue make
  // it look full, fresh ones are refused and return late, and soon no request
  // is on time. Fresh requests go before late ones in that queue. Other hosts
  // are assumed to have the same proportion of fresh requests as this host.
  if (!Context.isLate())
    Result.QueuedAheadFraction = Backlog.freshFraction();
  Result.PromptTokens = Context.Caller.PromptTokens;
  Result.Repeatable = Context.Route->repeatable();
  Result.EarlierSends = Context.Sends;
  Result.Fingerprint = Context.Fingerprint;
  Result.SharedParts = Context.Caller.SharedParts;
  Result.Bytes = Request.Body.size();
  return Result;
}

Awaitable<void> CallerProxy::route(Exchange &Call, RequestContext &Context) {
  std::shared_ptr<PoolBacklog> &Backlog = Backlogs[Context.Pool];
  if (!Backlog)
    Backlog = std::make_shared<PoolBacklog>();
  Backlog->Recent.add(Context.ArrivedAt);
  Context.Fingerprint = fingerprintOf(Call.request(), Context.Team);
  Metrics.recordRank(Context.Rank, RankEvent::Offered);
  const auto Executor = co_await boost::asio::this_coro::executor;
  std::optional<DispatchHandle> RouterPlace = Routing.submit(
      Context.Pool, makeWorkItem(Call.request(), Context, *Backlog), Executor);
  while (RouterPlace) {
    const Decision Next = co_await RouterPlace->next();
    if (const auto *const Refused = std::get_if<Refusal>(&Next)) {
      if (!mayDemote(Context, Refused->Final)) {
        logRetryEnd(Context, Refused->Details);
        co_await finish(Call, Context, Refused->Final);
        co_return;
      }
      Context.Freshness = Timeliness::Demoted;
      measureDemoted(Context);
      Metrics.recordRank(Context.Rank, RankEvent::Demoted);
      Context.Trail.add(Event::RequestDemoted,
                        {{"pool", Context.Pool},
                         {"sends", Context.Sends},
                         {"rank", Context.Rank}},
                        BootClock::now());
      RouterPlace.reset();
      std::optional<DispatchHandle> DemotedPlace = Routing.submit(
          Context.Pool, makeWorkItem(Call.request(), Context, *Backlog),
          Executor);
      if (DemotedPlace)
        RouterPlace.emplace(std::move(*DemotedPlace));
      continue;
    }
    Context.Endpoint = std::get<Assignment>(Next).Endpoint;
    Context.Away = std::get<Assignment>(Next).Away;
    Context.RouterPlace = &*RouterPlace;
    const auto Target = Context.Endpoint;
    AttemptResult Result = co_await attempt(Call, Context, *Target);
    if (Result.State != RunState::NotRun)
      ++Context.Runs;
    // The operators limit how many endpoints may run one request.
    if (!Result.Answered && Context.Runs >= Context.Route->MaxAttempts)
      Result.CallerSawBytes = true;
    RouterPlace->report(Result);
    if (Result.Answered) {
      ++Counts.Answered;
      co_return;
    }
    if (!Result.Withheld)
      logFailure(Context, *Context.Endpoint, Result);
  }
  const Verdict NoEndpointVerdict{RunState::NotRun, Reason::NoEndpoint,
                                  ElsewhereRetryAfter};
  co_await finish(Call, Context, NoEndpointVerdict);
}

void CallerProxy::logRetryEnd(RequestContext &Context,
                              const RefusalDetails &Basis) {
  if (Basis.Stop == RetryStop::NotTried)
    return;
  const TimePoint Now = BootClock::now();
  if (Context.Events.hasReleased() && Now < Context.Deadline)
    ++Counts.CutInTime[Basis.Stop];
  Context.Trail.add(
      Event::RetryEnded,
      {{"why", retryStopCode(Basis.Stop)},
       {"attempts", Basis.Attempts},
       {"runs", Context.Runs},
       {"budget_waits", Basis.BudgetWaits},
       {"endpoints", Basis.Endpoints},
       {"since_failure_ms", toMilliseconds(Now - Basis.FailedAt.value_or(Now))},
       {"left_ms", toMilliseconds(Context.Deadline - Now)}},
      Now);
}

// Failure guarded against: while there are too few groups, callers are refused,
// retry late, and are refused again. A stream that finds no place early enough
// to be on time will be late in any case; queued behind the others it still
// gets the first place that none of them needs.
bool CallerProxy::mayDemote(const RequestContext &Context,
                            const Verdict &Final) {
  return Context.Route->streams() && !Context.isLate() && Context.Runs == 0 &&
         Final.State == RunState::NotRun && Final.Why == Reason::Overloaded;
}

Awaitable<void> CallerProxy::finish(Exchange &Call, RequestContext &Context,
                                    Verdict Final) {
  if (Call.hasBegun()) {
    ++Counts.CutStreams;
    recordEnd(Context, "cut", StatusOk, Final);
    Call.cut();
    co_return;
  }
  HttpResponse Reply =
      Context.FallbackResponse && Final.State != RunState::NotRun
          ? std::move(*Context.FallbackResponse)
          : refusal(Context, Final);
  const unsigned Status = Reply.Status;
  co_await Call.respond(std::move(Reply));
  recordEnd(Context, Final.State == RunState::NotRun ? "refused" : "failed",
            Status, Final);
}

// Callers that were refused together would retry together, so the delay is
// drawn from the upper half of its range.
milliseconds CallerProxy::retryAfter(const RequestContext &Context,
                                     const Verdict &Final) {
  const TimePoint Now = BootClock::now();
  if (Context.Route == nullptr)
    return ElsewhereRetryAfter;
  if (Final.Why == Reason::PartQuarantined && Final.RetryAfter)
    return *Final.RetryAfter;
  if (Final.Why == Reason::EndpointsBackOff && Final.RetryAfter)
    return std::chrono::duration_cast<milliseconds>(
        *Final.RetryAfter * (1.0 + BackoffReturnSpread * Draw.fraction()));
  const bool IsBetterElsewhere =
      Final.Why == Reason::Stopping ||
      (Reach.cutOffSince() && !Reach.reachesNothing(Now));
  if (!View.credentialsFresh(Now) || IsBetterElsewhere)
    return ElsewhereRetryAfter;
  const Duration TimeLeft = Context.Deadline - Now;
  const auto MaxDelay = std::min<Duration>(
      MaxRetryAfter,
      std::chrono::duration_cast<Duration>(TimeLeft * RetryAfterFraction));
  const double Fraction = 0.5 + 0.5 * Draw.fraction();
  const auto Drawn =
      std::max(milliseconds(1),
               std::chrono::duration_cast<milliseconds>(MaxDelay * Fraction));
  if (!Context.Ranks.isActive() || !Final.RetryAfter)
    return Drawn;
  const auto LastUseful = std::chrono::duration_cast<milliseconds>(
      TimeLeft * LastUsefulRetryFraction);
  return std::clamp(*Final.RetryAfter, Drawn, std::max(Drawn, LastUseful));
}

HttpResponse CallerProxy::refuse(const HttpRequest &Head, unsigned Status,
                                 std::string_view Reason) {
  ++Counts.Requests;
  ++Counts.RefusedNotRun;
  HttpResponse Reply =
      jsonResponse(Status, R"({"error":")" + std::string(Reason) + "\"}");
  if (Status == StatusUnavailable)
    Reply.Fields.push_back({"Retry-After", secondsText(ElsewhereRetryAfter)});
  Wire.addRequiredFields(Reply, Wire.read(Head).Id);
  return Reply;
}

HttpResponse CallerProxy::refusal(const RequestContext &Context,
                                  const Verdict &Final) {
  const bool NotRun = Final.State == RunState::NotRun;
  if (NotRun) {
    ++Counts.RefusedNotRun;
    measureRefused(Context);
  } else {
    ++Counts.FailedMayHaveRun;
  }
  unsigned Status = StatusUnavailable;
  if (!NotRun)
    Status = Final.Why == Reason::EndpointTimedOut ||
                     Final.Why == Reason::DeadlinePassed
                 ? StatusGatewayTimeout
                 : StatusBadGateway;
  HttpResponse Reply = jsonResponse(
      Status, R"({"verdict":")" + std::string(runStateCode(Final.State)) +
                  R"(","reason":")" + std::string(reasonCode(Final.Why)) +
                  "\"}");
  if (NotRun)
    Reply.Fields.push_back(
        {"Retry-After", secondsText(retryAfter(Context, Final))});
  Wire.addRequiredFields(Reply, Context.Caller.Id);
  return Reply;
}

} // namespace coltsfoottrail
