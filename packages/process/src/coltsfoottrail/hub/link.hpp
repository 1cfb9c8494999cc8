/// @file
/// What entry hosts tell the one that drives the groups.
#ifndef COLTSFOOTTRAIL_FLEETHOST_NOTICES_HPP
#define COLTSFOOTTRAIL_FLEETHOST_NOTICES_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/fleethost/settings.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/http/server.hpp"

#include <functional>
#include <optional>
#include <string>

namespace coltsfoottrail {

/// @brief Name of a member of the duty: tells where to reach it.
/// @param Reach Its address for peers.
/// @param Run Unique for each run of a process.
[[nodiscard]] std::string dutyMemberName(const SocketAddress &Reach,
                                         std::string_view Run);

/// @brief Reads the address out of a member's name; nothing when it has none.
[[nodiscard]] std::optional<EngineAddress>
reachOfMember(std::string_view Member);

/// @brief Sends and takes notices of silent endpoints. Belongs to one thread.
///
/// A notice may be lost; the record of a dead endpoint lapses a few seconds
/// later in any case. It is a hint, never a proof: whoever gets it asks for
/// itself.
class SilenceNotices {
public:
  /// @brief Listens.
  /// @param Pool Threads; must outlive this.
  /// @param Listen Where other entry hosts reach this one.
  /// @param Where The store; must outlive this.
  /// @param Told Is called with the name of a silent endpoint.
  SilenceNotices(IoPool &Pool, const SocketAddress &Listen, FleetStore &Where,
                 std::function<void(std::string)> Told);

  /// @brief Stops listening and closes connections. Precondition: the pool is
  /// stopped.
  void close();

  /// @brief Tells the driver of the groups that an endpoint is silent.
  /// @param Endpoint Its name.
  [[nodiscard]] Awaitable<void> tell(std::string Endpoint);

private:
  [[nodiscard]] Awaitable<void> take(Exchange &Call);
  [[nodiscard]] Awaitable<std::optional<EngineAddress>> driver();

  FleetStore &Store;
  std::function<void(std::string)> Heard;
  HttpClient Client;
  /// The driver when it was last asked for.
  std::optional<EngineAddress> Known;
  TimePoint KnownUntil{};
  std::optional<HttpServer> Server;
};

} // namespace coltsfoottrail

#endif
