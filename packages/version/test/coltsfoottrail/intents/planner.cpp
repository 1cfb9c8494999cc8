#include "coltsfoottrail/intents/planner.hpp"

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/intents/describe.hpp"
#include "coltsfoottrail/intents/placement.hpp"
#include "coltsfoottrail/intents/states.hpp"

#include <algorithm>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using testing::Contains;
using testing::HasSubstr;

const VersionName NextVersion("v2");

std::vector<HostName> membersOf(const Step &What) {
  return std::get<FormGroup>(What).Members;
}

State stateWith(int Domains, int HostsEach, ModelSpec Model) {
  State Now;
  Now.Next = 50;
  Now.Declared = declareHosts(Domains, HostsEach);
  Now.Declared.Models.push_back(std::move(Model));
  return Now;
}

TEST(Planner, DeclaredGroupsAreFormedEachInOneFabricDomain) {
  const State Now = stateWith(3, 5, signageModel(2, 5, 1));
  const Plan Made = planIntent(Now, ApplyDeclaration{Now.Declared});
  ASSERT_EQ(Made.Steps.size(), 6U);
  EXPECT_EQ(Made.PlannedAt, 50U);
  std::set<HostName> Used;
  for (const Step &What : Made.Steps) {
    const std::vector<HostName> Members = membersOf(What);
    ASSERT_EQ(Members.size(), 2U);
    EXPECT_EQ(findHost(Now.Declared, Members[0])->FabricDomain,
              findHost(Now.Declared, Members[1])->FabricDomain);
    for (const HostName &Member : Members)
      EXPECT_TRUE(Used.insert(Member).second) << Member.Text;
  }
  ASSERT_EQ(Made.Forecast.size(), 1U);
  EXPECT_EQ(Made.Forecast[0], (CapacityForecast{Signage, 0, 0, 6, 6}));
}

// Half the fleet is free, but no fabric domain alone holds a group. The
// operator must read why, not wait for groups that never come.
TEST(Planner, ShortageNamesWhatIsMissing) {
  const State Now = stateWith(4, 3, signageModel(4, 2));
  const Plan Made = planIntent(Now, SetCapacity{Signage, East, 2});
  EXPECT_TRUE(Made.Steps.empty());
  EXPECT_THAT(
      Made.WillNotDo,
      Contains(HasSubstr("each needs 4 free hosts in one fabric domain, "
                         "and the domain with most has 3")));
  EXPECT_EQ(Made.Forecast[0].GroupsAfter, 0U);
  EXPECT_EQ(Made.Forecast[0].GroupsWanted, 2U);
}

TEST(Planner, VersionRollsThroughSparesWithoutLosingCapacity) {
  State Now = stateWith(1, 6, signageModel(2, 2));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  addGroup(Now, 10, 1, East, hostsOf(East, 0, 2, 4));
  const Plan Made = planIntent(Now, SetVersion{Signage, NextVersion});
  ASSERT_EQ(Made.Steps.size(), 4U);
  EXPECT_EQ(std::get<FormGroup>(Made.Steps[0]).Version, NextVersion);
  EXPECT_TRUE(std::holds_alternative<StopGroup>(Made.Steps[1]));
  EXPECT_TRUE(std::holds_alternative<FormGroup>(Made.Steps[2]));
  EXPECT_TRUE(std::holds_alternative<StopGroup>(Made.Steps[3]));
  EXPECT_EQ(Made.Forecast[0], (CapacityForecast{Signage, 2, 2, 2, 2}));
  EXPECT_TRUE(Made.WillNotDo.empty());
}

TEST(Planner, LargeRollGoesInBatchesOfWhatTheWeightStoreLoads) {
  State Now = stateWith(1, 14, signageModel(2, 5));
  Now.Declared.WeightLoadsAtOnce = 2;
  for (std::uint32_t Number = 0; Number < 5; ++Number) {
    const int From = static_cast<int>(2 * Number);
    addGroup(Now, 10, Number, East, hostsOf(East, 0, From, From + 2));
  }
  std::string Order;
  for (const Step &What :
       planIntent(Now, SetVersion{Signage, NextVersion}).Steps)
    Order += std::holds_alternative<FormGroup>(What) ? 'f' : 's';
  EXPECT_EQ(Order, "ffssffssfs");
}

TEST(Planner, VersionWithoutSparesStopsOneAtATimeAndSaysSo) {
  State Now = stateWith(1, 4, signageModel(2, 2));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  addGroup(Now, 10, 1, East, hostsOf(East, 0, 2, 4));
  const Plan Made = planIntent(Now, SetVersion{Signage, NextVersion});
  ASSERT_EQ(Made.Steps.size(), 4U);
  EXPECT_TRUE(std::holds_alternative<StopGroup>(Made.Steps[0]));
  EXPECT_EQ(membersOf(Made.Steps[1]), hostsOf(East, 0, 0, 2));
  EXPECT_EQ(Made.Forecast[0], (CapacityForecast{Signage, 2, 1, 2, 2}));
  EXPECT_THAT(Made.WillNotDo, Contains(HasSubstr("stopped first")));
  EXPECT_THAT(describePlan(Made), Contains(HasSubstr("FALLS BELOW")));
}

// The operator asks for a model that no domain can hold; stopping the old
// version for it would leave the callers with nothing.
TEST(Planner, OldGroupsStayWhenNothingCanReplaceThem) {
  State Now = stateWith(1, 2, signageModel(2, 1));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  Declaration Wanted = Now.Declared;
  Wanted.Models[0].Version = NextVersion;
  Wanted.Models[0].MembersPerGroup = 3;
  const Plan Made = planIntent(Now, ApplyDeclaration{Wanted});
  EXPECT_TRUE(Made.Steps.empty());
  EXPECT_THAT(Made.WillNotDo,
              Contains(HasSubstr("nothing can be formed in its place")));
  EXPECT_EQ(Made.Forecast[0].GroupsAtWorst, 1U);
}

TEST(Planner, AdaptersAreSwappedInPlace) {
  State Now = stateWith(1, 4, signageModel(2, 1));
  const GroupId Id = addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  const std::vector<AdapterName> Adapters = {AdapterName("tirol")};
  const Plan Made = planIntent(Now, SetAdapters{Signage, Adapters});
  ASSERT_EQ(Made.Steps.size(), 1U);
  EXPECT_EQ(std::get<SwapAdapters>(Made.Steps[0]),
            (SwapAdapters{Id, Adapters}));
}

TEST(Planner, LessCapacityEmptiesTheEmptiestDomain) {
  State Now = stateWith(2, 4, signageModel(2, 3));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  const GroupId Alone = addGroup(Now, 10, 1, East, hostsOf(East, 1, 0, 2));
  addGroup(Now, 10, 2, East, hostsOf(East, 0, 2, 4));
  const Plan Made = planIntent(Now, SetCapacity{Signage, East, 2});
  ASSERT_EQ(Made.Steps.size(), 1U);
  EXPECT_EQ(std::get<StopGroup>(Made.Steps[0]).Group, Alone);
}

TEST(Planner, DrainOfADataCentreHasNoStepsAndTellsTheLoss) {
  State Now = stateWith(1, 4, signageModel(2, 1, 1));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  addGroup(Now, 10, 1, West, hostsOf(West, 0, 0, 2));
  const Plan Made = planIntent(Now, DrainDataCentre{East});
  EXPECT_TRUE(Made.Steps.empty());
  ASSERT_EQ(Made.Forecast.size(), 1U);
  EXPECT_EQ(Made.Forecast[0], (CapacityForecast{Signage, 2, 1, 1, 2}));
}

// A version changes while a data centre is out. Its groups are left alone then,
// and the plan of the return brings them up to what is declared.
TEST(Planner, ReturnCatchesUpWithWhatChangedMeanwhile) {
  State Now = stateWith(1, 6, signageModel(2, 1, 1));
  Now.DrainedDataCentres.insert(East);
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  addGroup(Now, 10, 1, West, hostsOf(West, 0, 0, 2));
  const Plan Roll = planIntent(Now, SetVersion{Signage, NextVersion});
  ASSERT_EQ(Roll.Steps.size(), 2U);
  EXPECT_EQ(std::get<FormGroup>(Roll.Steps[0]).DataCentre, West);
  EXPECT_THAT(Roll.WillNotDo, Contains(HasSubstr("east: the data centre is "
                                                 "drained")));
  Now.Declared.Models[0].Version = NextVersion;
  const Plan Back = planIntent(Now, ReturnDataCentre{East});
  ASSERT_EQ(Back.Steps.size(), 2U);
  EXPECT_EQ(std::get<FormGroup>(Back.Steps[0]).DataCentre, East);
}

TEST(Planner, DrainedHostsGroupIsReplacedBeforeItIsStopped) {
  State Now = stateWith(2, 2, signageModel(2, 1));
  const GroupId Old = addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  const Plan Made = planIntent(Now, DrainHost{hostIn(East, 0, 1)});
  ASSERT_EQ(Made.Steps.size(), 2U);
  EXPECT_EQ(membersOf(Made.Steps[0]), hostsOf(East, 1, 0, 2));
  EXPECT_EQ(std::get<StopGroup>(Made.Steps[1]).Group, Old);
}

TEST(Planner, DrainedHostWithoutAFreeDomainMovesOneHost) {
  State Now = stateWith(1, 3, signageModel(2, 1));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  const Plan Made = planIntent(Now, DrainHost{hostIn(East, 0, 1)});
  ASSERT_EQ(Made.Steps.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<StopGroup>(Made.Steps[0]));
  EXPECT_EQ(membersOf(Made.Steps[1]),
            (std::vector<HostName>{hostIn(East, 0, 0), hostIn(East, 0, 2)}));
}

// Two operators plan at once: the second one must not get the hosts that the
// first one's running plan is still to form groups on, nor its groups twice.
TEST(Planner, HostsOfARunningPlanAreTaken) {
  State Now = stateWith(1, 4, signageModel(2, 2));
  PlanProgress Running;
  Running.Phase = PlanPhase::Running;
  Running.ProposalRecord.Proposal =
      planIntent(Now, SetCapacity{Signage, East, 1});
  const std::vector<HostName> Taken =
      membersOf(Running.ProposalRecord.Proposal.Steps.at(0));
  Now.Plans[49] = Running;
  const Plan Made = planIntent(Now, SetCapacity{Signage, East, 2});
  ASSERT_EQ(Made.Steps.size(), 1U);
  for (const HostName &Member : membersOf(Made.Steps[0]))
    EXPECT_EQ(std::count(Taken.begin(), Taken.end(), Member), 0);
}

TEST(Planner, UnknownNamesAreToldWithWhatIsKnown) {
  const State Now = stateWith(1, 2, signageModel(2, 1));
  const auto Text = [&Now](const Intent &Asked) {
    try {
      (void)planIntent(Now, Asked);
    } catch (const PlanError &Thrown) {
      return std::string(Thrown.what());
    }
    return std::string("no error");
  };
  EXPECT_EQ(Text(SetVersion{ModelName("signs"), NextVersion}),
            "unknown model \"signs\"; declared are: signage");
  EXPECT_EQ(Text(DrainDataCentre{DataCentreName("north")}),
            "unknown data centre \"north\"; declared are: east, west");
  EXPECT_THAT(Text(DrainHost{HostName("h")}), HasSubstr("unknown host \"h\""));
}

// The declaration loses a host whose engine serves: nobody could order it to
// stop any more, and it would answer for a group that is not there.
TEST(Planner, ServingHostCannotLeaveTheDeclaration) {
  State Now = stateWith(1, 2, signageModel(2, 1));
  const GroupId Id = addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  Declaration Wanted = Now.Declared;
  Wanted.Hosts.erase(Wanted.Hosts.begin());
  EXPECT_THROW((void)planIntent(Now, ApplyDeclaration{Wanted}), PlanError);
  Now.Groups[Id].Phase = GroupPhase::Broken;
  EXPECT_NO_THROW((void)planIntent(Now, ApplyDeclaration{Wanted}));
}

TEST(Planner, RepairKeepsTheSurvivors) {
  State Now = stateWith(2, 4, signageModel(3, 1));
  const GroupId Id =
      addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 3), GroupPhase::Broken);
  for (const int Survivor : {0, 2}) {
    Now.Groups[Id].HeldHosts.erase(hostIn(East, 0, Survivor));
    Now.OccupiedHosts.erase(hostIn(East, 0, Survivor));
  }
  const std::optional<Plan> Made = planRepair(Now);
  ASSERT_TRUE(Made);
  ASSERT_EQ(Made->Steps.size(), 1U);
  EXPECT_EQ(membersOf(Made->Steps[0]),
            (std::vector<HostName>{hostIn(East, 0, 0), hostIn(East, 0, 2),
                                   hostIn(East, 0, 3)}));
  const std::optional<Plan> Moved = planRepair(Now, {hostIn(East, 0, 3)});
  ASSERT_TRUE(Moved);
  EXPECT_EQ(membersOf(Moved->Steps.at(0)), hostsOf(East, 1, 0, 3));
}

TEST(Planner, RepairLeavesWhatARunningPlanWillForm) {
  State Now = stateWith(1, 4, signageModel(2, 1));
  PlanProgress Running;
  Running.Phase = PlanPhase::Running;
  Running.ProposalRecord.Proposal =
      planIntent(Now, SetCapacity{Signage, East, 1});
  Now.Plans[49] = Running;
  EXPECT_FALSE(planRepair(Now));
}

bool mayJoin(const State &Now, const Plan &Made, const FormGroup &Form,
             const HostName &Member) {
  const auto *Drain = std::get_if<DrainHost>(&Made.RequestedIntent);
  return findHost(Now.Declared, Member)->FabricDomain ==
             findHost(Now.Declared, Form.Members[0])->FabricDomain &&
         (Drain == nullptr || Drain->Host != Member);
}

bool carryOut(const State &Now, const Plan &Made, const Step &What,
              std::map<HostName, GroupId> &OccupiedHosts) {
  if (const auto *Stop = std::get_if<StopGroup>(&What)) {
    std::erase_if(OccupiedHosts, [Stop](const auto &Entry) {
      return Entry.second == Stop->Group;
    });
    return true;
  }
  const auto &Form = std::get<FormGroup>(What);
  return std::all_of(Form.Members.begin(), Form.Members.end(),
                     [&](const HostName &Member) {
                       const GroupId Id{Made.PlannedAt, Form.Number};
                       return OccupiedHosts.emplace(Member, Id).second &&
                              mayJoin(Now, Made, Form, Member);
                     });
}

// Whatever is there and whatever is asked: carried out step by step, no plan
// puts a host into two groups, forms a group across domains or uses a drained
// host.
TEST(Planner, StepsNeverUseAHostTwice) {
  for (std::uint64_t Seed = 0; Seed < 300; ++Seed) {
    Random Draw(Seed);
    const auto Members = static_cast<std::uint32_t>(1 + Draw.below(4));
    State Now = stateWith(3, 6, signageModel(Members, 2 + Draw.below(3), 1));
    for (const Step &What :
         planIntent(Now, ApplyDeclaration{Now.Declared}).Steps)
      addGroup(Now, 10, std::get<FormGroup>(What).Number,
               std::get<FormGroup>(What).DataCentre, membersOf(What),
               Draw.below(8) == 0 ? GroupPhase::Broken : GroupPhase::Serving);
    const Intent Choices[] = {
        SetVersion{Signage, NextVersion},
        SetCapacity{Signage, East, static_cast<std::uint32_t>(Draw.below(6))},
        DrainHost{hostIn(East, 0, static_cast<int>(Draw.below(6)))}};
    const Plan Made = planIntent(Now, Choices[Draw.below(3)]);
    std::map<HostName, GroupId> OccupiedHosts = Now.OccupiedHosts;
    for (const Step &What : Made.Steps)
      ASSERT_TRUE(carryOut(Now, Made, What, OccupiedHosts)) << "seed " << Seed;
  }
}

} // namespace
} // namespace coltsfoottrail
