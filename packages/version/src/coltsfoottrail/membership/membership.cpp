#include "coltsfoottrail/membership/membership.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

constexpr milliseconds CheckInterval{100};
constexpr std::uint32_t MaxTimeoutDoublings = 5;

} // namespace

Membership::Membership(const MembershipOptions &Settings)
    : Options(Settings), Generator(Settings.Seed), Ranks(Settings.Watchers) {}

milliseconds Membership::withJitter(milliseconds Span) {
  const auto RandomPart =
      static_cast<double>(Span.count()) * Generator.fraction();
  return Span / 2 + milliseconds(static_cast<std::int64_t>(RandomPart));
}

void Membership::applyState(const State &Agreed, TimePoint Now,
                            MembershipCommands &Out) {
  const auto OwnEntry = Agreed.EntryHosts.find(Options.Self.Host);
  const bool IsMember = OwnEntry != Agreed.EntryHosts.end() &&
                        OwnEntry->second.JoinRecord.Run == Options.Self.Run;
  // Failure guarded against: this run was suspended, and its peers have removed
  // it and taken over what it held. It must not continue under its old run, nor
  // append the old join again: what was granted to that run is void everywhere.
  if (Joined && !IsMember && !Ended) {
    Ended = true;
    if (!Leaving)
      Out.emplace_back(RunEnded{});
  }
  Joined = IsMember;
  std::map<HostName, Incarnation> NewMembers;
  for (const auto &[Name, Entry] : Agreed.EntryHosts)
    NewMembers.emplace(Name, Entry.JoinRecord.Run);
  if (NewMembers == Members)
    return;
  Members = std::move(NewMembers);
  updateWatchedHosts(Now);
  advance(Now, Out);
}

void Membership::updateWatchedHosts(TimePoint Now) {
  std::vector<HostName> Names;
  for (const auto &[Name, Run] : Members)
    Names.push_back(Name);
  Ranks.setMembers(Names);
  std::map<HostName, WatchedHost> NewWatched;
  for (const auto &[Name, Run] : Members) {
    if (Name == Options.Self.Host) {
      Watchers = Ranks.watchersOf(Name);
      continue;
    }
    if (!Ranks.watches(Options.Self.Host, Name))
      continue;
    const auto Previous = WatchedHosts.find(Name);
    WatchedHost Target;
    if (Previous != WatchedHosts.end() && Previous->second.Run == Run)
      Target = std::move(Previous->second);
    else
      Target.LastHeard = Now;
    Target.Run = Run;
    Target.Watchers = Ranks.watchersOf(Name);
    NewWatched.emplace(Name, std::move(Target));
  }
  for (const auto &[Name, Target] : WatchedHosts) {
    const auto Current = NewWatched.find(Name);
    const bool HasEnded =
        !Members.contains(Name) ||
        (Current != NewWatched.end() && Current->second.Run != Target.Run);
    if (HasEnded && !Target.Heard)
      ++UnheardRuns[Name];
  }
  WatchedHosts = std::move(NewWatched);
}

void Membership::applyHostList(std::span<const ListedHost> Hosts) {
  ListedLeaving.clear();
  ListedLive.clear();
  for (const ListedHost &Host : Hosts)
    (Host.Leaving ? ListedLeaving : ListedLive).insert(Host.Name);
}

milliseconds Membership::suspicionTimeout(const HostName &Host,
                                          const WatchedHost &Target) const {
  // Failure guarded against: two regions lose contact with each other while
  // both reach the log. Each removes the hosts of the other, these join again
  // under new runs, and would be removed again every few seconds.
  if (!Target.Heard) {
    const auto UnheardRunCount = UnheardRuns.find(Host);
    const std::uint32_t Count =
        UnheardRunCount == UnheardRuns.end()
            ? 0
            : std::min(UnheardRunCount->second, MaxTimeoutDoublings);
    return Options.SuspectUnheardAfter * (1U << Count);
  }
  const bool HasList = !ListedLive.empty();
  const bool ListedAsGone =
      ListedLeaving.contains(Host) || (HasList && !ListedLive.contains(Host));
  return ListedAsGone ? Options.SuspectListedAfter : Options.SuspectAfter;
}

void Membership::receive(const HostName &From, const MembershipMessage &Message,
                         TimePoint Now, MembershipCommands &Out) {
  std::visit([&](const auto &Kind) { handle(From, Kind, Now, Out); }, Message);
}

void Membership::handle(const HostName &From, const Heartbeat &Message,
                        TimePoint Now, MembershipCommands & /*Out*/) {
  const auto Entry = WatchedHosts.find(From);
  // A heartbeat of an earlier run says nothing about this one.
  if (Entry == WatchedHosts.end() || Entry->second.Run != Message.Run)
    return;
  Entry->second.LastHeard = std::max(Entry->second.LastHeard, Now);
  Entry->second.Heard = true;
  UnheardRuns.erase(From);
  clearSuspicion(Entry->second);
}

void Membership::handle(const HostName &From, const SuspicionQuery &Message,
                        TimePoint Now, MembershipCommands &Out) {
  const auto Entry = WatchedHosts.find(Message.Host);
  // A host that does not watch the suspect, or was suspended itself, cannot
  // tell.
  detectPause(Now);
  if (Entry == WatchedHosts.end() || Entry->second.Run != Message.Run)
    return;
  const WatchedHost &Target = Entry->second;
  const Duration Silence = Now - Target.LastHeard;
  const bool Heard = Target.Heard && Silence < Options.SuspectListedAfter;
  const bool Silent =
      Target.Heard ? !Heard : Silence >= suspicionTimeout(Message.Host, Target);
  if (!Heard && !Silent)
    return;
  Out.emplace_back(MembershipSend{
      From, SuspicionReply{Message.Number, Message.Host, Heard}});
}

void Membership::handle(const HostName &From, const SuspicionReply &Message,
                        TimePoint Now, MembershipCommands & /*Out*/) {
  const auto Entry = WatchedHosts.find(Message.Host);
  if (Entry == WatchedHosts.end() ||
      Entry->second.QueryNumber != Message.Number)
    return;
  if (!Message.Heard) {
    Entry->second.Agreeing.insert(From);
    return;
  }
  // Another watcher hears the host, so the path from here is at fault, not the
  // host.
  clearSuspicion(Entry->second);
  Entry->second.LastHeard = Now;
}

void Membership::handle(const HostName & /*From*/,
                        const FreshnessQuery & /*Message*/, TimePoint /*Now*/,
                        MembershipCommands & /*Out*/) {}

void Membership::handle(const HostName & /*From*/,
                        const FreshnessReply & /*Message*/, TimePoint /*Now*/,
                        MembershipCommands & /*Out*/) {}

void Membership::clearSuspicion(WatchedHost &Target) {
  Target.QueryNumber = 0;
  Target.Agreeing.clear();
  Target.AppendAt.reset();
  Target.Delay = milliseconds{0};
}

void Membership::leave(TimePoint Now, MembershipCommands &Out) {
  Leaving = true;
  OwnDelay = milliseconds{0};
  OwnAppendAt = Now;
  advance(Now, Out);
}

void Membership::appendOwnRecord(TimePoint Now, MembershipCommands &Out) {
  const bool IsNeeded = Leaving ? Joined : !Joined && !Ended;
  if (!IsNeeded)
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
  OwnAppendAt = Now + withJitter(2 * OwnDelay);
}

void Membership::sendHeartbeats(TimePoint Now, MembershipCommands &Out) {
  if (!Joined || Ended || Now < NextHeartbeat)
    return;
  NextHeartbeat = Now + Options.HeartbeatEvery;
  for (const HostName &Watcher : Watchers)
    Out.emplace_back(MembershipSend{Watcher, Heartbeat{Options.Self.Run}});
}

void Membership::detectPause(TimePoint Now) {
  // Failure guarded against: this host was suspended, and after waking up finds
  // all others silent. Since it was the one that was away, their time starts
  // anew.
  const bool WasSuspended = LastAdvance != TimePoint{} &&
                            Now - LastAdvance > Options.SuspectListedAfter / 2;
  LastAdvance = Now;
  if (!WasSuspended)
    return;
  for (auto &[Host, Target] : WatchedHosts) {
    Target.LastHeard = Now;
    clearSuspicion(Target);
  }
}

void Membership::advance(TimePoint Now, MembershipCommands &Out) {
  detectPause(Now);
  appendOwnRecord(Now, Out);
  sendHeartbeats(Now, Out);
  if (Joined && !Ended)
    for (auto &[Host, Target] : WatchedHosts)
      checkHost(Host, Target, Now, Out);
  NextWake = Now + CheckInterval;
}

std::size_t Membership::rankAmongWatchers(const WatchedHost &Target) const {
  const auto OwnPosition = std::find(Target.Watchers.begin(),
                                     Target.Watchers.end(), Options.Self.Host);
  return static_cast<std::size_t>(OwnPosition - Target.Watchers.begin());
}

bool Membership::hearsAtLeastHalf(TimePoint Now) const {
  std::size_t Heard = 0;
  for (const auto &[Host, Target] : WatchedHosts)
    Heard += Now - Target.LastHeard < Options.SuspectAfter ? 1 : 0;
  return 2 * Heard >= WatchedHosts.size();
}

bool Membership::mayAppend(const WatchedHost &Target, TimePoint Now) const {
  if (Now - Target.QuerySentAt < Options.ObjectionTime)
    return false;
  if (Target.Watchers.size() == 1)
    return true;
  // Failure guarded against: the network of this host, or of its region, is cut
  // off while it reaches the log, and it would remove all other hosts. So it
  // needs the confirmation of another watcher, and has to hear at least half of
  // the hosts that it watches. Where those are gone too, as with the loss of a
  // data centre, one of the two is enough, after a much longer time.
  const bool Confirmed = !Target.Agreeing.empty();
  if (Confirmed && hearsAtLeastHalf(Now))
    return true;
  return Now - Target.LastHeard >= Options.SoloRemovalAfter &&
         (Confirmed || hearsAtLeastHalf(Now));
}

void Membership::startSuspicion(const HostName &Host, WatchedHost &Target,
                                TimePoint Now, MembershipCommands &Out) {
  Target.QueryNumber = NextNumber++;
  Target.QuerySentAt = Now;
  for (const HostName &Other : Target.Watchers)
    if (Other != Options.Self.Host)
      Out.emplace_back(MembershipSend{
          Other, SuspicionQuery{Target.QueryNumber, Host, Target.Run}});
}

void Membership::checkHost(const HostName &Host, WatchedHost &Target,
                           TimePoint Now, MembershipCommands &Out) {
  if (Now - Target.LastHeard < suspicionTimeout(Host, Target)) {
    clearSuspicion(Target);
    return;
  }
  const bool QueryDue = Target.QueryNumber == 0 ||
                        (Target.Agreeing.empty() &&
                         Now - Target.QuerySentAt >= 3 * Options.ObjectionTime);
  if (QueryDue)
    startSuspicion(Host, Target, Now, Out);
  if (!mayAppend(Target, Now))
    return;
  if (!Target.AppendAt)
    Target.AppendAt =
        Now + withJitter(Options.AppendSpread) +
        Options.AppendStagger * static_cast<int>(rankAmongWatchers(Target));
  if (*Target.AppendAt > Now)
    return;
  Out.emplace_back(MembershipAppend{
      EntryHostLeft{Host, Target.Run},
      RemovalBasis{Now - Target.LastHeard, Target.Heard, Target.Agreeing.size(),
                   Target.Watchers.size()}});
  Target.Delay = std::min(Options.MaxRetry,
                          std::max(Options.RetryAfter * 4, Target.Delay * 2));
  Target.AppendAt = Now + withJitter(2 * Target.Delay);
}

} // namespace coltsfoottrail
