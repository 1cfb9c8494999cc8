/// @file
/// A caller's request, read and checked.
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

/// @brief A request that is refused before it is queued.
class RequestRefused : public Error {
public:
  /// @brief Refuses.
  /// @param Final The verdict; always NotRun.
  /// @param Detail For people.
  RequestRefused(Verdict Final, const std::string &Detail)
      : Error(Detail), RefusalVerdict(Final) {}

  /// @brief The verdict.
  [[nodiscard]] const Verdict &verdict() const noexcept {
    return RefusalVerdict;
  }

private:
  Verdict RefusalVerdict;
};

/// @brief Limits on what a caller may ask for.
struct CallerLimits {
  milliseconds DefaultDeadline{30'000};
  milliseconds MaxDeadline{600'000};
};

/// @brief What a caller asks for.
struct CallerRequest {
  TeamSpec Team;
  /// Name of the pool that can answer.
  std::string PoolName;
  /// Its deadline is when the request must have been sent.
  WorkItem Item;
  /// When the answer must be there.
  TimePoint AnswerDeadline;
  /// Empty when none was given.
  std::string IdempotencyKey;
  /// Whether the answer comes as server-sent events.
  bool IsStreaming = false;
  /// Whether it goes to a model, whose work may be repeated and resumed.
  bool IsModelCall = false;
  /// The span that this host serves it under.
  TraceContext Trace;
  /// What the endpoint is sent.
  HttpRequest Forwarded;
};

/// @brief Finds the caller's team by its credential.
/// @param Asked Head of the request.
/// @param Routes The routes in force.
/// @return The team.
/// @throws RequestRefused There is no credential, or nobody has it.
/// Thread-safe.
[[nodiscard]] const TeamSpec &authenticate(const HttpRequest &Asked,
                                           const RouteTable &Routes);

/// @brief Reads a request whole.
/// @param Asked The request.
/// @param Routes The routes in force.
/// @param Limits Limits.
/// @param Now The time that the deadline counts from.
/// @return What is asked for.
/// @throws RequestRefused It cannot be served as it stands; says why.
/// Thread-safe.
[[nodiscard]] CallerRequest readCallerRequest(const HttpRequest &Asked,
                                              const RouteTable &Routes,
                                              const CallerLimits &Limits,
                                              TimePoint Now);

} // namespace coltsfoottrail

#endif
