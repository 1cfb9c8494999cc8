/// @file
/// Requests that are between two attempts.
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

/// @brief Requests that have left the queue and are at no endpoint: some until
/// a time, the others until one fits. Not thread-safe.
class HeldRequests {
public:
  /// @brief Holds a request until a time.
  /// @param Bytes Memory that it holds.
  void holdUntil(Ticket Which, std::size_t Bytes, TimePoint Due);
  /// @brief Holds a request that may go at once, at the latest at a time.
  /// @param Bytes Memory that it holds.
  void holdReady(Ticket Which, std::size_t Bytes, TimePoint LatestStart);
  /// @brief Holds a request until a time for a place at some endpoints.
  /// @param Bytes Memory that it holds.
  /// @param Endpoints Numbers of the endpoints; more than four are left out.
  void holdFor(Ticket Which, std::size_t Bytes, TimePoint Until,
               std::span<const std::uint32_t> Endpoints);
  /// @brief The request that has waited longest for a place at an endpoint.
  [[nodiscard]] std::optional<Ticket> firstFor(std::uint32_t Endpoint) const;
  /// @brief Takes out a request.
  /// @return Whether it was held.
  bool remove(Ticket Which);
  /// @brief Takes out one request whose time has come.
  [[nodiscard]] std::optional<Ticket> popDue(TimePoint Now);
  /// @brief Those that may go, in the order in which they became ready.
  /// @param Most How many.
  [[nodiscard]] std::vector<Ticket> ready(std::size_t Most) const;
  /// @brief All that are held.
  [[nodiscard]] std::vector<Ticket> all() const;
  /// @brief When popDue() has something next.
  [[nodiscard]] std::optional<TimePoint> earliest() const;
  [[nodiscard]] std::size_t size() const noexcept { return Known.size(); }
  /// @brief Memory that they hold.
  [[nodiscard]] std::size_t bytes() const noexcept { return Bytes; }
  /// @brief Those that wait for a place at some endpoints.
  [[nodiscard]] std::size_t choosy() const noexcept { return Choosy; }

private:
  static constexpr std::size_t MostEndpoints = 4;

  struct Entry {
    TimePoint When;
    std::uint64_t Order = 0;
    std::size_t Bytes = 0;
    std::array<std::uint32_t, MostEndpoints> Endpoints{};
    std::size_t EndpointCount = 0;
  };

  Entry &add(Ticket Which, std::size_t More, TimePoint When);

  std::unordered_map<Ticket, Entry> Known;
  std::map<std::pair<TimePoint, std::uint64_t>, Ticket> Timers;
  std::map<std::uint64_t, Ticket> Ready;
  /// By endpoint, then by order.
  std::map<std::pair<std::uint32_t, std::uint64_t>, Ticket> ByEndpoint;
  std::size_t Choosy = 0;
  std::uint64_t NextOrder = 0;
  std::size_t Bytes = 0;
};

} // namespace coltsfoottrail

#endif
