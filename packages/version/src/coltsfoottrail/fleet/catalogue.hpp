/// @file
/// The endpoints that are there, as far as this host knows.
#ifndef COLTSFOOTTRAIL_FLEET_CATALOGUE_HPP
#define COLTSFOOTTRAIL_FLEET_CATALOGUE_HPP

#include "coltsfoottrail/fleet/endpoint.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace coltsfoottrail {

/// @brief An endpoint and when it was learned of.
struct KnownEndpoint {
  EndpointRecord Record;
  /// When its record last changed or came again.
  TimePoint LastPublishedAt;
  /// Whether it bears only a little work, and until when.
  bool Cold = false;
  TimePoint ColdUntil;
  /// The store dropped it while the store was not sound: it is taken for gone
  /// at this time unless it comes back.
  std::optional<TimePoint> RemovalDeferredUntil;
};

/// @brief Follows the endpoints' records. Pure; not thread-safe.
///
/// Failure guarded against: while the store is away the entries of live
/// endpoints lapse, and on its return every host would drop the whole fleet for
/// the two seconds that the endpoints need to publish themselves again.
/// Removals within the settling time after an outage are held back until it
/// ends; an endpoint that is still missing then is gone. One that has published
/// itself since the return and is removed after that has left.
class EndpointCatalogue {
public:
  /// How long after the store's return removals are held back: the platform
  /// promises lapsed entries again within about two seconds.
  static constexpr Duration SettleTime = milliseconds(2500);

  /// @brief Takes a record.
  /// @return Whether something other than its time changed.
  bool publish(EndpointRecord Record, TimePoint Now);
  /// @brief Takes a removal.
  /// @return Whether the endpoint is gone at once.
  bool remove(const EndpointName &Name, TimePoint Now);
  /// @brief Drops what is not among the newest records.
  /// @param Present All names that have a record.
  void retain(const std::set<EndpointName> &Present, TimePoint Now);
  /// @brief The store answers again after it did not.
  void storeReturned(TimePoint Now) noexcept {
    ReturnedAt = Now;
    SettledAt = Now + SettleTime;
  }
  /// @brief Whether live endpoints may not have published themselves again yet
  /// since the store's return. Thread-compatible.
  [[nodiscard]] bool isSettling(TimePoint Now) const noexcept {
    return Now < SettledAt;
  }
  /// @brief Whether a record was written before the store's return, so that
  /// what happened to its endpoint during the outage may still be unknown.
  /// Thread-compatible.
  [[nodiscard]] bool mayBeStale(const KnownEndpoint &Which,
                                TimePoint Now) const noexcept {
    return isSettling(Now) && Which.LastPublishedAt <= ReturnedAt;
  }
  /// @brief Drops endpoints that are still missing, and lets cold ones warm up.
  /// @return Names of those dropped.
  std::vector<EndpointName> advance(TimePoint Now);

  /// @brief Finds an endpoint; null when it is not there.
  [[nodiscard]] const KnownEndpoint *find(const EndpointName &Name) const;
  /// @brief All endpoints by name.
  [[nodiscard]] const std::map<EndpointName, KnownEndpoint> &
  all() const noexcept {
    return Known;
  }
  /// @brief Grows with each change that matters to routing.
  [[nodiscard]] std::uint64_t version() const noexcept { return Changes; }

private:
  std::map<EndpointName, KnownEndpoint> Known;
  TimePoint ReturnedAt{};
  TimePoint SettledAt{};
  std::uint64_t Changes = 0;
};

} // namespace coltsfoottrail

#endif
