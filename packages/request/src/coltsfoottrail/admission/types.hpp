/// @file
/// Options, messages and commands of the protocol by which entry hosts divide
/// an endpoint's capacity among themselves.
///
/// Each endpoint has one steward, the entry host that grants credits on it. A
/// holder is an entry host that holds such credits: each allows it a number of
/// requests in progress, its share, for a limited time.
#ifndef COLTSFOOTTRAIL_ADMISSION_TYPES_HPP
#define COLTSFOOTTRAIL_ADMISSION_TYPES_HPP

#include "coltsfoottrail/admission/fwd.hpp"
#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/json/fwd.hpp"

#include <compare>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// @brief Times and limits. The times are part of the protocol and must be the
/// same on all hosts.
struct ShareOptions {
  HostName Self;
  Incarnation Run = 0;
  /// A steward grants only while the last proof that its membership view is
  /// current is younger than this.
  milliseconds MembershipProofLife{2000};
  /// Life of a credit, from when the request for it was sent.
  milliseconds CreditLife{2000};
  /// A credit in use is renewed after this.
  milliseconds RenewalInterval{600};
  /// Least time between two credit requests for one endpoint.
  milliseconds MinRequestInterval{20};
  /// An unacknowledged handover is sent again after this.
  milliseconds HandoverRetry{200};
  /// Longest time that a request can be in progress.
  milliseconds MaxRequestDuration{600'000};
  /// Largest age of an endpoint's load report on arrival.
  milliseconds ReportLag{1000};
  /// For this long after a takeover without a handover, a steward adopts higher
  /// bounds that holders send with their requests.
  milliseconds BoundRecoveryPeriod{5000};
  /// Whether all endpoints report their load. If they do not, a steward that
  /// takes over without a handover does not count the requests that its
  /// predecessor admitted.
  bool EndpointsReportLoad = true;
  /// No more credits are requested for an endpoint unused for this long.
  milliseconds IdleAfter{5000};
  /// With more entry hosts than this, each uses only a subset of a large pool.
  std::size_t WholePoolMaxHosts = 32;
  /// Least number of endpoints in such a subset.
  std::size_t MinSubsetEndpoints = 16;
};

/// @brief An entry host that has joined and not left.
struct ShareMember {
  HostName Host;
  Incarnation Run = 0;
  [[nodiscard]] friend bool operator==(const ShareMember &,
                                       const ShareMember &) = default;
};

/// @brief Identifies a grant. Later grants have greater numbers, also across
/// stewards.
struct GrantNumber {
  /// Membership that the steward acted under: log offset of its last change.
  Offset Epoch = 0;
  std::uint64_t Count = 0;
  [[nodiscard]] friend bool operator==(const GrantNumber &,
                                       const GrantNumber &) = default;
  /// @brief Whether this grant was made before another.
  [[nodiscard]] bool before(const GrantNumber &Other) const noexcept {
    return Epoch != Other.Epoch ? Epoch < Other.Epoch : Count < Other.Count;
  }
};

/// @brief A holder's usage of and demand on one endpoint.
struct CreditDemand {
  EndpointHash Endpoint = 0;
  /// The holder's requests in progress there.
  std::uint32_t InFlight = 0;
  /// Requests that it would have in progress without a limit.
  std::uint32_t Wanted = 0;
  /// Peak of its requests in progress since its last credit request.
  std::uint32_t Peak = 0;
  /// The last grant that it adopted, and the bound sent with it.
  GrantNumber Adopted;
  std::uint32_t Bound = 0;
  /// Run of the engine that the bound applied to; zero for none.
  Incarnation EngineRun = 0;
  /// Requests completed since its last credit request, and the sum of the
  /// successes' latencies.
  std::uint32_t Successes = 0;
  std::uint32_t Failures = 0;
  std::uint64_t TotalLatencyMicros = 0;
};
/// A holder's request to a steward for credits.
struct CreditRequest {
  Incarnation Run = 0;
  /// Increases with each of the holder's requests to this steward.
  std::uint64_t Number = 0;
  std::vector<CreditDemand> Demands;
};
/// @brief A credit on one endpoint.
struct CreditShare {
  EndpointHash Endpoint = 0;
  GrantNumber Number;
  /// Requests that the holder may have in progress.
  std::uint32_t Share = 0;
  /// Limit of requests in progress at the endpoint, of all holders.
  std::uint32_t Bound = 0;
  /// Demand exceeds the bound: unneeded credits must be given back at once.
  bool Contended = false;
  /// The engine run that the grant applies to; zero if the steward has had no
  /// load report.
  Incarnation EngineRun = 0;
};
/// A steward's answer to a credit request.
struct CreditGrant {
  /// The holder's run that sent the request.
  Incarnation Run = 0;
  std::uint64_t RequestNumber = 0;
  std::vector<CreditShare> Shares;
};

/// @brief Most requests that one holder may have in progress, as handed over
/// between stewards.
struct HandoverAccount {
  HostName Host;
  Incarnation Run = 0;
  std::uint32_t Committed = 0;
};
/// @brief A steward's state of one endpoint.
struct HandoverEndpoint {
  EndpointHash Endpoint = 0;
  std::uint32_t Bound = 0;
  std::uint32_t Inherited = 0;
  Incarnation EngineRun = 0;
  std::vector<HandoverAccount> Accounts;
};
/// The previous steward hands endpoints over and grants no more.
struct StewardHandover {
  /// Membership that makes the receiver the steward.
  Offset Epoch = 0;
  std::vector<HandoverEndpoint> Endpoints;
};
/// The new steward acknowledges the endpoints handed over.
struct StewardHandoverAck {
  Offset Epoch = 0;
  std::vector<EndpointHash> Endpoints;
};

/// Messages between entry hosts about shares.
using ShareMessage = std::variant<CreditRequest, CreditGrant, StewardHandover,
                                  StewardHandoverAck>;

/// Sets how many requests the dispatcher may have in progress at an endpoint.
struct SetShare {
  std::string EndpointKey;
  std::uint32_t Share = 0;
};
/// Sends a message to a peer; it may be lost, repeated or delayed.
struct ShareSend {
  HostName To;
  ShareMessage Message;
};
using ShareCommand = std::variant<SetShare, ShareSend>;
using ShareCommands = std::vector<ShareCommand>;

/// @brief Hash of an endpoint's key. Thread-safe.
[[nodiscard]] EndpointHash endpointHash(std::string_view EndpointKey);

/// @brief Writes a message as JSON. Thread-safe.
[[nodiscard]] Json writeShareMessage(const ShareMessage &Message);
/// @brief Reads a message from JSON. Thread-safe.
/// @param Value An object.
/// @param Source Name of the input, for errors.
/// @throws InputError The value is not a valid message.
[[nodiscard]] ShareMessage readShareMessage(const Json &Value,
                                            std::string_view Source);

} // namespace coltsfoottrail

#endif
