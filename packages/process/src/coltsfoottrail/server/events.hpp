/// @file
/// Splits a stream of server-sent events at their ends.
#ifndef COLTSFOOTTRAIL_SERVER_EVENTS_HPP
#define COLTSFOOTTRAIL_SERVER_EVENTS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Passes on whole events only and knows what has been passed on, so
/// that a broken stream can be resumed behind the last whole token. Not
/// thread-safe.
class EventSplitter {
public:
  /// @brief Sets how much text is kept for resuming.
  /// @param MaxKeptBytes Beyond this the stream cannot be resumed.
  explicit EventSplitter(std::size_t MaxKeptBytes) : MaxKept(MaxKeptBytes) {}

  /// @brief Takes bytes as they came.
  /// @param Part Any part of the stream.
  /// @return Whole events to pass on; valid until the next call.
  [[nodiscard]] std::string_view take(std::string_view Part);

  /// @brief Drops a part of an event that a broken stream left.
  void dropPartial() { Pending.clear(); }

  /// @brief Whether the event that ends a stream has been seen.
  [[nodiscard]] bool sawEnd() const noexcept { return Ended; }
  /// @brief Events passed on, the end not counted: one token each.
  [[nodiscard]] std::uint64_t tokens() const noexcept { return Count; }
  /// @brief Whether the stream can still be resumed.
  [[nodiscard]] bool resumable() const noexcept { return !Overflowed; }

  /// @brief The text of all tokens passed on.
  /// @return Nothing where it is not kept or an event is not understood.
  [[nodiscard]] std::optional<std::string> text() const;

private:
  void note(std::string_view Events);

  std::size_t MaxKept;
  std::string Pending;
  std::string Ready;
  std::string Kept;
  std::uint64_t Count = 0;
  bool Ended = false;
  bool Overflowed = false;
};

} // namespace coltsfoottrail

#endif
