/// @file
/// Claims on the idempotency keys of requests that may run at most once:
/// requests, decisions, messages and commands.
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

/// Number of partitions of the claims. A constant, not a setting: two hosts
/// with different values would claim the same key on two streams, and both
/// claims would be granted.
inline constexpr ClaimPartition ClaimPartitions = 8;
/// Largest response body that is stored for repeated requests.
inline constexpr std::size_t MaxOutcomeBytes = std::size_t{16} << 10U;
/// Largest difference between the wall clocks of two hosts, or of a host and a
/// caller.
inline constexpr seconds MaxClockSkew{60};
/// Largest size of an idempotency key.
inline constexpr std::size_t MaxClaimKeyBytes = 256;

/// @brief Identifies one attempt to claim a key; never reused.
struct ClaimId {
  /// The claimant's run.
  Incarnation Run = 0;
  std::uint64_t Sequence = 0;
  // The linter reports on the compiler-generated body.
  // NOLINTBEGIN(readability-identifier-naming,modernize-use-nullptr)
  [[nodiscard]] friend auto operator<=>(const ClaimId &,
                                        const ClaimId &) = default;
  // NOLINTEND(readability-identifier-naming,modernize-use-nullptr)
};

/// @brief An idempotency key, scoped to its team.
struct ClaimKey {
  TeamName Team;
  std::string Key;
  [[nodiscard]] friend auto operator<=>(const ClaimKey &,
                                        const ClaimKey &) = default;
};

/// @brief Monotonic and wall clock time of an event.
struct ClaimTime {
  TimePoint Now;
  /// Wall clock in seconds since 1970; used only for the lifetime of keys.
  std::uint64_t Wall = 0;
};

/// @brief The endpoint's response, stored for repeated requests.
struct StoredOutcome {
  std::uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  /// False if the request ran but its body was lost or too large to store.
  bool BodyKept = true;
  [[nodiscard]] friend bool operator==(const StoredOutcome &,
                                       const StoredOutcome &) = default;
};
/// The claimant has not sent the request and never will; the key is free.
struct ReleaseClaim {
  [[nodiscard]] friend bool operator==(const ReleaseClaim &,
                                       const ReleaseClaim &) = default;
};
/// The request may have run, and its claimant cannot find out.
struct OutcomeUnknown {
  [[nodiscard]] friend bool operator==(const OutcomeUnknown &,
                                       const OutcomeUnknown &) = default;
};
/// How a claim ended.
using Settlement = std::variant<ReleaseClaim, OutcomeUnknown, StoredOutcome>;

/// The claim is the first of its key on the log: the claimant may send the
/// request, once.
struct ClaimGranted {
  /// Offset of the claim's record.
  Offset Fence = 0;
  [[nodiscard]] friend bool operator==(const ClaimGranted &,
                                       const ClaimGranted &) = default;
};
/// The request has run with this outcome.
struct ClaimReplay {
  StoredOutcome Outcome;
  [[nodiscard]] friend bool operator==(const ClaimReplay &,
                                       const ClaimReplay &) = default;
};
/// Another attempt with the key is in progress.
struct ClaimInProgress {
  HostName Claimant;
  /// Offset of the claim's record.
  Offset Fence = 0;
  /// Offset up to which the owner had read the partition when it decided.
  Offset ReadUpTo = 0;
  [[nodiscard]] friend bool operator==(const ClaimInProgress &,
                                       const ClaimInProgress &) = default;
};
/// The key has been used with a different body.
struct ClaimBodyDiffers {
  [[nodiscard]] friend bool operator==(const ClaimBodyDiffers &,
                                       const ClaimBodyDiffers &) = default;
};
/// An attempt with the key may have run, and its outcome cannot be determined.
struct ClaimMayHaveRun {
  [[nodiscard]] friend bool operator==(const ClaimMayHaveRun &,
                                       const ClaimMayHaveRun &) = default;
};
/// The key was created outside the period for which claims are kept, so an
/// earlier attempt may no longer be recorded.
struct ClaimKeyExpired {
  [[nodiscard]] friend bool operator==(const ClaimKeyExpired &,
                                       const ClaimKeyExpired &) = default;
};
/// No answer from the log before the deadline; this attempt was not sent and
/// will not be.
struct ClaimUnavailable {
  /// The key is older than this attempt, so an earlier one may have run.
  bool EarlierTry = false;
  [[nodiscard]] friend bool operator==(const ClaimUnavailable &,
                                       const ClaimUnavailable &) = default;
};
/// Only for queries: the last attempt with the key was given up before it was
/// sent.
struct ClaimNotRun {
  [[nodiscard]] friend bool operator==(const ClaimNotRun &,
                                       const ClaimNotRun &) = default;
};
/// Only for queries: no claim of the key is recorded on the log, as of the time
/// of the query.
struct ClaimNotKnown {
  [[nodiscard]] friend bool operator==(const ClaimNotKnown &,
                                       const ClaimNotKnown &) = default;
};
/// Decision on a claim, or answer to a query.
using ClaimDecision =
    std::variant<ClaimGranted, ClaimReplay, ClaimInProgress, ClaimBodyDiffers,
                 ClaimMayHaveRun, ClaimKeyExpired, ClaimUnavailable,
                 ClaimNotRun, ClaimNotKnown>;

/// @brief A request that may run at most once.
struct ClaimRequest {
  ClaimKey ScopedKey;
  /// SHA-256 of target and body in hexadecimal digits.
  std::string BodyDigest;
  /// Creation time of the key in seconds since 1970, if known; see
  /// birthOfKey().
  std::optional<std::uint64_t> Birth;
};

/// Claims a key for a claimant. Sent again with the same id until answered.
struct AcquireClaim {
  ClaimId Id;
  HostName Claimant;
  ClaimRequest Request;
  /// The sender's wall clock, in seconds since 1970.
  std::uint64_t Wall = 0;
  /// Time that the sender will still wait.
  milliseconds Budget{0};
};
/// Records how a claim ended. Sent again until confirmed.
struct ClaimSettle {
  ClaimId Id;
  ClaimKey ScopedKey;
  Settlement Result;
};
/// Queries a key's outcome without claiming it.
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
/// Confirms that the settlement is on the log.
struct ClaimSettled {
  ClaimId Id;
};
/// Messages between entry hosts about claims.
using ClaimMessage = std::variant<AcquireClaim, ClaimSettle, ClaimQuery,
                                  ClaimAnswer, ClaimSettled>;

/// Appends to a partition's stream; the result goes to
/// ClaimService::appended().
struct ClaimAppend {
  ClaimPartition Partition = 0;
  std::vector<std::byte> Payload;
  /// Passed back with the result.
  std::uint64_t Token = 0;
};
/// Reads a partition's stream without waiting; the result goes to
/// ClaimService::read().
struct ClaimRead {
  ClaimPartition Partition = 0;
  Offset From = 0;
  /// Passed back with the result.
  std::uint64_t Token = 0;
};
/// Sends a message to a peer; it may be lost, repeated or delayed.
struct ClaimSend {
  HostName To;
  ClaimMessage Message;
};
/// Delivers the decision to a claimant or querier of this host; once per id.
struct DeliverDecision {
  ClaimId Id;
  ClaimDecision Decision;
  /// A granted request must be sent before this time or its claim be released.
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

/// @brief Limits and times; hosts may have different values.
struct ClaimOptions {
  HostName Self;
  Incarnation Run = 0;
  /// How long a claim is kept. Plus twice MaxClockSkew, it must be below the
  /// log's retention. Stored in each record, so hosts with different settings
  /// agree.
  seconds KeyLife{6 * 3600};
  /// Time that an append waits for more claims to join the batch.
  milliseconds BatchDelay{5};
  /// Least time between two appends to a partition: with 8 partitions, 40 ms
  /// limit the claims to 200 appends a second in all.
  milliseconds MinAppendInterval{40};
  std::size_t MaxBatchBytes = std::size_t{256} << 10U;
  /// Largest number of claims, and of settlements, waiting in one partition.
  std::size_t MaxWaiting = 4096;
  /// Memory limit of one partition's ledger, in bytes; above it, new keys are
  /// refused.
  std::size_t MaxLedgerBytes = std::size_t{64} << 20U;
  /// Memory limit of unconfirmed settlements, in bytes; above it their bodies
  /// are dropped, above twice as much new settlements.
  std::size_t MaxSettlingBytes = std::size_t{8} << 20U;
  /// The next candidate is tried if one has not answered for this long.
  milliseconds AskTimeout{250};
  /// Delay before a failed append or read is retried; doubled each time, up to
  /// one second.
  milliseconds RetryDelay{20};
  /// A partition that another host owns is dropped from memory when unused for
  /// this long.
  seconds CloseAfter{300};
  /// A claimant that this host has not seen join is considered gone after this.
  seconds UnknownClaimantGrace{10};
};

/// @brief Partition of a key. Thread-safe.
[[nodiscard]] ClaimPartition partitionOf(const ClaimKey &Key);

/// @brief Log stream of a partition. Thread-safe.
[[nodiscard]] StreamName claimStream(ClaimPartition Partition);

/// @brief Creation time of a key that is a UUID of version 7 (RFC 9562), which
/// contains it. Thread-safe.
/// @param Key The key.
/// @return Seconds since 1970; nothing for any other key.
[[nodiscard]] std::optional<std::uint64_t> birthOfKey(std::string_view Key);

/// @brief The refusal for a decision. Thread-safe.
/// @param Decision The decision on a claim.
/// @return Nothing for ClaimGranted, ClaimReplay, ClaimNotRun and
/// ClaimNotKnown.
[[nodiscard]] std::optional<Verdict> verdictOf(const ClaimDecision &Decision);

} // namespace coltsfoottrail

#endif
