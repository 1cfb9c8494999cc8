/// @file
/// Encoding of the agreed state as bytes.
#ifndef COLTSFOOTTRAIL_CHECKPOINT_STATECODEC_HPP
#define COLTSFOOTTRAIL_CHECKPOINT_STATECODEC_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <cstddef>
#include <vector>

namespace coltsfoottrail {

/// Version of the state format that this build writes and reads.
inline constexpr std::uint64_t StateFormatVersion = 1;

/// @brief Encodes a state as a sequence of CBOR items, each preceded by its
/// length, so that neither side ever holds more than one small item as JSON.
/// Thread-safe.
/// @param Current The state.
/// @return The bytes; the same for equal states.
[[nodiscard]] std::vector<std::byte> encodeState(const State &Current);

/// @brief Decodes a state. Thread-safe.
/// @param Bytes Arbitrary bytes; damaged ones are refused.
/// @return The state; the caller must compare its digest.
/// @throws InputError The bytes are damaged, truncated or of another format
/// version.
[[nodiscard]] State decodeState(ByteView Bytes);

} // namespace coltsfoottrail

#endif
