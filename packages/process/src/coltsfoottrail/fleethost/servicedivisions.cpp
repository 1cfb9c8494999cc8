#include "coltsfoottrail/fleethost/servicedivisions.hpp"

#include <algorithm>

namespace coltsfoottrail {

void ServiceDivisions::begin(TimePoint Now) {
  TermStartedAt = Now;
  Entries.clear();
}

bool ServiceDivisions::isDue(const ServiceName &Service, TimePoint Now) const {
  if (!Settings.FollowDemand)
    return false;
  const auto It = Entries.find(Service);
  return It == Entries.end() || Now >= It->second.DueAt;
}

const DivisionRecord &ServiceDivisions::update(const AssemblyView &View,
                                               const DemandSum &Sum,
                                               std::size_t KnownHosts,
                                               TimePoint Now) {
  Entry &Kept = Entries[View.Service.Name];
  DivisionRecord &Record = Kept.Record;
  Kept.DueAt = Now + UpdateInterval;
  Record.Engines =
      countEngines(View.Endpoints, View.Service.Name, View.Drained);
  const std::map<ModelName, ModelDemand> Demand =
      modelDemand(View.Service, Sum);
  // Without any callers there is no demand to follow, as before the first one.
  const bool IsHeardFromAll = Now - TermStartedAt >= HearingTime &&
                              isCurrent(Sum, KnownHosts) && !Demand.empty();
  const DivisionInput Input{*View.Service.Engine,
                            double(Record.Engines.Usable),
                            Demand,
                            IsHeardFromAll,
                            Settings.Limits,
                            Settings.HoldDivision};
  Record.Targets = Kept.Division.update(Input, Now);
  Record.Account = Kept.Division.account();
  Record.Changes += std::any_of(
      Record.Account.begin(), Record.Account.end(), [](const auto &Row) {
        return Row.second.Outcome == DivisionOutcome::Moved;
      });
  return Record;
}

void ServiceDivisions::applyTo(AssemblyView &View) const {
  View.StagesAhead = Settings.StageAhead;
  const auto It = Entries.find(View.Service.Name);
  if (!Settings.FollowDemand || It == Entries.end())
    return;
  View.Targets = &It->second.Record.Targets;
  View.ConvertsGroups =
      !Settings.HoldDivision && It->second.Division.followsDemand();
}

std::map<ServiceName, const DivisionRecord *>
ServiceDivisions::records() const {
  std::map<ServiceName, const DivisionRecord *> Result;
  for (const auto &[Service, Kept] : Entries)
    Result[Service] = &Kept.Record;
  return Result;
}

} // namespace coltsfoottrail
