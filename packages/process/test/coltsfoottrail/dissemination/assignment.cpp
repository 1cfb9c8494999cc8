#include "coltsfoottrail/dissemination/assignment.hpp"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};
constexpr std::size_t LargeFleet = 300;

Report report(const std::string &Host, const char *DataCentre, bool CanRelay) {
  Report Result;
  Result.Host = HostName(Host + ":7/run");
  Result.DataCentre = DataCentreName(DataCentre);
  Result.CanRelay = CanRelay;
  return Result;
}

TEST(RelayAssignment, SmallFleetsReportDirectly) {
  RelayAssignment Relays;
  (void)Relays.assign(report("strong", "north", true), 70, Start);
  EXPECT_FALSE(Relays.assign(report("weak", "north", false), 70, Start));
}

TEST(RelayAssignment, HostsGoToARelayOfTheirDataCentre) {
  RelayAssignment Relays;
  (void)Relays.assign(report("a", "north", true), LargeFleet, Start);
  (void)Relays.assign(report("b", "south", true), LargeFleet, Start);
  EXPECT_EQ(Relays.assign(report("c", "south", false), LargeFleet, Start),
            HostName("b:7/run"));
  EXPECT_EQ(Relays.assign(report("d", "north", false), LargeFleet, Start),
            HostName("a:7/run"));
}

// Guards against a fleet whose hosts all report to a single host.
TEST(RelayAssignment, ColdStartBoundsReportersOfEachHost) {
  constexpr int Hosts = 1'000;
  RelayAssignment Relays;
  std::map<HostName, std::size_t> Below;
  std::set<int> Direct;
  for (int Index = 0; Index < Hosts; ++Index)
    Direct.insert(Index);
  std::size_t FleetSize = 0;
  for (int Round = 0; Round < 2; ++Round)
    for (const int Index : std::set<int>(Direct)) {
      FleetSize = std::min<std::size_t>(FleetSize + 1, Hosts);
      const auto Relay =
          Relays.assign(report(std::to_string(Index), "north", Index % 20 == 0),
                        FleetSize, Start);
      if (!Relay)
        continue;
      ++Below[*Relay];
      Direct.erase(Index);
    }
  EXPECT_LE(Direct.size(), RelayAssignment::MostReporters);
  for (const auto &[Relay, Count] : Below)
    EXPECT_LE(Count, RelayAssignment::MostReporters) << Relay.Text;
}

// Guards against a new coordinator that moves the hosts of a healthy relay.
TEST(RelayAssignment, NewCoordinatorAdoptsRelays) {
  RelayAssignment Relays;
  (void)Relays.assign(report("a", "north", true), LargeFleet, Start);
  Report Relay = report("b", "north", true);
  Relay.Hosts = 40;
  EXPECT_FALSE(Relays.assign(Relay, LargeFleet, Start));
  EXPECT_EQ(Relays.assign(report("c", "north", false), LargeFleet, Start),
            HostName("b:7/run"));
}

// Guards against a host that is assigned again to the relay that it cannot
// reach.
TEST(RelayAssignment, FailedRelayIsNotAssignedAgain) {
  RelayAssignment Relays;
  (void)Relays.assign(report("a", "north", true), LargeFleet, Start);
  (void)Relays.assign(report("b", "north", true), LargeFleet, Start);
  const Report First = report("c", "north", false);
  const auto Relay = Relays.assign(First, LargeFleet, Start);
  ASSERT_TRUE(Relay.has_value());
  Report Repeated = First;
  Repeated.FailedRelay = Relay->Text.substr(0, Relay->Text.find('/'));
  const auto Other = Relays.assign(Repeated, LargeFleet, Start);
  EXPECT_NE(Other, Relay);
}

TEST(RelayAssignment, SilentRelayIsReplaced) {
  RelayAssignment Relays;
  (void)Relays.assign(report("a", "north", true), LargeFleet, Start);
  const TimePoint Later = Start + RelayAssignment::ReporterTimeout;
  (void)Relays.assign(report("b", "north", true), LargeFleet, Later);
  EXPECT_EQ(Relays.assign(report("c", "north", false), LargeFleet, Later),
            HostName("b:7/run"));
}

// Guards against a coordinator with hundreds of reporters in a data centre
// where no host has the processor capacity to relay.
TEST(RelayAssignment, WeakHostsRelayForFewWhereNoneIsStrong) {
  RelayAssignment Relays;
  std::set<HostName> Chosen;
  std::size_t Direct = 0;
  for (int Index = 0; Index < 200; ++Index) {
    const auto Relay = Relays.assign(
        report(std::to_string(Index), "north", false), LargeFleet, Start);
    if (Relay)
      Chosen.insert(*Relay);
    else
      ++Direct;
  }
  EXPECT_GE(Chosen.size(), 8U);
  EXPECT_LE(Direct, 40U);
}

} // namespace

} // namespace coltsfoottrail
