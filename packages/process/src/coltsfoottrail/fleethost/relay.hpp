/// @file
/// Carries callers' requests to endpoints and the answers back.
#ifndef COLTSFOOTTRAIL_FLEETHOST_RELAY_HPP
#define COLTSFOOTTRAIL_FLEETHOST_RELAY_HPP

#include "coltsfoottrail/admission/coldgate.hpp"
#include "coltsfoottrail/boundary/wire.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/dispatch/terms.hpp"
#include "coltsfoottrail/fleethost/eventtail.hpp"
#include "coltsfoottrail/fleethost/relaymetrics.hpp"
#include "coltsfoottrail/fleethost/view.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/logging/requestlog.hpp"
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
struct FleetRelayCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Answered = 0;
  std::uint64_t RefusedNotRun = 0;
  std::uint64_t FailedMayHaveRun = 0;
  std::uint64_t Sends = 0;
  std::uint64_t Resumed = 0;
  std::uint64_t CutStreams = 0;
};

/// @brief Serves callers. Belongs to one thread.
class FleetRelay {
public:
  /// @brief Makes a relay; what it is given must outlive it.
  /// @param Believed What this host believes.
  /// @param Decides Where requests are queued and placed.
  /// @param Out Connections to endpoints.
  /// @param Fields Reads and writes header fields.
  /// @param Heard Is told which endpoints' streams move.
  /// @param Seed Starts the choice among a route's services.
  FleetRelay(const FleetView &Believed, Router &Decides, HttpClient &Out,
             const CallerWire &Fields, SilenceWatch &Heard, std::uint64_t Seed)
      : View(Believed), Routing(Decides), Client(Out), Wire(Fields),
        Silence(Heard), Draw(Seed), Gate(Draw()) {}

  /// @brief Calls a function when an endpoint's answer proves that it can serve
  /// nobody: with the endpoint, and the address of the member that it lacks
  /// if it names one.
  void onUnusable(
      std::function<void(const EndpointName &, const std::string &)> Call) {
    ReportUnusable = std::move(Call);
  }

  /// @brief Serves one request.
  /// @throws boost::system::system_error The caller is gone.
  [[nodiscard]] Awaitable<void> serve(Exchange &Call);

  /// @brief Sets how many entry hosts share what cold endpoints bear and the
  /// connections that endpoints take; zero for not known.
  void shareAmong(std::size_t Hosts) noexcept {
    Gate.share(Hosts);
    EntryHosts = Hosts > 0 ? Hosts : std::size_t(ColdGate::UnknownHosts);
  }
  /// @brief Whether a cold endpoint may get a request of this host now.
  [[nodiscard]] bool mayWarm(const KnownEndpoint &Known, TimePoint Now);

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
  [[nodiscard]] const RelayMetrics &measured() const noexcept {
    return Measured;
  }
  /// @brief What it has done.
  [[nodiscard]] const FleetRelayCounts &counts() const noexcept {
    return Counts;
  }

private:
  /// A request and what is known of it.
  struct Work {
    CallerWork Said;
    /// Keeps the route alive.
    RouteIndexPtr Config;
    const RouteSpec *Route = nullptr;
    TeamName Team;
    TimePoint ArrivedAt;
    TimePoint AnswerBy;
    Timeliness How = Timeliness::Fresh;

    [[nodiscard]] bool late() const noexcept {
      return How != Timeliness::Fresh;
    }
    std::string Pool;
    const ServiceProfile *Service = nullptr;
    /// Endpoints that may have run it.
    std::uint32_t Runs = 0;
    EventTail Events;
    /// When the last event left for the caller.
    std::optional<TimePoint> EventAt;
    /// From its arrival to the first event, and the longest pause after it.
    Duration FirstEvent{};
    Duration LongestPause{};
    /// An endpoint's failure, to be passed on if nothing better comes.
    std::optional<HttpResponse> Kept;
    RequestLog Trail;
    std::uint32_t Sends = 0;
    /// Its place among those that wait or run; set while it has one.
    Place *Mine = nullptr;
    bool Ended = false;
  };

  [[nodiscard]] std::optional<HttpResponse> admit(const HttpRequest &Request,
                                                  Work &Asked);
  [[nodiscard]] std::optional<HttpResponse> choosePool(Work &Asked);
  /// Own requests that wait at the endpoints of a pool, and those that came
  /// lately.
  struct PoolMix {
    std::uint32_t Fresh = 0;
    std::uint32_t Late = 0;
    RecentCount Recent;

    /// @brief Estimates which part of all that waits there is fresh.
    [[nodiscard]] double freshPart() const noexcept;
  };
  class MixMark;

  [[nodiscard]] milliseconds comeBackAfter(const Work &Asked);
  [[nodiscard]] WorkItem itemOf(const HttpRequest &Request, const Work &Asked,
                                const PoolMix &Mix) const;
  [[nodiscard]] ConnectionUse connectionUse(const Work &Asked) const;
  [[nodiscard]] static bool mayDemote(const Work &Asked, const Verdict &Final);
  static void markDelivered(const Work &Asked, bool MayMove,
                            AttemptResult &Result);
  static void recordRefusal(Work &Asked, const RefusalBasis &Basis);
  [[nodiscard]] Awaitable<void> route(Exchange &Call, Work &Asked);
  [[nodiscard]] Awaitable<AttemptResult> attempt(Exchange &Call, Work &Asked,
                                                 const EndpointSpec &To);
  [[nodiscard]] Awaitable<AttemptResult>
  relayWhole(Exchange &Call, Work &Asked, HttpCall Answer, TimePoint Start);
  [[nodiscard]] Awaitable<AttemptResult>
  relayStream(Exchange &Call, Work &Asked, HttpCall Answer,
              const EndpointSpec &To, TimePoint Start, MixMark &Waits);
  [[nodiscard]] Awaitable<void> finish(Exchange &Call, Work &Asked,
                                       Verdict Final);
  [[nodiscard]] HttpResponse refusal(const Work &Asked, const Verdict &Final);
  class TrailMark;
  void ended(Work &Asked, std::string_view Outcome, unsigned Status,
             const Verdict &Final);
  void measureEnd(const Work &Asked, std::string_view Outcome,
                  std::string_view Why);
  void measureEvent(Work &Asked);
  void noteFailure(Work &Asked, const EndpointSpec &To,
                   const AttemptResult &Result);
  [[nodiscard]] bool bears(const Work &Asked, const EndpointSpec &To,
                           TimePoint Now);
  void observe(const EndpointSpec &From, const AnswerMarks &Marks);

  const FleetView &View;
  Router &Routing;
  HttpClient &Client;
  const CallerWire &Wire;
  SilenceWatch &Silence;
  Random Draw;
  ColdGate Gate;
  FleetRelayCounts Counts;
  RelayMetrics Measured;
  /// Shared with the coroutines, which may end after this object.
  std::shared_ptr<RequestLogBudget> Budget =
      std::make_shared<RequestLogBudget>(RequestLogLimits{});
  /// Shared with the coroutines, which may end after this object.
  std::map<std::string, std::shared_ptr<PoolMix>> Mixes;
  std::size_t EntryHosts = std::size_t(ColdGate::UnknownHosts);
  std::function<void(const EndpointName &, const std::string &)> ReportUnusable;
  bool Stopping = false;
};

} // namespace coltsfoottrail

#endif
