/// @file
/// Heartbeats that entry hosts exchange about the groups that they watch.
#ifndef COLTSFOOTTRAIL_GROUPS_BEAT_HPP
#define COLTSFOOTTRAIL_GROUPS_BEAT_HPP

#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/record/intent.hpp"

#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Identifies one heartbeat of one run of an entry host.
struct BeatId {
  Incarnation Run = 0;
  /// Counts up from one.
  std::uint64_t Sequence = 0;
  // clang-tidy reports on the operator body that the compiler generates.
  [[nodiscard]] friend auto operator<=>(const BeatId &,
                                        const BeatId &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)
};

/// @brief Liveness heartbeat: states that all groups watched by the sender were
/// healthy at some moment after it had received the echoed heartbeat, except
/// for those listed. Its size does not grow with the number of groups.
struct LivenessBeat {
  HostName From;
  BeatId Id;
  /// Last heartbeat of the receiver that the sender had received before it
  /// queried the members.
  BeatId Echo;
  /// Digest of the entry hosts from which the sender derives which groups it
  /// watches.
  std::uint64_t PlanDigest = 0;
  /// State::Next of the sender's state: the sender watches groups that serve in
  /// it.
  Offset StateNext = 0;
  /// Groups that the sender does not vouch for, since it has no recent answer
  /// of each member.
  std::vector<GroupId> Doubted;
  /// Doubted groups whose members have been silent for so long that the sender
  /// takes the groups for lost.
  std::vector<GroupId> Silent;
  /// Groups that the sender has proof of being broken.
  std::vector<GroupId> Broken;

  [[nodiscard]] friend bool operator==(const LivenessBeat &,
                                       const LivenessBeat &) = default;
};

/// Maximum number of groups listed in one heartbeat; with more, the sender
/// vouches for none.
inline constexpr std::size_t MaxListedGroups = 1024;

/// @brief Encodes a heartbeat as the body of a message between entry hosts.
/// Thread-safe.
[[nodiscard]] Json writeBeat(const LivenessBeat &Beat);
/// @brief Decodes a heartbeat; unknown keys are ignored. Thread-safe.
/// @throws InputError The value is not a heartbeat.
[[nodiscard]] LivenessBeat readBeat(const Json &Value);

} // namespace coltsfoottrail

#endif
