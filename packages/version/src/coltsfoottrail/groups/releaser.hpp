/// @file
/// Releases the hosts of stopping and broken groups.
#ifndef COLTSFOOTTRAIL_GROUPS_RELEASER_HPP
#define COLTSFOOTTRAIL_GROUPS_RELEASER_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/groups/enginebook.hpp"

#include <map>
#include <optional>
#include <span>

namespace coltsfoottrail {

/// @brief Orders the engines of stopping and broken groups to leave, and
/// releases each host once its engine has proved that it has left.
///
/// Needs no lease: any host may order an engine to leave a group that has
/// ended, any number of times. The fencing number is the Next of a state in
/// which the group has ended, which is above that of any lease under which the
/// group was formed. An engine that refuses old fences has left for good once
/// it has obeyed that number and reports that it has left. An engine that
/// ignores them has left for good when it reports so after all leases under
/// which it may have been ordered to join have expired by the slowest clock of
/// their holders. Not thread-safe.
class HostReleaser {
public:
  /// @brief Makes a releaser without state.
  /// @param Timing Timing of the deployment.
  /// @param Name Name of this entry host.
  HostReleaser(const GroupTimes &Timing, HostName Name)
      : Times(Timing), Self(std::move(Name)) {}

  /// @brief Advances the ended groups that this entry host may act on.
  /// @param Agreed The agreed state.
  /// @param Ended Its stopping and broken groups.
  /// @param Now The time.
  /// @param Engines Reports and orders of the engines.
  /// @param Appends Paces the appends.
  /// @param Out Commands are added here.
  void poll(const State &Agreed, std::span<const GroupId> Ended, TimePoint Now,
            EngineTracker &Engines, AppendPacer &Appends, GroupCommands &Out);

private:
  struct PollContext;
  /// Progress of releasing one group.
  struct ReleaseState {
    GroupPhase Phase = GroupPhase::Stopping;
    TimePoint Since;
    Offset Fence = 0;
    std::optional<TimePoint> IdleSince;
    bool MayLeave = false;
    std::size_t Rank = 0;
    TimePoint NextRankRefresh;
  };

  [[nodiscard]] bool mayAct(const PollContext &Context, const GroupId &Id,
                            ReleaseState &Release) const;
  void releaseGroup(const PollContext &Context, const GroupId &Id,
                    const Group &Current, ReleaseState &Release) const;
  void updateIdle(const PollContext &Context, const GroupId &Id,
                  const Group &Current, ReleaseState &Release) const;
  void releaseHost(const PollContext &Context, const GroupId &Id,
                   const HostSpec &Host, ReleaseState &Release) const;
  [[nodiscard]] bool hasLeftForGood(const PollContext &Context,
                                    const HostSpec &Host,
                                    const EngineReport &Report,
                                    const ReleaseState &Release) const;
  void release(const PollContext &Context, const GroupId &Id,
               const HostName &Host) const;

  GroupTimes Times;
  HostName Self;
  std::map<GroupId, ReleaseState> Groups;
};

} // namespace coltsfoottrail

#endif
