#include "coltsfoottrail/choice/ejector.hpp"

namespace coltsfoottrail {

void Ejector::judge(CandidateTable &Table, CandidateId Id, double PoolMean,
                    Random &Rng, TimePoint Now) {
  Candidate &Endpoint = *Table.find(Id);
  switch (Endpoint.Condition.state()) {
  case Health::State::Ejected:
    return;
  case Health::State::Probing:
    judgeProbe(Table, Id, PoolMean, Rng, Now);
    return;
  case Health::State::Serving:
    break;
  }
  const std::optional<Health::Cause> Cause =
      detectFault(Endpoint, PoolMean, Now);
  if (Cause && mayEject(Table, *Cause))
    eject(Endpoint, Id, *Cause, Rng, Now);
}

std::optional<Health::Cause> Ejector::detectFault(const Candidate &Endpoint,
                                                  double PoolMean,
                                                  TimePoint Now) const {
  if (Endpoint.Condition.consecutiveFailures() >= Limits.ConsecutiveFailures)
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

void Ejector::judgeProbe(CandidateTable &Table, CandidateId Id, double PoolMean,
                         Random &Rng, TimePoint Now) {
  Candidate &Endpoint = *Table.find(Id);
  const Health &Condition = Endpoint.Condition;
  const bool WasSlow = Condition.cause() == Health::Cause::Slow;
  const bool Failed = Condition.consecutiveFailures() > 0;
  const std::uint32_t NeededProbes = WasSlow ? Limits.SlowProbes : 1;
  if (!Failed && Condition.probesAnswered() < NeededProbes)
    return;
  const bool StillSlow = WasSlow && isSlow(Endpoint, 0.0, PoolMean, Now);
  if (!Failed && !StillSlow) {
    release(Table, Id);
    return;
  }
  EjectedSlow -= WasSlow ? 1U : 0U;
  --Ejected;
  eject(Endpoint, Id, Failed ? Health::Cause::Failing : Health::Cause::Slow,
        Rng, Now);
}

// Failure guarded against: the whole pool slows down or becomes unreachable,
// and one endpoint after the other is ejected until the few that are left fail
// under the whole load.
bool Ejector::mayEject(const CandidateTable &Table, Health::Cause Cause) const {
  const auto Endpoints = static_cast<double>(Table.all().size());
  const auto EjectedAfter = static_cast<double>(Ejected + 1);
  if (EjectedAfter > Limits.MaxEjectedShare * Endpoints)
    return false;
  const auto SlowEjectedAfter = static_cast<double>(EjectedSlow + 1);
  return Cause != Health::Cause::Slow ||
         SlowEjectedAfter <= Limits.MaxSlowShare * Endpoints;
}

void Ejector::eject(Candidate &Endpoint, CandidateId Id, Health::Cause Cause,
                    Random &Rng, TimePoint Now) {
  Endpoint.Condition.eject(Cause, Limits, Rng.fraction(), Now);
  ++Ejected;
  EjectedSlow += Cause == Health::Cause::Slow ? 1U : 0U;
  EjectionEnds.emplace(
      std::pair(Endpoint.Condition.ejectedUntil(), NextSequence++), Id);
}

void Ejector::release(CandidateTable &Table, CandidateId Id) {
  Candidate &Endpoint = *Table.find(Id);
  if (Endpoint.Condition.state() == Health::State::Serving)
    return;
  --Ejected;
  EjectedSlow -= Endpoint.Condition.cause() == Health::Cause::Slow ? 1U : 0U;
  std::erase_if(EjectionEnds,
                [&](const auto &Entry) { return Entry.second == Id; });
  Endpoint.Condition.restore();
}

// Failure guarded against: all endpoints that are not ejected are removed, and
// requests wait for the end of an ejection although an endpoint exists.
void Ejector::advance(CandidateTable &Table, TimePoint Now) {
  while (!EjectionEnds.empty()) {
    const bool NoOtherUsable =
        Table.usable() == 0 && Table.listed(Listing::Probe).empty();
    if (EjectionEnds.begin()->first.first > Now && !NoOtherUsable)
      return;
    const CandidateId Id = EjectionEnds.begin()->second;
    EjectionEnds.erase(EjectionEnds.begin());
    Candidate &Endpoint = *Table.find(Id);
    Endpoint.Condition.probe();
    Endpoint.Service.reset();
    Endpoint.Failures.reset();
    Table.relist(Id);
  }
}

std::optional<TimePoint> Ejector::nextChange() const {
  if (EjectionEnds.empty())
    return std::nullopt;
  return EjectionEnds.begin()->first.first;
}

} // namespace coltsfoottrail
