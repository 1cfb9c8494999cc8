/// @file
/// Splits a stream of server-sent events at event boundaries.
#ifndef COLTSFOOTTRAIL_SERVER_EVENTS_HPP
#define COLTSFOOTTRAIL_SERVER_EVENTS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coltsfoottrail {

/// @brief Passes on complete events only and records what was passed on, so
/// that a broken stream can be resumed after the last complete token. Not
/// thread-safe.
class EventSplitter {
public:
  /// @brief Sets how much text is kept for resuming.
  /// @param MaxKeptBytes Once more has been passed on, the stream cannot be
  /// resumed.
  explicit EventSplitter(std::size_t MaxKeptBytes) : MaxKept(MaxKeptBytes) {}

  /// @brief Consumes bytes as they arrive.
  /// @param Part The next bytes of the stream; may end anywhere in an event.
  /// @return Complete events to pass on; valid until the next call.
  [[nodiscard]] std::string_view take(std::string_view Part);

  /// Bytes of one event, at most.
  static constexpr std::size_t MaxEventBytes = std::size_t{256} << 10U;
  /// @brief Whether the incomplete event is longer than an event may be.
  [[nodiscard]] bool isOverlong() const noexcept {
    return Pending.size() > MaxEventBytes;
  }

  /// @brief Discards the incomplete event at the end of a broken stream.
  void dropPartial() { Pending.clear(); }

  /// @brief Whether the "[DONE]" event has been seen.
  [[nodiscard]] bool sawEnd() const noexcept { return Ended; }
  /// @brief Number of events passed on, without the "[DONE]" event; each
  /// carries one token.
  [[nodiscard]] std::uint64_t tokens() const noexcept { return Count; }
  /// @brief Whether the stream can still be resumed.
  [[nodiscard]] bool resumable() const noexcept { return !Overflowed; }

  /// @brief The concatenated text of all tokens passed on.
  /// @return Empty if the text exceeded the limit or an event could not be
  /// parsed.
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
