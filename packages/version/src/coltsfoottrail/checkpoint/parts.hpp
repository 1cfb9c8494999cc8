/// @file
/// Splitting checkpoints into parts, and collecting and verifying them.
#ifndef COLTSFOOTTRAIL_CHECKPOINT_PARTS_HPP
#define COLTSFOOTTRAIL_CHECKPOINT_PARTS_HPP

#include "coltsfoottrail/checkpoint/fwd.hpp"
#include "coltsfoottrail/fold/state.hpp"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace coltsfoottrail {

/// Maximum number of state bytes in one part.
inline constexpr std::size_t CheckpointPartBytes = std::size_t{256} << 10U;
/// Maximum number of parts of one checkpoint.
inline constexpr std::uint32_t MaxCheckpointParts = 1024;

/// @brief Encodes a checkpoint of a state in parts. Thread-safe.
/// @param Source The state.
/// @return The parts in order, at least one.
/// @throws Error The state is too large for MaxCheckpointParts.
[[nodiscard]] std::vector<CheckpointPart> splitCheckpoint(const State &Source);

/// @brief Creates the record that announces a checkpoint on the agreed stream,
/// once all its parts are on the log. Thread-safe.
/// @param Part Any of its parts.
[[nodiscard]] CheckpointPart announcementOf(const CheckpointPart &Part);

/// @brief Collects parts from the checkpoint stream and returns the newest
/// complete, undamaged checkpoint. Pure. Not thread-safe.
///
/// Two hosts may write the same checkpoint: their parts are distinguished by
/// run, and either set is sufficient.
class CheckpointAssembler {
public:
  /// @brief Adds a record of the checkpoint stream.
  /// @param Bytes The record; may be arbitrary bytes.
  void add(ByteView Bytes);

  /// @brief Returns the state of the newest complete checkpoint that matches
  /// its digest. Damaged checkpoints are dropped and the one before is tried.
  /// @param LowestNext Checkpoints of older states are skipped.
  /// @return The state; nothing if there is none.
  [[nodiscard]] std::optional<State> newest(Offset LowestNext = 0);

  /// @brief Reasons why checkpoints were dropped, for the operator's log.
  [[nodiscard]] const std::vector<std::string> &problems() const noexcept {
    return Problems;
  }

private:
  struct Key {
    Offset StateNext = 0;
    Incarnation Run = 0;
    std::uint64_t Digest = 0;
    std::uint32_t Parts = 0;
    [[nodiscard]] friend bool operator==(const Key &, const Key &) = default;
    [[nodiscard]] bool operator<(const Key &Other) const;
  };
  using Collected = std::map<std::uint32_t, std::vector<std::uint8_t>>;

  [[nodiscard]] std::optional<State> decode(const Key &Id,
                                            const Collected &Parts);
  void dropExcessSets();

  std::map<Key, Collected> PartSets;
  std::vector<std::string> Problems;
};

} // namespace coltsfoottrail

#endif
