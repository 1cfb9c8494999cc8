/// @file
/// Claims as CBOR on the log and as JSON in messages.
#ifndef COLTSFOOTTRAIL_CLAIMS_CODEC_HPP
#define COLTSFOOTTRAIL_CLAIMS_CODEC_HPP

#include "coltsfoottrail/claims/types.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/record/record.hpp"

#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// A claim as it stands on the log.
struct ClaimMade {
  ClaimId Id;
  HostName Claimant;
  ClaimRequest Request;
};
/// How a claim ended, as it stands on the log.
struct ClaimEnded {
  ClaimId Id;
  ClaimKey ScopedKey;
  Settlement Result;
};
/// One entry of a batch.
using ClaimItem = std::variant<ClaimMade, ClaimEnded>;

/// @brief What one append to a partition's stream carries.
struct ClaimBatch {
  WriterId Writer;
  /// The writer's wall clock in seconds since 1970.
  std::uint64_t Stamp = 0;
  /// Seconds that the entries are kept.
  std::uint64_t Life = 0;
  std::vector<ClaimItem> Items;
};

/// @brief Writes a batch. Thread-safe.
/// @return CBOR bytes.
[[nodiscard]] std::vector<std::byte> encodeBatch(const ClaimBatch &Batch);
/// @brief Reads a batch. Thread-safe.
/// @param Bytes From the log; anything may stand there.
/// @throws InputError Damaged, of a newer form or of an unknown kind.
[[nodiscard]] ClaimBatch decodeBatch(ByteView Bytes);

/// @brief Writes a message between entry hosts. Thread-safe.
/// @return An object with members that JSON text cannot hold: for CBOR only.
[[nodiscard]] Json writeClaimMessage(const ClaimMessage &Message);
/// @brief Reads a message between entry hosts. Thread-safe.
/// @param Value An object.
/// @param Source Named in errors.
/// @throws InputError It is not such a message.
[[nodiscard]] ClaimMessage readClaimMessage(const Json &Value,
                                            std::string_view Source);

} // namespace coltsfoottrail

#endif
