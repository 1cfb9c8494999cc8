#include "coltsfoottrail/server/retryreport.hpp"

#include "coltsfoottrail/logging/log.hpp"

#include <cstdio>
#include <string_view>

namespace coltsfoottrail {

namespace {

/// One family of series, with a series for each budget.
struct Family {
  std::string_view Name;
  std::string_view Type;
  std::string_view Help;
  double (*Value)(const RetryTally &Tally);
};

constexpr Family Families[] = {
    {"coltsfoottrail_retries_total", "counter", "Retries sent.",
     [](const RetryTally &Tally) { return double(Tally.Spent); }},
    {"coltsfoottrail_retry_waits_total", "counter",
     "How often a retry waited for the budget.",
     [](const RetryTally &Tally) { return double(Tally.Waits); }},
    {"coltsfoottrail_retry_tokens_earned_total", "counter",
     "Retries that first sends have allowed.",
     [](const RetryTally &Tally) { return Tally.Earned; }},
    {"coltsfoottrail_retry_tokens_renewed_total", "counter",
     "Retries that the time since the start has allowed.",
     [](const RetryTally &Tally) { return Tally.Renewed; }},
    {"coltsfoottrail_retry_tokens_initial", "gauge",
     "Retries allowed at the start of the process.",
     [](const RetryTally &Tally) { return Tally.Initial; }},
    {"coltsfoottrail_retry_tokens", "gauge", "Retries allowed at present.",
     [](const RetryTally &Tally) { return Tally.Available; }},
    {"coltsfoottrail_retry_tokens_limit", "gauge",
     "Most retries that can be saved up.",
     [](const RetryTally &Tally) { return Tally.Capacity; }},
};

std::string tokensText(double Tokens) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.2f", Tokens);
  return Text;
}

} // namespace

void RetryReport::log(const RetryTallies &Tallies, std::size_t EntryHosts,
                      TimePoint Now) {
  if (Now < NextAt)
    return;
  NextAt = Now + Interval;
  for (const auto &[Name, Tally] : Tallies) {
    RetryTally &Last = Logged[Name];
    if (Tally.Spent == Last.Spent && Tally.Waits == Last.Waits)
      continue;
    Last = Tally;
    logEvent(Event::RetryBudget, {{"service", Name},
                                  {"initial", tokensText(Tally.Initial)},
                                  {"earned", tokensText(Tally.Earned)},
                                  {"renewed", tokensText(Tally.Renewed)},
                                  {"spent", Tally.Spent},
                                  {"waits", Tally.Waits},
                                  {"available", tokensText(Tally.Available)},
                                  {"capacity", tokensText(Tally.Capacity)},
                                  {"entry_hosts", EntryHosts}});
  }
}

void RetryReport::appendTo(std::string &Output, const RetryTallies &Tallies) {
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
    for (const auto &[Name, Tally] : Tallies) {
      Output += Series.Name;
      Output += "{service=\"" + Name + "\"} ";
      Output += tokensText(Series.Value(Tally));
      Output += '\n';
    }
  }
}

} // namespace coltsfoottrail
