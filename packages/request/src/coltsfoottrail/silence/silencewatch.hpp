/// @file
/// Detects endpoints whose streams have all stalled.
#ifndef COLTSFOOTTRAIL_SILENCE_SILENCEWATCH_HPP
#define COLTSFOOTTRAIL_SILENCE_SILENCEWATCH_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/silence/pausehistory.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Tracks when each endpoint last sent data on any of its streams. Does
/// no I/O and reads no clock. Not thread-safe; times must not go back.
///
/// Failure guarded against: a member of a group dies, its leader goes on
/// accepting requests, and no stream makes progress until the leader notices by
/// itself, seconds later, or the member's record expires, after three
/// heartbeats. All streams of the leader stop at the same moment, whereas a
/// busy leader sends an event every few tens of milliseconds. An endpoint that
/// has streams in progress and sends nothing for a while therefore counts as
/// stalled.
///
/// Failure guarded against: engines or hosts that are slow pause for longer
/// than StallTimeout, and streams of healthy endpoints are moved all the time.
/// The time-out grows with the longest recent pause that was followed by data.
class StallDetector {
public:
  /// Shortest time-out. An engine sends an event every 40 to 60 ms, or every
  /// 200 ms when it processes long prompts in between; each false alarm moves
  /// streams of a healthy endpoint.
  static constexpr Duration StallTimeout = milliseconds(400);
  /// Longest time-out. A longer pause is a stall even if data follows, and does
  /// not raise the time-out.
  static constexpr Duration MaxStallTimeout = StallTimeout * 2;
  /// Shorter delays of a busy host do not count as its own pauses.
  static constexpr Duration MinOwnPause = milliseconds(100);
  /// After this the members of the endpoint may be asked whether they are
  /// alive, which costs one message each and does not move streams.
  static constexpr Duration SuspectTimeout = milliseconds(200);

  /// @brief Records the first event of a stream.
  void streamStarted(std::string_view Endpoint, TimePoint Now);
  /// @brief Records that data arrived on a stream.
  void dataReceived(std::string_view Endpoint, TimePoint Now);
  /// @brief Records the end, for any reason, of a stream that had started.
  void streamEnded(std::string_view Endpoint);

  /// @brief Records that this host itself did not run for a time that has just
  /// ended, so that data may have arrived that it has not read yet. The time
  /// does not count as an endpoint's silence.
  /// @param Pause The time; below MinOwnPause it is ignored.
  /// @param Now The time.
  void recordOwnPause(Duration Pause, TimePoint Now) noexcept;

  /// @brief How long an endpoint may send nothing at present until it counts as
  /// stalled: between StallTimeout and MaxStallTimeout.
  [[nodiscard]] Duration stallTimeout(TimePoint Now) const noexcept;
  /// @brief Whether an endpoint has streams and none of them makes progress.
  [[nodiscard]] bool stalled(std::string_view Endpoint, TimePoint Now) const;
  /// @brief Whether an endpoint has streams and at least one has made progress
  /// within StallTimeout.
  [[nodiscard]] bool active(std::string_view Endpoint, TimePoint Now) const;
  /// @brief All endpoints that have streams and have sent nothing for a time.
  [[nodiscard]] std::vector<std::string> idleFor(Duration Timeout,
                                                 TimePoint Now) const;
  /// @brief All stalled endpoints.
  [[nodiscard]] std::vector<std::string> stalledEndpoints(TimePoint Now) const {
    return idleFor(stallTimeout(Now), Now);
  }

private:
  struct EndpointStreams {
    std::uint32_t Count = 0;
    TimePoint LastDataAt;
  };

  void endPause(EndpointStreams &State, TimePoint Now) noexcept;

  std::map<std::string, EndpointStreams, std::less<>> Endpoints;
  PauseHistory Pauses;
};

} // namespace coltsfoottrail

#endif
