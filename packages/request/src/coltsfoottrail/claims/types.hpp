/// @file
/// Claims on requests that may run once at the most: what is asked, what is
/// answered, what is commanded.
#ifndef COLTSFOOTTRAIL_CLAIMS_TYPES_HPP
#define COLTSFOOTTRAIL_CLAIMS_TYPES_HPP

#include "coltsfoottrail/claims/fwd.hpp"
#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/verdict/verdict.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Partitions of the claims. A constant and no setting: two hosts that
/// disagreed on it would claim one key on two streams, and both would be first.
inline constexpr ClaimPartition ClaimPartitions = 8;
/// Longest body of an outcome that is kept for callers who ask again.
inline constexpr std::size_t MaxOutcomeBytes = std::size_t{16} << 10U;
/// Most that the wall clocks of two hosts, or of a host and a caller, differ.
inline constexpr seconds MaxClockSkew{60};
/// Longest idempotency key.
inline constexpr std::size_t MaxClaimKeyBytes = 256;

/// @brief Names one try to claim a key; never used again.
struct ClaimId {
  /// The claimant's run.
  Incarnation Run = 0;
  std::uint64_t Sequence = 0;
  // The linter reports on the body that the compiler makes.
  // NOLINTBEGIN(readability-identifier-naming,modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const ClaimId &,
                                        const ClaimId &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)
};

/// @brief An idempotency key in its team's scope.
struct ClaimKey {
  TeamName Team;
  std::string Key;
  [[nodiscard]] friend auto operator<=>(const ClaimKey &,
                                        const ClaimKey &) = default;
};

/// @brief The two clocks at the moment of an event.
struct ClaimTime {
  TimePoint Now;
  /// Seconds since 1970 by the wall clock; only the life of keys rests on it.
  std::uint64_t Wall = 0;
};

/// @brief What the endpoint answered, for callers who ask again.
struct StoredOutcome {
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  /// False where the request ran but the body was too large to keep, or lost.
  bool BodyKept = true;
  [[nodiscard]] friend bool operator==(const StoredOutcome &,
                                       const StoredOutcome &) = default;
};
/// The claimant has not sent the request and never will: the key is free.
struct ReleaseClaim {
  [[nodiscard]] friend bool operator==(const ReleaseClaim &,
                                       const ReleaseClaim &) = default;
};
/// The request may have run and its claimant will not learn more.
struct OutcomeUnknown {
  [[nodiscard]] friend bool operator==(const OutcomeUnknown &,
                                       const OutcomeUnknown &) = default;
};
/// How a claim ended.
using Settlement = std::variant<ReleaseClaim, OutcomeUnknown, StoredOutcome>;

/// The claim stands first on the log: the claimant may send the request, once.
struct ClaimGranted {
  /// Offset of the claim's record.
  Offset Fence = 0;
  [[nodiscard]] friend bool operator==(const ClaimGranted &,
                                       const ClaimGranted &) = default;
};
/// The request has run; this was its answer.
struct ClaimReplay {
  StoredOutcome Outcome;
  [[nodiscard]] friend bool operator==(const ClaimReplay &,
                                       const ClaimReplay &) = default;
};
/// Another try with the key is under way.
struct ClaimInProgress {
  HostName Claimant;
  /// Offset of the claim's record.
  Offset Fence = 0;
  /// Offset up to which the owner that decided had read the partition.
  Offset ReadUpTo = 0;
  [[nodiscard]] friend bool operator==(const ClaimInProgress &,
                                       const ClaimInProgress &) = default;
};
/// The key has been used with another body.
struct ClaimBodyDiffers {
  [[nodiscard]] friend bool operator==(const ClaimBodyDiffers &,
                                       const ClaimBodyDiffers &) = default;
};
/// A try with the key may have run and nobody will learn more.
struct ClaimMayHaveRun {
  [[nodiscard]] friend bool operator==(const ClaimMayHaveRun &,
                                       const ClaimMayHaveRun &) = default;
};
/// The key's birth lies outside the time for which claims are kept: an earlier
/// try may be forgotten.
struct ClaimKeyExpired {
  [[nodiscard]] friend bool operator==(const ClaimKeyExpired &,
                                       const ClaimKeyExpired &) = default;
};
/// No answer from the log before the deadline: this try was not sent and will
/// not be.
struct ClaimUnavailable {
  /// The key is older than this try, so an earlier one may have run.
  bool EarlierTry = false;
  [[nodiscard]] friend bool operator==(const ClaimUnavailable &,
                                       const ClaimUnavailable &) = default;
};
/// Only for queries: the last try with the key was given up before it was sent.
struct ClaimNotRun {
  [[nodiscard]] friend bool operator==(const ClaimNotRun &,
                                       const ClaimNotRun &) = default;
};
/// Only for queries: no claim of the key is kept, as far as the log went when
/// the query came.
struct ClaimNotKnown {
  [[nodiscard]] friend bool operator==(const ClaimNotKnown &,
                                       const ClaimNotKnown &) = default;
};
/// What a claimant, or who asks for an outcome, is told.
using ClaimDecision =
    std::variant<ClaimGranted, ClaimReplay, ClaimInProgress, ClaimBodyDiffers,
                 ClaimMayHaveRun, ClaimKeyExpired, ClaimUnavailable,
                 ClaimNotRun, ClaimNotKnown>;

/// @brief A request that may run once at the most.
struct ClaimRequest {
  ClaimKey ScopedKey;
  /// SHA-256 of target and body in hexadecimal digits.
  std::string BodyDigest;
  /// When the key was made, in seconds since 1970, where that is known: see
  /// birthOfKey().
  std::optional<std::uint64_t> Birth;
};

/// Claim a key for a claimant. Sent again with the same id until answered.
struct AcquireClaim {
  ClaimId Id;
  HostName Claimant;
  ClaimRequest Request;
  /// The asker's wall clock.
  std::uint64_t Wall = 0;
  /// Time that the asker still waits.
  milliseconds Budget{0};
};
/// Record how a claim ended. Sent again until confirmed.
struct ClaimSettle {
  ClaimId Id;
  ClaimKey ScopedKey;
  Settlement Result;
};
/// Ask for a key's outcome without claiming it.
struct ClaimQuery {
  ClaimId Id;
  ClaimKey ScopedKey;
};
/// Answer to a AcquireClaim or a ClaimQuery.
struct ClaimAnswer {
  ClaimId Id;
  ClaimKey ScopedKey;
  ClaimDecision Decision;
};
/// The settlement is on the log.
struct ClaimSettled {
  ClaimId Id;
};
/// What entry hosts tell each other about claims.
using ClaimMessage = std::variant<AcquireClaim, ClaimSettle, ClaimQuery,
                                  ClaimAnswer, ClaimSettled>;

/// Append to a partition's stream; answer with ClaimService::appended().
struct ClaimAppend {
  ClaimPartition Partition = 0;
  std::vector<std::byte> Payload;
  /// Passed back with the result.
  std::uint64_t Token = 0;
};
/// Read a partition's stream without waiting; answer with ClaimService::read().
struct ClaimRead {
  ClaimPartition Partition = 0;
  Offset From = 0;
  /// Passed back with the result.
  std::uint64_t Token = 0;
};
/// Send a message to a peer; may be lost, repeated or late.
struct ClaimSend {
  HostName To;
  ClaimMessage Message;
};
/// Tell a claimant or querier of this host the decision; once for each id.
struct DeliverDecision {
  ClaimId Id;
  ClaimDecision Decision;
  /// A granted request must leave before this time or be settled as released.
  TimePoint DispatchBefore;
};
using ClaimCommand =
    std::variant<ClaimAppend, ClaimRead, ClaimSend, DeliverDecision>;
using ClaimCommands = std::vector<ClaimCommand>;

/// @brief An entry host that has joined and not left.
struct ClaimMember {
  HostName Host;
  Incarnation Run = 0;
};

/// @brief Limits and times; hosts may differ in all of them.
struct ClaimOptions {
  HostName Self;
  Incarnation Run = 0;
  /// How long a claim is kept; with twice MaxClockSkew it must stay below the
  /// log's retention. Carried by each record, so hosts with other settings
  /// agree.
  seconds KeyLife{6 * 3600};
  /// An append waits this long for more claims.
  milliseconds BatchDelay{5};
  /// Least time from one append to the next of a partition: with 8 partitions
  /// 40 ms keep the claims below 200 appends a second in all.
  milliseconds MinAppendInterval{40};
  std::size_t MaxBatchBytes = std::size_t{256} << 10U;
  /// Asks and settlements that wait in one partition.
  std::size_t MaxWaiting = 4096;
  /// Memory of one partition's ledger, in bytes; at more, new keys are refused.
  std::size_t MaxLedgerBytes = std::size_t{64} << 20U;
  /// Memory of settlements that are not confirmed yet, in bytes.
  std::size_t MaxSettlingBytes = std::size_t{8} << 20U;
  /// The next owner is asked when one has not answered for this long.
  milliseconds AskTimeout{250};
  /// A failed append or read is tried again after this, doubled up to a second.
  milliseconds RetryDelay{20};
  /// A partition that belongs to another host is forgotten when unused for
  /// this long.
  seconds CloseAfter{300};
  /// A claimant that this host has not seen join counts as gone after this.
  seconds UnknownClaimantGrace{10};
};

/// @brief Partition of a key. Thread-safe.
[[nodiscard]] ClaimPartition partitionOf(const ClaimKey &What);

/// @brief Stream of a partition. Thread-safe.
[[nodiscard]] StreamName claimStream(ClaimPartition Which);

/// @brief When a key was made, if it is a UUID of version 7 (RFC 9562), which
/// carries its time. Thread-safe.
/// @param Key The key.
/// @return Seconds since 1970, or nothing for any other key.
[[nodiscard]] std::optional<std::uint64_t> birthOfKey(std::string_view Key);

/// @brief The refusal that goes with a decision. Thread-safe.
/// @param Decision What a claimant was told.
/// @return Nothing for ClaimGranted, ClaimReplay, ClaimNotRun and
/// ClaimNotKnown.
[[nodiscard]] std::optional<Verdict> verdictOf(const ClaimDecision &Decision);

} // namespace coltsfoottrail

#endif
