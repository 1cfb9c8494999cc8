/// @file
/// An entry host on a platform where endpoints register themselves in a store.
#ifndef COLTSFOOTTRAIL_FLEETHOST_HOST_HPP
#define COLTSFOOTTRAIL_FLEETHOST_HOST_HPP

#include "coltsfoottrail/boundary/engines.hpp"
#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/boundary/wire.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/demand/meter.hpp"
#include "coltsfoottrail/dissemination/link.hpp"
#include "coltsfoottrail/fleethost/callerproxy.hpp"
#include "coltsfoottrail/fleethost/follower.hpp"
#include "coltsfoottrail/fleethost/groupcoordinator.hpp"
#include "coltsfoottrail/fleethost/settings.hpp"
#include "coltsfoottrail/fleethost/treeevidence.hpp"
#include "coltsfoottrail/fleethost/view.hpp"
#include "coltsfoottrail/logging/log.hpp"
#include "coltsfoottrail/reach/forwarding.hpp"
#include "coltsfoottrail/server/availabilityreport.hpp"
#include "coltsfoottrail/server/ratelimitreport.hpp"
#include "coltsfoottrail/server/retryreport.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace coltsfoottrail {

/// @brief Interfaces to the platform; the referenced objects must outlive the
/// host.
struct FleetLinks {
  FleetStore &Store;
  FleetEngines &Engines;
  const HeaderCodec &Wire;
  /// Opens connections to endpoints.
  Dialer &Endpoints;
};

/// @brief Connects the components of an entry host. All of its work runs on the
/// first thread of the pool.
class FleetHost {
public:
  /// @brief Starts to listen for callers and to follow the store.
  /// @param InitialSettings Validated settings.
  /// @param Pool Threads; must outlive the host.
  /// @param Links Interfaces to the platform.
  /// @throws boost::system::system_error A port cannot be opened.
  FleetHost(FleetSettings InitialSettings, IoPool &Pool, FleetLinks Links);
  FleetHost(const FleetHost &) = delete;
  FleetHost &operator=(const FleetHost &) = delete;
  ~FleetHost();

  /// @brief Begins a planned stop: readiness fails at once while requests go
  /// on. Calls back on the pool's thread once no request is in progress or the
  /// time is up. Thread-safe.
  /// @param Done Receives the number of requests that were cut.
  void stop(std::function<void(std::size_t)> Done);

  /// @brief Releases everything that belongs to the pool's contexts, and
  /// destroys the contexts. Preconditions: the pool is stopped, and so is
  /// everything else that uses it.
  void close();

  /// @brief Demand of this host and of all that report to it: on the
  /// coordinator, of all hosts. No host is included unless the division follows
  /// the demand. To be called on the first thread of the pool.
  [[nodiscard]] DemandSum demand(TimePoint Now) const {
    return Link.demand(Now);
  }

  /// @brief Port for callers. Thread-safe.
  [[nodiscard]] std::uint16_t callerPort() const noexcept {
    return Front->port();
  }
  /// @brief Port of the readiness check.
  [[nodiscard]] std::uint16_t readinessPort() const noexcept {
    return Readiness->port();
  }

private:
  /// Per second.
  static constexpr std::uint32_t MaxPeerNoticesLogged = 64;
  /// In ten seconds.
  static constexpr std::uint32_t MaxUnreadableLogged = 8;

  void startFollowing();
  [[nodiscard]] DutyRole dutyRole() const noexcept;
  /// Interval between reads of the endpoints' feed by a host that does not
  /// coordinate.
  [[nodiscard]] milliseconds followerSpacing() const noexcept;
  void storeAnswered(Feed FeedId, TimePoint RequestedAt);
  void ingestPage(Feed FeedId, FeedPage Page, bool IsSnapshot,
                  TimePoint RequestedAt);
  void readFailed(Feed FeedId, TimePoint RequestedAt);
  void recordOverdue(TimePoint Now);
  void shareFeed(Feed FeedId, const FeedPage &Page,
                 std::span<const RoutingEffect> Effects, bool IsSnapshot,
                 TimePoint AsOf);
  void deferOwnReads();
  void endDeferrals();
  void readAllEndpoints();
  [[nodiscard]] TreeLinkHooks linkHooks();
  [[nodiscard]] Report ownReport() const;
  void applyResponse(const Report &SentReport, Response Answer,
                     TimePoint SentAt);
  void applyUpdate(Feed FeedId, std::optional<Offset> From,
                   const FeedUpdate &Update, TimePoint SentAt);
  [[nodiscard]] FeedPage decodeUpdate(Feed FeedId, std::optional<Offset> From,
                                      const FeedUpdate &Update) const;
  void readTruncated(Feed FeedId, const Report &SentReport);
  void watchUpstream(TimePoint Now, bool LeaseHeard);
  [[nodiscard]] FeedFollower &follower(Feed FeedId) {
    return FeedId == Feed::Operators ? Operators : Endpoints;
  }
  void startTasks();
  void refreshRoutes();
  void refreshReach();
  void trackReach(TimePoint Now);
  void handleReachChange(const ReachChange &Change);
  void leaveSilentConnections(const CutOffBegan &Cut);
  void reportClosedLeaders();
  void logConfigFreshness(TimePoint Now);
  void shareLimits(TimePoint Now);
  void limitFailedReads(std::size_t Hosts, TimePoint Now);
  void limitRetries(std::size_t Hosts, TimePoint Now);
  void followDemand();
  void shareDemand(TimePoint Now);
  [[nodiscard]] std::map<std::uint64_t, std::string> poolNames() const;
  void openColdEndpoints(TimePoint Now);
  void suspendSilent(TimePoint Now);
  void reportUnusable(const EndpointName &Endpoint, const std::string &AtFault);
  void followAvailability(TimePoint Now);
  void endFastReads(TimePoint Now);
  [[nodiscard]] Awaitable<void> tick();
  /// The steps of a planned stop.
  struct StopTimes {
    /// No connection is accepted from here on, and idle ones are closed.
    TimePoint Close;
    /// What has not run and waits is refused from here on: its caller needs the
    /// rest of its time to be served elsewhere.
    TimePoint RefuseWaiting;
    /// Requests that are still in progress get their last answer.
    TimePoint LastAnswer;
    /// The process ends.
    TimePoint End;
  };
  [[nodiscard]] StopTimes stopTimes(TimePoint StartedAt) const;
  [[nodiscard]] Awaitable<void> leaveDuty();
  [[nodiscard]] Awaitable<void> awaitEnd(TimePoint Until);
  [[nodiscard]] Awaitable<void> runStop(std::function<void(std::size_t)> Done);
  [[nodiscard]] Awaitable<void> answerReadiness(Exchange &Call);
  [[nodiscard]] Awaitable<void> answerMetrics(Exchange &Call);
  [[nodiscard]] std::string metricsText() const;
  [[nodiscard]] ServerHooks frontHooks();

  FleetSettings Settings;
  IoPool &Threads;
  FleetLinks Platform;
  FleetView View;
  Random Draw;
  /// A crash comes with a notice from each host that had requests there.
  EventSampler PeerNoticeLog{MaxPeerNoticesLogged, seconds(1)};
  EventSampler UnreadableLog{MaxUnreadableLogged, seconds(10)};
  TreeEvidence Evidence;
  ForwardingService Forwarding;
  Router Routing;
  HttpClient Client;
  StallDetector Silence;
  RetryReport Retries;
  RateLimitReport RateLimits;
  AvailabilityReport Availability;
  /// Empty unless the division follows the demand.
  std::optional<DemandMeter> Demand;
  CallerProxy Proxy;
  /// Name of this run of the host.
  std::string Member;
  GroupCoordinator Coordinator;
  FeedFollower Operators;
  FeedFollower Endpoints;
  /// When endpoints were suspended because their streams had stalled.
  std::map<EndpointName, TimePoint> SilencedAt;
  /// When stalled endpoints were reported to the coordinator.
  std::map<std::string, TimePoint> StallsReportedAt;
  /// Until when records with changed seats are expected.
  std::optional<TimePoint> SeatChangesUntil;
  std::uint64_t RoutedVersion = 0;
  /// Number of entry hosts among which limits are divided; zero before any was
  /// heard of.
  std::size_t LastEntryHosts = 0;
  bool ConfigWasFresh = false;
  milliseconds FailedReadPause{0};
  TimePoint NextShareAt{};
  TimePoint NextDemandAt{};
  std::uint64_t LoggedConfig = 0;
  /// Configuration version whose limits on callers are applied.
  std::uint64_t LimitedVersion = 0;
  bool StoreAnswers = true;
  /// When the upstream last relayed endpoint records that were recent enough to
  /// use.
  TimePoint EndpointsRelayedAt = BootClock::now();
  TimePoint NextAbandonAt{};
  milliseconds AbandonPause{0};
  /// Endpoints were read before the configuration that distinguishes engines
  /// from plain services.
  bool EndpointsReadBeforeConfig = false;
  bool Stopping = false;
  /// The coordinator lease was given up, or the store did not answer.
  bool HasLeft = false;
  TreeLink Link;
  std::optional<HttpServer> Front;
  std::optional<HttpServer> Readiness;
  std::optional<HttpServer> MetricsServer;
};

} // namespace coltsfoottrail

#endif
