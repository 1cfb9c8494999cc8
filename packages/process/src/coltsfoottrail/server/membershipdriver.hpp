/// @file
/// Carries membership and shares of endpoints' bounds between the agreed stream
/// and peers.
#ifndef COLTSFOOTTRAIL_SERVER_MEMBERSHIPDRIVER_HPP
#define COLTSFOOTTRAIL_SERVER_MEMBERSHIPDRIVER_HPP

#include "coltsfoottrail/admission/types.hpp"
#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/route/table.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace coltsfoottrail {

/// @brief What the desk wants of the process.
struct MembershipHooks {
  /// Sends a message about members to a peer.
  std::function<void(const HostName &, Json)> SendMembership;
  /// Sends a message about shares to a peer. Called on any thread.
  std::function<void(const HostName &, Json)> SendShares;
  /// Appends a record to the agreed stream.
  std::function<void(Record)> Append;
  /// This run has been found gone by its peers.
  std::function<void()> OnRunRemoved;
  /// Shares have changed. Called on any thread.
  std::function<void(const std::map<std::string, std::uint32_t> &)> OnShares;
};

/// @brief The asio side of Membership and ShareManager. On the control thread
/// unless a call says otherwise.
class MembershipDriver {
public:
  /// @brief Makes a desk.
  /// @param Self What this run says of itself when it joins.
  /// @param MaxWork Longest that any request is in progress; equal on all
  /// hosts.
  /// @param Hooks What it wants of the process.
  MembershipDriver(const EntryHostJoined &Self, milliseconds MaxWork,
                   MembershipHooks Hooks);
  MembershipDriver(const MembershipDriver &) = delete;
  MembershipDriver &operator=(const MembershipDriver &) = delete;
  ~MembershipDriver();

  /// @brief Takes a state and its routes.
  void onState(const State &Now, const RouteTable &Routes);
  /// @brief A read of the log was answered and all it showed is folded.
  void recordLogRead(TimePoint Left);
  /// @brief A read of the log failed.
  void recordLogFailure();
  /// @brief Takes the platform's list of hosts.
  void applyHostList(const std::vector<ListedHost> &Hosts);
  /// @brief Takes a message about members.
  void receiveMembership(const HostName &From, const Json &Message);
  /// @brief Takes a message about shares.
  void receiveShares(const HostName &From, const Json &Message);
  /// @brief Takes a load report.
  void observe(const LoadReport &Report);
  /// @brief Says how many requests wait for a pool. Thread-safe.
  void setPoolDemand(std::string_view PoolName, std::uint32_t Waiting);
  /// @brief Asks for leave to send one request, at the act itself. Thread-safe.
  /// @return False when the share is used up or has lapsed; after true,
  /// finished() must follow.
  [[nodiscard]] bool tryStart(std::string_view EndpointKey);
  /// @brief A request at an endpoint has ended. Thread-safe.
  void finish(std::string_view EndpointKey, bool Succeeded, Duration Latency);
  /// @brief Lets time pass; called every few milliseconds.
  void tick();
  /// @brief This host stops as planned.
  void leave();
  /// @brief Whether this run is among the agreed members.
  [[nodiscard]] bool joined() const;
  /// @brief This host's share of an endpoint.
  [[nodiscard]] std::uint32_t share(std::string_view EndpointKey) const;
  /// @brief Whether this host finds and shares out an endpoint's bound.
  [[nodiscard]] bool isSteward(std::string_view EndpointKey) const;

private:
  struct Inner;
  std::unique_ptr<Inner> Own;
};

} // namespace coltsfoottrail

#endif
