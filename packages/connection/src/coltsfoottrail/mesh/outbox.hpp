/// @file
/// Queue of outgoing messages to one peer.
#ifndef COLTSFOOTTRAIL_MESH_OUTBOX_HPP
#define COLTSFOOTTRAIL_MESH_OUTBOX_HPP

#include "coltsfoottrail/mesh/channel.hpp"

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace coltsfoottrail::internal {

/// An encoded message; a broadcast message is shared between its peers.
using EncodedMessage = std::shared_ptr<const std::string>;

/// @brief A queued message.
struct QueuedMessage {
  Channel ChannelId = Channel::Heartbeat;
  EncodedMessage Bytes;
};

/// @brief Bounds of an outbox.
struct OutboxBounds {
  std::size_t MaxMessages = 0;
  std::size_t MaxBytes = 0;
};

/// @brief Outcome of queueing a message.
struct PushResult {
  bool Accepted = false;
  /// Older messages of the same channel that were dropped to make room.
  std::size_t Evicted = 0;
};

/// @brief Bounded queue of messages to one peer. Thread-safe.
///
/// Failure guarded against: a peer that has stopped reading makes every other
/// host queue messages for it until they run out of memory. Both the count and
/// the bytes of each queue are bounded, and so are the bytes of all queues
/// together. Bulk channels cannot use the last quarter of a bound, so that a
/// flood of forwarded requests does not block heartbeats and credits.
class Outbox {
public:
  /// @brief Creates an empty queue.
  /// @param Limits Bounds of this queue.
  /// @param TotalBytes Bytes in all queues of the mesh; must outlive this
  /// queue.
  /// @param MaxTotalBytes Bound of TotalBytes.
  Outbox(OutboxBounds Limits, std::atomic<std::size_t> &TotalBytes,
         std::size_t MaxTotalBytes) noexcept
      : Bounds(Limits), SharedBytes(TotalBytes), MaxSharedBytes(MaxTotalBytes) {
  }
  Outbox(const Outbox &) = delete;
  Outbox &operator=(const Outbox &) = delete;
  ~Outbox();

  /// @brief Adds a message, subject to the overflow policy of its channel.
  [[nodiscard]] PushResult push(QueuedMessage Message);
  /// @brief Removes the oldest message of the most urgent channel.
  [[nodiscard]] std::optional<QueuedMessage> pop();
  /// @brief Moves all messages to another queue and closes this one, so that
  /// push() fails for a sender that still refers to it.
  void moveTo(Outbox &Successor);
  /// @brief Discards all messages and closes the queue: push() fails from now
  /// on.
  /// @return Number of messages discarded per channel.
  [[nodiscard]] std::array<std::size_t, ChannelCount> close();
  /// @brief Number of queued messages.
  [[nodiscard]] std::size_t size() const;
  /// @brief Bytes of the queued messages.
  [[nodiscard]] std::size_t bytes() const;

private:
  [[nodiscard]] bool fits(std::size_t NewBytes, bool Bulk) const;
  QueuedMessage popFront(std::size_t Index);

  OutboxBounds Bounds;
  std::atomic<std::size_t> &SharedBytes;
  std::size_t MaxSharedBytes;
  mutable std::mutex Mutex;
  /// Lists, since an empty deque allocates half a kilobyte and most queues are
  /// empty.
  std::array<std::list<EncodedMessage>, ChannelCount> Queues;
  std::size_t Count = 0;
  std::size_t Bytes = 0;
  bool Closed = false;
};

} // namespace coltsfoottrail::internal

#endif
