#include "coltsfoottrail/quarantine/partquarantine.hpp"

#include "coltsfoottrail/quarantine/chance.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxPartsPerNotice = 64;
constexpr std::size_t MaxOutgoing = 1024;
constexpr std::size_t MaxChanges = 256;
constexpr std::size_t MaxHosts = 1024;
/// How long the runs of a part that is at no crash are remembered, in case that
/// the notice of a crash is late.
constexpr Duration LateNoticeTime = seconds(30);
constexpr std::size_t MaxRequestsPerCrash = 64;
/// How long a run takes to count as one without a crash, at most.
constexpr Duration SoundDelay = milliseconds(500);
/// Losses that are added to few ones, whose ratio is uncertain.
constexpr double LostMargin = 3.0;
constexpr Duration PendingReviewInterval = milliseconds(50);
constexpr Duration ReviewInterval = seconds(5);
/// How long a refusal in another pool counts.
constexpr Duration RefusedElsewhereLife = seconds(600);

} // namespace

std::size_t PartQuarantine::Case::requestCount() const {
  std::size_t Count = 0;
  for (const CrashOfPart *const Crash : Crashes)
    Count += Crash->Requests.size();
  return Count;
}

std::size_t PartQuarantine::Case::differentRequests() const {
  std::unordered_set<std::uint64_t> Fingerprints;
  for (const CrashOfPart *const Crash : Crashes)
    for (const RequestAtCrash &Request : Crash->Requests)
      Fingerprints.insert(Request.Fingerprint);
  return Fingerprints.size();
}

bool PartQuarantine::Case::isOneRequest() const {
  const auto IsAtAll = [&](const RequestAtCrash &Request) {
    return std::ranges::all_of(Crashes, [&](const CrashOfPart *Crash) {
      return std::ranges::find(Crash->Requests, Request) !=
             Crash->Requests.end();
    });
  };
  return std::ranges::any_of(Crashes.front()->Requests, IsAtAll);
}

std::optional<std::uint64_t> PartQuarantine::Case::onlyTeam() const {
  const std::uint64_t First = Crashes.front()->Requests.front().Team;
  for (const CrashOfPart *const Crash : Crashes)
    for (const RequestAtCrash &Request : Crash->Requests)
      if (Request.Team != First)
        return std::nullopt;
  return First;
}

void PartQuarantine::addCrash(CrashId Crash, TimePoint CrashedAt) {
  AllCrashes.insert_or_assign(Crash, CrashRecord{CrashedAt, {}});
}

void PartQuarantine::recordLost(TimePoint CrashedAt) {
  Runs.addLost(CrashedAt);
}

void PartQuarantine::suspect(CrashId Crash, TimePoint CrashedAt,
                             const SuspectedRequest &Request, TimePoint Now) {
  const auto Record = AllCrashes.find(Crash);
  if (Record != AllCrashes.end() &&
      Record->second.Requests.size() < MaxRequestsPerCrash)
    Record->second.Requests.insert(Request.Fingerprint);
  for (const PromptPartId Part : Request.Parts)
    suspectPart(Crash, CrashedAt, Part, Request, Now);
}

void PartQuarantine::suspectPart(CrashId Crash, TimePoint CrashedAt,
                                 PromptPartId Part,
                                 const SuspectedRequest &Request,
                                 TimePoint Now) {
  Suspect &Entry = findOrAdd(Part);
  if (CrashedAt < Entry.SoundAt)
    return;
  if (!Entry.IsFamiliar && Recent.contains(Part, Now)) {
    Entry.IsFamiliar = true;
    announce(Part, Now - RecentParts::MaxLife);
  }
  const bool WasRunElsewhere =
      Entry.SoundAt > TimePoint{} &&
      CrashedAt - Entry.SoundAt <= RecentParts::MaxLife;
  Entry.IsFamiliar = Entry.IsFamiliar || WasRunElsewhere;
  IsChanged = true;
  const RequestAtCrash Sent{Request.Fingerprint, Request.Team};
  const auto Known = std::ranges::find(Entry.Crashes, Crash, &CrashOfPart::Id);
  if (Known != Entry.Crashes.end()) {
    std::vector<RequestAtCrash> &Requests = Known->Requests;
    if (Requests.size() < Limits.MaxRequests &&
        std::ranges::find(Requests, Sent) == Requests.end())
      Requests.push_back(Sent);
    return;
  }
  const auto Place = std::ranges::upper_bound(Entry.Crashes, CrashedAt, {},
                                              &CrashOfPart::Time);
  Entry.Crashes.insert(Place, {Crash, CrashedAt, {Sent}});
  if (Entry.Crashes.size() > Limits.MaxCrashes)
    Entry.Crashes.erase(Entry.Crashes.begin());
}

PartQuarantine::Suspect &PartQuarantine::findOrAdd(PromptPartId Part) {
  const auto Entry = Suspects.find(Part);
  if (Entry != Suspects.end())
    return Entry->second;
  if (Suspects.size() >= Limits.MaxSuspects)
    evictLeastSuspected();
  return Suspects[Part];
}

// Failure guarded against: a caller sends ever new parts to an endpoint that
// crashes, and the records of the part that crashes it are dropped.
void PartQuarantine::evictLeastSuspected() {
  const auto Rank = [](const auto &Entry) {
    const Suspect &Each = Entry.second;
    return std::pair(Each.Crashes.size(), Each.Crashes.empty()
                                              ? Each.SoundAt
                                              : Each.Crashes.back().Time);
  };
  const auto Least = std::ranges::min_element(Suspects, {}, Rank);
  if (Least != Suspects.end())
    Suspects.erase(Least);
}

void PartQuarantine::removeCrash(CrashId Crash) {
  AllCrashes.erase(Crash);
  for (auto &[Part, Entry] : Suspects)
    if (std::erase_if(Entry.Crashes, [&](const CrashOfPart &Each) {
          return Each.Id == Crash;
        }) > 0)
      IsChanged = true;
}

bool PartQuarantine::removeCrashesBefore(TimePoint BegunAt, Suspect &Entry) {
  Entry.SoundAt = std::max(Entry.SoundAt, BegunAt);
  return std::erase_if(Entry.Crashes, [&](const CrashOfPart &Each) {
           return Each.Time < BegunAt;
         }) > 0;
}

void PartQuarantine::recordSound(std::span<const PromptPartId> Parts,
                                 TimePoint BegunAt, TimePoint Now) {
  if (Parts.empty())
    return;
  Recent.add(Parts, Now);
  Runs.addSound(BegunAt);
  for (const PromptPartId Part : Parts) {
    const auto Entry = Suspects.find(Part);
    if (Entry == Suspects.end() || !removeCrashesBefore(BegunAt, Entry->second))
      continue;
    announce(Part, BegunAt);
    IsChanged = true;
  }
}

void PartQuarantine::announce(PromptPartId Part, TimePoint BegunAt) {
  if (Outgoing.size() >= MaxOutgoing && !Outgoing.contains(Part))
    return;
  TimePoint &Latest = Outgoing[Part];
  Latest = std::max(Latest, BegunAt);
}

HostHistory PartQuarantine::history(TimePoint Now) const {
  return {Self, static_cast<std::uint32_t>(Recent.requests(Now))};
}

void PartQuarantine::ingest(const HostHistory &History, TimePoint Now) {
  if (History.Host == 0 ||
      (Others.size() >= MaxHosts && !Others.contains(History.Host)))
    return;
  Others.insert_or_assign(History.Host, TimedHistory{History.Requests, Now});
}

std::size_t PartQuarantine::recentRequests(TimePoint Now) const {
  std::size_t Sum = Recent.requests(Now);
  for (const auto &[Host, History] : Others)
    if (Now - History.At < RecentParts::MaxLife)
      Sum += History.Requests;
  return Sum;
}

bool PartQuarantine::ingest(const SoundNotice &Notice, TimePoint Now) {
  bool Changed = false;
  for (const SoundPart &Sound : Notice.Parts) {
    const TimePoint BegunAt = Now - Sound.Age;
    Changed |= !Suspects.contains(Sound.Part);
    Suspect &Entry = findOrAdd(Sound.Part);
    Changed |= removeCrashesBefore(BegunAt, Entry);
    const bool WasRunBefore =
        !Entry.Crashes.empty() &&
        Entry.Crashes.front().Time - BegunAt <= RecentParts::MaxLife;
    if (WasRunBefore)
      Changed |= !std::exchange(Entry.IsFamiliar, true);
  }
  IsChanged |= Changed;
  return Changed;
}

void PartQuarantine::addRefusedElsewhere(PromptPartId Part, TimePoint Now) {
  findOrAdd(Part).RefusedElsewhereAt = Now;
  IsChanged = true;
}

void PartQuarantine::expire(TimePoint Now) {
  std::erase_if(Others, [&](const auto &Entry) {
    return Now - Entry.second.At >= RecentParts::MaxLife;
  });
  std::erase_if(Suspects, [&](const auto &Entry) {
    const Suspect &Each = Entry.second;
    const bool IsHinted = Each.RefusedElsewhereAt &&
                          Now - *Each.RefusedElsewhereAt < RefusedElsewhereLife;
    return Each.Crashes.empty() && !IsHinted &&
           Now - Each.SoundAt > LateNoticeTime;
  });
}

void PartQuarantine::review(TimePoint Now) {
  if (!IsChanged && Now < ReviewAt)
    return;
  IsChanged = false;
  expire(Now);
  ExplainedByParts.clear();
  std::unordered_set<PromptPartId> Kept;
  std::vector<Case> Cases = openCases();
  while (true) {
    sort(Cases);
    const auto Proven = std::ranges::find_if(Cases, [&](const Case &Each) {
      return isProven(Each, Now) && !mustWait(Each, Cases, Now);
    });
    if (Proven == Cases.end())
      break;
    refuse(*Proven, Now);
    Kept.insert(Proven->Part);
    Cases.erase(Proven);
    removeExplained(Cases);
  }
  release(Kept, Now);
  // Some criteria are met by the passage of time alone.
  const bool IsPending = std::ranges::any_of(Cases, [&](const Case &Each) {
    return Each.Crashes.size() >= Limits.CrashesToRefuse;
  });
  ReviewAt = Now + (IsPending ? PendingReviewInterval : ReviewInterval);
}

bool PartQuarantine::mustWait(const Case &Each, std::span<const Case> All,
                              TimePoint Now) const {
  return !Each.IsRefusedElsewhere && Now - Each.first() < Limits.TieDelay &&
         hasRival(Each, All);
}

std::vector<PartQuarantine::Case> PartQuarantine::openCases() const {
  std::vector<Case> Cases;
  for (const auto &[Part, Entry] : Suspects) {
    if (Entry.Crashes.empty())
      continue;
    Case Opened{
        Part, Entry.IsFamiliar, Entry.RefusedElsewhereAt.has_value(), {}};
    for (const CrashOfPart &Crash : Entry.Crashes)
      Opened.Crashes.push_back(&Crash);
    Cases.push_back(std::move(Opened));
  }
  return Cases;
}

void PartQuarantine::sort(std::vector<Case> &Cases) {
  // Most crashes first; of equals the one that was never run, then the one that
  // fewer requests have.
  std::ranges::sort(Cases, {}, [](const Case &Each) {
    return std::tuple(~Each.Crashes.size(), Each.IsFamiliar,
                      Each.requestCount(), Each.Part);
  });
}

void PartQuarantine::removeExplained(std::vector<Case> &Cases) const {
  for (Case &Each : Cases)
    std::erase_if(Each.Crashes, [&](const CrashOfPart *Crash) {
      return ExplainedByParts.contains(Crash->Id);
    });
  std::erase_if(Cases, [](const Case &Each) { return Each.Crashes.empty(); });
}

// Failure guarded against: an outage takes many endpoints at once, and frequent
// parts, which were at most of them, are refused. Such parts have been run
// before, or are run again before the next crash.
bool PartQuarantine::isProven(const Case &Each, TimePoint Now) const {
  if (Each.IsRefusedElsewhere && !Each.IsFamiliar)
    return Each.Crashes.size() >= Limits.CrashesIfRefusedElsewhere;
  if (Each.Crashes.size() < Limits.CrashesToRefuse || Each.isOneRequest())
    return false;
  // What proved it is forgotten before the part comes again.
  const auto Entry = Refused.find(Each.Part);
  if (Entry != Refused.end() && Entry->second.IsFamiliar == Each.IsFamiliar)
    return true;
  return Now - Each.first() >= Limits.NoticeDelay && isBeyondChance(Each, Now);
}

bool PartQuarantine::isBeyondChance(const Case &Each, TimePoint Now) const {
  // While a part is refused it is neither at crashes nor in runs.
  const TimePoint End = Each.last() + Limits.EvidenceTime;
  std::size_t CrashCount = 0;
  std::size_t Lost = 0;
  for (const auto &[Id, Crash] : AllCrashes) {
    if (Crash.Time < Each.first() || Crash.Time > End ||
        ExplainedByParts.contains(Id))
      continue;
    ++CrashCount;
    Lost += Crash.Requests.size();
  }
  const TimePoint KnownUntil = Now - Limits.NoticeDelay - SoundDelay;
  const RunCounts Own = Runs.between(Each.first(), std::min(End, KnownUntil));
  // The other hosts tell what crashed, not what they ran: as much more than
  // this host as they lost more.
  const double Scale = (static_cast<double>(Lost) + LostMargin) /
                       (static_cast<double>(Own.Lost) + LostMargin);
  double Sound = Scale * static_cast<double>(Own.Sound);
  const double LostFraction =
      static_cast<double>(Lost + 1) / (static_cast<double>(Lost + 1) + Sound);
  if (!Each.IsFamiliar)
    Sound += static_cast<double>(recentRequests(Now));
  const double PerCrash =
      static_cast<double>(Lost) / static_cast<double>(CrashCount);
  // A request that was sent again has taken the part to a second crash.
  const std::size_t Repeats =
      Each.Crashes.size() -
      std::min(Each.Crashes.size(), Each.differentRequests());
  const double Chance =
      chanceOfCrashes({Each.Crashes.size() - Repeats, CrashCount - Repeats,
                       std::max(1.0, PerCrash), Sound}) *
      std::pow(LostFraction, static_cast<double>(Repeats));
  const bool IsCollapse =
      !Each.IsFamiliar && LostFraction >= Limits.CollapseFraction;
  return Chance <= (IsCollapse ? Limits.MaxChanceInCollapse : Limits.MaxChance);
}

/// Whether another part was at all crashes of a part.
bool PartQuarantine::hasRival(const Case &Each, std::span<const Case> Others) {
  const auto IsAtAll = [&](const Case &Other) {
    return Other.Part != Each.Part &&
           std::ranges::all_of(Each.Crashes, [&](const CrashOfPart *Crash) {
             return std::ranges::find(Other.Crashes, Crash->Id,
                                      [](const CrashOfPart *Own) {
                                        return Own->Id;
                                      }) != Other.Crashes.end();
           });
  };
  return std::ranges::any_of(Others, IsAtAll);
}

// The hosts try a part at different times, so that one of them tells the others
// what came of it.
Duration PartQuarantine::refusalTime(std::uint32_t Renewals) {
  Duration Time = Limits.RefusalTime;
  for (; Renewals > 0 && Time < Limits.MaxRefusalTime; --Renewals)
    Time *= 2;
  return Time + std::chrono::duration_cast<Duration>(Time * Draw.fraction());
}

void PartQuarantine::refuse(const Case &Each, TimePoint Now) {
  for (const CrashOfPart *const Crash : Each.Crashes)
    ExplainedByParts.insert(Crash->Id);
  const auto [Entry, IsNew] = Refused.try_emplace(Each.Part);
  Refusal &Record = Entry->second;
  Record.Crashes = Each.Crashes.size();
  Record.IsFamiliar = Each.IsFamiliar;
  Record.Team = Each.onlyTeam();
  if (IsNew || Record.LastCrash < Each.last()) {
    const bool WasTried =
        !IsNew && Each.last() - Record.LastCrash >= Limits.RefusalTime;
    Record.Renewals += WasTried ? 1U : 0U;
    Record.LastCrash = Each.last();
    Record.Until = Each.last() + refusalTime(Record.Renewals);
  }
  if (IsNew && Changes.size() < MaxChanges)
    Changes.push_back({Each.Part, true, Record.Crashes, Now - Each.first(),
                       Record.Team.has_value()});
}

void PartQuarantine::release(const std::unordered_set<PromptPartId> &Kept,
                             TimePoint Now) {
  std::erase_if(Refused, [&](const auto &Entry) {
    const auto &[Part, Record] = Entry;
    if (Kept.contains(Part))
      return false;
    if (Changes.size() < MaxChanges)
      Changes.push_back({Part, false, Record.Crashes, Now - Record.LastCrash,
                         Record.Team.has_value()});
    return true;
  });
}

std::optional<TimePoint>
PartQuarantine::refusedUntil(std::span<const PromptPartId> Parts,
                             std::uint64_t Team, TimePoint Now) const {
  std::optional<TimePoint> Latest;
  if (Refused.empty())
    return Latest;
  for (const PromptPartId Part : Parts) {
    const auto Entry = Refused.find(Part);
    if (Entry == Refused.end() || Entry->second.Until <= Now ||
        !Entry->second.appliesTo(Team))
      continue;
    Latest = std::max(Latest.value_or(Now), Entry->second.Until);
  }
  return Latest;
}

void PartQuarantine::recordSend(std::span<const PromptPartId> Parts,
                                std::uint64_t Team, TimePoint Now) {
  if (Refused.empty())
    return;
  for (const PromptPartId Part : Parts) {
    const auto Entry = Refused.find(Part);
    if (Entry != Refused.end() && Entry->second.appliesTo(Team))
      Entry->second.Until = Now + Limits.ProbeInterval;
  }
}

std::optional<SoundNotice> PartQuarantine::takeNotice(TimePoint Now) {
  if (Outgoing.empty() || Now - LastNoticeAt < Limits.NoticeInterval)
    return std::nullopt;
  LastNoticeAt = Now;
  SoundNotice Notice;
  while (!Outgoing.empty() && Notice.Parts.size() < MaxPartsPerNotice) {
    const auto [Part, BegunAt] = *Outgoing.begin();
    Outgoing.erase(Outgoing.begin());
    Notice.Parts.push_back({Part, Now - BegunAt});
  }
  return Notice;
}

std::vector<PartChange> PartQuarantine::takeChanges() {
  return std::exchange(Changes, {});
}

} // namespace coltsfoottrail
