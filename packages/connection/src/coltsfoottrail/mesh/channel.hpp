/// @file
/// Channels of messages between entry hosts, with their priorities and overflow
/// policies.
#ifndef COLTSFOOTTRAIL_MESH_CHANNEL_HPP
#define COLTSFOOTTRAIL_MESH_CHANNEL_HPP

#include "coltsfoottrail/mesh/fwd.hpp"

#include <array>
#include <string_view>

namespace coltsfoottrail {

/// A kind of message between entry hosts. The numbers are sent on the wire. In
/// order of priority: queued messages of a lower number are sent first.
enum class Channel : std::uint8_t {
  /// How recent the sender's state is.
  Heartbeat = 0,
  /// Shares of the endpoints' limits.
  Credits = 1,
  /// Requests that all hosts hold back.
  Notices = 2,
  /// Claims on idempotency keys.
  Claims = 3,
  /// Liveness observations of group members.
  Sightings = 4,
  /// Records of the replicated log that holds the agreed state, by offset.
  Records = 5,
  /// Requests that are relayed through another entry host.
  Forward = 6,
};

/// Number of channels.
inline constexpr std::size_t ChannelCount = 7;

/// @brief Name of a channel in metrics and logs. Thread-safe.
/// @param ChannelId The channel.
[[nodiscard]] std::string_view channelName(Channel ChannelId) noexcept;

namespace internal {

/// What happens to a new message when the queue is full.
enum class OverflowPolicy : std::uint8_t {
  /// The message is rejected, and the sender learns so.
  Reject,
  /// Older messages of the same channel are dropped, since only the newest
  /// matters.
  DropOldest,
};

/// @brief Overflow policy of a channel. Thread-safe.
[[nodiscard]] OverflowPolicy overflowPolicy(Channel ChannelId) noexcept;

/// @brief Whether a channel carries bulk data, which may not use the last
/// quarter of a queue's bounds. Thread-safe.
[[nodiscard]] bool isBulk(Channel ChannelId) noexcept;

} // namespace internal

} // namespace coltsfoottrail

#endif
