/// @file
/// HTTP server for callers, operators and the stand-ins of platform services.
#ifndef COLTSFOOTTRAIL_HTTP_SERVER_HPP
#define COLTSFOOTTRAIL_HTTP_SERVER_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/http/iopool.hpp"
#include "coltsfoottrail/http/message.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Limits on the resources that clients can use.
struct ServerLimits {
  std::uint32_t MaxHeaderBytes = 16U << 10U;
  std::uint64_t MaxBodyBytes = std::uint64_t{1} << 20U;
  /// Bytes in the bodies of all requests in progress together; a request that
  /// would exceed it is refused with status 503.
  std::uint64_t MaxBodyMemory = std::numeric_limits<std::uint64_t>::max();
  std::size_t MaxConnections = 4096;
  /// Time limit for receiving a request's head.
  milliseconds HeaderTimeout{10'000};
  /// Time limit for receiving a request's body.
  milliseconds BodyTimeout{30'000};
  /// Time limit for one write to a client.
  milliseconds WriteTimeout{30'000};
  /// Time limit for an idle connection between requests.
  milliseconds IdleTimeout{75'000};
};

/// @brief A request and the means to respond to it. Not thread-safe: belongs to
/// one thread of the pool.
class Exchange {
public:
  Exchange() = default;
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;
  virtual ~Exchange() = default;

  /// @brief The request.
  [[nodiscard]] virtual const HttpRequest &request() const noexcept = 0;
  /// @brief Index of the pool thread that runs this exchange.
  [[nodiscard]] virtual std::size_t thread() const noexcept = 0;
  /// @brief Whether a response has been started with respond() or begin().
  [[nodiscard]] virtual bool hasBegun() const noexcept = 0;
  /// @brief Whether this end has closed the connection.
  [[nodiscard]] virtual bool wasCut() const noexcept = 0;

  /// @brief Sends a complete response.
  /// @param Response The response.
  /// @throws boost::system::system_error The client disconnected or is too
  /// slow.
  [[nodiscard]] virtual Awaitable<void> respond(HttpResponse Response) = 0;
  /// @brief Sends the head of a streamed response.
  /// @param Head Status and fields; the body is ignored.
  /// @throws boost::system::system_error The client disconnected or is too
  /// slow.
  [[nodiscard]] virtual Awaitable<void> begin(HttpResponse Head) = 0;
  /// @brief Sends a part of a streamed response. Precondition: begin().
  /// @param Part Bytes; an empty part is skipped.
  /// @throws boost::system::system_error The client disconnected or is too
  /// slow.
  [[nodiscard]] virtual Awaitable<void> write(std::string_view Part) = 0;
  /// @brief Completes a streamed response. Precondition: begin().
  /// @throws boost::system::system_error The client disconnected or is too
  /// slow.
  [[nodiscard]] virtual Awaitable<void> end() = 0;
  /// @brief Closes the connection in the middle of a streamed response, so that
  /// the client detects that it is incomplete.
  virtual void cut() noexcept = 0;
  /// @brief Responds with success and then forwards bytes between the client
  /// and another connection until either is closed. A reset of one resets the
  /// other. Precondition: no response has been started.
  /// @param Other An open connection on the executor of this exchange.
  /// @throws boost::system::system_error The client disconnected before.
  [[nodiscard]] virtual Awaitable<void>
  tunnel(boost::asio::ip::tcp::socket Other) = 0;
};

/// Handles a request. The coroutine is cancelled (its pending or next wait
/// throws) when the client disconnects. Any other exception results in status
/// 500, or in a closed connection if a response was already started.
using ExchangeHandler = std::function<Awaitable<void>(Exchange &)>;
/// Checks a request's head before its body is read; returns a response to
/// refuse the request.
using HeadCheck =
    std::function<std::optional<HttpResponse>(const HttpRequest &)>;
/// Creates the response for a request that the server itself refuses; the head
/// of the request is empty if it could not be read.
using RefusalMaker = std::function<HttpResponse(
    const HttpRequest &Head, unsigned Status, std::string_view Reason)>;

/// @brief Callbacks of a server.
struct ServerHooks {
  ExchangeHandler Handle;
  /// Optional.
  HeadCheck Check;
  /// Optional; by default refusals carry a short JSON body.
  RefusalMaker Refuse;
};

/// @brief Connections that a server closed by itself since its start.
struct ClosedConnections {
  /// No request was in progress.
  std::uint64_t Idle = 0;
  /// A request was in progress, and its response is not complete.
  std::uint64_t InProgress = 0;
  /// The client had sent bytes after the last response; they were not read.
  std::uint64_t Unread = 0;
};

/// @brief An HTTP/1.1 server on the threads of a pool.
class HttpServer {
public:
  /// @brief Starts to listen. The pool must outlive the server.
  /// @param Pool Threads that run the connections.
  /// @param Address IP address.
  /// @param Port Port; zero for any free port.
  /// @param Limits Limits for clients.
  /// @param Hooks Callbacks of the server.
  /// @throws boost::system::system_error Listening failed: the port is in use,
  /// or the address is invalid or not local.
  HttpServer(IoPool &Pool, const std::string &Address, std::uint16_t Port,
             ServerLimits Limits, ServerHooks Hooks);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  /// @brief Closes the listener and all open connections.
  ~HttpServer();

  /// @brief The port that the server listens on. Thread-safe.
  [[nodiscard]] std::uint16_t port() const noexcept;

  /// @brief Changes the limits. They apply to each connection from its next
  /// request on. Thread-safe.
  void setLimits(const ServerLimits &NewLimits);

  /// @brief Marks responses that start from now on with "Connection: close".
  /// Thread-safe.
  void announceClose();

  /// @brief Stops accepting connections and closes those on which no request
  /// has arrived. Requests that have arrived are served, and responses that
  /// start from now on are marked with "Connection: close". Thread-safe.
  void stopAccepting();

  /// @brief Whether stopAccepting() was called and all connections are closed.
  /// Thread-safe.
  [[nodiscard]] bool hasEnded() const noexcept;

  /// @brief Closes all open connections without completing their responses.
  /// Thread-safe.
  void cutAll();

  /// @brief Number of open connections. Thread-safe.
  [[nodiscard]] std::size_t connections() const noexcept;

  /// @brief Number of requests whose response is not complete. Thread-safe.
  [[nodiscard]] std::size_t inProgress() const noexcept;

  /// @brief Bytes in the bodies of the requests in progress. Thread-safe.
  [[nodiscard]] std::uint64_t bodyMemory() const noexcept;

  /// @brief Connections closed by stopAccepting(), cutAll() and
  /// Exchange::cut(). Thread-safe.
  [[nodiscard]] ClosedConnections closedConnections() const noexcept;

  /// State shared by the listener and the sessions; opaque.
  struct Core;

private:
  std::shared_ptr<Core> Shared;
};

} // namespace coltsfoottrail

#endif
