#include "coltsfoottrail/reach/dialer.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace coltsfoottrail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

/// An attempt that took this much longer than its time limit failed because
/// this host did not run meanwhile.
constexpr Duration MaxOwnDelay = milliseconds(50);
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr std::size_t MaxTunnelHeadBytes = 4096;

milliseconds timeLeft(TimePoint Deadline) {
  return std::max(milliseconds(1),
                  std::chrono::ceil<milliseconds>(Deadline - BootClock::now()));
}

/// Whether a failure to connect tells something of the endpoint: this host ran
/// meanwhile, and the time limit was not too short for a connection.
bool isEvidence(Duration Elapsed, milliseconds Timeout) {
  if (Elapsed < Timeout)
    return true;
  return Elapsed <= Timeout + MaxOwnDelay &&
         Timeout >= ReachabilityTracker::DirectTimeout;
}

} // namespace

Awaitable<ErrorCode> TcpConnector::connect(beast::tcp_stream &Stream,
                                           const EngineAddress &Target,
                                           milliseconds Timeout) {
  ErrorCode Problem;
  const auto Address = asio::ip::make_address(Target.Address, Problem);
  if (Problem)
    co_return Problem;
  Stream.expires_after(Timeout);
  co_await Stream.async_connect(
      Tcp::endpoint(Address, Target.Port),
      asio::redirect_error(asio::use_awaitable, Problem));
  if (!Problem) {
    ErrorCode Ignored;
    Stream.socket().set_option(Tcp::no_delay(true), Ignored);
  }
  co_return Problem;
}

Awaitable<bool> Dialer::dialDirect(beast::tcp_stream &Stream,
                                   const EngineAddress &Endpoint,
                                   milliseconds Timeout) {
  const TimePoint StartedAt = BootClock::now();
  const ErrorCode Problem = co_await Network.connect(Stream, Endpoint, Timeout);
  const TimePoint Now = BootClock::now();
  if (!Problem)
    Reach.recordConnected(Endpoint, Now);
  else if (Reach.cutOffSince() || isEvidence(Now - StartedAt, Timeout))
    Reach.recordDirectFailure(Endpoint, StartedAt, Now);
  co_return !Problem;
}

/// @return Status of the response; zero if there was none.
Awaitable<unsigned> Dialer::requestTunnel(beast::tcp_stream &Stream,
                                          const EngineAddress &Endpoint,
                                          milliseconds Timeout) {
  const std::string Target = textOf(Endpoint);
  http::request<http::empty_body> Request(http::verb::connect, Target, 11);
  Request.set(http::field::host, Target);
  Stream.expires_after(Timeout);
  ErrorCode Problem;
  co_await http::async_write(
      Stream, Request, asio::redirect_error(asio::use_awaitable, Problem));
  if (Problem)
    co_return 0;
  beast::flat_buffer Buffer(MaxTunnelHeadBytes);
  http::response_parser<http::empty_body> Parser;
  Parser.skip(true);
  co_await http::async_read_header(
      Stream, Buffer, Parser,
      asio::redirect_error(asio::use_awaitable, Problem));
  co_return Problem ? 0 : Parser.get().result_int();
}

Awaitable<bool> Dialer::dialForwarded(beast::tcp_stream &Stream,
                                      const EngineAddress &Host,
                                      const EngineAddress &Endpoint,
                                      milliseconds Timeout) {
  const TimePoint Deadline = BootClock::now() + Timeout;
  const ErrorCode Problem = co_await Network.connect(Stream, Host, Timeout);
  unsigned Status = 0;
  if (!Problem)
    Status = co_await requestTunnel(Stream, Endpoint, timeLeft(Deadline));
  const TimePoint Now = BootClock::now();
  if (Status == StatusOk)
    Reach.recordForwarded(Endpoint, Now);
  else if (Status == StatusBadGateway)
    Reach.recordUnreachableElsewhere(Endpoint, Now);
  else if (Status == StatusUnavailable)
    Reach.removeForwarder(Host);
  else
    Reach.recordForwarderFailure(Host, Now);
  co_return Status == StatusOk;
}

// Nothing of a request is sent before a connection to the endpoint is open, so
// trying several ways never runs it twice.
Awaitable<std::optional<DialedConnection>>
Dialer::dial(beast::tcp_stream &Stream, EngineAddress Endpoint,
             milliseconds MaxTime) {
  const TimePoint Deadline = BootClock::now() + MaxTime;
  std::optional<DialedConnection> Result;
  for (const DialStep &Step : Reach.plan(Endpoint, MaxTime, BootClock::now())) {
    if (Result || BootClock::now() >= Deadline)
      break;
    Stream.close();
    const milliseconds Timeout = std::min(Step.Timeout, timeLeft(Deadline));
    DialedConnection Connection;
    bool IsOpen = false;
    if (const auto *const Way = std::get_if<ForwardedDial>(&Step.Way)) {
      Connection.Forwarder = Way->Forwarder;
      IsOpen =
          co_await dialForwarded(Stream, Way->Forwarder, Endpoint, Timeout);
    } else {
      IsOpen = co_await dialDirect(Stream, Endpoint, Timeout);
    }
    if (IsOpen)
      Result = std::move(Connection);
  }
  co_return Result;
}

Awaitable<bool> Dialer::dialForHost(beast::tcp_stream &Stream,
                                    EngineAddress Endpoint) {
  const bool IsOpen =
      co_await dialDirect(Stream, Endpoint, ReachabilityTracker::DirectTimeout);
  co_return IsOpen;
}

Awaitable<void> Dialer::probe(EngineAddress Endpoint) {
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  (void)co_await dialDirect(Stream, Endpoint,
                            ReachabilityTracker::DirectTimeout);
}

} // namespace coltsfoottrail
