/// @file
/// Network connections of the dissemination tree.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_LINK_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_LINK_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/dissemination/forwarders.hpp"
#include "coltsfoottrail/dissemination/node.hpp"
#include "coltsfoottrail/dissemination/upstream.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/settings/settings.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace coltsfoottrail {

/// @brief Name of a run of a host; contains the address at which peers reach
/// it.
/// @param Peers The host's address for peers.
/// @param Run Unique for each run of a process.
[[nodiscard]] std::string memberName(const SocketAddress &Peers,
                                     std::string_view Run);

/// @brief Callbacks of a link; all are called on its thread.
struct TreeLinkHooks {
  /// Whether this host is the coordinator, or was the last one before the store
  /// became unavailable, and therefore is the root.
  std::function<bool()> Coordinates;
  /// Whether this host's coordinator lease is valid now.
  std::function<bool()> HoldsLease;
  /// Builds this host's own report; Stalled is left empty.
  std::function<Report()> MakeReport;
  /// Receives a report, the response to it and the time when the report was
  /// sent. The response's loads are those of all other hosts.
  std::function<void(const Report &, Response, TimePoint)> OnResponse;
  /// Receives notices of other hosts about requests that crash endpoints.
  std::function<void(std::span<const PoolNotice>)> OnNotices;
  /// Receives hosts that forward connections to endpoints.
  std::function<void(std::span<const Forwarder>)> OnForwarders;
  /// Forwards a connection to an endpoint for another host.
  ExchangeHandler Forward;
  /// Receives the data centre of a host whose report was answered, and the
  /// bytes of the report and of the response.
  std::function<void(const DataCentreName &, std::size_t, std::size_t)>
      OnServed;
  /// Called on the coordinator with an endpoint whose streams have stalled.
  std::function<void(const std::string &)> OnStalled;
};

/// @brief Exchanges reports and responses with the upstream and answers the
/// hosts that report to this one, using HTTP on persistent connections. Belongs
/// to one thread.
///
/// If an exchange is lost, loads come from the endpoints' reports and feeds
/// from the store until the next one.
class TreeLink {
public:
  /// @brief Starts listening for reports.
  /// @param Pool Threads; must outlive this object.
  /// @param Listen Address at which other entry hosts reach this one.
  /// @param Member Name of this run.
  /// @param Store Must outlive this object.
  /// @param Hooks Callbacks.
  TreeLink(IoPool &Pool, const SocketAddress &Listen, std::string Member,
           FleetStore &Store, TreeLinkHooks Hooks);

  /// @brief Stops listening, closes connections and releases the timer. To be
  /// called before the pool's contexts are destroyed. Precondition: the pool is
  /// stopped.
  void close();

  /// @brief Reports to the upstream until cancelled.
  [[nodiscard]] Awaitable<void> run();

  /// @brief Reports immediately that an endpoint's streams have stalled.
  [[nodiscard]] Awaitable<void> reportStall(std::string Endpoint);

  /// @brief Passes a notice of this host on to all others.
  void publishNotice(std::string_view PoolName, const EndpointNotice &Notice);

  /// @brief Sets this host's own demand. Hosts that never call it send none for
  /// themselves.
  void recordOwnDemand(std::vector<DemandRow> Rows) {
    Node.recordOwnDemand(std::move(Rows), BootClock::now());
  }
  /// @copydoc TreeNode::demand
  [[nodiscard]] DemandSum demand(TimePoint Now) const {
    return Node.demand(Now);
  }

  /// @brief Abandons an upstream that relays nothing new: a relay is left for
  /// the coordinator, and for the coordinator the store is queried again.
  void abandonUpstream();

  /// @brief Adds a page of a feed and wakes the responses that wait for it.
  /// @copydetails TreeNode::ingest
  void ingest(Feed FeedId, const FeedPage &Page,
              std::span<const RoutingEffect> Effects, bool IsSnapshot,
              TimePoint AsOf);

  /// @brief Number of entry hosts in the tree as last reported; zero if
  /// unknown.
  [[nodiscard]] std::size_t hosts(TimePoint Now) const noexcept;
  /// @brief Address of the host that this one reports to; empty if none.
  [[nodiscard]] std::string upstreamAddress() const;
  /// @brief Whether an upstream has responded within the last second.
  [[nodiscard]] bool hearsUpstream(TimePoint Now) const noexcept;
  /// @brief Number of hosts that report to this one.
  [[nodiscard]] std::size_t reporters() const {
    return Node.reporters(BootClock::now());
  }
  /// @brief Whether this host reports to a relay.
  [[nodiscard]] bool hasRelay() const noexcept {
    return CurrentUpstream.hasRelay();
  }

private:
  /// Result of an exchange with an upstream.
  enum class ExchangeResult : std::uint8_t {
    Failed,
    Done,
    /// The response came from a host that is neither the coordinator nor this
    /// host's relay.
    NotCoordinator
  };

  [[nodiscard]] Awaitable<void> serve(Exchange &Call);
  [[nodiscard]] Awaitable<Response> makeResponse(const Report &Received);
  [[nodiscard]] Awaitable<void> forwardStalls(std::vector<std::string> Stalled);
  [[nodiscard]] Awaitable<void> waitForUpdate(const Report &Received);
  /// Wakes the responses that wait for an update.
  void wakeResponses();
  [[nodiscard]] Awaitable<void> queryCoordinator();
  [[nodiscard]] Awaitable<ExchangeResult> exchange(EngineAddress Target,
                                                   Report Message);
  [[nodiscard]] Awaitable<bool> step();
  [[nodiscard]] Report ownReport(TimePoint Now);
  void recordOwnAsRoot();
  void recordForwarder(const Report &Sent, TimePoint Now);
  void publishForwarders(TimePoint Now);
  void takeNotices(std::span<const PoolNotice> Notices);
  void checkSuccession();
  void recordHosts(std::uint64_t Count, TimePoint Now);

  FleetStore &Store;
  TreeLinkHooks Hooks;
  std::string Self;
  /// At which other hosts reach this one.
  EngineAddress OwnAddress;
  TreeNode Node;
  /// This host and those that report to it.
  ForwarderDirectory OwnForwarders;
  /// Those and the ones that the upstream has named.
  ForwarderDirectory AllForwarders;
  HttpClient Client;
  /// Never expires; cancelled to wake responses that wait for an update. Empty
  /// once closed.
  std::optional<boost::asio::steady_timer> UpdateSignal;
  Upstream CurrentUpstream;
  TimePoint CoordinatorHeardAt{};
  TimePoint LeaseHeardAt{};
  TimePoint UpstreamHeardAt{};
  /// Number of hosts in the tree according to the last response.
  std::uint64_t UpstreamHosts = 0;
  bool WasCoordinator = false;
  /// Longest time for which the upstream holds a response back.
  milliseconds Hold;
  std::size_t Hosts = 0;
  TimePoint HostsAt{};
  std::optional<HttpServer> Server;
};

} // namespace coltsfoottrail

#endif
