/// @file
/// All that one entry host decides about groups, behind one object.
#ifndef COLTSFOOTTRAIL_GROUPS_AGENT_HPP
#define COLTSFOOTTRAIL_GROUPS_AGENT_HPP

#include "coltsfoottrail/groups/executor.hpp"
#include "coltsfoottrail/groups/liveness.hpp"

#include <map>
#include <vector>

namespace coltsfoottrail {

/// @brief A beat that is due.
struct BeatToSend {
  HostName To;
  LivenessBeat Beat;
};

/// @brief What an agent wants done.
struct GroupDecisions {
  GroupCommands Commands;
  std::vector<BeatToSend> Beats;
};

/// @brief Ties the executor, the watch and the liveness of one entry host
/// together. Pure and not thread-safe: it stands under one lock, or on one
/// thread.
///
/// Call poll() about ten times a second and after each change of state, carry
/// out what it answers, and tell each command's outcome by its ticket.
class GroupAgent {
public:
  /// @brief Starts with nothing known.
  /// @param Pacing Times of group life.
  /// @param Watching Times of the watch.
  /// @param Name This entry host.
  /// @param Run This run of it.
  GroupAgent(const GroupTimes &Pacing, const WatchTimes &Watching,
             const HostName &Name, Incarnation Run)
      : Times(Watching), Self(Name), Executor(Pacing, Name, Run),
        Watch(Watching, Pacing, Name), Live(Watching, Name, Run) {}

  /// @brief Decides.
  /// @param Now The agreed state; never older than the one given before.
  /// @param At The time.
  [[nodiscard]] GroupDecisions poll(const State &Now, TimePoint At);

  /// @brief Takes an append's outcome.
  void recordAppend(CommandId Which, const AppendResult &Outcome, TimePoint At);
  /// @brief Takes an order's outcome.
  void recordOrder(CommandId Which, OrderResult Result, TimePoint At);
  /// @brief Takes a report, or nothing when none came.
  void recordReport(CommandId Which, std::optional<EngineReport> Report,
                    TimePoint At);
  /// @brief Takes a peer's beat.
  void receiveBeat(const LivenessBeat &Beat, TimePoint At) {
    Live.receiveBeat(Beat, At);
  }
  /// @brief Has a group's members asked at once, because a request to it
  /// failed.
  void suspect(const GroupId &Group, TimePoint At) { Watch.suspect(Group, At); }

  /// @brief Tells whether requests may be sent to a group.
  [[nodiscard]] bool mayRoute(const GroupId &Group, TimePoint At) const {
    return Live.mayRoute(Group, At);
  }
  /// @brief Until when each group may be used, if nothing is heard meanwhile;
  /// a copy for the request path. A group that is not in it may not be used.
  [[nodiscard]] std::map<GroupId, TimePoint> usableUntil() const {
    return Live.usableUntil();
  }
  /// @brief Hosts that are known not to answer, for planIntent().
  [[nodiscard]] std::set<HostName> avoidedHosts(TimePoint At) const {
    return Executor.avoidedHosts(At);
  }

private:
  void pollWatch(const State &Now, TimePoint At, GroupDecisions &Out);
  void addBeats(const State &Now, TimePoint At, GroupDecisions &Out);

  WatchTimes Times;
  HostName Self;
  GroupExecutor Executor;
  GroupWatch Watch;
  GroupLiveness Live;
  TimePoint NextBeat;
};

} // namespace coltsfoottrail

#endif
