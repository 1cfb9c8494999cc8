#include "simulation.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

/// A configuration must be in force within four seconds; hosts use relayed
/// records for less time than that.
constexpr Duration StalenessBound = milliseconds(2'400);
/// Calls per host and second that the price of the store allows.
constexpr double CallsPerHost = 0.1;

class Dissemination : public ::testing::TestWithParam<std::size_t> {
protected:
  Dissemination() {
    Shape.Hosts = GetParam();
    Fleet.emplace(Shape);
    Fleet->publishVersion();
    Fleet->publishEndpoints(1'000, 10);
  }
  void settle() {
    Fleet->run(seconds(6));
    (void)Fleet->takeStoreCalls();
    (void)Fleet->takeMaxBytes();
  }
  void expectAllFresh() {
    EXPECT_EQ(Fleet->fresh(StalenessBound), Fleet->running());
    EXPECT_EQ(Fleet->violations(), 0U);
  }

  FleetShape Shape;
  std::optional<FleetSimulation> Fleet;
};

/// Fleets that lose their coordinator several times.
class CoordinationMoves : public Dissemination {};

/// Fleets that are large enough for relays.
class RelayedDissemination : public Dissemination {};

TEST_P(Dissemination, ColdStartIsReadyInThreeSeconds) {
  Fleet->run(seconds(3));
  expectAllFresh();
  EXPECT_LE(Fleet->takeStoreCalls(), 6 * Shape.Hosts);
}

TEST_P(Dissemination, StoreCallsDoNotGrowWithHosts) {
  settle();
  constexpr int Span = 10;
  Fleet->run(seconds(Span));
  const double Reads =
      2 * Span / 0.15 + CallsPerHost * double(Shape.Hosts) * Span;
  EXPECT_LE(double(Fleet->takeStoreCalls()), Reads);
  EXPECT_LE(Fleet->maxReporters(), RelayAssignment::MostReporters + 8);
  expectAllFresh();
}

// Guards against a configuration that is delayed by a burst of endpoint
// records.
TEST_P(Dissemination, ConfigurationOvertakesAStormOfRecords) {
  settle();
  for (int Round = 0; Round < 20; ++Round) {
    Fleet->publishEndpoints(80, 10);
    Fleet->run(milliseconds(50));
  }
  Fleet->publishVersion();
  Fleet->publishEndpoints(600, 10);
  Fleet->run(seconds(1));
  EXPECT_EQ(Fleet->withVersion(2), Fleet->running());
  expectAllFresh();
}

TEST_P(Dissemination, LossOfAllRelaysIsRepaired) {
  settle();
  for (const std::size_t Relay : Fleet->relays())
    Fleet->kill(Relay);
  Fleet->publishVersion();
  Fleet->run(seconds(4));
  EXPECT_EQ(Fleet->withVersion(2), Fleet->running());
  expectAllFresh();
}

// Guards against hosts that use the outdated state of a relay that was frozen.
TEST_P(RelayedDissemination, FrozenRelayWakesWithOldState) {
  settle();
  const std::vector<std::size_t> Relays = Fleet->relays();
  ASSERT_FALSE(Relays.empty());
  Fleet->freeze(Relays.front(), true);
  Fleet->run(seconds(2));
  Fleet->publishVersion();
  Fleet->run(seconds(2));
  Fleet->freeze(Relays.front(), false);
  Fleet->run(seconds(3));
  EXPECT_EQ(Fleet->withVersion(2), Fleet->running());
  expectAllFresh();
}

TEST_P(Dissemination, CoordinatorThatDiesIsReplaced) {
  settle();
  Fleet->kill(*Fleet->coordinator());
  Fleet->run(milliseconds(500));
  Fleet->publishVersion();
  Fleet->run(seconds(4));
  EXPECT_EQ(Fleet->withVersion(2), Fleet->running());
  expectAllFresh();
}

// Guards against a host whose reports reach its relay while the responses are
// lost.
TEST_P(RelayedDissemination, CutOneWayMovesTheHost) {
  settle();
  const std::vector<std::size_t> Relays = Fleet->relays();
  ASSERT_FALSE(Relays.empty());
  for (std::size_t Index = 0; Index < Shape.Hosts; ++Index)
    if (Index != *Fleet->coordinator())
      Fleet->cutLink(Relays.front(), Index);
  Fleet->run(seconds(2));
  Fleet->publishVersion();
  Fleet->run(seconds(3));
  EXPECT_EQ(Fleet->withVersion(2), Fleet->running());
  expectAllFresh();
}

TEST_P(Dissemination, ReturnOfTheStoreIsNoStorm) {
  settle();
  Fleet->setStoreDown(true);
  Fleet->run(seconds(8));
  Fleet->setStoreDown(false);
  (void)Fleet->takeStoreCalls();
  Fleet->publishVersion();
  Fleet->run(milliseconds(1'500));
  EXPECT_EQ(Fleet->withVersion(2), Fleet->running());
  EXPECT_LE(Fleet->takeStoreCalls(), 6 * Shape.Hosts);
  expectAllFresh();
}

// Guards against a new coordinator that is relayed records that it has just
// read itself, and then confirms to its reporters a configuration that they do
// not have.
TEST_P(CoordinationMoves, ConfigurationReachesAllHosts) {
  settle();
  for (int Round = 0; Round < 6; ++Round) {
    Fleet->setStoreDown(true);
    Fleet->run(seconds(4));
    Fleet->setStoreDown(false);
    Fleet->publishVersion();
    Fleet->run(milliseconds(100));
    Fleet->kill(*Fleet->coordinator());
    Fleet->run(seconds(4));
    expectAllFresh();
  }
  EXPECT_EQ(Fleet->withVersion(7), Fleet->running());
}

TEST_P(Dissemination, AllHostsRestartTogether) {
  settle();
  for (std::size_t Index = 0; Index < Shape.Hosts; ++Index)
    Fleet->restart(Index);
  Fleet->run(seconds(3));
  expectAllFresh();
}

// A relaying host has a link of 20 to 200 Mbit/s.
TEST_P(Dissemination, BusiestHostSendsLittle) {
  settle();
  constexpr std::size_t Span = 5;
  constexpr std::size_t MostBytesPerSecond = 3'000'000;
  Fleet->publishEndpoints(500, 10);
  Fleet->run(seconds(Span));
  EXPECT_LE(Fleet->takeMaxBytes(), Span * MostBytesPerSecond);
}

/// A request may reach endpoints only this long after its third crash, a bound
/// of the platform.
constexpr Duration RetryWindow = seconds(3);

// Guards against hosts that each learn of a crash only from connections of
// their own.
TEST_P(Dissemination, CrashReachesAllHosts) {
  settle();
  Fleet->crashEndpoint(Shape.Hosts - 1, "a");
  Fleet->crashEndpoint(0, "b");
  Fleet->run(RetryWindow / 2);
  EXPECT_EQ(Fleet->knowCrash("a"), Fleet->running());
  EXPECT_EQ(Fleet->knowCrash("b"), Fleet->running());
}

// Guards against notices that need the store, or that end with a relay.
TEST_P(RelayedDissemination, CrashReachesAllHostsWhenRelaysFail) {
  settle();
  Fleet->setStoreDown(true);
  Fleet->run(seconds(1));
  const std::vector<std::size_t> Relays = Fleet->relays();
  ASSERT_FALSE(Relays.empty());
  Fleet->freeze(Relays.front(), true);
  Fleet->crashEndpoint(Shape.Hosts - 1, "a");
  Fleet->run(RetryWindow);
  EXPECT_EQ(Fleet->knowCrash("a"), Fleet->running());
  Fleet->freeze(Relays.front(), false);
  Fleet->run(RetryWindow);
  EXPECT_EQ(Fleet->knowCrash("a"), Fleet->running());
}

// Guards against notices that are lost with the coordinator, and against a host
// that starts later and does not know which requests to refuse.
TEST_P(CoordinationMoves, CrashIsKnownAfterRestarts) {
  settle();
  Fleet->crashEndpoint(Shape.Hosts - 1, "a");
  Fleet->run(milliseconds(100));
  const std::size_t Former = *Fleet->coordinator();
  Fleet->kill(Former);
  Fleet->run(seconds(4));
  EXPECT_EQ(Fleet->knowCrash("a"), Fleet->running());
  Fleet->restart(Former);
  Fleet->run(seconds(4));
  EXPECT_EQ(Fleet->knowCrash("a"), Fleet->running());
}

// Guards against notices that fill the links when many endpoints crash at once.
TEST_P(Dissemination, ManyCrashesSendBoundedMessages) {
  settle();
  constexpr std::size_t Span = 3;
  constexpr std::size_t MostBytesPerSecond = 6'000'000;
  for (std::size_t Endpoint = 0; Endpoint < 300; ++Endpoint)
    Fleet->crashEndpoint(Endpoint % Shape.Hosts, "e" + std::to_string(Endpoint),
                         30);
  Fleet->run(seconds(Span));
  EXPECT_LE(Fleet->takeMaxBytes(), Span * MostBytesPerSecond);
}

INSTANTIATE_TEST_SUITE_P(Fleets, Dissemination,
                         ::testing::Values(30U, 300U, 1'000U));
INSTANTIATE_TEST_SUITE_P(Fleets, CoordinationMoves,
                         ::testing::Values(30U, 300U));
INSTANTIATE_TEST_SUITE_P(Fleets, RelayedDissemination,
                         ::testing::Values(300U, 1'000U));

} // namespace

} // namespace coltsfoottrail::test
