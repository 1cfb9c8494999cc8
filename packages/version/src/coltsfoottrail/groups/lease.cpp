#include "coltsfoottrail/groups/lease.hpp"

#include "coltsfoottrail/groups/spread.hpp"

namespace coltsfoottrail {

void LeaseKeeper::poll(const State &Agreed, TimePoint Now, bool CutOff,
                       AppendPacer &Appends, GroupCommands &Out) {
  std::erase_if(Leases, [&Agreed](const auto &Entry) {
    const auto Found = Agreed.Plans.find(Entry.first);
    return Found == Agreed.Plans.end() ||
           Found->second.Phase != PlanPhase::Running;
  });
  const auto Joined = Agreed.EntryHosts.find(Self);
  if (Joined == Agreed.EntryHosts.end() || Joined->second.JoinRecord.Run != Run)
    return;
  for (const auto &[Plan, Progress] : Agreed.Plans) {
    if (Progress.Phase != PlanPhase::Running)
      continue;
    const auto [Entry, IsNew] = Leases.try_emplace(Plan);
    LeaseState &Observed = Entry->second;
    if (IsNew)
      Observed.FirstSeenAt = Now;
    observe(Progress, Observed, Now);
    if (CutOff || !shouldRequest(Agreed, Plan, Observed, Now))
      continue;
    const std::string Key =
        "lease/" + std::to_string(Plan) + "/" + std::to_string(Observed.Lease);
    if (!Appends.append(Key, ExecutorTaken{Plan, Self, Run, Observed.Lease},
                        Now, Out))
      continue;
    if (!Observed.RequestedAt)
      Observed.RequestedAt = Now;
  }
}

std::optional<PlanLease> LeaseKeeper::held(Offset Plan, TimePoint Now) const {
  const auto Entry = Leases.find(Plan);
  if (Entry == Leases.end() || !Entry->second.IsOwn || Now >= Entry->second.End)
    return std::nullopt;
  return PlanLease{Entry->second.Lease, Entry->second.End};
}

void LeaseKeeper::renewNow(Offset Plan) {
  const auto Entry = Leases.find(Plan);
  if (Entry != Leases.end())
    Entry->second.RenewNow = true;
}

void LeaseKeeper::observe(const PlanProgress &Progress, LeaseState &Observed,
                          TimePoint Now) const {
  if (Progress.Lease == Observed.Lease)
    return;
  Observed.Lease = Progress.Lease;
  Observed.FirstSeenAt = Now;
  Observed.IsOwn = Progress.Executor == Self && Progress.ExecutorRun == Run;
  // Failure guarded against: the answer to a request for the lease is lost, the
  // request is repeated, and the first one took effect. The lease runs from the
  // oldest request that may have taken effect, so it ends no later than others
  // assume.
  Observed.End = Observed.RequestedAt.value_or(Now - Times.LeaseLength) +
                 Times.LeaseLength;
  Observed.RequestedAt.reset();
  Observed.RenewNow = false;
}

bool LeaseKeeper::shouldRequest(const State &Agreed, Offset Plan,
                                const LeaseState &Observed,
                                TimePoint Now) const {
  // An own lease that has lapsed may be replaced at once: nobody else acts on
  // the plan.
  if (Observed.IsOwn)
    return Observed.RenewNow || Now + Times.LeaseLength / 2 >= Observed.End;
  const Duration Expiry =
      Observed.Lease == 0 ? Duration::zero() : Times.leaseExpiredAfter();
  if (Now - Observed.FirstSeenAt < Expiry)
    return false;
  const std::string Task = "plan/" + std::to_string(Plan);
  const auto Rank =
      static_cast<std::int64_t>(rendezvousRank(Task, Agreed.EntryHosts, Self));
  return Now - Observed.FirstSeenAt >= Expiry + Rank * Times.Stagger;
}

} // namespace coltsfoottrail
