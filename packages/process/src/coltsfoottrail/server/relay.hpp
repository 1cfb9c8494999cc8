/// @file
/// Serves callers' requests from the request head to the last byte of the
/// response.
#ifndef COLTSFOOTTRAIL_SERVER_RELAY_HPP
#define COLTSFOOTTRAIL_SERVER_RELAY_HPP

#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/http/responsebuffer.hpp"
#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/server/callerrequest.hpp"
#include "coltsfoottrail/server/claimdriver.hpp"
#include "coltsfoottrail/server/router.hpp"
#include "coltsfoottrail/server/spans.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace coltsfoottrail {

/// Counts of responses to callers by outcome.
struct RelayCounters {
  std::atomic<std::uint64_t> Answered{0};
  std::atomic<std::uint64_t> RefusedNotRun{0};
  std::atomic<std::uint64_t> RefusedMayHaveRun{0};
  std::atomic<std::uint64_t> Cut{0};
  std::atomic<std::uint64_t> CallersGone{0};
  std::atomic<std::uint64_t> Attempts{0};
  std::atomic<std::uint64_t> Resumed{0};
};

/// @brief Checks made immediately before a request is sent, after the
/// dispatcher's decision, so that a host that was paused in between notices
/// that the decision is stale. Called on callers' threads.
struct AdmissionHooks {
  /// Whether one request may be sent to the endpoint; after true,
  /// OnAttemptEnded is called once.
  std::function<bool(const EndpointSpec &)> Admit;
  std::function<void(const EndpointSpec &, const AttemptResult &)>
      OnAttemptEnded;
};

/// @brief Relays callers' requests to endpoints. Thread-safe.
class Relay {
public:
  /// @brief Creates a relay without routes. Arguments passed by reference must
  /// outlive it.
  /// @param Threads The threads that serve callers' connections.
  /// @param Routing Chooses endpoints.
  /// @param Claims Claims idempotency keys.
  /// @param Limits Limits on callers' deadlines.
  /// @param Hooks Checks made immediately before sending.
  /// @param Traces Creates spans.
  Relay(IoPool &Threads, Router &Routing, ClaimDriver &Claims,
        CallerLimits Limits, AdmissionHooks Hooks, SpanFactory &Traces);

  /// @brief Sets the routes used to parse requests.
  void setRoutes(RouteTablePtr Wanted);
  /// @brief Refuses new requests as "stopping" from now on.
  void stopAccepting() noexcept { Stopping = true; }
  /// @brief Aborts all calls to endpoints; their requests get their last
  /// answer.
  void abortCalls();
  /// @brief Closes the connections to endpoints. Precondition: the threads have
  /// stopped.
  void closeClients() { Clients.clear(); }

  /// @brief Checks a request's head before its body is read.
  /// @param Head The head.
  /// @return A refusal, or empty if the request may proceed.
  [[nodiscard]] std::optional<HttpResponse> check(const HttpRequest &Head);

  /// @brief Serves a request.
  /// @param Call The exchange with the caller.
  [[nodiscard]] Awaitable<void> serve(Exchange &Call);

  /// @brief Counts of responses by outcome.
  [[nodiscard]] const RelayCounters &counters() const noexcept {
    return Counts;
  }

private:
  struct StreamProgress;
  /// Log lines above this rate per event are dropped and counted.
  static constexpr std::uint32_t MaxLogLinesPerSecond = 10;

  [[nodiscard]] RouteTablePtr routes() const;
  [[nodiscard]] Awaitable<void> refuse(Exchange &Call, Verdict Final);
  [[nodiscard]] Awaitable<void> refuseWith(Exchange &Call, Verdict Final,
                                           std::string Detail);
  [[nodiscard]] Awaitable<DeliverDecision>
  claimOrJoin(const CallerRequest &Request);
  [[nodiscard]] Awaitable<void> serveClaimed(Exchange &Call,
                                             CallerRequest Request);
  [[nodiscard]] Awaitable<void>
  serveRouted(Exchange &Call, CallerRequest Request, ClaimGuard *Guard);
  [[nodiscard]] Awaitable<AttemptResult>
  admittedAttempt(Exchange &Call, const CallerRequest &Request,
                  const EndpointSpec &To, StreamProgress &Progress,
                  ClaimGuard *Guard);
  [[nodiscard]] Awaitable<AttemptResult>
  attempt(Exchange &Call, const CallerRequest &Request, const EndpointSpec &To,
          StreamProgress &Progress, ClaimGuard *Guard);
  [[nodiscard]] Awaitable<AttemptResult>
  relayWhole(Exchange &Call, const CallerRequest &Request,
             const EndpointSpec &To, HttpCall Answer, TimePoint Start,
             ClaimGuard *Guard);
  void logUnbounded(const EndpointSpec &From, std::size_t Bytes,
                    std::string_view Why);
  [[nodiscard]] Awaitable<AttemptResult>
  relayStream(Exchange &Call, const CallerRequest &Request,
              const EndpointSpec &To, HttpCall Answer, TimePoint Start,
              StreamProgress &Progress);
  [[nodiscard]] Awaitable<void> serveOutcomeQuery(Exchange &Call);
  void logKeyInUse(const CallerRequest &Request, const ClaimInProgress &Held);
  void recordAvailability(const EndpointSpec &From, const HttpResponse &Head);
  void recordRateLimit(const EndpointSpec &From, const HttpResponse &Head,
                       TimePoint SentAt);
  [[nodiscard]] HttpClient &client(std::size_t Thread);

  IoPool &Threads;
  Router &Routing;
  ClaimDriver &Claims;
  CallerLimits Limits;
  AdmissionHooks Hooks;
  SpanFactory &SpanSource;
  std::vector<std::unique_ptr<HttpClient>> Clients;
  mutable std::mutex Lock;
  RouteTablePtr Routes;
  std::atomic<bool> Stopping{false};
  RelayCounters Counts;
  ResponseMemory Memory;
  EventSampler Sampler{MaxLogLinesPerSecond, seconds(1)};
};

} // namespace coltsfoottrail

#endif
