/// @file
/// HTTP client towards endpoints and the platform.
#ifndef COLTSFOOTTRAIL_HTTP_CLIENT_HPP
#define COLTSFOOTTRAIL_HTTP_CLIENT_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/http/message.hpp"
#include "coltsfoottrail/platform/engine.hpp"
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

/// @brief Why a call got no whole answer.
struct CallFailure {
  /// NotRun only where no byte of the request can have left this host.
  RunState State = RunState::NotRun;
  Reason Why = Reason::EndpointFailed;
  /// The connection broke after the request was sent: the endpoint may have
  /// crashed on it.
  bool ConnectionLost = false;
};

/// @brief Limits of a client.
struct ClientOptions {
  milliseconds ConnectTimeout{1'000};
  /// Connections kept for reuse to one endpoint.
  std::size_t MaxIdlePerEndpoint = 64;
  /// A connection that stood idle for longer is not used again: the endpoint
  /// may be closing it.
  milliseconds MaxIdle{15'000};
  std::uint32_t MaxHeaderBytes = 16U << 10U;
  std::uint64_t MaxBodyBytes = std::uint64_t{64} << 20U;
};

/// Whether a call may use a connection that served an earlier one.
enum class Reuse : std::uint8_t {
  Allowed,
  /// For calls that must not run twice: writing to a connection that the
  /// endpoint is closing would leave open whether they ran.
  Never,
};

/// @brief How a call uses connections.
struct ConnectionUse {
  Reuse Mode = Reuse::Allowed;
  /// Connections to the endpoint that may stay open for reuse after the call.
  std::size_t MaxIdleConnections = std::numeric_limits<std::size_t>::max();
};
/// For a call that leaves nothing behind.
inline constexpr ConnectionUse SingleUseConnection{Reuse::Never, 0};

/// @brief One call in progress. Belongs to one thread. Destroying it before the
/// answer is whole closes the connection, which cancels the work behind it.
class HttpCall {
public:
  class Connection;

  HttpCall() noexcept;
  HttpCall(HttpCall &&) noexcept;
  HttpCall &operator=(HttpCall &&) noexcept;
  HttpCall(const HttpCall &) = delete;
  HttpCall &operator=(const HttpCall &) = delete;
  ~HttpCall();

  /// @brief Status and fields of the answer.
  [[nodiscard]] const HttpResponse &head() const noexcept;

  /// @brief Waits for the next part of the body.
  /// @param Deadline When to give up.
  /// @return A part; nothing at the end of a whole body; or the failure.
  [[nodiscard]] Awaitable<std::variant<std::optional<std::string>, CallFailure>>
  next(TimePoint Deadline);

private:
  friend class HttpClient;
  struct State;
  std::unique_ptr<State> Current;
};

/// @brief Client with connections for reuse. Belongs to the thread of its
/// context; not thread-safe.
class HttpClient {
public:
  /// @brief Makes a client.
  /// @param Context The thread's context; must outlive the client.
  /// @param Limits Its limits.
  HttpClient(boost::asio::io_context &Context, ClientOptions Limits);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// @brief Sends a request and waits for the head of the answer.
  /// @param To Where to.
  /// @param Request What to send; Content-Length is added.
  /// @param Deadline When to give up.
  /// @param Use Whether an old connection may be used, and what stays.
  /// @return The call, or why there is none.
  [[nodiscard]] Awaitable<std::variant<HttpCall, CallFailure>>
  start(EngineAddress To, HttpRequest Request, TimePoint Deadline,
        ConnectionUse Use = {});

  /// @brief Sends a request and waits for the whole answer.
  /// @param To Where to.
  /// @param Request What to send.
  /// @param Deadline When to give up.
  /// @param Use Whether an old connection may be used, and what stays.
  /// @return The answer, or why there is none.
  [[nodiscard]] Awaitable<std::variant<HttpResponse, CallFailure>>
  fetch(EngineAddress To, HttpRequest Request, TimePoint Deadline,
        ConnectionUse Use = {});

  /// @brief Ends all calls in progress to an address as cut; each learns so at
  /// its next step.
  /// @return How many there were.
  std::size_t abort(const EngineAddress &To);

  /// @brief Closes all connections that wait for reuse. Needed before the
  /// context is destroyed: their sockets belong to it.
  void closeIdle();

  /// @brief Connections that wait for reuse.
  [[nodiscard]] std::size_t idle() const noexcept;

private:
  friend class HttpCall;
  struct Core;
  std::shared_ptr<Core> Shared;
};

} // namespace coltsfoottrail

#endif
