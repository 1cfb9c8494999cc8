/// @file
/// An entry host's view of the fleet, and how recent it is.
#ifndef COLTSFOOTTRAIL_FLEETHOST_VIEW_HPP
#define COLTSFOOTTRAIL_FLEETHOST_VIEW_HPP

#include "coltsfoottrail/availability/availability.hpp"
#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/fleet/catalogue.hpp"
#include "coltsfoottrail/fleet/routeindex.hpp"
#include "coltsfoottrail/fleethost/settings.hpp"
#include "coltsfoottrail/route/table.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace coltsfoottrail {

using RouteIndexPtr = std::shared_ptr<const RouteIndex>;

/// @brief Routes and endpoint shares for the router, derived from the view.
struct FleetRoutes {
  RouteTable Table;
  std::map<std::string, std::uint32_t> Shares;
};

/// @brief Number of endpoints by state, as this host sees them.
struct EndpointTally {
  std::uint32_t Serving = 0;
  std::uint32_t Draining = 0;
  std::uint32_t Cold = 0;
  /// Leaders of groups that serve requests.
  std::uint32_t Leaders = 0;
};

/// @brief One entry host's view of configuration, drained data centres and
/// endpoints. Pure; belongs to one thread. Times must not go back.
class FleetView {
public:
  /// @brief Starts empty.
  /// @param Bounds The platform's time limits.
  explicit FleetView(const FleetBounds &Bounds) : Bounds(Bounds) {}

  /// @brief Applies a page of a feed.
  /// @param FeedId The feed that was read.
  /// @param Page The page.
  /// @param IsSnapshot Whether the page holds the newest value of every key.
  /// @param RequestedAt When the request left this host: the page is at least
  /// as recent.
  /// @return The effect of each change on routing.
  std::vector<RoutingEffect> ingest(Feed FeedId, FeedPage Page, bool IsSnapshot,
                                    TimePoint RequestedAt, TimePoint Now);
  /// @brief Records an answer of the store that holds no page.
  /// @param RequestedAt When the request left this host.
  void recordAnswer(TimePoint RequestedAt) noexcept {
    StoreAnsweredAsOf = std::max(StoreAnsweredAsOf, RequestedAt);
  }
  /// @brief Records that the store did not answer a read, or has not done so
  /// for longer than usual.
  /// @param RequestedAt When the request left this host.
  void recordNoAnswer(TimePoint RequestedAt) noexcept {
    NoAnswerAsOf = std::max(NoAnswerAsOf, RequestedAt);
  }
  /// @brief Longest time between two failed reads for which a configuration
  /// beyond its bound stays trusted; empty if it is not trusted any longer.
  [[nodiscard]] std::optional<Duration>
  failedReadsWithin(TimePoint Now) const noexcept;
  /// How long an endpoint with stalled streams gets no new requests. By then
  /// the coordinator has probed its members and closed it, or it is healthy.
  static constexpr Duration SilentSuspension = milliseconds(2'000);
  /// The same for an endpoint that cannot serve until its group is formed
  /// again; while the store is unavailable it is retried only this often.
  static constexpr Duration UnusableSuspension = milliseconds(8'000);

  /// @brief Gives an endpoint no new requests for a while, or until its record
  /// shows that its process restarted or that its group changed.
  void suspend(const EndpointName &Name, Duration Span, TimePoint Now);
  /// @brief Ends the suspension of an endpoint, if any.
  void resume(const EndpointName &Name);
  /// @brief Whether an endpoint currently gets no new requests.
  [[nodiscard]] bool isSuspended(const EndpointName &Name) const {
    return Suspended.contains(Name);
  }
  /// @brief Takes an endpoint for draining, whatever its records say.
  /// @param Process processName() of its process.
  /// @return Whether it changed anything.
  bool recordLeaving(const std::string &Process, TimePoint Now);

  /// @brief Whether an endpoint may be cold: according to its record, or
  /// because its data centre has just been returned to service.
  [[nodiscard]] bool mayBeCold(const KnownEndpoint &Entry) const {
    return Entry.Cold || RecentlyReturned.contains(Entry.Record.DataCentre);
  }
  /// @brief A leader that closed its group while its process keeps running.
  struct ClosedLeader {
    std::string Pool;
    /// Its endpoint key while it was leader.
    std::string Key;
  };
  /// @brief Returns the leaders that closed since the last call.
  [[nodiscard]] std::vector<ClosedLeader> takeClosed() {
    return std::exchange(Closed, {});
  }

  /// @brief Applies expiries that depend on time alone.
  void advance(TimePoint Now);

  /// @brief The configuration in force; null before the first one.
  [[nodiscard]] const RouteIndexPtr &config() const noexcept { return Index; }
  /// @brief The known endpoints.
  [[nodiscard]] const EndpointCatalogue &endpoints() const noexcept {
    return Catalogue;
  }
  /// @brief When the records of all endpoints were requested from the store;
  /// the clock's epoch while only those are known that routing needs.
  [[nodiscard]] TimePoint allEndpointsAsOf() const noexcept {
    return KnowsAllEndpoints ? EndpointsAsOf : TimePoint{};
  }
  /// @brief Whether the view includes the endpoints that routing does not need,
  /// as far as they have been read.
  [[nodiscard]] bool knowsAllEndpoints() const noexcept {
    return KnowsAllEndpoints;
  }
  /// @brief Drained data centres, which get no new requests.
  [[nodiscard]] const std::set<DataCentreName> &drained() const noexcept {
    return Drained;
  }
  /// @brief Whether credentials can be trusted: this host would know of any
  /// withdrawal that must be in force by now, and its configuration is within
  /// its bound or the store does not answer.
  [[nodiscard]] bool credentialsFresh(TimePoint Now) const noexcept;
  /// @brief Whether routes can be trusted: if there is a newer configuration
  /// that this host does not know, it need not be in force yet.
  [[nodiscard]] bool routesFresh(TimePoint Now) const noexcept;
  /// @brief Age of the last proof that the configuration is current.
  [[nodiscard]] Duration configAge(TimePoint Now) const noexcept {
    return Now - ConfigAsOf;
  }
  /// @brief Whether callers can be served at all.
  [[nodiscard]] bool ready(TimePoint Now) const noexcept {
    return Index && EndpointsKnown && credentialsFresh(Now);
  }
  /// @brief Increases with each change that routes depend on.
  [[nodiscard]] std::uint64_t version() const noexcept {
    return Changes + Catalogue.version();
  }

  /// @brief Sets whether the priorities of routes and teams give requests
  /// precedence when there are too few slots. They do not at first.
  void setRanks(bool AreUsed) noexcept { UsesRanks = AreUsed; }
  /// @brief Ranks of the requests to a service, the most urgent first; none if
  /// ranks are not used or there is no configuration.
  [[nodiscard]] std::vector<PoolRank> ranks(const ServiceName &Service) const {
    return UsesRanks && Index ? Index->ranks(Service) : std::vector<PoolRank>{};
  }

  /// @brief Names of the pools of each service.
  [[nodiscard]] std::map<ServiceName, std::vector<std::string>> pools() const;

  /// @brief Counts the endpoints by state.
  [[nodiscard]] EndpointTally tally() const;

  /// @brief Builds the routes.
  [[nodiscard]] FleetRoutes routes() const;

  /// Concurrent requests that one entry host may have at a cold endpoint when
  /// it is admitted.
  static constexpr std::uint32_t ColdShare = 1;

  /// @brief Name of one run of an endpoint's process.
  [[nodiscard]] static std::string processName(const EndpointRecord &Record);

  /// @brief Key of an endpoint that is unique for each run of its process and
  /// each group that it belongs to.
  [[nodiscard]] static std::string endpointKey(const EndpointRecord &Record);

  /// @brief Name of the pool of a service's endpoints, or of a model's groups.
  /// @param Model Empty for services without models.
  [[nodiscard]] static std::string poolName(const ServiceName &Service,
                                            const ModelName &Model);

private:
  bool apply(ConfigPublished Change);
  bool publish(EndpointRecord Record, TimePoint Now);
  void recordClosing(const EndpointRecord &Previous,
                     const EndpointRecord &Current);
  [[nodiscard]] RoutingEffect effectOf(FleetChange &Change, bool IsSnapshot,
                                       TimePoint Now);
  /// @return Whether a change of the operators' feed cannot be read.
  [[nodiscard]] bool noteUnreadable(const FleetChange &Change);
  [[nodiscard]] bool isRoutable(const EndpointName &Name) const;
  void recordRead(TimePoint Now);
  [[nodiscard]] bool applyOne(FleetChange &Change, TimePoint Now);
  void retainEndpoints(const FeedPage &Page, TimePoint Now);
  void retainDrains(const FeedPage &Page, TimePoint Now);
  bool returnDataCentre(const DataCentreName &DataCentre, TimePoint Now);
  void addPaces(FleetRoutes &Result) const;
  void addEndpoint(const KnownEndpoint &Entry, FleetRoutes &Result) const;

  FleetBounds Bounds;
  bool UsesRanks = false;
  EndpointCatalogue Catalogue;
  RouteIndexPtr Index;
  std::set<DataCentreName> Drained;
  /// Data centres that were recently returned to service, and until when their
  /// endpoints count as cold.
  std::map<DataCentreName, TimePoint> RecentlyReturned;
  TimePoint ConfigAsOf{};
  /// Whether the newest configuration cannot be read, so that nothing proves
  /// that the one in force is current.
  bool HasUnreadableConfig = false;
  /// Offset behind the operators' records that were applied.
  Offset OperatorsNext = 0;
  /// When the last request that the store answered was sent, whether or not the
  /// response reached the end of a feed.
  TimePoint StoreAnsweredAsOf{};
  /// When the last request that the store did not answer was sent.
  TimePoint NoAnswerAsOf{};
  bool EndpointsKnown = false;
  bool KnowsAllEndpoints = false;
  TimePoint EndpointsAsOf{};
  std::uint64_t Changes = 0;
  std::map<EndpointName, TimePoint> Suspended;
  /// Processes that have said in a response that they leave, and until when
  /// they are remembered.
  std::map<std::string, TimePoint> Leaving;
  std::vector<ClosedLeader> Closed;
  /// When the endpoints' feed was last read.
  std::optional<TimePoint> EndpointsReadAt;
};

} // namespace coltsfoottrail

#endif
