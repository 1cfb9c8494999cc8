/// @file
/// Names of groups. A new coordinator reads the model and the leader of a group
/// from its name.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_GROUPNAME_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_GROUPNAME_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/fleet/endpoint.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief The parts of a group name.
struct GroupNameParts {
  ModelName Model;
  std::uint64_t LeaderStartedAtMs = 0;
  EndpointName Leader;
};

/// @brief Names a group after its model and leader, so that a new coordinator
/// learns both from the seat of any member, even if the leader has moved to
/// another group or is gone. Thread-safe.
[[nodiscard]] std::string groupName(const ModelName &Model,
                                    const EndpointRecord &Leader);
/// @brief Parses a name made by groupName(). Thread-safe.
/// @return Nothing for any other name.
[[nodiscard]] std::optional<GroupNameParts>
parseGroupName(std::string_view Name);

/// @brief Names the single-member group in which a spare engine keeps a model
/// loaded. Thread-safe.
[[nodiscard]] std::string standbyName(const ModelName &Model,
                                      const EndpointRecord &Spare);
/// @brief Whether a seat is in a spare's own single-member group. Such a group
/// serves no requests, and its engine may take any other seat. Thread-safe.
[[nodiscard]] bool isStandby(const GroupSeat &Seat) noexcept;

} // namespace coltsfoottrail

#endif
