#include "coltsfoottrail/quarantine/quarantine.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// An answer that was sent before a crash arrives within this time after it.
constexpr Duration AnswerTransitTime = milliseconds(200);
/// Longest time from a crash to the load report that shows the restart.
constexpr Duration RestartReportDelay = seconds(120);
/// Number of crashes that are too few to tell one cause from two.
constexpr std::size_t AmbiguousCrashes = 2;

} // namespace

Standing Quarantine::standing(std::uint64_t Fingerprint, TimePoint Now) const {
  const auto Entry = Suspects.find(Fingerprint);
  if (Entry == Suspects.end() || Entry->second.Expires <= Now)
    return Standing::Clear;
  const std::vector<const Crash *> CrashList = countedCrashes(Entry->second);
  if (CrashList.empty())
    return Standing::Clear;
  const bool Blamed = isBlamed(CrashList);
  if (!Blamed && CrashList.size() < Limits.MaxUnsureCrashes)
    return Standing::Suspect;
  const TimePoint Newest =
      std::ranges::max(CrashList, {}, [](const Crash *Record) {
        return Record->Time;
      })->Time;
  const Duration Lifetime =
      Blamed ? Limits.BlamedLifetime : Limits.UnsureLifetime;
  return Now < Newest + Lifetime ? Standing::Quarantined : Standing::Suspect;
}

// Failure guarded against: a harmless request is moved from an endpoint that
// one request has crashed to one that another request crashes. It is the only
// one at both crashes and would be refused for what the others did.
bool Quarantine::isBlamed(std::span<const Crash *const> CrashList) const {
  if (CrashList.size() < Limits.CrashesToBlame || !isOnlyOneAtAll(CrashList))
    return false;
  const auto IsAlone = [](const Crash *Record) {
    return Record->InFlight.size() == 1;
  };
  return CrashList.size() > AmbiguousCrashes ||
         std::ranges::any_of(CrashList, IsAlone);
}

// Failure guarded against: several requests that crash endpoints come at once,
// and their crashes pass for an outage of the data centre again and again.
// Harmless requests do not return to endpoints for longer than an outage takes.
std::vector<const Quarantine::Crash *>
Quarantine::countedCrashes(const Suspect &Entry) const {
  std::vector<const Crash *> Counted;
  for (const CrashId Id : Entry.Crashes) {
    const Crash *const Record = Crashes.find(Id);
    if (Record != nullptr && Record->Dismissed != Dismissal::Alive &&
        !Parts.explains(Id))
      Counted.push_back(Record);
  }
  if (!isRecurrent(Counted))
    std::erase_if(Counted, [](const Crash *Record) {
      return Record->Dismissed == Dismissal::Outage;
    });
  return Counted;
}

bool Quarantine::isRecurrent(std::span<const Crash *const> CrashList) const {
  if (CrashList.size() < Limits.RecurrentCrashes)
    return false;
  const auto [First, Last] = std::ranges::minmax(
      CrashList, {}, [](const Crash *Record) { return Record->Time; });
  return Last->Time - First->Time > Limits.OutageWindow;
}

/// Whether exactly one request was in flight at all of the crashes.
bool Quarantine::isOnlyOneAtAll(std::span<const Crash *const> CrashList) {
  const auto IsAtAll = [&](std::uint64_t Fingerprint) {
    return std::ranges::all_of(CrashList, [&](const Crash *Record) {
      return Record->InFlight.contains(Fingerprint);
    });
  };
  return std::ranges::count_if(CrashList.front()->InFlight, IsAtAll) == 1;
}

void Quarantine::endpointLost(std::string_view EndpointKey,
                              const DataCentreName &DataCentre, Incarnation Run,
                              std::span<const std::uint64_t> InFlight,
                              TimePoint Now) {
  expire(Now);
  const CrashId Id = findOrAddCrash(EndpointKey, DataCentre, Run, Now);
  for (const std::uint64_t Fingerprint : InFlight) {
    Crash &Record = *Crashes.find(Id);
    if (Fingerprint == 0 || !Record.InFlight.insert(Fingerprint).second)
      continue;
    Record.Unannounced.push_back(Fingerprint);
    add(Id, Fingerprint);
  }
  dismissIfOutage(Id);
}

void Quarantine::suspectParts(std::string_view EndpointKey,
                              SuspectedRequest Request, TimePoint Now) {
  const auto Entry = LastCrashes.find(std::string(EndpointKey));
  if (Entry == LastCrashes.end())
    return;
  Crash &Record = *Crashes.find(Entry->second);
  if (Record.Dismissed == Dismissal::Alive)
    return;
  Parts.recordLost(Record.Time);
  Parts.suspect(Entry->second, Record.Time, Request, Now);
  Record.UnannouncedSuspects.push_back(std::move(Request));
}

// Failure guarded against: requests that were sent to the new run just before
// its first report arrived are blamed for the crash of the old one. If the
// crash has been recorded from broken connections, only the requests on these
// count.
bool Quarantine::endpointRestarted(std::string_view EndpointKey,
                                   const DataCentreName &DataCentre,
                                   Incarnation OldRun,
                                   std::span<const std::uint64_t> InFlight,
                                   TimePoint Now) {
  const Crash *const Last = lastCrash(EndpointKey);
  if (Last != nullptr && Now - Last->Time < RestartReportDelay &&
      (Last->Run == OldRun || Last->Run == 0))
    return false;
  endpointLost(EndpointKey, DataCentre, OldRun, InFlight, Now);
  return true;
}

const Quarantine::Crash *
Quarantine::lastCrash(std::string_view EndpointKey) const {
  const auto Entry = LastCrashes.find(std::string(EndpointKey));
  return Entry == LastCrashes.end() ? nullptr : Crashes.find(Entry->second);
}

/// Finds the crash that a loss belongs to, or records a new one.
CrashId Quarantine::findOrAddCrash(std::string_view EndpointKey,
                                   const DataCentreName &DataCentre,
                                   Incarnation Run, TimePoint Time) {
  const auto [Entry, Added] = LastCrashes.try_emplace(std::string(EndpointKey));
  if (!Added) {
    Crash *const Last = Crashes.find(Entry->second);
    const bool SameRun =
        Last != nullptr && (Last->Run == Run || Last->Run == 0 || Run == 0);
    if (SameRun && std::chrono::abs(Time - Last->Time) < Limits.CrashWindow)
      return Entry->second;
  }
  const CrashId Id = Crashes.insert(
      Crash{std::string(EndpointKey),
            DataCentre,
            Run,
            Time,
            {},
            {},
            {},
            Closed.contains(std::string(EndpointKey)) ? Dismissal::Alive
                                                      : Dismissal::None,
            false});
  Entry->second = Id;
  Order.push_back(Id);
  if (Crashes.find(Id)->Dismissed != Dismissal::Alive)
    Parts.addCrash(Id, Time);
  return Id;
}

// Failure guarded against: a data centre fails, every request in flight there
// is suspected, and after a second outage harmless requests are refused. When
// several endpoints of a data centre are lost at once, no request is suspected,
// unless one request was in flight at more than half of them.
void Quarantine::dismissIfOutage(CrashId Id) {
  Crash &Newest = *Crashes.find(Id);
  if (Newest.Dismissed != Dismissal::None)
    return;
  std::vector<Crash *> Simultaneous;
  for (const CrashId OtherId : Order) {
    Crash *const Other = Crashes.find(OtherId);
    if (Other->DataCentre == Newest.DataCentre &&
        std::chrono::abs(Newest.Time - Other->Time) <= Limits.OutageWindow)
      Simultaneous.push_back(Other);
  }
  if (Simultaneous.size() < Limits.OutageLosses)
    return;
  const auto DismissedCount = static_cast<std::size_t>(
      std::ranges::count_if(Simultaneous, [](const Crash *Record) {
        return Record->Dismissed != Dismissal::None;
      }));
  if (DismissedCount < Limits.OutageLosses && anyInMajority(Simultaneous))
    return;
  for (Crash *const Record : Simultaneous) {
    if (Record->Dismissed != Dismissal::None)
      continue;
    Record->Dismissed = Dismissal::Outage;
    if (OutageLosses.size() < Limits.MaxCrashes)
      OutageLosses.push_back(Record->EndpointKey);
  }
}

/// Whether some request was in flight at more than half of the crashes.
bool Quarantine::anyInMajority(std::span<Crash *const> CrashList) {
  std::unordered_map<std::uint64_t, std::size_t> Occurrences;
  for (const Crash *const Record : CrashList)
    for (const std::uint64_t Fingerprint : Record->InFlight)
      if (++Occurrences[Fingerprint] * 2 > CrashList.size())
        return true;
  return false;
}

void Quarantine::add(CrashId Id, std::uint64_t Fingerprint) {
  Suspect &Entry = Suspects[Fingerprint];
  if (!Entry.Crashes.empty())
    Expiries.erase({Entry.Expires, Entry.Order});
  Entry.Crashes.push_back(Id);
  const TimePoint Time = Crashes.find(Id)->Time;
  const bool Blamed = countedCrashes(Entry).size() >= Limits.CrashesToBlame;
  Entry.Expires =
      Time + (Blamed ? Limits.BlamedLifetime : Limits.SuspectLifetime);
  Entry.Order = NextOrder++;
  Expiries.emplace(std::pair(Entry.Expires, Entry.Order), Fingerprint);
  if (Suspects.size() > Limits.MaxFingerprints)
    forget(Expiries.begin()->second);
}

void Quarantine::forget(std::uint64_t Fingerprint) {
  const auto Entry = Suspects.find(Fingerprint);
  if (Entry == Suspects.end())
    return;
  Expiries.erase({Entry->second.Expires, Entry->second.Order});
  Suspects.erase(Entry);
}

void Quarantine::expire(TimePoint Now) {
  while (!Expiries.empty() && Expiries.begin()->first.first <= Now)
    forget(Expiries.begin()->second);
  std::erase_if(Closed, [&](const auto &Entry) {
    return Entry.second + Limits.ClosedLifetime <= Now;
  });
  const Duration Lifetime =
      std::max(Limits.BlamedLifetime, Limits.SuspectLifetime);
  while (!Order.empty() &&
         (Order.size() >= Limits.MaxCrashes ||
          Crashes.find(Order.front())->Time + Lifetime <= Now)) {
    Parts.removeCrash(Order.front());
    const std::optional<Crash> Removed = Crashes.erase(Order.front());
    const auto Last = LastCrashes.find(Removed->EndpointKey);
    if (Last != LastCrashes.end() && Last->second == Order.front())
      LastCrashes.erase(Last);
    Order.pop_front();
  }
}

// Failure guarded against: one broken connection is taken for a crash of the
// endpoint. An endpoint that answers a request from before the supposed crash
// has not crashed.
void Quarantine::requestAnswered(std::string_view EndpointKey,
                                 std::uint64_t Fingerprint, TimePoint SentAt,
                                 TimePoint Now) {
  if (Order.empty())
    return;
  const Crash *const Last = lastCrash(EndpointKey);
  if (Last != nullptr && SentAt < Last->Time &&
      Last->Time + AnswerTransitTime < Now && dismiss(EndpointKey))
    addNotice(DismissNotice{std::string(EndpointKey)});
  if (standing(Fingerprint, Now) == Standing::Clear)
    return;
  clear(Fingerprint);
  addNotice(ClearNotice{Fingerprint});
}

void Quarantine::endpointClosed(std::string_view EndpointKey, TimePoint Now) {
  expire(Now);
  if (Closed.size() < Limits.MaxCrashes)
    Closed.insert_or_assign(std::string(EndpointKey), Now);
  if (dismiss(EndpointKey))
    addNotice(DismissNotice{std::string(EndpointKey)});
}

// Failure guarded against: a host loses its links to the endpoints, and all
// hosts hold the requests that it had in flight there for the cause of crashes.
void Quarantine::dismissOwnLosses(TimePoint Since) {
  for (const CrashId Id : Order) {
    Crash &Record = *Crashes.find(Id);
    if (Record.Time < Since || Record.SeenElsewhere ||
        Record.Dismissed == Dismissal::Alive)
      continue;
    markAlive(Id);
    addNotice(DismissNotice{Record.EndpointKey});
  }
}

/// Removes a request from the crashes that it was in flight at.
void Quarantine::clear(std::uint64_t Fingerprint) {
  for (const CrashId Id : Suspects.at(Fingerprint).Crashes)
    if (Crash *const Record = Crashes.find(Id))
      Record->InFlight.erase(Fingerprint);
  forget(Fingerprint);
}

bool Quarantine::dismiss(std::string_view EndpointKey) {
  const auto Entry = LastCrashes.find(std::string(EndpointKey));
  if (Entry == LastCrashes.end())
    return false;
  if (Crashes.find(Entry->second)->Dismissed == Dismissal::Alive)
    return false;
  markAlive(Entry->second);
  return true;
}

void Quarantine::markAlive(CrashId Id) {
  Crashes.find(Id)->Dismissed = Dismissal::Alive;
  Parts.removeCrash(Id);
}

bool Quarantine::observe(const EndpointNotice &Notice, TimePoint Now) {
  expire(Now);
  return std::visit([&](const auto &Typed) { return ingest(Typed, Now); },
                    Notice);
}

bool Quarantine::ingest(const CrashNotice &Notice, TimePoint Now) {
  const CrashId Id = findOrAddCrash(Notice.EndpointKey, Notice.DataCentre,
                                    Notice.Run, Now - Notice.Age);
  Crash &Record = *Crashes.find(Id);
  Record.SeenElsewhere = true;
  Parts.ingest(Notice.History, Now);
  if (Record.Dismissed != Dismissal::Alive)
    for (const SuspectedRequest &Request : Notice.Suspects)
      Parts.suspect(Id, Record.Time, Request, Now);
  bool Changed = false;
  for (const std::uint64_t Fingerprint : Notice.Fingerprints)
    if (Crashes.find(Id)->InFlight.insert(Fingerprint).second) {
      add(Id, Fingerprint);
      Changed = true;
    }
  dismissIfOutage(Id);
  return Changed;
}

// Failure guarded against: a dismissal comes by a shorter way than the crash
// that it is about, finds none, and the crash counts afterwards. The crash is
// recorded as dismissed, and its notices are added to that record.
bool Quarantine::ingest(const DismissNotice &Notice, TimePoint Now) {
  if (lastCrash(Notice.EndpointKey) == nullptr)
    (void)findOrAddCrash(Notice.EndpointKey, DataCentreName(), 0, Now);
  return dismiss(Notice.EndpointKey);
}

bool Quarantine::ingest(const ClearNotice &Notice, TimePoint Now) {
  if (standing(Notice.Fingerprint, Now) == Standing::Clear)
    return false;
  clear(Notice.Fingerprint);
  return true;
}

bool Quarantine::ingest(const SoundNotice &Notice, TimePoint Now) {
  return Parts.ingest(Notice, Now);
}

void Quarantine::addNotice(EndpointNotice Notice) {
  Outgoing.push_back(std::move(Notice));
  if (Outgoing.size() > Limits.MaxNotices)
    Outgoing.pop_front();
}

std::vector<EndpointNotice> Quarantine::takeNotices(TimePoint Now) {
  std::vector<EndpointNotice> Notices;
  for (const CrashId Id : Order) {
    Crash &Record = *Crashes.find(Id);
    if (Record.Dismissed == Dismissal::Alive) {
      Record.Unannounced.clear();
      Record.UnannouncedSuspects.clear();
    }
    if (Record.Unannounced.empty() && Record.UnannouncedSuspects.empty())
      continue;
    Notices.emplace_back(CrashNotice{
        Record.EndpointKey, Record.DataCentre, Record.Run, Now - Record.Time,
        std::exchange(Record.Unannounced, {}),
        std::exchange(Record.UnannouncedSuspects, {}), Parts.history(Now)});
  }
  if (std::optional<SoundNotice> Sound = Parts.takeNotice(Now))
    Notices.emplace_back(std::move(*Sound));
  Notices.insert(Notices.end(), Outgoing.begin(), Outgoing.end());
  Outgoing.clear();
  return Notices;
}

} // namespace coltsfoottrail
