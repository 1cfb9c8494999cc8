#include "coltsfoottrail/http/forwardbytes.hpp"

#include "coltsfoottrail/core/time.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace coltsfoottrail {

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t BufferBytes = std::size_t{16} << 10U;
constexpr seconds MaxIdle{60};
constexpr seconds IdleCheckInterval{15};

void reset(Tcp::socket &Socket) {
  ErrorCode Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

/// Forwards bytes in one direction.
/// @return Why it ended: end of file, or the error of either connection.
Awaitable<ErrorCode> pump(Tcp::socket &From, Tcp::socket &To,
                          TimePoint &LastByteAt) {
  std::array<char, BufferBytes> Bytes{};
  ErrorCode Problem;
  while (!Problem) {
    const std::size_t Count = co_await From.async_read_some(
        asio::buffer(Bytes),
        asio::redirect_error(asio::use_awaitable, Problem));
    if (Problem)
      break;
    LastByteAt = BootClock::now();
    co_await asio::async_write(
        To, asio::buffer(Bytes.data(), Count),
        asio::redirect_error(asio::use_awaitable, Problem));
  }
  co_return Problem;
}

Awaitable<void> pumpRequests(Tcp::socket &Client, Tcp::socket &Server,
                             TimePoint &LastByteAt) {
  (void)co_await pump(Client, Server, LastByteAt);
  ErrorCode Ignored;
  Server.close(Ignored);
}

Awaitable<void> pumpResponses(Tcp::socket &Client, Tcp::socket &Server,
                              TimePoint &LastByteAt) {
  const ErrorCode Problem = co_await pump(Server, Client, LastByteAt);
  ErrorCode Ignored;
  if (Problem == asio::error::eof)
    Client.shutdown(Tcp::socket::shutdown_send, Ignored);
  else
    reset(Client);
}

Awaitable<void> closeWhenIdle(Tcp::socket &Client, Tcp::socket &Server,
                              const TimePoint &LastByteAt) {
  asio::steady_timer Pause(co_await asio::this_coro::executor);
  while (BootClock::now() - LastByteAt < MaxIdle) {
    Pause.expires_after(IdleCheckInterval);
    co_await Pause.async_wait(asio::use_awaitable);
  }
  reset(Client);
  reset(Server);
}

} // namespace

Awaitable<void> forwardBytes(Tcp::socket &Client, Tcp::socket &Server) {
  TimePoint LastByteAt = BootClock::now();
  co_await ((pumpRequests(Client, Server, LastByteAt) &&
             pumpResponses(Client, Server, LastByteAt)) ||
            closeWhenIdle(Client, Server, LastByteAt));
}

} // namespace coltsfoottrail
