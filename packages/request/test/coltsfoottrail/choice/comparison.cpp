#include "coltsfoottrail/dispatch/simulation.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

SimulationResult run(const ChoicePolicy &Policy) {
  SimulationOptions Options;
  Options.Length = seconds(40);
  Options.Stragglers = 3;
  Options.TeamRates.assign(10, 0.09 * Options.capacity());
  Options.Dispatch.Policy = Policy;
  return Simulation(Options).run();
}

// The policy must not be worse than simple ones because its estimates lag, the
// entry hosts all choose the same endpoint, or prefixes are spread over all
// caches.
TEST(Comparison, EstimatedWaitBeatsTheSimplePolicies) {
  const SimulationResult Own = run(EstimatedWaitPolicy{});
  for (const ChoicePolicy &Simple :
       {ChoicePolicy{RandomPolicy{}}, ChoicePolicy{RoundRobinPolicy{}},
        ChoicePolicy{LeastInFlightPolicy{}}}) {
    const SimulationResult Other = run(Simple);
    EXPECT_GE(Own.All.fraction(), Other.All.fraction());
    EXPECT_LE(Own.quantile(0.5), 0.75 * Other.quantile(0.5));
    EXPECT_LE(Own.quantile(0.99), 0.75 * Other.quantile(0.99));
    EXPECT_GE(Own.CacheHits, 3 * Other.CacheHits);
  }
}

} // namespace
} // namespace coltsfoottrail
