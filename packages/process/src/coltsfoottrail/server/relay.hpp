/// @file
/// Serves callers: from the request's head to the last byte of its answer.
#ifndef COLTSFOOTTRAIL_SERVER_RELAY_HPP
#define COLTSFOOTTRAIL_SERVER_RELAY_HPP

#include "coltsfoottrail/http/client.hpp"
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

/// Counts of what callers got.
struct RelayCounters {
  std::atomic<std::uint64_t> Answered{0};
  std::atomic<std::uint64_t> RefusedNotRun{0};
  std::atomic<std::uint64_t> RefusedMayHaveRun{0};
  std::atomic<std::uint64_t> Cut{0};
  std::atomic<std::uint64_t> CallersGone{0};
  std::atomic<std::uint64_t> Attempts{0};
  std::atomic<std::uint64_t> Resumed{0};
};

/// @brief What is asked at the act of sending, after the decision: a host that
/// was paused in between must find out. Called on callers' threads.
struct AdmissionHooks {
  /// Leave to send one request; Ended follows each leave that was given.
  std::function<bool(const EndpointSpec &)> Admit;
  std::function<void(const EndpointSpec &, const AttemptResult &)>
      OnAttemptEnded;
};

/// @brief Relays callers' requests to endpoints. Thread-safe.
class Relay {
public:
  /// @brief Makes a relay without routes. All arguments must outlive it.
  /// @param Threads The threads that carry callers' connections.
  /// @param Routing Where endpoints are chosen.
  /// @param Claims Where keys are claimed.
  /// @param Limits Limits of callers.
  /// @param Gate What is asked at the act of sending.
  /// @param Traces Where spans are made.
  Relay(IoPool &Threads, Router &Routing, ClaimDriver &Claims,
        CallerLimits Limits, AdmissionHooks Gate, SpanFactory &Traces);

  /// @brief Puts routes in force for reading requests.
  void setRoutes(RouteTablePtr Wanted);
  /// @brief From now on new requests are refused as "stopping".
  void stopAccepting() noexcept { Stopping = true; }
  /// @brief Closes the connections to endpoints. Precondition: the threads have
  /// stopped.
  void closeClients() { Clients.clear(); }

  /// @brief Looks at a request's head before its body is read.
  /// @param Head The head.
  /// @return A refusal, or nothing.
  [[nodiscard]] std::optional<HttpResponse> check(const HttpRequest &Head);

  /// @brief Serves a request.
  /// @param Call The exchange with the caller.
  [[nodiscard]] Awaitable<void> serve(Exchange &Call);

  /// @brief What callers got.
  [[nodiscard]] const RelayCounters &counters() const noexcept {
    return Counts;
  }

private:
  struct StreamProgress;
  /// Most lines of one kind in a second.
  static constexpr std::uint32_t MaxLogLinesPerSecond = 10;

  [[nodiscard]] RouteTablePtr routes() const;
  [[nodiscard]] Awaitable<void> refuse(Exchange &Call, Verdict Final);
  [[nodiscard]] Awaitable<void> refuseWith(Exchange &Call, Verdict Final,
                                           std::string Detail);
  [[nodiscard]] Awaitable<DeliverDecision>
  claimOrJoin(const CallerRequest &Asked);
  [[nodiscard]] Awaitable<void> serveClaimed(Exchange &Call,
                                             CallerRequest Asked);
  [[nodiscard]] Awaitable<void> serveRouted(Exchange &Call, CallerRequest Asked,
                                            ClaimGuard *Guard);
  [[nodiscard]] Awaitable<AttemptResult>
  admittedAttempt(Exchange &Call, const CallerRequest &Asked,
                  const EndpointSpec &To, StreamProgress &Progress,
                  ClaimGuard *Guard);
  [[nodiscard]] Awaitable<AttemptResult>
  attempt(Exchange &Call, const CallerRequest &Asked, const EndpointSpec &To,
          StreamProgress &Progress, ClaimGuard *Guard);
  [[nodiscard]] Awaitable<AttemptResult>
  relayWhole(Exchange &Call, const CallerRequest &Asked, HttpCall Answer,
             TimePoint Start, ClaimGuard *Guard);
  [[nodiscard]] Awaitable<AttemptResult>
  relayStream(Exchange &Call, const CallerRequest &Asked, HttpCall Answer,
              TimePoint Start, StreamProgress &Progress);
  [[nodiscard]] Awaitable<void> serveOutcomeQuery(Exchange &Call);
  void logKeyInUse(const CallerRequest &Asked, const ClaimInProgress &Held);
  [[nodiscard]] HttpClient &client(std::size_t Thread);

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
  EventSampler Sampler{MaxLogLinesPerSecond, seconds(1)};
};

} // namespace coltsfoottrail

#endif
