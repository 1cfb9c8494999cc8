/// @file
/// The pure function from records to the agreed state.
#ifndef COLTSFOOTTRAIL_FOLD_FOLD_HPP
#define COLTSFOOTTRAIL_FOLD_FOLD_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <optional>
#include <string>

namespace coltsfoottrail {

/// What became of a record at its offset.
enum class FoldEffect : std::uint8_t { Applied, Void, Twin, Unreadable };

/// @brief What became of a record and, where it was void, why.
struct FoldResult {
  FoldEffect Effect = FoldEffect::Applied;
  /// For people; names the record that beat this one where there is one.
  std::string Why;
  /// Offset of the record that beat this one.
  std::optional<Offset> BeatenBy;
};

/// @brief Folds one record into a state. Pure: reads no clock, draws nothing,
/// the same on every host.
/// @param Into The state; its Next must not be above At.
/// @param At The record's offset.
/// @param Bytes The record as it stands on the log; anything may stand there.
/// @return What became of it. Never throws for what stands on the log:
/// unreadable records change nothing.
FoldResult foldRecord(State &Into, Offset At, ByteView Bytes);

/// @brief Digest of a state; equal states have equal digests on all hosts.
/// Thread-safe.
/// @param Of The state.
[[nodiscard]] std::uint64_t digestOf(const State &Of);

} // namespace coltsfoottrail

#endif
