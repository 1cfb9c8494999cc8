/// @file
/// Monitors the members of the groups that one entry host watches.
#ifndef COLTSFOOTTRAIL_GROUPS_WATCH_HPP
#define COLTSFOOTTRAIL_GROUPS_WATCH_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/groups/command.hpp"
#include "coltsfoottrail/groups/pacer.hpp"
#include "coltsfoottrail/groups/watchplan.hpp"
#include "coltsfoottrail/groups/watchtimes.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace coltsfoottrail {

/// @brief Health of a group as seen by one watcher.
struct GroupHealth {
  /// All members have answered, with the run that was confirmed, queries that
  /// were sent at or after this time.
  std::optional<TimePoint> HealthySince;
  /// A report of a member has proved that the group is broken.
  bool Broken = false;
  /// How long the member that has been silent longest has not answered.
  Duration SilentFor = Duration::zero();
  HostName LostMember;
  std::string Why;
};

/// Counts the other watchers of a group that also take it for lost.
using CountSilent = std::function<std::size_t(const GroupId &)>;

/// @brief Queries the members of the groups that this entry host watches, and
/// declares groups broken.
///
/// A report with another run or without the group is proof: the member that was
/// confirmed is gone, and one such report suffices. Silence is no proof, since
/// the watcher may be cut off itself: a silent group is declared broken only
/// when all of its watchers find it silent. The commands carry ids of this
/// object: report their outcomes to it. Not thread-safe.
class GroupWatch {
public:
  /// @brief Makes a watch without groups.
  /// @param Timing Timing of the watch.
  /// @param Pacing Timing of appends.
  /// @param Name Name of this entry host.
  GroupWatch(const WatchTimes &Timing, const GroupTimes &Pacing, HostName Name)
      : Times(Timing), Self(std::move(Name)), Appends(Pacing) {}

  /// @brief Queries the members that are due and declares groups broken.
  /// @param Agreed The agreed state.
  /// @param Plan Assignment of watchers to groups in this state.
  /// @param CountOthers Counts the other watchers that take a group for lost.
  /// @param Now The time.
  [[nodiscard]] GroupCommands poll(const State &Agreed, const WatchPlan &Plan,
                                   const CountSilent &CountOthers,
                                   TimePoint Now);

  /// @brief Records an engine report, or that none came.
  void recordReport(CommandId Query, const std::optional<EngineReport> &Report,
                    TimePoint Now);
  /// @brief Records the outcome of an append.
  void recordAppend(CommandId Id, const AppendResult &Outcome, TimePoint Now) {
    Appends.recordAppend(Id, Outcome, Now);
  }
  /// @brief Queries all members of a group at once, because a request to it
  /// failed.
  void suspect(const GroupId &Id, TimePoint Now);

  /// @brief Health of the groups that this host watches.
  [[nodiscard]] std::map<GroupId, GroupHealth>
  healthByGroup(TimePoint Now) const;

  /// @brief Whether a group with this health counts as healthy. Thread-safe.
  [[nodiscard]] bool isHealthy(const GroupHealth &Health, TimePoint Now) const;

private:
  struct WatchedMember {
    HostName Host;
    EngineAddress Address;
    Incarnation Run = 0;
    TimePoint NextQuery;
    std::optional<CommandId> QueryId;
    TimePoint QuerySentAt;
    /// When the last query was sent that was answered by a ready member.
    std::optional<TimePoint> HealthyAt;
    std::optional<TimePoint> SilentSince;
  };
  struct WatchedGroup {
    std::vector<WatchedMember> Members;
    std::optional<HostName> Lost;
    std::string Reason;
  };

  void follow(const State &Agreed, const WatchPlan &Plan, TimePoint Now);
  [[nodiscard]] WatchedGroup
  startWatching(const State &Agreed, const Group &Source, TimePoint Now) const;
  void queryMembers(const GroupId &Id, WatchedGroup &Group, TimePoint Now,
                    GroupCommands &Out);
  void declareIfBroken(const GroupId &Id, const GroupHealth &Health,
                       const WatchPlan &Plan, const CountSilent &CountOthers,
                       TimePoint Now, GroupCommands &Out);
  [[nodiscard]] GroupHealth healthOf(const WatchedGroup &Group,
                                     TimePoint Now) const;
  void applyReport(const GroupId &Id, WatchedGroup &Group,
                   WatchedMember &Member, const EngineReport &Report);

  WatchTimes Times;
  HostName Self;
  AppendPacer Appends;
  std::map<GroupId, WatchedGroup> Groups;
  std::map<CommandId, std::pair<GroupId, std::size_t>> PendingQueries;
  Offset SeenNext = 0;
  std::uint64_t SeenDigest = 0;
};

} // namespace coltsfoottrail

#endif
