#include "coltsfoottrail/reach/dialer.hpp"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace coltsfoottrail {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

/// An attempt that took this much longer than its time limit failed because
/// this host did not run meanwhile.
constexpr Duration MaxOwnDelay = milliseconds(50);

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
  else if (isEvidence(Now - StartedAt, Timeout))
    Reach.recordDirectFailure(Endpoint, StartedAt, Now);
  co_return !Problem;
}

Awaitable<std::optional<DialedConnection>>
Dialer::dial(beast::tcp_stream &Stream, EngineAddress Endpoint,
             milliseconds MaxTime) {
  const bool IsOpen = co_await dialDirect(Stream, Endpoint, MaxTime);
  std::optional<DialedConnection> Result;
  if (IsOpen)
    Result.emplace();
  co_return Result;
}

Awaitable<void> Dialer::probe(EngineAddress Endpoint) {
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  (void)co_await dialDirect(Stream, Endpoint,
                            ReachabilityTracker::DirectTimeout);
}

} // namespace coltsfoottrail
