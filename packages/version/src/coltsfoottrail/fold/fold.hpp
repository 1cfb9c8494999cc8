/// @file
/// The pure function from records to the agreed state.
#ifndef COLTSFOOTTRAIL_FOLD_FOLD_HPP
#define COLTSFOOTTRAIL_FOLD_FOLD_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <optional>
#include <string>

namespace coltsfoottrail {

/// Ended plans, and proposals that nobody confirmed, stay in the state for this
/// many records.
inline constexpr Offset PlanRetention = 4096;
/// A run that is no joined entry host stays known as a writer for this many
/// records after its last one; a retry that comes later still is not recognised
/// as a twin.
inline constexpr Offset WriterRetention = 65536;
/// What is to be forgotten is dropped whenever Next passes a multiple of this.
inline constexpr Offset SweepInterval = 1024;
/// Most proposals of whole declarations that wait for confirmation at once; the
/// oldest gives way.
inline constexpr std::size_t MaxDeclarationProposals = 8;

/// What became of a record at its offset.
enum class FoldEffect : std::uint8_t { Applied, Void, Duplicate, Unreadable };

/// @brief What became of a record and, where it was void, why.
struct FoldResult {
  FoldEffect Effect = FoldEffect::Applied;
  /// For people; names the record that beat this one where there is one.
  std::string Reason;
  /// Offset of the record that beat this one.
  std::optional<Offset> ConflictingOffset;
};

/// @brief Folds one record into a state. Pure: reads no clock, draws nothing,
/// the same on every host.
///
/// A record is void when what it rests on does not hold at its own offset. A
/// confirmed plan's intent is in force from the offset of the confirmation on,
/// whatever its steps. Groups occupy their hosts from the confirmation on where
/// these are free then, else from the offset at which their step begins; hosts
/// that a running plan has still to occupy are refused to other plans.
/// Consecutive StopGroup steps begin together, with the first of them. Appends
/// of one run must reach the log in the order of their sequences: a writer
/// waits for an append's outcome, retrying it, before it makes the next one.
/// @param Into The state. A record below its Next changes nothing and counts as
/// a twin.
/// @param At The record's offset.
/// @param Bytes The record as it stands on the log; anything may stand there.
/// @return What became of it. Never throws for what stands on the log:
/// unreadable records change nothing.
FoldResult foldRecord(State &Into, Offset At, ByteView Bytes);

/// @brief Replaces a whole declaration in a plan by its difference to what is
/// declared, where that is shorter. Call it before a plan is written: at 10,000
/// hosts a whole declaration is more than a megabyte. Thread-safe.
/// @param Proposal A plan.
/// @param Now The state that it was planned on.
void shortenPlan(Plan &Proposal, const State &Now);

/// @brief Digest of a state; equal states have equal digests on all hosts.
/// Thread-safe.
/// @param Of The state.
[[nodiscard]] std::uint64_t digestOf(const State &Of);

} // namespace coltsfoottrail

#endif
