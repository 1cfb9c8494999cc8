/// @file
/// One entry host's watch over the members of groups.
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

/// @brief How a watcher finds a group.
struct GroupHealth {
  /// All members have answered, with the run that was confirmed, to questions
  /// that left at or after this time.
  std::optional<TimePoint> HealthySince;
  /// A member has proved that the group is broken.
  bool Broken = false;
  /// For how long the longest silent member has not answered.
  Duration SilentFor = Duration::zero();
  HostName LostMember;
  std::string Why;
};

/// Tells how many of a group's watchers, this host left out, take it for lost
/// as well.
using CountSilent = std::function<std::size_t(const GroupId &)>;

/// @brief Asks the members of the groups that this entry host watches over, and
/// has a group declared broken.
///
/// Proof is a report with another run or without the group: the member that was
/// confirmed is gone, and one such report suffices. Silence is none: the
/// watcher may be cut off itself. A group that is silent is declared broken
/// only when most of its watchers find it so. Its commands carry tickets of its
/// own: tell their outcomes to this object. Not thread-safe.
class GroupWatch {
public:
  /// @brief Starts without groups.
  /// @param Given Times of the watch.
  /// @param Pacing Times of appends.
  /// @param Name This entry host.
  GroupWatch(const WatchTimes &Given, const GroupTimes &Pacing, HostName Name)
      : Times(Given), Self(std::move(Name)), Pace(Pacing) {}

  /// @brief Asks the members whose time has come and judges the groups.
  /// @param Now The agreed state.
  /// @param Plan Who watches over what in this state.
  /// @param OthersSilent See there.
  /// @param At The time.
  [[nodiscard]] GroupCommands poll(const State &Now, const WatchPlan &Plan,
                                   const CountSilent &OthersSilent,
                                   TimePoint At);

  /// @brief Takes a report, or nothing when none came.
  void recordReport(CommandId Which, const std::optional<EngineReport> &Report,
                    TimePoint At);
  /// @brief Takes an append's outcome.
  void recordAppend(CommandId Which, const AppendResult &Outcome,
                    TimePoint At) {
    Pace.recordAppend(Which, Outcome, At);
  }
  /// @brief Asks all members of a group at once, because a request to it
  /// failed.
  void suspect(const GroupId &Group, TimePoint At);

  /// @brief How this host finds the groups that it watches over.
  [[nodiscard]] std::map<GroupId, GroupHealth>
  healthByGroup(TimePoint At) const;

  /// @brief Tells whether a group with this sight is well. Thread-safe.
  [[nodiscard]] bool isHealthy(const GroupHealth &Sight, TimePoint At) const;

private:
  struct Member {
    HostName Host;
    EngineAddress Address;
    Incarnation Run = 0;
    TimePoint NextAsk;
    std::optional<CommandId> Asking;
    TimePoint AskedAt;
    /// When the last question left that was answered well.
    std::optional<TimePoint> WellAt;
    std::optional<TimePoint> SilentSince;
  };
  struct Watched {
    std::vector<Member> Members;
    std::optional<HostName> Lost;
    std::string Why;
  };

  void follow(const State &Now, const WatchPlan &Plan, TimePoint At);
  [[nodiscard]] Watched start(const State &Now, const Group &Known,
                              TimePoint At) const;
  void ask(const GroupId &Id, Watched &Over, TimePoint At, GroupCommands &Out);
  void judge(const GroupId &Id, const GroupHealth &Sight, const WatchPlan &Plan,
             const CountSilent &OthersSilent, TimePoint At, GroupCommands &Out);
  [[nodiscard]] GroupHealth sightOf(const Watched &Over, TimePoint At) const;
  void take(const GroupId &Id, Watched &Over, Member &Of,
            const EngineReport &Report);

  WatchTimes Times;
  HostName Self;
  AppendPacer Pace;
  std::map<GroupId, Watched> Groups;
  std::map<CommandId, std::pair<GroupId, std::size_t>> Asked;
  Offset FollowedNext = 0;
  std::uint64_t FollowedDigest = 0;
};

} // namespace coltsfoottrail

#endif
