#include "coltsfoottrail/fold/fold.hpp"

#include "coltsfoottrail/route/table.hpp"
#include "coltsfoottrail/support.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::dataCentre;
using test::FoldedLog;
using test::formStep;
using test::host;
using test::model;

const HostName EntryA("entry-a");
const HostName EntryB("entry-b");

class Fold : public testing::Test {
protected:
  void SetUp() override {
    Told.join(EntryA, 11);
    Told.join(EntryB, 12);
    Told.proposeAndConfirm(ApplyDeclaration{Declared});
  }

  /// Forms a group on two hosts of a fabric domain and lets it serve.
  GroupId serve(std::uint32_t DataCentre, std::uint32_t First = 0) {
    const Offset Plan =
        Told.proposeAndConfirm(SetCapacity{model(0), dataCentre(DataCentre), 1},
                               {formStep(Declared, 0, model(0),
                                         {host(DataCentre, 0, First),
                                          host(DataCentre, 0, First + 1)})});
    const Offset Lease = Told.takeLease(Plan, EntryA);
    EXPECT_EQ(Told.confirmGroup(GroupId{Plan, 0}, Lease).Effect,
              FoldEffect::Applied);
    EXPECT_EQ(Told.append(StepFinished{Plan, Lease, 0}).Effect,
              FoldEffect::Applied);
    return GroupId{Plan, 0};
  }

  Declaration Declared = test::makeDeclaration();
  FoldedLog Told;
};

TEST_F(Fold, ServingGroupIsRoutedToUntilItsDataCentreIsDrained) {
  const GroupId Group = serve(0);
  EXPECT_EQ(Told.Now.Plans.at(Group.Plan).Phase, PlanPhase::Done);
  const RouteTable Before = buildRoutes(Told.Now);
  ASSERT_EQ(Before.Pools.at("model/model0").Endpoints.size(), 1U);
  const EndpointSpec &Endpoint = Before.Pools.at("model/model0").Endpoints[0];
  EXPECT_EQ(Endpoint.Key,
            std::to_string(Group.Plan) + ".0@" +
                std::to_string(Told.Now.Groups.at(Group).Generation));
  EXPECT_EQ(Endpoint.MemberRuns, (std::vector<Incarnation>{100, 101}));
  EXPECT_EQ(Before.Pools.at("service/permits").Endpoints.size(), 3U);

  Told.proposeAndConfirm(DrainDataCentre{dataCentre(0)});
  const RouteTable After = buildRoutes(Told.Now);
  EXPECT_TRUE(After.Pools.at("model/model0").Endpoints.empty());
  EXPECT_EQ(After.Pools.at("service/permits").Endpoints.size(), 2U);
}

// Two operators plan a group on the same hosts at the same time. If both plans
// held, one machine would serve two groups. The first confirmation in the order
// of the log wins, and the second operator is told which record beat it.
TEST_F(Fold, SecondPlanForTheSameHostsIsVoid) {
  const FormGroup First =
      formStep(Declared, 0, model(0), {host(0, 0, 0), host(0, 0, 1)});
  const FormGroup Second =
      formStep(Declared, 0, model(0), {host(0, 0, 1), host(0, 0, 2)});
  const Offset PlanA =
      Told.propose(SetCapacity{model(0), dataCentre(0), 1}, {First});
  const Offset PlanB = Told.propose(DrainDataCentre{dataCentre(2)}, {Second});
  const Offset Winner = Told.Now.Next;
  EXPECT_EQ(Told.append(PlanConfirmed{PlanA, "a"}).Effect, FoldEffect::Applied);
  const FoldResult Lost = Told.append(PlanConfirmed{PlanB, "b"});
  EXPECT_EQ(Lost.Effect, FoldEffect::Void);
  EXPECT_EQ(Lost.BeatenBy, Winner);
  EXPECT_EQ(Told.Now.Occupied.at(host(0, 0, 1)), (GroupId{PlanA, 0}));
  EXPECT_FALSE(Told.Now.Groups.contains(GroupId{PlanB, 0}));
  EXPECT_TRUE(Told.Now.DrainedDataCentres.empty());
}

// The answer to an append is lost although the record is on the log, so its
// writer appends it again. Folded twice, the plan would exist twice and both
// could be confirmed.
TEST_F(Fold, RetriedAppendIsDropped) {
  Plan Proposal;
  Proposal.Asked = DrainDataCentre{dataCentre(1)};
  Proposal.PlannedAt = Told.Now.Next;
  const WriterId Retried{77, 5};
  EXPECT_EQ(Told.appendAs(Retried, PlanProposed{Proposal, "a"}).Effect,
            FoldEffect::Applied);
  const std::size_t Plans = Told.Now.Plans.size();
  EXPECT_EQ(Told.appendAs(Retried, PlanProposed{Proposal, "a"}).Effect,
            FoldEffect::Twin);
  EXPECT_EQ(Told.Now.Plans.size(), Plans);
}

// An executor is paused for minutes. Another entry host has taken its lease and
// carried the plan on; the first wakes and reports its step as if nothing had
// happened.
TEST_F(Fold, PausedExecutorHasLostItsLease) {
  const Offset Plan = Told.proposeAndConfirm(
      SetCapacity{model(0), dataCentre(0), 1},
      {formStep(Declared, 0, model(0), {host(0, 0, 0), host(0, 0, 1)})});
  const Offset Old = Told.takeLease(Plan, EntryA);
  const Offset New = Told.takeLease(Plan, EntryB);
  EXPECT_GT(New, Old);
  const FoldResult Late = Told.confirmGroup(GroupId{Plan, 0}, Old);
  EXPECT_EQ(Late.Effect, FoldEffect::Void);
  EXPECT_EQ(Late.BeatenBy, New);
  const FoldResult Again = Told.append(ExecutorTaken{Plan, EntryA, 11, Old});
  EXPECT_EQ(Again.Effect, FoldEffect::Void);
  EXPECT_EQ(Told.Now.Plans.at(Plan).Lease, New);
  EXPECT_EQ(Told.confirmGroup(GroupId{Plan, 0}, New).Effect,
            FoldEffect::Applied);
}

// A member of a group dies and the group breaks. Its survivors still hold the
// old group's weights and may still answer: they are free for another group
// only one by one, as each proves its stop.
TEST_F(Fold, HostsOfABrokenGroupAreFreeOneByOne) {
  const GroupId Group = serve(0);
  Told.append(GroupBroken{Group, host(0, 0, 1), "no heartbeat"});
  EXPECT_TRUE(buildRoutes(Told.Now).Pools.at("model/model0").Endpoints.empty());
  Told.append(HostReleased{host(0, 0, 0), Group});
  EXPECT_FALSE(Told.Now.Occupied.contains(host(0, 0, 0)));
  EXPECT_TRUE(Told.Now.Occupied.contains(host(0, 0, 1)));
  Told.append(HostReleased{host(0, 0, 1), Group});
  EXPECT_TRUE(Told.Now.Groups.empty());
  EXPECT_EQ(Told.append(HostReleased{host(0, 0, 1), Group}).Effect,
            FoldEffect::Void);
}

// There are no spare hosts, so a new version takes the hosts of the old group.
// Were they taken before the old group's engines had stopped, one machine would
// serve both versions.
TEST_F(Fold, RollOntoTheSameHostsWaitsForTheirRelease) {
  const GroupId Old = serve(0);
  FormGroup Form =
      formStep(Declared, 0, model(0), {host(0, 0, 0), host(0, 0, 1)});
  Form.Version = VersionName("v2");
  const Offset Plan = Told.proposeAndConfirm(
      SetVersion{model(0), VersionName("v2")}, {StopGroup{Old}, Form});
  EXPECT_EQ(Told.Now.Groups.at(Old).Phase, GroupPhase::Stopping);
  EXPECT_FALSE(Told.Now.Groups.contains(GroupId{Plan, 0}));
  const Offset Lease = Told.takeLease(Plan, EntryA);
  Told.append(HostReleased{host(0, 0, 0), Old});
  EXPECT_EQ(Told.append(StepFinished{Plan, Lease, 0}).Effect, FoldEffect::Void);
  // A second plan sees a free host, but it is meant for the first one.
  FormGroup Other = Form;
  Other.Members = {host(0, 0, 0), host(0, 0, 2)};
  const Offset Rival = Told.propose(DrainDataCentre{dataCentre(2)}, {Other});
  EXPECT_EQ(Told.append(PlanConfirmed{Rival, "b"}).Effect, FoldEffect::Void);
  Told.append(HostReleased{host(0, 0, 1), Old});
  EXPECT_EQ(Told.append(StepFinished{Plan, Lease, 0}).Effect,
            FoldEffect::Applied);
  EXPECT_EQ(Told.Now.Groups.at(GroupId{Plan, 0}).Formed.Version.Text, "v2");
}

// An operator removes a host from the declaration while its engine still
// answers requests. Nobody would know its address any more.
TEST_F(Fold, DeclarationMustNotDropAnOccupiedHost) {
  serve(0);
  Declaration Smaller = Declared;
  std::erase_if(Smaller.Hosts, [](const HostSpec &Each) {
    return Each.Name == host(0, 0, 1);
  });
  const Offset At = Told.Now.Next;
  Told.propose(ApplyDeclaration{Smaller});
  EXPECT_FALSE(Told.Now.Plans.contains(At));
  EXPECT_EQ(Told.Now.Declared.Hosts.size(), Declared.Hosts.size());
}

// At 10,000 hosts a declaration is a megabyte and more, and every entry host
// gets it. Only what changes is written, and it must come to the same.
TEST_F(Fold, DeclarationIsWrittenAsItsDifference) {
  Declaration Larger = test::makeDeclaration({3, 2, 200, 1, 2, 1});
  Told.proposeAndConfirm(ApplyDeclaration{Larger});
  Larger.Hosts.front().Accelerators = 4;
  Larger.Hosts.erase(Larger.Hosts.begin() + 7);
  Plan Proposal;
  Proposal.Asked = ApplyDeclaration{Larger};
  Proposal.PlannedAt = Told.Now.Next;
  shortenPlan(Proposal, Told.Now);
  const Offset At = Told.Now.Next;
  Told.append(PlanProposed{Proposal, "operator"});
  EXPECT_LT(Told.Bytes.back().size(), 2000U);
  Told.append(PlanConfirmed{At, "operator"});
  EXPECT_EQ(Told.Now.Declared, Larger);
}

// The same, but the change leaves hosts in a data centre that it takes out.
TEST_F(Fold, ChangeThatDoesNotFitWhatIsDeclaredIsVoid) {
  Declaration Wrong = Declared;
  Wrong.DataCentres.pop_back();
  Plan Proposal;
  Proposal.Asked = ApplyDeclaration{Wrong};
  Proposal.PlannedAt = Told.Now.Next;
  shortenPlan(Proposal, Told.Now);
  EXPECT_EQ(Told.append(PlanProposed{Proposal, "operator"}).Effect,
            FoldEffect::Void);
}

// A broken group's plan is abandoned while another of its groups is still
// loading. Its hosts must come free again and it must never serve.
TEST_F(Fold, AbandonedPlanStopsWhatIsForming) {
  const Offset Plan = Told.proposeAndConfirm(
      SetCapacity{model(0), dataCentre(0), 1},
      {formStep(Declared, 0, model(0), {host(0, 0, 0), host(0, 0, 1)})});
  const Offset Lease = Told.takeLease(Plan, EntryA);
  Told.append(PlanAbandoned{Plan, "given up"});
  EXPECT_EQ(Told.Now.Groups.at(GroupId{Plan, 0}).Phase, GroupPhase::Stopping);
  EXPECT_EQ(Told.confirmGroup(GroupId{Plan, 0}, Lease).Effect,
            FoldEffect::Void);
  Told.append(HostReleased{host(0, 0, 0), GroupId{Plan, 0}});
  Told.append(HostReleased{host(0, 0, 1), GroupId{Plan, 0}});
  EXPECT_TRUE(Told.Now.Occupied.empty());
}

// An entry host restarts under its own name. A late farewell of its first run
// must not remove the second from the membership.
TEST_F(Fold, LateFarewellOfAnEarlierRunIsVoid) {
  Told.join(EntryA, 21);
  EXPECT_EQ(Told.append(EntryHostLeft{EntryA, 11}).Effect, FoldEffect::Void);
  EXPECT_EQ(Told.Now.EntryHosts.at(EntryA).Joined.Run, 21U);
  EXPECT_EQ(Told.append(EntryHostLeft{EntryA, 21}).Effect, FoldEffect::Applied);
}

TEST_F(Fold, EndedPlansAndGoneWritersAreForgottenByOffset) {
  const Offset Plan = Told.proposeAndConfirm(DrainDataCentre{dataCentre(1)});
  Told.appendAs(WriterId{500, 1}, EntryHostLeft{EntryB, 99});
  const Offset Writer = Told.Now.Next;
  const auto Skip = [&](Offset To) { foldRecord(Told.Now, To, {}); };
  Skip(Plan + PlanMemory - SweepInterval);
  EXPECT_TRUE(Told.Now.Plans.contains(Plan));
  Skip(Plan + PlanMemory + SweepInterval + 2);
  EXPECT_FALSE(Told.Now.Plans.contains(Plan));
  EXPECT_TRUE(Told.Now.Writers.contains(500));
  Skip(Writer + WriterMemory + SweepInterval);
  EXPECT_FALSE(Told.Now.Writers.contains(500));
  EXPECT_TRUE(Told.Now.DrainedDataCentres.contains(dataCentre(1)));
}

} // namespace
} // namespace coltsfoottrail
