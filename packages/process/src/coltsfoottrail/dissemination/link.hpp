/// @file
/// The connections of the dissemination tree.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_LINK_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_LINK_HPP

#include "coltsfoottrail/boundary/store.hpp"
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

namespace coltsfoottrail {

/// @brief Name of a run of a host; holds the address at which peers reach it.
/// @param Peers Its address for peers.
/// @param Run Unique for each run of a process.
[[nodiscard]] std::string memberName(const SocketAddress &Peers,
                                     std::string_view Run);

/// @brief What a link calls; all on its thread.
struct TreeLinkHooks {
  /// Whether this host coordinates the groups, or did last before the store
  /// went away, and so is the root.
  std::function<bool()> Coordinates;
  /// Whether its lease is valid now.
  std::function<bool()> HoldsLease;
  /// Makes this host's own report; Stalled is left empty.
  std::function<Report()> MakeReport;
  /// Takes a response to a report that left at a time. Its loads are those of
  /// all other hosts.
  std::function<void(const Report &, Response, TimePoint)> Apply;
  /// Called at the coordinator: an endpoint's streams have stalled.
  std::function<void(const std::string &)> Stalled;
};

/// @brief Keeps an entry host in touch with its upstream and answers those that
/// report to it: reports and responses over HTTP on kept connections. Belongs
/// to one thread.
///
/// A lost exchange costs a pace: loads go by the
/// endpoints' reports and feeds by the store until the next one.
class TreeLink {
public:
  /// @brief Listens.
  /// @param Pool Threads; must outlive this.
  /// @param Listen Where other entry hosts reach this one.
  /// @param Member Name of this run.
  /// @param Where The store; must outlive this.
  /// @param Calls What to call.
  TreeLink(IoPool &Pool, const SocketAddress &Listen, std::string Member,
           FleetStore &Where, TreeLinkHooks Calls);

  /// @brief Stops listening and closes connections. Precondition: the pool is
  /// stopped.
  void close();

  /// @brief Reports upstream until it is cancelled.
  [[nodiscard]] Awaitable<void> run();

  /// @brief Reports immediately that an endpoint's streams have stalled.
  [[nodiscard]] Awaitable<void> reportStall(std::string Endpoint);

  /// @brief The upstream relays nothing new: leaves a relay for the
  /// coordinator, or asks the store for another coordinator.
  void abandonUpstream();

  /// @brief Takes a page of a feed; reporters that wait for it get it.
  /// @copydetails TreeNode::ingest
  void ingest(Feed Which, const FeedPage &Page,
              std::span<const RoutingEffect> Effects, bool Whole,
              TimePoint AsOf);

  /// @brief Entry hosts in the tree as last heard; zero when unknown.
  [[nodiscard]] std::size_t hosts(TimePoint Now) const noexcept;
  /// @brief Whether an upstream has answered within the last second.
  [[nodiscard]] bool hearsUpstream(TimePoint Now) const noexcept;
  /// @brief Hosts that report to this one.
  [[nodiscard]] std::size_t reporters() const {
    return Node.reporters(BootClock::now());
  }
  /// @brief Whether this host reports to a relay.
  [[nodiscard]] bool hasRelay() const noexcept { return Up.hasRelay(); }

private:
  /// How an exchange with an upstream ended.
  enum class Exchanged : std::uint8_t {
    Failed,
    Done,
    /// The answer came from neither the coordinator nor a relay.
    Mistaken
  };

  [[nodiscard]] Awaitable<void> serve(Exchange &Call);
  [[nodiscard]] Awaitable<Response> respond(const Report &From);
  [[nodiscard]] Awaitable<void> forwardStalls(std::vector<std::string> Stalled);
  [[nodiscard]] Awaitable<void> waitForUpdate(const Report &From);
  [[nodiscard]] Awaitable<void> askForCoordinator();
  [[nodiscard]] Awaitable<Exchanged> exchange(EngineAddress To, Report Message);
  [[nodiscard]] Awaitable<bool> step();
  [[nodiscard]] Report ownReport(TimePoint Now);
  void recordOwnAsRoot();
  void noticeSuccession();
  void recordHosts(std::uint64_t Count, TimePoint Now);

  FleetStore &Store;
  TreeLinkHooks Hooks;
  std::string Self;
  TreeNode Node;
  HttpClient Client;
  /// Never expires: cancelled to wake responses that wait for an update.
  boost::asio::steady_timer Updated;
  Upstream Up;
  TimePoint CoordinatorHeardAt{};
  TimePoint LeaseHeardAt{};
  TimePoint UpstreamHeardAt{};
  /// Hosts in the tree by the last response.
  std::uint64_t UpstreamHosts = 0;
  bool Coordinated = false;
  /// Longest time for which the upstream holds a response back.
  milliseconds Hold;
  std::size_t Hosts = 0;
  TimePoint HostsAt{};
  std::optional<HttpServer> Server;
};

} // namespace coltsfoottrail

#endif
