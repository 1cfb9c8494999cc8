/// @file
/// The claims of one partition, folded from its log stream.
#ifndef COLTSFOOTTRAIL_CLAIMS_LEDGER_HPP
#define COLTSFOOTTRAIL_CLAIMS_LEDGER_HPP

#include "coltsfoottrail/claims/codec.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace coltsfoottrail {

/// The claim holds the key and has not been settled.
struct ClaimHeld {
  [[nodiscard]] friend bool operator==(const ClaimHeld &,
                                       const ClaimHeld &) = default;
};
/// State of a key; with ReleaseClaim the next claim gets it.
using ClaimStanding =
    std::variant<ClaimHeld, ReleaseClaim, OutcomeUnknown, StoredOutcome>;

/// @brief State of a key and of the claim that holds it.
struct LedgerEntry {
  ClaimId Holder;
  HostName Claimant;
  /// Offset of the holder's record.
  Offset Fence = 0;
  std::string BodyDigest;
  ClaimStanding Standing;
  /// Ledger time at which the entry is erased.
  std::uint64_t Expires = 0;
  /// Claims that were given up. Their records are ignored, also those that
  /// follow later on the log.
  std::vector<ClaimId> GivenUp;

  [[nodiscard]] friend bool operator==(const LedgerEntry &,
                                       const LedgerEntry &) = default;
};

/// @brief Fold of one partition's stream. Deterministic: the same on every host
/// that has read the same records. Uses no clock; its time is the highest
/// timestamp in the records.
///
/// Not thread-safe: callers hold its owner's lock.
class ClaimLedger {
public:
  /// @brief Folds a record.
  /// @param At Its offset; must not be below next().
  /// @param Bytes The record; an unreadable one changes no claims.
  /// @return Whether it was a valid batch and not a repetition.
  bool fold(Offset At, ByteView Bytes);

  /// @brief Finds a key.
  /// @param Key The key.
  /// @return Its entry, or null. Valid until the next fold.
  [[nodiscard]] const LedgerEntry *find(const ClaimKey &Key) const;

  /// @brief Whether a key with this creation time is too old, or from the
  /// future, at the ledger's time.
  /// @param Birth Creation time of the key; without one it never expires.
  [[nodiscard]] bool expired(const std::optional<std::uint64_t> &Birth) const;

  /// @brief Offset of the next record to fold.
  [[nodiscard]] Offset next() const noexcept { return Next; }
  /// @brief Highest timestamp seen, in seconds since 1970.
  [[nodiscard]] std::uint64_t time() const noexcept { return Time; }
  /// @brief Number of entries.
  [[nodiscard]] std::size_t size() const noexcept { return Entries.size(); }
  /// @brief Estimated memory of the entries, in bytes.
  [[nodiscard]] std::size_t bytes() const noexcept { return Bytes; }
  /// @brief Clears the ledger and continues from an offset.
  void restart(Offset From);
  /// @brief Hash of the whole state, for comparison between hosts.
  [[nodiscard]] std::uint64_t digest() const;

private:
  struct Writer {
    std::uint64_t Sequence = 0;
    std::uint64_t Expires = 0;
  };

  [[nodiscard]] bool acceptWriter(const ClaimBatch &Batch);
  void apply(const ClaimMade &Claim, Offset At);
  void apply(const ClaimEnded &Ended);
  void updateLife(std::uint64_t Seconds);
  void expire();
  void extendExpiry(const std::string &Name, LedgerEntry &Entry);
  [[nodiscard]] LedgerEntry &entryOf(const std::string &Name);

  std::unordered_map<std::string, LedgerEntry> Entries;
  std::map<std::uint64_t, std::vector<std::string>> ExpireAt;
  std::map<Incarnation, Writer> Writers;
  std::size_t Bytes = 0;
  Offset Next = 0;
  std::uint64_t Time = 0;
  std::uint64_t Life = 0;
  /// Each key lifetime found in batches, with the ledger time of its last
  /// batch.
  std::map<std::uint64_t, std::uint64_t> Lives;
};

} // namespace coltsfoottrail

#endif
