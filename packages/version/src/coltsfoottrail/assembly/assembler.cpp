#include "coltsfoottrail/assembly/assembler.hpp"

#include "coltsfoottrail/assembly/groupname.hpp"
#include "coltsfoottrail/assembly/pass.hpp"
#include "coltsfoottrail/core/overloaded.hpp"

#include <utility>

namespace coltsfoottrail {

using internal::contains;
using internal::DeadMarkLifetime;

namespace {

/// Whether any endpoint shows the effect of an order.
bool anyOrdered(const EndpointCatalogue &Catalogue) {
  const auto &Endpoints = Catalogue.all();
  return std::any_of(Endpoints.begin(), Endpoints.end(), [](const auto &Entry) {
    return Entry.second.Record.Seat || !Entry.second.Record.Staged.empty();
  });
}

/// Whether any endpoint has a seat: then orders of a previous coordinator may
/// be in progress.
bool anySeat(const AssemblyView &View) {
  const auto &Endpoints = View.Endpoints.all();
  return std::any_of(Endpoints.begin(), Endpoints.end(), [](const auto &Entry) {
    const auto &Seat = Entry.second.Record.Seat;
    return Seat && !isStandby(*Seat);
  });
}

/// When the oldest of all records was received.
TimePoint oldestRecord(const EndpointCatalogue &Catalogue, TimePoint Now) {
  TimePoint Oldest = Now;
  for (const auto &[Name, Endpoint] : Catalogue.all())
    Oldest = std::min(Oldest, Endpoint.LastWrittenAt);
  return Oldest;
}

} // namespace

void Assembler::begin(TimePoint Now) {
  Groups.clear();
  Retired.clear();
  Pending.clear();
  LockedUntil.clear();
  Staging.clear();
  StagingAhead.clear();
  Conversions.clear();
  ConversionsEndedAt.clear();
  KeptSince.clear();
  Obstacles.clear();
  ProbeStates.clear();
  PendingProbes.clear();
  Statuses.clear();
  PendingStatusReads.clear();
  Joins.forgetOutcomes(Now);
  FollowsPredecessor.reset();
  PlanFrom = Now + Times.TakeOverPause;
  TermStartedAt = Now;
  FleetSize = 0;
}

bool Assembler::isFleetSettled(const AssemblyView &View, TimePoint Now) {
  const std::size_t Size = View.Endpoints.all().size();
  if (Size > FleetSize)
    LastGrowthAt = Now;
  FleetSize = Size;
  return View.TrafficStarted || Now - TermStartedAt >= Times.MaxSettleTime ||
         (Size > 0 && Now - LastGrowthAt >= Times.SettleTime);
}

std::vector<SeatCommand> Assembler::plan(const AssemblyView &View,
                                         TimePoint Now) {
  if (!View.Service.Engine || (Now < PlanFrom && anySeat(View)))
    return {};
  if (!FollowsPredecessor && !View.Endpoints.all().empty())
    FollowsPredecessor = anyOrdered(View.Endpoints);
  PlanContext Context{View, *View.Service.Engine, Now, {}};
  Pacer.setLimits(Context.Engine.LoadsPerSecond,
                  Context.Engine.MaxConcurrentLoads);
  Pacer.advance(View.Endpoints, Now);
  dropCompleted(Context);
  adoptGroups(Context);
  readStatuses(Context);
  advanceGroups(Context);
  advanceConversions(Context);
  if (isFleetSettled(View, Now))
    formGroups(Context);
  return std::move(Context.Commands);
}

/// Drops pending orders whose effect shows in the records, and state that has
/// expired.
void Assembler::dropCompleted(const PlanContext &Context) {
  std::erase_if(Pending, [&](const auto &Entry) {
    const KnownEndpoint *const Endpoint =
        Context.View.Endpoints.find(Entry.first);
    if (Endpoint == nullptr ||
        Endpoint->Record.StartedAtMs != Entry.second.StartedAtMs)
      return true;
    const auto &Seat = Endpoint->Record.Seat;
    if (Seat && Seat->Epoch >= Entry.second.Epoch)
      return true;
    // Failure guarded against: a late join seats a leader in its group again,
    // and a join that the engine refuses from then on stands for its seat, so
    // that a group that is whole counts as lost. The engine had no seat when it
    // stated its number of orders.
    if (Seat && Entry.second.ExpectedOrders && !Entry.second.Answered)
      return true;
    // Failure guarded against: a join that nobody repeats, of a spare or of a
    // group that was given up, is lost, and its engine is never used again. The
    // next join has a higher epoch, so a late copy of this one is refused.
    return !Groups.contains(Entry.second.Epoch) &&
           Context.Now >= Entry.second.OrderedAt + Times.JoinSlack;
  });
  const auto IsExpired = [&](const auto &Entry) {
    return Entry.second <= Context.Now;
  };
  std::erase_if(LockedUntil, IsExpired);
  Joins.expire(oldestRecord(Context.View.Endpoints, Context.Now));
  std::erase_if(ProbeStates, [&](const auto &Entry) {
    return Context.Now - Entry.second.UpdatedAt >= DeadMarkLifetime;
  });
  std::erase_if(DeadEndpoints, [&](const auto &Entry) {
    return Entry.second.Until <= Context.Now;
  });
  for (const auto &[Name, Endpoint] : Context.View.Endpoints.all()) {
    if (!Pacer.isLoading(Name) || Pending.contains(Name))
      continue;
    const auto &Seat = Endpoint.Record.Seat;
    const auto StagingOrder = Staging.find(Name);
    const bool IsDone =
        StagingOrder != Staging.end()
            ? contains(Endpoint.Record.Staged, StagingOrder->second)
            : !Seat || Seat->Phase != SeatPhase::Joining;
    if (IsDone)
      Pacer.finish(Name);
  }
}

// Failure guarded against: a group was given up, an order that this coordinator
// does not know of makes its leader serve, and its engines are taken for free.
// What the leader reports goes before what was concluded earlier.
void Assembler::restoreGroups(const PlanContext &Context) {
  for (const auto &[Name, Endpoint] : Context.View.Endpoints.all()) {
    const auto &Seat = Endpoint.Record.Seat;
    if (Endpoint.Record.Service == Context.View.Service.Name && Seat &&
        Seat->Rank == 0 && isInService(Seat->Phase))
      Retired.erase(Seat->Epoch);
  }
}

// Failure guarded against: a record names a rank that no group has, as that of
// another writer may, and the coordinator allocates members up to it. Without a
// model that tells the size of the group, it has no more members than there are
// engines.
std::size_t Assembler::maxMembers(const PlanContext &Context,
                                  const ModelName &Model) {
  const ServedModel *const Served = Context.model(Model);
  return Served != nullptr ? Served->Size : Context.View.Endpoints.all().size();
}

/// Takes over groups that the records show and that this term did not form, and
/// members of such groups whose records appear later.
void Assembler::adoptGroups(const PlanContext &Context) {
  restoreGroups(Context);
  std::map<GroupEpoch, GroupState> NewGroups;
  for (const auto &[Name, Endpoint] : Context.View.Endpoints.all()) {
    const EndpointRecord &Record = Endpoint.Record;
    if (Record.Service != Context.View.Service.Name || !Record.Seat ||
        isStandby(*Record.Seat))
      continue;
    const GroupSeat &Seat = *Record.Seat;
    const GroupMember Member{Name, Record.StartedAtMs, Record.Address};
    if (const auto Known = Groups.find(Seat.Epoch); Known != Groups.end()) {
      std::vector<GroupMember> &Members = Known->second.Members;
      if (Seat.Rank < Members.size() && Members[Seat.Rank].Name.empty())
        Members[Seat.Rank] = Member;
      continue;
    }
    // A group with another kind of name was not formed by any coordinator.
    const std::optional<GroupNameParts> NameParts = parseGroupName(Seat.Group);
    if (Retired.contains(Seat.Epoch) || !NameParts ||
        Seat.Rank >= maxMembers(Context, NameParts->Model))
      continue;
    GroupState &Group = NewGroups[Seat.Epoch];
    Group.Name = Seat.Group;
    Group.Epoch = Seat.Epoch;
    Group.Model = NameParts->Model;
    if (Group.Members.size() <= Seat.Rank)
      Group.Members.resize(std::size_t{Seat.Rank} + 1);
    Group.Members[Seat.Rank] = Member;
    Group.Members.front().Name = NameParts->Leader;
    Group.Members.front().StartedAtMs = NameParts->LeaderStartedAtMs;
  }
  for (auto &[Epoch, Group] : NewGroups) {
    if (const ServedModel *const Model = Context.model(Group.Model);
        Model != nullptr && Group.Members.size() < Model->Size)
      Group.Members.resize(Model->Size);
    Group.JoinBy = Context.Now + Times.JoinSlack;
    for (const ServedModel &Served : Context.Engine.Models)
      Group.JoinBy =
          std::max(Group.JoinBy, Context.Now + Context.loadTime(Served));
    Group.OpenPending = true;
    Group.OpenMayArriveUntil = Context.Now + Times.latestEffect();
    Group.Adopted = true;
    for (const GroupMember &Member : Group.Members)
      if (!Member.Name.empty())
        Joins.assume(Member.Name, Member.StartedAtMs, Epoch,
                     TermStartedAt + Times.latestEffect());
    addEvent(Context, GroupFate::Adopted, Group, {}, "from the records");
    Groups.emplace(Epoch, std::move(Group));
  }
}

void Assembler::recordOutcome(const EndpointName &Endpoint,
                              const SeatOrder &Order, OrderOutcome Outcome,
                              TimePoint Now) {
  std::visit(Overloaded{
                 [&](const JoinSeat &Join) {
                   recordJoin(Endpoint, Join.Epoch, Outcome, Now);
                 },
                 [&](const OpenSeat &Open) {
                   recordOpen(Endpoint, Open.Epoch, Outcome, Now);
                 },
                 [&](const CloseSeat &) {},
                 [&](const LeaveSeat &) {},
                 [&](const StageModel &) {
                   // Unfit means that it is loading already, on an order of a
                   // previous coordinator.
                   if (Outcome == OrderOutcome::NotSent ||
                       Outcome == OrderOutcome::WrongEndpoint)
                     Pacer.finish(Endpoint);
                 },
             },
             Order);
}

void Assembler::recordJoin(const EndpointName &Endpoint, GroupEpoch Epoch,
                           OrderOutcome Outcome, TimePoint Now) {
  Joins.ended(Endpoint, Epoch, Outcome, Now);
  const auto Entry = Pending.find(Endpoint);
  if (Entry == Pending.end() || Entry->second.Epoch != Epoch)
    return;
  if (Outcome == OrderOutcome::Taken) {
    Entry->second.Answered = true;
    return;
  }
  if (Outcome == OrderOutcome::Unknown) {
    Entry->second.MayBeExecuted = true;
    return;
  }
  // An earlier copy has changed the number of orders that this one names.
  if (Outcome == OrderOutcome::Unfit && Entry->second.ExpectedOrders &&
      Entry->second.MayBeExecuted)
    return;
  Statuses.erase(Endpoint);
  Pacer.finish(Endpoint);
  if (Outcome == OrderOutcome::NotSent)
    return;
  Pending.erase(Entry);
  LockedUntil[Endpoint] = Now + Times.ExclusionTime;
}

// Groups of several services may have the same epoch.
void Assembler::recordOpen(const EndpointName &Endpoint, GroupEpoch Epoch,
                           OrderOutcome Outcome, TimePoint Now) {
  const auto Entry = Groups.find(Epoch);
  if (Entry == Groups.end() || Entry->second.Members.front().Name != Endpoint)
    return;
  GroupState &Group = Entry->second;
  Group.OpensInFlight -= Group.OpensInFlight > 0 ? 1 : 0;
  if (Outcome == OrderOutcome::Unknown)
    Group.OpenMayArriveUntil = Now + Times.latestEffect();
}

void Assembler::declareDead(const KnownEndpoint &Endpoint, TimePoint Now) {
  DeadEndpoints[Endpoint.Record.Name] = {Endpoint.Record.StartedAtMs,
                                         Now + DeadMarkLifetime};
}

std::vector<EndpointName>
Assembler::membersLedBy(const EndpointName &Leader) const {
  std::vector<EndpointName> Names;
  for (const auto &[Epoch, Group] : Groups) {
    if (Group.Members.front().Name != Leader)
      continue;
    for (const GroupMember &Member : Group.Members)
      Names.push_back(Member.Name);
  }
  return Names;
}

std::vector<DomainSummary> Assembler::summary(const AssemblyView &View,
                                              TimePoint Now) const {
  const PlanContext Context{View, *View.Service.Engine, Now, {}};
  std::map<DomainKey, DomainSummary> Summaries;
  std::map<GroupEpoch, SeatPhase> Phases;
  for (const auto &[Name, Endpoint] : View.Endpoints.all())
    if (Endpoint.Record.Seat && Endpoint.Record.Seat->Rank == 0)
      Phases[Endpoint.Record.Seat->Epoch] = Endpoint.Record.Seat->Phase;
  for (const auto &[Name, Endpoint] : View.Endpoints.all()) {
    const EndpointRecord &Record = Endpoint.Record;
    if (Record.Service != View.Service.Name)
      continue;
    DomainSummary &Summary = Summaries[{Record.DataCentre, Record.Domain}];
    Summary.DataCentre = Record.DataCentre;
    Summary.Domain = Record.Domain;
    for (const ModelName &Model : Record.Staged)
      if (!Record.Loaded.empty() && !contains(Record.Loaded, Model))
        ++Summary.SecondByModel[Model];
    if (isLoading(Name))
      ++Summary.Loading;
    else if (isFree(Context, Endpoint)) {
      ++Summary.Free;
      for (const ModelName &Model : Record.Staged)
        ++Summary.FreeByModel[Model];
    } else if (LockedUntil.contains(Name) || isDead(Endpoint))
      ++Summary.Locked;
    else if (Record.Seat) {
      const auto Phase = Phases.find(Record.Seat->Epoch);
      const bool Open =
          Phase != Phases.end() && Phase->second == SeatPhase::Open;
      ++(Open ? Summary.Open : Summary.OtherSeats);
    }
  }
  std::vector<DomainSummary> List;
  for (auto &[Domain, Summary] : Summaries)
    List.push_back(std::move(Summary));
  return List;
}

std::vector<GroupEvent> Assembler::takeEvents() {
  return std::exchange(Events, {});
}

void Assembler::addEvent(const PlanContext &Context, GroupFate Fate,
                         const GroupState &Group, const EndpointName &Cause,
                         std::string_view Reason) {
  GroupEvent Event{Fate, Group.Name, Group.Epoch, Group.Model, Cause, Reason};
  const KnownEndpoint *const Leader =
      Context.View.Endpoints.find(Group.Members.front().Name);
  if (Leader != nullptr && Leader->Record.Seat &&
      Leader->Record.Seat->Epoch == Group.Epoch)
    Event.LeaderPhase = Leader->Record.Seat->Phase;
  Event.MayBeOpened = mayBeOpened(Context, Group);
  Events.push_back(std::move(Event));
}

} // namespace coltsfoottrail
