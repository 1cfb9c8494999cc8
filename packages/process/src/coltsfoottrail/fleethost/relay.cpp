#include "coltsfoottrail/fleethost/relay.hpp"

#include "coltsfoottrail/core/hash.hpp"

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

/// Where the host itself cannot serve for now: another host probably can.
constexpr milliseconds ElsewhereRetryAfter{100};

/// A request with less of its route's time than this has been refused before.
/// Callers' first attempts come with 85 to 100 in 100 of it; those that come
/// back have waited three quarters of a second or more.
constexpr double CameBackPart = 0.845;
/// When to come back, as a part of the time left: later than a third of it
/// callers do not wait, and a group is repaired in two to four seconds.
constexpr double ComeBackPart = 0.3;
constexpr milliseconds LatestComeBack{1'500};

std::int64_t wholeMs(Duration Span) {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

std::string secondsText(milliseconds Span) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3f",
                std::chrono::duration<double>(Span).count());
  return Text;
}

} // namespace

/// Writes a request's lines when its coroutine ends, however it does.
class FleetRelay::TrailMark {
public:
  TrailMark(Work &Of, std::shared_ptr<RequestLogBudget> Limits)
      : Asked(Of), Budget(std::move(Limits)) {}
  TrailMark(const TrailMark &) = delete;
  TrailMark &operator=(const TrailMark &) = delete;
  ~TrailMark() {
    const TimePoint Now = BootClock::now();
    if (!Asked.Ended) {
      Asked.Trail.markNotable();
      Asked.Trail.add(Event::CallerLeft, {{"sends", Asked.Sends}}, Now);
    }
    Asked.Trail.end(*Budget, Now);
  }

private:
  Work &Asked;
  std::shared_ptr<RequestLogBudget> Budget;
};

void FleetRelay::ended(Work &Asked, std::string_view Outcome, unsigned Status,
                       const Verdict &Final) {
  Asked.Ended = true;
  const bool Answered = Outcome == "answered";
  if (!Answered || Asked.Sends > 1)
    Asked.Trail.markNotable();
  const std::string_view Why = Answered ? "none" : reasonCode(Final.Why);
  const std::string_view Ran = Answered ? "ran" : runStateCode(Final.State);
  measureEnd(Asked, Outcome, Why);
  Asked.Trail.add(Event::RequestEnded,
                  {{"outcome", Outcome},
                   {"status", Status},
                   {"verdict", Ran},
                   {"reason", Why},
                   {"sends", Asked.Sends},
                   {"last_event", Asked.Events.lastId()},
                   {"pool", Asked.Pool},
                   {"first_ms", wholeMs(Asked.FirstEvent)},
                   {"pause_ms", wholeMs(Asked.LongestPause)}},
                  BootClock::now());
}

void FleetRelay::measureEnd(const Work &Asked, std::string_view Outcome,
                            std::string_view Why) {
  const RunPolicy Kind =
      Asked.Route != nullptr ? Asked.Route->Policy : RunPolicy::AtMostOnce;
  Measured.ended(Asked.Service != nullptr ? Asked.Service->Name : ServiceName(),
                 Kind, Outcome, Why, BootClock::now() - Asked.ArrivedAt);
}

void FleetRelay::noteFailure(Work &Asked, const EndpointSpec &To,
                             const AttemptResult &Result) {
  Asked.Trail.markNotable();
  Asked.Trail.add(
      Event::AttemptFailed,
      {{"endpoint", To.Host},
       {"verdict", runStateCode(Result.State)},
       {"reason", reasonCode(Result.Why)},
       {"connection_lost", Result.ConnectionLost},
       {"after_ms",
        std::chrono::duration_cast<milliseconds>(Result.Total).count()},
       {"last_event", Asked.Events.lastId()}},
      BootClock::now());
}

Awaitable<void> FleetRelay::serve(Exchange &Call) {
  ++Counts.Requests;
  Work Asked;
  const TrailMark Mark(Asked, Budget);
  std::optional<HttpResponse> Refused = admit(Call.request(), Asked);
  if (!Refused)
    Refused = choosePool(Asked);
  if (Refused) {
    const TimePoint Now = BootClock::now();
    Asked.Ended = true;
    measureEnd(Asked, "turned-away", std::to_string(Refused->Status));
    Asked.Trail.markNotable();
    Asked.Trail.add(Event::RequestTurnedAway,
                    {{"status", Refused->Status},
                     {"answer", Refused->Body},
                     {"config", Asked.Config ? Asked.Config->version() : 0},
                     {"config_age_ms", std::chrono::duration_cast<milliseconds>(
                                           View.configAge(Now))
                                           .count()}},
                    Now);
    Wire.mark(*Refused, Asked.Said.Id);
    co_await Call.respond(std::move(*Refused));
    co_return;
  }
  co_await route(Call, Asked);
}

std::optional<HttpResponse> FleetRelay::admit(const HttpRequest &Request,
                                              Work &Asked) {
  Asked.ArrivedAt = BootClock::now();
  Asked.AnswerBy = Asked.ArrivedAt;
  Asked.Said = Wire.read(Request);
  Asked.Trail.begin(Asked.Said.Id, Asked.ArrivedAt);
  Asked.Config = View.config();
  const Verdict Elsewhere{RunState::NotRun, Reason::Stale, ElsewhereRetryAfter};
  if (!Asked.Config || Stopping)
    return refusal(Asked, Elsewhere);
  Asked.Route = Asked.Config->route(Asked.Said.HostHeader, Asked.Said.Path);
  // A host that cannot prove its configuration does not know that there is no
  // such route.
  if (Asked.Route == nullptr && !View.credentialsFresh(Asked.ArrivedAt))
    return refusal(Asked, Elsewhere);
  if (Asked.Route == nullptr)
    return jsonResponse(StatusNotFound, R"({"error":"no-route"})");
  // Where callers have credentials a host serves none of them once it cannot
  // prove these. A public route needs no credential, but may be withdrawn.
  if (Asked.Route->Public && Asked.Config->hasTeams() &&
      !View.routesFresh(Asked.ArrivedAt))
    return refusal(Asked, Elsewhere);
  if (!Asked.Route->Public && Asked.Config->hasTeams()) {
    if (!View.credentialsFresh(Asked.ArrivedAt))
      return refusal(Asked, Elsewhere);
    const TeamKeys *const Team = Asked.Config->team(Asked.Said.Credential);
    if (Team == nullptr)
      return jsonResponse(StatusUnauthenticated,
                          R"({"error":"unknown-credential"})");
    Asked.Team = Team->Name;
  }
  milliseconds Patience = Asked.Route->Timeout;
  if (Asked.Said.Patience)
    Patience = std::min(Patience, *Asked.Said.Patience);
  Asked.AnswerBy = Asked.ArrivedAt + Patience;
  if (Patience < Asked.Route->Timeout * CameBackPart)
    Asked.How = Timeliness::CameBack;
  return std::nullopt;
}

std::optional<HttpResponse> FleetRelay::choosePool(Work &Asked) {
  std::uint64_t Total = 0;
  for (const WeightedService &Each : Asked.Route->Services)
    Total += Each.Weight;
  if (Total == 0)
    return jsonResponse(StatusNotFound, R"({"error":"no-service"})");
  std::uint64_t Point = Draw.below(Total);
  const WeightedService *Chosen = nullptr;
  for (const WeightedService &Each : Asked.Route->Services) {
    Chosen = &Each;
    if (Point < Each.Weight)
      break;
    Point -= Each.Weight;
  }
  const ServiceProfile *const Service = Asked.Config->service(Chosen->Service);
  if (Service == nullptr)
    return jsonResponse(StatusNotFound, R"({"error":"no-service"})");
  ModelName Model;
  if (Service->Engine && !Service->Engine->Models.empty()) {
    const auto &Models = Service->Engine->Models;
    const bool Known =
        std::any_of(Models.begin(), Models.end(), [&](const ServedModel &One) {
          return One.Name == Asked.Said.Model;
        });
    if (!Known)
      return jsonResponse(StatusBadRequest, R"({"error":"unknown-model"})");
    Model = Asked.Said.Model;
  }
  Asked.Service = Service;
  Asked.Pool = FleetView::poolName(Service->Name, Model);
  return std::nullopt;
}

double FleetRelay::recentRequests(const std::string &Pool,
                                  TimePoint Now) const {
  const auto Found = Mixes.find(Pool);
  return Found == Mixes.end() ? 0.0 : Found->second->Recent.value(Now);
}

double FleetRelay::PoolMix::freshPart() const noexcept {
  // One of each is added: a host with few requests knows little.
  return (Fresh + 1.0) / (Fresh + Late + 2.0);
}

WorkItem FleetRelay::itemOf(const HttpRequest &Request, const Work &Asked,
                            const PoolMix &Mix) const {
  WorkItem Out;
  Out.Team = Asked.Team;
  CallerCase Case;
  Case.How = Asked.How;
  Case.Streams = Asked.Route->streams();
  Case.ArrivedAt = Asked.ArrivedAt;
  Case.AnswerBy = Asked.AnswerBy;
  Case.TargetLatency = Asked.Route->TargetLatency;
  setTerms(Case, BootClock::now(), Out);
  // Failure guarded against: late requests that wait in a leader's queue make
  // it look full, fresh ones are refused and come back late, and soon nothing
  // is on time. Fresh ones go before late ones there; other hosts' mix is taken
  // to be like this host's.
  if (!Asked.late())
    Out.WaitingPart = Mix.freshPart();
  Out.PromptTokens = Asked.Said.PromptTokens;
  Out.Repeatable = Asked.Route->repeatable();
  Out.Fingerprint = hashText(
      Request.Body, hashText(Request.Target, hashText(Asked.Team.Text)));
  Out.Bytes = Request.Body.size();
  return Out;
}

Awaitable<void> FleetRelay::route(Exchange &Call, Work &Asked) {
  std::shared_ptr<PoolMix> &Mix = Mixes[Asked.Pool];
  if (!Mix)
    Mix = std::make_shared<PoolMix>();
  Mix->Recent.add(Asked.ArrivedAt);
  const auto Executor = co_await boost::asio::this_coro::executor;
  std::optional<Place> Mine =
      Routing.submit(Asked.Pool, itemOf(Call.request(), Asked, *Mix), Executor);
  while (Mine) {
    const Decision Next = co_await Mine->next();
    if (const auto *const Refused = std::get_if<Refusal>(&Next)) {
      if (!mayDemote(Asked, Refused->Final)) {
        recordRefusal(Asked, Refused->Basis);
        co_await finish(Call, Asked, Refused->Final);
        co_return;
      }
      Asked.How = Timeliness::Demoted;
      Asked.Trail.add(Event::RequestDemoted, {{"pool", Asked.Pool}},
                      BootClock::now());
      Mine.reset();
      std::optional<Place> Behind = Routing.submit(
          Asked.Pool, itemOf(Call.request(), Asked, *Mix), Executor);
      if (Behind)
        Mine.emplace(std::move(*Behind));
      continue;
    }
    const auto To = std::get<Assignment>(Next).Endpoint;
    Asked.Mine = &*Mine;
    AttemptResult Result = co_await attempt(Call, Asked, *To);
    if (Result.State != RunState::NotRun)
      ++Asked.Runs;
    // The operators bound how many endpoints may run one request.
    if (!Result.Answered && Asked.Runs >= Asked.Route->MaxAttempts)
      Result.CallerSawBytes = true;
    Mine->report(Result);
    if (Result.Answered) {
      ++Counts.Answered;
      co_return;
    }
    noteFailure(Asked, *To, Result);
  }
  const Verdict None{RunState::NotRun, Reason::NoEndpoint, ElsewhereRetryAfter};
  co_await finish(Call, Asked, None);
}

void FleetRelay::recordRefusal(Work &Asked, const RefusalBasis &Basis) {
  if (Basis.Stop == RetryStop::NotTried)
    return;
  const TimePoint Now = BootClock::now();
  Asked.Trail.add(
      Event::RetryEnded,
      {{"why", retryStopCode(Basis.Stop)},
       {"attempts", Basis.Attempts},
       {"runs", Asked.Runs},
       {"budget_waits", Basis.BudgetWaits},
       {"endpoints", Basis.Endpoints},
       {"since_failure_ms", wholeMs(Now - Basis.FailedAt.value_or(Now))},
       {"left_ms", wholeMs(Asked.AnswerBy - Now)}},
      Now);
}

// Failure guarded against: on a day with too few groups callers are refused,
// come back late, and are refused again. A stream that finds no place in time
// to be on time is late, whatever is done; behind the others it still gets the
// first place that none of them needs.
bool FleetRelay::mayDemote(const Work &Asked, const Verdict &Final) {
  return Asked.Route->streams() && !Asked.late() && Asked.Runs == 0 &&
         Final.State == RunState::NotRun && Final.Why == Reason::Overloaded;
}

Awaitable<void> FleetRelay::finish(Exchange &Call, Work &Asked, Verdict Final) {
  if (Call.begun()) {
    ++Counts.CutStreams;
    ended(Asked, "cut", StatusOk, Final);
    Call.cut();
    co_return;
  }
  HttpResponse Out = Asked.Kept && Final.State != RunState::NotRun
                         ? std::move(*Asked.Kept)
                         : refusal(Asked, Final);
  ended(Asked, Final.State == RunState::NotRun ? "refused" : "failed",
        Out.Status, Final);
  co_await Call.respond(std::move(Out));
}

// Callers that were refused together would come back together: the time is
// drawn from its upper half.
milliseconds FleetRelay::comeBackAfter(const Work &Asked) {
  if (!View.credentialsFresh(BootClock::now()) || Stopping)
    return ElsewhereRetryAfter;
  const Duration Left = Asked.AnswerBy - BootClock::now();
  const auto Most = std::min<Duration>(
      LatestComeBack,
      std::chrono::duration_cast<Duration>(Left * ComeBackPart));
  const double Part = 0.5 + 0.5 * Draw.fraction();
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(Most * Part));
}

HttpResponse FleetRelay::refusal(const Work &Asked, const Verdict &Final) {
  const bool NotRun = Final.State == RunState::NotRun;
  if (NotRun)
    ++Counts.RefusedNotRun;
  else
    ++Counts.FailedMayHaveRun;
  unsigned Status = StatusUnavailable;
  if (!NotRun)
    Status = Final.Why == Reason::EndpointTimedOut ||
                     Final.Why == Reason::DeadlinePassed
                 ? StatusGatewayTimeout
                 : StatusBadGateway;
  HttpResponse Out = jsonResponse(
      Status, R"({"verdict":")" + std::string(runStateCode(Final.State)) +
                  R"(","reason":")" + std::string(reasonCode(Final.Why)) +
                  "\"}");
  if (NotRun)
    Out.Fields.push_back(
        {"Retry-After",
         secondsText(Asked.Route != nullptr ? comeBackAfter(Asked)
                                            : ElsewhereRetryAfter)});
  Wire.mark(Out, Asked.Said.Id);
  return Out;
}

} // namespace coltsfoottrail
