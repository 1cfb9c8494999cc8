#include "coltsfoottrail/server/evidencelog.hpp"

#include "coltsfoottrail/core/overloaded.hpp"
#include "coltsfoottrail/logging/log.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>

namespace coltsfoottrail {

namespace {

constexpr std::size_t MaxHexDigits = 16;
/// Identifiers in one line; a value is truncated at 512 bytes.
constexpr std::size_t MaxLoggedIds = 30;

/// The parts of several prompts, each once.
std::vector<PromptPartId>
partsOf(const std::vector<SuspectedRequest> &Requests) {
  std::set<PromptPartId> Parts;
  for (const SuspectedRequest &Request : Requests)
    Parts.insert(Request.Parts.begin(), Request.Parts.end());
  return {Parts.begin(), Parts.end()};
}

std::int64_t toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

} // namespace

std::string fingerprintText(std::uint64_t Fingerprint) {
  std::array<char, MaxHexDigits> Digits{};
  const auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(),
                                 Fingerprint, 16);
  return {Digits.data(), End.ptr};
}

std::string idList(std::span<const std::uint64_t> Ids) {
  std::string Text;
  for (const std::uint64_t Id : Ids.first(std::min(Ids.size(), MaxLoggedIds))) {
    Text += Text.empty() ? "" : ",";
    Text += fingerprintText(Id);
  }
  return Text;
}

void logNotice(std::string_view PoolName, const EndpointNotice &Notice,
               std::string_view Source) {
  std::visit(
      Overloaded{[&](const CrashNotice &Crash) {
                   logEvent(Event::CrashNoticed,
                            {{"pool", PoolName},
                             {"endpoint", Crash.EndpointKey},
                             {"run", Crash.Run},
                             {"age_ms", toMilliseconds(Crash.Age)},
                             {"source", Source},
                             {"requests", Crash.Fingerprints.size()},
                             {"fingerprints", idList(Crash.Fingerprints)},
                             {"parts", idList(partsOf(Crash.Suspects))}});
                 },
                 [&](const DismissNotice &Dismissal) {
                   logEvent(Event::CrashDismissed,
                            {{"pool", PoolName},
                             {"endpoint", Dismissal.EndpointKey},
                             {"why", "sign-of-life"},
                             {"source", Source}});
                 },
                 [&](const ClearNotice &Clearance) {
                   logEvent(
                       Event::SuspectCleared,
                       {{"pool", PoolName},
                        {"fingerprint", fingerprintText(Clearance.Fingerprint)},
                        {"source", Source}});
                 },
                 [&](const SoundNotice &Sound) {
                   std::vector<PromptPartId> Parts;
                   for (const SoundPart &Run : Sound.Parts)
                     Parts.push_back(Run.Part);
                   logEvent(Event::PartsCleared, {{"pool", PoolName},
                                                  {"parts", idList(Parts)},
                                                  {"source", Source}});
                 },
                 // RateLimitReport and AvailabilityReport log them.
                 [](const RateLimitNotice &) {}, [](const LeavingNotice &) {}},
      Notice);
}

void logPartChange(std::string_view PoolName, const PartChange &Change) {
  logEvent(Change.Refused ? Event::PartRefused : Event::PartReleased,
           {{"pool", PoolName},
            {"part", fingerprintText(Change.Part)},
            {"crashes", Change.Crashes},
            {"age_ms", toMilliseconds(Change.Age)},
            {"teams", Change.IsOneTeam ? "one" : "all"}});
}

void logOutageLoss(std::string_view PoolName, std::string_view EndpointKey) {
  logEvent(Event::CrashDismissed, {{"pool", PoolName},
                                   {"endpoint", EndpointKey},
                                   {"why", "outage"},
                                   {"source", "self"}});
}

} // namespace coltsfoottrail
