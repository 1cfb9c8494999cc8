/// @file
/// Carries callers' requests to endpoints and the answers back.
#ifndef COLTSFOOTTRAIL_FLEETHOST_CALLERPROXY_HPP
#define COLTSFOOTTRAIL_FLEETHOST_CALLERPROXY_HPP

#include "coltsfoottrail/admission/coldgate.hpp"
#include "coltsfoottrail/boundary/wire.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/dispatch/terms.hpp"
#include "coltsfoottrail/fleethost/eventstreambuffer.hpp"
#include "coltsfoottrail/fleethost/proxymetrics.hpp"
#include "coltsfoottrail/fleethost/view.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/logging/requesttrail.hpp"
#include "coltsfoottrail/retries/share.hpp"
#include "coltsfoottrail/server/router.hpp"
#include "coltsfoottrail/silence/silencewatch.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace coltsfoottrail {

/// @brief What a relay has done since its start.
struct CallerProxyCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t RefusedNotRun = 0;
  std::uint64_t FailedMayHaveRun = 0;
  std::uint64_t Sends = 0;
  std::uint64_t Resumed = 0;
  std::uint64_t CutStreams = 0;
};

/// @brief Serves callers. Belongs to one thread.
class CallerProxy {
public:
  /// @brief Makes a relay; what it is given must outlive it.
  /// @param Believed What this host believes.
  /// @param Decides Where requests are queued and placed.
  /// @param Out Connections to endpoints.
  /// @param Fields Reads and writes header fields.
  /// @param Heard Is told which endpoints' streams move.
  /// @param Seed Starts the choice among a route's services.
  CallerProxy(const FleetView &View, Router &Routing, HttpClient &Client,
              const CallerWire &Wire, SilenceWatch &Silence, std::uint64_t Seed)
      : View(View), Routing(Routing), Client(Client), Wire(Wire),
        Silence(Silence), Draw(Seed), Gate(Draw()) {}

  /// @brief Calls a function when an endpoint's answer proves that it can serve
  /// nobody: with the endpoint, and the address of the member that it lacks
  /// if it names one.
  void onUnusable(
      std::function<void(const EndpointName &, const std::string &)> Callback) {
    ReportUnusable = std::move(Callback);
  }

  /// @brief Serves one request.
  /// @throws boost::system::system_error The caller is gone.
  [[nodiscard]] Awaitable<void> serve(Exchange &Call);

  /// @brief Sets how many entry hosts share what cold endpoints bear and the
  /// connections that endpoints take; zero for not known.
  void setEntryHosts(std::size_t Hosts) noexcept {
    Gate.share(Hosts);
    EntryHosts = Hosts > 0 ? Hosts : std::size_t(ColdGate::UnknownHosts);
  }
  /// @brief Whether a cold endpoint may get a request of this host now.
  [[nodiscard]] bool mayUseCold(const KnownEndpoint &Entry, TimePoint Now);

  /// @brief Own requests of a pool in the last window of the bound on retries.
  [[nodiscard]] double recentRequests(const std::string &Pool,
                                      TimePoint Now) const;

  /// @brief New requests are refused from now on.
  void stop() noexcept { Stopping = true; }

  /// @brief Requests whose lines the log did not take since the last call.
  [[nodiscard]] std::uint64_t takeDroppedTrails() {
    return Budget->takeDropped();
  }

  /// @brief How requests ended and how long they took.
  [[nodiscard]] const ProxyMetrics &metrics() const noexcept { return Metrics; }
  /// @brief What it has done.
  [[nodiscard]] const CallerProxyCounts &counts() const noexcept {
    return Counts;
  }

private:
  /// A request and what is known of it.
  struct RequestContext {
    CallerWork Caller;
    /// Keeps the route alive.
    RouteIndexPtr Config;
    const RouteSpec *Route = nullptr;
    TeamName Team;
    TimePoint ArrivedAt;
    TimePoint Deadline;
    Timeliness Freshness = Timeliness::Fresh;

    [[nodiscard]] bool isLate() const noexcept {
      return Freshness != Timeliness::Fresh;
    }
    std::string Pool;
    const ServiceProfile *Service = nullptr;
    /// Endpoints that may have run it.
    std::uint32_t Runs = 0;
    EventStreamBuffer Events;
    /// When the last event left for the caller.
    std::optional<TimePoint> LastEventAt;
    /// From its arrival to the first event, and the longest pause after it.
    Duration TimeToFirstEvent{};
    Duration LongestEventGap{};
    /// An endpoint's failure, to be passed on if nothing better comes.
    std::optional<HttpResponse> FallbackResponse;
    RequestTrail Trail;
    std::uint32_t Sends = 0;
    /// Its place among those that wait or run; set while it has one.
    Place *RouterPlace = nullptr;
    bool Ended = false;
  };

  [[nodiscard]] std::optional<HttpResponse> admit(const HttpRequest &Request,
                                                  RequestContext &Context);
  [[nodiscard]] std::optional<HttpResponse> choosePool(RequestContext &Context);
  /// Own requests that wait at the endpoints of a pool, and those that came
  /// lately.
  struct PoolBacklog {
    std::uint32_t Fresh = 0;
    std::uint32_t Late = 0;
    RecentCount Recent;

    /// @brief Estimates which part of all that waits there is fresh.
    [[nodiscard]] double freshFraction() const noexcept;
  };
  class BacklogGuard;

  [[nodiscard]] milliseconds retryAfter(const RequestContext &Context);
  [[nodiscard]] WorkItem makeWorkItem(const HttpRequest &Request,
                                      const RequestContext &Context,
                                      const PoolBacklog &Backlog) const;
  [[nodiscard]] ConnectionUse
  connectionUse(const RequestContext &Context) const;
  [[nodiscard]] static bool mayDemote(const RequestContext &Context,
                                      const Verdict &Final);
  static void markDelivered(const RequestContext &Context, bool MayMove,
                            AttemptResult &Result);
  static void logRetryEnd(RequestContext &Context, const RefusalBasis &Basis);
  [[nodiscard]] Awaitable<void> route(Exchange &Call, RequestContext &Context);
  [[nodiscard]] Awaitable<AttemptResult>
  attempt(Exchange &Call, RequestContext &Context, const EndpointSpec &Target);
  [[nodiscard]] Awaitable<AttemptResult> relayWhole(Exchange &Call,
                                                    RequestContext &Context,
                                                    HttpCall Answer,
                                                    TimePoint Start);
  [[nodiscard]] Awaitable<AttemptResult>
  relayStream(Exchange &Call, RequestContext &Context, HttpCall UpstreamCall,
              const EndpointSpec &Target, TimePoint Start,
              BacklogGuard &QueuedGuard);
  [[nodiscard]] Awaitable<void> finish(Exchange &Call, RequestContext &Context,
                                       Verdict Final);
  [[nodiscard]] HttpResponse refusal(const RequestContext &Context,
                                     const Verdict &Final);
  class TrailGuard;
  void recordEnd(RequestContext &Context, std::string_view Outcome,
                 unsigned Status, const Verdict &Final);
  void measureEnd(const RequestContext &Context, std::string_view Outcome,
                  std::string_view ReasonText);
  void measureEvent(RequestContext &Context);
  void logFailure(RequestContext &Context, const EndpointSpec &Target,
                  const AttemptResult &Result);
  [[nodiscard]] bool admitCold(const RequestContext &Context,
                               const EndpointSpec &Target, TimePoint Now);
  void recordLoad(const EndpointSpec &Endpoint,
                  const AnswerMarks &AnswerHeaders);

  const FleetView &View;
  Router &Routing;
  HttpClient &Client;
  const CallerWire &Wire;
  SilenceWatch &Silence;
  Random Draw;
  ColdGate Gate;
  CallerProxyCounts Counts;
  ProxyMetrics Metrics;
  /// Shared with the coroutines, which may end after this object.
  std::shared_ptr<TrailBudget> Budget =
      std::make_shared<TrailBudget>(TrailLimits{});
  /// Shared with the coroutines, which may end after this object.
  std::map<std::string, std::shared_ptr<PoolBacklog>> Backlogs;
  std::size_t EntryHosts = std::size_t(ColdGate::UnknownHosts);
  std::function<void(const EndpointName &, const std::string &)> ReportUnusable;
  bool Stopping = false;
};

} // namespace coltsfoottrail

#endif
