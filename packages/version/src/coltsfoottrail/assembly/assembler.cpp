#include "coltsfoottrail/assembly/assembler.hpp"

#include "coltsfoottrail/assembly/groupname.hpp"
#include "coltsfoottrail/assembly/pass.hpp"
#include "coltsfoottrail/core/overloaded.hpp"

#include <utility>

namespace coltsfoottrail {

using internal::contains;
using internal::DeathLife;

namespace {

/// Whether an endpoint has a seat: then a predecessor may have orders under
/// way.
bool anySeat(const AssemblyView &View) {
  const auto &All = View.Endpoints.all();
  return std::any_of(All.begin(), All.end(), [](const auto &Entry) {
    const auto &Seat = Entry.second.Record.Seat;
    return Seat && !isStandby(*Seat);
  });
}

} // namespace

void Assembler::begin(TimePoint Now) {
  Groups.clear();
  Retired.clear();
  Pending.clear();
  LockedUntil.clear();
  Staging.clear();
  Doubts.clear();
  Questions.clear();
  ActFrom = Now + Times.TakeOverPause;
  BeganAt = Now;
  FleetSize = 0;
}

bool Assembler::fleetSettled(const AssemblyView &View, TimePoint Now) {
  const std::size_t Size = View.Endpoints.all().size();
  if (Size > FleetSize)
    GrewAt = Now;
  FleetSize = Size;
  return View.TrafficStarted || Now - BeganAt >= Times.LongestSettle ||
         (Size > 0 && Now - GrewAt >= Times.FleetSettle);
}

std::vector<SeatCommand> Assembler::plan(const AssemblyView &View,
                                         TimePoint Now) {
  if (!View.Service.Engine || (Now < ActFrom && anySeat(View)))
    return {};
  Pass In{View, *View.Service.Engine, Now, {}};
  Pacer.bound(In.Engine.LoadsPerSecond, In.Engine.MaxConcurrentLoads);
  Pacer.advance(View.Endpoints, Now);
  settle(In);
  adopt(In);
  watch(In);
  if (fleetSettled(View, Now))
    form(In);
  return std::move(In.Out);
}

/// Drops what the records have caught up with.
void Assembler::settle(const Pass &In) {
  std::erase_if(Pending, [&](const auto &Entry) {
    const KnownEndpoint *const Known = In.View.Endpoints.find(Entry.first);
    if (Known == nullptr || Known->Record.StartedAtMs != Entry.second.Born)
      return true;
    const auto &Seat = Known->Record.Seat;
    return Seat && Seat->Epoch >= Entry.second.Epoch;
  });
  const auto Over = [&](const auto &Entry) { return Entry.second <= In.Now; };
  std::erase_if(LockedUntil, Over);
  std::erase_if(Doubts, [&](const auto &Entry) {
    return In.Now - Entry.second.AskedAt >= DeathLife;
  });
  std::erase_if(
      Dead, [&](const auto &Entry) { return Entry.second.Until <= In.Now; });
  for (const auto &[Name, Known] : In.View.Endpoints.all()) {
    if (!Pacer.loads(Name) || Pending.contains(Name))
      continue;
    const auto &Seat = Known.Record.Seat;
    const auto Told = Staging.find(Name);
    const bool Done = Told != Staging.end()
                          ? contains(Known.Record.Staged, Told->second)
                          : !Seat || Seat->Phase != SeatPhase::Joining;
    if (Done)
      Pacer.end(Name);
  }
}

/// Takes over groups that the records show and this term did not form.
void Assembler::adopt(const Pass &In) {
  std::map<GroupEpoch, Group> Found;
  for (const auto &[Name, Known] : In.View.Endpoints.all()) {
    const EndpointRecord &Record = Known.Record;
    if (Record.Service != In.View.Service.Name || !Record.Seat ||
        isStandby(*Record.Seat))
      continue;
    const GroupSeat &Seat = *Record.Seat;
    if (Groups.contains(Seat.Epoch) || Retired.contains(Seat.Epoch))
      continue;
    Group &Of = Found[Seat.Epoch];
    Of.Name = Seat.Group;
    Of.Epoch = Seat.Epoch;
    if (Of.Members.size() <= Seat.Rank)
      Of.Members.resize(Seat.Rank + 1);
    Of.Members[Seat.Rank] = {Name, Record.StartedAtMs, Record.Address};
    if (const auto Named = parseGroupName(Seat.Group)) {
      Of.Model = Named->Model;
      Of.Members.front().Name = Named->Leader;
      Of.Members.front().Born = Named->LeaderBorn;
    }
  }
  for (auto &[Epoch, Of] : Found) {
    if (const ServedModel *const Model = In.model(Of.Model);
        Model != nullptr && Of.Members.size() < Model->Size)
      Of.Members.resize(Model->Size);
    Of.JoinBy = In.Now + Times.JoinSlack;
    for (const ServedModel &Each : In.Engine.Models)
      Of.JoinBy = std::max(Of.JoinBy, In.Now + In.loadTime(Each));
    Of.OpenPending = true;
    Of.Adopted = true;
    note(GroupFate::Adopted, Of, {}, "from the records");
    Groups.emplace(Epoch, std::move(Of));
  }
}

void Assembler::recordOutcome(const EndpointName &To, const SeatOrder &Order,
                              OrderOutcome Outcome, TimePoint Now) {
  std::visit(Overloaded{
                 [&](const JoinSeat &Join) {
                   const auto Ordered = Pending.find(To);
                   if (Ordered == Pending.end() ||
                       Ordered->second.Epoch != Join.Epoch)
                     return;
                   if (Outcome == OrderOutcome::Taken) {
                     Ordered->second.Answered = true;
                     return;
                   }
                   if (Outcome == OrderOutcome::Unknown)
                     return;
                   Pacer.end(To);
                   if (Outcome == OrderOutcome::NotSent)
                     return;
                   Pending.erase(Ordered);
                   LockedUntil[To] = Now + Times.LeaveOut;
                 },
                 [&](const OpenSeat &) {},
                 [&](const CloseSeat &) {},
                 [&](const LeaveSeat &) {},
                 [&](const StageModel &) {
                   // Unfit: it loads already, for an order of a predecessor.
                   if (Outcome == OrderOutcome::NotSent ||
                       Outcome == OrderOutcome::WrongEndpoint)
                     Pacer.end(To);
                 },
             },
             Order);
}

void Assembler::declareDead(const KnownEndpoint &Which, TimePoint Now) {
  Dead[Which.Record.Name] = {Which.Record.StartedAtMs, Now + DeathLife};
}

std::vector<EndpointName>
Assembler::membersLedBy(const EndpointName &Leader) const {
  std::vector<EndpointName> Out;
  for (const auto &[Epoch, Of] : Groups) {
    if (Of.Members.front().Name != Leader)
      continue;
    for (const Member &Each : Of.Members)
      Out.push_back(Each.Name);
  }
  return Out;
}

std::vector<DomainSummary> Assembler::summary(const AssemblyView &View,
                                              TimePoint Now) const {
  const Pass In{View, *View.Service.Engine, Now, {}};
  std::map<DomainKey, DomainSummary> Out;
  std::map<GroupEpoch, SeatPhase> Phases;
  for (const auto &[Name, Known] : View.Endpoints.all())
    if (Known.Record.Seat && Known.Record.Seat->Rank == 0)
      Phases[Known.Record.Seat->Epoch] = Known.Record.Seat->Phase;
  for (const auto &[Name, Known] : View.Endpoints.all()) {
    const EndpointRecord &Record = Known.Record;
    if (Record.Service != View.Service.Name)
      continue;
    DomainSummary &Its = Out[{Record.DataCentre, Record.Domain}];
    Its.DataCentre = Record.DataCentre;
    Its.Domain = Record.Domain;
    if (Pacer.loads(Name))
      ++Its.Loading;
    else if (isFree(In, Known)) {
      ++Its.Free;
      for (const ModelName &Model : Record.Staged)
        ++Its.FreeByModel[Model];
    } else if (LockedUntil.contains(Name) || isDead(Known))
      ++Its.Locked;
    else if (Record.Seat) {
      const auto Phase = Phases.find(Record.Seat->Epoch);
      const bool Open =
          Phase != Phases.end() && Phase->second == SeatPhase::Open;
      ++(Open ? Its.Open : Its.OtherSeats);
    }
  }
  std::vector<DomainSummary> List;
  for (auto &[Domain, Its] : Out)
    List.push_back(std::move(Its));
  return List;
}

std::vector<GroupEvent> Assembler::takeEvents() {
  return std::exchange(Notes, {});
}

void Assembler::note(GroupFate Fate, const Group &Of, const EndpointName &Cause,
                     std::string_view Why) {
  Notes.push_back({Fate, Of.Name, Of.Epoch, Of.Model, Cause, Why});
}

} // namespace coltsfoottrail
