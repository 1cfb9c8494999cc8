/// @file
/// Reads CBOR from untrusted sources, and writes CBOR.
#ifndef COLTSFOOTTRAIL_JSON_CBOR_HPP
#define COLTSFOOTTRAIL_JSON_CBOR_HPP

#include "coltsfoottrail/core/fwd.hpp"
#include "coltsfoottrail/json/fwd.hpp"

#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// Maximum nesting depth of lists and objects that parseCbor() accepts.
inline constexpr std::size_t MaxCborDepth = 64;

/// @brief Reads CBOR (RFC 8949): one item of definite length without tags, with
/// texts in valid UTF-8. Thread-safe.
/// @param Bytes Untrusted bytes; damaged, truncated or hostile input is
/// refused.
/// @param Source Name of the bytes' source for errors.
/// @return The value.
/// @throws InputError The bytes are not such an item.
[[nodiscard]] Json parseCbor(ByteView Bytes, std::string_view Source);

/// @brief Encodes a value as CBOR that parseCbor() reads. Thread-safe.
[[nodiscard]] std::vector<std::byte> writeCbor(const Json &Value);

} // namespace coltsfoottrail

#endif
