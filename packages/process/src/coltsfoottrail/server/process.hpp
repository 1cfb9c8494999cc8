/// @file
/// One entry host: everything that lives as long as the process.
#ifndef COLTSFOOTTRAIL_SERVER_PROCESS_HPP
#define COLTSFOOTTRAIL_SERVER_PROCESS_HPP

#include "coltsfoottrail/adapter/engines.hpp"
#include "coltsfoottrail/adapter/log.hpp"
#include "coltsfoottrail/mesh/mesh.hpp"
#include "coltsfoottrail/server/agreedstream.hpp"
#include "coltsfoottrail/server/claimdriver.hpp"
#include "coltsfoottrail/server/groupdriver.hpp"
#include "coltsfoottrail/server/membershipdriver.hpp"
#include "coltsfoottrail/server/operatorapi.hpp"
#include "coltsfoottrail/server/relay.hpp"
#include "coltsfoottrail/settings/settings.hpp"
#include "coltsfoottrail/telemetry/metrics.hpp"

#include <memory>
#include <thread>

namespace coltsfoottrail {

/// @brief A port cannot be listened on.
class PortError : public Error {
public:
  using Error::Error;
};

/// @brief An entry host.
class EntryHostProcess {
public:
  /// @brief Listens and starts to follow the log.
  /// @param Wanted Checked settings.
  /// @throws boost::system::system_error A port for callers or operators is
  /// taken.
  /// @throws PortError The port for peers is taken.
  explicit EntryHostProcess(Settings Wanted);
  EntryHostProcess(const EntryHostProcess &) = delete;
  EntryHostProcess &operator=(const EntryHostProcess &) = delete;
  /// @brief Stops at once what is still running.
  ~EntryHostProcess();

  /// @brief Port for callers. Thread-safe.
  [[nodiscard]] std::uint16_t callerPort() const noexcept;
  /// @brief Port for operators. Thread-safe.
  [[nodiscard]] std::uint16_t operatorPort() const noexcept;
  /// @brief Whether the balancer may send callers here. Thread-safe.
  [[nodiscard]] bool ready() const;
  /// @brief The newest agreed state. Thread-safe.
  [[nodiscard]] StatePtr state() const { return Agreed.state(); }
  /// @brief Whether this host may start work on its state. Thread-safe.
  [[nodiscard]] Freshness freshness() const {
    return Agreed.freshness(BootClock::now());
  }
  /// @brief What callers got. Thread-safe.
  [[nodiscard]] const RelayCounters &counters() const noexcept {
    return CallerRelay.counters();
  }
  /// @brief Peers that are connected now. Thread-safe.
  [[nodiscard]] std::size_t peers() const { return Peers.connected().size(); }
  /// @brief Sets who hears that this run has been found gone by its peers: it
  /// has to be stopped and started again. Thread-safe.
  /// @param Told Called once, on the control thread.
  void onRunRemoved(std::function<void()> Told);

  /// @brief Stops as planned: unready at once, no new requests after the grace,
  /// requests in progress run out up to the limit. Blocks until all has ended.
  /// Not from one of the process's threads; a second call does nothing.
  /// @return Requests that were cut at the limit.
  std::size_t stop();

private:
  /// Until when each endpoint may be sent requests.
  using UsableEndpoints = std::map<std::string, TimePoint, std::less<>>;

  [[nodiscard]] Awaitable<void> serveCaller(Exchange &Call);
  [[nodiscard]] std::optional<HttpResponse>
  checkCaller(const HttpRequest &Head);
  [[nodiscard]] bool mayStartWork() const;
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
  void subscribe(Channel Which, void (EntryHostProcess::*Take)(const HostName &,
                                                               const Json &));
  void handleMembership(const HostName &From, const Json &Message);
  void handleShares(const HostName &From, const Json &Message);
  void handleClaims(const HostName &From, const Json &Message);
  void handleBeat(const HostName &From, const Json &Message);
  void handleRecords(const HostName &From, const Json &Message);
  void handleNotice(const HostName &From, const Json &Message);
  void send(const HostName &To, Channel Which, Json Body);

  void onState(const StatePtr &Now);
  void setPeers(const State &Now);
  void refreshUsableEndpoints();
  void applyRoutes();
  void pollLoad();
  void recordLoad(const std::string &Key, const EngineReport &Report);
  void sendNotices();
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
  Router Routing;
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
  /// Phases that have been logged.
  std::map<GroupId, GroupPhase> LoggedGroups;
  std::map<Offset, PlanPhase> LoggedPlans;
  std::uint64_t SlowTicks = 0;
  /// The change of the entry hosts that the mesh goes by.
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
