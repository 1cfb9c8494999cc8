#include "coltsfoottrail/dissemination/noticeboard.hpp"

#include <algorithm>
#include <variant>

namespace coltsfoottrail {

namespace {

/// Ids that are remembered, those of notices that left the board included.
constexpr std::size_t MaxKnown = 8 * NoticeBoard::MaxNotices;
/// Runs of a part are told again after this time even if no crash lies between.
constexpr Duration RepeatInterval = seconds(1);

/// Moves suspects from the front of a list to a notice: as many as have
/// MaxParts parts together, but at least one.
void moveSuspects(std::span<const SuspectedRequest> &Rest,
                  CrashNotice &Target) {
  std::size_t PartCount = 0;
  while (!Rest.empty()) {
    PartCount += Rest.front().Parts.size();
    if (PartCount > NoticeBoard::MaxParts && !Target.Suspects.empty())
      return;
    Target.Suspects.push_back(Rest.front());
    Rest = Rest.subspan(1);
  }
}

const RateLimitNotice *ratesOf(const RelayedNotice &Notice) {
  return std::get_if<RateLimitNotice>(&Notice.Content.Notice);
}

RateLimitNotice *ratesOf(RelayedNotice &Notice) {
  return std::get_if<RateLimitNotice>(&Notice.Content.Notice);
}

Duration lifeOf(const RelayedNotice &Notice) {
  return ratesOf(Notice) != nullptr ? NoticeBoard::RateNoticeLife
                                    : NoticeBoard::NoticeLife;
}

/// Splits a crash with many requests, so that each notice has a bounded size.
std::vector<EndpointNotice> split(const EndpointNotice &Notice) {
  const auto *const Crash = std::get_if<CrashNotice>(&Notice);
  if (Crash == nullptr)
    return {Notice};
  std::vector<EndpointNotice> Parts;
  std::span<const std::uint64_t> Rest(Crash->Fingerprints);
  std::span<const SuspectedRequest> Suspects(Crash->Suspects);
  while (!Rest.empty() || !Suspects.empty()) {
    const auto Taken =
        Rest.first(std::min(Rest.size(), NoticeBoard::MaxFingerprints));
    Rest = Rest.subspan(Taken.size());
    CrashNotice Part = *Crash;
    Part.Fingerprints.assign(Taken.begin(), Taken.end());
    Part.Suspects.clear();
    moveSuspects(Suspects, Part);
    Parts.emplace_back(std::move(Part));
  }
  return Parts;
}

} // namespace

void NoticeBoard::addOwn(std::string_view PoolName,
                         const EndpointNotice &Notice, TimePoint Now) {
  for (EndpointNotice &Part : split(Notice)) {
    RelayedNotice Added;
    Added.Origin = Self;
    Added.Number = NextNumber++;
    Added.Content = {std::string(PoolName), std::move(Part)};
    (void)insert(std::move(Added), Self, Now);
  }
}

std::vector<PoolNotice>
NoticeBoard::add(std::span<const RelayedNotice> Received, const HostName &From,
                 TimePoint Now) {
  std::vector<PoolNotice> New;
  for (const RelayedNotice &Notice : Received)
    if (Notice.Age < lifeOf(Notice) && insert(Notice, From, Now))
      New.push_back(Notice.Content);
  return New;
}

bool NoticeBoard::isKnownToLeave(const std::string &Process) const {
  return std::ranges::any_of(Entries, [&](const Entry &Each) {
    const auto *const Leaving =
        std::get_if<LeavingNotice>(&Each.Notice.Content.Notice);
    return Leaving != nullptr && Leaving->Process == Process;
  });
}

// Failure guarded against: each host of a large fleet hears from an endpoint
// that it leaves, and as many notices push those of crashes off the board.
bool NoticeBoard::insert(RelayedNotice Notice, HostName From, TimePoint Now) {
  if (const auto *const Leaving =
          std::get_if<LeavingNotice>(&Notice.Content.Notice);
      Leaving != nullptr && isKnownToLeave(Leaving->Process))
    return false;
  if (ratesOf(Notice) != nullptr)
    return insertRates(std::move(Notice), std::move(From), Now);
  NoticeId Id{Notice.Origin, Notice.Number};
  if (!Known.insert(Id).second)
    return false;
  KnownOrder.push_back(std::move(Id));
  if (KnownOrder.size() > MaxKnown) {
    Known.erase(KnownOrder.front());
    KnownOrder.pop_front();
  }
  if (auto *const Sound = std::get_if<SoundNotice>(&Notice.Content.Notice)) {
    removeKnownRuns(*Sound, Notice.Content.PoolName, Now);
    if (Sound->Parts.empty())
      return false;
  }
  append(std::move(Notice), std::move(From), Now);
  return true;
}

void NoticeBoard::append(RelayedNotice Notice, HostName From, TimePoint Now) {
  const TimePoint AroseAt = Now - Notice.Age;
  Entries.push_back(
      {NextPosition++, std::move(Notice), AroseAt, Now, std::move(From)});
  removeExcess(Now);
}

void NoticeBoard::removeExcess(TimePoint Now) {
  std::erase_if(Entries, [&](const Entry &Each) {
    return Each.AroseAt + lifeOf(Each.Notice) <= Now;
  });
  const auto RateNotices =
      std::size_t(std::ranges::count_if(Entries, [](const Entry &Each) {
        return ratesOf(Each.Notice) != nullptr;
      }));
  std::size_t ExcessRates = RateNotices - std::min(RateNotices, MaxRateNotices);
  const std::size_t Others = Entries.size() - RateNotices;
  std::size_t ExcessOthers = Others - std::min(Others, MaxNotices);
  if (ExcessRates + ExcessOthers == 0)
    return;
  std::erase_if(Entries, [&](const Entry &Each) {
    std::size_t &Excess =
        ratesOf(Each.Notice) != nullptr ? ExcessRates : ExcessOthers;
    if (Excess == 0)
      return false;
    --Excess;
    return true;
  });
}

// Failure guarded against: endpoints whose limits change with each response
// push the notices of crashes off the board. Of each endpoint the newest
// observation is kept.
bool NoticeBoard::insertRates(RelayedNotice Notice, HostName From,
                              TimePoint Now) {
  RateLimitNotice &Rates = *ratesOf(Notice);
  const auto ObservedAt = [Now](const RateObservation &Observed) {
    return Now - Observed.Age;
  };
  std::erase_if(Rates.Observations, [&](const RateObservation &Observed) {
    return std::ranges::any_of(Entries, [&](Entry &Each) {
      const RateLimitNotice *const Kept = ratesOf(Each.Notice);
      return Kept != nullptr &&
             std::ranges::any_of(
                 Kept->Observations, [&](const RateObservation &Known) {
                   const bool IsSame = Known.Observer == Observed.Observer &&
                                       Known.Number >= Observed.Number;
                   return Known.Process == Observed.Process &&
                          (IsSame ||
                           Each.InsertedAt - Known.Age >= ObservedAt(Observed));
                 });
    });
  });
  if (Rates.Observations.empty())
    return false;
  for (const RateObservation &Observed : Rates.Observations)
    removeSuperseded(Observed);
  append(std::move(Notice), std::move(From), Now);
  return true;
}

void NoticeBoard::removeSuperseded(const RateObservation &Newer) {
  std::erase_if(Entries, [&](Entry &Each) {
    RateLimitNotice *const Kept = ratesOf(Each.Notice);
    if (Kept == nullptr)
      return false;
    std::erase_if(Kept->Observations, [&](const RateObservation &Known) {
      return Known.Process == Newer.Process;
    });
    return Kept->Observations.empty();
  });
}

// Failure guarded against: all hosts of a large fleet run the first part of
// most prompts, and each crash that it was at brings a notice from every one of
// them. One notice is enough for all crashes before its run.
void NoticeBoard::removeKnownRuns(SoundNotice &Sound,
                                  const std::string &PoolName, TimePoint Now) {
  std::erase_if(Sound.Parts, [&](const SoundPart &Run) {
    const TimePoint BegunAt = Now - Run.Age;
    const auto [Entry, IsNew] =
        KnownRuns.try_emplace({PoolName, Run.Part}, BegunAt);
    const TimePoint Known = Entry->second;
    const bool IsRecent = BegunAt - Known < RepeatInterval;
    if (!IsNew && IsRecent && !hasCrashBetween(PoolName, Known, BegunAt))
      return true;
    Entry->second = std::max(Known, BegunAt);
    return false;
  });
  while (KnownRuns.size() > MaxKnownRuns)
    KnownRuns.erase(std::ranges::min_element(
        KnownRuns, {}, [](const auto &Entry) { return Entry.second; }));
}

bool NoticeBoard::hasCrashBetween(const std::string &PoolName, TimePoint From,
                                  TimePoint To) const {
  return std::ranges::any_of(Entries, [&](const Entry &Candidate) {
    const auto *const Crash =
        std::get_if<CrashNotice>(&Candidate.Notice.Content.Notice);
    if (Crash == nullptr || Candidate.Notice.Content.PoolName != PoolName)
      return false;
    const TimePoint CrashedAt = Candidate.InsertedAt - Crash->Age;
    return CrashedAt >= From && CrashedAt < To;
  });
}

std::size_t NoticeBoard::indexOf(std::uint64_t Position) const noexcept {
  return std::size_t(
      std::ranges::lower_bound(Entries, Position, {}, &Entry::Position) -
      Entries.begin());
}

bool NoticeBoard::hasSince(std::uint64_t Next, const HostName &Reader) const {
  return std::any_of(
      Entries.begin() + static_cast<std::ptrdiff_t>(indexOf(Next)),
      Entries.end(),
      [&](const Entry &Candidate) { return Candidate.From != Reader; });
}

NoticePage NoticeBoard::since(std::uint64_t Next, const HostName &Reader,
                              TimePoint Now) const {
  NoticePage Page;
  std::size_t Index = indexOf(Next);
  for (; Index < Entries.size() && Page.Notices.size() < MaxPageNotices;
       ++Index) {
    const Entry &Candidate = Entries[Index];
    if (Candidate.From == Reader ||
        Candidate.AroseAt + lifeOf(Candidate.Notice) <= Now)
      continue;
    RelayedNotice Sent = Candidate.Notice;
    Sent.Age = Now - Candidate.AroseAt;
    addAge(Sent.Content.Notice, Now - Candidate.InsertedAt);
    Page.Notices.push_back(std::move(Sent));
  }
  Page.Next = Index < Entries.size() ? Entries[Index].Position : NextPosition;
  return Page;
}

} // namespace coltsfoottrail
