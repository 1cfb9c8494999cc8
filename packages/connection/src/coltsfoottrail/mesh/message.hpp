/// @file
/// Encoding of messages between entry hosts.
#ifndef COLTSFOOTTRAIL_MESH_MESSAGE_HPP
#define COLTSFOOTTRAIL_MESH_MESSAGE_HPP

#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/mesh/channel.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail::internal {

/// @brief A decoded message.
struct DecodedMessage {
  /// Not set for a channel that this release does not know.
  std::optional<Channel> ChannelId;
  Json Body;
};

/// @brief Encodes a message as a CBOR map with the keys "c" (channel) and "b"
/// (body). Thread-safe.
[[nodiscard]] std::string encodeMessage(Channel ChannelId, Json Body);

/// @brief Decodes a message; unknown keys are ignored. Thread-safe.
///
/// Failure guarded against: a large message of nothing but nested lists
/// overflows the stack of the recursive decoder and crashes the process.
/// Decoding stops at the 65th level.
/// @throws Error The bytes are not a valid message.
[[nodiscard]] DecodedMessage decodeMessage(std::string_view Bytes);

} // namespace coltsfoottrail::internal

#endif
