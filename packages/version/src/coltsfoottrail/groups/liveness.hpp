/// @file
/// Which groups an entry host may send requests to.
#ifndef COLTSFOOTTRAIL_GROUPS_LIVENESS_HPP
#define COLTSFOOTTRAIL_GROUPS_LIVENESS_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/groups/beat.hpp"
#include "coltsfoottrail/groups/watch.hpp"

#include <deque>
#include <map>
#include <set>

namespace coltsfoottrail {

/// @brief Keeps until when each serving group may be used, from the own watch
/// and the beats of other watchers.
///
/// A sighting counts from when the beat left that it answers, by this host's
/// own clock. The member answered after that moment, so a group is used for no
/// longer than WatchTimes::stopBound() after the loss of a member, however late
/// messages come and whatever is cut off from what. Not thread-safe.
class GroupLiveness {
public:
  /// @brief Starts without sightings: no group may be used yet.
  /// @param Given Times of the watch.
  /// @param Name This entry host.
  /// @param Number This run of it.
  GroupLiveness(const WatchTimes &Given, HostName Name, Incarnation Number)
      : Times(Given), Self(std::move(Name)), Run(Number) {}

  /// @brief Takes in a state and the own watch. Call it before beatFor() and
  /// after each change of state.
  /// @param Now The agreed state.
  /// @param Own The own watch.
  /// @param At The time.
  void follow(const State &Now, const GroupWatch &Own, TimePoint At);

  /// @brief Who watches over what in the state followed last.
  /// @pre follow() has been called.
  [[nodiscard]] const WatchPlan &plan() const { return Plans.back(); }

  /// @brief Makes the beat for a peer; one is due each WatchTimes::BeatEvery,
  /// and at once when urgent() says so.
  /// @pre follow() has been called.
  [[nodiscard]] LivenessBeat beatFor(const HostName &Peer, TimePoint At);

  /// @brief Tells, once, that the own watch has proof of a broken group that no
  /// beat has told yet.
  [[nodiscard]] bool takeUrgent();

  /// @brief Takes a peer's beat.
  void receiveBeat(const LivenessBeat &Beat, TimePoint At);

  /// @brief Tells whether requests may be sent to a group.
  [[nodiscard]] bool mayRoute(const GroupId &Group, TimePoint At) const;

  /// @brief Until when each group may be used; a copy for the request path.
  [[nodiscard]] std::map<GroupId, TimePoint> usableUntil() const;

  /// @brief Counts the other watchers of a group whose last beat, not older
  /// than a sighting's life, doubts it or proves it broken.
  [[nodiscard]] std::size_t countOtherSilentWatchers(const GroupId &Group,
                                                     TimePoint At) const;

private:
  struct Heard {
    BeatId Beat;
    TimePoint At;
  };
  struct Serving {
    /// Next of the state in which it was first seen to serve.
    Offset Seen = 0;
    /// Until when each watcher's sighting holds.
    std::map<HostName, TimePoint> Until;
    /// When each watcher last said that it takes the group for lost.
    std::map<HostName, TimePoint> SilentAt;
    bool Broken = false;
  };

  void followGroups(const State &Now);
  void followPlan(const State &Now);
  void applyReached(TimePoint At);
  void apply(const LivenessBeat &Beat, TimePoint At);
  [[nodiscard]] BeatId echoFor(const HostName &Peer, TimePoint Oldest) const;
  [[nodiscard]] const WatchPlan *planOf(std::uint64_t Digest) const;
  [[nodiscard]] std::optional<TimePoint> leftAt(const BeatId &Own) const;

  WatchTimes Times;
  HostName Self;
  Incarnation Run;
  std::map<GroupId, Serving> Groups;
  /// Plans of the last few memberships, the newest last: a peer may be a little
  /// behind or ahead.
  std::deque<WatchPlan> Plans;
  std::uint64_t Sequence = 0;
  std::deque<std::pair<std::uint64_t, TimePoint>> Sent;
  std::map<HostName, std::deque<Heard>> Peers;
  /// Beats out of states that this host has yet to reach.
  std::map<HostName, LivenessBeat> Ahead;
  std::set<GroupId> Silent;
  std::set<GroupId> Doubted;
  std::set<GroupId> Broken;
  std::set<GroupId> ToldBroken;
  /// Oldest of the own sightings that are well.
  TimePoint OldestWell;
  Offset Through = 0;
  /// LastChange of the state whose groups were taken in: no group changes
  /// without it.
  std::optional<Offset> GroupsAt;
  bool Urgent = false;
};

} // namespace coltsfoottrail

#endif
