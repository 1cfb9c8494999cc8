/// @file
/// Metadata of requests and responses, and its encoding in header fields.
#ifndef COLTSFOOTTRAIL_BOUNDARY_WIRE_HPP
#define COLTSFOOTTRAIL_BOUNDARY_WIRE_HPP

#include "coltsfoottrail/boundary/fwd.hpp"
#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/fleet/endpoint.hpp"
#include "coltsfoottrail/http/message.hpp"
#include "coltsfoottrail/http/ratelimitfield.hpp"
#include "coltsfoottrail/http/retryafterfield.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Metadata of a caller's request.
struct RequestMetadata {
  static constexpr std::size_t MaxSharedParts = 64;

  /// The caller's identifier of this attempt; empty when missing.
  std::string Id;
  std::string HostHeader;
  /// Path without the query.
  std::string Path;
  std::string Credential;
  /// How long the caller waits for the response; not set when not stated.
  std::optional<milliseconds> Timeout;
  /// Empty where the service has no models.
  ModelName Model;
  std::uint32_t PromptTokens = 0;
  /// The parts of its prompt that other requests may have in theirs, in order,
  /// each once; at most MaxSharedParts of them.
  std::vector<PromptPartId> SharedParts;
  /// Maximum number of tokens in the response.
  std::uint32_t MaxAnswerTokens = 0;
  /// The caller's estimate of the number of tokens in the response.
  std::optional<std::uint32_t> ExpectedTokens;
  /// Number of tokens that the response is expected to have: the caller's
  /// estimate if it is possible, otherwise the maximum.
  std::uint32_t AnswerTokens = 0;
  /// Identifier of the last event of an interrupted stream that the caller has;
  /// empty when it resumes none.
  std::string LastEventId;
};

/// @brief Metadata that is added to a request to an endpoint.
struct ForwardMetadata {
  EndpointName Endpoint;
  TeamName Team;
  milliseconds TimeLeft{0};
  /// Priority in the endpoint's queue, with zero served first; not set for the
  /// default one.
  std::optional<std::uint32_t> QueuePriority;
  /// Identifier of the event after which a stream resumes; empty to forward the
  /// caller's.
  std::string LastEventId;
};

/// @brief Metadata of an endpoint's response.
struct ResponseMetadata {
  /// The endpoint states that it did not execute the request.
  bool NotRun = false;
  /// A different endpoint uses the address.
  bool WrongEndpoint = false;
  /// Identifier of the request; empty when not stated.
  std::string Id;
  /// Numbers of running and waiting requests at the endpoint, and of its slots.
  struct Load {
    std::uint32_t Running = 0;
    std::uint32_t Waiting = 0;
    std::uint32_t Slots = 0;
  };
  std::optional<Load> ReportedLoad;
  /// Requests per second that the endpoint takes from all entry hosts together.
  RateLimitField RateLimit;
  /// For how long the endpoint wants no further request of this host.
  RetryAfterField Backoff;
  /// The endpoint's process leaves.
  bool Leaving = false;
  /// Whether it carries the endpoint's digest.
  bool Signed = false;
  /// The endpoint is shutting down or closes this connection.
  bool Closing = false;
  /// Address and port of the engine that the endpoint reports as the cause of a
  /// failure; empty when not stated.
  std::string FaultyEngine;

  /// @brief Whether the endpoint wants no further request for a while.
  [[nodiscard]] bool asksForBackoff() const noexcept {
    return !WrongEndpoint && Backoff.Pause > Duration::zero();
  }

  /// @brief Whether the response proves that the endpoint cannot serve any
  /// request: a different endpoint uses its address, or its group lost a
  /// member. A full endpoint also refuses requests, but does not report another
  /// engine as faulty.
  /// @param Target Address of the endpoint that the request was sent to.
  [[nodiscard]] bool provesUnusable(const EngineAddress &Target) const {
    const bool ReportsOtherEngine =
        !FaultyEngine.empty() && FaultyEngine != textOf(Target);
    return WrongEndpoint || (NotRun && ReportsOtherEngine);
  }
};

/// @brief Reads and writes the header fields of requests and responses.
/// Thread-safe.
class HeaderCodec {
public:
  HeaderCodec() = default;
  HeaderCodec(const HeaderCodec &) = delete;
  HeaderCodec &operator=(const HeaderCodec &) = delete;
  virtual ~HeaderCodec() = default;

  /// @brief Reads the metadata of a request.
  [[nodiscard]] virtual RequestMetadata
  read(const HttpRequest &Request) const = 0;

  /// @brief Builds the request for an endpoint: the caller's without hop-by-hop
  /// fields and without its credential, with Metadata added.
  [[nodiscard]] virtual HttpRequest
  forward(const HttpRequest &Request,
          const ForwardMetadata &Metadata) const = 0;

  /// @brief Reads the metadata of a response.
  [[nodiscard]] virtual ResponseMetadata
  readResponse(const HttpResponse &Response) const = 0;

  /// @brief Builds the response head for the caller: the endpoint's without
  /// hop-by-hop fields.
  [[nodiscard]] virtual HttpResponse
  responseHead(const HttpResponse &Response) const = 0;

  /// @brief Adds the fields that the platform requires in every response to a
  /// response that this process produced itself.
  /// @param Response The response to extend.
  /// @param Id Identifier of the request.
  virtual void addRequiredFields(HttpResponse &Response,
                                 std::string_view Id) const = 0;
};

} // namespace coltsfoottrail

#endif
