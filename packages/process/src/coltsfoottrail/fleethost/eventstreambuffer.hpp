/// @file
/// Splits an event stream at the ends of events and knows the last one's id.
#ifndef COLTSFOOTTRAIL_FLEETHOST_EVENTSTREAMBUFFER_HPP
#define COLTSFOOTTRAIL_FLEETHOST_EVENTSTREAMBUFFER_HPP

#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Passes on whole events only, so that a stream that broke in the
/// middle of one goes on behind the last whole event. Not thread-safe.
class EventStreamBuffer {
public:
  /// @brief Takes bytes as they came.
  /// @param Part Any part of the stream.
  /// @return Whole events to pass on; valid until the next call.
  [[nodiscard]] std::string_view append(std::string_view Chunk);

  /// @brief Drops a part of an event that a broken stream left.
  void dropPartial() noexcept { Pending.clear(); }

  /// @brief Whether the last byte taken ended an event.
  [[nodiscard]] bool endsOnBoundary() const noexcept { return Pending.empty(); }
  /// @brief Id of the last event passed on; empty when it bore none.
  [[nodiscard]] const std::string &lastId() const noexcept { return LastId; }
  /// @brief Whether an event has been passed on.
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
