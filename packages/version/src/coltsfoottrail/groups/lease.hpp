/// @file
/// Leases on the execution of plans.
#ifndef COLTSFOOTTRAIL_GROUPS_LEASE_HPP
#define COLTSFOOTTRAIL_GROUPS_LEASE_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/groups/pacer.hpp"
#include "coltsfoottrail/groups/times.hpp"

#include <map>
#include <optional>

namespace coltsfoottrail {

/// @brief A lease that this host holds.
struct PlanLease {
  /// Offset of its record: the fencing number of orders under it.
  Offset Fence = 0;
  /// By this host's clock.
  TimePoint End;
};

/// @brief Takes, renews and gives up leases on running plans.
///
/// The holder counts a lease from before it requested it; all others from when
/// they first saw it, plus the drift of clocks and the time that an order may
/// be in progress. So the holder stops before any other host may take over,
/// however long it was paused. A renewal is a new lease that replaces the own
/// one. Not thread-safe.
class LeaseKeeper {
public:
  /// @brief Makes a keeper without leases.
  /// @param Timing Timing of the deployment.
  /// @param Name Name of this entry host.
  /// @param RunNumber Current run of this entry host.
  LeaseKeeper(const GroupTimes &Timing, HostName Name, Incarnation RunNumber)
      : Times(Timing), Self(std::move(Name)), Run(RunNumber) {}

  /// @brief Takes and renews leases.
  /// @param Agreed The agreed state.
  /// @param Now The time.
  /// @param CutOff Whether this host receives answers from no engine: it then
  /// takes and renews nothing, so that another host gets the plan.
  /// @param Appends Paces the appends.
  /// @param Out Commands are added here.
  void poll(const State &Agreed, TimePoint Now, bool CutOff,
            AppendPacer &Appends, GroupCommands &Out);

  /// @brief Finds a lease that this host holds and that has not lapsed.
  /// @param Plan The plan.
  /// @param Now The time.
  [[nodiscard]] std::optional<PlanLease> held(Offset Plan, TimePoint Now) const;

  /// @brief Renews a lease at once, because an engine has obeyed a higher
  /// fencing number.
  void renewNow(Offset Plan);

private:
  /// The newest lease of a plan as observed by this host.
  struct LeaseState {
    Offset Lease = 0;
    TimePoint FirstSeenAt;
    bool IsOwn = false;
    /// End of the own lease.
    TimePoint End;
    /// When the oldest request was made that may have taken effect.
    std::optional<TimePoint> RequestedAt;
    bool RenewNow = false;
  };

  void observe(const PlanProgress &Progress, LeaseState &Observed,
               TimePoint Now) const;
  [[nodiscard]] bool shouldRequest(const State &Agreed, Offset Plan,
                                   const LeaseState &Observed,
                                   TimePoint Now) const;

  GroupTimes Times;
  HostName Self;
  Incarnation Run;
  std::map<Offset, LeaseState> Leases;
};

} // namespace coltsfoottrail

#endif
