/// @file
/// Carries the decisions on groups between agreed stream, engines and peers.
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

/// @brief The asio side of the group agent. On the control thread.
class GroupDriver {
public:
  using Sender = std::function<void(const HostName &, Json)>;
  /// Hears of each report of an engine.
  using ReportListener =
      std::function<void(const HostName &, const EngineReport &)>;

  /// @brief Makes a desk. All arguments must outlive it.
  /// @param Control Context of the control thread.
  /// @param Agreed Where records are appended.
  /// @param Orders Where engines are ordered and asked.
  /// @param Self This entry host.
  /// @param Run This run of it.
  /// @param ToPeer Sends a beat to a peer.
  /// @param OnReport Hears of reports.
  GroupDriver(boost::asio::io_context &Control, AgreedStream &Agreed,
              Engines &Orders, const HostName &Self, Incarnation Run,
              Sender ToPeer, ReportListener OnReport);
  GroupDriver(const GroupDriver &) = delete;
  GroupDriver &operator=(const GroupDriver &) = delete;
  ~GroupDriver();

  /// @brief Decides on the newest state; called often.
  void poll();
  /// @brief Takes a peer's beat; anything may stand there.
  void receive(const HostName &From, const Json &Message);
  /// @brief Has a group asked at once, since a request to it failed.
  void suspect(const GroupId &Group);
  /// @brief Until when each group may be used.
  [[nodiscard]] std::map<GroupId, TimePoint> usableUntil() const;
  /// @brief Stops.
  void stop();

private:
  struct Inner;
  std::unique_ptr<Inner> Own;
};

} // namespace coltsfoottrail

#endif
