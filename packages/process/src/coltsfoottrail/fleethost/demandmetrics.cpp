#include "coltsfoottrail/fleethost/demandmetrics.hpp"

#include <array>
#include <cstdio>
#include <string_view>

namespace coltsfoottrail {

namespace {

/// One family of series, with a series for each pool and rank.
struct Family {
  std::string_view Name;
  std::string_view Help;
  double DemandRates::*Rate;
};

constexpr std::array Families{
    Family{"coltsfoottrail_demand_offered",
           "Requests per second that arrived at this host.",
           &DemandRates::Offered},
    Family{"coltsfoottrail_demand_admitted",
           "Requests per second that were sent to an endpoint.",
           &DemandRates::Admitted},
    Family{"coltsfoottrail_demand_refused",
           "Requests per second that were refused without having run.",
           &DemandRates::Refused},
    Family{"coltsfoottrail_demand_demoted",
           "Requests per second that could no longer be on time.",
           &DemandRates::Demoted},
    Family{"coltsfoottrail_demand_prompt_tokens",
           "Prompt tokens per second of the requests that arrived.",
           &DemandRates::PromptTokens},
    Family{"coltsfoottrail_demand_answer_tokens",
           "Expected answer tokens per second of the requests that arrived.",
           &DemandRates::AnswerTokens},
    Family{"coltsfoottrail_demand_waited",
           "Seconds per second that requests waited until they were sent.",
           &DemandRates::Waited},
};

std::string numberText(double Number) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.6g", Number);
  return Text;
}

} // namespace

void appendDemandMetrics(
    std::string &Output, std::span<const DemandRow> Rows,
    const std::map<std::uint64_t, std::string> &PoolNames) {
  if (Rows.empty())
    return;
  for (const Family &Series : Families) {
    const std::string Name(Series.Name);
    Output += "# HELP " + Name + " " + std::string(Series.Help) + "\n# TYPE " +
              Name + " gauge\n";
    for (const DemandRow &Row : Rows) {
      const auto Pool = PoolNames.find(Row.Key.Pool);
      if (Pool == PoolNames.end())
        continue;
      Output += Name + "{pool=\"" + Pool->second + "\",rank=\"" +
                std::to_string(Row.Key.Rank) + "\"} " +
                numberText(Row.Rates.*Series.Rate) + "\n";
    }
  }
}

} // namespace coltsfoottrail
