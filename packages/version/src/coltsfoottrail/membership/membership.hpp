/// @file
/// Membership of the entry hosts: joins, heartbeats, suspicion, and the records
/// of joining and leaving.
#ifndef COLTSFOOTTRAIL_MEMBERSHIP_MEMBERSHIP_HPP
#define COLTSFOOTTRAIL_MEMBERSHIP_MEMBERSHIP_HPP

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/membership/types.hpp"
#include "coltsfoottrail/membership/watchers.hpp"
#include "coltsfoottrail/platform/engine.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief The part of one entry host in the membership. Each host is watched by
/// a few others, chosen by rendezvous hash. A watcher that misses its
/// heartbeats queries the other watchers; if none has heard from it, the
/// watchers append its removal in turn until one append has taken effect. Pure.
///
/// Not thread-safe. Times must not go back.
class Membership {
public:
  /// @brief Makes a host that has not joined.
  /// @param Settings Timing, and the join record of the host.
  explicit Membership(const MembershipOptions &Settings);

  /// @brief Applies the agreed state; applying the same state again does no
  /// harm.
  void applyState(const State &Agreed, TimePoint Now, MembershipCommands &Out);
  /// @brief Applies the platform's list of hosts: a hint that shortens
  /// suspicion, never a proof.
  void applyHostList(std::span<const ListedHost> Hosts);
  /// @brief Handles a message from a peer, which may arrive any number of times
  /// and in any order.
  void receive(const HostName &From, const MembershipMessage &Message,
               TimePoint Now, MembershipCommands &Out);
  /// @brief Starts a planned stop: this host has finished its work and appends
  /// its removal.
  void leave(TimePoint Now, MembershipCommands &Out);
  /// @brief Does what is due by time.
  void advance(TimePoint Now, MembershipCommands &Out);
  /// @brief When advance() should be called next.
  [[nodiscard]] TimePoint nextWake() const noexcept { return NextWake; }

  /// @brief Whether this run is among the agreed members.
  [[nodiscard]] bool joined() const noexcept { return Joined; }
  /// @brief Whether this run has been removed from the members.
  [[nodiscard]] bool runEnded() const noexcept { return Ended; }
  /// @brief Number of hosts that this one watches.
  [[nodiscard]] std::size_t watchedCount() const noexcept {
    return WatchedHosts.size();
  }

private:
  /// A host that this one watches.
  struct WatchedHost {
    Incarnation Run = 0;
    TimePoint LastHeard;
    /// Whether a heartbeat of this run has been received.
    bool Heard = false;
    /// All its watchers, in the order in which they append.
    std::vector<HostName> Watchers;
    /// Number of the query to the other watchers; zero if there is none.
    std::uint64_t QueryNumber = 0;
    TimePoint QuerySentAt;
    std::set<HostName> Agreeing;
    std::optional<TimePoint> AppendAt;
    milliseconds Delay{0};
  };

  void updateWatchedHosts(TimePoint Now);
  void handle(const HostName &From, const Heartbeat &Message, TimePoint Now,
              MembershipCommands &Out);
  void handle(const HostName &From, const SuspicionQuery &Message,
              TimePoint Now, MembershipCommands &Out);
  void handle(const HostName &From, const SuspicionReply &Message,
              TimePoint Now, MembershipCommands &Out);
  void handle(const HostName &From, const FreshnessQuery &Message,
              TimePoint Now, MembershipCommands &Out);
  void handle(const HostName &From, const FreshnessReply &Message,
              TimePoint Now, MembershipCommands &Out);
  void sendHeartbeats(TimePoint Now, MembershipCommands &Out);
  void detectPause(TimePoint Now);
  void checkHost(const HostName &Host, WatchedHost &Target, TimePoint Now,
                 MembershipCommands &Out);
  void startSuspicion(const HostName &Host, WatchedHost &Target, TimePoint Now,
                      MembershipCommands &Out);
  void clearSuspicion(WatchedHost &Target);
  [[nodiscard]] bool mayAppend(const WatchedHost &Target, TimePoint Now) const;
  [[nodiscard]] bool hearsAtLeastHalf(TimePoint Now) const;
  [[nodiscard]] std::size_t rankAmongWatchers(const WatchedHost &Target) const;
  [[nodiscard]] milliseconds suspicionTimeout(const HostName &Host,
                                              const WatchedHost &Target) const;
  [[nodiscard]] milliseconds withJitter(milliseconds Span);
  void appendOwnRecord(TimePoint Now, MembershipCommands &Out);

  MembershipOptions Options;
  Random Generator;
  bool Joined = false;
  bool Ended = false;
  bool Leaving = false;
  std::optional<TimePoint> OwnAppendAt;
  milliseconds OwnDelay{0};
  std::map<HostName, Incarnation> Members;
  WatcherRanks Ranks;
  std::map<HostName, WatchedHost> WatchedHosts;
  /// Number of consecutive runs, by host, that ended without a heartbeat having
  /// been received here.
  std::map<HostName, std::uint32_t> UnheardRuns;
  /// Hosts that watch this one.
  std::vector<HostName> Watchers;
  /// Hosts that the platform's list shows as leaving, and as live.
  std::set<HostName> ListedLeaving;
  std::set<HostName> ListedLive;
  std::uint64_t NextNumber = 1;
  TimePoint NextHeartbeat;
  TimePoint LastAdvance;
  TimePoint NextWake;
};

} // namespace coltsfoottrail

#endif
