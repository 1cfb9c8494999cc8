/// @file
/// What entry hosts talk about, and how urgent and how dear each subject is.
#ifndef COLTSFOOTTRAIL_MESH_CHANNEL_HPP
#define COLTSFOOTTRAIL_MESH_CHANNEL_HPP

#include "coltsfoottrail/mesh/fwd.hpp"

#include <array>
#include <string_view>

namespace coltsfoottrail {

/// A subject of the mesh; the numbers are sent. In the order of urgency: what
/// waits in a queue of an earlier one goes first.
enum class Channel : std::uint8_t {
  /// How fresh the sender's state is.
  Heartbeat = 0,
  /// Shares of endpoints' bounds.
  Credits = 1,
  /// Requests that are held back on all hosts.
  Notices = 2,
  /// Claims of idempotency keys.
  Claims = 3,
  /// Which members of groups were seen alive.
  Sightings = 4,
  /// Records of the agreed stream, by offset.
  Records = 5,
  /// Requests on their way through another entry host.
  Forward = 6,
};

/// How many channels there are.
inline constexpr std::size_t ChannelCount = 7;

/// @brief Name of a channel in metrics and logs. Thread-safe.
/// @param Which A channel.
[[nodiscard]] std::string_view channelName(Channel Which) noexcept;

namespace internal {

/// What happens to a message that finds the queue full.
enum class FullPolicy : std::uint8_t {
  /// The sender is told that it was not sent.
  Refuse,
  /// The oldest of the same channel goes: only the newest matters.
  DropOldest,
};

/// @brief What a channel does when the queue is full. Thread-safe.
[[nodiscard]] FullPolicy fullPolicy(Channel Which) noexcept;

/// @brief Tells whether a channel carries bulk, which may not take the last
/// quarter of a queue. Thread-safe.
[[nodiscard]] bool isBulk(Channel Which) noexcept;

} // namespace internal

} // namespace coltsfoottrail

#endif
