/// @file
/// Buffers a server-sent event stream up to the ends of events.
#ifndef COLTSFOOTTRAIL_FLEETHOST_EVENTSTREAMBUFFER_HPP
#define COLTSFOOTTRAIL_FLEETHOST_EVENTSTREAMBUFFER_HPP

#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Releases complete events only, so that a stream that breaks inside an
/// event can be resumed after the last complete one. Not thread-safe.
class EventStreamBuffer {
public:
  /// @brief Appends received bytes.
  /// @param Chunk The next bytes of the stream, split anywhere.
  /// @return The events completed so far; valid until the next call.
  [[nodiscard]] std::string_view append(std::string_view Chunk);

  /// @brief Drops an incomplete event that a broken stream left.
  void dropPartial() noexcept { Pending.clear(); }

  /// @brief Whether the last byte appended ended an event.
  [[nodiscard]] bool endsOnBoundary() const noexcept { return Pending.empty(); }
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
