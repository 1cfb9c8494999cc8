#include "coltsfoottrail/reach/forwarding.hpp"

#include <boost/asio/this_coro.hpp>

namespace coltsfoottrail {

namespace {

constexpr unsigned StatusForbidden = 403;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;

/// Counts an open connection while it lives.
class OpenGuard {
public:
  explicit OpenGuard(std::size_t &Counter) : Count(Counter) { ++Count; }
  OpenGuard(const OpenGuard &) = delete;
  OpenGuard &operator=(const OpenGuard &) = delete;
  ~OpenGuard() { --Count; }

private:
  std::size_t &Count;
};

HttpResponse emptyResponse(unsigned Status) {
  HttpResponse Result;
  Result.Status = Status;
  return Result;
}

} // namespace

/// @return Status of the refusal; zero if the connection may be opened.
unsigned
ForwardingService::refusalOf(const std::optional<EngineAddress> &Target) const {
  const ReachabilityTracker &Reach = Endpoints.reach();
  if (!isForwarding() || OpenCount >= MaxOpen)
    return StatusUnavailable;
  if (!Target || !Reach.knows(*Target))
    return StatusForbidden;
  return Reach.isUnreachable(*Target) ? StatusBadGateway : 0;
}

Awaitable<void> ForwardingService::serve(Exchange &Call) {
  const std::optional<EngineAddress> Target =
      addressFrom(Call.request().Target);
  const unsigned Refusal = refusalOf(Target);
  if (Refusal != 0) {
    co_await Call.respond(emptyResponse(Refusal));
    co_return;
  }
  const OpenGuard Guard(OpenCount);
  boost::beast::tcp_stream Stream(co_await boost::asio::this_coro::executor);
  const bool IsOpen = co_await Endpoints.dialForHost(Stream, *Target);
  if (!IsOpen) {
    co_await Call.respond(
        emptyResponse(isForwarding() ? StatusBadGateway : StatusUnavailable));
    co_return;
  }
  ++TotalCount;
  co_await Call.tunnel(Stream.release_socket());
}

} // namespace coltsfoottrail
