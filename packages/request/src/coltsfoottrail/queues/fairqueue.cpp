#include "coltsfoottrail/queues/fairqueue.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// Part of the queue that is kept for the other teams when one fills it.
constexpr double KeptForOthers = 0.125;

Duration inSeconds(double Seconds) {
  constexpr double Longest = 86400.0;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(Seconds, Longest)));
}

} // namespace

FairQueue::FairQueue(QueueLimits Bounds) : Limits(Bounds) {}

FairQueue::Team &FairQueue::at(TeamId Which) {
  return Teams[static_cast<std::size_t>(Which)];
}

const FairQueue::Team &FairQueue::at(TeamId Which) const {
  return Teams[static_cast<std::size_t>(Which)];
}

FairQueue::Line &FairQueue::lineOf(Team &Owner, Priority Urgency) {
  return Owner.Lines[static_cast<std::size_t>(Urgency)];
}

TeamId FairQueue::team(const TeamName &Name) {
  const auto [Entry, Added] =
      ByName.try_emplace(Name, static_cast<TeamId>(Teams.size()));
  if (Added)
    Teams.emplace_back();
  return Entry->second;
}

void FairQueue::setTeam(TeamId Which, TeamShare Wanted) {
  Team &Owner = at(Which);
  if (Owner.Waiting > 0)
    WaitingWeight += Wanted.Weight - Owner.Share.Weight;
  if (Owner.Active)
    ActiveWeight += Wanted.Weight - Owner.Share.Weight;
  Owner.Share = Wanted;
  if (Owner.InFlight >= Wanted.MaxInFlight)
    unplace(Which);
  else
    place(Which);
}

double FairQueue::weightWaiting(const Team &Joining) const {
  return Joining.Waiting > 0 ? WaitingWeight
                             : WaitingWeight + Joining.Share.Weight;
}

// Failure guarded against: one team fills the whole queue and every other
// team's request is refused as overloaded. A team may hold its fair part, or as
// much as is still free, whichever is more, and never the last eighth.
bool FairQueue::fits(std::size_t Held, std::size_t Total, std::size_t More,
                     std::size_t Max, double Part) const {
  const double Whole = static_cast<double>(Max);
  const double Free = static_cast<double>(Max - std::min(Total, Max));
  double Allowed = std::max(Part * Whole, Free);
  if (Teams.size() > 1)
    Allowed = std::min(Allowed, std::max(1.0, (1.0 - KeptForOthers) * Whole));
  return static_cast<double>(Held + More) <= Allowed;
}

std::optional<Reason> FairQueue::refusal(TeamId Which,
                                         std::size_t MoreBytes) const {
  if (size() >= Limits.MaxWaiting || Bytes + MoreBytes > Limits.MaxBytes)
    return Reason::Overloaded;
  const Team &Owner = at(Which);
  const double Part = Owner.Share.Weight / weightWaiting(Owner);
  if (!fits(Owner.Waiting, size(), 1, Limits.MaxWaiting, Part) ||
      !fits(Owner.Bytes, Bytes, MoreBytes, Limits.MaxBytes, Part))
    return Reason::TeamOverLimit;
  return std::nullopt;
}

Duration FairQueue::estimatedWait(TeamId Which, Priority Urgency, double Cost,
                                  Throughput Speed) const {
  const Team &Owner = at(Which);
  double OwnAhead = 0.0;
  for (std::size_t Class = static_cast<std::size_t>(Urgency); Class < Classes;
       ++Class)
    OwnAhead += Owner.Lines[Class].Cost;
  const double Part = Owner.Share.Weight / weightWaiting(Owner);
  const double Ahead = std::min(WaitingCost, OwnAhead / Part);
  const double ByPool = (Ahead + Cost) * Speed.SecondsPerCost / Speed.Slots;
  if (Owner.InFlight < Owner.Share.MaxInFlight)
    return inSeconds(ByPool);
  const double ByLimit =
      (OwnAhead + Cost) * Speed.SecondsPerCost / Owner.Share.MaxInFlight;
  return inSeconds(std::max(ByPool, ByLimit));
}

void FairQueue::push(TeamId Which, const QueueItem &Item) {
  Team &Owner = at(Which);
  const std::uint64_t Sequence = NextSequence++;
  Items.emplace(Item.Id, Waiting{Which, Item, Sequence});
  ByLatestStart.emplace(std::pair(Item.LatestStart, Sequence), Item.Id);
  Line &Joined = lineOf(Owner, Item.Urgency);
  Joined.Order.emplace(Sequence, Item.Id);
  Joined.Cost += Item.Cost;
  WaitingCost += Item.Cost;
  Bytes += Item.Bytes;
  Owner.Bytes += Item.Bytes;
  if (Owner.Waiting++ == 0)
    WaitingWeight += Owner.Share.Weight;
  setActive(Owner);
  place(Which);
}

/// Places that a team may take without regard to others: some more than its
/// share, since all teams' requests come unevenly.
double FairQueue::fairPlaces(const Team &Owner) const {
  const double Share = Places * Owner.Share.Weight / ActiveWeight;
  return std::max(1.0, Limits.ShareSlack * Share);
}

bool FairQueue::isAbove(const Team &Owner) const {
  return Places > 0.0 && ActiveCount > 1 && Owner.InFlight >= fairPlaces(Owner);
}

/// Whether a team above its share has to leave the free places to the others.
bool FairQueue::mustLeave(const Team &Owner) const {
  const double Kept =
      std::min(Limits.ReservedSlotRatio * (InShare - Owner.InShare),
               Limits.MaxReservedFraction * Places);
  return FreePlaces <= Kept;
}

/// Brings the requests in progress within their team's share up to date.
void FairQueue::countInShare(Team &Owner) {
  InShare -= Owner.InShare;
  Owner.InShare = Owner.InFlight;
  if (isAbove(Owner))
    Owner.InShare = fairPlaces(Owner);
  InShare += Owner.InShare;
}

// Failure guarded against: a team at ten times its share takes every place the
// moment it is free. The others' requests start soon, but only where a place
// happens to be, on endpoints that are full and do not have their prefix, and
// their times double. A team above its share leaves as many places free as the
// others take.
std::optional<TeamId> FairQueue::nextTeam() {
  while (!Within.empty()) {
    const TeamId Which = Within.begin()->second;
    if (!isAbove(at(Which)))
      break;
    const auto Moved = Within.extract(Within.begin());
    Above.insert(Moved.value());
    at(Which).Stands = Standing::Above;
  }
  const bool MayAbove = !Above.empty() && !mustLeave(at(Above.begin()->second));
  if (MayAbove && (Within.empty() || *Above.begin() < *Within.begin()))
    return Above.begin()->second;
  if (Within.empty())
    return std::nullopt;
  return Within.begin()->second;
}

std::optional<Ticket> FairQueue::peek() {
  const std::optional<TeamId> Which = nextTeam();
  if (!Which)
    return std::nullopt;
  const Team &Owner = at(*Which);
  return Owner.Lines[nextClass(Owner)].Order.begin()->second;
}

std::optional<Ticket> FairQueue::pop() {
  const std::optional<Ticket> Next = peek();
  if (!Next)
    return std::nullopt;
  const TeamId Which = Items.at(*Next).Owner;
  Team &Owner = at(Which);
  const auto Entry = Items.find(*Next);
  const QueueItem Item = Entry->second.Item;
  passOver(Owner, static_cast<std::size_t>(Item.Urgency));
  unplace(Which);
  takeOut(Entry);
  charge(Owner, Item.Cost);
  place(Which);
  return Next;
}

// Failure guarded against: a steady stream of urgent requests keeps a batch
// request of the same team waiting until its deadline. After PassOverLimit
// requests of higher priority the lower one goes first.
std::size_t FairQueue::nextClass(const Team &Owner) const {
  std::size_t Chosen = Classes;
  for (std::size_t Class = Classes; Class-- > 0;) {
    const Line &Candidate = Owner.Lines[Class];
    if (Candidate.Order.empty())
      continue;
    if (Chosen == Classes || Candidate.PassedOver >= Limits.PassOverLimit)
      Chosen = Class;
  }
  return Chosen;
}

void FairQueue::passOver(Team &Owner, std::size_t Chosen) {
  for (std::size_t Class = 0; Class < Chosen; ++Class)
    if (!Owner.Lines[Class].Order.empty())
      ++Owner.Lines[Class].PassedOver;
  Owner.Lines[Chosen].PassedOver = 0;
}

void FairQueue::charge(Team &Owner, double Cost) {
  const double Start = std::max(VirtualTime, Owner.Finish);
  VirtualTime = std::max(VirtualTime, Start);
  Owner.Finish = Start + Cost / Owner.Share.Weight;
  ++Owner.InFlight;
  setActive(Owner);
  countInShare(Owner);
}

/// Brings the weight of the active teams up to date.
void FairQueue::setActive(Team &Owner) {
  const bool Active = Owner.Waiting > 0 || Owner.InFlight > 0;
  if (Active == Owner.Active)
    return;
  Owner.Active = Active;
  if (Active) {
    ActiveWeight += Owner.Share.Weight;
    ++ActiveCount;
    return;
  }
  --ActiveCount;
  ActiveWeight = ActiveCount == 0 ? 0.0 : ActiveWeight - Owner.Share.Weight;
}

void FairQueue::takeOut(std::unordered_map<Ticket, Waiting>::iterator Entry) {
  const Waiting &Gone = Entry->second;
  const TeamId Which = Gone.Owner;
  Team &Owner = at(Which);
  Line &Left = lineOf(Owner, Gone.Item.Urgency);
  Left.Order.erase(Gone.Sequence);
  Left.Cost = Left.Order.empty() ? 0.0 : Left.Cost - Gone.Item.Cost;
  Bytes -= Gone.Item.Bytes;
  Owner.Bytes -= Gone.Item.Bytes;
  ByLatestStart.erase({Gone.Item.LatestStart, Gone.Sequence});
  WaitingCost -= Gone.Item.Cost;
  Items.erase(Entry);
  if (--Owner.Waiting == 0) {
    WaitingWeight -= Owner.Share.Weight;
    unplace(Which);
    setActive(Owner);
  }
  if (Items.empty()) {
    WaitingWeight = 0.0;
    WaitingCost = 0.0;
  }
}

bool FairQueue::mayBypass(TeamId Which) {
  const Team &Owner = at(Which);
  const bool Kept = Owner.Active && isAbove(Owner) && mustLeave(Owner);
  return !Kept && !nextTeam() && Owner.InFlight < Owner.Share.MaxInFlight;
}

void FairQueue::bypass(TeamId Which, double Cost) { charge(at(Which), Cost); }

void FairQueue::requestEnded(TeamId Which) {
  Team &Owner = at(Which);
  --Owner.InFlight;
  setActive(Owner);
  countInShare(Owner);
  if (Owner.Stands == Standing::Above)
    unplace(Which);
  place(Which);
}

bool FairQueue::remove(Ticket Which) {
  const auto Entry = Items.find(Which);
  if (Entry == Items.end())
    return false;
  takeOut(Entry);
  return true;
}

std::optional<Ticket> FairQueue::popExpired(TimePoint Now) {
  if (ByLatestStart.empty() || ByLatestStart.begin()->first.first > Now)
    return std::nullopt;
  const Ticket Which = ByLatestStart.begin()->second;
  remove(Which);
  return Which;
}

std::vector<Ticket> FairQueue::unmeetable(Throughput Speed,
                                          TimePoint Now) const {
  std::vector<Ticket> Found;
  for (const Team &Owner : Teams) {
    double Ahead = 0.0;
    for (std::size_t Class = Classes; Class-- > 0;)
      for (const auto &[Sequence, Which] : Owner.Lines[Class].Order) {
        const QueueItem &Item = Items.at(Which).Item;
        const double Work =
            std::min(WaitingCost, Ahead * WaitingWeight / Owner.Share.Weight);
        const Duration Wait =
            inSeconds(Work * Speed.SecondsPerCost / Speed.Slots);
        if (Now + Wait > Item.LatestStart)
          Found.push_back(Which);
        else
          Ahead += Item.Cost;
      }
  }
  return Found;
}

std::vector<Ticket> FairQueue::all() const {
  std::vector<Ticket> Out;
  Out.reserve(ByLatestStart.size());
  for (const auto &[Key, Which] : ByLatestStart)
    Out.push_back(Which);
  return Out;
}

std::optional<TimePoint> FairQueue::earliestExpiry() const {
  if (ByLatestStart.empty())
    return std::nullopt;
  return ByLatestStart.begin()->first.first;
}

std::uint32_t FairQueue::inFlight(TeamId Which) const {
  return at(Which).InFlight;
}

void FairQueue::place(TeamId Which) {
  Team &Owner = at(Which);
  if (Owner.Stands != Standing::Out || Owner.Waiting == 0 ||
      Owner.InFlight >= Owner.Share.MaxInFlight)
    return;
  const bool IsAbove = isAbove(Owner);
  Owner.Start = std::max(VirtualTime, Owner.Finish);
  Owner.Stands = IsAbove ? Standing::Above : Standing::Within;
  (IsAbove ? Above : Within).emplace(Owner.Start, Which);
}

void FairQueue::unplace(TeamId Which) {
  Team &Owner = at(Which);
  if (Owner.Stands == Standing::Out)
    return;
  (Owner.Stands == Standing::Above ? Above : Within)
      .erase({Owner.Start, Which});
  Owner.Stands = Standing::Out;
}

} // namespace coltsfoottrail
