/// @file
/// To which host an entry host reports.
#ifndef COLTSFOOTTRAIL_DISSEMINATION_UPSTREAM_HPP
#define COLTSFOOTTRAIL_DISSEMINATION_UPSTREAM_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/dissemination/messages.hpp"
#include "coltsfoottrail/platform/engine.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Reads the address out of a member's name, or out of an address and
/// port; nothing when there is none. Thread-safe.
[[nodiscard]] std::optional<EngineAddress>
addressOfMember(std::string_view Member);

/// @brief Chooses the upstream of one host: the coordinator, or the relay that
/// the coordinator named. A relay that fails is left for the coordinator; a
/// coordinator that fails is asked for at the store, less and less often while
/// that changes nothing. Pure; not thread-safe; times must not go back.
class Upstream {
public:
  /// @brief Starts without an upstream.
  /// @param Own Name of this host's run; holds its address.
  Upstream(std::string_view Own, TimePoint Now);

  /// @brief Whether to ask the store for the coordinator before the next
  /// report. Counts as asked.
  [[nodiscard]] bool takeQuestion(TimePoint Now);
  /// @brief Takes the store's answer.
  /// @param Member Name of the coordinator; empty when there is none.
  void setCoordinator(std::string_view Member);

  /// @brief Where to report to; nothing while that is unknown.
  [[nodiscard]] const std::optional<EngineAddress> &target() const noexcept {
    return Relay ? Relay : Known;
  }
  /// @brief Whether the target is a relay.
  [[nodiscard]] bool hasRelay() const noexcept { return Relay.has_value(); }
  /// @brief The coordinator, if it has answered as such or was named by a host
  /// that hears it.
  [[nodiscard]] const std::optional<EngineAddress> &
  coordinator() const noexcept {
    return KnownAnswers ? Known : Unknown;
  }
  /// @brief Address of the relay that failed lately.
  [[nodiscard]] std::optional<std::string> failedRelay(TimePoint Now) const;

  /// @brief Takes a response of the target.
  /// @param ByRelay Whether the target was a relay when the report left.
  /// @return Whether the report has to be repeated to another host.
  bool respond(const Response &From, bool ByRelay);
  /// @brief An exchange with the target was lost.
  /// @return Whether the target was left.
  bool lose(TimePoint Now);
  /// @brief Leaves the target, which relays nothing new.
  void abandon(TimePoint Now);
  /// @brief A host reported here. Leaves it if it is the relay of this host:
  /// two hosts that report to each other would count each other's loads over
  /// and over.
  /// @return Whether it was left.
  bool reportedHere(const HostName &From, TimePoint Now);
  /// @brief This host coordinates and has no upstream.
  void coordinate() noexcept { Relay.reset(); }

private:
  void learnCoordinator(const Response &From, bool ByRelay);

  std::optional<EngineAddress> Self;
  std::optional<EngineAddress> Unknown;
  /// The coordinator when it was last asked for or named.
  std::optional<EngineAddress> Known;
  bool KnownAnswers = false;
  std::optional<EngineAddress> Relay;
  std::optional<std::string> FailedRelay;
  TimePoint FailedRelayUntil{};
  milliseconds AskPause;
  TimePoint AskAgainAt;
  int Lost = 0;
};

} // namespace coltsfoottrail

#endif
