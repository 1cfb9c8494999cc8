#include "coltsfoottrail/silence/silencewatch.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// The time-out as a multiple of the longest recent pause.
constexpr double PauseFactor = 1.5;

} // namespace

void StallDetector::streamStarted(std::string_view Endpoint, TimePoint Now) {
  EndpointStreams &State = Endpoints[std::string(Endpoint)];
  if (State.Count++ == 0)
    State.LastDataAt = Now;
  else
    endPause(State, Now);
}

void StallDetector::endPause(EndpointStreams &State, TimePoint Now) noexcept {
  const Duration Pause = Now - State.LastDataAt;
  if (Pause <= MaxStallTimeout)
    Pauses.record(Pause, Now);
  State.LastDataAt = Now;
}

void StallDetector::recordOwnPause(Duration Pause, TimePoint Now) noexcept {
  if (Pause < MinOwnPause)
    return;
  for (auto &[Endpoint, State] : Endpoints)
    State.LastDataAt = std::min(State.LastDataAt + Pause, Now);
}

Duration StallDetector::stallTimeout(TimePoint Now) const noexcept {
  return std::clamp(
      std::chrono::duration_cast<Duration>(Pauses.longest(Now) * PauseFactor),
      StallTimeout, MaxStallTimeout);
}

void StallDetector::dataReceived(std::string_view Endpoint, TimePoint Now) {
  if (const auto Entry = Endpoints.find(Endpoint); Entry != Endpoints.end())
    endPause(Entry->second, Now);
}

void StallDetector::streamEnded(std::string_view Endpoint) {
  const auto Entry = Endpoints.find(Endpoint);
  if (Entry != Endpoints.end() && --Entry->second.Count == 0)
    Endpoints.erase(Entry);
}

bool StallDetector::stalled(std::string_view Endpoint, TimePoint Now) const {
  const auto Entry = Endpoints.find(Endpoint);
  return Entry != Endpoints.end() &&
         Now - Entry->second.LastDataAt >= stallTimeout(Now);
}

bool StallDetector::active(std::string_view Endpoint, TimePoint Now) const {
  const auto Entry = Endpoints.find(Endpoint);
  return Entry != Endpoints.end() &&
         Now - Entry->second.LastDataAt < StallTimeout;
}

std::vector<std::string> StallDetector::idleFor(Duration Timeout,
                                                TimePoint Now) const {
  std::vector<std::string> Result;
  for (const auto &[Endpoint, State] : Endpoints)
    if (Now - State.LastDataAt >= Timeout)
      Result.push_back(Endpoint);
  return Result;
}

} // namespace coltsfoottrail
