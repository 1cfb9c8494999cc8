/// @file
/// Interfaces to the platform's model engines and host list.
#ifndef COLTSFOOTTRAIL_PLATFORM_ENGINE_HPP
#define COLTSFOOTTRAIL_PLATFORM_ENGINE_HPP

#include "coltsfoottrail/platform/fwd.hpp"
#include "coltsfoottrail/record/intent.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// @brief Where an engine or a plain service listens.
struct EngineAddress {
  /// IP address.
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
/// @brief Reads what textOf() has formatted. Thread-safe.
/// @return Empty if the text is no address and port.
[[nodiscard]] std::optional<EngineAddress> addressFrom(std::string_view Text);

/// Orders an engine to load the weights and serve as a member of a group.
struct JoinGroup {
  GroupId Group;
  ModelName Model;
  VersionName Version;
  std::vector<AdapterName> Adapters;
  EngineRole Role = EngineRole::Mixed;
  /// Index of the engine in Members; zero is the leader.
  std::uint32_t Rank = 0;
  std::vector<EngineAddress> Members;
};
/// Orders an engine to accept no new requests, finish those in progress and
/// leave the group.
struct LeaveGroup {
  GroupId Group;
};
/// Orders an engine to serve another list of adapters.
struct LoadAdapters {
  GroupId Group;
  std::vector<AdapterName> Adapters;
};

/// @brief An order to an engine. Idempotent.
struct EngineOrder {
  /// Fencing number of the lease under which the order is issued.
  Offset Fence = 0;
  std::variant<JoinGroup, LeaveGroup, LoadAdapters> What;
};

/// Lifecycle state of an engine.
enum class EnginePhase : std::uint8_t { Idle, Loading, Ready, Leaving };

/// @brief The status that an engine reports.
struct EngineReport {
  /// Identifies the engine's process; changes with each restart.
  Incarnation Run = 0;
  /// Highest fencing number of the orders that it has accepted.
  Offset Fence = 0;
  EnginePhase Phase = EnginePhase::Idle;
  std::optional<GroupId> Group;
  VersionName Version;
  std::vector<AdapterName> Adapters;
  /// Number of requests in progress and queued in the engine; may be outdated.
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
};

/// Outcome of an order.
enum class OrderResult : std::uint8_t {
  Accepted,
  /// The engine has accepted an order with a higher fencing number.
  RefusedOldFence,
  /// Refused for another reason.
  RefusedOther,
  /// The order had no effect: it did not reach the engine.
  NotDone,
  /// No usable response arrived: the order may have taken effect.
  Unknown
};

using OrderHandler = std::function<void(OrderResult)>;
using ReportHandler = std::function<void(std::optional<EngineReport>)>;

/// @brief Client of the model engines; implemented once for each platform.
class Engines {
public:
  Engines() = default;
  Engines(const Engines &) = delete;
  Engines &operator=(const Engines &) = delete;
  virtual ~Engines() = default;

  /// @brief Sends an order to an engine. Thread-safe.
  /// @param Address The engine.
  /// @param Order The order; sending it again, also from another host, has the
  /// same effect.
  /// @param Timeout After this time the handler gets Unknown, or NotDone if no
  /// byte was sent.
  /// @param Done Called exactly once, on any thread, never from within this
  /// call.
  virtual void order(const EngineAddress &Address, const EngineOrder &Order,
                     milliseconds Timeout, OrderHandler Done) = 0;

  /// @brief Requests the status of an engine. Thread-safe.
  /// @param Address The engine.
  /// @param Timeout After this time the handler gets nothing.
  /// @param Done Called exactly once, on any thread, never from within this
  /// call.
  virtual void ask(const EngineAddress &Address, milliseconds Timeout,
                   ReportHandler Done) = 0;
};

/// @brief A host on the platform's host list.
struct ListedHost {
  HostName Name;
  /// Whether the platform lists it as leaving.
  bool Leaving = false;
};

using HostListHandler =
    std::function<void(std::optional<std::vector<ListedHost>>)>;

/// @brief Client of the platform's list of live and leaving hosts. The list may
/// be outdated: it is a hint and proves nothing about a host.
class HostList {
public:
  HostList() = default;
  HostList(const HostList &) = delete;
  HostList &operator=(const HostList &) = delete;
  virtual ~HostList() = default;

  /// @brief Reads the list. Thread-safe.
  /// @param Timeout After this time the handler gets nothing.
  /// @param Done Called exactly once, on any thread, never from within this
  /// call.
  virtual void list(milliseconds Timeout, HostListHandler Done) = 0;
};

} // namespace coltsfoottrail

#endif
