// Assembler: monitors groups and repairs them.
#include "coltsfoottrail/assembly/assembler.hpp"

#include "coltsfoottrail/assembly/pass.hpp"

namespace coltsfoottrail {

using internal::DeadMarkLifetime;

void Assembler::advanceGroups(PlanContext &Context) {
  for (auto Entry = Groups.begin(); Entry != Groups.end();)
    Entry = advanceGroup(Context, Entry->second) ? Groups.erase(Entry)
                                                 : std::next(Entry);
}

std::optional<Assembler::SeatState>
Assembler::seatOf(const KnownEndpoint &Endpoint) const {
  const auto Join = Pending.find(Endpoint.Record.Name);
  if (Join != Pending.end())
    return SeatState{Join->second.Epoch, SeatPhase::Joining};
  if (!Endpoint.Record.Seat)
    return std::nullopt;
  return SeatState{Endpoint.Record.Seat->Epoch, Endpoint.Record.Seat->Phase};
}

bool Assembler::isDead(const KnownEndpoint &Endpoint) const {
  const auto Mark = DeadEndpoints.find(Endpoint.Record.Name);
  return Mark != DeadEndpoints.end() &&
         Mark->second.StartedAtMs == Endpoint.Record.StartedAtMs;
}

/// Whether a member is present, has not restarted, and is seated in this group.
bool Assembler::holdsSeat(const PlanContext &Context, const GroupMember &Member,
                          GroupEpoch Epoch) const {
  const KnownEndpoint *const Endpoint =
      Context.View.Endpoints.find(Member.Name);
  if (Endpoint == nullptr ||
      Endpoint->Record.StartedAtMs != Member.StartedAtMs || isDead(*Endpoint))
    return false;
  const std::optional<SeatState> Seat = seatOf(*Endpoint);
  return Seat && Seat->Epoch == Epoch;
}

// Failure guarded against: a third of the engines is cut off from the store,
// their records lapse together, and by the records nearly every group has lost
// a member, while all of them still serve. If the groups were taken apart,
// hardly any request would be served until all of them had been formed anew. So
// a member whose record is missing is probed, and while it answers, its group
// is left alone.
bool Assembler::isPresent(const PlanContext &Context, const GroupMember &Member,
                          GroupEpoch Epoch) {
  if (Context.View.Endpoints.find(Member.Name) != nullptr) {
    ProbeStates.erase(Member.Name);
    return holdsSeat(Context, Member, Epoch);
  }
  // Members of an adopted group that have not published themselves since an
  // outage of the store are not known yet.
  if (Member.Name.empty() || Member.Address.Port == 0)
    return Context.View.Endpoints.isSettling(Context.Now);
  const auto [Entry, IsNew] =
      ProbeStates.try_emplace(Member.Name, ProbeState{Context.Now});
  ProbeState &Probe = Entry->second;
  const Duration Elapsed = Context.Now - Probe.UpdatedAt;
  if (IsNew ||
      (Probe.Answered && Probe.Alive && Elapsed >= Times.ProbeInterval)) {
    Probe.UpdatedAt = Context.Now;
    Probe.Answered = false;
    PendingProbes.push_back({Member.Name, Member.Address});
    return true;
  }
  return Probe.Answered ? Probe.Alive : Elapsed < Times.ProbeTimeout;
}

std::vector<MemberProbe> Assembler::takeProbes() {
  return std::exchange(PendingProbes, {});
}

void Assembler::recordProbeResult(const EndpointName &Endpoint, bool Alive,
                                  TimePoint Now) {
  const auto Probe = ProbeStates.find(Endpoint);
  if (Probe == ProbeStates.end())
    return;
  Probe->second.UpdatedAt = Now;
  Probe->second.Answered = true;
  Probe->second.Alive = Alive;
}

std::optional<Assembler::SeatState>
Assembler::leaderSeat(const GroupState &Group,
                      const KnownEndpoint &Leader) const {
  const auto &Recorded = Leader.Record.Seat;
  if (Recorded && Recorded->Epoch == Group.Epoch)
    return SeatState{Recorded->Epoch, Recorded->Phase};
  return seatOf(Leader);
}

bool Assembler::advanceGroup(PlanContext &Context, GroupState &Group) {
  const GroupMember &Leader = Group.Members.front();
  const KnownEndpoint *const LeaderEndpoint =
      Context.View.Endpoints.find(Leader.Name);
  if (LeaderEndpoint == nullptr || isDead(*LeaderEndpoint))
    return handleLeaderLoss(Context, Group);
  const std::optional<SeatState> Seat = leaderSeat(Group, *LeaderEndpoint);
  const bool InService =
      Seat && Seat->Epoch == Group.Epoch && isInService(Seat->Phase);
  // Failure guarded against: a leader has not published itself again after an
  // outage of the store, and its last record is from before the group was
  // opened or even formed. Its members would be taken from a group that serves.
  if (!InService &&
      Context.View.Endpoints.mayBeStale(*LeaderEndpoint, Context.Now))
    return false;
  if (LeaderEndpoint->Record.StartedAtMs != Leader.StartedAtMs || !Seat ||
      Seat->Epoch != Group.Epoch)
    return endGroup(Context, Group, "the leader has left the group");
  if (Seat->Phase == SeatPhase::Broken)
    return endGroup(Context, Group, "the leader is broken");
  if (Seat->Phase == SeatPhase::Open) {
    Group.WasOpen = true;
    Group.OpenPending = false;
  }
  bool AnyLost = false;
  bool AnyDraining = false;
  for (const GroupMember &Member : Group.Members) {
    const bool IsPresent = InService ? isPresent(Context, Member, Group.Epoch)
                                     : holdsSeat(Context, Member, Group.Epoch);
    const KnownEndpoint *const Endpoint =
        Context.View.Endpoints.find(Member.Name);
    const bool IsDraining = Endpoint != nullptr &&
                            Endpoint->Record.State == EndpointState::Draining;
    if ((!IsPresent || IsDraining) && !Group.LossReported) {
      Group.LossReported = true;
      addEvent(Context, GroupFate::Lost, Group, Member.Name,
               IsDraining ? "member drains" : "member lost");
    }
    AnyLost = AnyLost || !IsPresent;
    AnyDraining = AnyDraining || IsDraining;
  }
  if (AnyLost || AnyDraining)
    return handleMemberLoss(Context, Group, *Seat, AnyLost);
  if (Group.Converts)
    return closeForConversion(Context, Group, *Seat);
  if (isEveryMemberReady(Context, Group)) {
    // An order to leave that is still to be carried out would end the group.
    if (Group.LeaveOrdered || (Group.Adopted && !Group.WasOpen))
      dismissLeader(Context, Group);
    else
      orderOpen(Context, Group);
    return false;
  }
  if (InService || Group.OpenOrdered)
    return false;
  // Members that became ready while the store was away have yet to publish
  // that.
  if (Context.Now < Group.JoinBy ||
      Context.View.Endpoints.isSettling(Context.Now)) {
    reorderJoins(Context, Group);
    return false;
  }
  if (!endGroup(Context, Group, "members were not ready in time"))
    return false;
  excludeUnready(Context, Group);
  return true;
}

void Assembler::excludeUnready(const PlanContext &Context,
                               const GroupState &Group) {
  for (const GroupMember &Member : Group.Members) {
    const KnownEndpoint *const Endpoint =
        Context.View.Endpoints.find(Member.Name);
    if (!Endpoint->Record.Seat ||
        Endpoint->Record.Seat->Phase == SeatPhase::Joining)
      LockedUntil[Member.Name] = Context.Now + Times.ExclusionTime;
    Pending.erase(Member.Name);
  }
}

// Failure guarded against: a leader's record lapses because it is cut off from
// the store, while entry hosts still reach it and it still serves. If its
// members were reassigned, they would sit in two groups. So each of them leaves
// the group before it takes another seat: a leader that is alive stalls from
// then on and breaks, and its own state need not be known. A group that lost
// its leader is complete again in a tenth of the time that it takes an
// unreachable leader to break.
bool Assembler::handleLeaderLoss(PlanContext &Context, GroupState &Group) {
  if (!Group.Adopted && !Group.OpenOrdered) {
    retire(Context, Group, "the leader is gone before it was opened");
    return true;
  }
  if (!Group.LossReported) {
    Group.LossReported = true;
    addEvent(Context, GroupFate::Lost, Group, Group.Members.front().Name,
             "leader lost");
  }
  const bool Due = !Group.LeaveOrdered ||
                   Context.Now >= *Group.LeaveOrdered + Times.OrderRetry;
  bool AnyHeld = false;
  for (const GroupMember &Member : Group.Members) {
    if (!holdsSeat(Context, Member, Group.Epoch) ||
        Pending.contains(Member.Name))
      continue;
    AnyHeld = true;
    if (Due)
      orderLeave(Context, Group, Member.Name);
  }
  // Failure guarded against: a whole data centre is cut off from the store, its
  // records lapse, and its groups go on serving. While no member is known,
  // there is nothing to reassign. When the records are back, so is the group,
  // or its members leave as above.
  if (AnyHeld || !Group.LeaveOrdered || isAnySeated(Context, Group.Epoch))
    return false;
  addEvent(Context, GroupFate::Retired, Group, {}, "all members have left");
  return true;
}

/// Whether any record still shows a seat of a group.
bool Assembler::isAnySeated(const PlanContext &Context, GroupEpoch Epoch) {
  const auto &Endpoints = Context.View.Endpoints.all();
  return std::any_of(Endpoints.begin(), Endpoints.end(),
                     [&](const auto &Entry) {
                       const auto &Seat = Entry.second.Record.Seat;
                       return Seat && Seat->Epoch == Epoch;
                     });
}

/// Handles a member that is gone or leaving while the leader is present.
bool Assembler::handleMemberLoss(PlanContext &Context, GroupState &Group,
                                 const SeatState &Leader, bool Evict) {
  switch (Leader.Phase) {
  case SeatPhase::Joining:
    if (!endGroup(Context, Group,
                  "a member was lost before the group was ready"))
      return false;
    for (const GroupMember &Member : Group.Members)
      Pending.erase(Member.Name);
    return true;
  case SeatPhase::Ready:
    return endGroup(Context, Group, "closed after the loss of a member");
  case SeatPhase::Open:
  case SeatPhase::Closing:
    orderClose(Context, Group, Evict);
    return false;
  case SeatPhase::Broken:
    break;
  }
  return false;
}

// A record from before an outage of the store does not show that a member has
// not restarted since.
bool Assembler::isEveryMemberReady(const PlanContext &Context,
                                   const GroupState &Group) const {
  return std::all_of(
      Group.Members.begin(), Group.Members.end(),
      [&](const GroupMember &Member) {
        const KnownEndpoint *const Endpoint =
            Context.View.Endpoints.find(Member.Name);
        return Endpoint != nullptr &&
               !Context.View.Endpoints.mayBeStale(*Endpoint, Context.Now) &&
               !Pending.contains(Member.Name) && Endpoint->Record.Seat &&
               Endpoint->Record.Seat->Epoch == Group.Epoch &&
               Endpoint->Record.Seat->Phase == SeatPhase::Ready;
      });
}

bool Assembler::mayBeOpened(const PlanContext &Context,
                            const GroupState &Group) {
  const KnownEndpoint *const Leader =
      Context.View.Endpoints.find(Group.Members.front().Name);
  const TimePoint AsOf =
      Leader != nullptr ? Leader->LastWrittenAt : Context.Now;
  return Group.OpensInFlight > 0 || AsOf < Group.OpenMayArriveUntil;
}

void Assembler::orderOpen(PlanContext &Context, GroupState &Group) {
  if (Group.OpenOrdered && Context.Now < *Group.OpenOrdered + Times.OrderRetry)
    return;
  Group.OpenOrdered = Context.Now;
  Group.OpenPending = true;
  ++Group.OpensInFlight;
  for (const GroupMember &Member : Group.Members)
    Joins.groupOpened(Member.Name, Group.Epoch);
  const KnownEndpoint &Leader =
      *Context.View.Endpoints.find(Group.Members.front().Name);
  Context.order(Leader, OpenSeat{Group.Name, Group.Epoch});
}

void Assembler::orderClose(PlanContext &Context, GroupState &Group,
                           bool Evict) {
  const bool IsDue = !Group.CloseOrdered ||
                     Context.Now >= *Group.CloseOrdered + Times.OrderRetry;
  if (!IsDue && (Group.CloseEvicts || !Evict))
    return;
  Group.CloseOrdered = Context.Now;
  Group.CloseEvicts = Evict;
  const KnownEndpoint &Leader =
      *Context.View.Endpoints.find(Group.Members.front().Name);
  Context.order(Leader, CloseSeat{Group.Name, Group.Epoch, Evict});
}

void Assembler::orderLeave(PlanContext &Context, GroupState &Group,
                           const EndpointName &Name) {
  const KnownEndpoint &Endpoint = *Context.View.Endpoints.find(Name);
  Context.order(Endpoint, LeaveSeat{Group.Name, Group.Epoch});
  Group.LeaveOrdered = Context.Now;
}

bool Assembler::mayServe(const PlanContext &Context,
                         const GroupState &Group) const {
  const GroupMember &Member = Group.Members.front();
  const KnownEndpoint *const Leader = Context.View.Endpoints.find(Member.Name);
  if (Leader == nullptr)
    return false;
  const auto &Seat = Leader->Record.Seat;
  const bool IsSeated = Seat && Seat->Epoch == Group.Epoch;
  if (IsSeated && isInService(Seat->Phase))
    return true;
  // A group is opened only once its leader has shown its seat there, and an
  // engine refuses joins with an epoch below that of its seat.
  if (Leader->Record.StartedAtMs != Member.StartedAtMs || (Seat && !IsSeated))
    return false;
  if (IsSeated && Seat->Phase == SeatPhase::Ready)
    return Group.OpenPending || mayBeOpened(Context, Group);
  if (!mayBeOpened(Context, Group))
    return false;
  return (IsSeated && Seat->Phase == SeatPhase::Joining) ||
         Joins.mayArrive(Leader->Record, Group.Epoch, Leader->LastWrittenAt);
}

// Failure guarded against: the members of a group take other seats, and an
// order that is carried out late, of this coordinator or a predecessor, makes
// the leader serve. Whatever ends the group, and whatever the leader's record
// shows, the leader leaves it first, after which an order to open it is
// refused. A late copy of its join would seat it again, so that it then takes a
// seat of its own, whose epoch is higher.
bool Assembler::endGroup(PlanContext &Context, GroupState &Group,
                         std::string_view Reason) {
  if (mayServe(Context, Group)) {
    dismissLeader(Context, Group);
    return false;
  }
  retire(Context, Group, Reason);
  return true;
}

void Assembler::dismissLeader(PlanContext &Context, GroupState &Group) {
  const KnownEndpoint &Leader =
      *Context.View.Endpoints.find(Group.Members.front().Name);
  const auto &Seat = Leader.Record.Seat;
  const EndpointName &Name = Leader.Record.Name;
  if (Seat && Seat->Epoch == Group.Epoch) {
    if (!Group.LeaveOrdered ||
        Context.Now >= *Group.LeaveOrdered + Times.OrderRetry)
      orderLeave(Context, Group, Name);
    return;
  }
  if (!Pending.contains(Name) && !LockedUntil.contains(Name) &&
      isJoinSafe(Leader))
    orderStandby(Context, Leader, Group.Model);
}

/// Repeats joins that were not answered; the epoch makes them idempotent.
void Assembler::reorderJoins(PlanContext &Context, const GroupState &Group) {
  std::vector<EndpointName> Names;
  for (const GroupMember &Member : Group.Members)
    Names.push_back(Member.Name);
  for (const GroupMember &Member : Group.Members) {
    const auto Join = Pending.find(Member.Name);
    if (Join == Pending.end() || Join->second.Answered ||
        Context.Now < Join->second.OrderedAt + Times.OrderRetry)
      continue;
    Join->second.OrderedAt = Context.Now;
    orderJoin(Context, *Context.View.Endpoints.find(Member.Name),
              {Group.Name, Group.Epoch, Group.Model, Names,
               Join->second.ExpectedOrders});
  }
}

void Assembler::retire(const PlanContext &Context, const GroupState &Group,
                       std::string_view Reason) {
  Retired.insert(Group.Epoch);
  addEvent(Context, GroupFate::Retired, Group, {}, Reason);
}

} // namespace coltsfoottrail
