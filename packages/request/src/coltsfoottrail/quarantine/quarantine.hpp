/// @file
/// Finds the requests that crash the endpoints that run them.
#ifndef COLTSFOOTTRAIL_QUARANTINE_QUARANTINE_HPP
#define COLTSFOOTTRAIL_QUARANTINE_QUARANTINE_HPP

#include "coltsfoottrail/core/slotmap.hpp"
#include "coltsfoottrail/quarantine/notice.hpp"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace coltsfoottrail {

/// What may be done with a request.
enum class Standing : std::uint8_t {
  /// Nothing is known against it.
  Clear,
  /// In flight at a crash: send it, but apart from other suspects.
  Suspect,
  /// Refuse it.
  Quarantined
};

/// @brief Bounds and lives of what is remembered.
struct QuarantineLimits {
  /// Losses at one endpoint within this time are one crash.
  Duration CrashWindow = seconds(10);
  /// How long a request stays suspected.
  Duration SuspectLife = seconds(300);
  /// How long a request is refused that was alone at two crashes.
  Duration BlamedLife = seconds(600);
  /// How long requests are refused that were at the same two crashes together.
  Duration UnsureLife = seconds(30);
  /// How long after an endpoint closed its connections may still break.
  Duration ClosedLife = seconds(60);
  /// Endpoints of one data centre lost within MassWindow that make it an outage
  /// of the data centre, unless one request was at most of them.
  std::size_t MassLosses = 3;
  Duration MassWindow = seconds(2);
  std::size_t MaxFingerprints = 4096;
  std::size_t MaxCrashes = 512;
  std::size_t MaxNotices = 256;
};

/// @brief Remembers which requests were in flight at which crashes.
///
/// A request is refused after it was in flight at two different crashes; where
/// others were at the same two, all of them for a short time only. An answer
/// clears a suspect. Evidence goes to the other entry hosts as notices. Pure;
/// not thread-safe: stands under the lock of its shard. Times must not go back.
class Quarantine {
public:
  /// @brief Remembers nothing yet.
  explicit Quarantine(QuarantineLimits Wanted) : Limits(Wanted) {}

  /// @brief What may be done with a request.
  /// @param Fingerprint The request; zero is always Clear.
  [[nodiscard]] Standing standing(std::uint64_t Fingerprint,
                                  TimePoint Now) const;

  /// @brief Notes that an endpoint was lost with requests in flight there.
  /// Losses seen one by one add up to one crash.
  /// @param EndpointKey The endpoint.
  /// @param DataCentre Where it stands.
  /// @param Run Its run when they were sent; zero when not known.
  /// @param InFlight Fingerprints; zeros are left out.
  void endpointLost(std::string_view EndpointKey,
                    const DataCentreName &DataCentre, Incarnation Run,
                    std::span<const std::uint64_t> InFlight, TimePoint Now);

  /// @brief Notes that an endpoint reports a new run while requests sent to the
  /// old one are still in flight. The crash may be known by lost() already.
  void endpointRestarted(std::string_view EndpointKey,
                         const DataCentreName &DataCentre, Incarnation OldRun,
                         std::span<const std::uint64_t> InFlight,
                         TimePoint Now);

  /// @brief Notes that a request was answered whole.
  /// @param SentAt When it was sent: an answer to a request that was there
  /// before the supposed crash shows that there was none.
  void requestAnswered(std::string_view EndpointKey, std::uint64_t Fingerprint,
                       TimePoint SentAt, TimePoint Now);

  /// @brief Notes that an endpoint stopped serving under a key and lives on, as
  /// when its group is closed. What is lost there is no crash, now or later.
  void endpointClosed(std::string_view EndpointKey, TimePoint Now);

  /// @brief Takes what another entry host tells.
  /// @return Whether it was news here.
  bool observe(const QuarantineNotice &Notice, TimePoint Now);

  /// @brief Hands out what the other entry hosts should be told.
  [[nodiscard]] std::vector<QuarantineNotice> takeNotices(TimePoint Now);

  /// @brief Requests remembered.
  [[nodiscard]] std::size_t size() const noexcept { return Suspects.size(); }

private:
  struct Crash {
    std::string EndpointKey;
    DataCentreName DataCentre;
    Incarnation Run = 0;
    TimePoint At;
    /// Those at the crash.
    std::unordered_set<std::uint64_t> Present;
    /// Those of them that others have not been told of.
    std::vector<std::uint64_t> Untold;
    /// It was no crash of this endpoint alone.
    bool Dismissed = false;
  };
  struct Suspect {
    std::vector<CrashId> Crashes;
    std::uint64_t Order = 0;
    TimePoint Expires;
  };

  [[nodiscard]] CrashId crashOf(std::string_view EndpointKey,
                                const DataCentreName &DataCentre,
                                Incarnation Run, TimePoint At);
  [[nodiscard]] const Crash *lastCrash(std::string_view EndpointKey) const;
  [[nodiscard]] std::vector<const Crash *>
  liveCrashes(const Suspect &Known) const;
  [[nodiscard]] static bool aloneAt(std::span<const Crash *const> All);
  [[nodiscard]] static bool anyAtMost(std::span<Crash *const> All);
  bool ingest(const CrashNotice &Notice, TimePoint Now);
  bool ingest(const DismissNotice &Notice, TimePoint Now);
  bool ingest(const ClearNotice &Notice, TimePoint Now);
  void judgeMass(CrashId Which);
  bool dismiss(std::string_view EndpointKey);
  void add(CrashId Which, std::uint64_t Fingerprint);
  void forget(std::uint64_t Fingerprint);
  void clear(std::uint64_t Fingerprint);
  void expire(TimePoint Now);
  void note(QuarantineNotice Told);

  QuarantineLimits Limits;
  SlotMap<Crash, CrashId> Crashes;
  /// By age.
  std::deque<CrashId> Order;
  std::unordered_map<std::string, CrashId> LastOf;
  /// Endpoints that closed, and when.
  std::unordered_map<std::string, TimePoint> Closed;
  std::unordered_map<std::uint64_t, Suspect> Suspects;
  /// Suspects by expiry, then by order.
  std::map<std::pair<TimePoint, std::uint64_t>, std::uint64_t> Expiries;
  std::uint64_t NextOrder = 0;
  std::deque<QuarantineNotice> Outgoing;
};

} // namespace coltsfoottrail

#endif
