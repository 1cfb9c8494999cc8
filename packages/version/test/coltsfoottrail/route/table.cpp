#include "coltsfoottrail/route/table.hpp"

#include "coltsfoottrail/support.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::dataCentre;
using test::host;
using test::model;

/// A state with one serving group in each data centre.
State servingState() {
  State Agreed;
  Agreed.Declared = test::makeDeclaration();
  Agreed.Next = 50;
  for (std::uint32_t Index = 0; Index < 3; ++Index) {
    const GroupId Id{10 + Index, 0};
    Group &Entry = Agreed.Groups[Id];
    Entry.Spec = test::formStep(Agreed.Declared, 0, model(0),
                                {host(Index, 0, 0), host(Index, 0, 1)});
    Entry.Phase = GroupPhase::Serving;
    Entry.Generation = 20 + Index;
    Entry.MemberRuns = {1, 2};
  }
  return Agreed;
}

const Pool &modelPool(const RouteTable &Table) {
  return Table.Pools.at(modelPoolName("model0"));
}

TEST(RouteTable, EndpointsCarryWhatIsDeclared) {
  const RouteTable Routes = buildRoutes(servingState());
  EXPECT_EQ(Routes.Version, 50U);
  ASSERT_EQ(modelPool(Routes).Endpoints.size(), 3U);
  const EndpointSpec &First = modelPool(Routes).Endpoints.front();
  EXPECT_EQ(First.Key, "10.0@20");
  EXPECT_EQ(First.Host, host(0, 0, 0));
  EXPECT_EQ(First.Address, (EngineAddress{"10.0.0.1", 7000}));
  EXPECT_EQ(First.Members.size(), 2U);
  EXPECT_EQ(First.WarmBound, 32U);
  EXPECT_EQ(First.ColdBound, 2U);
  const Pool &Permits = Routes.Pools.at(servicePoolName("permits"));
  EXPECT_EQ(Permits.RepeatablePaths, std::vector<std::string>{"/lookup"});
  EXPECT_EQ(Permits.Endpoints.front().Key, "permits/permits-0/10.0.255.1:8000");
  EXPECT_EQ(Routes.TeamsByCredential.at(sha256Hex("secret0")).Name.Text,
            "team0");
}

TEST(RouteTable, OnlyServingGroupsAreRoutedTo) {
  State Agreed = servingState();
  Agreed.Groups.at(GroupId{10, 0}).Phase = GroupPhase::Broken;
  Agreed.Groups.at(GroupId{11, 0}).Phase = GroupPhase::Stopping;
  Agreed.Groups.at(GroupId{12, 0}).Phase = GroupPhase::Forming;
  EXPECT_TRUE(modelPool(buildRoutes(Agreed)).Endpoints.empty());
}

// Guards against requests to a group with a host that is about to be taken out:
// the drained host is a member but not the leader, to which the requests go.
TEST(RouteTable, GroupWithADrainedMemberGetsNothing) {
  State Agreed = servingState();
  Agreed.DrainedHosts.insert(host(0, 0, 1));
  Agreed.DrainedHosts.insert(HostName("permits-1"));
  const RouteTable Routes = buildRoutes(Agreed);
  EXPECT_EQ(modelPool(Routes).Endpoints.size(), 2U);
  EXPECT_EQ(Routes.Pools.at("service/permits").Endpoints.size(), 2U);
}

TEST(RouteTable, UndeclaredModelHasNoPool) {
  State Agreed = servingState();
  Agreed.Declared.Models.clear();
  EXPECT_FALSE(buildRoutes(Agreed).Pools.contains("model/model0"));
}

} // namespace
} // namespace coltsfoottrail
