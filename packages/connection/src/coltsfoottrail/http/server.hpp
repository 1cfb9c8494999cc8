/// @file
/// HTTP server for callers, operators and the stand-ins.
#ifndef COLTSFOOTTRAIL_HTTP_SERVER_HPP
#define COLTSFOOTTRAIL_HTTP_SERVER_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/http/iopool.hpp"
#include "coltsfoottrail/http/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Limits on what a client can make the server hold.
struct ServerLimits {
  std::uint32_t MaxHeaderBytes = 16U << 10U;
  std::uint64_t MaxBodyBytes = std::uint64_t{1} << 20U;
  std::size_t MaxConnections = 4096;
  /// Longest that a client may take to send a request's head.
  milliseconds HeaderTimeout{10'000};
  /// Longest that a client may take to send a request's body.
  milliseconds BodyTimeout{30'000};
  /// Longest that a client may let one write wait.
  milliseconds WriteTimeout{30'000};
  /// Longest that a connection may stand idle between requests.
  milliseconds IdleTimeout{75'000};
};

/// @brief One request and the way to answer it. Belongs to one thread of the
/// pool; its calls are not thread-safe.
class Exchange {
public:
  Exchange() = default;
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;
  virtual ~Exchange() = default;

  /// @brief The request.
  [[nodiscard]] virtual const HttpRequest &request() const noexcept = 0;
  /// @brief Index of the thread in the pool that carries this exchange.
  [[nodiscard]] virtual std::size_t thread() const noexcept = 0;
  /// @brief Whether the head of an answer has been sent.
  [[nodiscard]] virtual bool hasBegun() const noexcept = 0;

  /// @brief Sends a whole answer.
  /// @param Whole The answer.
  /// @throws boost::system::system_error The client is gone or too slow.
  [[nodiscard]] virtual Awaitable<void> respond(HttpResponse Whole) = 0;
  /// @brief Sends the head of a streamed answer.
  /// @param Head Status and fields; its body is not used.
  /// @throws boost::system::system_error The client is gone or too slow.
  [[nodiscard]] virtual Awaitable<void> begin(HttpResponse Head) = 0;
  /// @brief Sends a part of a streamed answer. Precondition: begin().
  /// @param Part Bytes; an empty part is skipped.
  /// @throws boost::system::system_error The client is gone or too slow.
  [[nodiscard]] virtual Awaitable<void> write(std::string_view Part) = 0;
  /// @brief Ends a streamed answer. Precondition: begin().
  /// @throws boost::system::system_error The client is gone or too slow.
  [[nodiscard]] virtual Awaitable<void> end() = 0;
  /// @brief Breaks a streamed answer off, so that the client sees that it is
  /// not whole.
  virtual void cut() noexcept = 0;
};

/// Answers a request. It is cancelled (its next wait throws) when the client
/// goes away. An exception that it lets out is answered with status 500.
using ExchangeHandler = std::function<Awaitable<void>(Exchange &)>;
/// Looks at a request's head before its body is read; an answer refuses it.
using HeadCheck =
    std::function<std::optional<HttpResponse>(const HttpRequest &)>;
/// Makes the answer for what the server itself refuses: status and reason.
using RefusalMaker =
    std::function<HttpResponse(unsigned Status, std::string_view Why)>;

/// @brief What a server does with requests.
struct ServerHooks {
  ExchangeHandler Handle;
  /// May be empty.
  HeadCheck Check;
  /// May be empty: then refusals carry a short JSON body.
  RefusalMaker Refuse;
};

/// @brief An HTTP/1.1 server on the threads of a pool.
class HttpServer {
public:
  /// @brief Listens. The pool must outlive the server.
  /// @param Threads Where connections live.
  /// @param Address IP number.
  /// @param Port Port; zero for any free one.
  /// @param Limits Limits on clients.
  /// @param Hooks What to do with requests.
  /// @throws boost::system::system_error The port is taken or the address is
  /// not this machine's.
  HttpServer(IoPool &Threads, const std::string &Address, std::uint16_t Port,
             ServerLimits Limits, ServerHooks Hooks);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  /// @brief Closes the listener and cuts what is open.
  ~HttpServer();

  /// @brief The port listened on. Thread-safe.
  [[nodiscard]] std::uint16_t port() const noexcept;

  /// @brief Changes the limits: they hold for each connection from its next
  /// request on. Thread-safe.
  void setLimits(const ServerLimits &Wanted);

  /// @brief Stops taking connections; answers carry "Connection: close" and
  /// idle connections are closed. Requests in progress go on. Thread-safe.
  void stopAccepting();

  /// @brief Cuts all open connections. Thread-safe.
  void cutAll();

  /// @brief Connections that are open. Thread-safe.
  [[nodiscard]] std::size_t connections() const noexcept;

  /// @brief Requests whose answer has not been sent whole. Thread-safe.
  [[nodiscard]] std::size_t inProgress() const noexcept;

  /// What the listener and the sessions share; opaque.
  struct Core;

private:
  std::shared_ptr<Core> Shared;
};

} // namespace coltsfoottrail

#endif
