#include "coltsfoottrail/dissemination/assignment.hpp"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};
constexpr std::size_t LargeFleet = 300;

Report report(const std::string &Host, const char *DataCentre, bool CanRelay) {
  Report Out;
  Out.Host = HostName(Host + ":7/run");
  Out.DataCentre = DataCentreName(DataCentre);
  Out.CanRelay = CanRelay;
  return Out;
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

// Guards against a fleet whose hosts all report to one of them.
TEST(RelayAssignment, ColdStartBoundsReportersOfEachHost) {
  constexpr int Hosts = 1'000;
  RelayAssignment Relays;
  std::map<HostName, std::size_t> Below;
  std::set<int> Direct;
  for (int Index = 0; Index < Hosts; ++Index)
    Direct.insert(Index);
  std::size_t Known = 0;
  for (int Round = 0; Round < 2; ++Round)
    for (const int Index : std::set<int>(Direct)) {
      Known = std::min<std::size_t>(Known + 1, Hosts);
      const auto To =
          Relays.assign(report(std::to_string(Index), "north", Index % 20 == 0),
                        Known, Start);
      if (!To)
        continue;
      ++Below[*To];
      Direct.erase(Index);
    }
  EXPECT_LE(Direct.size(), RelayAssignment::MostReporters);
  for (const auto &[Relay, Count] : Below)
    EXPECT_LE(Count, RelayAssignment::MostReporters) << Relay.Text;
}

// Guards against a coordinator that moves the hosts of a sound relay when it
// takes over.
TEST(RelayAssignment, NewCoordinatorAdoptsRelays) {
  RelayAssignment Relays;
  (void)Relays.assign(report("a", "north", true), LargeFleet, Start);
  Report Relay = report("b", "north", true);
  Relay.Hosts = 40;
  EXPECT_FALSE(Relays.assign(Relay, LargeFleet, Start));
  EXPECT_EQ(Relays.assign(report("c", "north", false), LargeFleet, Start),
            HostName("b:7/run"));
}

// Guards against a host that is sent back to the relay that it cannot reach.
TEST(RelayAssignment, FailedRelayIsNotAssignedAgain) {
  RelayAssignment Relays;
  (void)Relays.assign(report("a", "north", true), LargeFleet, Start);
  (void)Relays.assign(report("b", "north", true), LargeFleet, Start);
  const Report First = report("c", "north", false);
  const auto To = Relays.assign(First, LargeFleet, Start);
  ASSERT_TRUE(To.has_value());
  Report Again = First;
  Again.FailedRelay = To->Text.substr(0, To->Text.find('/'));
  const auto Other = Relays.assign(Again, LargeFleet, Start);
  EXPECT_NE(Other, To);
}

TEST(RelayAssignment, SilentRelayIsReplaced) {
  RelayAssignment Relays;
  (void)Relays.assign(report("a", "north", true), LargeFleet, Start);
  const TimePoint Later = Start + RelayAssignment::Life;
  (void)Relays.assign(report("b", "north", true), LargeFleet, Later);
  EXPECT_EQ(Relays.assign(report("c", "north", false), LargeFleet, Later),
            HostName("b:7/run"));
}

// Guards against a coordinator with hundreds of reporters where no host has the
// processor to relay.
TEST(RelayAssignment, WeakHostsRelayForFewWhereNoneIsStrong) {
  RelayAssignment Relays;
  std::set<HostName> Chosen;
  std::size_t Direct = 0;
  for (int Index = 0; Index < 200; ++Index) {
    const auto To = Relays.assign(report(std::to_string(Index), "north", false),
                                  LargeFleet, Start);
    if (To)
      Chosen.insert(*To);
    else
      ++Direct;
  }
  EXPECT_GE(Chosen.size(), 8U);
  EXPECT_LE(Direct, 40U);
}

} // namespace

} // namespace coltsfoottrail
