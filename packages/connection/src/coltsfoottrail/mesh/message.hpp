/// @file
/// The form of a message on a connection between entry hosts.
#ifndef COLTSFOOTTRAIL_MESH_MESSAGE_HPP
#define COLTSFOOTTRAIL_MESH_MESSAGE_HPP

#include "coltsfoottrail/json/reader.hpp"
#include "coltsfoottrail/mesh/channel.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail::internal {

/// @brief A message as it came.
struct Incoming {
  /// Nothing for a channel that this release does not know.
  std::optional<Channel> Which;
  Json Body;
};

/// @brief Encodes a message as a CBOR map with the keys "c" (channel) and "b"
/// (body). Thread-safe.
[[nodiscard]] std::string encodeMessage(Channel Which, Json Body);

/// @brief Decodes a message; unknown keys are passed over. Thread-safe.
///
/// Failure guarded against: a large message of nothing but nested lists
/// overflows the stack of the recursive decoder and ends the process. The
/// decoder is stopped at the 65th level.
/// @throws Error It is not such a message.
[[nodiscard]] Incoming decodeMessage(std::string_view Bytes);

} // namespace coltsfoottrail::internal

#endif
