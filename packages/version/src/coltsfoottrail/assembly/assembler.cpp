#include "coltsfoottrail/assembly/assembler.hpp"

#include "coltsfoottrail/assembly/groupname.hpp"
#include "coltsfoottrail/core/overloaded.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Epochs of one fencing number; groups formed in one term stay far below.
constexpr std::uint64_t EpochsPerFence = std::uint64_t{1} << 20U;
/// Loads before the first caller take a tenth of their time; a bound of the
/// platform.
constexpr int EarlyLoadFactor = 10;
/// Time after which a load must have ended, as a multiple of its usual time:
/// the number of loads at once is kept, so that hardly anything slows them.
constexpr double LoadTimeFactor = 1.25;
/// How long an endpoint that did not answer counts as dead: by then its record
/// has lapsed, or it has published itself again.
constexpr Duration DeathLife = seconds(8);

bool contains(const std::vector<ModelName> &Models, const ModelName &Which) {
  return std::find(Models.begin(), Models.end(), Which) != Models.end();
}

/// What it takes an engine to join: the less, the sooner the group serves.
enum class JoinCost : std::uint8_t { Kept, Staged, Load };

JoinCost joinCost(const EndpointRecord &Of, const ModelName &Model) {
  if (contains(Of.Loaded, Model))
    return JoinCost::Kept;
  return contains(Of.Staged, Model) ? JoinCost::Staged : JoinCost::Load;
}

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

/// What one call of plan() works with.
struct Assembler::Pass {
  const AssemblyView &View;
  const EngineProfile &Engine;
  TimePoint Now;
  std::vector<SeatCommand> Out;

  [[nodiscard]] const ServedModel *model(const ModelName &Name) const {
    for (const ServedModel &Each : Engine.Models)
      if (Each.Name == Name)
        return &Each;
    return nullptr;
  }
  void order(const KnownEndpoint &To, SeatOrder What) {
    Out.push_back({To.Record.Name, To.Record.Address, std::move(What)});
  }
  [[nodiscard]] Duration loadTime(const ServedModel &Of) const {
    const milliseconds Plain =
        View.CallersBegun ? Of.LoadTime : Of.LoadTime / EarlyLoadFactor;
    return std::chrono::duration_cast<Duration>(Plain * LoadTimeFactor);
  }
};

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
  return View.CallersBegun || Now - BeganAt >= Times.LongestSettle ||
         (Size > 0 && Now - GrewAt >= Times.FleetSettle);
}

std::vector<SeatCommand> Assembler::plan(const AssemblyView &View,
                                         TimePoint Now) {
  if (!View.Service.Engine || (Now < ActFrom && anySeat(View)))
    return {};
  Pass In{View, *View.Service.Engine, Now, {}};
  Pacer.bound(In.Engine.LoadsPerSecond, In.Engine.LoadsAtOnce);
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
    if (Known == nullptr || Known->Record.Born != Entry.second.Born)
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
    Of.Members[Seat.Rank] = {Name, Record.Born, Record.Address};
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
  return Found != Dead.end() && Found->second.Born == Of.Record.Born;
}

/// Whether a member is there, in the same life, and seated in this group.
bool Assembler::holds(const Pass &In, const Member &Of,
                      GroupEpoch Epoch) const {
  const KnownEndpoint *const Known = In.View.Endpoints.find(Of.Name);
  if (Known == nullptr || Known->Record.Born != Of.Born || isDead(*Known))
    return false;
  const std::optional<Seating> Seat = seatOf(*Known);
  return Seat && Seat->Epoch == Epoch;
}

// Failure guarded against: a third of the engines is cut off from the store,
// their records lapse together, and nearly every group has lost a member by the
// records, while all of them serve. A member whose record is missing is asked;
// while it answers, its group is left alone. Gain: on a day with 84 of 296
// engines cut off for ten seconds, callers were served at 0.03 to 0.3 of their
// worth until the groups had been formed anew.
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

std::vector<MemberQuestion> Assembler::takeQuestions() {
  return std::exchange(Questions, {});
}

void Assembler::asked(const EndpointName &Which, bool Alive, TimePoint Now) {
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
  if (Known->Record.Born != Leader.Born || !Seat || Seat->Epoch != Of.Epoch) {
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
  if (In.Now < Of.JoinBy) {
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
// nothing has to be known of it. Gain: a group that lost its leader is whole
// again within 0.5 s; waiting until a silent leader is surely broken took 5.6
// s.
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

bool Assembler::isFree(const Pass &In, const KnownEndpoint &Of) const {
  const EndpointRecord &Record = Of.Record;
  if (Record.Service != In.View.Service.Name || Of.MissingUntil ||
      Record.State != EndpointState::Serving ||
      In.View.Drained.contains(Record.DataCentre))
    return false;
  if (Pending.contains(Record.Name) || LockedUntil.contains(Record.Name) ||
      isDead(Of) || Pacer.loads(Record.Name))
    return false;
  return !Record.Seat || isStandby(*Record.Seat) ||
         Retired.contains(Record.Seat->Epoch);
}

Assembler::FreeEndpoints Assembler::freeEndpoints(const Pass &In) const {
  FreeEndpoints Out;
  for (const auto &[Name, Known] : In.View.Endpoints.all())
    if (isFree(In, Known))
      Out[{Known.Record.DataCentre, Known.Record.Domain}].push_back(&Known);
  return Out;
}

/// For each model, the part of its wanted groups that is missing.
std::map<ModelName, double> Assembler::deficits(const Pass &In) const {
  double Usable = 0;
  for (const auto &[Name, Known] : In.View.Endpoints.all())
    if (Known.Record.Service == In.View.Service.Name &&
        Known.Record.State == EndpointState::Serving &&
        !In.View.Drained.contains(Known.Record.DataCentre))
      ++Usable;
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
    const double Groups = Usable * Each.Share / Each.Size;
    const double Wanted =
        std::max(1.0, mixesModels(In) ? std::floor(Groups) : std::ceil(Groups));
    Out[Each.Name] = (Wanted - Have[Each.Name]) / Wanted;
  }
  return Out;
}

/// Whether domains hold groups of several models, rather than of one each.
///
/// In a domain of one model whoever is left of a group can replace a member of
/// another without a load: with domains of nine, groups of four and three, and
/// two losses every three seconds, mixed domains earned a fifth less of what
/// users were owed. Where a domain has room for many small groups, those lose
/// little by being mixed in, and the few large groups are spread, so that a
/// dark domain takes one of them: with domains of 37, groups of 16 and 4, worth
/// of a quiet day 0.71 with one model each and 0.80 mixed.
bool Assembler::mixesModels(const Pass &In) {
  constexpr std::size_t SmallGroupsInADomain = 6;
  std::map<DomainKey, std::size_t> Sizes;
  std::size_t Largest = 0;
  for (const auto &[Name, Known] : In.View.Endpoints.all())
    if (Known.Record.Service == In.View.Service.Name) {
      const DomainKey Its{Known.Record.DataCentre, Known.Record.Domain};
      Largest = std::max(Largest, ++Sizes[Its]);
    }
  const auto Smallest =
      std::min_element(In.Engine.Models.begin(), In.Engine.Models.end(),
                       [](const ServedModel &Left, const ServedModel &Right) {
                         return Left.Size < Right.Size;
                       });
  return Largest >= SmallGroupsInADomain * Smallest->Size;
}

std::optional<Assembler::Candidate>
Assembler::bestCandidate(const Pass &In, const FreeEndpoints &Free) const {
  const std::map<ModelName, double> Missing = deficits(In);
  const bool Mixing = mixesModels(In);
  std::optional<Candidate> Best;
  for (const auto &[Domain, Endpoints] : Free)
    for (const ServedModel &Model : In.Engine.Models) {
      const double Deficit = Missing.at(Model.Name);
      const std::size_t Kept =
          sparesKept(groupsIn(In, Domain), In.Engine.Models, Model);
      if (Endpoints.size() < Model.Size + Kept)
        continue;
      Candidate Next{&Model, Endpoints, 0, Deficit};
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
      if (Next.Loads > 0 && In.View.CallersBegun)
        continue;
      for (const auto &[Name, Count] : groupsIn(In, Domain))
        (Name == Model.Name ? Next.Alike : Next.Others) += Count;
      const auto Rank = [&](const Candidate &Of) {
        const auto Alike = std::ptrdiff_t(Of.Alike);
        if (Mixing)
          return std::tuple(Of.Loads > 0, Of.Deficit <= 0.0,
                            -double(Of.Model->Size), Alike, -Of.Deficit);
        return std::tuple(Of.Loads > 0, false, -Of.Deficit,
                          std::ptrdiff_t(Of.Others), -double(Alike));
      };
      if (!Best || Rank(Next) < Rank(*Best))
        Best = std::move(Next);
    }
  return Best;
}

void Assembler::form(Pass &In) {
  FreeEndpoints Free = freeEndpoints(In);
  while (const std::optional<Candidate> Chosen = bestCandidate(In, Free)) {
    start(In, *Chosen);
    const EndpointRecord &First = Chosen->Members.front()->Record;
    auto &Left = Free.at({First.DataCentre, First.Domain});
    std::erase_if(Left, [&](const KnownEndpoint *Each) {
      return std::find(Chosen->Members.begin(), Chosen->Members.end(), Each) !=
             Chosen->Members.end();
    });
  }
  stage(In, Free);
}

void Assembler::start(Pass &In, const Candidate &Chosen) {
  Group Of;
  Of.Epoch = nextEpoch(In);
  Of.Name = groupName(Chosen.Model->Name, Chosen.Members.front()->Record);
  Of.Model = Chosen.Model->Name;
  std::vector<EndpointName> Names;
  for (const KnownEndpoint *const Each : Chosen.Members) {
    Of.Members.push_back(
        {Each->Record.Name, Each->Record.Born, Each->Record.Address});
    Names.push_back(Each->Record.Name);
  }
  Duration Expected = Chosen.Model->WarmTime;
  if (Chosen.Loads > 0)
    Expected = std::max<Duration>(Expected, In.loadTime(*Chosen.Model));
  Of.JoinBy = In.Now + Expected * 2 + Times.JoinSlack;
  for (const KnownEndpoint *const Each : Chosen.Members) {
    if (joinCost(Each->Record, Of.Model) == JoinCost::Load)
      Pacer.begin(Each->Record.Name, In.loadTime(*Chosen.Model), In.Now);
    Pending[Each->Record.Name] = {Of.Epoch, Each->Record.Born, In.Now, false};
    In.order(*Each, JoinSeat{Of.Name, Of.Epoch, Of.Model, Names});
  }
  note(GroupFate::Formed, Of, Names.front(),
       Chosen.Loads > 0 ? "with loads" : "without loads");
  Groups.emplace(Of.Epoch, std::move(Of));
}

void Assembler::stage(Pass &In, const FreeEndpoints &Free) {
  std::erase_if(Staging,
                [&](const auto &Entry) { return !Pacer.loads(Entry.first); });
  const std::map<ModelName, double> Missing = deficits(In);
  std::vector<WantedLoad> Wanted;
  for (const auto &[Domain, Endpoints] : Free)
    for (WantedLoad &Each : planLoads(idleDomain(In, Domain, Endpoints),
                                      In.Engine.Models, Missing))
      Wanted.push_back(std::move(Each));
  std::stable_sort(Wanted.begin(), Wanted.end(),
                   [](const WantedLoad &Left, const WantedLoad &Right) {
                     return Left.Rank < Right.Rank;
                   });
  for (const WantedLoad &Each : Wanted)
    stageAt(In, *In.View.Endpoints.find(Each.Where), *In.model(Each.Model));
  for (const auto &[Domain, Endpoints] : Free)
    for (const KnownEndpoint *const Each : Endpoints)
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
  Pending[Record.Name] = {Epoch, Record.Born, In.Now, false};
  In.order(Spare, JoinSeat{std::move(Name), Epoch, Model, {Record.Name}});
}

GroupEpoch Assembler::nextEpoch(const Pass &In) {
  return In.View.Fence * EpochsPerFence + ++Counter;
}

IdleDomain
Assembler::idleDomain(const Pass &In, const DomainKey &Domain,
                      const std::vector<const KnownEndpoint *> &Free) const {
  IdleDomain Out;
  Out.Groups = groupsIn(In, Domain);
  for (const ServedModel &Each : In.Engine.Models)
    Out.Loading[Each.Name] = stagingIn(In, Domain, Each.Name);
  for (const KnownEndpoint *const Each : Free) {
    IdleEngine Idle{Each->Record.Name, std::nullopt};
    if (!Each->Record.Staged.empty())
      Idle.Has = Each->Record.Staged.back();
    Out.Idle.push_back(std::move(Idle));
  }
  return Out;
}

bool Assembler::stageAt(Pass &In, const KnownEndpoint &Where,
                        const ServedModel &Model) {
  if (!Pacer.admits(1, In.View.CallersBegun, In.Now))
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

std::map<ModelName, std::size_t>
Assembler::groupsIn(const Pass &In, const DomainKey &Domain) const {
  std::map<ModelName, std::size_t> Out;
  for (const auto &[Epoch, Of] : Groups) {
    const KnownEndpoint *const Leader =
        In.View.Endpoints.find(Of.Members.front().Name);
    if (Leader != nullptr && Leader->Record.DataCentre == Domain.first &&
        Leader->Record.Domain == Domain.second)
      ++Out[Of.Model];
  }
  return Out;
}

void Assembler::ordered(const EndpointName &To, const SeatOrder &Order,
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
  Dead[Which.Record.Name] = {Which.Record.Born, Now + DeathLife};
}

std::vector<EndpointName>
Assembler::membersWith(const EndpointName &Leader) const {
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
        ++Its.FreeWith[Model];
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

std::vector<GroupNote> Assembler::takeNotes() {
  return std::exchange(Notes, {});
}

void Assembler::note(GroupFate Fate, const Group &Of, const EndpointName &Cause,
                     std::string_view Why) {
  Notes.push_back({Fate, Of.Name, Of.Epoch, Of.Model, Cause, Why});
}

} // namespace coltsfoottrail
