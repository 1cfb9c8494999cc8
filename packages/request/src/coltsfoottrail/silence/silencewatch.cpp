#include "coltsfoottrail/silence/silencewatch.hpp"

namespace coltsfoottrail {

void StallDetector::streamStarted(std::string_view Endpoint, TimePoint Now) {
  EndpointStreams &State = Endpoints[std::string(Endpoint)];
  ++State.Count;
  State.LastDataAt = Now;
}

void StallDetector::dataReceived(std::string_view Endpoint, TimePoint Now) {
  if (const auto Entry = Endpoints.find(Endpoint); Entry != Endpoints.end())
    Entry->second.LastDataAt = Now;
}

void StallDetector::streamEnded(std::string_view Endpoint) {
  const auto Entry = Endpoints.find(Endpoint);
  if (Entry != Endpoints.end() && --Entry->second.Count == 0)
    Endpoints.erase(Entry);
}

bool StallDetector::stalled(std::string_view Endpoint, TimePoint Now) const {
  const auto Entry = Endpoints.find(Endpoint);
  return Entry != Endpoints.end() &&
         Now - Entry->second.LastDataAt >= StallTimeout;
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
