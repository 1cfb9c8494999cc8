/// @file
/// What entry hosts tell each other about the groups that they watch over.
#ifndef COLTSFOOTTRAIL_GROUPS_BEAT_HPP
#define COLTSFOOTTRAIL_GROUPS_BEAT_HPP

#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/record/intent.hpp"

#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Names one beat of one run of an entry host.
struct BeatId {
  Incarnation Run = 0;
  /// Counts up from one.
  std::uint64_t Sequence = 0;
  // The linter reports on the body that the compiler makes.
  // NOLINTBEGIN(readability-identifier-naming,modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const BeatId &,
                                        const BeatId &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)
};

/// @brief Says: all groups that I watch over were well at some moment after I
/// had your beat, but for those listed. Its size does not grow with the number
/// of groups.
struct LivenessBeat {
  HostName From;
  BeatId Id;
  /// The receiver's beat that the sender had before it asked the members.
  BeatId Echo;
  /// Digest of the entry hosts by which the sender knows what it watches over.
  std::uint64_t PlanDigest = 0;
  /// Next of the sender's state: it watches over groups that serve in it.
  Offset StateNext = 0;
  /// Groups that it does not vouch for: it has no fresh answer of each member.
  std::vector<GroupId> Doubted;
  /// Those of the doubted whose silence has lasted for so long that it takes
  /// them for lost.
  std::vector<GroupId> Silent;
  /// Groups that it has proof of being broken.
  std::vector<GroupId> Broken;

  [[nodiscard]] friend bool operator==(const LivenessBeat &,
                                       const LivenessBeat &) = default;
};

/// Most groups listed in one beat; with more the sender vouches for none.
inline constexpr std::size_t MaxListedGroups = 1024;

/// @brief Writes a beat as the body of a message between entry hosts.
/// Thread-safe.
[[nodiscard]] Json writeBeat(const LivenessBeat &Beat);
/// @brief Reads a beat; unknown keys are passed over. Thread-safe.
/// @throws InputError It is not a beat.
[[nodiscard]] LivenessBeat readBeat(const Json &Value);

} // namespace coltsfoottrail

#endif
