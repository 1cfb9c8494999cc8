/// @file
/// All decisions of one entry host about groups, behind one object.
#ifndef COLTSFOOTTRAIL_GROUPS_AGENT_HPP
#define COLTSFOOTTRAIL_GROUPS_AGENT_HPP

#include "coltsfoottrail/groups/executor.hpp"
#include "coltsfoottrail/groups/liveness.hpp"

#include <map>
#include <vector>

namespace coltsfoottrail {

/// @brief A liveness heartbeat to be sent to a peer.
struct BeatToSend {
  HostName To;
  LivenessBeat Beat;
};

/// @brief The decisions of one call of GroupAgent::poll().
struct GroupDecisions {
  GroupCommands Commands;
  std::vector<BeatToSend> Beats;
};

/// @brief Combines the executor, the watch and the liveness of one entry host.
/// Pure and not thread-safe: use it under one lock, or on one thread.
///
/// Call poll() about ten times a second and after each change of state, carry
/// out the decisions that it returns, and report the outcome of each command
/// under its id.
class GroupAgent {
public:
  /// @brief Makes an agent without state.
  /// @param Pacing Timing of groups, leases and appends.
  /// @param Watching Timing of the watch.
  /// @param Name Name of this entry host.
  /// @param Run Current run of this entry host.
  GroupAgent(const GroupTimes &Pacing, const WatchTimes &Watching,
             const HostName &Name, Incarnation Run)
      : Times(Watching), Self(Name), Executor(Pacing, Name, Run),
        Watch(Watching, Pacing, Name), Liveness(Watching, Name, Run) {}

  /// @brief Decides what to do now.
  /// @param Agreed The agreed state; never older than the one passed before.
  /// @param Now The time.
  [[nodiscard]] GroupDecisions poll(const State &Agreed, TimePoint Now);

  /// @brief Records the outcome of an append.
  void recordAppend(CommandId Id, const AppendResult &Outcome, TimePoint Now);
  /// @brief Records the outcome of an order.
  void recordOrder(CommandId Id, OrderResult Result, TimePoint Now);
  /// @brief Records an engine report, or that none came.
  void recordReport(CommandId Id, std::optional<EngineReport> Report,
                    TimePoint Now);
  /// @brief Handles a heartbeat from a peer.
  void receiveBeat(const LivenessBeat &Beat, TimePoint Now) {
    Liveness.receiveBeat(Beat, Now);
  }
  /// @brief Queries the members of a group at once, because a request to it
  /// failed.
  void suspect(const GroupId &Group, TimePoint Now) {
    Watch.suspect(Group, Now);
  }

  /// @brief Whether requests may be sent to a group.
  [[nodiscard]] bool mayRoute(const GroupId &Group, TimePoint Now) const {
    return Liveness.mayRoute(Group, Now);
  }
  /// @brief Returns until when each group may be used if nothing is received in
  /// the meantime; a copy for the request path. A group that is not included
  /// may not be used.
  [[nodiscard]] std::map<GroupId, TimePoint> usableUntil() const {
    return Liveness.usableUntil();
  }
  /// @brief Hosts that are known not to answer, for planIntent().
  [[nodiscard]] std::set<HostName> avoidedHosts(TimePoint Now) const {
    return Executor.avoidedHosts(Now);
  }

private:
  void pollWatch(const State &Agreed, TimePoint Now, GroupDecisions &Decisions);
  void addBeats(const State &Agreed, TimePoint Now, GroupDecisions &Decisions);

  WatchTimes Times;
  HostName Self;
  GroupExecutor Executor;
  GroupWatch Watch;
  GroupLiveness Liveness;
  TimePoint NextBeat;
};

} // namespace coltsfoottrail

#endif
