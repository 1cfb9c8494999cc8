/// @file
/// Messages that wait for a connection to take them.
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

/// An encoded message; one that goes to many peers is stored once.
using Encoded = std::shared_ptr<const std::string>;

/// @brief A message on its way out.
struct Outgoing {
  Channel Which = Channel::Heartbeat;
  Encoded Bytes;
};

/// @brief Bounds of an outbox.
struct OutboxBounds {
  std::size_t MaxMessages = 0;
  std::size_t MaxBytes = 0;
};

/// @brief What became of a message.
struct Queued {
  bool Taken = false;
  /// Older messages of its channel that had to go.
  std::size_t Evicted = 0;
};

/// @brief Bounded queue of messages to one peer. Thread-safe.
///
/// Failure guarded against: a peer that has stopped reading makes every other
/// host collect messages for it until their memory is full. Both the count and
/// the bytes of each queue are bounded, and so is the sum of all queues. Bulk
/// cannot take the last quarter, so that a flood of forwarded requests does not
/// stop heartbeats and credits.
class Outbox {
public:
  /// @brief Makes an empty queue.
  /// @param Bounds Bounds of this queue.
  /// @param SharedBytes Bytes in all queues of the mesh; must outlive this one.
  /// @param MaxSharedBytes Bound of that sum.
  Outbox(OutboxBounds Bounds, std::atomic<std::size_t> &SharedBytes,
         std::size_t MaxSharedBytes) noexcept
      : Limits(Bounds), Total(SharedBytes), MaxTotal(MaxSharedBytes) {}
  Outbox(const Outbox &) = delete;
  Outbox &operator=(const Outbox &) = delete;
  ~Outbox();

  /// @brief Adds a message, by the policy of its channel.
  [[nodiscard]] Queued push(Outgoing Message);
  /// @brief Takes the oldest message of the most urgent channel.
  [[nodiscard]] std::optional<Outgoing> pop();
  /// @brief Hands all messages on and takes none from now on, so that a sender
  /// that still holds this queue is told so.
  void drainInto(Outbox &Next);
  /// @brief Throws all messages away and takes none from now on.
  /// @return How many there were of each channel.
  [[nodiscard]] std::array<std::size_t, ChannelCount> close();
  /// @brief Counts what waits.
  [[nodiscard]] std::size_t size() const;
  /// @brief Bytes that wait.
  [[nodiscard]] std::size_t bytes() const;

private:
  [[nodiscard]] bool fits(std::size_t NewBytes, bool Bulk) const;
  Outgoing takeFront(std::size_t Index);

  OutboxBounds Limits;
  std::atomic<std::size_t> &Total;
  std::size_t MaxTotal;
  mutable std::mutex Mutex;
  /// Lists, since an empty deque holds half a kilobyte and most are empty.
  std::array<std::list<Encoded>, ChannelCount> Waiting;
  std::size_t Count = 0;
  std::size_t Bytes = 0;
  bool Closed = false;
};

} // namespace coltsfoottrail::internal

#endif
