/// @file
/// An entry host on a platform whose endpoints publish themselves.
#ifndef COLTSFOOTTRAIL_FLEETHOST_HOST_HPP
#define COLTSFOOTTRAIL_FLEETHOST_HOST_HPP

#include "coltsfoottrail/boundary/engines.hpp"
#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/boundary/wire.hpp"
#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/dissemination/link.hpp"
#include "coltsfoottrail/fleethost/assemblydesk.hpp"
#include "coltsfoottrail/fleethost/follower.hpp"
#include "coltsfoottrail/fleethost/relay.hpp"
#include "coltsfoottrail/fleethost/settings.hpp"
#include "coltsfoottrail/fleethost/view.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace coltsfoottrail {

/// @brief What reaches the platform; must outlive the host.
struct FleetLinks {
  FleetStore &Store;
  FleetEngines &Engines;
  const HeaderCodec &Wire;
};

/// @brief Wires the parts of an entry host together. All of its work runs on
/// the first thread of the pool.
class FleetHost {
public:
  /// @brief Listens and starts to follow the store.
  /// @param Wanted Checked settings.
  /// @param Pool Threads; must outlive the host.
  /// @param Links The platform.
  /// @throws boost::system::system_error A port cannot be had.
  FleetHost(FleetSettings Wanted, IoPool &Pool, FleetLinks Links);
  FleetHost(const FleetHost &) = delete;
  FleetHost &operator=(const FleetHost &) = delete;
  ~FleetHost();

  /// @brief Begins a planned stop: unready at once, requests go on. Calls back
  /// on the pool's thread once nothing is in progress or the time is used up.
  /// Thread-safe.
  /// @param Done Gets how many requests were cut.
  void stop(std::function<void(std::size_t)> Done);

  /// @brief Lets go of all that belongs to the pool's contexts, and destroys
  /// these. Preconditions: the pool is stopped, and so is all else that uses
  /// it.
  void close();

  /// @brief Port for callers. Thread-safe.
  [[nodiscard]] std::uint16_t callerPort() const noexcept {
    return Front->port();
  }
  /// @brief Port for the question whether this host takes requests.
  /// Thread-safe.
  [[nodiscard]] std::uint16_t readinessPort() const noexcept {
    return Readiness->port();
  }

private:
  void startFollowing();
  [[nodiscard]] DutyRole dutyRole() const noexcept;
  /// Time between two reads of the endpoints' feed by a host that does not
  /// coordinate.
  [[nodiscard]] milliseconds followerSpacing() const noexcept;
  void ingestPage(Feed Which, FeedPage Page, bool Whole, TimePoint AskedAt);
  void readFailed(Feed Which);
  void share(Feed Which, const FeedPage &Page,
             std::span<const RoutingEffect> Effects, bool Whole,
             TimePoint AsOf);
  void deferOwnReads();
  void readAllEndpoints();
  [[nodiscard]] TreeLinkHooks linkHooks();
  [[nodiscard]] Report ownReport() const;
  void applyResponse(const Report &Sent, Response Answer, TimePoint SentAt);
  void applyUpdate(Feed Which, std::optional<Offset> From,
                   const FeedUpdate &Update, TimePoint SentAt);
  [[nodiscard]] FeedPage decodeUpdate(Feed Which, std::optional<Offset> From,
                                      const FeedUpdate &Update) const;
  void readTruncated(Feed Which, const Report &Sent);
  void watchUpstream(TimePoint Now);
  [[nodiscard]] FeedFollower &follower(Feed Which) {
    return Which == Feed::Operators ? Operators : Endpoints;
  }
  void refreshRoutes();
  void reportClosedLeaders();
  void logConfigProof(TimePoint Now);
  void shareBounds(TimePoint Now);
  void shareReads(std::size_t Hosts, TimePoint Now);
  void shareRetries(std::size_t Hosts, TimePoint Now);
  void shareCold(TimePoint Now);
  void leaveSilent(TimePoint Now);
  void reportUnusable(const EndpointName &Which, const std::string &AtFault);
  void settleMoves(TimePoint Now);
  [[nodiscard]] Awaitable<void> tick();
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
  Router Routing;
  HttpClient Client;
  SilenceWatch Silence;
  FleetRelay Relay;
  /// Names this run of the host.
  std::string Member;
  AssemblyDesk Desk;
  FeedFollower Operators;
  FeedFollower Endpoints;
  /// Endpoints that the driver was told of, and when.
  std::map<std::string, TimePoint> Suspected;
  /// Until when seats are expected to move.
  std::optional<TimePoint> MovingUntil;
  std::uint64_t RoutedVersion = 0;
  /// Entry hosts among which bounds are shared; zero before any was heard of.
  std::size_t SharedAmong = 0;
  bool ConfigProved = false;
  milliseconds OwnPause{0};
  TimePoint ShareDue{};
  std::uint64_t LoggedConfig = 0;
  /// Version whose limits on callers are in force.
  std::uint64_t LimitedVersion = 0;
  bool StoreAnswers = true;
  /// When the upstream last relayed endpoints that were new enough to go by.
  TimePoint RelayedAt = BootClock::now();
  TimePoint AbandonAgainAt{};
  milliseconds AbandonPause{0};
  /// Endpoints were read before the configuration that tells engines from plain
  /// services.
  bool EndpointsUnsorted = false;
  bool Stopping = false;
  TreeLink Link;
  std::optional<HttpServer> Front;
  std::optional<HttpServer> Readiness;
  std::optional<HttpServer> MetricsServer;
};

} // namespace coltsfoottrail

#endif
