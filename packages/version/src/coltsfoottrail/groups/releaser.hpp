/// @file
/// Brings the hosts of stopping and broken groups back.
#ifndef COLTSFOOTTRAIL_GROUPS_RELEASER_HPP
#define COLTSFOOTTRAIL_GROUPS_RELEASER_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/groups/enginebook.hpp"

#include <map>
#include <optional>
#include <span>

namespace coltsfoottrail {

/// @brief Has the engines of stopping and broken groups leave and releases each
/// host once its engine has proved that it is out.
///
/// Needs no lease: to leave a group that is over may be ordered by anyone, and
/// again. The fencing number is the Next of a state in which the group is over,
/// which is above that of any lease under which the group was formed. An engine
/// that refuses old fences is out for good once it has obeyed that number and
/// reports itself out. One that ignores them is out for good when it reports so
/// after all leases under which it may have been ordered in have run out by
/// their holders' slowest clocks. Not thread-safe.
class HostReleaser {
public:
  /// @brief Starts with nothing known.
  /// @param Given Times of the deployment.
  /// @param Name This entry host.
  HostReleaser(const GroupTimes &Given, HostName Name)
      : Times(Given), Self(std::move(Name)) {}

  /// @brief Acts on the groups that are over, where this entry host has its
  /// turn.
  /// @param Now The agreed state.
  /// @param Over Its stopping and broken groups.
  /// @param At The time.
  /// @param Book The engines.
  /// @param Pace Where appends go through.
  /// @param Out Where commands go.
  void poll(const State &Now, std::span<const GroupId> Over, TimePoint At,
            EngineTracker &Book, AppendPacer &Pace, GroupCommands &Out);

private:
  struct Pass;
  struct Leaving {
    GroupPhase Phase = GroupPhase::Stopping;
    TimePoint Since;
    Offset Fence = 0;
    std::optional<TimePoint> QuietSince;
    bool MayLeave = false;
    std::size_t Turn = 0;
    TimePoint NextTurnLook;
  };

  [[nodiscard]] bool hasTurn(const Pass &In, const GroupId &Id,
                             Leaving &How) const;
  void releaseGroup(const Pass &In, const GroupId &Id, const Group &Known,
                    Leaving &How) const;
  void watchQuiet(const Pass &In, const GroupId &Id, const Group &Known,
                  Leaving &How) const;
  void releaseHost(const Pass &In, const GroupId &Id, const HostSpec &Host,
                   Leaving &How) const;
  [[nodiscard]] bool isOutForGood(const Pass &In, const HostSpec &Host,
                                  const EngineReport &Report,
                                  const Leaving &How) const;
  void release(const Pass &In, const GroupId &Id, const HostName &Host) const;

  GroupTimes Times;
  HostName Self;
  std::map<GroupId, Leaving> Groups;
};

} // namespace coltsfoottrail

#endif
