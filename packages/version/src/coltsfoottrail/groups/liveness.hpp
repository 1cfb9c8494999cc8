/// @file
/// Determines which groups an entry host may send requests to.
#ifndef COLTSFOOTTRAIL_GROUPS_LIVENESS_HPP
#define COLTSFOOTTRAIL_GROUPS_LIVENESS_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/groups/beat.hpp"
#include "coltsfoottrail/groups/watch.hpp"

#include <deque>
#include <map>
#include <set>

namespace coltsfoottrail {

/// @brief Tracks until when each serving group may be used, from the own watch
/// and the heartbeats of other watchers.
///
/// The word of a watcher counts from when the heartbeat was sent that the
/// watcher echoes, by the clock of this host. The members answered after that
/// moment, so a group is used for no longer than WatchTimes::maxUseAfterLoss()
/// after the loss of a member, however late messages arrive and whatever is cut
/// off from what. Not thread-safe.
class GroupLiveness {
public:
  /// @brief Makes an object for which no group may be used yet.
  /// @param Timing Timing of the watch.
  /// @param Name Name of this entry host.
  /// @param RunNumber Current run of this entry host.
  GroupLiveness(const WatchTimes &Timing, HostName Name, Incarnation RunNumber)
      : Times(Timing), Self(std::move(Name)), Run(RunNumber) {}

  /// @brief Applies a state and the results of the own watch. Call it before
  /// beatFor() and after each change of state.
  /// @param Agreed The agreed state.
  /// @param Own The own watch.
  /// @param Now The time.
  void follow(const State &Agreed, const GroupWatch &Own, TimePoint Now);

  /// @brief Assignment of watchers to groups in the last state passed to
  /// follow().
  /// @pre follow() has been called.
  [[nodiscard]] const WatchPlan &plan() const { return Plans.back(); }

  /// @brief Makes the heartbeat for a peer. One is due each
  /// WatchTimes::BeatEvery, and at once if takeUrgent() returns true.
  /// @pre follow() has been called.
  [[nodiscard]] LivenessBeat beatFor(const HostName &Peer, TimePoint Now);

  /// @brief Whether the own watch has proof of a broken group that no heartbeat
  /// has reported yet; true only once.
  [[nodiscard]] bool takeUrgent();

  /// @brief Handles a heartbeat from a peer.
  void receiveBeat(const LivenessBeat &Beat, TimePoint Now);

  /// @brief Whether requests may be sent to a group.
  [[nodiscard]] bool mayRoute(const GroupId &Group, TimePoint Now) const;

  /// @brief Until when each group may be used; a copy for the request path.
  [[nodiscard]] std::map<GroupId, TimePoint> usableUntil() const;

  /// @brief Counts the other watchers of a group that have reported it as
  /// silent within the last WatchTimes::VouchLifetime.
  [[nodiscard]] std::size_t countOtherSilentWatchers(const GroupId &Group,
                                                     TimePoint Now) const;

private:
  struct ReceivedBeat {
    BeatId Beat;
    TimePoint ReceivedAt;
  };
  struct ServingGroup {
    /// State::Next of the state in which the group was first seen to serve.
    Offset ServingSince = 0;
    /// Until when the word of each watcher holds.
    std::map<HostName, TimePoint> VouchedUntil;
    /// When each watcher last reported the group as lost.
    std::map<HostName, TimePoint> ReportedLostAt;
    bool Broken = false;
  };

  void followGroups(const State &Agreed);
  void followPlan(const State &Agreed);
  void applyDeferred(TimePoint Now);
  void applyBeat(const LivenessBeat &Beat, TimePoint Now);
  [[nodiscard]] BeatId echoFor(const HostName &Peer, TimePoint Oldest) const;
  [[nodiscard]] const WatchPlan *findPlan(std::uint64_t Digest) const;
  [[nodiscard]] std::optional<TimePoint> sentAt(const BeatId &Beat) const;

  WatchTimes Times;
  HostName Self;
  Incarnation Run;
  std::map<GroupId, ServingGroup> Groups;
  /// Watch plans of the last few sets of entry hosts, the newest last: a peer
  /// may be slightly behind or ahead.
  std::deque<WatchPlan> Plans;
  std::uint64_t Sequence = 0;
  std::deque<std::pair<std::uint64_t, TimePoint>> Sent;
  std::map<HostName, std::deque<ReceivedBeat>> Peers;
  /// Heartbeats based on states that this host has not reached yet.
  std::map<HostName, LivenessBeat> Deferred;
  std::set<GroupId> Silent;
  std::set<GroupId> Doubted;
  std::set<GroupId> Broken;
  std::set<GroupId> ReportedBroken;
  /// Oldest HealthySince of the own groups that are healthy.
  TimePoint OldestHealthySince;
  Offset StateNext = 0;
  /// State::LastChange of the state whose groups were applied: no group changes
  /// without it.
  std::optional<Offset> AppliedChange;
  bool Urgent = false;
};

} // namespace coltsfoottrail

#endif
