/// @file
/// Notices endpoints whose streams have all fallen silent.
#ifndef COLTSFOOTTRAIL_SILENCE_SILENCEWATCH_HPP
#define COLTSFOOTTRAIL_SILENCE_SILENCEWATCH_HPP

#include "coltsfoottrail/core/time.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Knows when each endpoint was last heard on any of its streams. Pure;
/// not thread-safe; times must not go back.
///
/// Failure guarded against: a member of a group dies. The leader goes on taking
/// requests, and nothing moves until it notices by itself, seconds later, or
/// until the member's record lapses, after three heartbeats. All streams of the
/// leader stop at the same moment, though, while a busy one sends an event
/// every few tens of milliseconds. An endpoint that has streams under way and
/// sends nothing for SilentAfter is taken for silent at once.
class StallDetector {
public:
  /// An engine makes an event every 40 to 60 ms; 200 ms when it reads long
  /// prompts in between. Twice that keeps alarms rare: a false one moves all
  /// streams of a sound endpoint.
  static constexpr Duration StallTimeout = milliseconds(400);
  /// From here on its members may be asked whether they are alive, which costs
  /// a question each and moves nothing.
  static constexpr Duration SuspectTimeout = milliseconds(200);

  /// @brief A stream had its first event.
  void streamStarted(std::string_view Endpoint, TimePoint Now);
  /// @brief Bytes came on a stream.
  void dataReceived(std::string_view Endpoint, TimePoint Now);
  /// @brief A stream that began is over, however.
  void streamEnded(std::string_view Endpoint);

  /// @brief Whether an endpoint has streams and none of them moves.
  [[nodiscard]] bool stalled(std::string_view Endpoint, TimePoint Now) const;
  /// @brief Whether an endpoint has streams and at least one of them moves.
  [[nodiscard]] bool active(std::string_view Endpoint, TimePoint Now) const;
  /// @brief All endpoints that have streams and sent nothing for a time.
  [[nodiscard]] std::vector<std::string> idleFor(Duration Span,
                                                 TimePoint Now) const;
  /// @brief All endpoints that are silent.
  [[nodiscard]] std::vector<std::string> stalledEndpoints(TimePoint Now) const {
    return idleFor(StallTimeout, Now);
  }

private:
  struct Stream {
    std::uint32_t UnderWay = 0;
    TimePoint HeardAt;
  };

  std::map<std::string, Stream, std::less<>> Streams;
};

} // namespace coltsfoottrail

#endif
