/// @file
/// Encoding of claims: CBOR for log records, JSON objects for messages.
#ifndef COLTSFOOTTRAIL_CLAIMS_CODEC_HPP
#define COLTSFOOTTRAIL_CLAIMS_CODEC_HPP

#include "coltsfoottrail/claims/types.hpp"
#include "coltsfoottrail/json/fwd.hpp"
#include "coltsfoottrail/record/record.hpp"

#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Log entry for a claim.
struct ClaimMade {
  ClaimId Id;
  HostName Claimant;
  ClaimRequest Request;
};
/// Log entry for a settlement.
struct ClaimEnded {
  ClaimId Id;
  ClaimKey ScopedKey;
  Settlement Result;
};
/// One entry of a batch.
using ClaimItem = std::variant<ClaimMade, ClaimEnded>;

/// @brief The content of one append to a partition's stream.
struct ClaimBatch {
  WriterId Writer;
  /// The writer's wall clock, in seconds since 1970.
  std::uint64_t Stamp = 0;
  /// Time that the entries are kept, in seconds.
  std::uint64_t Life = 0;
  std::vector<ClaimItem> Items;
};

/// @brief Writes a batch. Thread-safe.
/// @return CBOR bytes.
[[nodiscard]] std::vector<std::byte> encodeBatch(const ClaimBatch &Batch);
/// @brief Reads a batch. Thread-safe.
/// @param Bytes A log record, possibly damaged.
/// @throws InputError The record is damaged, of a newer format version or of an
/// unknown kind.
[[nodiscard]] ClaimBatch decodeBatch(ByteView Bytes);

/// @brief Writes a message as a JSON object. Thread-safe.
/// @return An object that may hold binary values, so it can be serialized as
/// CBOR but not as JSON text.
[[nodiscard]] Json writeClaimMessage(const ClaimMessage &Message);
/// @brief Reads a message from a JSON object. Thread-safe.
/// @param Value An object.
/// @param Source Name of the input, for errors.
/// @throws InputError The value is not a valid message.
[[nodiscard]] ClaimMessage readClaimMessage(const Json &Value,
                                            std::string_view Source);

} // namespace coltsfoottrail

#endif
