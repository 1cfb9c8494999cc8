/// @file
/// The claims of one partition: what its stream comes to.
#ifndef COLTSFOOTTRAIL_CLAIMS_LEDGER_HPP
#define COLTSFOOTTRAIL_CLAIMS_LEDGER_HPP

#include "coltsfoottrail/claims/codec.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace coltsfoottrail {

/// The claim stands and its end is not known.
struct ClaimHeld {
  [[nodiscard]] friend bool operator==(const ClaimHeld &,
                                       const ClaimHeld &) = default;
};
/// Where a key stands; ReleaseClaim where the next claim gets it.
using ClaimStanding =
    std::variant<ClaimHeld, ReleaseClaim, OutcomeUnknown, StoredOutcome>;

/// @brief A key and the claim that holds it.
struct LedgerEntry {
  ClaimId Holder;
  HostName Claimant;
  /// Offset of the holder's record.
  Offset Fence = 0;
  std::string BodyDigest;
  ClaimStanding Standing;
  /// Ledger time from which the key is forgotten.
  std::uint64_t Expires = 0;
  /// Claims that were given up: their records count no more, also those that
  /// come later on the log.
  std::vector<ClaimId> GivenUp;

  [[nodiscard]] friend bool operator==(const LedgerEntry &,
                                       const LedgerEntry &) = default;
};

/// @brief Fold of one partition's stream. Pure: the same on every host that
/// read the same records; reads no clock, its time is the highest stamp seen.
///
/// Not thread-safe: stands under its owner's lock.
class ClaimLedger {
public:
  /// @brief Folds a record.
  /// @param At Its offset, which is not below next().
  /// @param Bytes The record; what cannot be read changes nothing.
  /// @return Whether it was a batch that was not folded before.
  bool fold(Offset At, ByteView Bytes);

  /// @brief Finds a key.
  /// @param What The key.
  /// @return Its entry, or null. Valid until the next fold.
  [[nodiscard]] const LedgerEntry *find(const ClaimKey &What) const;

  /// @brief Tells whether a key of this birth is too old, or lies in the
  /// future, at the ledger's time.
  /// @param Birth When the key was made; nothing is never expired.
  [[nodiscard]] bool expired(const std::optional<std::uint64_t> &Birth) const;

  /// @brief Offset of the next record to fold.
  [[nodiscard]] Offset next() const noexcept { return Next; }
  /// @brief Highest stamp seen, in seconds since 1970.
  [[nodiscard]] std::uint64_t time() const noexcept { return Time; }
  /// @brief Keys that are kept.
  [[nodiscard]] std::size_t size() const noexcept { return Entries.size(); }
  /// @brief Estimate of the memory that the keys take, in bytes.
  [[nodiscard]] std::size_t bytes() const noexcept { return Bytes; }
  /// @brief Starts again from an offset, with nothing.
  void restart(Offset From);
  /// @brief Hash of all that the ledger holds, for comparison between hosts.
  [[nodiscard]] std::uint64_t digest() const;

private:
  struct Writer {
    std::uint64_t Sequence = 0;
    std::uint64_t Expires = 0;
  };

  [[nodiscard]] bool takeWriter(const ClaimBatch &Batch);
  void apply(const ClaimMade &Made, Offset At);
  void apply(const ClaimEnded &Ended);
  void takeLife(std::uint64_t Seconds);
  void expire();
  void keep(const std::string &Name, LedgerEntry &Entry);
  [[nodiscard]] LedgerEntry &entryOf(const std::string &Name);

  std::unordered_map<std::string, LedgerEntry> Entries;
  std::map<std::uint64_t, std::vector<std::string>> ExpireAt;
  std::map<Incarnation, Writer> Writers;
  std::size_t Bytes = 0;
  Offset Next = 0;
  std::uint64_t Time = 0;
  std::uint64_t Life = 0;
  /// Each life that batches carried, with the ledger time of its last batch.
  std::map<std::uint64_t, std::uint64_t> Lives;
};

} // namespace coltsfoottrail

#endif
