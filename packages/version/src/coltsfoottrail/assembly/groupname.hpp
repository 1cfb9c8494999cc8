/// @file
/// Names of groups, which tell a successor in the duty what it must know.
#ifndef COLTSFOOTTRAIL_ASSEMBLY_GROUPNAME_HPP
#define COLTSFOOTTRAIL_ASSEMBLY_GROUPNAME_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/fleet/endpoint.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief What a group's name tells.
struct GroupNameParts {
  ModelName Model;
  std::uint64_t LeaderBorn = 0;
  EndpointName Leader;
};

/// @brief Names a group after its model and leader, so that whoever takes the
/// duty over learns both from the seat of any member, also when the leader has
/// moved on or is gone. Thread-safe.
[[nodiscard]] std::string groupName(const ModelName &Model,
                                    const EndpointRecord &Leader);
/// @brief Reads a name that groupName() made; nothing for any other.
/// Thread-safe.
[[nodiscard]] std::optional<GroupNameParts>
parseGroupName(std::string_view Name);

/// @brief Names the group of one in which a spare holds a model ready.
/// Thread-safe.
[[nodiscard]] std::string standbyName(const ModelName &Model,
                                      const EndpointRecord &Spare);
/// @brief Whether a seat is a spare's own: it serves nobody, and its engine may
/// take any other seat. Thread-safe.
[[nodiscard]] bool isStandby(const GroupSeat &Seat) noexcept;

} // namespace coltsfoottrail

#endif
