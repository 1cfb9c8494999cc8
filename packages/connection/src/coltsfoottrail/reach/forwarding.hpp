/// @file
/// Forwards connections to endpoints for other entry hosts.
#ifndef COLTSFOOTTRAIL_REACH_FORWARDING_HPP
#define COLTSFOOTTRAIL_REACH_FORWARDING_HPP

#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/reach/dialer.hpp"

namespace coltsfoottrail {

/// @brief Serves the CONNECT requests of other entry hosts. Connections are
/// opened directly and only to known endpoints, so that a request passes at
/// most one other host. Belongs to one thread.
class ForwardingService {
public:
  /// @brief Creates a service.
  /// @param Endpoints Opens the connections; must outlive the service.
  explicit ForwardingService(Dialer &Endpoints) : Endpoints(Endpoints) {}

  /// @brief Opens a connection to the endpoint that a request names and
  /// forwards bytes until it is closed. The status of the response is 200; 403
  /// for an address that is not an endpoint's; 502 if this host does not reach
  /// the endpoint; or 503 if it forwards nothing at present.
  /// @throws boost::system::system_error The other host has disconnected.
  [[nodiscard]] Awaitable<void> serve(Exchange &Call);

  /// @brief Refuses new connections; open ones go on.
  void stop() noexcept { Stopping = true; }
  /// @brief Whether new connections are forwarded.
  [[nodiscard]] bool isForwarding() const noexcept {
    return !Stopping && !Endpoints.reach().cutOffSince();
  }
  /// @brief Number of open connections.
  [[nodiscard]] std::size_t open() const noexcept { return OpenCount; }
  /// @brief Number of connections that were forwarded since the start.
  [[nodiscard]] std::uint64_t total() const noexcept { return TotalCount; }

  /// Connections that are forwarded at once; more are refused.
  static constexpr std::size_t MaxOpen = 1024;

private:
  [[nodiscard]] unsigned
  refusalOf(const std::optional<EngineAddress> &Target) const;

  Dialer &Endpoints;
  std::size_t OpenCount = 0;
  std::uint64_t TotalCount = 0;
  bool Stopping = false;
};

} // namespace coltsfoottrail

#endif
