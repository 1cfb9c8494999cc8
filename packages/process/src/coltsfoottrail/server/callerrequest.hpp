/// @file
/// Parsing and validation of callers' requests.
#ifndef COLTSFOOTTRAIL_SERVER_CALLERREQUEST_HPP
#define COLTSFOOTTRAIL_SERVER_CALLERREQUEST_HPP

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/http/message.hpp"
#include "coltsfoottrail/route/table.hpp"
#include "coltsfoottrail/server/fwd.hpp"
#include "coltsfoottrail/telemetry/trace.hpp"

#include <string>

namespace coltsfoottrail {

/// @brief Thrown for a request that is refused before it is queued.
class RequestRefused : public Error {
public:
  /// @brief Creates the refusal.
  /// @param Final The verdict; always NotRun.
  /// @param Detail Explanation for human readers.
  RequestRefused(Verdict Final, const std::string &Detail)
      : Error(Detail), RefusalVerdict(Final) {}

  /// @brief The verdict to answer with.
  [[nodiscard]] const Verdict &verdict() const noexcept {
    return RefusalVerdict;
  }

private:
  Verdict RefusalVerdict;
};

/// @brief Limits on the deadlines that callers may set.
struct CallerLimits {
  milliseconds DefaultDeadline{30'000};
  milliseconds MaxDeadline{600'000};
};

/// @brief A parsed request of a caller.
struct CallerRequest {
  TeamSpec Team;
  /// Name of the pool of endpoints that serves the request.
  std::string PoolName;
  /// The request as the dispatcher sees it; its deadline is the latest time to
  /// send the request to an endpoint.
  WorkItem Item;
  /// Time by which the response must be complete.
  TimePoint AnswerDeadline;
  /// Idempotency key; empty if the caller gave none.
  std::string IdempotencyKey;
  /// Whether the response is a stream of server-sent events.
  bool IsStreaming = false;
  /// Whether the request goes to a model; such requests may be repeated and
  /// resumed.
  bool IsModelCall = false;
  /// Trace context of the span in which this host serves the request.
  TraceContext Trace;
  /// The request to send to the endpoint.
  HttpRequest Forwarded;
};

/// @brief Looks up the caller's team by the credential of the request.
/// @param Request Head of the request.
/// @param Routes The current routes.
/// @return The team.
/// @throws RequestRefused The request has no credential, or no team has it.
/// Thread-safe.
[[nodiscard]] const TeamSpec &authenticate(const HttpRequest &Request,
                                           const RouteTable &Routes);

/// @brief Parses and validates a complete request.
/// @param Request The request.
/// @param Routes The current routes.
/// @param Limits Limits on deadlines.
/// @param Now The time from which the deadline counts.
/// @return The parsed request.
/// @throws RequestRefused The request is invalid; the exception states why.
/// Thread-safe.
[[nodiscard]] CallerRequest readCallerRequest(const HttpRequest &Request,
                                              const RouteTable &Routes,
                                              const CallerLimits &Limits,
                                              TimePoint Now);

} // namespace coltsfoottrail

#endif
