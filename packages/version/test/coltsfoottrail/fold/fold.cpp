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
    History.join(EntryA, 11);
    History.join(EntryB, 12);
    History.proposeAndConfirm(ApplyDeclaration{Declared});
  }

  /// Forms a group on two hosts of a fabric domain and lets it serve.
  GroupId serve(std::uint32_t DataCentre, std::uint32_t First = 0) {
    const Offset Plan = History.proposeAndConfirm(
        SetCapacity{model(0), dataCentre(DataCentre), 1},
        {formStep(
            Declared, 0, model(0),
            {host(DataCentre, 0, First), host(DataCentre, 0, First + 1)})});
    const Offset Lease = History.takeLease(Plan, EntryA);
    EXPECT_EQ(History.confirmGroup(GroupId{Plan, 0}, Lease).Effect,
              FoldEffect::Applied);
    EXPECT_EQ(History.append(StepFinished{Plan, Lease, 0}).Effect,
              FoldEffect::Applied);
    return GroupId{Plan, 0};
  }

  Declaration Declared = test::makeDeclaration();
  FoldedLog History;
};

TEST_F(Fold, ServingGroupIsRoutedToUntilItsDataCentreIsDrained) {
  const GroupId Group = serve(0);
  EXPECT_EQ(History.Now.Plans.at(Group.Plan).Phase, PlanPhase::Done);
  const RouteTable Before = buildRoutes(History.Now);
  ASSERT_EQ(Before.Pools.at("model/model0").Endpoints.size(), 1U);
  const EndpointSpec &Endpoint = Before.Pools.at("model/model0").Endpoints[0];
  EXPECT_EQ(Endpoint.Key,
            std::to_string(Group.Plan) + ".0@" +
                std::to_string(History.Now.Groups.at(Group).Generation));
  EXPECT_EQ(Endpoint.MemberRuns, (std::vector<Incarnation>{100, 101}));
  EXPECT_EQ(Before.Pools.at("service/permits").Endpoints.size(), 3U);

  History.proposeAndConfirm(DrainDataCentre{dataCentre(0)});
  const RouteTable After = buildRoutes(History.Now);
  EXPECT_TRUE(After.Pools.at("model/model0").Endpoints.empty());
  EXPECT_EQ(After.Pools.at("service/permits").Endpoints.size(), 2U);
}

// Two operators plan a group on the same hosts at the same time. If both plans
// were applied, one machine would serve two groups. The first confirmation in
// log order wins, and the second operator gets the offset of the record that
// conflicts.
TEST_F(Fold, SecondPlanForTheSameHostsIsVoid) {
  const FormGroup First =
      formStep(Declared, 0, model(0), {host(0, 0, 0), host(0, 0, 1)});
  const FormGroup Second =
      formStep(Declared, 0, model(0), {host(0, 0, 1), host(0, 0, 2)});
  const Offset PlanA =
      History.propose(SetCapacity{model(0), dataCentre(0), 1}, {First});
  const Offset PlanB =
      History.propose(DrainDataCentre{dataCentre(2)}, {Second});
  const Offset Winner = History.Now.Next;
  EXPECT_EQ(History.append(PlanConfirmed{PlanA, "a"}).Effect,
            FoldEffect::Applied);
  const FoldResult Rejected = History.append(PlanConfirmed{PlanB, "b"});
  EXPECT_EQ(Rejected.Effect, FoldEffect::Void);
  EXPECT_EQ(Rejected.ConflictingOffset, Winner);
  EXPECT_EQ(History.Now.OccupiedHosts.at(host(0, 0, 1)), (GroupId{PlanA, 0}));
  EXPECT_FALSE(History.Now.Groups.contains(GroupId{PlanB, 0}));
  EXPECT_TRUE(History.Now.DrainedDataCentres.empty());
}

// The response to an append is lost although the record is on the log, so its
// writer appends it again. Folded twice, the plan would exist twice and both
// copies could be confirmed.
TEST_F(Fold, RetriedAppendIsDropped) {
  Plan Proposal;
  Proposal.RequestedIntent = DrainDataCentre{dataCentre(1)};
  Proposal.PlannedAt = History.Now.Next;
  const WriterId Retried{77, 5};
  EXPECT_EQ(History.appendAs(Retried, PlanProposed{Proposal, "a"}).Effect,
            FoldEffect::Applied);
  const std::size_t Plans = History.Now.Plans.size();
  EXPECT_EQ(History.appendAs(Retried, PlanProposed{Proposal, "a"}).Effect,
            FoldEffect::Duplicate);
  EXPECT_EQ(History.Now.Plans.size(), Plans);
}

// An executor is paused for minutes. Another entry host has taken over its
// lease and continued the plan; the first one resumes and reports its step
// under the old lease.
TEST_F(Fold, PausedExecutorHasLostItsLease) {
  const Offset Plan = History.proposeAndConfirm(
      SetCapacity{model(0), dataCentre(0), 1},
      {formStep(Declared, 0, model(0), {host(0, 0, 0), host(0, 0, 1)})});
  const Offset OldLease = History.takeLease(Plan, EntryA);
  const Offset NewLease = History.takeLease(Plan, EntryB);
  EXPECT_GT(NewLease, OldLease);
  const FoldResult Late = History.confirmGroup(GroupId{Plan, 0}, OldLease);
  EXPECT_EQ(Late.Effect, FoldEffect::Void);
  EXPECT_EQ(Late.ConflictingOffset, NewLease);
  const FoldResult Again =
      History.append(ExecutorTaken{Plan, EntryA, 11, OldLease});
  EXPECT_EQ(Again.Effect, FoldEffect::Void);
  EXPECT_EQ(History.Now.Plans.at(Plan).Lease, NewLease);
  EXPECT_EQ(History.confirmGroup(GroupId{Plan, 0}, NewLease).Effect,
            FoldEffect::Applied);
}

// A member of a group fails and the group is broken. The surviving engines
// still hold the old group's weights and may still serve requests: each host is
// free for another group only once its own stop is proved.
TEST_F(Fold, HostsOfABrokenGroupAreReleasedOneByOne) {
  const GroupId Group = serve(0);
  History.append(GroupBroken{Group, host(0, 0, 1), "no heartbeat"});
  EXPECT_TRUE(
      buildRoutes(History.Now).Pools.at("model/model0").Endpoints.empty());
  History.append(HostReleased{host(0, 0, 0), Group});
  EXPECT_FALSE(History.Now.OccupiedHosts.contains(host(0, 0, 0)));
  EXPECT_TRUE(History.Now.OccupiedHosts.contains(host(0, 0, 1)));
  History.append(HostReleased{host(0, 0, 1), Group});
  EXPECT_TRUE(History.Now.Groups.empty());
  EXPECT_EQ(History.append(HostReleased{host(0, 0, 1), Group}).Effect,
            FoldEffect::Void);
}

// There are no spare hosts, so a new version uses the hosts of the old group.
// If they were occupied before the old group's engines had stopped, one machine
// would serve both versions.
TEST_F(Fold, RollOntoTheSameHostsWaitsForTheirRelease) {
  const GroupId Old = serve(0);
  FormGroup Form =
      formStep(Declared, 0, model(0), {host(0, 0, 0), host(0, 0, 1)});
  Form.Version = VersionName("v2");
  const Offset Plan = History.proposeAndConfirm(
      SetVersion{model(0), VersionName("v2")}, {StopGroup{Old}, Form});
  EXPECT_EQ(History.Now.Groups.at(Old).Phase, GroupPhase::Stopping);
  EXPECT_FALSE(History.Now.Groups.contains(GroupId{Plan, 0}));
  const Offset Lease = History.takeLease(Plan, EntryA);
  History.append(HostReleased{host(0, 0, 0), Old});
  EXPECT_EQ(History.append(StepFinished{Plan, Lease, 0}).Effect,
            FoldEffect::Void);
  // A second plan finds a free host, but it is reserved for the first plan.
  FormGroup Other = Form;
  Other.Members = {host(0, 0, 0), host(0, 0, 2)};
  const Offset OtherPlan =
      History.propose(DrainDataCentre{dataCentre(2)}, {Other});
  EXPECT_EQ(History.append(PlanConfirmed{OtherPlan, "b"}).Effect,
            FoldEffect::Void);
  History.append(HostReleased{host(0, 0, 1), Old});
  EXPECT_EQ(History.append(StepFinished{Plan, Lease, 0}).Effect,
            FoldEffect::Applied);
  EXPECT_EQ(History.Now.Groups.at(GroupId{Plan, 0}).Spec.Version.Text, "v2");
}

// An operator removes a host from the declaration while its engine still serves
// requests. Its address would be lost.
TEST_F(Fold, DeclarationMustNotDropAnOccupiedHost) {
  serve(0);
  Declaration Smaller = Declared;
  std::erase_if(Smaller.Hosts, [](const HostSpec &Host) {
    return Host.Name == host(0, 0, 1);
  });
  const Offset ProposalOffset = History.Now.Next;
  History.propose(ApplyDeclaration{Smaller});
  EXPECT_FALSE(History.Now.Plans.contains(ProposalOffset));
  EXPECT_EQ(History.Now.Declared.Hosts.size(), Declared.Hosts.size());
}

// At 10,000 hosts a declaration is more than a megabyte, and every entry host
// receives it. Only the difference is written, and applying it must give the
// same declaration.
TEST_F(Fold, DeclarationIsWrittenAsItsDifference) {
  Declaration Larger = test::makeDeclaration({3, 2, 200, 1, 2, 1});
  History.proposeAndConfirm(ApplyDeclaration{Larger});
  Larger.Hosts.front().Accelerators = 4;
  Larger.Hosts.erase(Larger.Hosts.begin() + 7);
  Plan Proposal;
  Proposal.RequestedIntent = ApplyDeclaration{Larger};
  Proposal.PlannedAt = History.Now.Next;
  shortenPlan(Proposal, History.Now);
  const Offset ProposalOffset = History.Now.Next;
  History.append(PlanProposed{Proposal, "operator"});
  EXPECT_LT(History.Bytes.back().size(), 2000U);
  History.append(PlanConfirmed{ProposalOffset, "operator"});
  EXPECT_EQ(History.Now.Declared, Larger);
}

// The difference removes a data centre but leaves hosts in it.
TEST_F(Fold, ChangeThatDoesNotFitWhatIsDeclaredIsVoid) {
  Declaration Wrong = Declared;
  Wrong.DataCentres.pop_back();
  Plan Proposal;
  Proposal.RequestedIntent = ApplyDeclaration{Wrong};
  Proposal.PlannedAt = History.Now.Next;
  shortenPlan(Proposal, History.Now);
  EXPECT_EQ(History.append(PlanProposed{Proposal, "operator"}).Effect,
            FoldEffect::Void);
}

// A plan is abandoned while one of its groups is still loading. The hosts of
// the group must be released and it must never serve.
TEST_F(Fold, AbandonedPlanStopsWhatIsForming) {
  const Offset Plan = History.proposeAndConfirm(
      SetCapacity{model(0), dataCentre(0), 1},
      {formStep(Declared, 0, model(0), {host(0, 0, 0), host(0, 0, 1)})});
  const Offset Lease = History.takeLease(Plan, EntryA);
  History.append(PlanAbandoned{Plan, "given up"});
  EXPECT_EQ(History.Now.Groups.at(GroupId{Plan, 0}).Phase,
            GroupPhase::Stopping);
  EXPECT_EQ(History.confirmGroup(GroupId{Plan, 0}, Lease).Effect,
            FoldEffect::Void);
  History.append(HostReleased{host(0, 0, 0), GroupId{Plan, 0}});
  History.append(HostReleased{host(0, 0, 1), GroupId{Plan, 0}});
  EXPECT_TRUE(History.Now.OccupiedHosts.empty());
}

// An entry host restarts under the same name. A late EntryHostLeft record of
// its first run must not remove the second run from the membership.
TEST_F(Fold, LateLeaveOfAnEarlierRunIsVoid) {
  History.join(EntryA, 21);
  EXPECT_EQ(History.append(EntryHostLeft{EntryA, 11}).Effect, FoldEffect::Void);
  EXPECT_EQ(History.Now.EntryHosts.at(EntryA).JoinRecord.Run, 21U);
  EXPECT_EQ(History.append(EntryHostLeft{EntryA, 21}).Effect,
            FoldEffect::Applied);
}

TEST_F(Fold, EndedPlansAndInactiveWritersAreErasedByOffset) {
  const Offset Plan = History.proposeAndConfirm(DrainDataCentre{dataCentre(1)});
  History.appendAs(WriterId{500, 1}, EntryHostLeft{EntryB, 99});
  const Offset Writer = History.Now.Next;
  const auto FoldUnreadableAt = [&](Offset RecordOffset) {
    foldRecord(History.Now, RecordOffset, {});
  };
  FoldUnreadableAt(Plan + PlanRetention - SweepInterval);
  EXPECT_TRUE(History.Now.Plans.contains(Plan));
  FoldUnreadableAt(Plan + PlanRetention + SweepInterval + 2);
  EXPECT_FALSE(History.Now.Plans.contains(Plan));
  EXPECT_TRUE(History.Now.Writers.contains(500));
  FoldUnreadableAt(Writer + WriterRetention + SweepInterval);
  EXPECT_FALSE(History.Now.Writers.contains(500));
  EXPECT_TRUE(History.Now.DrainedDataCentres.contains(dataCentre(1)));
}

} // namespace
} // namespace coltsfoottrail
