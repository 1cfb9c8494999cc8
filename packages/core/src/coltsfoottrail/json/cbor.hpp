/// @file
/// CBOR from sources that may hold anything.
#ifndef COLTSFOOTTRAIL_JSON_CBOR_HPP
#define COLTSFOOTTRAIL_JSON_CBOR_HPP

#include "coltsfoottrail/core/fwd.hpp"
#include "coltsfoottrail/json/fwd.hpp"

#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// Deepest nesting of lists and objects that parseCbor() takes.
inline constexpr std::size_t MaxCborDepth = 64;

/// @brief Reads CBOR (RFC 8949): one item of definite lengths without tags, its
/// texts in UTF-8. Thread-safe.
/// @param Bytes Anything; damaged, truncated or hostile input is refused.
/// @param Source Named in errors.
/// @return The value.
/// @throws InputError The bytes are not such an item.
[[nodiscard]] Json parseCbor(ByteView Bytes, std::string_view Source);

/// @brief Writes CBOR that parseCbor() takes. Thread-safe.
/// @param Value What to write.
/// @return The bytes.
[[nodiscard]] std::vector<std::byte> writeCbor(const Json &Value);

} // namespace coltsfoottrail

#endif
