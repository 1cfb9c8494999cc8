/// @file
/// How an entry host that knows nothing comes to the agreed state.
#ifndef COLTSFOOTTRAIL_CHECKPOINT_STARTER_HPP
#define COLTSFOOTTRAIL_CHECKPOINT_STARTER_HPP

#include "coltsfoottrail/checkpoint/parts.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/platform/log.hpp"

#include <optional>
#include <variant>

namespace coltsfoottrail {

/// Read one of the two streams and call onRead() with the result.
struct StartRead {
  /// Whether it is the checkpoint stream, else the agreed one.
  bool Checkpoints = false;
  Offset From = 0;
  std::size_t MaxEntries = 0;
};
/// The state to go on from: read the agreed stream from its Next.
struct StartFrom {
  State InitialState;
};
/// The log no longer holds what leads to the present state: the agreed stream
/// is trimmed above the newest checkpoint. Do not serve; an entry host that
/// still runs writes a checkpoint soon, so start again later.
struct HistoryLost {
  Offset Horizon = 0;
  /// Next of the newest whole checkpoint; nothing when there is none.
  std::optional<Offset> NewestCheckpoint;
};
/// The log did not answer: call start() again later.
struct StartRetry {};

using StartCommand =
    std::variant<StartRead, StartFrom, HistoryLost, StartRetry>;

/// @brief Finds the newest whole checkpoint whose tail the log still holds.
/// Pure. Not thread-safe.
class CheckpointRecovery {
public:
  /// @brief Makes a starter.
  /// @param Floor Never starts from a state below it: what this host has
  /// served, or a peer is known to have.
  explicit CheckpointRecovery(Offset Floor = 0) : LowestNext(Floor) {}

  /// @brief Begins, or begins again.
  [[nodiscard]] StartCommand start();

  /// @brief Takes the result of the last StartRead.
  /// @param Result What the log answered.
  /// @return What to do next.
  [[nodiscard]] StartCommand onRead(const ReadResult &Result);

  /// @brief Why checkpoints were passed over, for the operator's log.
  [[nodiscard]] const std::vector<std::string> &problems() const noexcept {
    return Parts.problems();
  }

private:
  enum class Phase : std::uint8_t { FindParts, ReadParts, FindTail };

  [[nodiscard]] StartCommand readParts(Offset From);
  [[nodiscard]] StartCommand takeParts(const LogBatch &Batch);
  [[nodiscard]] StartCommand decide(Offset Horizon);

  Offset LowestNext;
  Phase Now = Phase::FindParts;
  Offset PartsEnd = 0;
  CheckpointAssembler Parts;
};

} // namespace coltsfoottrail

#endif
