/// @file
/// Which entry hosts are there: joins, heartbeats, suspicion, and the records
/// that say so.
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

/// @brief One entry host's part in the membership. Each host is watched by a
/// few others, chosen by rendezvous hash. A watcher that misses its heartbeats
/// asks the other watchers; if none has heard of it, they append its end in
/// turn until one append has taken effect. Pure.
///
/// Not thread-safe. Times must not go back.
class Membership {
public:
  /// @brief Makes a host that has not joined.
  /// @param Limits Times, and what the host says of itself.
  explicit Membership(const MembershipOptions &Limits);

  /// @brief Takes the agreed state; the same one again does no harm.
  void applyState(const State &Agreed, TimePoint Now, MembershipCommands &Out);
  /// @brief Takes the platform's list of hosts: a hint that shortens suspicion,
  /// never a proof.
  void applyHostList(std::span<const ListedHost> Hosts);
  /// @brief Takes a message from a peer; any number of times, in any order.
  void receive(const HostName &From, const MembershipMessage &Message,
               TimePoint Now, MembershipCommands &Out);
  /// @brief This host stops as planned: its end is appended, its work done.
  void leave(TimePoint Now, MembershipCommands &Out);
  /// @brief Does what time alone brings.
  void advance(TimePoint Now, MembershipCommands &Out);
  /// @brief When advance() should be called next.
  [[nodiscard]] TimePoint nextWake() const noexcept { return NextWake; }

  /// @brief Tells whether this run is among the agreed members.
  [[nodiscard]] bool joined() const noexcept { return Joined; }
  /// @brief Tells whether this run has been found gone.
  [[nodiscard]] bool runEnded() const noexcept { return Ended; }
  /// @brief Hosts that this one watches.
  [[nodiscard]] std::size_t watchedCount() const noexcept {
    return Watched.size();
  }

private:
  /// A host that this one watches.
  struct Watch {
    Incarnation Run = 0;
    TimePoint LastHeard;
    /// A heartbeat of this run has come.
    bool Heard = false;
    /// All its watchers, in the order in which they append.
    std::vector<HostName> Watchers;
    /// The question to the other watchers; zero while there is none.
    std::uint64_t AskNumber = 0;
    TimePoint AskedAt;
    std::set<HostName> Agreeing;
    std::optional<TimePoint> AppendAt;
    milliseconds Delay{0};
  };

  void choose(TimePoint Now);
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
  void beat(TimePoint Now, MembershipCommands &Out);
  void noticePause(TimePoint Now);
  void check(const HostName &Host, Watch &Kept, TimePoint Now,
             MembershipCommands &Out);
  void suspect(const HostName &Host, Watch &Kept, TimePoint Now,
               MembershipCommands &Out);
  void clear(Watch &Kept);
  [[nodiscard]] bool mayAppend(const Watch &Kept, TimePoint Now) const;
  [[nodiscard]] bool hearsMost(TimePoint Now) const;
  [[nodiscard]] std::size_t rankAmong(const Watch &Kept) const;
  [[nodiscard]] milliseconds patience(const HostName &Host,
                                      const Watch &Kept) const;
  [[nodiscard]] milliseconds withRandom(milliseconds Span);
  void appendOwn(TimePoint Now, MembershipCommands &Out);

  MembershipOptions Options;
  Random Draw;
  bool Joined = false;
  bool Ended = false;
  bool Leaving = false;
  std::optional<TimePoint> OwnAppendAt;
  milliseconds OwnDelay{0};
  std::map<HostName, Incarnation> Members;
  WatcherRanks Ranks;
  std::map<HostName, Watch> Watched;
  /// Runs in a row, by host, that ended without a heartbeat having come here.
  std::map<HostName, std::uint32_t> UnheardRuns;
  /// Hosts that watch this one.
  std::vector<HostName> Watchers;
  /// Whom the platform's list shows as leaving, and all that it shows.
  std::set<HostName> ListedLeaving;
  std::set<HostName> ListedLive;
  std::uint64_t NextNumber = 1;
  TimePoint NextBeat;
  TimePoint LastAdvance;
  TimePoint NextWake;
};

} // namespace coltsfoottrail

#endif
