#include "coltsfoottrail/queues/fairqueue.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// Fraction of the queue that one team cannot fill when there are others.
constexpr double ReservedForOthers = 0.125;

Duration toDuration(double Seconds) {
  constexpr double MaxSeconds = 86400.0;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, MaxSeconds)));
}

} // namespace

FairQueue::FairQueue(QueueLimits Bounds) : Limits(Bounds) {}

FairQueue::Team &FairQueue::teamState(TeamId Id) {
  return Teams[static_cast<std::size_t>(Id)];
}

const FairQueue::Team &FairQueue::teamState(TeamId Id) const {
  return Teams[static_cast<std::size_t>(Id)];
}

FairQueue::PriorityQueue &FairQueue::priorityQueue(Team &Owner,
                                                   Priority Urgency) {
  return Owner.Priorities[static_cast<std::size_t>(Urgency)];
}

TeamId FairQueue::team(const TeamName &Name, std::size_t LevelIndex) {
  const auto [Entry, Added] = ByName.try_emplace(Name, ByAccount.size());
  if (Added)
    ByAccount.emplace_back();
  std::vector<TeamId> &Account = ByAccount[Entry->second];
  for (const TeamId Id : Account)
    if (teamState(Id).LevelIndex == LevelIndex)
      return Id;
  Team NewTeam;
  NewTeam.LevelIndex = LevelIndex;
  NewTeam.Account = Entry->second;
  if (!Account.empty())
    NewTeam.Share = teamState(Account.front()).Share;
  Account.push_back(static_cast<TeamId>(Teams.size()));
  Teams.push_back(NewTeam);
  if (Levels.size() <= LevelIndex)
    Levels.resize(LevelIndex + 1);
  return Account.back();
}

std::uint32_t FairQueue::accountInFlight(const Team &Owner) const {
  std::uint32_t Sum = 0;
  for (const TeamId Id : ByAccount[Owner.Account])
    Sum += teamState(Id).InFlight;
  return Sum;
}

bool FairQueue::isBelowLimit(const Team &Owner) const {
  return accountInFlight(Owner) < Owner.Share.MaxInFlight;
}

/// Updates in which lists a team is, on all levels, after its limit or its
/// requests in progress have changed.
void FairQueue::updateReadyLists(const Team &Owner) {
  const bool BelowLimit = isBelowLimit(Owner);
  for (const TeamId Id : ByAccount[Owner.Account]) {
    if (BelowLimit)
      addToReadyList(Id);
    else
      removeFromReadyList(Id);
  }
}

void FairQueue::setTeam(TeamId Id, TeamShare Share) {
  for (const TeamId Entry : ByAccount[teamState(Id).Account]) {
    Team &Owner = teamState(Entry);
    Level &Shared = levelOf(Owner);
    if (Owner.Waiting > 0)
      Shared.WaitingWeight += Share.Weight - Owner.Share.Weight;
    if (Owner.Active)
      Shared.ActiveWeight += Share.Weight - Owner.Share.Weight;
    Owner.Share = Share;
  }
  updateReadyLists(teamState(Id));
}

double FairQueue::waitingWeightWith(const Team &JoiningTeam) const {
  const double Weight = levelOf(JoiningTeam).WaitingWeight;
  return JoiningTeam.Waiting > 0 ? Weight : Weight + JoiningTeam.Share.Weight;
}

// Failure guarded against: one team fills the whole queue and every other
// team's request is refused as overloaded. A team may hold its fair share, or
// as much as is still free, whichever is more, but never the last eighth.
bool FairQueue::fits(std::size_t Used, std::size_t Total, std::size_t Added,
                     std::size_t Max, double ShareFraction) const {
  const double Capacity = static_cast<double>(Max);
  const double Free = static_cast<double>(Max - std::min(Total, Max));
  double Allowed = std::max(ShareFraction * Capacity, Free);
  if (Teams.size() > 1)
    Allowed =
        std::min(Allowed, std::max(1.0, (1.0 - ReservedForOthers) * Capacity));
  return static_cast<double>(Used + Added) <= Allowed;
}

std::optional<Reason> FairQueue::refusal(TeamId Id,
                                         std::size_t AddedBytes) const {
  if (size() >= Limits.MaxWaiting || Bytes + AddedBytes > Limits.MaxBytes)
    return Reason::Overloaded;
  const Team &Owner = teamState(Id);
  const double ShareFraction = Owner.Share.Weight / waitingWeightWith(Owner);
  if (!fits(Owner.Waiting, size(), 1, Limits.MaxWaiting, ShareFraction) ||
      !fits(Owner.Bytes, Bytes, AddedBytes, Limits.MaxBytes, ShareFraction))
    return Reason::TeamOverLimit;
  return std::nullopt;
}

/// Cost of the requests that wait on the levels before one.
double FairQueue::costBefore(std::size_t LevelIndex) const {
  double Cost = 0.0;
  for (std::size_t Index = 0; Index < LevelIndex; ++Index)
    Cost += Levels[Index].WaitingCost;
  return Cost;
}

std::size_t FairQueue::waitingUpTo(std::size_t LevelIndex) const noexcept {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < Levels.size() && Index <= LevelIndex;
       ++Index)
    Count += Levels[Index].Waiting;
  return Count;
}

Duration FairQueue::estimatedWait(TeamId Id, Priority Urgency, double Cost,
                                  Throughput Speed) const {
  const Team &Owner = teamState(Id);
  double OwnCostAhead = 0.0;
  for (auto Index = static_cast<std::size_t>(Urgency); Index < PriorityCount;
       ++Index)
    OwnCostAhead += Owner.Priorities[Index].Cost;
  const double ShareFraction = Owner.Share.Weight / waitingWeightWith(Owner);
  const double CostAhead =
      costBefore(Owner.LevelIndex) +
      std::min(levelOf(Owner).WaitingCost, OwnCostAhead / ShareFraction);
  const double PoolWait =
      (CostAhead + Cost) * Speed.SecondsPerCost / Speed.Slots;
  if (isBelowLimit(Owner))
    return toDuration(PoolWait);
  const double LimitWait =
      (OwnCostAhead + Cost) * Speed.SecondsPerCost / Owner.Share.MaxInFlight;
  return toDuration(std::max(PoolWait, LimitWait));
}

void FairQueue::push(TeamId Id, const QueueItem &Item) {
  Team &Owner = teamState(Id);
  const std::uint64_t Sequence = NextSequence++;
  Items.emplace(Item.Id, Waiting{Id, Item, Sequence});
  ByLatestStart.emplace(std::pair(Item.LatestStart, Sequence), Item.Id);
  PriorityQueue &Joined = priorityQueue(Owner, Item.Urgency);
  Joined.ByArrival.emplace(Sequence, Item.Id);
  Joined.Cost += Item.Cost;
  Level &Shared = levelOf(Owner);
  Shared.WaitingCost += Item.Cost;
  ++Shared.Waiting;
  Bytes += Item.Bytes;
  Owner.Bytes += Item.Bytes;
  if (Owner.Waiting++ == 0)
    Shared.WaitingWeight += Owner.Share.Weight;
  updateActive(Owner);
  addToReadyList(Id);
}

/// Slots that a team may use without regard to others: somewhat more than its
/// share, since the requests of all teams arrive unevenly.
double FairQueue::fairSlots(const Team &Owner) const {
  const double Share = Slots * Owner.Share.Weight / levelOf(Owner).ActiveWeight;
  return std::max(1.0, Limits.ShareSlack * Share);
}

bool FairQueue::isAboveShare(const Team &Owner) const {
  return Slots > 0.0 && levelOf(Owner).ActiveCount > 1 &&
         Owner.InFlight >= fairSlots(Owner);
}

/// Whether a team above its share has to leave the free slots to the others.
bool FairQueue::mustYield(const Team &Owner) const {
  const double Reserved =
      std::min(Limits.ReservedSlotRatio *
                   (levelOf(Owner).SlotsWithinShare - Owner.SlotsWithinShare),
               Limits.MaxReservedFraction * Slots);
  return FreeSlots <= Reserved;
}

/// Updates the count of requests in progress that are within their team's
/// share.
void FairQueue::updateSlotsWithinShare(Team &Owner) {
  Level &Shared = levelOf(Owner);
  Shared.SlotsWithinShare -= Owner.SlotsWithinShare;
  Owner.SlotsWithinShare = Owner.InFlight;
  if (isAboveShare(Owner))
    Owner.SlotsWithinShare = fairSlots(Owner);
  Shared.SlotsWithinShare += Owner.SlotsWithinShare;
}

// Failure guarded against: a team at ten times its share takes every slot as
// soon as it is free. The other teams' requests start soon, but only wherever a
// slot happens to be free, on endpoints that are full and have not cached their
// prefix, and their response times double. A team above its share leaves as
// many slots free as the others use.
std::optional<TeamId> FairQueue::nextTeam(std::size_t LevelIndex) {
  ReadyTeams &WithinShare = Levels[LevelIndex].WithinShare;
  ReadyTeams &AboveShare = Levels[LevelIndex].AboveShare;
  while (!WithinShare.empty()) {
    const TeamId Id = WithinShare.begin()->second;
    if (!isAboveShare(teamState(Id)))
      break;
    const auto Moved = WithinShare.extract(WithinShare.begin());
    AboveShare.insert(Moved.value());
    teamState(Id).InList = ReadyList::AboveShare;
  }
  const bool MayServeAboveShare =
      !AboveShare.empty() && !mustYield(teamState(AboveShare.begin()->second));
  if (MayServeAboveShare &&
      (WithinShare.empty() || *AboveShare.begin() < *WithinShare.begin()))
    return AboveShare.begin()->second;
  if (WithinShare.empty())
    return std::nullopt;
  return WithinShare.begin()->second;
}

/// The first level with a request that may start.
std::optional<std::size_t> FairQueue::nextLevel() {
  for (std::size_t Index = 0; Index < Levels.size(); ++Index)
    if (nextTeam(Index))
      return Index;
  return std::nullopt;
}

std::optional<Ticket> FairQueue::peek() {
  const std::optional<std::size_t> Index = nextLevel();
  return Index ? peek(*Index) : std::nullopt;
}

std::optional<Ticket> FairQueue::peek(std::size_t LevelIndex) {
  const std::optional<TeamId> Id =
      LevelIndex < Levels.size() ? nextTeam(LevelIndex) : std::nullopt;
  if (!Id)
    return std::nullopt;
  const Team &Owner = teamState(*Id);
  return Owner.Priorities[nextPriority(Owner)].ByArrival.begin()->second;
}

std::optional<Ticket> FairQueue::pop() {
  const std::optional<std::size_t> Index = nextLevel();
  return Index ? pop(*Index) : std::nullopt;
}

std::optional<Ticket> FairQueue::pop(std::size_t LevelIndex) {
  const std::optional<Ticket> Next = peek(LevelIndex);
  if (!Next)
    return std::nullopt;
  const TeamId Id = Items.at(*Next).Owner;
  Team &Owner = teamState(Id);
  const auto Entry = Items.find(*Next);
  const QueueItem Item = Entry->second.Item;
  countPassedOver(Owner, static_cast<std::size_t>(Item.Urgency));
  removeFromReadyList(Id);
  removeWaiting(Entry);
  charge(Owner, Item.Cost);
  addToReadyList(Id);
  return Next;
}

// Failure guarded against: a steady stream of urgent requests keeps a batch
// request of the same team waiting until its deadline. After PassOverLimit
// requests of higher priority the lower one goes first.
std::size_t FairQueue::nextPriority(const Team &Owner) const {
  std::size_t Chosen = PriorityCount;
  for (std::size_t Index = PriorityCount; Index-- > 0;) {
    const PriorityQueue &Candidate = Owner.Priorities[Index];
    if (Candidate.ByArrival.empty())
      continue;
    if (Chosen == PriorityCount || Candidate.PassedOver >= Limits.PassOverLimit)
      Chosen = Index;
  }
  return Chosen;
}

void FairQueue::countPassedOver(Team &Owner, std::size_t Chosen) {
  for (std::size_t Index = 0; Index < Chosen; ++Index)
    if (!Owner.Priorities[Index].ByArrival.empty())
      ++Owner.Priorities[Index].PassedOver;
  Owner.Priorities[Chosen].PassedOver = 0;
}

void FairQueue::charge(Team &Owner, double Cost) {
  Level &Shared = levelOf(Owner);
  const double Start = std::max(Shared.VirtualTime, Owner.Finish);
  Shared.VirtualTime = std::max(Shared.VirtualTime, Start);
  Owner.Finish = Start + Cost / Owner.Share.Weight;
  ++Owner.InFlight;
  updateActive(Owner);
  updateSlotsWithinShare(Owner);
  if (!isBelowLimit(Owner))
    updateReadyLists(Owner);
}

/// Updates the weight and the number of the active teams.
void FairQueue::updateActive(Team &Owner) {
  const bool Active = Owner.Waiting > 0 || Owner.InFlight > 0;
  if (Active == Owner.Active)
    return;
  Owner.Active = Active;
  Level &Shared = levelOf(Owner);
  if (Active) {
    Shared.ActiveWeight += Owner.Share.Weight;
    ++Shared.ActiveCount;
    return;
  }
  --Shared.ActiveCount;
  Shared.ActiveWeight =
      Shared.ActiveCount == 0 ? 0.0 : Shared.ActiveWeight - Owner.Share.Weight;
}

void FairQueue::removeWaiting(
    std::unordered_map<Ticket, Waiting>::iterator Entry) {
  const Waiting &Removed = Entry->second;
  const TeamId Id = Removed.Owner;
  Team &Owner = teamState(Id);
  PriorityQueue &Remaining = priorityQueue(Owner, Removed.Item.Urgency);
  Remaining.ByArrival.erase(Removed.Sequence);
  Remaining.Cost =
      Remaining.ByArrival.empty() ? 0.0 : Remaining.Cost - Removed.Item.Cost;
  Bytes -= Removed.Item.Bytes;
  Owner.Bytes -= Removed.Item.Bytes;
  ByLatestStart.erase({Removed.Item.LatestStart, Removed.Sequence});
  Level &Shared = levelOf(Owner);
  Shared.WaitingCost -= Removed.Item.Cost;
  Items.erase(Entry);
  if (--Owner.Waiting == 0) {
    Shared.WaitingWeight -= Owner.Share.Weight;
    removeFromReadyList(Id);
    updateActive(Owner);
  }
  if (--Shared.Waiting == 0) {
    Shared.WaitingWeight = 0.0;
    Shared.WaitingCost = 0.0;
  }
}

bool FairQueue::mayBypass(TeamId Id) {
  const Team &Owner = teamState(Id);
  const bool MustYield =
      Owner.Active && isAboveShare(Owner) && mustYield(Owner);
  return !MustYield && !isHeldUp(Owner.LevelIndex) && isBelowLimit(Owner);
}

void FairQueue::setBlocking(std::size_t LevelIndex, bool Blocks) {
  if (Levels.size() <= LevelIndex)
    Levels.resize(LevelIndex + 1);
  Levels[LevelIndex].Blocks = Blocks;
}

/// Whether new requests of a level have to wait behind others.
bool FairQueue::isHeldUp(std::size_t LevelIndex) {
  for (std::size_t Index = 0; Index <= LevelIndex; ++Index)
    if ((Levels[Index].Blocks || Index == LevelIndex) && nextTeam(Index))
      return true;
  return false;
}

void FairQueue::bypass(TeamId Id, double Cost) { charge(teamState(Id), Cost); }

void FairQueue::requestEnded(TeamId Id) {
  Team &Owner = teamState(Id);
  --Owner.InFlight;
  updateActive(Owner);
  updateSlotsWithinShare(Owner);
  if (Owner.InList == ReadyList::AboveShare)
    removeFromReadyList(Id);
  updateReadyLists(Owner);
}

bool FairQueue::remove(Ticket Id) {
  const auto Entry = Items.find(Id);
  if (Entry == Items.end())
    return false;
  removeWaiting(Entry);
  return true;
}

std::optional<Ticket> FairQueue::popExpired(TimePoint Now) {
  if (ByLatestStart.empty() || ByLatestStart.begin()->first.first > Now)
    return std::nullopt;
  const Ticket Id = ByLatestStart.begin()->second;
  remove(Id);
  return Id;
}

std::vector<Ticket> FairQueue::unmeetable(Throughput Speed,
                                          TimePoint Now) const {
  std::vector<Ticket> Unmeetable;
  for (const Team &Owner : Teams) {
    const Level &Shared = levelOf(Owner);
    const double CostBefore = costBefore(Owner.LevelIndex);
    double CostAhead = 0.0;
    for (std::size_t Index = PriorityCount; Index-- > 0;)
      for (const auto &[Sequence, Id] : Owner.Priorities[Index].ByArrival) {
        const QueueItem &Item = Items.at(Id).Item;
        const double Work =
            CostBefore +
            std::min(Shared.WaitingCost,
                     CostAhead * Shared.WaitingWeight / Owner.Share.Weight);
        const Duration Wait =
            toDuration(Work * Speed.SecondsPerCost / Speed.Slots);
        if (Now + Wait > Item.LatestStart)
          Unmeetable.push_back(Id);
        else
          CostAhead += Item.Cost;
      }
  }
  return Unmeetable;
}

std::vector<Ticket> FairQueue::all() const {
  std::vector<Ticket> Result;
  Result.reserve(ByLatestStart.size());
  for (const auto &[Key, Id] : ByLatestStart)
    Result.push_back(Id);
  return Result;
}

std::optional<TimePoint> FairQueue::earliestExpiry() const {
  if (ByLatestStart.empty())
    return std::nullopt;
  return ByLatestStart.begin()->first.first;
}

std::uint32_t FairQueue::inFlight(TeamId Id) const {
  return teamState(Id).InFlight;
}

void FairQueue::addToReadyList(TeamId Id) {
  Team &Owner = teamState(Id);
  if (Owner.InList != ReadyList::None || Owner.Waiting == 0 ||
      !isBelowLimit(Owner))
    return;
  Level &Shared = levelOf(Owner);
  const bool IsAboveShare = isAboveShare(Owner);
  Owner.Start = std::max(Shared.VirtualTime, Owner.Finish);
  Owner.InList = IsAboveShare ? ReadyList::AboveShare : ReadyList::WithinShare;
  (IsAboveShare ? Shared.AboveShare : Shared.WithinShare)
      .emplace(Owner.Start, Id);
}

void FairQueue::removeFromReadyList(TeamId Id) {
  Team &Owner = teamState(Id);
  if (Owner.InList == ReadyList::None)
    return;
  Level &Shared = levelOf(Owner);
  (Owner.InList == ReadyList::AboveShare ? Shared.AboveShare
                                         : Shared.WithinShare)
      .erase({Owner.Start, Id});
  Owner.InList = ReadyList::None;
}

} // namespace coltsfoottrail
