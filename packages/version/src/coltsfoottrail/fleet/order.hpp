/// @file
/// Orders that seat engines in groups.
#ifndef COLTSFOOTTRAIL_FLEET_ORDER_HPP
#define COLTSFOOTTRAIL_FLEET_ORDER_HPP

#include "coltsfoottrail/fleet/endpoint.hpp"

#include <string>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Take a seat in a group; replaces the seat that is held.
struct JoinSeat {
  std::string Group;
  GroupEpoch Epoch = 0;
  ModelName Model;
  /// The leader first.
  std::vector<EndpointName> Members;
};
/// Start to serve; for the leader of a group whose members are all ready.
struct OpenSeat {
  std::string Group;
  GroupEpoch Epoch = 0;
};
/// Stop to serve; the seat stays.
struct CloseSeat {
  std::string Group;
  GroupEpoch Epoch = 0;
  /// Whether work in progress is cut off rather than finished.
  bool Evict = false;
};
/// Give the seat up.
struct LeaveSeat {
  std::string Group;
  GroupEpoch Epoch = 0;
};
/// Load a model's weights onto the host, beside all other work.
struct StageModel {
  ModelName Model;
};

/// What an engine is told to do.
using SeatOrder =
    std::variant<JoinSeat, OpenSeat, CloseSeat, LeaveSeat, StageModel>;

/// How an order ended.
enum class OrderOutcome : std::uint8_t {
  /// It has begun, or is done.
  Taken,
  /// It does not fit the engine's state.
  Unfit,
  /// A higher fencing number or epoch has been seen there.
  Fenced,
  /// Another endpoint has the address now.
  WrongEndpoint,
  /// It was not sent: no connection.
  NotSent,
  /// No answer: it may be carried out seconds later, after newer orders.
  Unknown
};

} // namespace coltsfoottrail

#endif
