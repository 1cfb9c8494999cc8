#include "coltsfoottrail/silence/silencewatch.hpp"

namespace coltsfoottrail {

void SilenceWatch::began(std::string_view Endpoint, TimePoint Now) {
  Stream &Its = Streams[std::string(Endpoint)];
  ++Its.UnderWay;
  Its.HeardAt = Now;
}

void SilenceWatch::heard(std::string_view Endpoint, TimePoint Now) {
  if (const auto Found = Streams.find(Endpoint); Found != Streams.end())
    Found->second.HeardAt = Now;
}

void SilenceWatch::ended(std::string_view Endpoint) {
  const auto Found = Streams.find(Endpoint);
  if (Found != Streams.end() && --Found->second.UnderWay == 0)
    Streams.erase(Found);
}

bool SilenceWatch::silent(std::string_view Endpoint, TimePoint Now) const {
  const auto Found = Streams.find(Endpoint);
  return Found != Streams.end() && Now - Found->second.HeardAt >= SilentAfter;
}

bool SilenceWatch::moves(std::string_view Endpoint, TimePoint Now) const {
  const auto Found = Streams.find(Endpoint);
  return Found != Streams.end() && Now - Found->second.HeardAt < SilentAfter;
}

std::vector<std::string> SilenceWatch::quietFor(Duration Span,
                                                TimePoint Now) const {
  std::vector<std::string> Out;
  for (const auto &[Endpoint, Its] : Streams)
    if (Now - Its.HeardAt >= Span)
      Out.push_back(Endpoint);
  return Out;
}

} // namespace coltsfoottrail
