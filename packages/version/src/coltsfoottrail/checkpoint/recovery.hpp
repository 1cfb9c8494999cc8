/// @file
/// Recovery of the agreed state from the log by an entry host that starts.
#ifndef COLTSFOOTTRAIL_CHECKPOINT_RECOVERY_HPP
#define COLTSFOOTTRAIL_CHECKPOINT_RECOVERY_HPP

#include "coltsfoottrail/checkpoint/parts.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/platform/log.hpp"

#include <optional>
#include <variant>

namespace coltsfoottrail {

/// Command to read one of the two streams and call onRead() with the result.
struct StartRead {
  /// Whether to read the checkpoint stream instead of the agreed one.
  bool Checkpoints = false;
  Offset From = 0;
  std::size_t MaxEntries = 0;
};
/// Recovery has succeeded: start from this state and read the agreed stream
/// from its Next.
struct StartFrom {
  State InitialState;
};
/// The log no longer holds the records that lead to the present state: the
/// agreed stream is trimmed above the newest checkpoint. The host must not
/// serve; an entry host that still runs writes a checkpoint soon, so call
/// start() again later.
struct HistoryLost {
  Offset Horizon = 0;
  /// Next of the newest complete checkpoint; nothing if there is none.
  std::optional<Offset> NewestCheckpoint;
};
/// The log did not respond: call start() again later.
struct StartRetry {};

using StartCommand =
    std::variant<StartRead, StartFrom, HistoryLost, StartRetry>;

/// @brief Finds the newest complete checkpoint for which the log still holds
/// all later records. Pure. Not thread-safe.
class CheckpointRecovery {
public:
  /// @brief Creates a recovery.
  /// @param Floor Lowest Next to start from: that of a state which this host
  /// has served or a peer is known to have.
  explicit CheckpointRecovery(Offset Floor = 0) : LowestNext(Floor) {}

  /// @brief Starts or restarts the recovery.
  [[nodiscard]] StartCommand start();

  /// @brief Processes the result of the last StartRead.
  /// @param Result Response of the log.
  /// @return The next command.
  [[nodiscard]] StartCommand onRead(const ReadResult &Result);

  /// @brief Reasons why checkpoints were skipped, for the operator's log.
  [[nodiscard]] const std::vector<std::string> &problems() const noexcept {
    return Assembler.problems();
  }

private:
  enum class Phase : std::uint8_t { FindParts, ReadParts, FindTail };

  [[nodiscard]] StartCommand readParts(Offset From);
  [[nodiscard]] StartCommand addParts(const LogBatch &Batch);
  [[nodiscard]] StartCommand chooseState(Offset Horizon);

  Offset LowestNext;
  Phase CurrentPhase = Phase::FindParts;
  Offset PartsEnd = 0;
  CheckpointAssembler Assembler;
};

} // namespace coltsfoottrail

#endif
