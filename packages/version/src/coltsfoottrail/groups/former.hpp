/// @file
/// Forms groups: brings them from Forming to Serving.
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
/// all its members have reported within a short time window that they are
/// ready, and abandons a group that cannot form.
///
/// Over all plans, only as many groups load concurrently as the weight store
/// supports: the oldest forming groups of the agreed state, so that all entry
/// hosts choose the same ones without communicating. Not thread-safe.
class GroupFormer {
public:
  /// @brief Makes a former without state.
  explicit GroupFormer(const GroupTimes &Timing) : Times(Timing) {}

  /// @brief Advances the forming groups of the plans whose lease this host
  /// holds.
  /// @param Agreed The agreed state.
  /// @param Forming Its forming groups.
  /// @param Now The time.
  /// @param Leases The leases of this host.
  /// @param Engines Reports and orders of the engines.
  /// @param Appends Paces the appends.
  /// @param Out Commands are added here.
  void poll(const State &Agreed, std::span<const GroupId> Forming,
            TimePoint Now, LeaseKeeper &Leases, EngineTracker &Engines,
            AppendPacer &Appends, GroupCommands &Out);

  /// @brief Returns and clears the hosts because of which groups were abandoned
  /// since the last call.
  [[nodiscard]] std::vector<HostName> takeFailedHosts() {
    return std::exchange(FailedHosts, {});
  }

private:
  struct PollContext;

  void formGroup(const PollContext &Context, const GroupId &Id,
                 const Group &Current, const PlanLease &Lease);
  [[nodiscard]] Duration silenceLimit(const PollContext &Context) const;
  [[nodiscard]] bool advanceMember(const PollContext &Context,
                                   const GroupId &Id, const Group &Current,
                                   const PlanLease &Lease,
                                   std::size_t Rank) const;
  void confirm(const PollContext &Context, const GroupId &Id,
               const Group &Current, const PlanLease &Lease) const;
  void abandonGroup(const PollContext &Context, const GroupId &Id,
                    const HostName &FailedHost, std::string Reason);

  GroupTimes Times;
  /// Since when each group has been allowed to load.
  std::map<GroupId, TimePoint> LoadAllowedSince;
  std::vector<HostName> FailedHosts;
};

} // namespace coltsfoottrail

#endif
