#include "coltsfoottrail/groups/lease.hpp"

#include "coltsfoottrail/groups/spread.hpp"

namespace coltsfoottrail {

void LeaseKeeper::poll(const State &Now, TimePoint At, bool CutOff,
                       AppendPacer &Pace, GroupCommands &Out) {
  std::erase_if(Plans, [&Now](const auto &Entry) {
    const auto Found = Now.Plans.find(Entry.first);
    return Found == Now.Plans.end() ||
           Found->second.Phase != PlanPhase::Running;
  });
  const auto Joined = Now.EntryHosts.find(Self);
  if (Joined == Now.EntryHosts.end() || Joined->second.JoinRecord.Run != Run)
    return;
  for (const auto &[Plan, Progress] : Now.Plans) {
    if (Progress.Phase != PlanPhase::Running)
      continue;
    const auto [Entry, Fresh] = Plans.try_emplace(Plan);
    Seen &Known = Entry->second;
    if (Fresh)
      Known.FirstSeen = At;
    see(Progress, Known, At);
    if (CutOff || !wants(Now, Plan, Known, At))
      continue;
    const std::string Key =
        "lease/" + std::to_string(Plan) + "/" + std::to_string(Known.Lease);
    if (!Pace.append(Key, ExecutorTaken{Plan, Self, Run, Known.Lease}, At, Out))
      continue;
    if (!Known.AskedAt)
      Known.AskedAt = At;
  }
}

std::optional<PlanLease> LeaseKeeper::held(Offset Plan, TimePoint At) const {
  const auto Found = Plans.find(Plan);
  if (Found == Plans.end() || !Found->second.Own || At >= Found->second.End)
    return std::nullopt;
  return PlanLease{Found->second.Lease, Found->second.End};
}

void LeaseKeeper::renewNow(Offset Plan) {
  const auto Found = Plans.find(Plan);
  if (Found != Plans.end())
    Found->second.RenewNow = true;
}

void LeaseKeeper::see(const PlanProgress &Progress, Seen &Known,
                      TimePoint At) const {
  if (Progress.Lease == Known.Lease)
    return;
  Known.Lease = Progress.Lease;
  Known.FirstSeen = At;
  Known.Own = Progress.Executor == Self && Progress.ExecutorRun == Run;
  // Failure guarded against: the answer to a request for the lease is lost, it
  // is made again, and the first one took effect. The lease runs from the
  // oldest request that may have been it, so it ends no later than others
  // think.
  Known.End =
      Known.AskedAt.value_or(At - Times.LeaseLength) + Times.LeaseLength;
  Known.AskedAt.reset();
  Known.RenewNow = false;
}

bool LeaseKeeper::wants(const State &Now, Offset Plan, const Seen &Known,
                        TimePoint At) const {
  // A lapsed lease of one's own may be replaced at once: nobody else acts.
  if (Known.Own)
    return Known.RenewNow || At + Times.LeaseLength / 2 >= Known.End;
  const Duration Over =
      Known.Lease == 0 ? Duration::zero() : Times.leaseOverAfter();
  if (At - Known.FirstSeen < Over)
    return false;
  const std::string Duty = "plan/" + std::to_string(Plan);
  const auto Turn =
      static_cast<std::int64_t>(turnOf(Duty, Now.EntryHosts, Self));
  return At - Known.FirstSeen >= Over + Turn * Times.Stagger;
}

} // namespace coltsfoottrail
