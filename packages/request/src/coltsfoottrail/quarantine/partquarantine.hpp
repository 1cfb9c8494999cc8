/// @file
/// Detects parts of prompts that crash the endpoints that run them.
#ifndef COLTSFOOTTRAIL_QUARANTINE_PARTQUARANTINE_HPP
#define COLTSFOOTTRAIL_QUARANTINE_PARTQUARANTINE_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/core/slotmap.hpp"
#include "coltsfoottrail/quarantine/notice.hpp"
#include "coltsfoottrail/quarantine/recentparts.hpp"
#include "coltsfoottrail/quarantine/runtally.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace coltsfoottrail {

/// @brief Thresholds and sizes of a PartQuarantine.
struct PartLimits {
  /// Crashes with no run of a part since the first of them, after which it is
  /// refused. They involve two requests at least: one alone is refused by its
  /// fingerprint.
  std::size_t CrashesToRefuse = 3;
  /// The same for a part that is refused in another pool.
  std::size_t CrashesIfRefusedElsewhere = 1;
  /// A part is refused only if a harmless one would be at as many of the
  /// crashes since its first one, and in none of the requests that were run
  /// meanwhile, with a smaller probability than this. An outage takes endpoints
  /// with whatever they run.
  double MaxChance = 1e-5;
  /// The same for an unfamiliar part while at least CollapseFraction of the
  /// runs are lost: little is left that a wrong refusal could spoil.
  double MaxChanceInCollapse = 1e-4;
  double CollapseFraction = 0.8;
  /// How long after the first crash of a part the other hosts have to tell that
  /// they have run it.
  Duration NoticeDelay = milliseconds(500);
  /// How long after its last crash runs of other requests count against a part.
  Duration EvidenceTime = seconds(2);
  /// How long parts that were at the same crashes are told apart by answers.
  Duration TieDelay = seconds(2);
  /// How long after its last crash a part is refused, at least; at most twice
  /// that. Then a request is sent to try it. The time doubles with each that
  /// crashes an endpoint again, up to MaxRefusalTime.
  Duration RefusalTime = seconds(30);
  Duration MaxRefusalTime = seconds(300);
  /// Shortest time between two such requests of this host.
  Duration ProbeInterval = seconds(60);
  /// Shortest time between two notices of parts that were run.
  Duration NoticeInterval = milliseconds(100);
  std::size_t MaxSuspects = 1024;
  /// Crashes kept for each part.
  std::size_t MaxCrashes = 32;
  /// Requests kept for each part and crash.
  std::size_t MaxRequests = 4;
};

/// @brief A part is refused from now on, or no longer.
struct PartChange {
  PromptPartId Part = 0;
  bool Refused = false;
  std::size_t Crashes = 0;
  /// Time since the first of them.
  Duration Age{};
  /// Whether only the requests of one team are refused.
  bool IsOneTeam = false;
};

/// @brief Records which parts of prompts were at which crashes of endpoints and
/// which were run since, and decides which are refused.
///
/// A part that crashes endpoints is at each of its crashes and is never run
/// without one; a frequent harmless part is at the same crashes and is run by
/// other endpoints meanwhile. A crash that a refused part explains does not
/// count against others. Each host decides by the crashes and runs that all
/// hosts have told of, and by how many requests it has run itself. Does no I/O
/// and reads no clock. Not thread-safe: guarded by the lock of its shard. Times
/// must not go back, but those of crashes may.
class PartQuarantine {
public:
  /// @brief Makes an empty quarantine.
  /// @param Seed Seed of the times at which refused parts are tried, and of the
  /// number by which other hosts know this one.
  explicit PartQuarantine(PartLimits Bounds, std::uint64_t Seed = 1)
      : Limits(Bounds), Draw(Seed), Self(Draw()) {}

  /// @brief Records a crash, whoever was there.
  void addCrash(CrashId Crash, TimePoint CrashedAt);
  /// @brief Records that a request of this host was at a crash, having just
  /// begun to run or possibly so.
  void recordLost(TimePoint CrashedAt);
  /// @brief Records that a request of any host was at a crash, having just
  /// begun to run or possibly so.
  void suspect(CrashId Crash, TimePoint CrashedAt,
               const SuspectedRequest &Request, TimePoint Now);
  /// @brief How many requests this host has answered lately.
  [[nodiscard]] HostHistory history(TimePoint Now) const;
  /// @brief Records how many requests another host has answered lately.
  void ingest(const HostHistory &History, TimePoint Now);
  /// @brief Forgets a crash, which was none or has expired.
  void removeCrash(CrashId Crash);

  /// @brief Records a request that an endpoint has run without crashing. One
  /// without parts is ignored.
  /// @param BegunAt When it began to run, or earlier.
  void recordSound(std::span<const PromptPartId> Parts, TimePoint BegunAt,
                   TimePoint Now);
  /// @brief Processes what another host knows of suspected parts.
  /// @return Whether it changed anything here.
  bool ingest(const SoundNotice &Notice, TimePoint Now);
  /// @brief Records that a part is refused in another pool.
  void addRefusedElsewhere(PromptPartId Part, TimePoint Now);

  /// @brief Decides anew which parts are refused, if that may have changed.
  void review(TimePoint Now);
  /// @brief Until when a request is refused for one of its parts.
  /// @return Nothing if it is not refused.
  [[nodiscard]] std::optional<TimePoint>
  refusedUntil(std::span<const PromptPartId> Parts, std::uint64_t Team,
               TimePoint Now) const;
  /// @brief Records that a request is sent. If one of its parts is refused, it
  /// is a probe and postpones the next one.
  void recordSend(std::span<const PromptPartId> Parts, std::uint64_t Team,
                  TimePoint Now);
  /// @brief Whether a crash is explained by a refused part.
  [[nodiscard]] bool explains(CrashId Crash) const {
    return ExplainedByParts.contains(Crash);
  }

  /// @brief Removes and returns the notice for the other hosts, if any is due.
  [[nodiscard]] std::optional<SoundNotice> takeNotice(TimePoint Now);
  /// @brief Removes and returns the changes of refused parts since the last
  /// call.
  [[nodiscard]] std::vector<PartChange> takeChanges();

  /// @brief Number of suspected parts.
  [[nodiscard]] std::size_t size() const noexcept { return Suspects.size(); }
  /// @brief Number of refused parts.
  [[nodiscard]] std::size_t refused() const noexcept { return Refused.size(); }

private:
  struct TimedHistory {
    std::uint32_t Requests = 0;
    TimePoint At;
  };
  struct CrashRecord {
    TimePoint Time;
    /// The requests that had just begun to run, of all hosts.
    std::unordered_set<std::uint64_t> Requests;
  };
  struct RequestAtCrash {
    std::uint64_t Fingerprint = 0;
    std::uint64_t Team = 0;
    [[nodiscard]] friend bool operator==(const RequestAtCrash &,
                                         const RequestAtCrash &) = default;
  };
  struct CrashOfPart {
    CrashId Id;
    TimePoint Time;
    std::vector<RequestAtCrash> Requests;
  };
  struct Suspect {
    /// By time.
    std::vector<CrashOfPart> Crashes;
    /// Requests with it were answered before its first crash.
    bool IsFamiliar = false;
    /// When the latest run without a crash began.
    TimePoint SoundAt{};
    /// When it was found to be refused in another pool.
    std::optional<TimePoint> RefusedElsewhereAt;
  };
  /// The crashes of a part that nothing else explains.
  struct Case {
    PromptPartId Part = 0;
    bool IsFamiliar = false;
    bool IsRefusedElsewhere = false;
    std::vector<const CrashOfPart *> Crashes;

    [[nodiscard]] std::size_t requestCount() const;
    [[nodiscard]] std::size_t differentRequests() const;
    /// Whether one request was at all of them.
    [[nodiscard]] bool isOneRequest() const;
    /// The team of all its requests; empty if there are several.
    [[nodiscard]] std::optional<std::uint64_t> onlyTeam() const;
    [[nodiscard]] TimePoint first() const { return Crashes.front()->Time; }
    [[nodiscard]] TimePoint last() const { return Crashes.back()->Time; }
  };
  struct Refusal {
    TimePoint LastCrash;
    TimePoint Until;
    std::size_t Crashes = 0;
    /// How often it has been tried in vain.
    std::uint32_t Renewals = 0;
    bool IsFamiliar = false;
    /// Empty if all teams are refused.
    std::optional<std::uint64_t> Team;

    [[nodiscard]] bool appliesTo(std::uint64_t RequestTeam) const {
      return Team.value_or(RequestTeam) == RequestTeam;
    }
  };

  [[nodiscard]] Suspect &findOrAdd(PromptPartId Part);
  void evictLeastSuspected();
  void suspectPart(CrashId Crash, TimePoint CrashedAt, PromptPartId Part,
                   const SuspectedRequest &Request, TimePoint Now);
  /// Removes the crashes before a run. Returns whether there were any.
  [[nodiscard]] static bool removeCrashesBefore(TimePoint BegunAt,
                                                Suspect &Entry);
  void announce(PromptPartId Part, TimePoint BegunAt);
  /// Requests that all hosts have answered lately.
  [[nodiscard]] std::size_t recentRequests(TimePoint Now) const;
  /// Whether chance is too unlikely to have a harmless part at the crashes of a
  /// case.
  [[nodiscard]] bool isBeyondChance(const Case &Each, TimePoint Now) const;
  void expire(TimePoint Now);
  [[nodiscard]] std::vector<Case> openCases() const;
  /// Sorts the cases, those first that explain most.
  static void sort(std::vector<Case> &Cases);
  void removeExplained(std::vector<Case> &Cases) const;
  [[nodiscard]] bool isProven(const Case &Each, TimePoint Now) const;
  [[nodiscard]] bool mustWait(const Case &Each, std::span<const Case> All,
                              TimePoint Now) const;
  [[nodiscard]] static bool hasRival(const Case &Each,
                                     std::span<const Case> Others);
  [[nodiscard]] Duration refusalTime(std::uint32_t Renewals);
  void refuse(const Case &Each, TimePoint Now);
  void release(const std::unordered_set<PromptPartId> &Kept, TimePoint Now);

  PartLimits Limits;
  Random Draw;
  RecentParts Recent;
  /// This host's run in its notices.
  std::uint64_t Self;
  std::unordered_map<std::uint64_t, TimedHistory> Others;
  std::unordered_map<PromptPartId, Suspect> Suspects;
  std::unordered_map<PromptPartId, Refusal> Refused;
  std::map<CrashId, CrashRecord> AllCrashes;
  std::set<CrashId> ExplainedByParts;
  RunTally Runs;
  std::unordered_map<PromptPartId, TimePoint> Outgoing;
  TimePoint LastNoticeAt{};
  std::vector<PartChange> Changes;
  /// Whether evidence has arrived since the last review.
  bool IsChanged = false;
  /// When the next review is due without new evidence.
  TimePoint ReviewAt{};
};

} // namespace coltsfoottrail

#endif
