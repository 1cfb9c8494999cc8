#include "coltsfoottrail/demand/aggregator.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace coltsfoottrail {

namespace {

HostName addressOf(const HostName &Run) {
  return HostName(Run.Text.substr(0, Run.Text.find('/')));
}

} // namespace

void DemandAggregator::report(const HostName &Run, DemandSum Demand,
                              TimePoint Now, ReporterScope Scope) {
  if (Demand.Age >= MaxAge)
    return forget(Run);
  Reports.set(addressOf(Run),
              {{std::move(Demand.Rows), Demand.Age}, Demand.Hosts, Now, Scope});
}

void DemandAggregator::forget(const HostName &Run) {
  Reports.erase(addressOf(Run));
}

DemandSum DemandAggregator::total(TimePoint Now, ReporterScope Included) const {
  std::map<DemandKey, DemandRates> Sums;
  DemandSum Result;
  for (const auto &[Address, Report] : Reports.all()) {
    if (!Reports.isIncluded(Report, Included, Now))
      continue;
    for (const DemandRow &Row : Report.Reported.Rows)
      Sums[Row.Key] += Row.Rates;
    Result.Hosts += Report.HostCount;
    Result.Age =
        std::max(Result.Age, Report.Reported.Age + (Now - Report.ReportedAt));
  }
  Result.Rows.reserve(Sums.size());
  for (const auto &[Key, Rates] : Sums)
    Result.Rows.push_back({Key, Rates});
  return Result;
}

} // namespace coltsfoottrail
