// The part of the assembler that watches groups and repairs them.
#include "coltsfoottrail/assembly/assembler.hpp"

#include "coltsfoottrail/assembly/pass.hpp"

namespace coltsfoottrail {

using internal::DeathLife;

void Assembler::watch(Pass &In) {
  for (auto Each = Groups.begin(); Each != Groups.end();)
    Each =
        advanceGroup(In, Each->second) ? Groups.erase(Each) : std::next(Each);
}

std::optional<Assembler::Seating>
Assembler::seatOf(const KnownEndpoint &Of) const {
  const auto Ordered = Pending.find(Of.Record.Name);
  if (Ordered != Pending.end())
    return Seating{Ordered->second.Epoch, SeatPhase::Joining};
  if (!Of.Record.Seat)
    return std::nullopt;
  return Seating{Of.Record.Seat->Epoch, Of.Record.Seat->Phase};
}

bool Assembler::isDead(const KnownEndpoint &Of) const {
  const auto Found = Dead.find(Of.Record.Name);
  return Found != Dead.end() && Found->second.Born == Of.Record.StartedAtMs;
}

/// Whether a member is there, in the same life, and seated in this group.
bool Assembler::holds(const Pass &In, const Member &Of,
                      GroupEpoch Epoch) const {
  const KnownEndpoint *const Known = In.View.Endpoints.find(Of.Name);
  if (Known == nullptr || Known->Record.StartedAtMs != Of.Born ||
      isDead(*Known))
    return false;
  const std::optional<Seating> Seat = seatOf(*Known);
  return Seat && Seat->Epoch == Epoch;
}

// Failure guarded against: a third of the engines is cut off from the store,
// their records lapse together, and nearly every group has lost a member by the
// records, while all of them serve. A member whose record is missing is asked;
// while it answers, its group is left alone. Otherwise hardly anybody is served
// until all groups have been formed anew.
bool Assembler::present(const Pass &In, const Member &Of, GroupEpoch Epoch) {
  if (In.View.Endpoints.find(Of.Name) != nullptr) {
    Doubts.erase(Of.Name);
    return holds(In, Of, Epoch);
  }
  if (Of.Name.empty() || Of.Address.Port == 0)
    return false;
  const auto [Found, New] = Doubts.try_emplace(Of.Name, Doubt{In.Now});
  Doubt &Its = Found->second;
  const Duration Waited = In.Now - Its.AskedAt;
  if (New || (Its.Answered && Its.Alive && Waited >= Times.AskMissing)) {
    Its.AskedAt = In.Now;
    Its.Answered = false;
    Questions.push_back({Of.Name, Of.Address});
    return true;
  }
  return Its.Answered ? Its.Alive : Waited < Times.AnswerMissing;
}

std::vector<MemberProbe> Assembler::takeProbes() {
  return std::exchange(Questions, {});
}

void Assembler::recordProbeResult(const EndpointName &Which, bool Alive,
                                  TimePoint Now) {
  const auto Found = Doubts.find(Which);
  if (Found == Doubts.end())
    return;
  Found->second.AskedAt = Now;
  Found->second.Answered = true;
  Found->second.Alive = Alive;
}

bool Assembler::advanceGroup(Pass &In, Group &Of) {
  const Member &Leader = Of.Members.front();
  const KnownEndpoint *const Known = In.View.Endpoints.find(Leader.Name);
  if (Known == nullptr || isDead(*Known))
    return leaderGone(In, Of);
  const std::optional<Seating> Seat = seatOf(*Known);
  if (Known->Record.StartedAtMs != Leader.Born || !Seat ||
      Seat->Epoch != Of.Epoch) {
    retire(Of, "the leader has left the group");
    return true;
  }
  if (Seat->Phase == SeatPhase::Broken) {
    retire(Of, "the leader is broken");
    return true;
  }
  if (Seat->Phase == SeatPhase::Open) {
    Of.WasOpen = true;
    Of.OpenPending = false;
  }
  bool Lost = false;
  bool Leaving = false;
  const bool InService =
      Seat->Phase == SeatPhase::Open || Seat->Phase == SeatPhase::Closing;
  for (const Member &Each : Of.Members) {
    const bool Here =
        InService ? present(In, Each, Of.Epoch) : holds(In, Each, Of.Epoch);
    const KnownEndpoint *const Its = In.View.Endpoints.find(Each.Name);
    const bool Drains =
        Its != nullptr && Its->Record.State == EndpointState::Draining;
    if ((!Here || Drains) && !Of.LossNoted) {
      Of.LossNoted = true;
      note(GroupFate::Lost, Of, Each.Name,
           Drains ? "member drains" : "member lost");
    }
    Lost = Lost || !Here;
    Leaving = Leaving || Drains;
  }
  if (Lost || Leaving)
    return memberLost(In, Of, *Seat, Lost);
  if (allReady(In, Of)) {
    if (Of.Adopted && !Of.WasOpen)
      dismissLeader(In, Of);
    else
      open(In, Of);
    return false;
  }
  if (InService || Of.OpenOrdered)
    return false;
  // Members that became ready while the store was away have yet to say so.
  if (In.Now < Of.JoinBy || In.View.Endpoints.isSettling(In.Now)) {
    repeatJoins(In, Of);
    return false;
  }
  for (const Member &Each : Of.Members) {
    const KnownEndpoint *const Its = In.View.Endpoints.find(Each.Name);
    if (!Its->Record.Seat || Its->Record.Seat->Phase == SeatPhase::Joining)
      LockedUntil[Each.Name] = In.Now + Times.LeaveOut;
    Pending.erase(Each.Name);
  }
  retire(Of, "members were not ready in time");
  return true;
}

// Failure guarded against: a leader's record lapses because it is cut off from
// the store, while callers' hosts still reach it and it still serves. Its
// members would sit in two groups. Each of them leaves before it takes another
// seat: a leader that is alive stands still from then on and breaks, and
// nothing has to be known of it. A group that lost its leader is whole again in
// a tenth of the time that it takes a silent leader to break.
bool Assembler::leaderGone(Pass &In, Group &Of) {
  if (!Of.Adopted && !Of.OpenOrdered) {
    retire(Of, "the leader is gone before it was opened");
    return true;
  }
  if (!Of.LossNoted) {
    Of.LossNoted = true;
    note(GroupFate::Lost, Of, Of.Members.front().Name, "leader lost");
  }
  const bool Due =
      !Of.LeaveOrdered || In.Now >= *Of.LeaveOrdered + Times.OrderRetry;
  bool Held = false;
  for (const Member &Each : Of.Members) {
    if (!holds(In, Each, Of.Epoch) || Pending.contains(Each.Name))
      continue;
    Held = true;
    if (Due)
      leave(In, Of, Each.Name);
  }
  // Failure guarded against: a whole data centre is cut off from the store, its
  // records lapse, and its groups go on serving. While no member is known there
  // is nothing to give away; when they are back, so is the group, or its
  // members leave as above.
  if (Held || !Of.LeaveOrdered || seated(In, Of.Epoch))
    return false;
  note(GroupFate::Retired, Of, {}, "all members have left");
  return true;
}

/// Whether a record still shows a seat of a group.
bool Assembler::seated(const Pass &In, GroupEpoch Epoch) {
  const auto &All = In.View.Endpoints.all();
  return std::any_of(All.begin(), All.end(), [&](const auto &Entry) {
    const auto &Seat = Entry.second.Record.Seat;
    return Seat && Seat->Epoch == Epoch;
  });
}

/// A member is gone or leaves, the leader is there.
bool Assembler::memberLost(Pass &In, Group &Of, const Seating &Leader,
                           bool Evict) {
  switch (Leader.Phase) {
  case SeatPhase::Joining:
    for (const Member &Each : Of.Members)
      Pending.erase(Each.Name);
    retire(Of, "a member was lost before the group was ready");
    return true;
  case SeatPhase::Ready:
    if (!Of.OpenPending) {
      retire(Of, "closed after the loss of a member");
      return true;
    }
    // Failure guarded against: the leader is opening, or the order to open
    // arrives late, while its record still says that it is closed, and its
    // members would take seats in another group beside one that serves. Once
    // it has left, it opens no more.
    dismissLeader(In, Of);
    return false;
  case SeatPhase::Open:
  case SeatPhase::Closing:
    close(In, Of, Evict);
    return false;
  case SeatPhase::Broken:
    break;
  }
  return false;
}

bool Assembler::allReady(const Pass &In, const Group &Of) const {
  return std::all_of(
      Of.Members.begin(), Of.Members.end(), [&](const Member &Each) {
        const KnownEndpoint *const Its = In.View.Endpoints.find(Each.Name);
        return Its != nullptr && !Pending.contains(Each.Name) &&
               Its->Record.Seat && Its->Record.Seat->Epoch == Of.Epoch &&
               Its->Record.Seat->Phase == SeatPhase::Ready;
      });
}

void Assembler::open(Pass &In, Group &Of) {
  if (Of.OpenOrdered && In.Now < *Of.OpenOrdered + Times.OrderRetry)
    return;
  Of.OpenOrdered = In.Now;
  Of.OpenPending = true;
  const KnownEndpoint &Leader =
      *In.View.Endpoints.find(Of.Members.front().Name);
  In.order(Leader, OpenSeat{Of.Name, Of.Epoch});
}

void Assembler::close(Pass &In, Group &Of, bool Evict) {
  const bool Again =
      !Of.CloseOrdered || In.Now >= *Of.CloseOrdered + Times.OrderRetry;
  if (!Again && (Of.CloseEvicts || !Evict))
    return;
  Of.CloseOrdered = In.Now;
  Of.CloseEvicts = Evict;
  const KnownEndpoint &Leader =
      *In.View.Endpoints.find(Of.Members.front().Name);
  In.order(Leader, CloseSeat{Of.Name, Of.Epoch, Evict});
}

void Assembler::leave(Pass &In, Group &Of, const EndpointName &Who) {
  In.order(*In.View.Endpoints.find(Who), LeaveSeat{Of.Name, Of.Epoch});
  Of.LeaveOrdered = In.Now;
}

void Assembler::dismissLeader(Pass &In, Group &Of) {
  if (!Of.LeaveOrdered || In.Now >= *Of.LeaveOrdered + Times.OrderRetry)
    leave(In, Of, Of.Members.front().Name);
}

/// Gives joins again that were not answered; the epoch makes them idempotent.
void Assembler::repeatJoins(Pass &In, const Group &Of) {
  std::vector<EndpointName> Names;
  for (const Member &Each : Of.Members)
    Names.push_back(Each.Name);
  for (const Member &Each : Of.Members) {
    const auto Ordered = Pending.find(Each.Name);
    if (Ordered == Pending.end() || Ordered->second.Answered ||
        In.Now < Ordered->second.OrderedAt + Times.OrderRetry)
      continue;
    Ordered->second.OrderedAt = In.Now;
    In.order(*In.View.Endpoints.find(Each.Name),
             JoinSeat{Of.Name, Of.Epoch, Of.Model, Names});
  }
}

void Assembler::retire(const Group &Of, std::string_view Why) {
  Retired.insert(Of.Epoch);
  note(GroupFate::Retired, Of, {}, Why);
}

} // namespace coltsfoottrail
