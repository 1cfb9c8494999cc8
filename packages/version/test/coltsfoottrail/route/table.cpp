#include "coltsfoottrail/route/table.hpp"

#include "coltsfoottrail/support.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::dataCentre;
using test::host;
using test::model;

/// A state with one group in each data centre.
State servingState() {
  State Now;
  Now.Declared = test::makeDeclaration();
  Now.Next = 50;
  for (std::uint32_t Index = 0; Index < 3; ++Index) {
    const GroupId Which{10 + Index, 0};
    Group &Each = Now.Groups[Which];
    Each.Spec = test::formStep(Now.Declared, 0, model(0),
                               {host(Index, 0, 0), host(Index, 0, 1)});
    Each.Phase = GroupPhase::Serving;
    Each.Generation = 20 + Index;
    Each.MemberRuns = {1, 2};
  }
  return Now;
}

const Pool &modelPool(const RouteTable &Of) {
  return Of.Pools.at(poolOfModel("model0"));
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
  const Pool &Permits = Routes.Pools.at(poolOfService("permits"));
  EXPECT_EQ(Permits.RepeatablePaths, std::vector<std::string>{"/lookup"});
  EXPECT_EQ(Permits.Endpoints.front().Key, "permits/permits-0/10.0.255.1:8000");
  EXPECT_EQ(Routes.TeamsByCredential.at(sha256Hex("secret0")).Name.Text,
            "team0");
}

TEST(RouteTable, OnlyServingGroupsAreRoutedTo) {
  State Now = servingState();
  Now.Groups.at(GroupId{10, 0}).Phase = GroupPhase::Broken;
  Now.Groups.at(GroupId{11, 0}).Phase = GroupPhase::Stopping;
  Now.Groups.at(GroupId{12, 0}).Phase = GroupPhase::Forming;
  EXPECT_TRUE(modelPool(buildRoutes(Now)).Endpoints.empty());
}

// One machine of a group is drained, and it is not the leader, to which the
// requests go. Its operator is about to pull it out.
TEST(RouteTable, GroupWithADrainedMemberGetsNothing) {
  State Now = servingState();
  Now.DrainedHosts.insert(host(0, 0, 1));
  Now.DrainedHosts.insert(HostName("permits-1"));
  const RouteTable Routes = buildRoutes(Now);
  EXPECT_EQ(modelPool(Routes).Endpoints.size(), 2U);
  EXPECT_EQ(Routes.Pools.at("service/permits").Endpoints.size(), 2U);
}

TEST(RouteTable, UndeclaredModelHasNoPool) {
  State Now = servingState();
  Now.Declared.Models.clear();
  EXPECT_FALSE(buildRoutes(Now).Pools.contains("model/model0"));
}

} // namespace
} // namespace coltsfoottrail
