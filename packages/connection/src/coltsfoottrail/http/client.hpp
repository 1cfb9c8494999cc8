/// @file
/// HTTP client for endpoints and platform services.
#ifndef COLTSFOOTTRAIL_HTTP_CLIENT_HPP
#define COLTSFOOTTRAIL_HTTP_CLIENT_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/http/message.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/reach/fwd.hpp"
#include "coltsfoottrail/verdict/verdict.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// @brief Why a call did not get a complete response.
struct CallFailure {
  /// NotRun only if no byte of the request can have left this host.
  RunState State = RunState::NotRun;
  Reason Why = Reason::EndpointFailed;
  /// The connection broke after some of the request was sent: the endpoint may
  /// have crashed on it.
  bool ConnectionLost = false;
  /// CallPolicy::maySend() did not allow the request.
  bool Withheld = false;
  /// This host ended the call: it was aborted, or its deadline passed.
  bool EndedHere = false;
  /// Only the wait has ended, by HttpClient::abort() or abortOverdue(): the
  /// call goes on with the next wait.
  bool Interrupted = false;
};

/// @brief Limits of a client.
struct ClientOptions {
  milliseconds ConnectTimeout{1'000};
  /// Idle connections kept per endpoint for reuse.
  std::size_t MaxIdlePerEndpoint = 64;
  /// A connection that was idle for longer is not reused, since the endpoint
  /// may be closing it; one whose endpoint states a shorter time, not as long.
  milliseconds MaxIdle{15'000};
  std::uint32_t MaxHeaderBytes = 16U << 10U;
  std::uint64_t MaxBodyBytes = std::uint64_t{64} << 20U;
  /// The same for fetch(), which collects the body in memory.
  std::uint64_t MaxFetchedBytes = std::uint64_t{16} << 20U;
  /// Interim responses (1xx) that may precede a response.
  std::uint32_t MaxInterimResponses = 8;
};

/// @brief Options for responses of a few kilobytes, such as engines' reports.
[[nodiscard]] inline ClientOptions smallResponses() {
  ClientOptions Result;
  Result.MaxBodyBytes = std::uint64_t{1} << 20U;
  return Result;
}
/// @brief Options for the platform's own services, whose pages may be large.
[[nodiscard]] inline ClientOptions largeResponses() {
  ClientOptions Result;
  Result.MaxFetchedBytes = Result.MaxBodyBytes;
  return Result;
}

/// Whether a call may use the connection of an earlier one.
enum class Reuse : std::uint8_t {
  Allowed,
  /// For requests that must not be executed twice: after writing to a
  /// connection that the endpoint is closing, it would be unknown whether they
  /// were.
  Never,
};

/// @brief Decides what becomes of a call in progress.
class CallPolicy {
public:
  CallPolicy() = default;
  CallPolicy(const CallPolicy &) = delete;
  CallPolicy &operator=(const CallPolicy &) = delete;
  /// @brief Whether HttpClient::abort() and abortOverdue() may end the call.
  [[nodiscard]] virtual bool mayAbort() const = 0;
  /// @brief Whether the endpoint has sent nothing for too long.
  [[nodiscard]] virtual bool isOverdue(TimePoint /*Now*/) const {
    return false;
  }
  /// @brief Whether the request may still be written, now that a connection is
  /// open.
  [[nodiscard]] virtual bool maySend() const = 0;

protected:
  ~CallPolicy() = default;
};

/// @brief How a call uses connections.
struct ConnectionUse {
  Reuse Mode = Reuse::Allowed;
  /// Maximum number of idle connections to the endpoint that stay open for
  /// reuse after the call.
  std::size_t MaxIdleConnections = std::numeric_limits<std::size_t>::max();
  /// Asked before the request is written and before the call is aborted; must
  /// outlive the call. Both are always allowed if null.
  const CallPolicy *Policy = nullptr;
};
/// For a call that opens its own connection and leaves no idle one open.
inline constexpr ConnectionUse SingleUseConnection{Reuse::Never, 0};

/// @brief One call in progress. Not thread-safe: belongs to the thread of its
/// client. Destroying it before the response is complete closes the connection,
/// which lets the server cancel the request.
class HttpCall {
public:
  class Connection;

  HttpCall() noexcept;
  HttpCall(HttpCall &&) noexcept;
  HttpCall &operator=(HttpCall &&) noexcept;
  HttpCall(const HttpCall &) = delete;
  HttpCall &operator=(const HttpCall &) = delete;
  ~HttpCall();

  /// @brief Status and fields of the response; the status is from 200 to 599.
  [[nodiscard]] const HttpResponse &head() const noexcept;

  /// @brief The entry host that forwards the connection; empty if it is direct.
  /// Precondition: the body is not complete yet.
  [[nodiscard]] const std::optional<EngineAddress> &forwarder() const noexcept;

  /// @brief Waits for the next part of the body.
  /// @param Deadline Deadline of the wait; fails after it even if there are
  /// bytes, since there may always be more.
  /// @return The part; an empty optional at the end of a complete body; or the
  /// failure.
  [[nodiscard]] Awaitable<std::variant<std::optional<std::string>, CallFailure>>
  next(TimePoint Deadline);

private:
  friend class HttpClient;
  struct State;
  std::unique_ptr<State> Current;
};

/// @brief HTTP client with a pool of idle connections. Not thread-safe: belongs
/// to the thread of its context.
class HttpClient {
public:
  /// @brief Creates a client.
  /// @param Context I/O context of the thread; must outlive the client.
  /// @param Limits Limits of the client.
  /// @param Endpoints Opens its connections and records which endpoints are
  /// reached; must outlive the client. If null, connections are opened directly
  /// and nothing is recorded.
  HttpClient(boost::asio::io_context &Context, ClientOptions Limits,
             Dialer *Endpoints = nullptr);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// @brief Sends a request and waits for the head of the response.
  /// @param Endpoint Address of the endpoint.
  /// @param Request The request; Content-Length is added.
  /// @param Deadline Deadline for the head of the response.
  /// @param Use Use of pooled connections.
  /// @return The call, or why it failed.
  [[nodiscard]] Awaitable<std::variant<HttpCall, CallFailure>>
  start(EngineAddress Endpoint, HttpRequest Request, TimePoint Deadline,
        ConnectionUse Use = {});

  /// @brief Sends a request and waits for the complete response.
  /// @param Endpoint Address of the endpoint.
  /// @param Request The request; Content-Length is added.
  /// @param Deadline Deadline for the complete response.
  /// @param Use Use of pooled connections.
  /// @return The response, or why the call failed.
  [[nodiscard]] Awaitable<std::variant<HttpResponse, CallFailure>>
  fetch(EngineAddress Endpoint, HttpRequest Request, TimePoint Deadline,
        ConnectionUse Use = {});

  /// @brief Aborts the calls in progress to an address whose policy allows it.
  /// A call whose response has begun is only interrupted: see
  /// CallFailure::Interrupted.
  /// @return Number of these calls.
  std::size_t abort(const EngineAddress &Endpoint);
  /// @brief Does the same for the calls that are overdue, to any address.
  /// @param Now The time.
  void abortOverdue(TimePoint Now);

  /// @brief Aborts all calls, whatever their policies say; their failure says
  /// that the request may have run.
  void abortAll();

  /// @brief Closes all idle connections. Must be called before the context is
  /// destroyed, since their sockets refer to it.
  void closeIdle();

  /// @brief Number of idle connections in the pool.
  [[nodiscard]] std::size_t idle() const noexcept;

private:
  friend class HttpCall;
  struct Core;
  std::shared_ptr<Core> Shared;
};

} // namespace coltsfoottrail

#endif
