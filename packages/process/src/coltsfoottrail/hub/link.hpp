/// @file
/// The connection between entry hosts and their hub.
#ifndef COLTSFOOTTRAIL_HUB_LINK_HPP
#define COLTSFOOTTRAIL_HUB_LINK_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/http/client.hpp"
#include "coltsfoottrail/http/server.hpp"
#include "coltsfoottrail/hub/hub.hpp"
#include "coltsfoottrail/settings/settings.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

namespace coltsfoottrail {

/// @brief Name of a member of the duty: tells where to reach it.
/// @param Reach Its address for peers.
/// @param Run Unique for each run of a process.
[[nodiscard]] std::string dutyMemberName(const SocketAddress &Reach,
                                         std::string_view Run);

/// @brief Reads the address out of a member's name; nothing when it has none.
[[nodiscard]] std::optional<EngineAddress>
reachOfMember(std::string_view Member);

/// @brief What a link calls; all on its thread.
struct HubLinkHooks {
  /// Whether this host drives the groups, or did last before the store went
  /// away, and so is the hub.
  std::function<bool()> Drives;
  /// Makes this host's report; Silent is left empty.
  std::function<HostReport()> Report;
  /// Takes an answer to a report that left at a time.
  std::function<void(const HostReport &, HubAnswer, TimePoint)> Take;
  /// A host told of a silent endpoint.
  std::function<void(const std::string &)> Silent;
};

/// @brief Keeps an entry host and its hub in touch: reports and answers over
/// HTTP on one kept connection. Belongs to one thread.
///
/// Every host listens; whoever holds the duty is the hub. A lost exchange
/// costs a pace: loads go by the endpoints' reports and feeds by the store
/// until the next one.
class HubLink {
public:
  /// @brief Listens.
  /// @param Pool Threads; must outlive this.
  /// @param Listen Where other entry hosts reach this one.
  /// @param Member Name of this run in the duty.
  /// @param Where The store; must outlive this.
  /// @param Told What to call.
  HubLink(IoPool &Pool, const SocketAddress &Listen, std::string Member,
          FleetStore &Where, HubLinkHooks Told);

  /// @brief Stops listening and closes connections. Precondition: the pool is
  /// stopped.
  void close();

  /// @brief Reports to the hub, whichever host it is, until it is cancelled.
  [[nodiscard]] Awaitable<void> run();

  /// @brief Tells the hub at once that an endpoint is silent.
  [[nodiscard]] Awaitable<void> tellSilent(std::string Endpoint);

  /// @brief The hub seems to be left behind: asks the store who it is now.
  void doubt() noexcept { Heard = false; }

  /// @brief Takes a page of a feed that this host read; hosts that wait for
  /// news get them.
  void took(Feed Which, const FeedPage &Page, const std::vector<bool> &Changed,
            TimePoint AskedAt);

  /// @brief Entry hosts in touch with the hub, as last heard; zero when it was
  /// not heard lately.
  [[nodiscard]] std::size_t hosts(TimePoint Now) const noexcept;

private:
  [[nodiscard]] Awaitable<void> serve(Exchange &Call);
  [[nodiscard]] Awaitable<void> awaitNews(const HostReport &Told);
  [[nodiscard]] Awaitable<std::optional<EngineAddress>> hub();
  [[nodiscard]] Awaitable<bool> exchange(EngineAddress To, HostReport Told);
  void follow(const std::string &Successor);
  void reportToSelf();
  void note(const HubAnswer &Answer, TimePoint Now);

  FleetStore &Store;
  HubLinkHooks Hooks;
  std::string Self;
  Hub Here;
  HttpClient Client;
  /// Never expires: cancelled to wake those who wait for news.
  boost::asio::steady_timer News;
  /// The hub when it was last asked for.
  std::optional<EngineAddress> Known;
  milliseconds AskPause;
  TimePoint AskAgainAt;
  bool Heard = false;
  int Lost = 0;
  std::size_t Hosts = 0;
  TimePoint HostsAt{};
  std::optional<HttpServer> Server;
};

} // namespace coltsfoottrail

#endif
