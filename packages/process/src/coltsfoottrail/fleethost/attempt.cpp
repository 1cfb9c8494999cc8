// The part of the relay that sends a request to an endpoint and carries the
// answer back.
#include "coltsfoottrail/fleethost/relay.hpp"

#include "coltsfoottrail/admission/idleshare.hpp"
#include "coltsfoottrail/server/attempts.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusFirstOther = 300;
constexpr unsigned StatusFirstServerError = 500;

/// Less time than this is no use to an endpoint: a connection and a step of an
/// engine take about as long.
constexpr Duration LeastUsefulTime = milliseconds(10);
/// Silence after which a stream is taken up elsewhere: several times the pause
/// that is on time, and well before the platform's callers give up, which is
/// after two seconds at the earliest.
constexpr int SilenceFactor = 2;
constexpr Duration ShortestSilence = milliseconds(500);
constexpr Duration LongestSilence = milliseconds(1500);
/// Places in an engine's queue: a stream that broke off is waited for most.
constexpr std::uint32_t ResumedRank = 1;
constexpr std::uint32_t FreshRank = 4;
constexpr std::uint32_t LateRank = 8;

bool isSuccess(unsigned Status) {
  return Status >= StatusOk && Status < StatusFirstOther;
}

Duration silenceLimit(const RouteSpec &Route) {
  return std::clamp<Duration>(Route.TargetGap * SilenceFactor, ShortestSilence,
                              LongestSilence);
}

/// Tells the watch of one stream, however it ends.
class StreamMark {
public:
  StreamMark(SilenceWatch &Told, const std::string &Endpoint)
      : Watch(Told), Name(Endpoint) {}
  StreamMark(const StreamMark &) = delete;
  StreamMark &operator=(const StreamMark &) = delete;
  ~StreamMark() {
    if (Begun)
      Watch.ended(Name);
  }
  void heard() {
    if (std::exchange(Begun, true))
      Watch.heard(Name, BootClock::now());
    else
      Watch.began(Name, BootClock::now());
  }

private:
  SilenceWatch &Watch;
  std::string Name;
  bool Begun = false;
};

} // namespace

void FleetRelay::measureEvent(Work &Asked) {
  const TimePoint Now = BootClock::now();
  if (Asked.EventAt) {
    Measured.paused(Now - *Asked.EventAt);
    Asked.LongestPause = std::max(Asked.LongestPause, Now - *Asked.EventAt);
  } else {
    Measured.begun(Asked.Route->Policy, Now - Asked.ArrivedAt);
    Asked.FirstEvent = Now - Asked.ArrivedAt;
  }
  Asked.EventAt = Now;
}

// A request that must not run twice gets a connection of its own: written to
// one that the endpoint is just closing, nobody could tell whether it ran.
ConnectionUse FleetRelay::connectionUse(const Work &Asked) const {
  return {Asked.Route->repeatable() ? Reuse::Allowed : Reuse::Never,
          idleShare(Asked.Service->MaxConnections, EntryHosts)};
}

/// Counts a request of a pool from its send until it begins to be answered.
class FleetRelay::MixMark {
public:
  MixMark(std::shared_ptr<PoolMix> Where, bool IsLate)
      : Mix(std::move(Where)), Late(IsLate) {
    ++(Late ? Mix->Late : Mix->Fresh);
  }
  MixMark(const MixMark &) = delete;
  MixMark &operator=(const MixMark &) = delete;
  ~MixMark() { begun(); }
  void begun() {
    if (Mix)
      --(Late ? Mix->Late : Mix->Fresh);
    Mix.reset();
  }

private:
  std::shared_ptr<PoolMix> Mix;
  bool Late;
};

Awaitable<AttemptResult> FleetRelay::attempt(Exchange &Call, Work &Asked,
                                             const EndpointSpec &To) {
  const TimePoint Start = BootClock::now();
  const Duration Left = Asked.AnswerBy - Start;
  if (Left < LeastUsefulTime)
    co_return failed(RunState::NotRun, Reason::DeadlinePassed, Start);
  if (!bears(Asked, To, Start))
    co_return failed(RunState::NotRun, Reason::EndpointRefused, Start);
  ForwardMetadata Marks;
  Marks.Endpoint = EndpointName(To.Host.Text);
  Marks.Team = Asked.Team;
  Marks.TimeLeft = std::chrono::floor<milliseconds>(Left);
  if (Asked.Route->streams())
    Marks.QueuePriority = Asked.late() ? LateRank : FreshRank;
  // Failure guarded against: an endpoint breaks off inside its first event, and
  // the part of it is put before the first event of the next endpoint.
  Asked.Events.dropPartial();
  if (Asked.Events.any()) {
    Marks.QueuePriority = ResumedRank;
    Marks.LastEventId = Asked.Events.lastId();
    ++Counts.Resumed;
  }
  ++Counts.Sends;
  if (++Asked.Sends == 1)
    Measured.waited(Asked.Route->Policy, Start - Asked.ArrivedAt);
  Asked.Trail.add(Event::RequestPlaced,
                  {{"pool", Asked.Pool},
                   {"endpoint", To.Host},
                   {"team", Asked.Team},
                   {"config", Asked.Config->version()},
                   {"left_ms", Marks.TimeLeft.count()},
                   {"send", Asked.Sends},
                   {"late", Asked.late()}},
                  Start);
  const bool Repeatable = Asked.Route->repeatable();
  HttpRequest Sent = Wire.forward(Call.request(), Marks);
  MixMark Waits(Mixes[Asked.Pool], Asked.late());
  const bool MayMove = Repeatable && Asked.Route->streams() &&
                       Asked.Runs + 1 < Asked.Route->MaxAttempts;
  const TimePoint HeadBy =
      MayMove ? std::min(Asked.AnswerBy, Start + LongestSilence)
              : Asked.AnswerBy;
  auto Started = co_await Client.start(To.Address, std::move(Sent), HeadBy,
                                       connectionUse(Asked));
  if (const auto *const Failure = std::get_if<CallFailure>(&Started)) {
    AttemptResult Result = failed(*Failure, Start);
    if (Failure->Why == Reason::EndpointTimedOut &&
        BootClock::now() < Asked.AnswerBy)
      Result.Why = Reason::EndpointCut;
    co_return Result;
  }
  HttpCall Answer = std::move(std::get<HttpCall>(Started));
  const ResponseMetadata Said = Wire.readResponse(Answer.head());
  observe(To, Said);
  if (!Said.Id.empty() && Said.Id != Asked.Said.Id)
    co_return failed(RunState::MayHaveRun, Reason::EndpointCut, Start);
  if (ReportUnusable && Said.provesUnusable(To.Address))
    ReportUnusable(EndpointName(To.Host.Text), Said.FaultyEngine);
  if (Said.NotRun || Said.WrongEndpoint)
    co_return failed(RunState::NotRun, Reason::EndpointRefused, Start);
  const unsigned Status = Answer.head().Status;
  const bool Broken = isSuccess(Status) ? !Said.Signed : Call.hasBegun();
  if (Broken)
    co_return failed(RunState::MayHaveRun, Reason::EndpointFailed, Start);
  if (Asked.Route->streams() && isSuccess(Status))
    co_return co_await relayStream(Call, Asked, std::move(Answer), To, Start,
                                   Waits);
  co_return co_await relayWhole(Call, Asked, std::move(Answer), Start);
}

namespace {

/// Requests a second that an endpoint bears while it is cold; nothing where it
/// is not limited.
std::optional<double> coldRate(const RouteIndexPtr &Config,
                               const KnownEndpoint &Known) {
  const ServiceProfile *const Service =
      Config ? Config->service(Known.Record.Service) : nullptr;
  if (Service == nullptr || Service->ColdRequestsPerSecond <= 0.0)
    return std::nullopt;
  return Service->ColdRequestsPerSecond;
}

} // namespace

bool FleetRelay::mayWarm(const KnownEndpoint &Known, TimePoint Now) {
  const std::optional<double> Rate = coldRate(View.config(), Known);
  return !Rate || Gate.open(Known.Record.Name.Text, *Rate, Now);
}

bool FleetRelay::bears(const Work &Asked, const EndpointSpec &To,
                       TimePoint Now) {
  const KnownEndpoint *const Known =
      View.endpoints().find(EndpointName(To.Host.Text));
  if (Known == nullptr || !View.mayBeCold(*Known))
    return true;
  const std::optional<double> Rate = coldRate(Asked.Config, *Known);
  if (!Rate)
    return true;
  const bool Admitted = Gate.admit(To.Host.Text, *Rate, Now);
  // The next one waits for its turn elsewhere and not in vain here.
  Routing.setShares({{To.Key, 0}});
  return Admitted;
}

void FleetRelay::observe(const EndpointSpec &From,
                         const ResponseMetadata &Marks) {
  if (!Marks.ReportedLoad)
    return;
  LoadReport Report;
  Report.EndpointKey = From.Key;
  Report.Running = Marks.ReportedLoad->Running;
  Report.Queued = Marks.ReportedLoad->Waiting;
  Routing.observe(Report);
}

Awaitable<AttemptResult> FleetRelay::relayWhole(Exchange &Call, Work &Asked,
                                                HttpCall Answer,
                                                TimePoint Start) {
  const TimePoint FirstByte = BootClock::now();
  HttpResponse Whole = Wire.responseHead(Answer.head());
  while (true) {
    auto Next = co_await Answer.next(Asked.AnswerBy);
    if (const auto *const Failure = std::get_if<CallFailure>(&Next))
      co_return failed(*Failure, Start);
    auto &Part = std::get<std::optional<std::string>>(Next);
    if (!Part)
      break;
    Whole.Body += *Part;
  }
  const bool Worthwhile = Whole.Status >= StatusFirstServerError &&
                          Asked.Route->repeatable() &&
                          Asked.Runs + 1 < Asked.Route->MaxAttempts;
  if (Worthwhile) {
    Asked.Kept = std::move(Whole);
    co_return failed(RunState::MayHaveRun, Reason::EndpointFailed, Start);
  }
  ended(Asked, "answered", Whole.Status, {});
  Measured.begun(Asked.Route->Policy, BootClock::now() - Asked.ArrivedAt);
  Asked.Mine->begun();
  co_await Call.respond(std::move(Whole));
  co_return answered(Start, FirstByte);
}

/// Tells of a broken stream whether it can go on at another endpoint.
void FleetRelay::markDelivered(const Work &Asked, bool MayMove,
                               AttemptResult &Result) {
  const bool Continues = MayMove && !Asked.Events.lastId().empty();
  Result.CallerSawBytes = Asked.Events.any() && !Continues;
  Result.Resumable = Asked.Events.any() && Continues;
}

// Failure guarded against: an endpoint dies or falls silent in the middle of a
// stream, and the caller takes the part for the whole, or waits until it gives
// up. Only whole events are passed on; a stream that breaks, or is silent for
// several times the pause that is on time, goes on behind the last event from
// another endpoint; and one that cannot is cut so that the caller sees it.
Awaitable<AttemptResult> FleetRelay::relayStream(Exchange &Call, Work &Asked,
                                                 HttpCall Answer,
                                                 const EndpointSpec &To,
                                                 TimePoint Start,
                                                 MixMark &Waits) {
  const TimePoint FirstByte = BootClock::now();
  const bool MayMove =
      Asked.Route->repeatable() && Asked.Runs + 1 < Asked.Route->MaxAttempts;
  StreamMark Mark(Silence, To.Host.Text);
  while (true) {
    TimePoint Until = Asked.AnswerBy;
    if (MayMove)
      Until = std::min(Until, BootClock::now() + silenceLimit(*Asked.Route));
    auto Next = co_await Answer.next(Until);
    if (const auto *const Failure = std::get_if<CallFailure>(&Next)) {
      AttemptResult Result = failed(*Failure, Start);
      const bool Fell = Failure->Why == Reason::EndpointTimedOut &&
                        BootClock::now() < Asked.AnswerBy;
      if (Fell)
        Result.Why = Reason::EndpointCut;
      markDelivered(Asked, MayMove, Result);
      co_return Result;
    }
    auto &Part = std::get<std::optional<std::string>>(Next);
    if (!Part)
      break;
    Mark.heard();
    Waits.begun();
    Asked.Mine->begun();
    const std::string_view Events = Asked.Events.take(*Part);
    if (Events.empty())
      continue;
    if (!Call.hasBegun()) {
      HttpResponse Head = Wire.responseHead(Answer.head());
      co_await Call.begin(std::move(Head));
    }
    measureEvent(Asked);
    co_await Call.write(Events);
  }
  if (!Asked.Events.whole()) {
    AttemptResult Result =
        failed(RunState::MayHaveRun, Reason::EndpointCut, Start);
    markDelivered(Asked, MayMove, Result);
    co_return Result;
  }
  if (!Call.hasBegun()) {
    HttpResponse Head = Wire.responseHead(Answer.head());
    co_await Call.begin(std::move(Head));
  }
  ended(Asked, "answered", StatusOk, {});
  co_await Call.end();
  co_return answered(Start, FirstByte);
}

} // namespace coltsfoottrail
