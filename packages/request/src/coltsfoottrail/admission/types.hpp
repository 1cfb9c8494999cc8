/// @file
/// How entry hosts share out what an endpoint bears: options, messages,
/// commands.
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

/// @brief Times and limits. All hosts must have the same times: they are part
/// of the protocol between them.
struct ShareOptions {
  HostName Self;
  Incarnation Run = 0;
  /// A steward grants only while its proof that it knows the agreed members is
  /// younger than this.
  milliseconds MembershipProofLife{2000};
  /// Life of a credit, from when the ask for it left.
  milliseconds CreditLife{2000};
  /// A credit in use is renewed after this.
  milliseconds RenewalInterval{600};
  /// Least time between two asks for one endpoint.
  milliseconds MinRequestInterval{20};
  /// A handover that is not confirmed is sent again after this.
  milliseconds HandoverRetry{200};
  /// Longest that any request is in progress.
  milliseconds MaxRequestDuration{600'000};
  /// How far an endpoint's load report may lag.
  milliseconds ReportLag{1000};
  /// A steward that took over without a handover believes for this long what
  /// the holders say of the bound.
  milliseconds BoundRecoveryPeriod{5000};
  /// Whether all endpoints report their load. Where they do not, a new steward
  /// that got no handover goes on without knowing what its predecessor let in.
  bool EndpointsReportLoad = true;
  /// An endpoint that is not used for this long gets no more asks.
  milliseconds IdleAfter{5000};
  /// At more entry hosts than this, each uses only a part of a large pool.
  std::size_t WholePoolMaxHosts = 32;
  /// Endpoints of a pool that a host uses at least, where it uses a part.
  std::size_t MinSubsetEndpoints = 16;
};

/// @brief An entry host that has joined and not left.
struct ShareMember {
  HostName Host;
  Incarnation Run = 0;
  [[nodiscard]] friend bool operator==(const ShareMember &,
                                       const ShareMember &) = default;
};

/// @brief Names a grant; later ones are greater, also across stewards.
struct GrantNumber {
  /// Membership that the steward acted under: offset of its last change.
  Offset Epoch = 0;
  std::uint64_t Count = 0;
  [[nodiscard]] friend bool operator==(const GrantNumber &,
                                       const GrantNumber &) = default;
  /// @brief Tells whether this grant was made before another.
  [[nodiscard]] bool before(const GrantNumber &Other) const noexcept {
    return Epoch != Other.Epoch ? Epoch < Other.Epoch : Count < Other.Count;
  }
};

/// @brief What a holder says of one endpoint.
struct CreditDemand {
  EndpointHash Endpoint = 0;
  /// Its requests in progress there.
  std::uint32_t InFlight = 0;
  /// Requests that it would have in progress if it could.
  std::uint32_t Wanted = 0;
  /// Most requests that it had in progress since its last ask.
  std::uint32_t Peak = 0;
  /// The last grant that it took over, and the bound that came with it.
  GrantNumber Adopted;
  std::uint32_t Bound = 0;
  /// Run of the engine that the bound was for; zero for none.
  Incarnation EngineRun = 0;
  /// Requests that ended since its last ask, and their latency in all.
  std::uint32_t Successes = 0;
  std::uint32_t Failures = 0;
  std::uint64_t TotalLatencyMicros = 0;
};
/// A holder asks a steward for credits.
struct CreditRequest {
  Incarnation Run = 0;
  /// Grows from each of the holder's asks to this peer to the next.
  std::uint64_t Number = 0;
  std::vector<CreditDemand> Demands;
};
/// @brief A credit on one endpoint.
struct CreditShare {
  EndpointHash Endpoint = 0;
  GrantNumber Number;
  /// Requests that the holder may have in progress.
  std::uint32_t Share = 0;
  /// What the endpoint bears in all.
  std::uint32_t Bound = 0;
  /// Others want more than there is: give back at once what is not needed.
  bool Contended = false;
  /// The engine's run that the steward counts on; zero when it has not heard.
  Incarnation EngineRun = 0;
};
/// A steward's answer to an ask.
struct CreditGrant {
  /// The holder's run that asked.
  Incarnation Run = 0;
  std::uint64_t RequestNumber = 0;
  std::vector<CreditShare> Shares;
};

/// @brief What one holder may have in progress, as a steward hands it on.
struct HandoverAccount {
  HostName Host;
  Incarnation Run = 0;
  std::uint32_t Committed = 0;
};
/// @brief A steward's knowledge of one endpoint.
struct HandoverEndpoint {
  EndpointHash Endpoint = 0;
  std::uint32_t Bound = 0;
  std::uint32_t Inherited = 0;
  Incarnation EngineRun = 0;
  std::vector<HandoverAccount> Accounts;
};
/// The steward before hands endpoints over: it grants no more.
struct StewardHandover {
  /// Membership that makes the receiver the steward.
  Offset Epoch = 0;
  std::vector<HandoverEndpoint> Endpoints;
};
/// The new steward has the endpoints.
struct StewardHandoverAck {
  Offset Epoch = 0;
  std::vector<EndpointHash> Endpoints;
};

/// What entry hosts tell each other about shares.
using ShareMessage = std::variant<CreditRequest, CreditGrant, StewardHandover,
                                  StewardHandoverAck>;

/// Let the dispatcher have this many requests in progress at an endpoint.
struct SetShare {
  std::string EndpointKey;
  std::uint32_t Share = 0;
};
/// Send a message to a peer; may be lost, repeated or late.
struct ShareSend {
  HostName To;
  ShareMessage Message;
};
using ShareCommand = std::variant<SetShare, ShareSend>;
using ShareCommands = std::vector<ShareCommand>;

/// @brief Hash of an endpoint's key. Thread-safe.
[[nodiscard]] EndpointHash endpointHash(std::string_view EndpointKey);

/// @brief Writes a message between entry hosts. Thread-safe.
[[nodiscard]] Json writeShareMessage(const ShareMessage &Message);
/// @brief Reads a message between entry hosts. Thread-safe.
/// @param Value An object.
/// @param Source Named in errors.
/// @throws InputError It is not such a message.
[[nodiscard]] ShareMessage readShareMessage(const Json &Value,
                                            std::string_view Source);

} // namespace coltsfoottrail

#endif
