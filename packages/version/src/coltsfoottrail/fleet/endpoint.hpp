/// @file
/// What an endpoint publishes of itself.
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

/// Where an endpoint stands in its group.
enum class SeatPhase : std::uint8_t {
  /// Weights are being loaded.
  Joining,
  /// Ready to serve; of a leader: not serving.
  Ready,
  /// The leader serves.
  Open,
  /// The leader finishes its work and takes no more.
  Closing,
  /// The leader has noticed that a member is lost.
  Broken
};

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

/// @brief Whether an endpoint takes new work.
enum class EndpointState : std::uint8_t { Serving, Draining };

/// @brief What an endpoint last published of itself.
struct EndpointRecord {
  EndpointName Name;
  EngineAddress Address;
  DataCentreName DataCentre;
  FabricDomainName Domain;
  ServiceName Service;
  EndpointState State = EndpointState::Serving;
  /// Unix milliseconds of its start: tells two lives under one name apart.
  std::uint64_t StartedAtMs = 0;
  /// Grows with each record of one life.
  std::uint64_t Sequence = 0;
  /// How long it stays cold, as of this record.
  milliseconds ColdFor{0};
  std::uint32_t Slots = 0;
  /// Models whose weights are on its host.
  std::vector<ModelName> Staged;
  /// Models that it serves or last served.
  std::vector<ModelName> Loaded;
  std::optional<GroupSeat> Seat;

  /// @brief Whether it is the leader of a group that serves.
  [[nodiscard]] bool isServingLeader() const noexcept {
    return Seat && Seat->Rank == 0 && Seat->Phase == SeatPhase::Open;
  }
};

} // namespace coltsfoottrail

#endif
