/// @file
/// HTTP interface for operators' tools; docs/OPERATIONS.md describes it.
#ifndef COLTSFOOTTRAIL_SERVER_OPERATORAPI_HPP
#define COLTSFOOTTRAIL_SERVER_OPERATORAPI_HPP

#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/server/agreedstream.hpp"

#include <functional>
#include <string>

namespace coltsfoottrail {

/// @brief Accepts intents and confirmations and reports the state. Thread-safe.
class OperatorApi {
public:
  /// Produces the response body of /metrics.
  using MetricsText = std::function<std::string()>;

  /// @brief Creates the interface. The stream must outlive it.
  /// @param Agreed The stream to which proposals and confirmations are
  /// appended.
  /// @param CredentialSha256 SHA-256 of the operators' credential, in
  /// hexadecimal digits.
  /// @param Metrics Produces the response body of /metrics.
  OperatorApi(AgreedStream &Agreed, std::string CredentialSha256,
              MetricsText Metrics);

  /// @brief Refuses requests without the operators' credential; /metrics needs
  /// none.
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

/// @brief Summary of a state as the operator interface returns it. Thread-safe.
/// @param AgreedState The state to describe.
[[nodiscard]] Json describeState(const State &AgreedState);

/// @brief A plan and its progress as the operator interface returns it.
/// Thread-safe.
/// @param Id Offset of the proposal of the plan.
/// @param Progress The plan to describe.
[[nodiscard]] Json describeProgress(Offset Id, const PlanProgress &Progress);

} // namespace coltsfoottrail

#endif
