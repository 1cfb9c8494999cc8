/// @file
/// Orders that assign engines to groups.
#ifndef COLTSFOOTTRAIL_FLEET_ORDER_HPP
#define COLTSFOOTTRAIL_FLEET_ORDER_HPP

#include "coltsfoottrail/fleet/endpoint.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Take a seat in a group; replaces the current seat.
struct JoinSeat {
  std::string Group;
  GroupEpoch Epoch = 0;
  ModelName Model;
  /// The leader comes first.
  std::vector<EndpointName> Members;
  /// If set, the engine refuses the order unless it has accepted exactly this
  /// many orders in its present run.
  std::optional<std::uint64_t> ExpectedOrders = std::nullopt;
};
/// Start serving; sent to the leader of a group whose members are all ready.
struct OpenSeat {
  std::string Group;
  GroupEpoch Epoch = 0;
};
/// Stop serving and keep the seat.
struct CloseSeat {
  std::string Group;
  GroupEpoch Epoch = 0;
  /// Whether requests in progress are aborted rather than finished.
  bool Evict = false;
};
/// Give up the seat.
struct LeaveSeat {
  std::string Group;
  GroupEpoch Epoch = 0;
};
/// Load a model's weights onto the host, in parallel to all other work.
struct StageModel {
  ModelName Model;
};

/// An order to an engine.
using SeatOrder =
    std::variant<JoinSeat, OpenSeat, CloseSeat, LeaveSeat, StageModel>;

/// @brief State that an engine reports when asked. It lags behind the actual
/// state, and its parts are of one moment.
struct EngineStatus {
  /// Unix time of the engine's start in milliseconds.
  std::uint64_t StartedAtMs = 0;
  /// Number of orders accepted in this run.
  std::uint64_t AcceptedOrders = 0;
  /// Whether it has a seat in a group.
  bool Seated = false;
};

/// Outcome of an order.
enum class OrderOutcome : std::uint8_t {
  /// It was accepted: carried out, or started.
  Taken,
  /// It does not fit the engine's state.
  Unfit,
  /// Refused: the engine has seen a higher fencing number or epoch.
  Fenced,
  /// Another endpoint has the address now.
  WrongEndpoint,
  /// It was not sent, since there was no connection.
  NotSent,
  /// No answer came: it may be carried out seconds later, after newer orders.
  Unknown
};

} // namespace coltsfoottrail

#endif
