#include "coltsfoottrail/server/availabilityreport.hpp"

#include "coltsfoottrail/core/overloaded.hpp"

namespace coltsfoottrail {

namespace {

/// One family of series, with a series for each back-off.
struct Family {
  std::string_view Name;
  std::string_view Type;
  std::string_view Help;
  double (*Value)(const BackoffTally &Tally);
};

constexpr Family Families[] = {
    {"coltsfoottrail_backoff_left_seconds", "gauge",
     "Time for which an endpoint wants no request of this host.",
     [](const BackoffTally &Tally) {
       return std::chrono::duration<double>(Tally.Left).count();
     }},
    {"coltsfoottrail_backoff_refusals_total", "counter",
     "Refusals by which the endpoint has asked for the back-off.",
     [](const BackoffTally &Tally) { return double(Tally.Refusals); }},
    {"coltsfoottrail_backoff_sends_total", "counter",
     "Requests of this host sent to the endpoint in its back-off.",
     [](const BackoffTally &Tally) { return double(Tally.Sends); }},
    {"coltsfoottrail_backoff_withheld_total", "counter",
     "How often this host passed the endpoint over in its back-off.",
     [](const BackoffTally &Tally) { return double(Tally.Withheld); }},
};

std::int64_t toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

void appendHead(std::string &Output, std::string_view Name,
                std::string_view Type, std::string_view Help) {
  Output += "# HELP ";
  Output += Name;
  Output += ' ';
  Output += Help;
  Output += "\n# TYPE ";
  Output += Name;
  Output += ' ';
  Output += Type;
  Output += '\n';
}

} // namespace

void AvailabilityReport::logChanges(std::span<const AvailabilityChange> Changes,
                                    TimePoint Now) {
  const Overloaded Log{
      [&](const BackoffBegan &Began) {
        if (const auto HeldBack = Sampler.admit(Event::BackoffBegan, Now))
          logEvent(Event::BackoffBegan,
                   {{"endpoint", Began.Process},
                    {"pause_ms", toMilliseconds(Began.Pause)},
                    {"left_ms", toMilliseconds(Began.Left)},
                    {"held_back", *HeldBack}});
      },
      [&](const BackoffEnded &Ended) {
        if (const auto HeldBack = Sampler.admit(Event::BackoffEnded, Now))
          logEvent(Event::BackoffEnded, {{"endpoint", Ended.Process},
                                         {"refusals", Ended.Refusals},
                                         {"sends", Ended.Sends},
                                         {"withheld", Ended.Withheld},
                                         {"held_back", *HeldBack}});
      },
      [&](const LeavingNoticed &Noticed) {
        if (const auto HeldBack = Sampler.admit(Event::EndpointLeaving, Now))
          logEvent(Event::EndpointLeaving,
                   {{"endpoint", Noticed.Process},
                    {"source", Noticed.FromPeer ? "peer" : "self"},
                    {"age_ms", toMilliseconds(Noticed.Age)},
                    {"held_back", *HeldBack}});
      }};
  for (const AvailabilityChange &Change : Changes)
    std::visit(Log, Change);
}

void AvailabilityReport::logInvalid(std::string_view Endpoint, TimePoint Now) {
  if (const auto HeldBack = Sampler.admit(Event::BackoffInvalid, Now))
    logEvent(Event::BackoffInvalid,
             {{"endpoint", Endpoint}, {"held_back", *HeldBack}});
}

void AvailabilityReport::appendTo(std::string &Output,
                                  const AvailabilityTally &Tally) {
  constexpr std::string_view Leaving = "coltsfoottrail_endpoints_leaving";
  appendHead(Output, Leaving, "gauge",
             "Endpoints that have said in a response that they leave.");
  Output += Leaving;
  Output += ' ' + std::to_string(Tally.Leaving.size()) + '\n';
  if (Tally.Backoffs.empty())
    return;
  for (const Family &Series : Families) {
    appendHead(Output, Series.Name, Series.Type, Series.Help);
    for (const BackoffTally &Each : Tally.Backoffs) {
      Output += Series.Name;
      Output += "{endpoint=\"" + Each.Process + "\"} ";
      Output += std::to_string(Series.Value(Each)) + '\n';
    }
  }
}

} // namespace coltsfoottrail
