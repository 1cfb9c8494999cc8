/// @file
/// Carries the steps of running plans on.
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

/// @brief Finishes the steps of the plans whose lease is held, and abandons a
/// plan that can't go on. All it goes by stands in the agreed state, so another
/// entry host carries on where this one stopped. Not thread-safe.
class StepRunner {
public:
  /// @brief Starts with nothing known.
  explicit StepRunner(const GroupTimes &Given) : Times(Given) {}

  /// @brief Acts on the running plans whose lease is held.
  /// @param Now The agreed state.
  /// @param At The time.
  /// @param Leases The leases held.
  /// @param Book The engines.
  /// @param Pace Where appends go through.
  /// @param Out Where commands go.
  void poll(const State &Now, TimePoint At, LeaseKeeper &Leases,
            EngineTracker &Book, AppendPacer &Pace, GroupCommands &Out);

private:
  struct Pass;
  /// Since when a step has waited for the same hosts.
  struct Wait {
    std::uint32_t Step = 0;
    std::size_t Held = 0;
    TimePoint Since;
  };
  enum class Standing : std::uint8_t { Open, Finished, Impossible };

  struct Outcome {
    Standing Is = Standing::Open;
    std::string Why;
  };

  void runPlan(const Pass &In, Offset Plan, const PlanProgress &Progress,
               const PlanLease &Lease);
  [[nodiscard]] static Outcome formOutcome(const Pass &In, Offset Plan,
                                           const PlanProgress &Progress,
                                           const FormGroup &Form);
  [[nodiscard]] Outcome stopOutcome(const Pass &In, Offset Plan,
                                    const PlanProgress &Progress,
                                    const StopGroup &Stop);
  [[nodiscard]] Outcome swapOutcome(const Pass &In, Offset Plan,
                                    const PlanProgress &Progress,
                                    const SwapAdapters &Swap,
                                    const PlanLease &Lease);
  [[nodiscard]] bool patienceIsOver(const Pass &In, Offset Plan,
                                    std::uint32_t Step, std::size_t Held);

  GroupTimes Times;
  std::map<Offset, Wait> Waits;
};

} // namespace coltsfoottrail

#endif
