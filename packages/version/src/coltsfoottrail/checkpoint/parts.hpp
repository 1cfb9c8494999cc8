/// @file
/// Checkpoints in parts: cutting, collecting, verifying.
#ifndef COLTSFOOTTRAIL_CHECKPOINT_PARTS_HPP
#define COLTSFOOTTRAIL_CHECKPOINT_PARTS_HPP

#include "coltsfoottrail/checkpoint/fwd.hpp"
#include "coltsfoottrail/fold/state.hpp"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// Bytes of state in one part.
inline constexpr std::size_t CheckpointPartBytes = std::size_t{256} << 10U;
/// Most parts of one checkpoint.
inline constexpr std::uint32_t MaxCheckpointParts = 1024;

/// @brief Cuts a checkpoint of a state into parts. Thread-safe.
/// @param Of The state.
/// @return The parts in order, at least one.
/// @throws Error The state is too large for MaxCheckpointParts.
[[nodiscard]] std::vector<CheckpointPart> splitCheckpoint(const State &Of);

/// @brief The record for the agreed stream that announces a checkpoint whose
/// parts are all on the log. Thread-safe.
/// @param Part Any of its parts.
[[nodiscard]] CheckpointPart announcementOf(const CheckpointPart &Part);

/// @brief Collects parts off the checkpoint stream and answers the newest whole
/// and undamaged checkpoint. Pure. Not thread-safe.
///
/// Two writers of one checkpoint do no harm: their parts are told apart by run,
/// and either set will do.
class CheckpointAssembler {
public:
  /// @brief Takes a record of the checkpoint stream; anything may stand there.
  /// @param Bytes The record.
  void add(ByteView Bytes);

  /// @brief Answers the state of the newest whole checkpoint that decodes to
  /// its digest. Damaged ones fall back to the one before and are dropped.
  /// @param LowestNext Checkpoints of older states are of no use and passed
  /// over.
  /// @return The state, or nothing.
  [[nodiscard]] std::optional<State> newest(Offset LowestNext = 0);

  /// @brief Why checkpoints were dropped, for the operator's log.
  [[nodiscard]] const std::vector<std::string> &problems() const noexcept {
    return Problems;
  }

private:
  struct Key {
    Offset At = 0;
    Incarnation Run = 0;
    std::uint64_t Digest = 0;
    std::uint32_t Parts = 0;
    [[nodiscard]] friend bool operator==(const Key &, const Key &) = default;
    [[nodiscard]] bool operator<(const Key &Other) const;
  };
  using Collected = std::map<std::uint32_t, std::vector<std::uint8_t>>;

  [[nodiscard]] std::optional<State> decode(const Key &Which,
                                            const Collected &Parts);
  void dropOld();

  std::map<Key, Collected> Sets;
  std::vector<std::string> Problems;
};

} // namespace coltsfoottrail

#endif
