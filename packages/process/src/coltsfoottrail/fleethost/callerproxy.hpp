/// @file
/// Forwards callers' requests to endpoints and their responses back.
#ifndef COLTSFOOTTRAIL_FLEETHOST_CALLERPROXY_HPP
#define COLTSFOOTTRAIL_FLEETHOST_CALLERPROXY_HPP

#include "coltsfoottrail/admission/coldratelimiter.hpp"
#include "coltsfoottrail/boundary/wire.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/demand/meter.hpp"
#include "coltsfoottrail/dispatch/terms.hpp"
#include "coltsfoottrail/fleethost/eventstreambuffer.hpp"
#include "coltsfoottrail/fleethost/placementmetrics.hpp"
#include "coltsfoottrail/fleethost/proxymetrics.hpp"
#include "coltsfoottrail/fleethost/view.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/http/responsebuffer.hpp"
#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/logging/requestlog.hpp"
#include "coltsfoottrail/ranks/order.hpp"
#include "coltsfoottrail/reach/tracker.hpp"
#include "coltsfoottrail/retries/retry.hpp"
#include "coltsfoottrail/retries/share.hpp"
#include "coltsfoottrail/server/router.hpp"
#include "coltsfoottrail/silence/silencewatch.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Counters of a proxy since its start.
struct CallerProxyCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t RefusedNotRun = 0;
  std::uint64_t FailedMayHaveRun = 0;
  std::uint64_t Sends = 0;
  std::uint64_t Resumed = 0;
  /// Streams that another endpoint has continued in place of a silent one, and
  /// those that it has not.
  std::uint64_t Moves = 0;
  std::uint64_t AbandonedMoves = 0;
  std::uint64_t CutStreams = 0;
  /// Streams cut although their callers still had time, by what ended their
  /// retries.
  std::map<RetryStop, std::uint64_t> CutInTime;
};

/// @brief Serves callers: admits a request, chooses a pool and an endpoint, and
/// forwards the response, retrying or resuming at another endpoint where the
/// route allows it. Belongs to one thread.
class CallerProxy {
public:
  /// @brief Creates a proxy; all references must outlive it.
  /// @param View What this host knows of the fleet.
  /// @param Reach Which endpoints this host reaches.
  /// @param Routing Queues requests and places them on endpoints.
  /// @param Client Connections to endpoints.
  /// @param Wire Reads and writes header fields.
  /// @param Silence Is notified of the progress of endpoints' streams.
  /// @param Seed Seed of the random choices of this proxy.
  CallerProxy(const FleetView &View, const ReachabilityTracker &Reach,
              Router &Routing, HttpClient &Client, const HeaderCodec &Wire,
              StallDetector &Silence, std::uint64_t Seed)
      : View(View), Reach(Reach), Routing(Routing), Client(Client), Wire(Wire),
        Silence(Silence), Draw(Seed), Gate(Draw()) {}

  /// @brief Sets a function to call when an endpoint's response proves that it
  /// can serve no request at present. It receives the endpoint and the address
  /// of the engine that the endpoint reports at fault, empty if it names none.
  void onUnusable(
      std::function<void(const EndpointName &, const std::string &)> Callback) {
    ReportUnusable = std::move(Callback);
  }

  /// @brief Sets a function to call with an endpoint whose response names a
  /// rate limit that cannot be read.
  void onInvalidRateLimit(std::function<void(const EndpointName &)> Callback) {
    ReportInvalidRateLimit = std::move(Callback);
  }

  /// @brief Sets a function to call with an endpoint that asks for a back-off
  /// that cannot be read.
  void onInvalidBackoff(std::function<void(const EndpointName &)> Callback) {
    ReportInvalidBackoff = std::move(Callback);
  }

  /// @brief Records the demand of requests from now on.
  /// @param Meter Must outlive this object.
  void recordDemand(DemandMeter &Meter) noexcept { Demand = &Meter; }

  /// @brief Serves one request.
  /// @throws boost::system::system_error The caller has disconnected.
  [[nodiscard]] Awaitable<void> serve(Exchange &Call);

  /// @brief Creates the response for a request that the server refuses before
  /// it is served.
  [[nodiscard]] HttpResponse refuse(const HttpRequest &Head, unsigned Status,
                                    std::string_view Reason);

  /// @brief Sets the number of entry hosts among which the request rates of
  /// cold endpoints and the connections to endpoints are divided; zero if
  /// unknown.
  void setEntryHosts(std::size_t Hosts) noexcept {
    Gate.setHostCount(Hosts);
    EntryHosts = Hosts > 0 ? Hosts : DefaultEntryHosts;
  }
  /// @brief Whether this host may send a request to a cold endpoint now.
  [[nodiscard]] bool mayUseCold(const KnownEndpoint &Entry, TimePoint Now);

  /// @brief This host's requests for a pool within the last window of the retry
  /// limit.
  [[nodiscard]] double recentRequests(const std::string &Pool,
                                      TimePoint Now) const;

  /// @brief Makes the proxy refuse new requests.
  void stop() noexcept { Stopping = true; }

  /// @brief Returns for how many requests the log lines were dropped since the
  /// last call.
  [[nodiscard]] std::uint64_t takeDroppedTrails() {
    return Budget->takeDropped();
  }

  /// @brief Latencies and outcomes of requests.
  [[nodiscard]] const ProxyMetrics &metrics() const noexcept { return Metrics; }
  /// @brief Where requests are sent, and what crosses data centres.
  [[nodiscard]] PlacementMetrics &placement() noexcept { return Placement; }
  /// @copydoc placement
  [[nodiscard]] const PlacementMetrics &placement() const noexcept {
    return Placement;
  }
  /// @brief Counters since the start.
  [[nodiscard]] const CallerProxyCounts &counts() const noexcept {
    return Counts;
  }

private:
  /// A stream that has been sent to another endpoint and has no event from it.
  struct PendingMove {
    std::shared_ptr<const EndpointSpec> To;
    /// Gives up the attempt at the silent endpoint.
    std::function<void()> LeaveFirst;
  };
  /// State of one request.
  struct RequestContext {
    RequestMetadata Caller;
    /// Keeps the route alive.
    RouteIndexPtr Config;
    const RouteSpec *Route = nullptr;
    TeamName Team;
    /// See rankOf().
    std::uint32_t Rank = 0;
    /// The ranks of its service.
    RankOrder Ranks;
    TimePoint ArrivedAt;
    TimePoint Deadline;
    Timeliness Freshness = Timeliness::Fresh;

    [[nodiscard]] bool isLate() const noexcept {
      return Freshness != Timeliness::Fresh;
    }
    std::string Pool;
    /// Hash of the pool's name.
    std::uint64_t PoolHash = 0;
    const ServiceProfile *Service = nullptr;
    /// The same for each attempt of a caller at the same request.
    std::uint64_t Fingerprint = 0;
    /// Number of endpoints that may have run the request.
    std::uint32_t Runs = 0;
    EventStreamBuffer Events;
    /// When the last event was sent to the caller.
    std::optional<TimePoint> LastEventAt;
    /// Time from arrival to the first event, and the longest time between two
    /// events.
    Duration TimeToFirstEvent{};
    Duration LongestEventGap{};
    /// Error response of an endpoint, forwarded to the caller if no other
    /// attempt succeeds.
    std::optional<HttpResponse> FallbackResponse;
    RequestLog Trail;
    std::uint32_t Sends = 0;
    /// Why the endpoint of the present attempt is in another data centre.
    AwayReason Away = AwayReason::None;
    /// The request's place in the router, queued or running; null while it has
    /// none.
    DispatchHandle *RouterPlace = nullptr;
    /// Endpoint of the attempt in progress.
    std::shared_ptr<const EndpointSpec> Endpoint;
    /// The endpoint that is to continue the stream, while that is open.
    std::optional<PendingMove> Move;
    bool Ended = false;
  };

  [[nodiscard]] std::optional<HttpResponse> admit(const HttpRequest &Request,
                                                  RequestContext &Context);
  [[nodiscard]] std::optional<HttpResponse> choosePool(RequestContext &Context);
  [[nodiscard]] std::optional<HttpResponse>
  refuseUnlessReachable(const RequestContext &Context);
  /// This host's requests that wait at the endpoints of a pool, and its recent
  /// request count.
  struct PoolBacklog {
    std::uint32_t Fresh = 0;
    std::uint32_t Late = 0;
    RecentCount Recent;

    /// @brief Estimates which fraction of all requests waiting there is fresh.
    [[nodiscard]] double freshFraction() const noexcept;
  };
  class BacklogGuard;
  class MovePolicy;

  [[nodiscard]] milliseconds retryAfter(const RequestContext &Context,
                                        const Verdict &Final);
  [[nodiscard]] WorkItem makeWorkItem(const HttpRequest &Request,
                                      const RequestContext &Context,
                                      const PoolBacklog &Backlog) const;
  [[nodiscard]] ConnectionUse connectionUse(const RequestContext &Context,
                                            const CallPolicy &Policy) const;
  [[nodiscard]] static AttemptProgress
  attemptProgress(const RequestContext &Context);
  [[nodiscard]] static bool mayDemote(const RequestContext &Context,
                                      const Verdict &Final);
  static void markDelivered(const RequestContext &Context,
                            AttemptResult &Result);
  void logRetryEnd(RequestContext &Context, const RefusalDetails &Basis);
  [[nodiscard]] Awaitable<void> route(Exchange &Call, RequestContext &Context);
  [[nodiscard]] Awaitable<AttemptResult>
  attempt(Exchange &Call, RequestContext &Context, const EndpointSpec &Target);
  [[nodiscard]] Awaitable<AttemptResult>
  relayWhole(Exchange &Call, RequestContext &Context, HttpCall Answer,
             const EndpointSpec &Target, TimePoint Start);
  static void logUnbounded(RequestContext &Context, const EndpointSpec &Target,
                           std::size_t Bytes, std::string_view Why);
  [[nodiscard]] Awaitable<AttemptResult>
  relayStream(Exchange &Call, RequestContext &Context, HttpCall UpstreamCall,
              const EndpointSpec &Target, TimePoint Start,
              BacklogGuard &QueuedGuard, MovePolicy &Policy);
  [[nodiscard]] Awaitable<std::optional<AttemptResult>>
  moveStream(Exchange &Call, RequestContext &Context,
             std::function<void()> LeaveFirst);
  void completeMove(RequestContext &Context);
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
  void measureOffered(const RequestContext &Context);
  void measureAdmitted(const RequestContext &Context, Duration Wait);
  void measureRefused(const RequestContext &Context);
  void measureDemoted(const RequestContext &Context);
  void recordDistant(const RequestContext &Context, DistantTraffic Purpose,
                     std::size_t Bytes);
  void logFailure(RequestContext &Context, const EndpointSpec &Target,
                  const AttemptResult &Result);
  [[nodiscard]] bool admitCold(const RequestContext &Context,
                               const EndpointSpec &Target, TimePoint Now);
  void recordLoad(const EndpointSpec &Endpoint,
                  const ResponseMetadata &AnswerHeaders);
  void recordRateLimit(const EndpointSpec &Endpoint,
                       const ResponseMetadata &AnswerHeaders, TimePoint SentAt);
  void recordAvailability(const EndpointSpec &Endpoint,
                          const ResponseMetadata &AnswerHeaders);
  void logUnwanted(RequestContext &Context, const EndpointSpec &Target,
                   TimePoint Now) const;
  void takeBackSend(RequestContext &Context, const EndpointSpec &Target);
  static void logWithheld(RequestContext &Context, const EndpointSpec &Target);

  const FleetView &View;
  const ReachabilityTracker &Reach;
  Router &Routing;
  HttpClient &Client;
  const HeaderCodec &Wire;
  StallDetector &Silence;
  Random Draw;
  ColdRateLimiter Gate;
  CallerProxyCounts Counts;
  ResponseMemory Memory;
  ProxyMetrics Metrics;
  /// Null if demand is not recorded.
  DemandMeter *Demand = nullptr;
  PlacementMetrics Placement;
  /// Shared with the coroutines, which may end after this object.
  std::shared_ptr<RequestLogBudget> Budget =
      std::make_shared<RequestLogBudget>(RequestLogLimits{});
  /// Shared with the coroutines, which may end after this object.
  std::map<std::string, std::shared_ptr<PoolBacklog>> Backlogs;
  /// Number of hosts among which idle connections are divided while it is
  /// unknown.
  static constexpr std::size_t DefaultEntryHosts = 64;
  std::size_t EntryHosts = DefaultEntryHosts;
  std::function<void(const EndpointName &, const std::string &)> ReportUnusable;
  std::function<void(const EndpointName &)> ReportInvalidRateLimit;
  std::function<void(const EndpointName &)> ReportInvalidBackoff;
  bool Stopping = false;
};

} // namespace coltsfoottrail

#endif
