/// @file
/// The endpoints known to this host.
#ifndef COLTSFOOTTRAIL_FLEET_CATALOGUE_HPP
#define COLTSFOOTTRAIL_FLEET_CATALOGUE_HPP

#include "coltsfoottrail/fleet/endpoint.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace coltsfoottrail {

/// @brief An endpoint and the state of its record.
struct KnownEndpoint {
  EndpointRecord Record;
  /// When its record was last received.
  TimePoint LastPublishedAt;
  /// When a record that it wrote anew was last received: a record that is read
  /// again says nothing of what has happened since.
  TimePoint LastWrittenAt;
  /// Whether the endpoint is cold and can take only little work, and until
  /// when.
  bool Cold = false;
  TimePoint ColdUntil;
  /// Set if its record was removed soon after an outage of the store: the
  /// endpoint is dropped at this time unless it publishes itself again.
  std::optional<TimePoint> RemovalDeferredUntil;
};

/// @brief Tracks the endpoints' records. Pure; not thread-safe.
///
/// Failure guarded against: while the store is away the records of live
/// endpoints lapse, and on its return every host would drop the whole fleet for
/// the two seconds that the endpoints need to publish themselves again.
/// Removals within the settling time after an outage are therefore deferred
/// until it ends; an endpoint that is still missing then is dropped. An
/// endpoint that has published itself since the return and is removed after
/// that has left, and is dropped at once.
class EndpointCatalogue {
public:
  /// How long removals are deferred after the return of the store: the platform
  /// guarantees that lapsed records are back within about two seconds.
  static constexpr Duration SettleTime = milliseconds(2500);

  /// @brief Adds or updates a record. Older ones are ignored, and so are those
  /// that cannot be of the same run of the endpoint: its service and its place
  /// in the fabric stay as they are.
  /// @return Whether anything that matters to routing changed.
  bool publish(EndpointRecord Record, TimePoint Now);
  /// @brief Handles the removal of a record.
  /// @return Whether the endpoint was dropped at once.
  bool remove(const EndpointName &Name, TimePoint Now);
  /// @brief Handles the removal of all records that are not in a complete
  /// listing.
  /// @param Present Names of all endpoints that have a record.
  void retain(const std::set<EndpointName> &Present, TimePoint Now);
  /// @brief Starts the settling time: the store answers again after an outage.
  void storeReturned(TimePoint Now) noexcept {
    StoreReturnedAt = Now;
    SettlesAt = Now + SettleTime;
  }
  /// @brief Whether live endpoints may not have published themselves again yet
  /// since the store's return. Thread-compatible.
  [[nodiscard]] bool isSettling(TimePoint Now) const noexcept {
    return Now < SettlesAt;
  }
  /// @brief Whether a record was received before the store's return, so that
  /// changes of its endpoint during the outage may still be unknown.
  /// Thread-compatible.
  [[nodiscard]] bool mayBeStale(const KnownEndpoint &Endpoint,
                                TimePoint Now) const noexcept {
    return isSettling(Now) && Endpoint.LastPublishedAt <= StoreReturnedAt;
  }
  /// @brief Drops endpoints whose deferred removal is due, and ends the cold
  /// time of others.
  /// @return Names of the dropped endpoints.
  std::vector<EndpointName> advance(TimePoint Now);

  /// @brief Finds an endpoint; null if it is unknown.
  [[nodiscard]] const KnownEndpoint *find(const EndpointName &Name) const;
  /// @brief All endpoints by name.
  [[nodiscard]] const std::map<EndpointName, KnownEndpoint> &
  all() const noexcept {
    return Endpoints;
  }
  /// @brief Version that grows with each change that matters to routing.
  [[nodiscard]] std::uint64_t version() const noexcept { return Version; }

private:
  std::map<EndpointName, KnownEndpoint> Endpoints;
  TimePoint StoreReturnedAt{};
  TimePoint SettlesAt{};
  std::uint64_t Version = 0;
};

} // namespace coltsfoottrail

#endif
