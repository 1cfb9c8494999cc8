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
  Items.emplace(Item.Which, Waiting{Which, Item, Sequence});
  ByLatestStart.emplace(std::pair(Item.LatestStart, Sequence), Item.Which);
  Line &Joined = lineOf(Owner, Item.Urgency);
  Joined.Order.emplace(Sequence, Item.Which);
  Joined.Cost += Item.Cost;
  WaitingCost += Item.Cost;
  Bytes += Item.Bytes;
  Owner.Bytes += Item.Bytes;
  if (Owner.Waiting++ == 0)
    WaitingWeight += Owner.Share.Weight;
  place(Which);
}

std::optional<Ticket> FairQueue::pop() {
  if (Ready.empty())
    return std::nullopt;
  const TeamId Which = Ready.begin()->second;
  Team &Owner = at(Which);
  const Ticket Next = nextLine(Owner).Order.begin()->second;
  const auto Entry = Items.find(Next);
  const double Cost = Entry->second.Item.Cost;
  unplace(Which);
  takeOut(Entry);
  charge(Owner, Cost);
  place(Which);
  return Next;
}

// Failure guarded against: a steady stream of urgent requests keeps a batch
// request of the same team waiting until its deadline. After PassOverLimit
// requests of higher priority the lower one goes first.
FairQueue::Line &FairQueue::nextLine(Team &Owner) const {
  std::size_t Chosen = Classes;
  for (std::size_t Class = Classes; Class-- > 0;) {
    const Line &Candidate = Owner.Lines[Class];
    if (Candidate.Order.empty())
      continue;
    if (Chosen == Classes || Candidate.PassedOver >= Limits.PassOverLimit)
      Chosen = Class;
  }
  for (std::size_t Class = 0; Class < Chosen; ++Class)
    if (!Owner.Lines[Class].Order.empty())
      ++Owner.Lines[Class].PassedOver;
  Owner.Lines[Chosen].PassedOver = 0;
  return Owner.Lines[Chosen];
}

void FairQueue::charge(Team &Owner, double Cost) {
  const double Start = std::max(VirtualTime, Owner.Finish);
  VirtualTime = std::max(VirtualTime, Start);
  Owner.Finish = Start + Cost / Owner.Share.Weight;
  ++Owner.InFlight;
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
  }
  if (Items.empty()) {
    WaitingWeight = 0.0;
    WaitingCost = 0.0;
  }
}

bool FairQueue::mayPass(TeamId Which) const {
  const Team &Owner = at(Which);
  return Ready.empty() && Owner.InFlight < Owner.Share.MaxInFlight;
}

void FairQueue::pass(TeamId Which, double Cost) { charge(at(Which), Cost); }

void FairQueue::ended(TeamId Which) {
  --at(Which).InFlight;
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

std::vector<Ticket> FairQueue::hopeless(Throughput Speed, TimePoint Now) const {
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
  if (Owner.InReady || Owner.Waiting == 0 ||
      Owner.InFlight >= Owner.Share.MaxInFlight)
    return;
  Owner.Start = std::max(VirtualTime, Owner.Finish);
  Owner.InReady = true;
  Ready.emplace(Owner.Start, Which);
}

void FairQueue::unplace(TeamId Which) {
  Team &Owner = at(Which);
  if (!Owner.InReady)
    return;
  Ready.erase({Owner.Start, Which});
  Owner.InReady = false;
}

} // namespace coltsfoottrail
