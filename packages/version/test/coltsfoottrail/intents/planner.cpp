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

std::vector<HostName> membersOf(const Step &PlanStep) {
  return std::get<FormGroup>(PlanStep).Members;
}

State makeState(int Domains, int HostsEach, ModelSpec Model) {
  State Now;
  Now.Next = 50;
  Now.Declared = declareHosts(Domains, HostsEach);
  Now.Declared.Models.push_back(std::move(Model));
  return Now;
}

TEST(Planner, DeclaredGroupsAreFormedEachInOneFabricDomain) {
  const State Now = makeState(3, 5, signageModel(2, 5, 1));
  const Plan Planned = planIntent(Now, ApplyDeclaration{Now.Declared});
  ASSERT_EQ(Planned.Steps.size(), 6U);
  EXPECT_EQ(Planned.PlannedAt, 50U);
  std::set<HostName> Used;
  for (const Step &PlanStep : Planned.Steps) {
    const std::vector<HostName> Members = membersOf(PlanStep);
    ASSERT_EQ(Members.size(), 2U);
    EXPECT_EQ(findHost(Now.Declared, Members[0])->FabricDomain,
              findHost(Now.Declared, Members[1])->FabricDomain);
    for (const HostName &Member : Members)
      EXPECT_TRUE(Used.insert(Member).second) << Member.Text;
  }
  ASSERT_EQ(Planned.Forecast.size(), 1U);
  EXPECT_EQ(Planned.Forecast[0], (CapacityForecast{Signage, 0, 0, 6, 6}));
}

// Many hosts are free, but no single fabric domain has enough for a group. The
// plan must tell the operator so instead of promising groups that never form.
TEST(Planner, ShortageNamesWhatIsMissing) {
  const State Now = makeState(4, 3, signageModel(4, 2));
  const Plan Planned = planIntent(Now, SetCapacity{Signage, East, 2});
  EXPECT_TRUE(Planned.Steps.empty());
  EXPECT_THAT(
      Planned.WillNotDo,
      Contains(HasSubstr("each needs 4 free hosts in one fabric domain, "
                         "and the domain with most has 3")));
  EXPECT_EQ(Planned.Forecast[0].GroupsAfter, 0U);
  EXPECT_EQ(Planned.Forecast[0].GroupsWanted, 2U);
}

TEST(Planner, VersionRollsThroughSparesWithoutLosingCapacity) {
  State Now = makeState(1, 6, signageModel(2, 2));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  addGroup(Now, 10, 1, East, hostsOf(East, 0, 2, 4));
  const Plan Planned = planIntent(Now, SetVersion{Signage, NextVersion});
  ASSERT_EQ(Planned.Steps.size(), 4U);
  EXPECT_EQ(std::get<FormGroup>(Planned.Steps[0]).Version, NextVersion);
  EXPECT_TRUE(std::holds_alternative<StopGroup>(Planned.Steps[1]));
  EXPECT_TRUE(std::holds_alternative<FormGroup>(Planned.Steps[2]));
  EXPECT_TRUE(std::holds_alternative<StopGroup>(Planned.Steps[3]));
  EXPECT_EQ(Planned.Forecast[0], (CapacityForecast{Signage, 2, 2, 2, 2}));
  EXPECT_TRUE(Planned.WillNotDo.empty());
}

TEST(Planner, LargeRollGoesInBatchesOfWhatTheWeightStoreLoads) {
  State Now = makeState(1, 14, signageModel(2, 5));
  Now.Declared.WeightLoadsAtOnce = 2;
  for (std::uint32_t Number = 0; Number < 5; ++Number) {
    const int From = static_cast<int>(2 * Number);
    addGroup(Now, 10, Number, East, hostsOf(East, 0, From, From + 2));
  }
  std::string Order;
  for (const Step &PlanStep :
       planIntent(Now, SetVersion{Signage, NextVersion}).Steps)
    Order += std::holds_alternative<FormGroup>(PlanStep) ? 'f' : 's';
  EXPECT_EQ(Order, "ffssffssfs");
}

TEST(Planner, VersionWithoutSparesStopsOneAtATimeAndSaysSo) {
  State Now = makeState(1, 4, signageModel(2, 2));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  addGroup(Now, 10, 1, East, hostsOf(East, 0, 2, 4));
  const Plan Planned = planIntent(Now, SetVersion{Signage, NextVersion});
  ASSERT_EQ(Planned.Steps.size(), 4U);
  EXPECT_TRUE(std::holds_alternative<StopGroup>(Planned.Steps[0]));
  EXPECT_EQ(membersOf(Planned.Steps[1]), hostsOf(East, 0, 0, 2));
  EXPECT_EQ(Planned.Forecast[0], (CapacityForecast{Signage, 2, 1, 2, 2}));
  EXPECT_THAT(Planned.WillNotDo, Contains(HasSubstr("stopped first")));
  EXPECT_THAT(describePlan(Planned), Contains(HasSubstr("FALLS BELOW")));
}

// The new version needs more hosts than any domain has. Stopping the old groups
// would leave the model without any group.
TEST(Planner, OldGroupsStayWhenNothingCanReplaceThem) {
  State Now = makeState(1, 2, signageModel(2, 1));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  Declaration NewDeclaration = Now.Declared;
  NewDeclaration.Models[0].Version = NextVersion;
  NewDeclaration.Models[0].MembersPerGroup = 3;
  const Plan Planned = planIntent(Now, ApplyDeclaration{NewDeclaration});
  EXPECT_TRUE(Planned.Steps.empty());
  EXPECT_THAT(Planned.WillNotDo,
              Contains(HasSubstr("nothing can be formed in its place")));
  EXPECT_EQ(Planned.Forecast[0].GroupsAtWorst, 1U);
}

TEST(Planner, AdaptersAreSwappedInPlace) {
  State Now = makeState(1, 4, signageModel(2, 1));
  const GroupId Id = addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  const std::vector<AdapterName> Adapters = {AdapterName("tirol")};
  const Plan Planned = planIntent(Now, SetAdapters{Signage, Adapters});
  ASSERT_EQ(Planned.Steps.size(), 1U);
  EXPECT_EQ(std::get<SwapAdapters>(Planned.Steps[0]),
            (SwapAdapters{Id, Adapters}));
}

TEST(Planner, LessCapacityEmptiesTheEmptiestDomain) {
  State Now = makeState(2, 4, signageModel(2, 3));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  const GroupId Alone = addGroup(Now, 10, 1, East, hostsOf(East, 1, 0, 2));
  addGroup(Now, 10, 2, East, hostsOf(East, 0, 2, 4));
  const Plan Planned = planIntent(Now, SetCapacity{Signage, East, 2});
  ASSERT_EQ(Planned.Steps.size(), 1U);
  EXPECT_EQ(std::get<StopGroup>(Planned.Steps[0]).Group, Alone);
}

TEST(Planner, DrainOfADataCentreHasNoStepsAndForecastsTheLoss) {
  State Now = makeState(1, 4, signageModel(2, 1, 1));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  addGroup(Now, 10, 1, West, hostsOf(West, 0, 0, 2));
  const Plan Planned = planIntent(Now, DrainDataCentre{East});
  EXPECT_TRUE(Planned.Steps.empty());
  ASSERT_EQ(Planned.Forecast.size(), 1U);
  EXPECT_EQ(Planned.Forecast[0], (CapacityForecast{Signage, 2, 1, 1, 2}));
}

// The version changes while a data centre is drained. Groups there must not be
// touched until the data centre returns; the plan of its return updates them.
TEST(Planner, ReturnUpdatesGroupsToTheDeclaredVersion) {
  State Now = makeState(1, 6, signageModel(2, 1, 1));
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
  State Now = makeState(2, 2, signageModel(2, 1));
  const GroupId Old = addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  const Plan Planned = planIntent(Now, DrainHost{hostIn(East, 0, 1)});
  ASSERT_EQ(Planned.Steps.size(), 2U);
  EXPECT_EQ(membersOf(Planned.Steps[0]), hostsOf(East, 1, 0, 2));
  EXPECT_EQ(std::get<StopGroup>(Planned.Steps[1]).Group, Old);
}

TEST(Planner, DrainedHostWithoutAFreeDomainMovesOneHost) {
  State Now = makeState(1, 3, signageModel(2, 1));
  addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  const Plan Planned = planIntent(Now, DrainHost{hostIn(East, 0, 1)});
  ASSERT_EQ(Planned.Steps.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<StopGroup>(Planned.Steps[0]));
  EXPECT_EQ(membersOf(Planned.Steps[1]),
            (std::vector<HostName>{hostIn(East, 0, 0), hostIn(East, 0, 2)}));
}

// Two operators plan concurrently: the second plan must neither use the hosts
// on which the first, running plan has yet to form groups, nor form those
// groups again.
TEST(Planner, HostsOfARunningPlanAreNotReused) {
  State Now = makeState(1, 4, signageModel(2, 2));
  PlanProgress Running;
  Running.Phase = PlanPhase::Running;
  Running.ProposalRecord.Proposal =
      planIntent(Now, SetCapacity{Signage, East, 1});
  const std::vector<HostName> Taken =
      membersOf(Running.ProposalRecord.Proposal.Steps.at(0));
  Now.Plans[49] = Running;
  const Plan Planned = planIntent(Now, SetCapacity{Signage, East, 2});
  ASSERT_EQ(Planned.Steps.size(), 1U);
  for (const HostName &Member : membersOf(Planned.Steps[0]))
    EXPECT_EQ(std::count(Taken.begin(), Taken.end(), Member), 0);
}

TEST(Planner, UnknownNameErrorListsTheDeclaredNames) {
  const State Now = makeState(1, 2, signageModel(2, 1));
  const auto Text = [&Now](const Intent &Request) {
    try {
      (void)planIntent(Now, Request);
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

// Guards against a declaration that drops a host whose engine still serves: no
// stop order could reach the engine, and it would go on answering for a group
// that no longer exists.
TEST(Planner, ServingHostCannotLeaveTheDeclaration) {
  State Now = makeState(1, 2, signageModel(2, 1));
  const GroupId Id = addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 2));
  Declaration NewDeclaration = Now.Declared;
  NewDeclaration.Hosts.erase(NewDeclaration.Hosts.begin());
  EXPECT_THROW((void)planIntent(Now, ApplyDeclaration{NewDeclaration}),
               PlanError);
  Now.Groups[Id].Phase = GroupPhase::Broken;
  EXPECT_NO_THROW((void)planIntent(Now, ApplyDeclaration{NewDeclaration}));
}

TEST(Planner, RepairKeepsTheSurvivors) {
  State Now = makeState(2, 4, signageModel(3, 1));
  const GroupId Id =
      addGroup(Now, 10, 0, East, hostsOf(East, 0, 0, 3), GroupPhase::Broken);
  for (const int Survivor : {0, 2}) {
    Now.Groups[Id].HeldHosts.erase(hostIn(East, 0, Survivor));
    Now.OccupiedHosts.erase(hostIn(East, 0, Survivor));
  }
  const std::optional<Plan> Planned = planRepair(Now);
  ASSERT_TRUE(Planned);
  ASSERT_EQ(Planned->Steps.size(), 1U);
  EXPECT_EQ(membersOf(Planned->Steps[0]),
            (std::vector<HostName>{hostIn(East, 0, 0), hostIn(East, 0, 2),
                                   hostIn(East, 0, 3)}));
  const std::optional<Plan> Moved = planRepair(Now, {hostIn(East, 0, 3)});
  ASSERT_TRUE(Moved);
  EXPECT_EQ(membersOf(Moved->Steps.at(0)), hostsOf(East, 1, 0, 3));
}

TEST(Planner, RepairSkipsGroupsThatARunningPlanWillForm) {
  State Now = makeState(1, 4, signageModel(2, 1));
  PlanProgress Running;
  Running.Phase = PlanPhase::Running;
  Running.ProposalRecord.Proposal =
      planIntent(Now, SetCapacity{Signage, East, 1});
  Now.Plans[49] = Running;
  EXPECT_FALSE(planRepair(Now));
}

bool mayJoin(const State &Now, const Plan &Planned, const FormGroup &Form,
             const HostName &Member) {
  const auto *Drain = std::get_if<DrainHost>(&Planned.RequestedIntent);
  return findHost(Now.Declared, Member)->FabricDomain ==
             findHost(Now.Declared, Form.Members[0])->FabricDomain &&
         (Drain == nullptr || Drain->Host != Member);
}

bool applyStep(const State &Now, const Plan &Planned, const Step &PlanStep,
               std::map<HostName, GroupId> &OccupiedHosts) {
  if (const auto *Stop = std::get_if<StopGroup>(&PlanStep)) {
    std::erase_if(OccupiedHosts, [Stop](const auto &Entry) {
      return Entry.second == Stop->Group;
    });
    return true;
  }
  const auto &Form = std::get<FormGroup>(PlanStep);
  return std::all_of(Form.Members.begin(), Form.Members.end(),
                     [&](const HostName &Member) {
                       const GroupId Id{Planned.PlannedAt, Form.Number};
                       return OccupiedHosts.emplace(Member, Id).second &&
                              mayJoin(Now, Planned, Form, Member);
                     });
}

// For random states and intents: no plan, applied step by step, puts a host
// into two groups, forms a group across domains or uses the host it drains.
TEST(Planner, StepsNeverUseAHostTwice) {
  for (std::uint64_t Seed = 0; Seed < 300; ++Seed) {
    Random Generator(Seed);
    const auto Members = static_cast<std::uint32_t>(1 + Generator.below(4));
    State Now =
        makeState(3, 6, signageModel(Members, 2 + Generator.below(3), 1));
    for (const Step &PlanStep :
         planIntent(Now, ApplyDeclaration{Now.Declared}).Steps)
      addGroup(Now, 10, std::get<FormGroup>(PlanStep).Number,
               std::get<FormGroup>(PlanStep).DataCentre, membersOf(PlanStep),
               Generator.below(8) == 0 ? GroupPhase::Broken
                                       : GroupPhase::Serving);
    const Intent Choices[] = {
        SetVersion{Signage, NextVersion},
        SetCapacity{Signage, East,
                    static_cast<std::uint32_t>(Generator.below(6))},
        DrainHost{hostIn(East, 0, static_cast<int>(Generator.below(6)))}};
    const Plan Planned = planIntent(Now, Choices[Generator.below(3)]);
    std::map<HostName, GroupId> OccupiedHosts = Now.OccupiedHosts;
    for (const Step &PlanStep : Planned.Steps)
      ASSERT_TRUE(applyStep(Now, Planned, PlanStep, OccupiedHosts))
          << "seed " << Seed;
  }
}

} // namespace
} // namespace coltsfoottrail
