/// @file
/// Connects membership and the distribution of endpoints' capacity bounds to
/// the agreed stream and peers.
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

/// @brief Callbacks of the driver into the process.
struct MembershipHooks {
  /// Sends a membership message to a peer.
  std::function<void(const HostName &, Json)> SendMembership;
  /// Sends a message about shares of endpoints' bounds to a peer. Called on any
  /// thread.
  std::function<void(const HostName &, Json)> SendShares;
  /// Appends a record to the agreed stream.
  std::function<void(Record)> Append;
  /// Called when the peers have removed this run from the members.
  std::function<void()> OnRunRemoved;
  /// Called with the shares that changed, by endpoint key. Called on any
  /// thread.
  std::function<void(const std::map<std::string, std::uint32_t> &)> OnShares;
};

/// @brief Runs Membership, StateProof and ShareManager. Call its methods on the
/// control thread unless they say otherwise.
class MembershipDriver {
public:
  /// @brief Creates a driver.
  /// @param Self The record with which this run joins.
  /// @param MaxWork Upper bound of the duration of a request; must be equal on
  /// all hosts.
  /// @param Hooks Callbacks into the process.
  MembershipDriver(const EntryHostJoined &Self, milliseconds MaxWork,
                   MembershipHooks Hooks);
  MembershipDriver(const MembershipDriver &) = delete;
  MembershipDriver &operator=(const MembershipDriver &) = delete;
  ~MembershipDriver();

  /// @brief Applies a new agreed state and the routes built from it.
  void onState(const State &NewState, const RouteTable &Routes);
  /// @brief Records that a read of the log, sent at Left, was answered and all
  /// records it showed are folded.
  void recordLogRead(TimePoint Left);
  /// @brief Records that a read of the log failed.
  void recordLogFailure();
  /// @brief Applies the platform's list of hosts.
  void applyHostList(const std::vector<ListedHost> &Hosts);
  /// @brief Handles a membership message from a peer.
  void receiveMembership(const HostName &From, const Json &Message);
  /// @brief Handles a message about shares from a peer.
  void receiveShares(const HostName &From, const Json &Message);
  /// @brief Records a load report of an endpoint.
  void observe(const LoadReport &Report);
  /// @brief Sets how many requests wait for a pool. Thread-safe.
  void setPoolDemand(std::string_view PoolName, std::uint32_t Waiting);
  /// @brief Tries to reserve one request of this host's share, immediately
  /// before the request is sent. Thread-safe.
  /// @return False if the share is used up or has lapsed; after true, finish()
  /// must be called.
  [[nodiscard]] bool tryStart(std::string_view EndpointKey);
  /// @brief Records the end of a request at an endpoint. Thread-safe.
  void finish(std::string_view EndpointKey, bool Succeeded, Duration Latency);
  /// @brief Runs due timers; call it every few milliseconds.
  void tick();
  /// @brief Releases all shares and leaves the members, for a planned stop.
  void leave();
  /// @brief Whether this run is among the agreed members.
  [[nodiscard]] bool joined() const;
  /// @brief This host's share of an endpoint's bound, in requests at once.
  [[nodiscard]] std::uint32_t share(std::string_view EndpointKey) const;
  /// @brief Whether this host determines an endpoint's bound and distributes
  /// shares of it.
  [[nodiscard]] bool isSteward(std::string_view EndpointKey) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace coltsfoottrail

#endif
