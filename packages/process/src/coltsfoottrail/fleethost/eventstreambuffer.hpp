/// @file
/// Buffers a server-sent event stream up to the ends of events.
#ifndef COLTSFOOTTRAIL_FLEETHOST_EVENTSTREAMBUFFER_HPP
#define COLTSFOOTTRAIL_FLEETHOST_EVENTSTREAMBUFFER_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace coltsfoottrail {

/// @brief Releases complete events only, so that a stream that breaks inside an
/// event can be resumed after the last complete one. Not thread-safe.
class EventStreamBuffer {
public:
  /// @brief Appends received bytes.
  /// @param Chunk The next bytes of the stream, split anywhere.
  /// @return The events completed so far, if one of them carries data; valid
  /// until the next call. Comments wait for the next event with data, so that
  /// a stream of comments alone has released nothing.
  [[nodiscard]] std::string_view append(std::string_view Chunk);

  /// Bytes of one event, at most.
  static constexpr std::size_t MaxEventBytes = std::size_t{256} << 10U;

  /// @brief Whether the incomplete event is longer than an event may be.
  [[nodiscard]] bool isOverlong() const noexcept {
    return Pending.size() > MaxEventBytes;
  }
  /// @brief Bytes of the incomplete event.
  [[nodiscard]] std::size_t pendingBytes() const noexcept {
    return Pending.size();
  }
  /// @brief Drops an incomplete event that a broken stream left.
  void dropPartial() noexcept { Pending.clear(); }

  /// @brief Whether the last byte appended ended an event.
  [[nodiscard]] bool endsOnBoundary() const noexcept;
  /// @brief Returns the comments behind the last event with data.
  /// Precondition: endsOnBoundary().
  [[nodiscard]] std::string takeRest() { return std::exchange(Pending, {}); }
  /// @brief Id of the last released event that had one; empty if none had.
  [[nodiscard]] const std::string &lastId() const noexcept { return LastId; }
  /// @brief Whether an event has been released.
  [[nodiscard]] bool hasReleased() const noexcept { return HasReleased; }

private:
  void recordLastId(std::string_view Events);

  std::string Pending;
  std::string CompleteEvents;
  std::string LastId;
  bool HasReleased = false;
};

} // namespace coltsfoottrail

#endif
