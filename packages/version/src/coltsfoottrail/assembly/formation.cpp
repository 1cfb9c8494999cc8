// The part of the assembler that forms groups and prepares spares.
#include "coltsfoottrail/assembly/assembler.hpp"

#include "coltsfoottrail/assembly/groupname.hpp"
#include "coltsfoottrail/assembly/pass.hpp"

#include <cmath>
#include <tuple>

namespace coltsfoottrail {

using internal::contains;

namespace {

/// Epochs of one fencing number; groups formed in one term stay far below.
constexpr std::uint64_t EpochsPerFence = std::uint64_t{1} << 20U;

/// What it takes an engine to join: the less, the sooner the group serves.
enum class JoinCost : std::uint8_t { Kept, Staged, Load };

JoinCost joinCost(const EndpointRecord &Of, const ModelName &Model) {
  if (contains(Of.Loaded, Model))
    return JoinCost::Kept;
  return contains(Of.Staged, Model) ? JoinCost::Staged : JoinCost::Load;
}

} // namespace

bool Assembler::isFree(const Pass &In, const KnownEndpoint &Of) const {
  const EndpointRecord &Record = Of.Record;
  // An engine that was lost or restarted during an outage of the store would
  // hold up the group that it is chosen for.
  if (Record.Service != In.View.Service.Name || Of.RemovalDeferredUntil ||
      In.View.Endpoints.mayBeStale(Of, In.Now) ||
      Record.State != EndpointState::Serving ||
      In.View.Drained.contains(Record.DataCentre))
    return false;
  if (Pending.contains(Record.Name) || LockedUntil.contains(Record.Name) ||
      isDead(Of) || Pacer.loads(Record.Name))
    return false;
  return !Record.Seat || isStandby(*Record.Seat) ||
         Retired.contains(Record.Seat->Epoch);
}

std::map<Assembler::DomainKey, Assembler::DomainState>
Assembler::freeDomains(const Pass &In) const {
  std::map<DomainKey, DomainState> Out;
  for (const auto &[Name, Known] : In.View.Endpoints.all())
    if (isFree(In, Known))
      Out[{Known.Record.DataCentre, Known.Record.Domain}].Free.push_back(
          &Known);
  for (const auto &[Epoch, Of] : Groups) {
    const KnownEndpoint *const Leader =
        In.View.Endpoints.find(Of.Members.front().Name);
    if (Leader == nullptr)
      continue;
    const auto Found =
        Out.find({Leader->Record.DataCentre, Leader->Record.Domain});
    if (Found != Out.end())
      ++Found->second.Groups[Of.Model];
  }
  return Out;
}

Assembler::Fleet Assembler::measureFleet(const Pass &In) const {
  Fleet Out;
  std::map<DomainKey, std::size_t> Sizes;
  std::size_t Largest = 0;
  for (const auto &[Name, Known] : In.View.Endpoints.all()) {
    const EndpointRecord &Record = Known.Record;
    if (Record.Service != In.View.Service.Name)
      continue;
    Largest = std::max(Largest, ++Sizes[{Record.DataCentre, Record.Domain}]);
    if (Record.State == EndpointState::Serving &&
        !In.View.Drained.contains(Record.DataCentre))
      ++Out.Usable;
  }
  Out.MixesModels = mixesModels(In, Largest);
  return Out;
}

/// For each model, the part of its wanted groups that is missing.
std::map<ModelName, double> Assembler::deficits(const Pass &In,
                                                const Fleet &Whole) const {
  std::map<ModelName, double> Have;
  for (const auto &[Epoch, Of] : Groups) {
    const KnownEndpoint *const Leader =
        In.View.Endpoints.find(Of.Members.front().Name);
    if (!Of.LossNoted && Leader != nullptr &&
        !In.View.Drained.contains(Leader->Record.DataCentre))
      ++Have[Of.Model];
  }
  std::map<ModelName, double> Out;
  for (const ServedModel &Each : In.Engine.Models) {
    // Large groups are formed first where models mix: what is left of the last
    // one that is not whole goes to the small ones.
    const double Groups = Whole.Usable * Each.Share / Each.Size;
    const double Wanted = std::max(1.0, Whole.MixesModels ? std::floor(Groups)
                                                          : std::ceil(Groups));
    Out[Each.Name] = (Wanted - Have[Each.Name]) / Wanted;
  }
  return Out;
}

/// Whether domains hold groups of several models, rather than of one each.
///
/// In a domain of one model whoever is left of a group can replace a member of
/// another without a load. Where a domain has room for many small groups, those
/// lose little by being mixed in, and the few large groups are spread, so that
/// a dark domain takes one of them.
/// @param Largest Endpoints of the largest domain.
bool Assembler::mixesModels(const Pass &In, std::size_t Largest) {
  constexpr std::size_t SmallGroupsInADomain = 6;
  const auto Smallest =
      std::min_element(In.Engine.Models.begin(), In.Engine.Models.end(),
                       [](const ServedModel &Left, const ServedModel &Right) {
                         return Left.Size < Right.Size;
                       });
  return Largest >= SmallGroupsInADomain * Smallest->Size;
}

std::vector<Assembler::Candidate>
Assembler::candidatesOf(const Pass &In, const DomainState &Domain) {
  std::vector<Candidate> Out;
  for (const ServedModel &Model : In.Engine.Models) {
    const std::size_t Kept = sparesKept(Domain.Groups, In.Engine.Models, Model);
    if (Domain.Free.size() < Model.Size + Kept)
      continue;
    Candidate Next{&Model, Domain.Free};
    std::stable_sort(Next.Members.begin(), Next.Members.end(),
                     [&](const auto *Left, const auto *Right) {
                       return joinCost(Left->Record, Model.Name) <
                              joinCost(Right->Record, Model.Name);
                     });
    Next.Members.resize(Model.Size);
    for (const KnownEndpoint *const Each : Next.Members)
      Next.Loads += joinCost(Each->Record, Model.Name) == JoinCost::Load;
    // A load takes a tenth of a minute and keeps the other members idle
    // meanwhile: once callers have begun, weights are staged first.
    if (Next.Loads > 0 && In.View.TrafficStarted)
      continue;
    for (const auto &[Name, Count] : Domain.Groups)
      (Name == Model.Name ? Next.Alike : Next.Others) += Count;
    Out.push_back(std::move(Next));
  }
  return Out;
}

const Assembler::Candidate *
Assembler::bestCandidate(const std::map<DomainKey, DomainState> &Domains,
                         const std::map<ModelName, double> &Missing,
                         bool Mixing) {
  const auto Rank = [&](const Candidate &Of) {
    const double Deficit = Missing.at(Of.Model->Name);
    const auto Alike = std::ptrdiff_t(Of.Alike);
    if (Mixing)
      return std::tuple(Of.Loads > 0, Deficit <= 0.0, -double(Of.Model->Size),
                        Alike, -Deficit);
    return std::tuple(Of.Loads > 0, false, -Deficit, std::ptrdiff_t(Of.Others),
                      -double(Alike));
  };
  const Candidate *Best = nullptr;
  for (const auto &[Name, Domain] : Domains)
    for (const Candidate &Each : Domain.Candidates)
      if (Best == nullptr || Rank(Each) < Rank(*Best))
        Best = &Each;
  return Best;
}

void Assembler::form(Pass &In) {
  std::map<DomainKey, DomainState> Domains = freeDomains(In);
  if (Domains.empty())
    return;
  const Fleet Whole = measureFleet(In);
  for (auto &[Name, Domain] : Domains)
    Domain.Candidates = candidatesOf(In, Domain);
  while (In.Out.size() < In.View.MaxOrders) {
    const Candidate *const Found =
        bestCandidate(Domains, deficits(In, Whole), Whole.MixesModels);
    if (Found == nullptr)
      break;
    const Candidate Chosen = *Found;
    start(In, Chosen);
    const EndpointRecord &First = Chosen.Members.front()->Record;
    DomainState &Its = Domains.at({First.DataCentre, First.Domain});
    std::erase_if(Its.Free, [&](const KnownEndpoint *Each) {
      return std::find(Chosen.Members.begin(), Chosen.Members.end(), Each) !=
             Chosen.Members.end();
    });
    ++Its.Groups[Chosen.Model->Name];
    Its.Candidates = candidatesOf(In, Its);
  }
  if (In.Out.size() < In.View.MaxOrders)
    stage(In, Domains, deficits(In, Whole));
}

void Assembler::start(Pass &In, const Candidate &Chosen) {
  Group Of;
  Of.Epoch = nextEpoch(In);
  Of.Name = groupName(Chosen.Model->Name, Chosen.Members.front()->Record);
  Of.Model = Chosen.Model->Name;
  std::vector<EndpointName> Names;
  for (const KnownEndpoint *const Each : Chosen.Members) {
    Of.Members.push_back(
        {Each->Record.Name, Each->Record.StartedAtMs, Each->Record.Address});
    Names.push_back(Each->Record.Name);
  }
  Duration Expected = Chosen.Model->WarmTime;
  if (Chosen.Loads > 0)
    Expected = std::max<Duration>(Expected, In.loadTime(*Chosen.Model));
  Of.JoinBy = In.Now + Expected * 2 + Times.JoinSlack;
  for (const KnownEndpoint *const Each : Chosen.Members) {
    if (joinCost(Each->Record, Of.Model) == JoinCost::Load)
      Pacer.begin(Each->Record.Name, In.loadTime(*Chosen.Model), In.Now);
    Pending[Each->Record.Name] = {Of.Epoch, Each->Record.StartedAtMs, In.Now,
                                  false};
    In.order(*Each, JoinSeat{Of.Name, Of.Epoch, Of.Model, Names});
  }
  note(GroupFate::Formed, Of, Names.front(),
       Chosen.Loads > 0 ? "with loads" : "without loads");
  Groups.emplace(Of.Epoch, std::move(Of));
}

void Assembler::stage(Pass &In, const std::map<DomainKey, DomainState> &Domains,
                      const std::map<ModelName, double> &Missing) {
  std::erase_if(Staging,
                [&](const auto &Entry) { return !Pacer.loads(Entry.first); });
  std::vector<PlannedLoad> Wanted;
  for (const auto &[Name, Domain] : Domains)
    for (PlannedLoad &Each :
         planLoads(idleDomain(In, Name, Domain), In.Engine.Models, Missing))
      Wanted.push_back(std::move(Each));
  std::stable_sort(Wanted.begin(), Wanted.end(),
                   [](const PlannedLoad &Left, const PlannedLoad &Right) {
                     return Left.Rank < Right.Rank;
                   });
  for (const PlannedLoad &Each : Wanted)
    if (In.Out.size() < In.View.MaxOrders)
      stageAt(In, *In.View.Endpoints.find(Each.Where), *In.model(Each.Model));
  for (const auto &[Name, Domain] : Domains)
    for (const KnownEndpoint *const Each : Domain.Free)
      if (In.Out.size() < In.View.MaxOrders)
        standBy(In, *Each);
}

// A spare whose host has the weights still takes them from the host when it
// joins a group, 1.1 to 1.6 s during which the other members idle, and 0.2 s if
// it had that model before. It takes a group of its own beforehand, which is
// never opened.
void Assembler::standBy(Pass &In, const KnownEndpoint &Spare) {
  const EndpointRecord &Record = Spare.Record;
  if (Record.Staged.empty() || Pacer.loads(Record.Name) ||
      Pending.contains(Record.Name))
    return;
  const ModelName &Model = Record.Staged.back();
  std::string Name = standbyName(Model, Record);
  const bool UnderWay = Record.Seat && Record.Seat->Group == Name;
  if (UnderWay || contains(Record.Loaded, Model) || In.model(Model) == nullptr)
    return;
  const GroupEpoch Epoch = nextEpoch(In);
  Pending[Record.Name] = {Epoch, Record.StartedAtMs, In.Now, false};
  In.order(Spare, JoinSeat{std::move(Name), Epoch, Model, {Record.Name}});
}

GroupEpoch Assembler::nextEpoch(const Pass &In) {
  return In.View.Fence * EpochsPerFence + ++Counter;
}

IdleDomain Assembler::idleDomain(const Pass &In, const DomainKey &Domain,
                                 const DomainState &State) const {
  IdleDomain Out;
  Out.Groups = State.Groups;
  for (const ServedModel &Each : In.Engine.Models)
    Out.Loading[Each.Name] = stagingIn(In, Domain, Each.Name);
  for (const KnownEndpoint *const Each : State.Free) {
    IdleEngine Idle{Each->Record.Name, std::nullopt};
    if (!Each->Record.Staged.empty())
      Idle.Has = Each->Record.Staged.back();
    Out.Idle.push_back(std::move(Idle));
  }
  return Out;
}

bool Assembler::stageAt(Pass &In, const KnownEndpoint &Where,
                        const ServedModel &Model) {
  if (!Pacer.admits(1, In.View.TrafficStarted, In.Now))
    return false;
  Pacer.begin(Where.Record.Name, In.loadTime(Model), In.Now);
  Staging[Where.Record.Name] = Model.Name;
  In.order(Where, StageModel{Model.Name});
  return true;
}

std::size_t Assembler::stagingIn(const Pass &In, const DomainKey &Domain,
                                 const ModelName &Model) const {
  return static_cast<std::size_t>(
      std::count_if(Staging.begin(), Staging.end(), [&](const auto &Entry) {
        const KnownEndpoint *const Its = In.View.Endpoints.find(Entry.first);
        return Entry.second == Model && Its != nullptr &&
               Its->Record.DataCentre == Domain.first &&
               Its->Record.Domain == Domain.second;
      }));
}

} // namespace coltsfoottrail
