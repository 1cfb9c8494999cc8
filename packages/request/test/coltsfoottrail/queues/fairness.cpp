#include "coltsfoottrail/dispatch/simulation.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

SimulationResult withFirstTeamAt(double Multiple) {
  SimulationOptions Options;
  Options.Length = seconds(40);
  const double Rate = 0.07 * Options.capacity();
  Options.TeamRates.assign(10, Rate);
  Options.TeamRates[0] = Multiple * Rate;
  return Simulation(Options).run();
}

// Guards against one team that sends ten times its share and makes nine others
// wait for minutes. In simulated time, over all entry hosts, the others' p99
// stays within 1.5 times of what it is without that team.
TEST(Fairness, TeamAtTenTimesItsShareDoesNotSlowTheOthers) {
  const SimulationResult Alone = withFirstTeamAt(0.0);
  const SimulationResult Flooded = withFirstTeamAt(10.0);
  EXPECT_LE(Flooded.quantile(0.99, 1), 1.5 * Alone.quantile(0.99, 1));
  for (std::size_t Team = 1; Team < Flooded.Teams.size(); ++Team)
    EXPECT_GE(Flooded.Teams[Team].fraction(), 0.995) << "team " << Team;
  EXPECT_GE(Flooded.Teams[0].fraction(), 0.3)
      << "it gets the slots that the others leave";
}

} // namespace
} // namespace coltsfoottrail
