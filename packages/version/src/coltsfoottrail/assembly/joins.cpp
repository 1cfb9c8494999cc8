// Assembler: orders joins, also to engines that a late join may seat again.
#include "coltsfoottrail/assembly/assembler.hpp"

#include "coltsfoottrail/assembly/pass.hpp"

namespace coltsfoottrail {

/// Orders the first copy of a join.
void Assembler::beginJoin(PlanContext &Context, const KnownEndpoint &Engine,
                          JoinSeat Join) {
  if (mayBeSeatedAgain(Engine))
    Join.ExpectedOrders = ordersWithoutSeat(Engine);
  Pending[Engine.Record.Name] = {Join.Epoch, Engine.Record.StartedAtMs,
                                 Context.Now, false, Join.ExpectedOrders};
  orderJoin(Context, Engine, std::move(Join));
}

void Assembler::orderJoin(PlanContext &Context, const KnownEndpoint &Engine,
                          JoinSeat Join) {
  Joins.sent(Engine.Record, Join.Epoch);
  Context.order(Engine, std::move(Join));
}

// Failure guarded against: an engine has left a group, a late copy of its join
// seats it there again while the leader serves, and only then is a join of
// another group carried out.
bool Assembler::mayBeSeatedAgain(const KnownEndpoint &Endpoint) const {
  if (Endpoint.Record.Seat)
    return false;
  // An engine whose host has weights may have left a group by order of a
  // predecessor, whose joins are not known.
  const bool MayHaveLeft =
      FollowsPredecessor.value_or(true) &&
      Endpoint.LastWrittenAt < TermStartedAt + Times.latestEffect() &&
      !Endpoint.Record.Staged.empty();
  return MayHaveLeft ||
         Joins.mayReturn(Endpoint.Record, Endpoint.LastWrittenAt);
}

void Assembler::readStatuses(const PlanContext &Context) {
  std::erase_if(Statuses, [&](const auto &Entry) {
    const KnownEndpoint *const Endpoint =
        Context.View.Endpoints.find(Entry.first);
    return Endpoint == nullptr || !mayBeSeatedAgain(*Endpoint);
  });
  for (const auto &[Name, Endpoint] : Context.View.Endpoints.all()) {
    if (PendingStatusReads.size() >= Context.View.MaxOrders)
      return;
    if (Endpoint.Record.Service != Context.View.Service.Name ||
        Pending.contains(Name) || isDead(Endpoint) || isJoinSafe(Endpoint))
      continue;
    const auto [Entry, IsNew] =
        Statuses.try_emplace(Name, StatusState{Context.Now, std::nullopt});
    if (!IsNew &&
        Context.Now < Entry->second.AskedAt + Times.StatusReadInterval)
      continue;
    Entry->second = {Context.Now, std::nullopt};
    PendingStatusReads.push_back({Name, Endpoint.Record.Address});
  }
}

std::vector<MemberProbe> Assembler::takeStatusReads() {
  return std::exchange(PendingStatusReads, {});
}

void Assembler::recordStatus(const EndpointName &Endpoint,
                             const std::optional<EngineStatus> &Status) {
  if (const auto Entry = Statuses.find(Endpoint); Entry != Statuses.end())
    Entry->second.Reported = Status;
}

std::optional<std::uint64_t>
Assembler::ordersWithoutSeat(const KnownEndpoint &Endpoint) const {
  const auto Entry = Statuses.find(Endpoint.Record.Name);
  if (Entry == Statuses.end() || !Entry->second.Reported ||
      Entry->second.Reported->Seated ||
      Entry->second.Reported->StartedAtMs != Endpoint.Record.StartedAtMs)
    return std::nullopt;
  return Entry->second.Reported->AcceptedOrders;
}

} // namespace coltsfoottrail
