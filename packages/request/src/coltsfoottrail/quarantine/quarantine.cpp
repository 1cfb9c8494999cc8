#include "coltsfoottrail/quarantine/quarantine.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

namespace {

/// An answer this long after a supposed crash was not on its way already.
constexpr Duration AnswerInTransit = milliseconds(200);
/// A restart is reported at most this long after the crash.
constexpr Duration RestartReport = seconds(120);
/// Crashes that count against one request.
constexpr std::size_t CrashesToBlame = 2;

} // namespace

Standing Quarantine::standing(std::uint64_t Fingerprint, TimePoint Now) const {
  const auto Entry = Suspects.find(Fingerprint);
  if (Entry == Suspects.end() || Entry->second.Expires <= Now)
    return Standing::Clear;
  const std::vector<const Crash *> All = liveCrashes(Entry->second);
  if (All.empty())
    return Standing::Clear;
  if (All.size() < CrashesToBlame)
    return Standing::Suspect;
  const Duration Life = aloneAt(All) ? Limits.BlamedLife : Limits.UnsureLife;
  return Now < All.back()->At + Life ? Standing::Quarantined
                                     : Standing::Suspect;
}

std::vector<const Quarantine::Crash *>
Quarantine::liveCrashes(const Suspect &Known) const {
  std::vector<const Crash *> Live;
  for (const CrashId Which : Known.Crashes) {
    const Crash *const Found = Crashes.find(Which);
    if (Found != nullptr && !Found->Dismissed)
      Live.push_back(Found);
  }
  return Live;
}

/// Whether one request only was present at all of the crashes.
bool Quarantine::aloneAt(std::span<const Crash *const> All) {
  const auto AtAll = [&](std::uint64_t Fingerprint) {
    return std::ranges::all_of(All, [&](const Crash *Each) {
      return Each->Present.contains(Fingerprint);
    });
  };
  return std::ranges::count_if(All.front()->Present, AtAll) == 1;
}

void Quarantine::endpointLost(std::string_view EndpointKey,
                              const DataCentreName &DataCentre, Incarnation Run,
                              std::span<const std::uint64_t> InFlight,
                              TimePoint Now) {
  expire(Now);
  const CrashId Which = crashOf(EndpointKey, DataCentre, Run, Now);
  for (const std::uint64_t Fingerprint : InFlight) {
    Crash &Seen = *Crashes.find(Which);
    if (Fingerprint == 0 || !Seen.Present.insert(Fingerprint).second)
      continue;
    Seen.Untold.push_back(Fingerprint);
    add(Which, Fingerprint);
  }
  judgeMass(Which);
}

// Failure guarded against: requests that were sent to the new run just before
// its first report came are blamed for the crash of the old one. Where the
// crash is known by its broken connections, these alone count.
void Quarantine::endpointRestarted(std::string_view EndpointKey,
                                   const DataCentreName &DataCentre,
                                   Incarnation OldRun,
                                   std::span<const std::uint64_t> InFlight,
                                   TimePoint Now) {
  const Crash *const Last = lastCrash(EndpointKey);
  if (Last != nullptr && Now - Last->At < RestartReport &&
      (Last->Run == OldRun || Last->Run == 0))
    return;
  endpointLost(EndpointKey, DataCentre, OldRun, InFlight, Now);
}

const Quarantine::Crash *
Quarantine::lastCrash(std::string_view EndpointKey) const {
  const auto Entry = LastOf.find(std::string(EndpointKey));
  return Entry == LastOf.end() ? nullptr : Crashes.find(Entry->second);
}

/// Finds the crash that a loss belongs to, or notes a new one.
CrashId Quarantine::crashOf(std::string_view EndpointKey,
                            const DataCentreName &DataCentre, Incarnation Run,
                            TimePoint At) {
  const auto [Entry, Added] = LastOf.try_emplace(std::string(EndpointKey));
  if (!Added) {
    Crash *const Last = Crashes.find(Entry->second);
    const bool SameRun =
        Last != nullptr && (Last->Run == Run || Last->Run == 0 || Run == 0);
    if (SameRun && std::chrono::abs(At - Last->At) < Limits.CrashWindow)
      return Entry->second;
  }
  const CrashId Which =
      Crashes.insert(Crash{std::string(EndpointKey),
                           DataCentre,
                           Run,
                           At,
                           {},
                           {},
                           Closed.contains(std::string(EndpointKey))});
  Entry->second = Which;
  Order.push_back(Which);
  return Which;
}

// Failure guarded against: a data centre goes dark, everything in flight there
// is suspected, and after a second outage innocent requests are refused. Losses
// of several endpoints of a data centre at once are no request's doing, unless
// one request was present at most of them.
void Quarantine::judgeMass(CrashId Which) {
  Crash &Newest = *Crashes.find(Which);
  if (Newest.Dismissed)
    return;
  std::vector<Crash *> Together;
  for (const CrashId Each : Order) {
    Crash *const Other = Crashes.find(Each);
    if (Other->DataCentre == Newest.DataCentre &&
        std::chrono::abs(Newest.At - Other->At) <= Limits.MassWindow)
      Together.push_back(Other);
  }
  if (Together.size() < Limits.MassLosses)
    return;
  const auto Before = static_cast<std::size_t>(
      std::ranges::count(Together, true, &Crash::Dismissed));
  if (Before < Limits.MassLosses && anyAtMost(Together))
    return;
  for (Crash *const Each : Together)
    Each->Dismissed = true;
}

/// Whether some request was present at more than half of the crashes.
bool Quarantine::anyAtMost(std::span<Crash *const> All) {
  std::unordered_map<std::uint64_t, std::size_t> Times;
  for (const Crash *const Each : All)
    for (const std::uint64_t Fingerprint : Each->Present)
      if (++Times[Fingerprint] * 2 > All.size())
        return true;
  return false;
}

void Quarantine::add(CrashId Which, std::uint64_t Fingerprint) {
  Suspect &Known = Suspects[Fingerprint];
  if (!Known.Crashes.empty())
    Expiries.erase({Known.Expires, Known.Order});
  Known.Crashes.push_back(Which);
  const TimePoint At = Crashes.find(Which)->At;
  const bool Blamed = liveCrashes(Known).size() >= CrashesToBlame;
  Known.Expires = At + (Blamed ? Limits.BlamedLife : Limits.SuspectLife);
  Known.Order = NextOrder++;
  Expiries.emplace(std::pair(Known.Expires, Known.Order), Fingerprint);
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
    return Entry.second + Limits.ClosedLife <= Now;
  });
  const Duration Life = std::max(Limits.BlamedLife, Limits.SuspectLife);
  while (!Order.empty() && (Order.size() >= Limits.MaxCrashes ||
                            Crashes.find(Order.front())->At + Life <= Now)) {
    const std::optional<Crash> Gone = Crashes.erase(Order.front());
    const auto Last = LastOf.find(Gone->EndpointKey);
    if (Last != LastOf.end() && Last->second == Order.front())
      LastOf.erase(Last);
    Order.pop_front();
  }
}

// Failure guarded against: one broken connection is taken for a crash of the
// endpoint. An endpoint that answers what it was sent before has not crashed.
void Quarantine::requestAnswered(std::string_view EndpointKey,
                                 std::uint64_t Fingerprint, TimePoint SentAt,
                                 TimePoint Now) {
  if (Order.empty())
    return;
  const Crash *const Last = lastCrash(EndpointKey);
  if (Last != nullptr && SentAt < Last->At &&
      Last->At + AnswerInTransit < Now && dismiss(EndpointKey))
    note(DismissNotice{std::string(EndpointKey)});
  if (standing(Fingerprint, Now) != Standing::Suspect)
    return;
  clear(Fingerprint);
  note(ClearNotice{Fingerprint});
}

void Quarantine::endpointClosed(std::string_view EndpointKey, TimePoint Now) {
  expire(Now);
  if (Closed.size() < Limits.MaxCrashes)
    Closed.insert_or_assign(std::string(EndpointKey), Now);
  if (dismiss(EndpointKey))
    note(DismissNotice{std::string(EndpointKey)});
}

/// Takes a request out of the crashes that it was present at.
void Quarantine::clear(std::uint64_t Fingerprint) {
  for (const CrashId Which : Suspects.at(Fingerprint).Crashes)
    if (Crash *const Each = Crashes.find(Which))
      Each->Present.erase(Fingerprint);
  forget(Fingerprint);
}

bool Quarantine::dismiss(std::string_view EndpointKey) {
  const auto Entry = LastOf.find(std::string(EndpointKey));
  if (Entry == LastOf.end())
    return false;
  Crash &Last = *Crashes.find(Entry->second);
  const bool Changed = !Last.Dismissed;
  Last.Dismissed = true;
  return Changed;
}

bool Quarantine::observe(const QuarantineNotice &Notice, TimePoint Now) {
  expire(Now);
  return std::visit([&](const auto &Kind) { return ingest(Kind, Now); },
                    Notice);
}

bool Quarantine::ingest(const CrashNotice &Notice, TimePoint Now) {
  const CrashId Seen = crashOf(Notice.EndpointKey, Notice.DataCentre,
                               Notice.Run, Now - Notice.Age);
  bool IsNews = false;
  for (const std::uint64_t Fingerprint : Notice.Fingerprints)
    if (Crashes.find(Seen)->Present.insert(Fingerprint).second) {
      add(Seen, Fingerprint);
      IsNews = true;
    }
  judgeMass(Seen);
  return IsNews;
}

bool Quarantine::ingest(const DismissNotice &Notice, TimePoint /*Now*/) {
  return dismiss(Notice.EndpointKey);
}

bool Quarantine::ingest(const ClearNotice &Notice, TimePoint Now) {
  if (standing(Notice.Fingerprint, Now) != Standing::Suspect)
    return false;
  clear(Notice.Fingerprint);
  return true;
}

void Quarantine::note(QuarantineNotice Told) {
  Outgoing.push_back(std::move(Told));
  if (Outgoing.size() > Limits.MaxNotices)
    Outgoing.pop_front();
}

std::vector<QuarantineNotice> Quarantine::takeNotices(TimePoint Now) {
  std::vector<QuarantineNotice> Out;
  for (const CrashId Which : Order) {
    Crash &Each = *Crashes.find(Which);
    if (Each.Dismissed)
      Each.Untold.clear();
    if (Each.Untold.empty())
      continue;
    Out.emplace_back(CrashNotice{Each.EndpointKey, Each.DataCentre, Each.Run,
                                 Now - Each.At,
                                 std::exchange(Each.Untold, {})});
  }
  Out.insert(Out.end(), Outgoing.begin(), Outgoing.end());
  Outgoing.clear();
  return Out;
}

} // namespace coltsfoottrail
