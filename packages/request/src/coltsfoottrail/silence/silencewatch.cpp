#include "coltsfoottrail/silence/silencewatch.hpp"

namespace coltsfoottrail {

void StallDetector::streamStarted(std::string_view Endpoint, TimePoint Now) {
  Stream &Its = Streams[std::string(Endpoint)];
  ++Its.UnderWay;
  Its.HeardAt = Now;
}

void StallDetector::dataReceived(std::string_view Endpoint, TimePoint Now) {
  if (const auto Found = Streams.find(Endpoint); Found != Streams.end())
    Found->second.HeardAt = Now;
}

void StallDetector::streamEnded(std::string_view Endpoint) {
  const auto Found = Streams.find(Endpoint);
  if (Found != Streams.end() && --Found->second.UnderWay == 0)
    Streams.erase(Found);
}

bool StallDetector::stalled(std::string_view Endpoint, TimePoint Now) const {
  const auto Found = Streams.find(Endpoint);
  return Found != Streams.end() && Now - Found->second.HeardAt >= StallTimeout;
}

bool StallDetector::active(std::string_view Endpoint, TimePoint Now) const {
  const auto Found = Streams.find(Endpoint);
  return Found != Streams.end() && Now - Found->second.HeardAt < StallTimeout;
}

std::vector<std::string> StallDetector::idleFor(Duration Span,
                                                TimePoint Now) const {
  std::vector<std::string> Out;
  for (const auto &[Endpoint, Its] : Streams)
    if (Now - Its.HeardAt >= Span)
      Out.push_back(Endpoint);
  return Out;
}

} // namespace coltsfoottrail
