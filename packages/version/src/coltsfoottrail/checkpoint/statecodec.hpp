/// @file
/// The agreed state as bytes.
#ifndef COLTSFOOTTRAIL_CHECKPOINT_STATECODEC_HPP
#define COLTSFOOTTRAIL_CHECKPOINT_STATECODEC_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <cstddef>
#include <vector>

namespace coltsfoottrail {

/// Version of the form of encoded states that this build writes and reads.
inline constexpr std::uint64_t StateFormatVersion = 1;

/// @brief Writes a state as a row of CBOR items, each with its length before
/// it, so that neither side ever holds more than one small item as JSON.
/// Thread-safe.
/// @param Of The state.
/// @return The bytes; the same for equal states.
[[nodiscard]] std::vector<std::byte> encodeState(const State &Of);

/// @brief Reads a state. Thread-safe.
/// @param Bytes Anything; damaged bytes are refused.
/// @return The state; its digest is for the caller to compare.
/// @throws InputError Damaged, cut off or of another form version.
[[nodiscard]] State decodeState(ByteView Bytes);

} // namespace coltsfoottrail

#endif
