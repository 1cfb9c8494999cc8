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

// A third of the endpoints is lost at once and comes back cold. Callers must
// not notice more than the requests that were in flight there, and the
// endpoints that are left must not get a storm of retries, nor the cold ones a
// stampede.
TEST(Outage, OnlyWhatWasInFlightThereFailsAndSendsStayBounded) {
  const SimulationResult Got = loseDataCentre();
  const double Asked = static_cast<double>(Got.Sends - Got.Resends);
  EXPECT_LE(static_cast<double>(Got.Sends), 1.2 * Asked);
  EXPECT_GE(Got.All.part(), 0.998);
  EXPECT_EQ(Got.RefusedNotRun, 0U);
  EXPECT_EQ(Got.ColdCrashes, 0U);
  EXPECT_LE(Got.ColdPeak, 1.0);
  for (std::size_t Second = 22; Second < 58; ++Second)
    EXPECT_GE(Got.Seconds[Second].part(), 0.99) << "second " << Second;
}

} // namespace
} // namespace coltsfoottrail
