#include "coltsfoottrail/dispatch/simulation.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

SimulationResult loseDataCentre() {
  SimulationOptions Options;
  Options.Length = seconds(60);
  Options.TeamRates.assign(10, 0.06 * Options.capacity());
  Options.Outage = SimulatedOutage{};
  return Simulation(Options).run();
}

// A third of the endpoints is lost at once and returns cold. Guards against
// failures of requests other than those in flight there, a retry storm on the
// remaining endpoints, and an overload of the cold ones.
TEST(Outage, OnlyWhatWasInFlightThereFailsAndSendsStayBounded) {
  const SimulationResult Result = loseDataCentre();
  const double FirstSends = static_cast<double>(Result.Sends - Result.Resends);
  EXPECT_LE(static_cast<double>(Result.Sends), 1.2 * FirstSends);
  EXPECT_GE(Result.All.fraction(), 0.998);
  EXPECT_EQ(Result.RefusedNotRun, 0U);
  EXPECT_EQ(Result.ColdCrashes, 0U);
  EXPECT_LE(Result.ColdPeak, 1.0);
  for (std::size_t Second = 22; Second < 58; ++Second)
    EXPECT_GE(Result.Seconds[Second].fraction(), 0.99) << "second " << Second;
}

} // namespace
} // namespace coltsfoottrail
