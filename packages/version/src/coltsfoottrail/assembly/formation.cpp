// Assembler: forms groups and prepares spares.
#include "coltsfoottrail/assembly/assembler.hpp"

#include "coltsfoottrail/assembly/groupname.hpp"
#include "coltsfoottrail/assembly/pass.hpp"

#include <cmath>
#include <tuple>

namespace coltsfoottrail {

using internal::contains;

namespace {

/// Number of epochs per fencing number; the groups formed in one term are far
/// fewer.
constexpr std::uint64_t EpochsPerFence = std::uint64_t{1} << 20U;

/// Work that an engine has to do to join a group: the less, the sooner the
/// group serves.
enum class JoinCost : std::uint8_t { Kept, Staged, Load };

JoinCost joinCost(const EndpointRecord &Record, const ModelName &Model) {
  if (contains(Record.Loaded, Model))
    return JoinCost::Kept;
  return contains(Record.Staged, Model) ? JoinCost::Staged : JoinCost::Load;
}

} // namespace

bool Assembler::isFree(const PlanContext &Context,
                       const KnownEndpoint &Endpoint) const {
  const EndpointRecord &Record = Endpoint.Record;
  // An engine that was lost or restarted during an outage of the store would
  // delay the group that it is chosen for.
  if (Record.Service != Context.View.Service.Name || !Record.isEngine() ||
      Endpoint.RemovalDeferredUntil ||
      Context.View.Endpoints.mayBeStale(Endpoint, Context.Now) ||
      Record.State != EndpointState::Serving ||
      Context.View.Drained.contains(Record.DataCentre))
    return false;
  if (Pending.contains(Record.Name) || LockedUntil.contains(Record.Name) ||
      isDead(Endpoint) || isLoading(Record.Name) || !isJoinSafe(Endpoint))
    return false;
  return !Record.Seat || isStandby(*Record.Seat) ||
         Retired.contains(Record.Seat->Epoch);
}

std::map<Assembler::DomainKey, Assembler::DomainState>
Assembler::freeDomains(const PlanContext &Context) const {
  std::map<DomainKey, DomainState> Domains;
  for (const auto &[Name, Endpoint] : Context.View.Endpoints.all())
    if (isFree(Context, Endpoint))
      Domains[{Endpoint.Record.DataCentre, Endpoint.Record.Domain}]
          .Free.push_back(&Endpoint);
  for (const auto &[Epoch, Group] : Groups) {
    const KnownEndpoint *const Leader =
        Context.View.Endpoints.find(Group.Members.front().Name);
    if (Leader == nullptr)
      continue;
    const auto Domain =
        Domains.find({Leader->Record.DataCentre, Leader->Record.Domain});
    if (Domain != Domains.end())
      ++Domain->second.Groups[Group.Model];
  }
  return Domains;
}

Assembler::Fleet Assembler::measureFleet(const PlanContext &Context) const {
  Fleet Totals;
  std::map<DomainKey, std::size_t> DomainSizes;
  std::size_t Largest = 0;
  for (const auto &[Name, Endpoint] : Context.View.Endpoints.all()) {
    const EndpointRecord &Record = Endpoint.Record;
    if (Record.Service != Context.View.Service.Name || !Record.isEngine())
      continue;
    Largest =
        std::max(Largest, ++DomainSizes[{Record.DataCentre, Record.Domain}]);
    if (Record.State == EndpointState::Serving &&
        !Context.View.Drained.contains(Record.DataCentre))
      ++Totals.Usable;
  }
  Totals.MixesModels = mixesModels(Context, Largest);
  return Totals;
}

/// Returns, for each model, the fraction of its wanted groups that is missing.
std::map<ModelName, double> Assembler::deficits(const PlanContext &Context,
                                                const Fleet &Totals) const {
  std::map<ModelName, double> GroupCounts;
  for (const auto &[Epoch, Group] : Groups) {
    const KnownEndpoint *const Leader =
        Context.View.Endpoints.find(Group.Members.front().Name);
    if (!Group.LossReported && Leader != nullptr &&
        !Context.View.Drained.contains(Leader->Record.DataCentre))
      ++GroupCounts[Group.Model];
  }
  std::map<ModelName, double> Deficits;
  for (const ServedModel &Model : Context.Engine.Models) {
    // Where models mix, large groups are formed first, and the fraction left
    // over from the last incomplete one goes to the small groups.
    const double WantedGroups =
        Totals.Usable * Context.share(Model) / Model.Size;
    const double WantedCount =
        std::max(1.0, Totals.MixesModels ? std::floor(WantedGroups)
                                         : std::ceil(WantedGroups));
    Deficits[Model.Name] =
        (WantedCount - GroupCounts[Model.Name]) / WantedCount;
  }
  return Deficits;
}

/// Whether domains hold groups of several models, rather than of one each.
///
/// In a domain of one model, any engine left over from a group can replace a
/// member of another without a load. Where a domain has room for many small
/// groups, mixing costs them little, and spreading the few large groups means
/// that the loss of a domain takes only one of them.
/// @param Largest Number of endpoints of the largest domain.
bool Assembler::mixesModels(const PlanContext &Context, std::size_t Largest) {
  constexpr std::size_t SmallGroupsInADomain = 6;
  const auto Smallest = std::min_element(
      Context.Engine.Models.begin(), Context.Engine.Models.end(),
      [](const ServedModel &Left, const ServedModel &Right) {
        return Left.Size < Right.Size;
      });
  return Largest >= SmallGroupsInADomain * Smallest->Size;
}

std::vector<Assembler::Candidate>
Assembler::findCandidates(const PlanContext &Context,
                          const DomainState &Domain) {
  std::vector<Candidate> Candidates;
  for (const ServedModel &Model : Context.Engine.Models) {
    if (Domain.ReservedFor && *Domain.ReservedFor != Model.Name)
      continue;
    const std::size_t Spares =
        sparesKept(Domain.Groups, Context.Engine.Models, Model);
    if (Domain.Free.size() < Model.Size + Spares)
      continue;
    Candidate Option{&Model, Domain.Free};
    if (Domain.KeptFor && *Domain.KeptFor != Model.Name)
      std::erase_if(Option.Members, [&](const KnownEndpoint *Member) {
        return holds(Member->Record, *Domain.KeptFor);
      });
    if (Option.Members.size() < Model.Size)
      continue;
    std::stable_sort(Option.Members.begin(), Option.Members.end(),
                     [&](const auto *Left, const auto *Right) {
                       return joinCost(Left->Record, Model.Name) <
                              joinCost(Right->Record, Model.Name);
                     });
    Option.Members.resize(Model.Size);
    for (const KnownEndpoint *const Member : Option.Members)
      Option.LoadCount +=
          joinCost(Member->Record, Model.Name) == JoinCost::Load;
    // A load takes a tenth of a minute and leaves the other members idle
    // meanwhile. Once requests have begun, weights are therefore staged first.
    if (Option.LoadCount > 0 && Context.View.TrafficStarted)
      continue;
    for (const auto &[Name, Count] : Domain.Groups)
      (Name == Model.Name ? Option.SameModelGroups : Option.OtherGroups) +=
          Count;
    Candidates.push_back(std::move(Option));
  }
  return Candidates;
}

const Assembler::Candidate *
Assembler::bestCandidate(const std::map<DomainKey, DomainState> &Domains,
                         const std::map<ModelName, double> &Deficits,
                         bool Mixing) {
  const auto Rank = [&](const Candidate &Option) {
    const double Deficit = Deficits.at(Option.Model->Name);
    const auto SameModelGroups = std::ptrdiff_t(Option.SameModelGroups);
    if (Mixing)
      return std::tuple(Option.LoadCount > 0, Deficit <= 0.0,
                        -double(Option.Model->Size), SameModelGroups, -Deficit);
    return std::tuple(Option.LoadCount > 0, false, -Deficit,
                      std::ptrdiff_t(Option.OtherGroups),
                      -double(SameModelGroups));
  };
  const Candidate *Best = nullptr;
  for (const auto &[Name, Domain] : Domains)
    for (const Candidate &Other : Domain.Candidates)
      if (Best == nullptr || Rank(Other) < Rank(*Best))
        Best = &Other;
  return Best;
}

void Assembler::formGroups(PlanContext &Context) {
  std::map<DomainKey, DomainState> Domains = freeDomains(Context);
  if (Domains.empty() && Context.View.Targets == nullptr)
    return;
  const Fleet Totals = measureFleet(Context);
  reserveForConversions(Context, Totals, Domains);
  for (auto &[Key, Domain] : Domains)
    Domain.Candidates = findCandidates(Context, Domain);
  while (Context.Commands.size() < Context.View.MaxOrders) {
    const Candidate *const Best =
        bestCandidate(Domains, deficits(Context, Totals), Totals.MixesModels);
    if (Best == nullptr)
      break;
    const Candidate Chosen = *Best;
    startGroup(Context, Chosen);
    const EndpointRecord &First = Chosen.Members.front()->Record;
    DomainState &Domain = Domains.at({First.DataCentre, First.Domain});
    std::erase_if(Domain.Free, [&](const KnownEndpoint *Endpoint) {
      return std::find(Chosen.Members.begin(), Chosen.Members.end(),
                       Endpoint) != Chosen.Members.end();
    });
    ++Domain.Groups[Chosen.Model->Name];
    Domain.ReservedFor.reset();
    if (Domain.KeptFor == Chosen.Model->Name)
      Domain.KeptFor.reset();
    Domain.Candidates = findCandidates(Context, Domain);
  }
  if (Context.Commands.size() < Context.View.MaxOrders)
    stageSpares(Context, Domains, deficits(Context, Totals));
  if (Context.Commands.size() < Context.View.MaxOrders)
    beginConversions(Context, Totals);
  if (Context.Commands.size() < Context.View.MaxOrders)
    stageAhead(Context, deficits(Context, Totals));
}

void Assembler::startGroup(PlanContext &Context, const Candidate &Chosen) {
  GroupState Group;
  Group.Epoch = nextEpoch(Context);
  Group.Name = groupName(Chosen.Model->Name, Chosen.Members.front()->Record);
  Group.Model = Chosen.Model->Name;
  std::vector<EndpointName> Names;
  for (const KnownEndpoint *const Member : Chosen.Members) {
    Group.Members.push_back({Member->Record.Name, Member->Record.StartedAtMs,
                             Member->Record.Address});
    Names.push_back(Member->Record.Name);
  }
  Duration JoinTime = Chosen.Model->WarmTime;
  if (Chosen.LoadCount > 0)
    JoinTime = std::max<Duration>(JoinTime, Context.loadTime(*Chosen.Model));
  Group.JoinBy = Context.Now + JoinTime * 2 + Times.JoinSlack;
  for (const KnownEndpoint *const Member : Chosen.Members) {
    if (joinCost(Member->Record, Group.Model) == JoinCost::Load)
      Pacer.start(Member->Record.Name, Context.loadTime(*Chosen.Model),
                  Context.Now);
    beginJoin(Context, *Member, {Group.Name, Group.Epoch, Group.Model, Names});
  }
  addEvent(Context, GroupFate::Formed, Group, Names.front(),
           Chosen.LoadCount > 0 ? "with loads" : "without loads");
  recordConverted(Chosen, Group.Epoch);
  Groups.emplace(Group.Epoch, std::move(Group));
}

// Failure guarded against: survivors of a large group that wait for another
// load the weights of small groups, and are of use to none meanwhile.
bool Assembler::isKeptForAnother(const PlanContext &Context,
                                 const DomainState &Domain,
                                 const PlannedLoad &Load) {
  return Domain.KeptFor && *Domain.KeptFor != Load.Model &&
         holds(Context.View.Endpoints.find(Load.Endpoint)->Record,
               *Domain.KeptFor);
}

void Assembler::stageSpares(PlanContext &Context,
                            const std::map<DomainKey, DomainState> &Domains,
                            const std::map<ModelName, double> &Deficits) {
  std::erase_if(Staging, [&](const auto &Entry) {
    return !Pacer.isLoading(Entry.first);
  });
  std::erase_if(StagingAhead, [&](const EndpointName &Name) {
    return !Staging.contains(Name);
  });
  std::vector<PlannedLoad> Planned;
  for (const auto &[Name, Domain] : Domains)
    for (PlannedLoad &Load : planLoads(idleDomain(Context, Name, Domain),
                                       Context.Engine.Models, Deficits))
      if (!isKeptForAnother(Context, Domain, Load))
        Planned.push_back(std::move(Load));
  std::stable_sort(Planned.begin(), Planned.end(),
                   [](const PlannedLoad &Left, const PlannedLoad &Right) {
                     return Left.Rank < Right.Rank;
                   });
  for (const PlannedLoad &Load : Planned)
    if (Context.Commands.size() < Context.View.MaxOrders)
      orderStaging(Context, *Context.View.Endpoints.find(Load.Endpoint),
                   *Context.model(Load.Model));
  for (const auto &[Name, Domain] : Domains)
    for (const KnownEndpoint *const Spare : Domain.Free)
      if (Context.Commands.size() < Context.View.MaxOrders)
        prepareSpare(Context, *Spare);
}

// A spare whose host has the weights still loads them from the host when it
// joins a group: 1.1 to 1.6 s, or 0.2 s if it had that model before, during
// which the other members are idle. It therefore joins a group of its own
// beforehand, which is never opened.
void Assembler::prepareSpare(PlanContext &Context, const KnownEndpoint &Spare) {
  const EndpointRecord &Record = Spare.Record;
  if (Record.Staged.empty() || Pacer.isLoading(Record.Name) ||
      Pending.contains(Record.Name))
    return;
  // A spare with a second model is of use for either.
  if (Context.stagesAhead() && !Record.Loaded.empty())
    return;
  const ModelName &Model = Record.Staged.back();
  const bool IsOrdered =
      Record.Seat && Record.Seat->Group == standbyName(Model, Record);
  if (IsOrdered || contains(Record.Loaded, Model) ||
      Context.model(Model) == nullptr)
    return;
  orderStandby(Context, Spare, Model);
}

void Assembler::orderStandby(PlanContext &Context, const KnownEndpoint &Engine,
                             const ModelName &Model) {
  const EndpointRecord &Record = Engine.Record;
  beginJoin(
      Context, Engine,
      {standbyName(Model, Record), nextEpoch(Context), Model, {Record.Name}});
}

GroupEpoch Assembler::nextEpoch(const PlanContext &Context) {
  return Context.View.Fence * EpochsPerFence + ++Counter;
}

IdleDomain Assembler::idleDomain(const PlanContext &Context,
                                 const DomainKey &Domain,
                                 const DomainState &State) const {
  IdleDomain Idle;
  Idle.Groups = State.Groups;
  for (const ServedModel &Model : Context.Engine.Models)
    Idle.Loading[Model.Name] = countStaging(Context, Domain, Model.Name);
  for (const KnownEndpoint *const Endpoint : State.Free) {
    IdleEngine Engine{Endpoint->Record.Name, std::nullopt};
    if (!Endpoint->Record.Staged.empty())
      Engine.StagedModel = Endpoint->Record.Staged.back();
    if (State.KeptFor && holds(Endpoint->Record, *State.KeptFor))
      Engine.StagedModel = *State.KeptFor;
    else if (Context.stagesAhead() && !Endpoint->Record.Loaded.empty())
      Engine.StagedModel = Endpoint->Record.Loaded.back();
    Idle.Engines.push_back(std::move(Engine));
  }
  return Idle;
}

bool Assembler::orderStaging(PlanContext &Context,
                             const KnownEndpoint &Endpoint,
                             const ServedModel &Model) {
  if (Context.stagesAhead() && (Staging.contains(Endpoint.Record.Name) ||
                                holds(Endpoint.Record, Model.Name)))
    return false;
  if (!Pacer.admits(1, Context.View.TrafficStarted, Context.Now))
    return false;
  Pacer.start(Endpoint.Record.Name, Context.loadTime(Model), Context.Now);
  Staging[Endpoint.Record.Name] = Model.Name;
  Context.order(Endpoint, StageModel{Model.Name});
  return true;
}

std::size_t Assembler::countStaging(const PlanContext &Context,
                                    const DomainKey &Domain,
                                    const ModelName &Model) const {
  return static_cast<std::size_t>(
      std::count_if(Staging.begin(), Staging.end(), [&](const auto &Entry) {
        const KnownEndpoint *const Endpoint =
            Context.View.Endpoints.find(Entry.first);
        return Entry.second == Model && Endpoint != nullptr &&
               !StagingAhead.contains(Entry.first) &&
               Endpoint->Record.DataCentre == Domain.first &&
               Endpoint->Record.Domain == Domain.second;
      }));
}

} // namespace coltsfoottrail
