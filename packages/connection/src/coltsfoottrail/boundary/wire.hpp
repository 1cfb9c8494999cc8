/// @file
/// What requests and answers say beside their bodies.
#ifndef COLTSFOOTTRAIL_BOUNDARY_WIRE_HPP
#define COLTSFOOTTRAIL_BOUNDARY_WIRE_HPP

#include "coltsfoottrail/boundary/fwd.hpp"
#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/fleet/endpoint.hpp"
#include "coltsfoottrail/http/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief What a caller's request says of itself.
struct RequestMetadata {
  /// Identifier of this attempt of the caller; empty when missing.
  std::string Id;
  std::string HostHeader;
  /// Path without the query.
  std::string Path;
  std::string Credential;
  /// How long the caller waits; nothing when it did not say.
  std::optional<milliseconds> Timeout;
  /// Empty where the service has no models.
  ModelName Model;
  std::uint32_t PromptTokens = 0;
  /// Most tokens of the answer.
  std::uint32_t MaxAnswerTokens = 0;
  /// The caller's guess at the tokens of the answer.
  std::optional<std::uint32_t> ExpectedTokens;
  /// Last event that the caller has of an earlier answer.
  std::string LastEventId;
};

/// @brief What is said to an endpoint with a request.
struct ForwardMetadata {
  EndpointName Endpoint;
  TeamName Team;
  milliseconds TimeLeft{0};
  /// Place in the endpoint's queue, zero first; nothing for its usual one.
  std::optional<std::uint32_t> QueuePriority;
  /// Event after which a stream goes on; empty to leave the caller's.
  std::string LastEventId;
};

/// @brief What an endpoint's answer says of itself.
struct ResponseMetadata {
  /// The endpoint states that the request has not run.
  bool NotRun = false;
  /// Another endpoint has the address.
  bool WrongEndpoint = false;
  /// Identifier of the request that it answers; empty when not told.
  std::string Id;
  /// Requests that run and wait there, and its slots.
  struct Load {
    std::uint32_t Running = 0;
    std::uint32_t Waiting = 0;
    std::uint32_t Slots = 0;
  };
  std::optional<Load> ReportedLoad;
  /// Whether it bears the endpoint's digest.
  bool Signed = false;
  /// The endpoint is leaving, or closes this connection.
  bool Closing = false;
  /// Address and port of the engine that the endpoint holds at fault; empty
  /// when not told.
  std::string FaultyEngine;

  /// @brief Whether the answer proves that the endpoint can serve nobody, as it
  /// is: another one has its address, or its group lost a member. A full
  /// endpoint refuses too, but blames no other.
  /// @param Asked Address of the endpoint that the request was sent to.
  [[nodiscard]] bool provesUnusable(const EngineAddress &Asked) const {
    const bool BlamesAnother =
        !FaultyEngine.empty() && FaultyEngine != textOf(Asked);
    return WrongEndpoint || (NotRun && BlamesAnother);
  }
};

/// @brief Reads and writes the header fields of requests and answers.
/// Thread-safe.
class HeaderCodec {
public:
  HeaderCodec() = default;
  HeaderCodec(const HeaderCodec &) = delete;
  HeaderCodec &operator=(const HeaderCodec &) = delete;
  virtual ~HeaderCodec() = default;

  /// @brief Reads what a request says of itself.
  [[nodiscard]] virtual RequestMetadata
  read(const HttpRequest &Request) const = 0;

  /// @brief Makes the request for an endpoint: the caller's without what
  /// concerns only its connection and without its credential.
  [[nodiscard]] virtual HttpRequest
  forward(const HttpRequest &Request, const ForwardMetadata &Marks) const = 0;

  /// @brief Reads what an answer says of itself.
  [[nodiscard]] virtual ResponseMetadata
  readResponse(const HttpResponse &Answer) const = 0;

  /// @brief Makes the head for the caller: the endpoint's without what concerns
  /// only its connection.
  [[nodiscard]] virtual HttpResponse
  responseHead(const HttpResponse &Answer) const = 0;

  /// @brief Adds to an answer of the project's own what the platform wants of
  /// every answer.
  virtual void addRequiredFields(HttpResponse &Own,
                                 std::string_view Id) const = 0;
};

} // namespace coltsfoottrail

#endif
