/// @file
/// Orders to model engines and what engines report, as the project sees them.
#ifndef COLTSFOOTTRAIL_PLATFORM_ENGINE_HPP
#define COLTSFOOTTRAIL_PLATFORM_ENGINE_HPP

#include "coltsfoottrail/platform/fwd.hpp"
#include "coltsfoottrail/record/intent.hpp"

#include <functional>
#include <optional>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// @brief Where an engine or a plain service listens.
struct EngineAddress {
  /// IP number.
  std::string Address;
  std::uint16_t Port = 0;
  // The linter reports on the body that the compiler makes.
  // NOLINTBEGIN(readability-identifier-naming,modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const EngineAddress &,
                                        const EngineAddress &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)
};

/// @brief Formats an address and port; IPv6 addresses in brackets. Thread-safe.
[[nodiscard]] std::string textOf(const EngineAddress &Address);

/// Load the weights and serve as a member of a group.
struct JoinGroup {
  GroupId Group;
  ModelName Model;
  VersionName Version;
  std::vector<AdapterName> Adapters;
  EngineRole Role = EngineRole::Mixed;
  /// Place in the group; zero is the leader.
  std::uint32_t Rank = 0;
  std::vector<EngineAddress> Members;
};
/// Finish the work in progress, take no more and leave the group.
struct LeaveGroup {
  GroupId Group;
};
/// Serve another list of adapters.
struct LoadAdapters {
  GroupId Group;
  std::vector<AdapterName> Adapters;
};

/// @brief An order with the fencing number of the lease that it is given under.
/// Idempotent.
struct EngineOrder {
  Offset Fence = 0;
  std::variant<JoinGroup, LeaveGroup, LoadAdapters> What;
};

/// Where an engine stands.
enum class EnginePhase : std::uint8_t { Idle, Loading, Ready, Leaving };

/// @brief What an engine says of itself.
struct EngineReport {
  /// Another number after each restart.
  Incarnation Run = 0;
  /// Highest fencing number that it has obeyed.
  Offset Fence = 0;
  EnginePhase Phase = EnginePhase::Idle;
  std::optional<GroupId> Group;
  VersionName Version;
  std::vector<AdapterName> Adapters;
  /// Requests in progress and queued inside the engine; lags.
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
};

/// What became of an order.
enum class OrderResult : std::uint8_t {
  Accepted,
  RefusedOldFence,
  RefusedOther,
  NotDone,
  Unknown
};

using OrderHandler = std::function<void(OrderResult)>;
using ReportHandler = std::function<void(std::optional<EngineReport>)>;

/// @brief Client of the engines' orders. One adapter for each platform.
class Engines {
public:
  Engines() = default;
  Engines(const Engines &) = delete;
  Engines &operator=(const Engines &) = delete;
  virtual ~Engines() = default;

  /// @brief Gives an order. Thread-safe.
  /// @param To The engine.
  /// @param Order What it shall do; may be sent again, also by another host,
  /// with the same effect.
  /// @param Timeout After this the handler gets Unknown, or NotDone when no
  /// byte had left.
  /// @param Done Called exactly once, on any thread, never from within this
  /// call.
  virtual void order(const EngineAddress &To, const EngineOrder &Order,
                     milliseconds Timeout, OrderHandler Done) = 0;

  /// @brief Asks an engine how it stands. Thread-safe.
  /// @param Whom The engine.
  /// @param Timeout After this the handler gets nothing.
  /// @param Done Called exactly once, on any thread, never from within this
  /// call.
  virtual void ask(const EngineAddress &Whom, milliseconds Timeout,
                   ReportHandler Done) = 0;
};

/// @brief A host on the platform's lagging list.
struct ListedHost {
  HostName Name;
  bool Leaving = false;
};

using HostListHandler =
    std::function<void(std::optional<std::vector<ListedHost>>)>;

/// @brief Client of the platform's list of live and leaving hosts, which lags:
/// a hint, never a proof.
class HostList {
public:
  HostList() = default;
  HostList(const HostList &) = delete;
  HostList &operator=(const HostList &) = delete;
  virtual ~HostList() = default;

  /// @brief Reads the list. Thread-safe.
  /// @param Timeout After this the handler gets nothing.
  /// @param Done Called exactly once, on any thread, never from within this
  /// call.
  virtual void list(milliseconds Timeout, HostListHandler Done) = 0;
};

} // namespace coltsfoottrail

#endif
