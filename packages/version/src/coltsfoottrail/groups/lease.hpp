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

/// @brief A lease that may be acted on.
struct PlanLease {
  /// Its record's offset: the fencing number of orders under it.
  Offset Fence = 0;
  /// By this host's clock.
  TimePoint End;
};

/// @brief Takes, renews and gives up the leases on running plans.
///
/// The holder counts a lease from before it asked for it; all others from when
/// they first saw it, plus the drift of clocks and the time that an order may
/// be under way. So the holder stops before any other host may take over,
/// however long it was paused. A renewal is a new lease in place of the own
/// one. Not thread-safe.
class LeaseKeeper {
public:
  /// @brief Starts without leases.
  /// @param Given Times of the deployment.
  /// @param Name This entry host.
  /// @param Number This run of it.
  LeaseKeeper(const GroupTimes &Given, HostName Name, Incarnation Number)
      : Times(Given), Self(std::move(Name)), Run(Number) {}

  /// @brief Takes and renews leases.
  /// @param Now The agreed state.
  /// @param At The time.
  /// @param CutOff Whether this host hears from no engine: it takes and renews
  /// nothing then, so that another host gets the plan.
  /// @param Pace Where appends go through.
  /// @param Out Where commands go.
  void poll(const State &Now, TimePoint At, bool CutOff, AppendPacer &Pace,
            GroupCommands &Out);

  /// @brief Finds a lease that is held and has not lapsed.
  /// @param Plan The plan.
  /// @param At The time.
  [[nodiscard]] std::optional<PlanLease> held(Offset Plan, TimePoint At) const;

  /// @brief An engine has obeyed a higher fencing number: the lease is renewed
  /// at once.
  void renewNow(Offset Plan);

private:
  struct Seen {
    Offset Lease = 0;
    TimePoint FirstSeen;
    bool Own = false;
    /// End of the own lease.
    TimePoint End;
    /// When the oldest request left that may have been the one that took
    /// effect.
    std::optional<TimePoint> AskedAt;
    bool RenewNow = false;
  };

  void see(const PlanProgress &Progress, Seen &Known, TimePoint At) const;
  [[nodiscard]] bool wants(const State &Now, Offset Plan, const Seen &Known,
                           TimePoint At) const;

  GroupTimes Times;
  HostName Self;
  Incarnation Run;
  std::map<Offset, Seen> Plans;
};

} // namespace coltsfoottrail

#endif
