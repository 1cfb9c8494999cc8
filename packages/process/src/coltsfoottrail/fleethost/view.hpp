/// @file
/// What an entry host believes of the platform, and since when.
#ifndef COLTSFOOTTRAIL_FLEETHOST_VIEW_HPP
#define COLTSFOOTTRAIL_FLEETHOST_VIEW_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/fleet/catalogue.hpp"
#include "coltsfoottrail/fleet/routeindex.hpp"
#include "coltsfoottrail/fleethost/settings.hpp"
#include "coltsfoottrail/route/table.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coltsfoottrail {

using RouteIndexPtr = std::shared_ptr<const RouteIndex>;

/// @brief Routes and shares for the router, made from the beliefs.
struct FleetRoutes {
  RouteTable Table;
  std::map<std::string, std::uint32_t> Shares;
};

/// @brief Endpoints by what this host believes of them.
struct EndpointTally {
  std::uint32_t Serving = 0;
  std::uint32_t Draining = 0;
  std::uint32_t Cold = 0;
  /// Leaders of groups that serve.
  std::uint32_t Leaders = 0;
};

/// @brief The beliefs of one entry host. Pure; belongs to one thread. Times
/// must not go back.
class FleetView {
public:
  /// @brief Starts without beliefs.
  /// @param Given The platform's bounds.
  explicit FleetView(const FleetBounds &Bounds) : Bounds(Bounds) {}

  /// @brief Takes a part of a feed.
  /// @param FeedId The feed.
  /// @param Page What was read.
  /// @param Whole Whether it holds the newest value of every key.
  /// @param AskedAt When the question left this host: the page is at least as
  /// new.
  /// @return For each change, what it means to routing.
  std::vector<RoutingEffect> ingest(Feed FeedId, FeedPage Page, bool IsSnapshot,
                                    TimePoint RequestedAt, TimePoint Now);
  /// How long a silent endpoint gets nothing new. By then the coordinator has
  /// asked its members and closed it, or it is sound.
  static constexpr Duration SilentSuspension = milliseconds(2'000);
  /// The same for one that cannot serve until its group is formed anew; while
  /// the store is away it is tried again this seldom.
  static constexpr Duration UnusableSuspension = milliseconds(8'000);

  /// @brief An endpoint gets nothing new for a while, or until its record shows
  /// another life or group.
  void suspend(const EndpointName &Name, Duration Span, TimePoint Now);
  /// @brief Whether an endpoint gets nothing new for now.
  [[nodiscard]] bool isSuspended(const EndpointName &Name) const {
    return Suspended.contains(Name);
  }
  /// @brief Whether an endpoint may be cold: by its record, or because its data
  /// centre has just been returned.
  [[nodiscard]] bool mayBeCold(const KnownEndpoint &Entry) const {
    return Entry.Cold || RecentlyReturned.contains(Entry.Record.DataCentre);
  }
  /// @brief A leader that closed its group while its process lives on.
  struct ClosedLeader {
    std::string Pool;
    /// Its key while it led.
    std::string Key;
  };
  /// @brief Hands out the leaders that closed since the last call.
  [[nodiscard]] std::vector<ClosedLeader> takeClosed() {
    return std::exchange(Closed, {});
  }

  /// @brief Does what time alone brings.
  void advance(TimePoint Now);

  /// @brief The configuration in force; null before the first.
  [[nodiscard]] const RouteIndexPtr &config() const noexcept { return Index; }
  /// @brief The endpoints.
  [[nodiscard]] const EndpointCatalogue &endpoints() const noexcept {
    return Catalogue;
  }
  /// @brief When the store was asked for the records of all endpoints; the
  /// beginning of time while only those are known that matter to routing.
  [[nodiscard]] TimePoint allEndpointsAsOf() const noexcept {
    return KnowsAllEndpoints ? EndpointsAsOf : TimePoint{};
  }
  /// @brief Whether the records of all endpoints are known, as far as they have
  /// been read.
  [[nodiscard]] bool knowsAllEndpoints() const noexcept {
    return KnowsAllEndpoints;
  }
  /// @brief Data centres that get no new work.
  [[nodiscard]] const std::set<DataCentreName> &drained() const noexcept {
    return Drained;
  }
  /// @brief Whether credentials can be trusted: this host would know of a
  /// withdrawal that is old enough to bind.
  [[nodiscard]] bool credentialsFresh(TimePoint Now) const noexcept;
  /// @brief Whether routes can be trusted: a newer configuration that this host
  /// does not know is not yet in force everywhere.
  [[nodiscard]] bool routesFresh(TimePoint Now) const noexcept;
  /// @brief How old the configuration may be.
  [[nodiscard]] Duration configAge(TimePoint Now) const noexcept {
    return Now - ConfigAsOf;
  }
  /// @brief Whether callers can be served at all.
  [[nodiscard]] bool ready(TimePoint Now) const noexcept {
    return Index && EndpointsKnown && credentialsFresh(Now);
  }
  /// @brief Grows with each change that routes depend on.
  [[nodiscard]] std::uint64_t version() const noexcept {
    return Changes + Catalogue.version();
  }

  /// @brief Pools of each service.
  [[nodiscard]] std::map<ServiceName, std::vector<std::string>> pools() const;

  /// @brief Counts the endpoints by state.
  [[nodiscard]] EndpointTally tally() const;

  /// @brief Makes the routes.
  [[nodiscard]] FleetRoutes routes() const;

  /// Requests that one entry host may have in progress at a cold endpoint whose
  /// turn has come.
  static constexpr std::uint32_t ColdShare = 1;

  /// @brief Names an endpoint in its life and seat.
  [[nodiscard]] static std::string endpointKey(const EndpointRecord &Record);

  /// @brief Name of the pool of a service's endpoints, or of a model's groups.
  /// @param Model Empty for plain services.
  [[nodiscard]] static std::string poolName(const ServiceName &Service,
                                            const ModelName &Model);

private:
  bool apply(ConfigPublished Change);
  bool publish(EndpointRecord Record, TimePoint Now);
  void recordClosing(const EndpointRecord &Previous,
                     const EndpointRecord &Current);
  [[nodiscard]] RoutingEffect effectOf(FleetChange &Change, bool IsSnapshot,
                                       TimePoint Now);
  [[nodiscard]] bool isRoutable(const EndpointName &Name) const;
  void recordRead(TimePoint Now);
  [[nodiscard]] bool applyOne(FleetChange &Change, TimePoint Now);
  void retainEndpoints(const FeedPage &Page, TimePoint Now);
  void retainDrains(const FeedPage &Page, TimePoint Now);
  bool returnDataCentre(const DataCentreName &DataCentre, TimePoint Now);
  void addPaces(FleetRoutes &Result) const;
  void addEndpoint(const KnownEndpoint &Entry, FleetRoutes &Result) const;

  FleetBounds Bounds;
  EndpointCatalogue Catalogue;
  RouteIndexPtr Index;
  std::set<DataCentreName> Drained;
  /// Data centres that were returned, and until when that matters.
  std::map<DataCentreName, TimePoint> RecentlyReturned;
  TimePoint ConfigAsOf{};
  /// When the store was asked last for what it answered, the end of a feed
  /// reached or not.
  TimePoint StoreAnsweredAsOf{};
  bool EndpointsKnown = false;
  bool KnowsAllEndpoints = false;
  TimePoint EndpointsAsOf{};
  std::uint64_t Changes = 0;
  std::map<EndpointName, TimePoint> Suspended;
  std::vector<ClosedLeader> Closed;
  /// When the endpoints' feed was last read.
  std::optional<TimePoint> EndpointsReadAt;
};

} // namespace coltsfoottrail

#endif
