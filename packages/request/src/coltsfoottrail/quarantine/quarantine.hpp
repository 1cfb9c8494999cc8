/// @file
/// Detects requests that crash the endpoints that run them.
#ifndef COLTSFOOTTRAIL_QUARANTINE_QUARANTINE_HPP
#define COLTSFOOTTRAIL_QUARANTINE_QUARANTINE_HPP

#include "coltsfoottrail/core/slotmap.hpp"
#include "coltsfoottrail/quarantine/notice.hpp"
#include "coltsfoottrail/quarantine/partquarantine.hpp"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace coltsfoottrail {

/// How a request is to be treated.
enum class Standing : std::uint8_t {
  /// It is not suspected.
  Clear,
  /// It was in flight at a crash: send it, but apart from other suspects.
  Suspect,
  /// Refuse it.
  Quarantined
};

/// @brief Sizes and lifetimes of the records.
struct QuarantineLimits {
  /// Losses at one endpoint within this time count as one crash.
  Duration CrashWindow = seconds(10);
  /// A request whose connection breaks sooner after it was sent, with no
  /// response, is not suspected: the endpoint was gone before.
  Duration MinTimeInFlight = Duration::zero();
  /// How long a request remains suspected.
  Duration SuspectLifetime = seconds(300);
  /// How long a request is refused that is the only one in flight at both of
  /// two crashes.
  Duration BlamedLifetime = seconds(600);
  /// Number of crashes after which a request is refused that is the only one in
  /// flight at all of them.
  std::size_t CrashesToBlame = 2;
  /// How long requests are refused when several were in flight at the same
  /// MaxUnsureCrashes.
  Duration UnsureLifetime = seconds(30);
  /// Number of crashes up to which requests that cannot be told apart are sent
  /// again, apart from each other.
  std::size_t MaxUnsureCrashes = 4;
  /// How long after an endpoint was closed its broken connections are not
  /// counted as a crash.
  Duration ClosedLifetime = seconds(60);
  /// Number of endpoints of one data centre lost within OutageWindow that
  /// counts as an outage of the data centre, unless one request was in flight
  /// at more than half of them.
  std::size_t OutageLosses = 3;
  Duration OutageWindow = seconds(2);
  /// A request that was in flight at this many crashes that lie further apart
  /// than OutageWindow is suspected for all of them, outages included.
  std::size_t RecurrentCrashes = 3;
  /// For parts of prompts.
  PartLimits Parts;
  std::size_t MaxFingerprints = 4096;
  std::size_t MaxCrashes = 512;
  std::size_t MaxNotices = 256;
};

/// @brief Records which requests were in flight at which crashes.
///
/// A request is refused after it was in flight at several different crashes, if
/// no other request was at all of them. After two crashes it must also have
/// been the only one in flight at one of them: a harmless request may have been
/// moved from one crash to another that have different causes. An answer clears
/// a request, and leaves fewer that the crash can be blamed on. The evidence is
/// sent to the other entry hosts as notices. Does no I/O and reads no clock.
/// Not thread-safe: guarded by the lock of its shard. Times must not go back.
class Quarantine {
public:
  /// @brief Makes an empty quarantine.
  /// @param Seed Seed of the times at which refused parts are tried.
  explicit Quarantine(QuarantineLimits Bounds, std::uint64_t Seed = 1)
      : Limits(Bounds), Parts(Bounds.Parts, Seed) {}

  /// @brief How a request is to be treated.
  /// @param Fingerprint The request; zero is always Clear.
  [[nodiscard]] Standing standing(std::uint64_t Fingerprint,
                                  TimePoint Now) const;

  /// @brief Records the loss of an endpoint with requests in flight there.
  /// Losses that are reported one by one are combined into one crash.
  /// @param EndpointKey The endpoint.
  /// @param DataCentre Its data centre.
  /// @param Run Its run when the requests were sent; zero when unknown.
  /// @param InFlight Fingerprints; zeros are ignored.
  void endpointLost(std::string_view EndpointKey,
                    const DataCentreName &DataCentre, Incarnation Run,
                    std::span<const std::uint64_t> InFlight, TimePoint Now);

  /// @brief Records that a request may have crashed an endpoint by a part of
  /// its prompt; endpointLost() or endpointRestarted() has recorded the crash.
  void suspectParts(std::string_view EndpointKey, SuspectedRequest Request,
                    TimePoint Now);

  /// @brief Records that an endpoint reports a new run while requests sent to
  /// the old one are still in flight. endpointLost() may have recorded the
  /// crash already.
  /// @return Whether the crash is recorded by this call.
  bool endpointRestarted(std::string_view EndpointKey,
                         const DataCentreName &DataCentre, Incarnation OldRun,
                         std::span<const std::uint64_t> InFlight,
                         TimePoint Now);

  /// @brief Records that a request was answered completely.
  /// @param SentAt When it was sent. An answer to a request that was sent
  /// before a supposed crash shows that the endpoint did not crash.
  void requestAnswered(std::string_view EndpointKey, std::uint64_t Fingerprint,
                       TimePoint SentAt, TimePoint Now);

  /// @brief Records that an endpoint stopped serving under a key without having
  /// crashed, as when its group is closed. Losses there before and after this
  /// do not count as a crash.
  void endpointClosed(std::string_view EndpointKey, TimePoint Now);

  /// @brief Records that this host has been cut off from most endpoints: the
  /// losses that it alone has noticed since then do not count as crashes.
  void dismissOwnLosses(TimePoint Since);

  /// @brief Processes a notice from another entry host.
  /// @return Whether it changed anything here.
  bool observe(const EndpointNotice &Notice, TimePoint Now);

  /// @brief Removes and returns the notices for the other entry hosts.
  [[nodiscard]] std::vector<EndpointNotice> takeNotices(TimePoint Now);

  /// @brief Removes and returns the endpoints whose losses were attributed to
  /// an outage of their data centre since the last call.
  [[nodiscard]] std::vector<std::string> takeOutageLosses() {
    return std::exchange(OutageLosses, {});
  }

  /// @brief The parts of prompts that are suspected or refused.
  [[nodiscard]] PartQuarantine &parts() noexcept { return Parts; }
  [[nodiscard]] const PartQuarantine &parts() const noexcept { return Parts; }

  /// @brief Number of recorded requests.
  [[nodiscard]] std::size_t size() const noexcept { return Suspects.size(); }

private:
  /// Why a crash does not count against the requests that were in flight.
  enum class Dismissal : std::uint8_t {
    None,
    /// The endpoint was lost in an outage of its data centre.
    Outage,
    /// The endpoint has not crashed, or only this host was cut off from it.
    Alive
  };
  struct Crash {
    std::string EndpointKey;
    DataCentreName DataCentre;
    Incarnation Run = 0;
    TimePoint Time;
    /// Requests in flight at the crash.
    std::unordered_set<std::uint64_t> InFlight;
    /// Those of them that have not been sent to the other entry hosts.
    std::vector<std::uint64_t> Unannounced;
    std::vector<SuspectedRequest> UnannouncedSuspects;
    Dismissal Dismissed = Dismissal::None;
    /// Whether another host has noticed it too.
    bool SeenElsewhere = false;
  };
  struct Suspect {
    std::vector<CrashId> Crashes;
    std::uint64_t Order = 0;
    TimePoint Expires;
  };

  [[nodiscard]] CrashId findOrAddCrash(std::string_view EndpointKey,
                                       const DataCentreName &DataCentre,
                                       Incarnation Run, TimePoint Time);
  [[nodiscard]] const Crash *lastCrash(std::string_view EndpointKey) const;
  [[nodiscard]] std::vector<const Crash *>
  countedCrashes(const Suspect &Entry) const;
  [[nodiscard]] bool isRecurrent(std::span<const Crash *const> CrashList) const;
  [[nodiscard]] bool isBlamed(std::span<const Crash *const> CrashList) const;
  [[nodiscard]] static bool
  isOnlyOneAtAll(std::span<const Crash *const> CrashList);
  [[nodiscard]] static bool anyInMajority(std::span<Crash *const> CrashList);
  bool ingest(const CrashNotice &Notice, TimePoint Now);
  bool ingest(const DismissNotice &Notice, TimePoint Now);
  bool ingest(const ClearNotice &Notice, TimePoint Now);
  bool ingest(const SoundNotice &Notice, TimePoint Now);
  /// Concerns no crash.
  static bool ingest(const LeavingNotice & /*Notice*/, TimePoint /*Now*/) {
    return false;
  }
  static bool ingest(const RateLimitNotice & /*Notice*/, TimePoint /*Now*/) {
    return false;
  }
  void dismissIfOutage(CrashId Id);
  bool dismiss(std::string_view EndpointKey);
  void markAlive(CrashId Id);
  void add(CrashId Id, std::uint64_t Fingerprint);
  void forget(std::uint64_t Fingerprint);
  void clear(std::uint64_t Fingerprint);
  void expire(TimePoint Now);
  void addNotice(EndpointNotice Notice);

  QuarantineLimits Limits;
  PartQuarantine Parts;
  SlotMap<Crash, CrashId> Crashes;
  /// By age.
  std::deque<CrashId> Order;
  std::unordered_map<std::string, CrashId> LastCrashes;
  /// Endpoints that closed, and when.
  std::unordered_map<std::string, TimePoint> Closed;
  std::unordered_map<std::uint64_t, Suspect> Suspects;
  /// Suspects by expiry, then by order.
  std::map<std::pair<TimePoint, std::uint64_t>, std::uint64_t> Expiries;
  std::uint64_t NextOrder = 0;
  std::deque<EndpointNotice> Outgoing;
  std::vector<std::string> OutageLosses;
};

} // namespace coltsfoottrail

#endif
