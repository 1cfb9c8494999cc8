/// @file
/// Advances the steps of running plans.
#ifndef COLTSFOOTTRAIL_GROUPS_STEPS_HPP
#define COLTSFOOTTRAIL_GROUPS_STEPS_HPP

#include "coltsfoottrail/fold/state.hpp"
#include "coltsfoottrail/groups/enginebook.hpp"
#include "coltsfoottrail/groups/lease.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace coltsfoottrail {

/// @brief Finishes the steps of the plans whose lease this host holds, and
/// abandons a plan that cannot go on. It depends only on the agreed state, so
/// another entry host can continue where this one stopped. Not thread-safe.
class StepRunner {
public:
  /// @brief Makes a runner without state.
  explicit StepRunner(const GroupTimes &Timing) : Times(Timing) {}

  /// @brief Advances the running plans whose lease this host holds.
  /// @param Agreed The agreed state.
  /// @param Now The time.
  /// @param Leases The leases of this host.
  /// @param Engines Reports and orders of the engines.
  /// @param Appends Paces the appends.
  /// @param Out Commands are added here.
  void poll(const State &Agreed, TimePoint Now, LeaseKeeper &Leases,
            EngineTracker &Engines, AppendPacer &Appends, GroupCommands &Out);

private:
  struct PollContext;
  /// Since when a step has waited for the same number of hosts.
  struct StepWait {
    std::uint32_t Step = 0;
    std::size_t HostCount = 0;
    TimePoint Since;
  };
  enum class StepStatus : std::uint8_t { Pending, Finished, Impossible };

  struct Outcome {
    StepStatus Status = StepStatus::Pending;
    std::string Reason;
  };

  void runPlan(const PollContext &Context, Offset Plan,
               const PlanProgress &Progress, const PlanLease &Lease);
  [[nodiscard]] static Outcome formOutcome(const PollContext &Context,
                                           Offset Plan,
                                           const PlanProgress &Progress,
                                           const FormGroup &Form);
  [[nodiscard]] Outcome stopOutcome(const PollContext &Context, Offset Plan,
                                    const PlanProgress &Progress,
                                    const StopGroup &Stop);
  [[nodiscard]] Outcome swapOutcome(const PollContext &Context, Offset Plan,
                                    const PlanProgress &Progress,
                                    const SwapAdapters &Swap,
                                    const PlanLease &Lease);
  [[nodiscard]] bool isTimedOut(const PollContext &Context, Offset Plan,
                                std::uint32_t Step, std::size_t HostCount);

  GroupTimes Times;
  std::map<Offset, StepWait> StepWaits;
};

} // namespace coltsfoottrail

#endif
