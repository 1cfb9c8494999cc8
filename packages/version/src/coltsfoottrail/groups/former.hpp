/// @file
/// Brings groups from Forming to Serving.
#ifndef COLTSFOOTTRAIL_GROUPS_FORMER_HPP
#define COLTSFOOTTRAIL_GROUPS_FORMER_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/groups/enginebook.hpp"
#include "coltsfoottrail/groups/lease.hpp"

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace coltsfoottrail {

/// @brief Orders the engines of forming groups to load, confirms a group once
/// all its members have proved within one short time that they are ready, and
/// gives up a group that can't form.
///
/// Only so many groups load at once as the weight store bears, over all plans:
/// the oldest forming ones of the agreed state, so that all entry hosts choose
/// the same without asking each other. Not thread-safe.
class GroupFormer {
public:
  /// @brief Starts with nothing known.
  explicit GroupFormer(const GroupTimes &Given) : Times(Given) {}

  /// @brief Acts on the forming groups of the plans whose lease is held.
  /// @param Now The agreed state.
  /// @param Forming Its forming groups.
  /// @param At The time.
  /// @param Leases The leases held.
  /// @param Book The engines.
  /// @param Pace Where appends go through.
  /// @param Out Where commands go.
  void poll(const State &Now, std::span<const GroupId> Forming, TimePoint At,
            LeaseKeeper &Leases, EngineTracker &Book, AppendPacer &Pace,
            GroupCommands &Out);

  /// @brief Hands over the hosts that groups were given up for since the last
  /// call.
  [[nodiscard]] std::vector<HostName> takeFailedHosts() {
    return std::exchange(GivenUp, {});
  }

private:
  struct Pass;

  void formGroup(const Pass &In, const GroupId &Id, const Group &Known,
                 const PlanLease &Lease);
  [[nodiscard]] Duration silenceAllowed(const Pass &In) const;
  [[nodiscard]] bool joinMember(const Pass &In, const GroupId &Id,
                                const Group &Known, const PlanLease &Lease,
                                std::size_t Rank) const;
  void confirm(const Pass &In, const GroupId &Id, const Group &Known,
               const PlanLease &Lease) const;
  void giveUp(const Pass &In, const GroupId &Id, const HostName &Lost,
              std::string Why);

  GroupTimes Times;
  /// Since when each group has had its turn to load.
  std::map<GroupId, TimePoint> TurnSince;
  std::vector<HostName> GivenUp;
};

} // namespace coltsfoottrail

#endif
