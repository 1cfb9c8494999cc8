/// @file
/// The fold: the pure function that applies the records of the agreed stream to
/// the agreed state.
#ifndef COLTSFOOTTRAIL_FOLD_FOLD_HPP
#define COLTSFOOTTRAIL_FOLD_FOLD_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <optional>
#include <string>

namespace coltsfoottrail {

/// Number of records for which ended plans and unconfirmed proposals stay in
/// the state.
inline constexpr Offset PlanRetention = 4096;
/// Number of records, counted from its last one, for which a run that is not a
/// joined entry host stays known as a writer; a retry after that is not
/// recognised as a duplicate.
inline constexpr Offset WriterRetention = 65536;
/// Expired plans and writers are erased whenever Next passes a multiple of this
/// number of records.
inline constexpr Offset SweepInterval = 1024;
/// Maximum number of proposed declarations that wait for confirmation at once;
/// beyond it the oldest is abandoned.
inline constexpr std::size_t MaxDeclarationProposals = 8;

/// Effect of a record at its offset.
enum class FoldEffect : std::uint8_t { Applied, Void, Duplicate, Unreadable };

/// @brief Effect of a record and, where it was void, the reason.
struct FoldResult {
  FoldEffect Effect = FoldEffect::Applied;
  /// Human-readable; states what the record conflicts with, if anything.
  std::string Reason;
  /// Offset of the record that this one conflicts with.
  std::optional<Offset> ConflictingOffset;
};

/// @brief Folds one record into a state. Pure: uses no clock and no random
/// numbers, so that the result is the same on every host.
///
/// A record is void if its preconditions do not hold at its own offset. A
/// confirmed plan's intent is in force from the offset of the confirmation on,
/// whatever its steps. Groups occupy their hosts from the confirmation on if
/// these are free by then, else from the offset at which their step begins;
/// hosts that a running plan has yet to occupy are refused to other plans.
/// Consecutive StopGroup steps begin together, with the first of them. Appends
/// of one run must reach the log in the order of their sequence numbers: a
/// writer waits for an append's outcome, retrying it, before it makes the next
/// one.
/// @param Current The state. A record below its Next changes nothing and counts
/// as a duplicate.
/// @param RecordOffset The record's offset.
/// @param Bytes The record as read from the log; may be arbitrary bytes.
/// @return Effect of the record. Never throws for the content of the log:
/// unreadable records change nothing.
FoldResult foldRecord(State &Current, Offset RecordOffset, ByteView Bytes);

/// @brief Replaces a whole declaration in a plan by its difference to the
/// current declaration, where that is shorter. To be called before a plan is
/// written: at 10,000 hosts a whole declaration is more than a megabyte.
/// Thread-safe.
/// @param Proposal A plan.
/// @param Current The state that it was planned on.
void shortenPlan(Plan &Proposal, const State &Current);

/// @brief Digest of a state; equal states have equal digests on all hosts.
/// Thread-safe.
/// @param Source The state.
[[nodiscard]] std::uint64_t digestOf(const State &Source);

} // namespace coltsfoottrail

#endif
