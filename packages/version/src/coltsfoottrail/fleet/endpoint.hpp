/// @file
/// The record that an endpoint publishes about itself.
#ifndef COLTSFOOTTRAIL_FLEET_ENDPOINT_HPP
#define COLTSFOOTTRAIL_FLEET_ENDPOINT_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/fleet/fwd.hpp"
#include "coltsfoottrail/platform/engine.hpp"

#include <optional>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// Phase of the membership of an endpoint in a group.
enum class SeatPhase : std::uint8_t {
  /// Weights are being loaded.
  Joining,
  /// Ready to serve. A leader in this phase does not serve.
  Ready,
  /// The leader serves.
  Open,
  /// The leader finishes its requests and accepts no more.
  Closing,
  /// The leader has noticed that a member is lost.
  Broken
};

/// @brief Whether the leader of a group has requests in this phase.
/// Thread-safe.
[[nodiscard]] constexpr bool isInService(SeatPhase Phase) noexcept {
  return Phase == SeatPhase::Open || Phase == SeatPhase::Closing;
}

/// @brief Membership of an endpoint in a group.
struct GroupSeat {
  std::string Group;
  GroupEpoch Epoch = 0;
  /// Zero is the leader, which takes the group's requests.
  std::uint32_t Rank = 0;
  SeatPhase Phase = SeatPhase::Joining;

  [[nodiscard]] friend bool operator==(const GroupSeat &,
                                       const GroupSeat &) = default;
};

/// @brief Whether an endpoint accepts new work.
enum class EndpointState : std::uint8_t { Serving, Draining };

/// @brief The record that an endpoint last published.
struct EndpointRecord {
  EndpointName Name;
  EngineAddress Address;
  DataCentreName DataCentre;
  /// Empty for endpoints of plain services.
  FabricDomainName Domain;
  ServiceName Service;
  EndpointState State = EndpointState::Serving;
  /// Unix time of its start in milliseconds: distinguishes the runs of one
  /// endpoint.
  std::uint64_t StartedAtMs = 0;
  /// Grows with each record of one run.
  std::uint64_t Sequence = 0;
  /// How long it remains cold, as of this record.
  milliseconds ColdFor{0};
  std::uint32_t Slots = 0;
  /// Models whose weights are on its host.
  std::vector<ModelName> Staged;
  /// Models that it serves or last served.
  std::vector<ModelName> Loaded;
  std::optional<GroupSeat> Seat;

  /// @brief Whether it describes a model engine: where it stands in the fabric,
  /// its models and its seat.
  [[nodiscard]] bool isEngine() const noexcept { return !Domain.empty(); }
  /// @brief Whether the endpoint leads a group that serves.
  [[nodiscard]] bool isServingLeader() const noexcept {
    return Seat && Seat->Rank == 0 && Seat->Phase == SeatPhase::Open;
  }
};

} // namespace coltsfoottrail

#endif
