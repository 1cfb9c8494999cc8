// Assembler: closes groups for models that lack groups, keeps survivors for
// large groups, and stages second models.
#include "coltsfoottrail/assembly/assembler.hpp"

#include "coltsfoottrail/assembly/groupname.hpp"
#include "coltsfoottrail/assembly/pass.hpp"

namespace coltsfoottrail {

using internal::contains;

namespace {

/// Part of the usable engines that may be out of service for conversions at
/// once. One conversion is always allowed.
constexpr double MaxConvertingFraction = 0.125;
/// Loads that can begin at any time beside those of second models: engines die
/// in pairs.
constexpr std::uint32_t LoadsKeptFree = 2;

/// Whether a domain has enough survivors of a large group to wait for another.
bool isWorthKeeping(std::size_t Holders, const ServedModel &Model) {
  return 2 * Holders >= Model.Size;
}

} // namespace

bool Assembler::holds(const EndpointRecord &Record, const ModelName &Model) {
  return contains(Record.Loaded, Model) || contains(Record.Staged, Model);
}

void Assembler::advanceConversions(const PlanContext &Context) {
  for (auto Entry = Conversions.begin(); Entry != Conversions.end();) {
    auto &[Domain, State] = *Entry;
    if (isAnyDraining(Context, State))
      State.FormBy = Context.Now + Times.ConversionTimeout;
    const auto Formed =
        State.Formed ? Groups.find(*State.Formed) : Groups.end();
    if (Formed != Groups.end() && Formed->second.WasOpen)
      endConversion(Context, Domain, State, GroupFate::ConversionFinished,
                    "the group serves");
    else if (State.Formed && Formed == Groups.end())
      endConversion(Context, Domain, State, GroupFate::ConversionGivenUp,
                    "the new group was lost before it served");
    else if (!State.Formed && !Context.converts())
      endConversion(Context, Domain, State, GroupFate::ConversionGivenUp,
                    "there are no targets any more");
    else if (!State.Formed && Context.Now >= State.FormBy)
      endConversion(Context, Domain, State, GroupFate::ConversionGivenUp,
                    "no group could be formed in time");
    else {
      ++Entry;
      continue;
    }
    Entry = Conversions.erase(Entry);
  }
}

bool Assembler::isAnyDraining(const PlanContext &Context,
                              const Conversion &State) const {
  return std::any_of(
      State.Closing.begin(), State.Closing.end(), [&](GroupEpoch Epoch) {
        const auto Group = Groups.find(Epoch);
        if (Group == Groups.end())
          return false;
        const KnownEndpoint *const Leader =
            Context.View.Endpoints.find(Group->second.Members.front().Name);
        return Leader != nullptr && Leader->Record.Seat &&
               Leader->Record.Seat->Epoch == Epoch &&
               Leader->Record.Seat->Phase == SeatPhase::Closing;
      });
}

// A group that is complete is opened again once its leader is ready.
void Assembler::keepRemaining(const Conversion &State) {
  for (const GroupEpoch Epoch : State.Closing)
    if (const auto Group = Groups.find(Epoch); Group != Groups.end()) {
      Group->second.Converts = false;
      Group->second.CloseOrdered.reset();
    }
}

void Assembler::endConversion(const PlanContext &Context,
                              const DomainKey &Domain, const Conversion &Ended,
                              GroupFate Fate, std::string_view Reason) {
  keepRemaining(Ended);
  ConversionsEndedAt[Domain] = Context.Now;
  GroupEvent Event{
      Fate, {}, Ended.Formed.value_or(0), Ended.Model, {}, Reason, Ended.Model};
  if (Ended.Formed)
    if (const auto Group = Groups.find(*Ended.Formed); Group != Groups.end()) {
      Event.Group = Group->second.Name;
      Event.Cause = Group->second.Members.front().Name;
    }
  Events.push_back(std::move(Event));
}

bool Assembler::closeForConversion(PlanContext &Context, GroupState &Group,
                                   const SeatState &Leader) {
  switch (Leader.Phase) {
  case SeatPhase::Open:
    orderClose(Context, Group, false);
    return false;
  case SeatPhase::Ready:
    return endGroup(Context, Group, "closed for a conversion");
  case SeatPhase::Joining:
  case SeatPhase::Closing:
  case SeatPhase::Broken:
    break;
  }
  return false;
}

void Assembler::recordConverted(const Candidate &Chosen, GroupEpoch Epoch) {
  const EndpointRecord &Leader = Chosen.Members.front()->Record;
  const auto Entry = Conversions.find({Leader.DataCentre, Leader.Domain});
  if (Entry == Conversions.end() || Entry->second.Formed ||
      Entry->second.Model != Chosen.Model->Name)
    return;
  Entry->second.Formed = Epoch;
  keepRemaining(Entry->second);
}

void Assembler::reserveForConversions(
    const PlanContext &Context, const Fleet &Totals,
    std::map<DomainKey, DomainState> &Domains) {
  if (!Context.converts())
    return;
  for (const auto &[Domain, State] : Conversions)
    if (const auto Entry = Domains.find(Domain);
        Entry != Domains.end() && !State.Formed)
      Entry->second.ReservedFor = Entry->second.KeptFor = State.Model;
  keepForLargeGroups(Context, Totals, Domains);
}

// Failure guarded against: a large group loses a member, small groups take the
// survivors, and the domain has no large group again, since its small groups
// leave fewer engines over than a large one needs.
void Assembler::keepForLargeGroups(const PlanContext &Context,
                                   const Fleet &Totals,
                                   std::map<DomainKey, DomainState> &Domains) {
  const CountByModel Counts = lastingGroups(Context);
  std::set<DomainKey> Kept;
  for (const ServedModel &Model : Context.Engine.Models) {
    const bool IsLarger = std::any_of(
        Context.Engine.Models.begin(), Context.Engine.Models.end(),
        [&](const ServedModel &Other) { return Other.Size < Model.Size; });
    const auto Count = Counts.find(Model.Name);
    std::size_t Missing =
        missingGroups(Model, *Context.View.Targets, Totals.Usable,
                      Count == Counts.end() ? 0 : Count->second);
    if (!IsLarger || Missing == 0)
      continue;
    std::vector<std::pair<std::size_t, DomainKey>> Waiting;
    for (const auto &[Key, Domain] : Domains) {
      const auto Holders = static_cast<std::size_t>(std::count_if(
          Domain.Free.begin(), Domain.Free.end(), [&](const auto *Endpoint) {
            return holds(Endpoint->Record, Model.Name);
          }));
      if (!Domain.KeptFor && isWorthKeeping(Holders, Model) &&
          potentialMembers(Context, Key, Model.Name) >= Model.Size)
        Waiting.emplace_back(Holders, Key);
    }
    std::stable_sort(Waiting.begin(), Waiting.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.first > Right.first;
                     });
    Waiting.resize(std::min(Waiting.size(), Missing));
    for (const auto &[Holders, Key] : Waiting) {
      Kept.insert(Key);
      const auto Since = KeptSince.try_emplace(Key, Context.Now).first;
      if (Context.Now < Since->second + Times.MaxReservation)
        Domains.at(Key).KeptFor = Model.Name;
    }
  }
  std::erase_if(KeptSince,
                [&](const auto &Entry) { return !Kept.contains(Entry.first); });
}

std::size_t Assembler::potentialMembers(const PlanContext &Context,
                                        const DomainKey &Domain,
                                        const ModelName &Model) const {
  const auto &Endpoints = Context.View.Endpoints.all();
  return static_cast<std::size_t>(
      std::count_if(Endpoints.begin(), Endpoints.end(), [&](const auto &Entry) {
        const EndpointRecord &Record = Entry.second.Record;
        if (Record.Service != Context.View.Service.Name ||
            Record.DataCentre != Domain.first ||
            Record.Domain != Domain.second ||
            Record.State != EndpointState::Serving || isDead(Entry.second))
          return false;
        const auto Load = Staging.find(Entry.first);
        const bool Serves = Record.Seat && !isStandby(*Record.Seat) &&
                            !Retired.contains(Record.Seat->Epoch) &&
                            contains(Record.Loaded, Model);
        const bool IsEmpty = Record.Loaded.empty() && Record.Staged.empty();
        return !Serves && (holds(Record, Model) || IsEmpty ||
                           (Load != Staging.end() && Load->second == Model));
      }));
}

CountByModel Assembler::lastingGroups(const PlanContext &Context) const {
  CountByModel Counts;
  for (const auto &[Epoch, Group] : Groups) {
    const KnownEndpoint *const Leader =
        Context.View.Endpoints.find(Group.Members.front().Name);
    if (!Group.LossReported && !Group.Converts && Leader != nullptr &&
        !Context.View.Drained.contains(Leader->Record.DataCentre))
      ++Counts[Group.Model];
  }
  return Counts;
}

bool Assembler::isDonor(const PlanContext &Context,
                        const GroupState &Group) const {
  if (Group.Converts || Group.LossReported || Group.LeaveOrdered ||
      Group.CloseOrdered || Group.OpenPending || !Group.WasOpen ||
      mayBeOpened(Context, Group))
    return false;
  const KnownEndpoint *const Leader =
      Context.View.Endpoints.find(Group.Members.front().Name);
  if (Leader == nullptr || !Leader->Record.isServingLeader())
    return false;
  return std::all_of(
      Group.Members.begin(), Group.Members.end(),
      [&](const GroupMember &Member) {
        const KnownEndpoint *const Endpoint =
            Context.View.Endpoints.find(Member.Name);
        return Endpoint != nullptr && !Endpoint->RemovalDeferredUntil &&
               Endpoint->Record.State == EndpointState::Serving &&
               !Context.View.Drained.contains(Endpoint->Record.DataCentre) &&
               !Pending.contains(Member.Name) &&
               !LockedUntil.contains(Member.Name) &&
               holdsSeat(Context, Member, Group.Epoch);
      });
}

std::map<Assembler::DomainKey, ConversionDomain>
Assembler::conversionDomains(const PlanContext &Context) const {
  std::map<DomainKey, ConversionDomain> Domains;
  for (const auto &[Epoch, Group] : Groups) {
    if (!isDonor(Context, Group))
      continue;
    const EndpointRecord &Leader =
        Context.View.Endpoints.find(Group.Members.front().Name)->Record;
    DonorGroup Donor{
        Epoch, Group.Model, std::uint32_t(Group.Members.size()), {}};
    for (const GroupMember &Member : Group.Members)
      for (const ServedModel &Model : Context.Engine.Models)
        Donor.Holding[Model.Name] +=
            holds(Context.View.Endpoints.find(Member.Name)->Record, Model.Name);
    Domains[{Leader.DataCentre, Leader.Domain}].Groups.push_back(
        std::move(Donor));
  }
  for (const auto &[Name, Endpoint] : Context.View.Endpoints.all()) {
    const auto Domain =
        Domains.find({Endpoint.Record.DataCentre, Endpoint.Record.Domain});
    if (Domain == Domains.end() || !isFree(Context, Endpoint))
      continue;
    ++Domain->second.Free;
    for (const ServedModel &Model : Context.Engine.Models)
      Domain->second.FreeHolding[Model.Name] +=
          holds(Endpoint.Record, Model.Name);
  }
  for (auto &[Key, Domain] : Domains) {
    const auto Ended = ConversionsEndedAt.find(Key);
    Domain.IsPaused = Conversions.contains(Key) ||
                      (Ended != ConversionsEndedAt.end() &&
                       Context.Now < Ended->second + Times.ConversionPause);
  }
  return Domains;
}

void Assembler::beginConversions(PlanContext &Context, const Fleet &Totals) {
  if (!Context.converts())
    return;
  std::vector<DomainKey> Keys;
  std::vector<ConversionDomain> Domains;
  for (auto &[Key, Domain] : conversionDomains(Context)) {
    Keys.push_back(Key);
    Domains.push_back(std::move(Domain));
  }
  ConversionPlan Plan = planConversions(
      {Context.Engine.Models, *Context.View.Targets, Totals.Usable,
       expectedGroups(Context), Domains, convertibleEngines(Context, Totals)});
  if (Context.View.Endpoints.isSettling(Context.Now)) {
    for (const PlannedConversion &Planned : Plan.Conversions)
      Plan.Obstacles[Planned.Model] = ConversionObstacle::RecordsUnsettled;
    Plan.Conversions.clear();
  }
  for (const PlannedConversion &Planned : Plan.Conversions)
    if (Context.Commands.size() < Context.View.MaxOrders)
      beginConversion(Context, Keys[Planned.Domain], Planned);
  reportObstacles(std::move(Plan.Obstacles));
}

CountByModel Assembler::expectedGroups(const PlanContext &Context) const {
  CountByModel Counts = lastingGroups(Context);
  for (const auto &[Key, State] : Conversions)
    if (!State.Formed)
      Counts[State.Model] += State.Gained;
  return Counts;
}

std::uint32_t Assembler::convertibleEngines(const PlanContext &Context,
                                            const Fleet &Totals) const {
  std::uint32_t Converting = 0;
  for (const auto &[Key, State] : Conversions)
    Converting += State.Engines;
  const auto Limit = std::uint32_t(Totals.Usable * MaxConvertingFraction);
  std::uint32_t Allowed = Limit - std::min(Limit, Converting);
  if (Converting == 0)
    for (const ServedModel &Model : Context.Engine.Models)
      Allowed = std::max(Allowed, Model.Size);
  return Allowed;
}

void Assembler::reportObstacles(
    std::map<ModelName, ConversionObstacle> Current) {
  for (const auto &[Model, Obstacle] : Current)
    if (const auto Known = Obstacles.find(Model);
        Known == Obstacles.end() || Known->second != Obstacle)
      Events.push_back({GroupFate::ConversionNotBegun,
                        {},
                        0,
                        Model,
                        {},
                        describe(Obstacle),
                        Model});
  Obstacles = std::move(Current);
}

void Assembler::beginConversion(PlanContext &Context, const DomainKey &Domain,
                                const PlannedConversion &Planned) {
  Conversion State{Planned.Model,
                   {},
                   Planned.Engines,
                   Planned.Gained,
                   Context.Now + Times.ConversionTimeout,
                   {}};
  for (const GroupEpoch Epoch : Planned.Closed) {
    GroupState &Group = Groups.at(Epoch);
    Group.Converts = true;
    State.Closing.insert(Epoch);
    Events.push_back({GroupFate::ConversionBegun, Group.Name, Epoch,
                      Group.Model, Group.Members.front().Name,
                      "another model lacks a group", Planned.Model});
    orderClose(Context, Group, false);
  }
  Conversions.emplace(Domain, std::move(State));
}

bool Assembler::isWarm(const PlanContext &Context,
                       const KnownEndpoint &Endpoint) const {
  const EndpointRecord &Record = Endpoint.Record;
  return Record.Service == Context.View.Service.Name &&
         Record.State == EndpointState::Serving && !Record.Loaded.empty() &&
         Record.Seat && Record.Seat->Phase != SeatPhase::Joining &&
         !Endpoint.RemovalDeferredUntil &&
         !Context.View.Endpoints.mayBeStale(Endpoint, Context.Now) &&
         !Context.View.Drained.contains(Record.DataCentre) &&
         !Pending.contains(Record.Name) && !isDead(Endpoint) &&
         !isLoading(Record.Name);
}

// Loads that a predecessor ordered are not known, and use the limits of the
// store.
bool Assembler::mayPredecessorLoad(const PlanContext &Context) const {
  if (!FollowsPredecessor.value_or(true) || !Context.View.TrafficStarted)
    return false;
  return std::any_of(Context.Engine.Models.begin(), Context.Engine.Models.end(),
                     [&](const ServedModel &Model) {
                       return Context.Now <
                              TermStartedAt + Context.loadTime(Model);
                     });
}

void Assembler::stageAhead(PlanContext &Context,
                           const std::map<ModelName, double> &Deficits) {
  if (!Context.stagesAhead() || mayPredecessorLoad(Context))
    return;
  using SeatedEngine = std::pair<GroupEpoch, WarmEngine>;
  std::map<DomainKey, std::vector<SeatedEngine>> Seated;
  for (const auto &[Name, Endpoint] : Context.View.Endpoints.all()) {
    if (!isWarm(Context, Endpoint))
      continue;
    const EndpointRecord &Record = Endpoint.Record;
    const ModelName &First = Record.Loaded.back();
    const bool HoldsSecond =
        Staging.contains(Name) ||
        std::any_of(Context.Engine.Models.begin(), Context.Engine.Models.end(),
                    [&](const ServedModel &Model) {
                      return Model.Name != First &&
                             contains(Record.Staged, Model.Name);
                    });
    Seated[{Record.DataCentre, Record.Domain}].push_back(
        {Record.Seat->Epoch, {Name, First, HoldsSecond}});
  }
  std::vector<std::vector<WarmEngine>> Domains;
  for (auto &[Key, Engines] : Seated) {
    std::stable_sort(Engines.begin(), Engines.end(),
                     [](const SeatedEngine &Left, const SeatedEngine &Right) {
                       return Left.first < Right.first;
                     });
    Domains.emplace_back();
    for (auto &[Epoch, Engine] : Engines)
      Domains.back().push_back(std::move(Engine));
  }
  for (const PlannedStaging &Planned :
       planStaging(Domains, Context.Engine.Models, Deficits)) {
    if (Context.Commands.size() >= Context.View.MaxOrders ||
        !Pacer.admits(1 + LoadsKeptFree, Context.View.TrafficStarted,
                      Context.Now))
      return;
    if (orderStaging(Context, *Context.View.Endpoints.find(Planned.Engine),
                     *Context.model(Planned.Model)))
      StagingAhead.insert(Planned.Engine);
  }
}

} // namespace coltsfoottrail
