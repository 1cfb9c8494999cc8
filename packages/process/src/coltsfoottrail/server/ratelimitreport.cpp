#include "coltsfoottrail/server/ratelimitreport.hpp"

#include <cstdio>

namespace coltsfoottrail {

namespace {

/// One family of series, with a series for each endpoint.
struct Family {
  std::string_view Name;
  std::string_view Type;
  std::string_view Help;
  double (*Value)(const RateLimitTally &Tally);
};

double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

constexpr Family Families[] = {
    {"coltsfoottrail_rate_limit", "gauge",
     "Requests per second that an endpoint takes from all entry hosts.",
     [](const RateLimitTally &Tally) { return Tally.PerSecond; }},
    {"coltsfoottrail_rate_limit_age_seconds", "gauge",
     "Time since the limit was last named to any entry host.",
     [](const RateLimitTally &Tally) { return toSeconds(Tally.Age); }},
    {"coltsfoottrail_rate_limit_sends_total", "counter",
     "Requests of this host sent under the limit.",
     [](const RateLimitTally &Tally) { return double(Tally.Sends); }},
    {"coltsfoottrail_rate_limit_withheld_total", "counter",
     "How often this host passed the endpoint over because of the limit.",
     [](const RateLimitTally &Tally) { return double(Tally.Withheld); }},
};

std::string numberText(double Number) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.6g", Number);
  return Text;
}

std::int64_t toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

} // namespace

void RateLimitReport::logChanges(std::span<const RateLimitChange> Changes,
                                 TimePoint Now) {
  for (const RateLimitChange &Change : Changes) {
    const Event Kind =
        Change.PerSecond ? Event::RateLimitNamed : Event::RateLimitEnded;
    if (!Sampler.admit(Kind, Now))
      continue;
    const std::string_view Source = Change.FromPeer ? "peer" : "self";
    if (Change.PerSecond)
      logEvent(Kind, {{"endpoint", Change.Process},
                      {"per_second", numberText(*Change.PerSecond)},
                      {"age_ms", toMilliseconds(Change.Age)},
                      {"source", Source}});
    else
      logEvent(Kind,
               {{"endpoint", Change.Process},
                {"why", Change.IsUnheard ? "unheard" : "not named any longer"},
                {"age_ms", toMilliseconds(Change.Age)},
                {"source", Source}});
  }
}

void RateLimitReport::logUse(std::span<const RateLimitTally> Tallies,
                             TimePoint Now) {
  if (Now < NextUseAt)
    return;
  NextUseAt = Now + Interval;
  std::map<std::string, std::uint64_t> Use;
  for (const RateLimitTally &Tally : Tallies) {
    const std::uint64_t Count = Tally.Sends + Tally.Withheld;
    Use[Tally.Process] = Count;
    const auto Logged = LoggedUse.find(Tally.Process);
    const bool IsUsed =
        Count != (Logged == LoggedUse.end() ? 0 : Logged->second);
    if (IsUsed && Sampler.admit(Event::RateLimitUse, Now))
      logEvent(Event::RateLimitUse,
               {{"endpoint", Tally.Process},
                {"per_second", numberText(Tally.PerSecond)},
                {"age_ms", toMilliseconds(Tally.Age)},
                {"sends", Tally.Sends},
                {"withheld", Tally.Withheld}});
  }
  LoggedUse = std::move(Use);
}

void RateLimitReport::logInvalid(std::string_view Endpoint, TimePoint Now) {
  if (const auto HeldBack = Sampler.admit(Event::RateLimitInvalid, Now))
    logEvent(Event::RateLimitInvalid,
             {{"endpoint", Endpoint}, {"held_back", *HeldBack}});
}

void RateLimitReport::appendTo(std::string &Output,
                               std::span<const RateLimitTally> Tallies) {
  if (Tallies.empty())
    return;
  for (const Family &Series : Families) {
    Output += "# HELP ";
    Output += Series.Name;
    Output += ' ';
    Output += Series.Help;
    Output += "\n# TYPE ";
    Output += Series.Name;
    Output += ' ';
    Output += Series.Type;
    Output += '\n';
    for (const RateLimitTally &Tally : Tallies) {
      Output += Series.Name;
      Output += "{endpoint=\"" + Tally.Process + "\"} ";
      Output += numberText(Series.Value(Tally));
      Output += '\n';
    }
  }
}

} // namespace coltsfoottrail
