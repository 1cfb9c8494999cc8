/// @file
/// The interface that operators' tools talk to; docs/OPERATIONS.md explains it.
#ifndef COLTSFOOTTRAIL_SERVER_OPERATORAPI_HPP
#define COLTSFOOTTRAIL_SERVER_OPERATORAPI_HPP

#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/server/agreedstream.hpp"

#include <functional>
#include <string>

namespace coltsfoottrail {

/// @brief Takes intents and confirmations and tells how things stand.
/// Thread-safe.
class OperatorApi {
public:
  /// Makes the text that /metrics answers.
  using MetricsText = std::function<std::string()>;

  /// @brief Makes the interface. The stream must outlive it.
  /// @param Agreed Where plans are proposed and confirmed.
  /// @param CredentialSha256 SHA-256 of the operators' credential, in
  /// hexadecimal digits.
  /// @param Metrics Makes the answer to /metrics.
  OperatorApi(AgreedStream &Agreed, std::string CredentialSha256,
              MetricsText Metrics);

  /// @brief Refuses a head without the operators' credential.
  [[nodiscard]] std::optional<HttpResponse>
  check(const HttpRequest &Head) const;

  /// @brief Serves a request.
  [[nodiscard]] Awaitable<void> serve(Exchange &Call);

private:
  [[nodiscard]] Awaitable<HttpResponse> propose(Exchange &Call);
  [[nodiscard]] Awaitable<HttpResponse> confirm(Exchange &Call, Offset Plan);
  [[nodiscard]] Awaitable<HttpResponse> abandon(Exchange &Call, Offset Plan);
  [[nodiscard]] Awaitable<AppendOutcome> append(const Record &Body);

  AgreedStream &Agreed;
  std::string CredentialDigest;
  MetricsText Metrics;
};

/// @brief Summary of a state as operators see it. Thread-safe.
/// @param Shown The state.
[[nodiscard]] Json describeState(const State &Shown);

/// @brief A plan and how far it has come, as operators see it. Thread-safe.
/// @param Id Offset of its proposal.
/// @param Shown The plan.
[[nodiscard]] Json describeProgress(Offset Id, const PlanProgress &Shown);

} // namespace coltsfoottrail

#endif
