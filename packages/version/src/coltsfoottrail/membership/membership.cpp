#include "coltsfoottrail/membership/membership.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr milliseconds CheckEvery{100};
constexpr std::uint32_t MaxDoublings = 5;

} // namespace

Membership::Membership(const MembershipOptions &Limits)
    : Options(Limits), Draw(Limits.Seed), Ranks(Limits.Watchers) {}

milliseconds Membership::withRandom(milliseconds Span) {
  const auto Part = static_cast<double>(Span.count()) * Draw.fraction();
  return Span / 2 + milliseconds(static_cast<std::int64_t>(Part));
}

void Membership::state(const State &Agreed, TimePoint Now,
                       MembershipCommands &Out) {
  const auto Own = Agreed.EntryHosts.find(Options.Self.Host);
  const bool There = Own != Agreed.EntryHosts.end() &&
                     Own->second.JoinRecord.Run == Options.Self.Run;
  // Failure guarded against: this run slept, its peers found it gone and have
  // taken over what it held. It must not go on under its old run, nor append
  // the old join again: what was granted to that run is void for all.
  if (Joined && !There && !Ended) {
    Ended = true;
    if (!Leaving)
      Out.emplace_back(RunEnded{});
  }
  Joined = There;
  std::map<HostName, Incarnation> Next;
  for (const auto &[Name, Known] : Agreed.EntryHosts)
    Next.emplace(Name, Known.JoinRecord.Run);
  if (Next == Members)
    return;
  Members = std::move(Next);
  choose(Now);
  advance(Now, Out);
}

void Membership::choose(TimePoint Now) {
  std::vector<HostName> All;
  for (const auto &[Name, Run] : Members)
    All.push_back(Name);
  Ranks.members(All);
  std::map<HostName, Watch> Next;
  for (const auto &[Name, Run] : Members) {
    if (Name == Options.Self.Host) {
      Watchers = Ranks.of(Name);
      continue;
    }
    if (!Ranks.watches(Options.Self.Host, Name))
      continue;
    const auto Known = Watched.find(Name);
    Watch Kept;
    if (Known != Watched.end() && Known->second.Run == Run)
      Kept = std::move(Known->second);
    else
      Kept.LastHeard = Now;
    Kept.Run = Run;
    Kept.Watchers = Ranks.of(Name);
    Next.emplace(Name, std::move(Kept));
  }
  for (const auto &[Name, Kept] : Watched) {
    const auto Still = Next.find(Name);
    const bool Over = !Members.contains(Name) ||
                      (Still != Next.end() && Still->second.Run != Kept.Run);
    if (Over && !Kept.Heard)
      ++UnheardRuns[Name];
  }
  Watched = std::move(Next);
}

void Membership::listed(std::span<const ListedHost> Hosts) {
  ListedLeaving.clear();
  ListedLive.clear();
  for (const ListedHost &Host : Hosts)
    (Host.Leaving ? ListedLeaving : ListedLive).insert(Host.Name);
}

milliseconds Membership::patience(const HostName &Host,
                                  const Watch &Kept) const {
  // Failure guarded against: two regions lose each other while both reach the
  // log. Each finds the other's hosts gone, they join again under new runs, and
  // would be found gone anew every few seconds.
  if (!Kept.Heard) {
    const auto Before = UnheardRuns.find(Host);
    const std::uint32_t Count = Before == UnheardRuns.end()
                                    ? 0
                                    : std::min(Before->second, MaxDoublings);
    return Options.SuspectUnheardAfter * (1U << Count);
  }
  const bool HasList = !ListedLive.empty();
  const bool Gone =
      ListedLeaving.contains(Host) || (HasList && !ListedLive.contains(Host));
  return Gone ? Options.SuspectListedAfter : Options.SuspectAfter;
}

void Membership::received(const HostName &From,
                          const MembershipMessage &Message, TimePoint Now,
                          MembershipCommands &Out) {
  std::visit([&](const auto &Kind) { handle(From, Kind, Now, Out); }, Message);
}

void Membership::handle(const HostName &From, const Heartbeat &Message,
                        TimePoint Now, MembershipCommands & /*Out*/) {
  const auto Found = Watched.find(From);
  // A heartbeat of an earlier run says nothing of this one.
  if (Found == Watched.end() || Found->second.Run != Message.Run)
    return;
  Found->second.LastHeard = std::max(Found->second.LastHeard, Now);
  Found->second.Heard = true;
  UnheardRuns.erase(From);
  clear(Found->second);
}

void Membership::handle(const HostName &From, const SuspectAsk &Message,
                        TimePoint Now, MembershipCommands &Out) {
  const auto Found = Watched.find(Message.Host);
  // Whoever does not watch the host, or was asleep itself, cannot tell.
  noticePause(Now);
  if (Found == Watched.end() || Found->second.Run != Message.Run)
    return;
  const Watch &Kept = Found->second;
  const Duration Silence = Now - Kept.LastHeard;
  const bool Heard = Kept.Heard && Silence < Options.SuspectListedAfter;
  const bool Silent =
      Kept.Heard ? !Heard : Silence >= patience(Message.Host, Kept);
  if (!Heard && !Silent)
    return;
  Out.emplace_back(
      MembershipSend{From, SuspectAnswer{Message.Number, Message.Host, Heard}});
}

void Membership::handle(const HostName &From, const SuspectAnswer &Message,
                        TimePoint Now, MembershipCommands & /*Out*/) {
  const auto Found = Watched.find(Message.Host);
  if (Found == Watched.end() || Found->second.AskNumber != Message.Number)
    return;
  if (!Message.Heard) {
    Found->second.Agreeing.insert(From);
    return;
  }
  // Another watcher hears it: the path from here is at fault, not the host.
  clear(Found->second);
  Found->second.LastHeard = Now;
}

void Membership::handle(const HostName & /*From*/, const FreshAsk & /*Message*/,
                        TimePoint /*Now*/, MembershipCommands & /*Out*/) {}

void Membership::handle(const HostName & /*From*/,
                        const FreshAnswer & /*Message*/, TimePoint /*Now*/,
                        MembershipCommands & /*Out*/) {}

void Membership::clear(Watch &Kept) {
  Kept.AskNumber = 0;
  Kept.Agreeing.clear();
  Kept.AppendAt.reset();
  Kept.Delay = milliseconds{0};
}

void Membership::leave(TimePoint Now, MembershipCommands &Out) {
  Leaving = true;
  OwnDelay = milliseconds{0};
  OwnAppendAt = Now;
  advance(Now, Out);
}

void Membership::appendOwn(TimePoint Now, MembershipCommands &Out) {
  const bool Wanted = Leaving ? Joined : !Joined && !Ended;
  if (!Wanted)
    return;
  if (OwnAppendAt && *OwnAppendAt > Now)
    return;
  if (Leaving)
    Out.emplace_back(
        MembershipAppend{EntryHostLeft{Options.Self.Host, Options.Self.Run}});
  else
    Out.emplace_back(MembershipAppend{Options.Self});
  OwnDelay =
      std::min(Options.MaxRetry, std::max(Options.RetryAfter, OwnDelay * 2));
  OwnAppendAt = Now + withRandom(2 * OwnDelay);
}

void Membership::beat(TimePoint Now, MembershipCommands &Out) {
  if (!Joined || Ended || Now < NextBeat)
    return;
  NextBeat = Now + Options.HeartbeatEvery;
  for (const HostName &Watcher : Watchers)
    Out.emplace_back(MembershipSend{Watcher, Heartbeat{Options.Self.Run}});
}

void Membership::noticePause(TimePoint Now) {
  // Failure guarded against: this host slept, and on waking finds all others
  // silent. It is the one that was away; they get their time anew.
  const bool Slept = LastAdvance != TimePoint{} &&
                     Now - LastAdvance > Options.SuspectListedAfter / 2;
  LastAdvance = Now;
  if (!Slept)
    return;
  for (auto &[Host, Kept] : Watched) {
    Kept.LastHeard = Now;
    clear(Kept);
  }
}

void Membership::advance(TimePoint Now, MembershipCommands &Out) {
  noticePause(Now);
  appendOwn(Now, Out);
  beat(Now, Out);
  if (Joined && !Ended)
    for (auto &[Host, Kept] : Watched)
      check(Host, Kept, Now, Out);
  NextWake = Now + CheckEvery;
}

std::size_t Membership::rankAmong(const Watch &Kept) const {
  const auto Own =
      std::find(Kept.Watchers.begin(), Kept.Watchers.end(), Options.Self.Host);
  return static_cast<std::size_t>(Own - Kept.Watchers.begin());
}

bool Membership::hearsMost(TimePoint Now) const {
  std::size_t Heard = 0;
  for (const auto &[Host, Kept] : Watched)
    Heard += Now - Kept.LastHeard < Options.SuspectAfter ? 1 : 0;
  return 2 * Heard >= Watched.size();
}

bool Membership::mayAppend(const Watch &Kept, TimePoint Now) const {
  if (Now - Kept.AskedAt < Options.ObjectWithin)
    return false;
  if (Kept.Watchers.size() == 1)
    return true;
  // Failure guarded against: this host's own network, or that of its region, is
  // cut while it reaches the log, and it would declare all others gone. It
  // needs another watcher's word, and to hear most of the hosts that it
  // watches. Where those are gone too, as with a data centre, one of the two is
  // enough, much later.
  const bool Agreed = !Kept.Agreeing.empty();
  if (Agreed && hearsMost(Now))
    return true;
  return Now - Kept.LastHeard >= Options.AloneAfter &&
         (Agreed || hearsMost(Now));
}

void Membership::suspect(const HostName &Host, Watch &Kept, TimePoint Now,
                         MembershipCommands &Out) {
  Kept.AskNumber = NextNumber++;
  Kept.AskedAt = Now;
  for (const HostName &Other : Kept.Watchers)
    if (Other != Options.Self.Host)
      Out.emplace_back(
          MembershipSend{Other, SuspectAsk{Kept.AskNumber, Host, Kept.Run}});
}

void Membership::check(const HostName &Host, Watch &Kept, TimePoint Now,
                       MembershipCommands &Out) {
  if (Now - Kept.LastHeard < patience(Host, Kept)) {
    clear(Kept);
    return;
  }
  const bool AskAgain =
      Kept.AskNumber == 0 ||
      (Kept.Agreeing.empty() && Now - Kept.AskedAt >= 3 * Options.ObjectWithin);
  if (AskAgain)
    suspect(Host, Kept, Now, Out);
  if (!mayAppend(Kept, Now))
    return;
  if (!Kept.AppendAt)
    Kept.AppendAt = Now + withRandom(Options.AppendSpread) +
                    Options.AppendStagger * static_cast<int>(rankAmong(Kept));
  if (*Kept.AppendAt > Now)
    return;
  Out.emplace_back(MembershipAppend{
      EntryHostLeft{Host, Kept.Run},
      RemovalBasis{Now - Kept.LastHeard, Kept.Heard, Kept.Agreeing.size(),
                   Kept.Watchers.size()}});
  Kept.Delay = std::min(Options.MaxRetry,
                        std::max(Options.RetryAfter * 4, Kept.Delay * 2));
  Kept.AppendAt = Now + withRandom(2 * Kept.Delay);
}

} // namespace coltsfoottrail
