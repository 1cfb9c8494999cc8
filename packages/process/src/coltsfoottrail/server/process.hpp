/// @file
/// The entry host process: owns all of its parts.
#ifndef COLTSFOOTTRAIL_SERVER_PROCESS_HPP
#define COLTSFOOTTRAIL_SERVER_PROCESS_HPP

#include "coltsfoottrail/adapter/engines.hpp"
#include "coltsfoottrail/adapter/log.hpp"
#include "coltsfoottrail/mesh/mesh.hpp"
#include "coltsfoottrail/server/agreedstream.hpp"
#include "coltsfoottrail/server/availabilityreport.hpp"
#include "coltsfoottrail/server/claimdriver.hpp"
#include "coltsfoottrail/server/groupdriver.hpp"
#include "coltsfoottrail/server/membershipdriver.hpp"
#include "coltsfoottrail/server/meshevidence.hpp"
#include "coltsfoottrail/server/operatorapi.hpp"
#include "coltsfoottrail/server/ratelimitreport.hpp"
#include "coltsfoottrail/server/relay.hpp"
#include "coltsfoottrail/server/retryreport.hpp"
#include "coltsfoottrail/settings/settings.hpp"
#include "coltsfoottrail/telemetry/metrics.hpp"

#include <memory>
#include <thread>

namespace coltsfoottrail {

/// @brief Thrown if the port for peers cannot be opened.
class PortError : public Error {
public:
  using Error::Error;
};

/// @brief An entry host.
class EntryHostProcess {
public:
  /// @brief Opens the ports and starts to follow the log.
  /// @param Wanted Validated settings.
  /// @throws boost::system::system_error A port for callers or operators is
  /// already in use.
  /// @throws PortError The port for peers is already in use.
  explicit EntryHostProcess(Settings Wanted);
  EntryHostProcess(const EntryHostProcess &) = delete;
  EntryHostProcess &operator=(const EntryHostProcess &) = delete;
  /// @brief Stops immediately and cuts requests that are still in progress.
  ~EntryHostProcess();

  /// @brief Port for callers. Thread-safe.
  [[nodiscard]] std::uint16_t callerPort() const noexcept;
  /// @brief Port for operators. Thread-safe.
  [[nodiscard]] std::uint16_t operatorPort() const noexcept;
  /// @brief Whether the load balancer may send requests to this host.
  /// Thread-safe.
  [[nodiscard]] bool ready() const;
  /// @brief The newest agreed state. Thread-safe.
  [[nodiscard]] StatePtr state() const { return Agreed.state(); }
  /// @brief Whether the state of this host is fresh enough to start work.
  /// Thread-safe.
  [[nodiscard]] Freshness freshness() const {
    return Agreed.freshness(BootClock::now());
  }
  /// @brief Counts of responses by outcome. Thread-safe.
  [[nodiscard]] const RelayCounters &counters() const noexcept {
    return CallerRelay.counters();
  }
  /// @brief Number of connected peers. Thread-safe.
  [[nodiscard]] std::size_t peers() const { return Peers.connected().size(); }
  /// @brief Sets the callback for the removal of this run from the members by
  /// its peers; the process must then be stopped and restarted. Thread-safe.
  /// @param Callback Called once, on the control thread.
  void onRunRemoved(std::function<void()> Callback);

  /// @brief Performs a planned stop: the host becomes unready at once, refuses
  /// new requests after the grace period, and lets requests in progress finish
  /// until the time limit. Blocks until all parts have stopped. Must not be
  /// called on one of the process's threads; a second call does nothing.
  /// @return Number of requests that were cut at the time limit.
  std::size_t stop();

private:
  /// The time until which each endpoint may be sent requests, by endpoint key.
  using UsableEndpoints = std::map<std::string, TimePoint, std::less<>>;

  [[nodiscard]] Awaitable<void> serveCaller(Exchange &Call);
  [[nodiscard]] std::optional<HttpResponse>
  checkCaller(const HttpRequest &Head);
  [[nodiscard]] bool mayStartWork() const;
  void awaitCallers(TimePoint Until) const;
  [[nodiscard]] bool admit(const EndpointSpec &To);
  void attemptEnded(const EndpointSpec &To, const AttemptResult &Result);

  [[nodiscard]] MeshConfig meshConfig() const;
  [[nodiscard]] AgreedOptions agreedOptions() const;
  [[nodiscard]] EntryHostJoined joinRecord(std::uint16_t MeshPort) const;
  [[nodiscard]] MembershipHooks memberHooks();
  [[nodiscard]] AgreedListener agreedListener();
  [[nodiscard]] std::uint16_t startPeers();
  void listenToPeers();
  void logChanges(const State &Now);
  void subscribe(Channel MessageChannel,
                 void (EntryHostProcess::*Take)(const HostName &,
                                                const Json &));
  void handleMembership(const HostName &From, const Json &Message);
  void handleShares(const HostName &From, const Json &Message);
  void handleClaims(const HostName &From, const Json &Message);
  void handleBeat(const HostName &From, const Json &Message);
  void handleRecords(const HostName &From, const Json &Message);
  void handleNotice(const HostName &From, const Json &Message);
  void send(const HostName &To, Channel MessageChannel, Json Body);

  void onState(const StatePtr &Now);
  void setPeers(const State &Now);
  void refreshUsableEndpoints();
  void applyRoutes();
  void pollLoad();
  void recordLoad(const std::string &Key, const EngineReport &Report);
  void tick();
  void tickSlow();
  void setUpMetrics();
  void dropControlWork();

  Settings Options;
  Incarnation Run;
  boost::asio::io_context Control;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      ControlGuard;
  IoPool Threads;
  HttpLog LogClient;
  HttpEngines EngineClients;
  Mesh Peers;
  AgreedStream Agreed;
  ClaimDriver Claims;
  GroupDriver Groups;
  MeshEvidence Evidence;
  Router Routing;
  RetryReport Retries;
  RateLimitReport RateLimits;
  AvailabilityReport Availability;
  SpanFactory Spans;
  Relay CallerRelay;
  Metrics Registry;
  OperatorApi OperatorInterface;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer SlowTickTimer;
  std::unique_ptr<MembershipDriver> Members;
  std::unique_ptr<HttpHostList> HostListing;
  RouteTablePtr Routes;
  std::set<std::string> AppliedKeys;
  Offset AppliedVersion = 0;
  /// Phases of groups and plans that have been logged already.
  std::map<GroupId, GroupPhase> LoggedGroups;
  std::map<Offset, PlanPhase> LoggedPlans;
  std::uint64_t SlowTicks = 0;
  /// Offset of the entry host change that the mesh peers were last set from.
  std::optional<Offset> AppliedPeersChange;
  bool AllAreNeighbours = true;
  mutable std::mutex UsableLock;
  std::shared_ptr<const UsableEndpoints> Usable;
  std::function<void()> RunRemovedCallback;
  std::atomic<bool> Joined{false};
  std::atomic<bool> Unready{false};
  std::atomic<bool> StopRequested{false};
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> OperatorServer;
  std::thread ControlThread;
};

} // namespace coltsfoottrail

#endif
