/// @file
/// Requests that are neither queued nor in flight.
#ifndef COLTSFOOTTRAIL_DISPATCH_HELD_HPP
#define COLTSFOOTTRAIL_DISPATCH_HELD_HPP

#include "coltsfoottrail/core/slotmap.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/dispatch/fwd.hpp"

#include <array>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace coltsfoottrail {

/// @brief Requests that have left the queue and are at no endpoint. Some are
/// held until a point in time, the others until an endpoint suits them. Not
/// thread-safe.
class HeldRequests {
public:
  /// @brief Holds a request until a point in time.
  /// @param RequestBytes Memory that the request occupies.
  void holdUntil(Ticket Id, std::size_t RequestBytes, TimePoint Due);
  /// @brief Holds a request that may be sent at once, no later than
  /// LatestStart.
  /// @param RequestBytes Memory that the request occupies.
  void holdReady(Ticket Id, std::size_t RequestBytes, TimePoint LatestStart);
  /// @brief Holds a request for a slot at one of some endpoints, no longer than
  /// Until.
  /// @param RequestBytes Memory that the request occupies.
  /// @param Endpoints Numbers of the endpoints; those after the fourth are
  /// ignored.
  void holdForEndpoints(Ticket Id, std::size_t RequestBytes, TimePoint Until,
                        std::span<const std::uint32_t> Endpoints);
  /// @brief The request that has waited longest for a slot at an endpoint.
  [[nodiscard]] std::optional<Ticket>
  firstWaitingFor(std::uint32_t Endpoint) const;
  /// @brief Removes a request.
  /// @return Whether it was held.
  bool remove(Ticket Id);
  /// @brief Removes and returns one request whose time has come.
  [[nodiscard]] std::optional<Ticket> popDue(TimePoint Now);
  /// @brief Requests that may be sent, in the order in which they became ready.
  /// @param MaxCount Maximum number of results.
  [[nodiscard]] std::vector<Ticket> ready(std::size_t MaxCount) const;
  /// @brief All held requests.
  [[nodiscard]] std::vector<Ticket> all() const;
  /// @brief When popDue() next returns a request.
  [[nodiscard]] std::optional<TimePoint> earliest() const;
  [[nodiscard]] std::size_t size() const noexcept { return Entries.size(); }
  /// @brief Memory that the held requests occupy.
  [[nodiscard]] std::size_t bytes() const noexcept { return Bytes; }
  /// @brief Requests that wait for a slot at particular endpoints.
  [[nodiscard]] std::size_t endpointWaiters() const noexcept {
    return EndpointWaiters;
  }

private:
  static constexpr std::size_t MaxEndpoints = 4;

  struct Entry {
    TimePoint Due;
    std::uint64_t Order = 0;
    std::size_t Bytes = 0;
    std::array<std::uint32_t, MaxEndpoints> Endpoints{};
    std::size_t EndpointCount = 0;
  };

  Entry &add(Ticket Id, std::size_t RequestBytes, TimePoint Due);

  std::unordered_map<Ticket, Entry> Entries;
  std::map<std::pair<TimePoint, std::uint64_t>, Ticket> Timers;
  std::map<std::uint64_t, Ticket> Ready;
  /// By endpoint, then by order.
  std::map<std::pair<std::uint32_t, std::uint64_t>, Ticket> ByEndpoint;
  std::size_t EndpointWaiters = 0;
  std::uint64_t NextOrder = 0;
  std::size_t Bytes = 0;
};

} // namespace coltsfoottrail

#endif
