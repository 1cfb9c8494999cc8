#include "coltsfoottrail/choice/ejector.hpp"

namespace coltsfoottrail {

void Ejector::judge(CandidateTable &Table, CandidateId Which, double PoolMean,
                    Random &Draw, TimePoint Now) {
  Candidate &Endpoint = *Table.find(Which);
  switch (Endpoint.Condition.state()) {
  case Health::State::Ejected:
    return;
  case Health::State::Probing:
    judgeProbe(Table, Which, PoolMean, Draw, Now);
    return;
  case Health::State::Serving:
    break;
  }
  const std::optional<Health::Cause> Cause = fault(Endpoint, PoolMean, Now);
  if (Cause && mayEject(Table, *Cause))
    eject(Endpoint, Which, *Cause, Draw, Now);
}

std::optional<Health::Cause> Ejector::fault(const Candidate &Endpoint,
                                            double PoolMean,
                                            TimePoint Now) const {
  if (Endpoint.Condition.failuresInRow() >= Limits.FailuresInRow)
    return Health::Cause::Failing;
  if (isSlow(Endpoint, Limits.SlowEvidence, PoolMean, Now))
    return Health::Cause::Slow;
  return std::nullopt;
}

bool Ejector::isSlow(const Candidate &Endpoint, double Evidence,
                     double PoolMean, TimePoint Now) const {
  return Endpoint.Service.weight(Now) >= Evidence &&
         Endpoint.Service.mean() > Limits.SlowFactor * PoolMean;
}

void Ejector::judgeProbe(CandidateTable &Table, CandidateId Which,
                         double PoolMean, Random &Draw, TimePoint Now) {
  Candidate &Endpoint = *Table.find(Which);
  const Health &Condition = Endpoint.Condition;
  const bool WasSlow = Condition.cause() == Health::Cause::Slow;
  const bool Failed = Condition.failuresInRow() > 0;
  const std::uint32_t Needed = WasSlow ? Limits.SlowProbes : 1;
  if (!Failed && Condition.probesAnswered() < Needed)
    return;
  const bool StillSlow = WasSlow && isSlow(Endpoint, 0.0, PoolMean, Now);
  if (!Failed && !StillSlow) {
    release(Table, Which);
    return;
  }
  EjectedSlow -= WasSlow ? 1U : 0U;
  --Ejected;
  eject(Endpoint, Which, Failed ? Health::Cause::Failing : Health::Cause::Slow,
        Draw, Now);
}

// Failure guarded against: when the whole pool slows down or is out of reach,
// endpoint after endpoint is ejected until the few that are left break down
// under all of the load.
bool Ejector::mayEject(const CandidateTable &Table, Health::Cause Cause) const {
  const auto Endpoints = static_cast<double>(Table.all().size());
  const auto After = static_cast<double>(Ejected + 1);
  if (After > Limits.MaxEjectedShare * Endpoints)
    return false;
  const auto SlowAfter = static_cast<double>(EjectedSlow + 1);
  return Cause != Health::Cause::Slow ||
         SlowAfter <= Limits.MaxSlowShare * Endpoints;
}

void Ejector::eject(Candidate &Endpoint, CandidateId Which, Health::Cause Cause,
                    Random &Draw, TimePoint Now) {
  Endpoint.Condition.eject(Cause, Limits, Draw.fraction(), Now);
  ++Ejected;
  EjectedSlow += Cause == Health::Cause::Slow ? 1U : 0U;
  Ends.emplace(std::pair(Endpoint.Condition.ejectedUntil(), NextNumber++),
               Which);
}

void Ejector::release(CandidateTable &Table, CandidateId Which) {
  Candidate &Endpoint = *Table.find(Which);
  if (Endpoint.Condition.state() == Health::State::Serving)
    return;
  --Ejected;
  EjectedSlow -= Endpoint.Condition.cause() == Health::Cause::Slow ? 1U : 0U;
  std::erase_if(Ends, [&](const auto &Entry) { return Entry.second == Which; });
  Endpoint.Condition.restore();
}

// Failure guarded against: all endpoints that were not ejected leave, and
// requests wait for the end of an ejection although an endpoint is there.
void Ejector::advance(CandidateTable &Table, TimePoint Now) {
  while (!Ends.empty()) {
    const bool NoOther =
        Table.usable() == 0 && Table.listed(Listing::Probe).empty();
    if (Ends.begin()->first.first > Now && !NoOther)
      return;
    const CandidateId Which = Ends.begin()->second;
    Ends.erase(Ends.begin());
    Candidate &Endpoint = *Table.find(Which);
    Endpoint.Condition.probe();
    Endpoint.Service.reset();
    Endpoint.Failures.reset();
    Table.relist(Which);
  }
}

std::optional<TimePoint> Ejector::nextChange() const {
  if (Ends.empty())
    return std::nullopt;
  return Ends.begin()->first.first;
}

} // namespace coltsfoottrail
