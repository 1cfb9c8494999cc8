/// @file
/// Chooses the host to which an entry host reports.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_UPSTREAM_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_UPSTREAM_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/dissemination/messages.hpp"
#include "coltsfoottrail/platform/engine.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Parses the address in a member's name, or an address and port; empty
/// if there is none. Thread-safe.
[[nodiscard]] std::optional<EngineAddress>
addressOfMember(std::string_view Member);

/// @brief Chooses the upstream of one host: the coordinator, or the relay that
/// the coordinator assigned. After a relay has failed, the host reports to the
/// coordinator again; after the coordinator has failed, the store is queried
/// for it, less and less often while that changes nothing. Pure; not
/// thread-safe; times must not go back.
class Upstream {
public:
  /// @brief Starts without an upstream.
  /// @param Member Name of this host's run; contains its address.
  Upstream(std::string_view Member, TimePoint Now);

  /// @brief Whether to query the store for the coordinator before the next
  /// report. Returning true counts as a query.
  [[nodiscard]] bool takeCoordinatorQuery(TimePoint Now);
  /// @brief Applies the store's answer.
  /// @param Member Name of the coordinator; empty if there is none.
  void setCoordinator(std::string_view Member);

  /// @brief Address to report to; empty while unknown.
  [[nodiscard]] const std::optional<EngineAddress> &target() const noexcept {
    return Relay ? Relay : Coordinator;
  }
  /// @brief Whether the target is a relay.
  [[nodiscard]] bool hasRelay() const noexcept { return Relay.has_value(); }
  /// @brief The coordinator, if it has responded as such or was named by a host
  /// that is in contact with it.
  [[nodiscard]] const std::optional<EngineAddress> &
  coordinator() const noexcept {
    return CoordinatorConfirmed ? Coordinator : NoAddress;
  }
  /// @brief Address of the relay that recently failed.
  [[nodiscard]] std::optional<std::string> failedRelay(TimePoint Now) const;

  /// @brief Applies a response of the target.
  /// @param ByRelay Whether the target was a relay when the report was sent.
  /// @return Whether the report must be repeated to another host.
  bool applyResponse(const Response &Received, bool ByRelay);
  /// @brief Records that an exchange with the target failed.
  /// @return Whether the target was abandoned.
  bool recordLoss(TimePoint Now);
  /// @brief Abandons the target.
  void abandon(TimePoint Now);
  /// @brief Records that a host reported to this one. Abandons that host if it
  /// is the relay of this host: two hosts that report to each other would count
  /// each other's loads again and again.
  /// @return Whether it was abandoned.
  bool recordReporter(const HostName &Reporter, TimePoint Now);
  /// @brief Records that this host is the coordinator and has no upstream.
  void becomeCoordinator() noexcept { Relay.reset(); }

private:
  void learnCoordinator(const Response &Received, bool ByRelay);

  std::optional<EngineAddress> OwnAddress;
  std::optional<EngineAddress> NoAddress;
  /// The coordinator according to the last query or response.
  std::optional<EngineAddress> Coordinator;
  bool CoordinatorConfirmed = false;
  std::optional<EngineAddress> Relay;
  std::optional<std::string> FailedRelay;
  TimePoint FailedRelayUntil{};
  milliseconds QueryPause;
  TimePoint NextQueryAt;
  int LostExchanges = 0;
};

} // namespace coltsfoottrail

#endif
