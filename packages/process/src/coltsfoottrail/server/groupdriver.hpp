/// @file
/// Connects the group agent to the agreed stream, engines and peers.
#ifndef COLTSFOOTTRAIL_SERVER_GROUPDRIVER_HPP
#define COLTSFOOTTRAIL_SERVER_GROUPDRIVER_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/platform/engine.hpp"
#include "coltsfoottrail/server/agreedstream.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace coltsfoottrail {

/// @brief Carries out the commands of a group agent. Call its methods on the
/// control thread.
class GroupDriver {
public:
  using Sender = std::function<void(const HostName &, Json)>;
  /// Called with each report of an engine.
  using ReportListener =
      std::function<void(const HostName &, const EngineReport &)>;

  /// @brief Creates a driver. All arguments must outlive it.
  /// @param Control I/O context of the control thread.
  /// @param Agreed The stream to append records to.
  /// @param Clients Client that sends orders and queries to engines.
  /// @param Self Name of this entry host.
  /// @param Run Incarnation of this process.
  /// @param ToPeer Sends a liveness beat to a peer.
  /// @param OnReport Called with each report of an engine.
  GroupDriver(boost::asio::io_context &Control, AgreedStream &Agreed,
              Engines &Clients, const HostName &Self, Incarnation Run,
              Sender ToPeer, ReportListener OnReport);
  GroupDriver(const GroupDriver &) = delete;
  GroupDriver &operator=(const GroupDriver &) = delete;
  ~GroupDriver();

  /// @brief Lets the agent decide on the newest state; call it regularly.
  void poll();
  /// @brief Handles a liveness beat of a peer. The message is not trusted:
  /// malformed ones are logged and dropped.
  void receive(const HostName &From, const Json &Message);
  /// @brief Has the members of a group queried at once after a request to it
  /// failed.
  void suspect(const GroupId &Group);
  /// @brief The time until which each group may be used.
  [[nodiscard]] std::map<GroupId, TimePoint> usableUntil() const;
  /// @brief Stops; later results and messages are ignored.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace coltsfoottrail

#endif
