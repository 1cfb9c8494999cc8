#include "coltsfoottrail/groups/executor.hpp"

#include "coltsfoottrail/groups/fleet.hpp"
#include "coltsfoottrail/intents/states.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr Duration LongTimeout = std::chrono::minutes(10);
const VersionName NextVersion("v2");

Declaration makeDeclaration(int Domains, int HostsEach, ModelSpec Model) {
  Declaration Declared = declareHosts(Domains, HostsEach);
  Declared.Models.push_back(std::move(Model));
  return Declared;
}

void expectNoViolations(const Fleet &World) {
  for (const std::string &Text : World.Violations)
    ADD_FAILURE() << Text;
  if (testing::Test::HasFailure())
    for (const std::string &Text : World.Refused)
      std::cerr << Text << '\n';
}

TEST(GroupExecutor, DeclaredGroupsComeToServe) {
  Fleet World(makeDeclaration(2, 4, signageModel(2, 3, 1)), 3, 1);
  World.run(seconds(3));
  EXPECT_LE(World.loadingGroups(), 4U);
  EXPECT_TRUE(World.runUntil([&] { return World.allServe(4); }, LongTimeout));
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, LongTimeout));
  expectNoViolations(World);
}

TEST(GroupExecutor, LoadsAtOnceKeepToTheWeightStoreOverAllPlans) {
  Declaration Declared = makeDeclaration(4, 4, signageModel(1, 6));
  Declared.WeightLoadsAtOnce = 2;
  Fleet World(Declared, 3, 1);
  World.applyIntent(SetCapacity{Signage, West, 6});
  EXPECT_TRUE(World.runUntil([&] { return World.allServe(12); }, LongTimeout));
  expectNoViolations(World);
}

class ExecutorDies : public testing::TestWithParam<int> {};

// Guards against a rollout that stops or loses capacity when the entry host
// that executes it dies or is paused between any two of its steps. Another host
// continues the plan and finishes it.
TEST_P(ExecutorDies, AnotherCarriesThePlanOn) {
  for (const bool Pause : {false, true}) {
    Fleet World(makeDeclaration(1, 6, signageModel(2, 2)), 3, 7);
    ASSERT_TRUE(World.runUntil([&] { return !World.plansRun(); }, LongTimeout));
    const Offset Plan = World.applyIntent(SetVersion{Signage, NextVersion});
    World.run(milliseconds(200 + 1700 * GetParam()));
    Fleet::Node *Executor = World.executorOf(Plan);
    ASSERT_NE(Executor, nullptr);
    if (Pause)
      Executor->PausedUntil = World.Clock + seconds(90);
    else
      Executor->Alive = false;
    ASSERT_TRUE(World.runUntil(
        [&] {
          EXPECT_GE(World.serving(), 2U);
          return !World.plansRun();
        },
        LongTimeout));
    World.run(seconds(100));
    EXPECT_TRUE(World.allServe(2));
    for (const auto &[Id, Current] : World.Agreed.Groups)
      EXPECT_EQ(Current.Spec.Version, NextVersion);
    EXPECT_EQ(World.Agreed.Plans.at(Plan).Phase, PlanPhase::Done);
    expectNoViolations(World);
  }
}

INSTANTIATE_TEST_SUITE_P(AtManyMoments, ExecutorDies, testing::Range(0, 32, 2));

// Guards against orders of an executor that was paused while it held a lease,
// after another host has taken over: its lease has lapsed by its own clock.
TEST(GroupExecutor, WokenExecutorActsNoMore) {
  Fleet World(makeDeclaration(1, 4, signageModel(2, 1)), 2, 3);
  World.run(seconds(2));
  const Offset Plan = World.Agreed.Plans.begin()->first;
  Fleet::Node *First = World.executorOf(Plan);
  ASSERT_NE(First, nullptr);
  First->PausedUntil = World.Clock + seconds(15);
  World.run(seconds(14));
  First->PausedUntil = World.Clock + seconds(60);
  World.run(seconds(59));
  const Offset Lease = World.Agreed.Plans.at(Plan).Lease;
  EXPECT_NE(World.Agreed.Plans.at(Plan).ExecutorRun, First->Run);
  const GroupDecisions Woken = First->Agent->poll(First->Seen, World.Clock);
  for (const GroupCommand &Command : Woken.Commands)
    EXPECT_FALSE(std::holds_alternative<OrderEngine>(Command)) << Lease;
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, LongTimeout));
  expectNoViolations(World);
}

// The answers to a third of all orders, queries and appends are lost after they
// took effect. Querying tells what became of them.
TEST(GroupExecutor, LostAnswersAreResolvedByAsking) {
  Fleet World(makeDeclaration(2, 4, signageModel(2, 2)), 3, 11);
  World.LoseOneIn = 3;
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, LongTimeout));
  const Offset Plan = World.applyIntent(SetVersion{Signage, NextVersion});
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, LongTimeout));
  EXPECT_EQ(World.Agreed.Plans.at(Plan).Phase, PlanPhase::Done);
  EXPECT_TRUE(World.allServe(2));
  expectNoViolations(World);
}

// An engine restarts under its address while its group forms: it answers, but
// without the group. It is ordered to join again, and the group is confirmed
// with the new run.
TEST(GroupExecutor, EngineThatRestartsWhileFormingIsOrderedInAgain) {
  Fleet World(makeDeclaration(1, 2, signageModel(2, 1)), 2, 5);
  World.run(seconds(8));
  const HostName Host = hostIn(East, 0, 1);
  ASSERT_EQ(World.Engines.at(Host).Current.Phase, EnginePhase::Loading);
  World.Engines.at(Host).restart();
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, LongTimeout));
  EXPECT_EQ(World.Agreed.Groups.begin()->second.MemberRuns[1], 2U);
  expectNoViolations(World);
}

// Guards against late orders to engines that ignore fencing numbers. An
// executor decides to order engines into a group and stops before the orders
// are sent. The group is abandoned, another one forms on its hosts, and then
// the orders arrive: the engines would go back to the first group while
// requests are sent to the second one. The hosts must not be free before such
// an order can no longer arrive.
TEST(GroupExecutor, LateOrderFindsNoNewGroupOnEnginesWithoutFences) {
  Declaration Declared = makeDeclaration(1, 2, signageModel(2, 1));
  for (HostSpec &Host : Declared.Hosts)
    Host.RefusesOldFences = false;
  Fleet World(Declared, 4, 5);
  for (auto &[Host, Engine] : World.Engines)
    Engine.LoadTime = seconds(1);
  for (const auto &Node : World.Nodes)
    Node->OrderDelay = seconds(18);
  World.run(seconds(2));
  const auto [Id, Current] = *World.Agreed.Groups.begin();
  World.executorOf(Id.Plan)->Alive = false;
  for (const auto &Node : World.Nodes)
    Node->OrderDelay = Duration::zero();
  const TimePoint Broken = World.Clock;
  World.breakGroup(Id, hostIn(East, 0, 1));
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, LongTimeout));
  EXPECT_GE(World.Clock - Broken, World.Times.LeaseLength);
  World.run(seconds(30));
  EXPECT_TRUE(World.allServe(1));
  expectNoViolations(World);
}

// As above with engines that refuse old fences: the host is free as soon as its
// engine has obeyed, and the late order is refused.
TEST(GroupExecutor, HostOfAnEngineWithFencesIsFreeAtOnce) {
  Fleet World(makeDeclaration(1, 2, signageModel(2, 1)), 2, 5);
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, LongTimeout));
  const auto [Id, Current] = *World.Agreed.Groups.begin();
  const HostName Host = hostIn(East, 0, 0);
  const Offset OldLease = World.Engines.at(Host).Current.Fence;
  const TimePoint Broken = World.Clock;
  World.breakGroup(Id, hostIn(East, 0, 1));
  ASSERT_TRUE(World.runUntil(
      [&] { return !World.Agreed.OccupiedHosts.contains(Host); }, LongTimeout));
  EXPECT_LE(World.Clock - Broken, seconds(5));
  JoinGroup Late;
  Late.Group = Id;
  EXPECT_EQ(
      World.Engines.at(Host).obey(EngineOrder{OldLease, Late}, World.Clock),
      OrderResult::RefusedOldFence);
  expectNoViolations(World);
}

// A fabric domain fails while groups form in it. The groups are abandoned and
// formed again in the other domain, and the surviving host is free again. When
// the domain is back, none of its hosts stays occupied.
TEST(GroupExecutor, DarkDomainWhileFormingStrandsNothing) {
  Fleet World(makeDeclaration(2, 4, signageModel(2, 2)), 3, 9);
  World.run(seconds(4));
  const std::vector<HostName> Unreachable = {
      hostIn(East, 0, 0), hostIn(East, 0, 1), hostIn(East, 0, 2)};
  for (const HostName &Host : Unreachable)
    World.Engines.at(Host).Unreachable = true;
  ASSERT_TRUE(World.runUntil(
      [&] { return World.serving() == 2 && !World.plansRun(); }, LongTimeout));
  for (const auto &[Host, Group] : World.Agreed.OccupiedHosts) {
    const bool Serves =
        World.Agreed.Groups.at(Group).Phase == GroupPhase::Serving;
    EXPECT_TRUE(Serves || World.Engines.at(Host).Unreachable) << Host.Text;
  }
  for (const HostName &Host : Unreachable)
    World.Engines.at(Host).Unreachable = false;
  EXPECT_TRUE(World.runUntil([&] { return World.allServe(2); }, LongTimeout));
  EXPECT_EQ(World.Agreed.OccupiedHosts.size(), 4U);
  expectNoViolations(World);
}

// One member of a group dies. The group is restored with its surviving hosts
// and one spare of their domain, so only one host moves.
TEST(GroupExecutor, RepairMovesOneHost) {
  Fleet World(makeDeclaration(2, 4, signageModel(3, 1)), 3, 2);
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, LongTimeout));
  const auto [Id, Current] = *World.Agreed.Groups.begin();
  const HostName Lost = Current.Spec.Members[1];
  World.Engines.at(Lost).Unreachable = true;
  World.breakGroup(Id, Lost);
  ASSERT_TRUE(
      World.runUntil([&] { return World.serving() == 1; }, LongTimeout));
  std::size_t Kept = 0;
  for (const HostName &Member : Current.Spec.Members) {
    const auto Assigned = World.Agreed.OccupiedHosts.find(Member);
    Kept +=
        Assigned != World.Agreed.OccupiedHosts.end() && Assigned->second != Id
            ? 1
            : 0;
  }
  EXPECT_EQ(Kept, 2U);
  expectNoViolations(World);
}

// As above, starting with the death of the member: its watchers miss it, no
// entry host sends requests to the group any more, the group is declared broken
// and is restored.
TEST(GroupExecutor, DeadMemberIsSeenAndItsGroupComesBack) {
  Fleet World(makeDeclaration(2, 4, signageModel(3, 1)), 4, 2);
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, LongTimeout));
  World.run(seconds(5));
  const GroupId Id = World.Agreed.Groups.begin()->first;
  for (const auto &Node : World.Nodes)
    EXPECT_TRUE(Node->Agent->mayRoute(Id, World.Clock));
  World.Engines.at(hostIn(East, 0, 2)).Unreachable = true;
  World.run(World.Watching.maxUseAfterLoss());
  for (const auto &Node : World.Nodes)
    EXPECT_FALSE(Node->Agent->mayRoute(Id, World.Clock));
  ASSERT_TRUE(
      World.runUntil([&] { return World.serving() == 1; }, seconds(60)));
  const GroupId Next = World.Agreed.OccupiedHosts.at(hostIn(East, 0, 0));
  EXPECT_NE(Next, Id);
  World.run(seconds(4));
  for (const auto &Node : World.Nodes)
    EXPECT_TRUE(Node->Agent->mayRoute(Next, World.Clock));
  expectNoViolations(World);
}

// A host of a broken group is unreachable, and its operator removes it from the
// declaration. It is still queried at its old address, and once it answers and
// has left its group, it may be declared again.
TEST(GroupExecutor, DroppedHostOfABrokenGroupIsReleasedWhenItAnswers) {
  const Declaration Declared = makeDeclaration(1, 4, signageModel(2, 1));
  Fleet World(Declared, 3, 2);
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, LongTimeout));
  const GroupId Id = World.Agreed.Groups.begin()->first;
  const HostName Lost = hostIn(East, 0, 1);
  World.Engines.at(Lost).Unreachable = true;
  World.breakGroup(Id, Lost);
  ASSERT_TRUE(
      World.runUntil([&] { return World.serving() == 1; }, LongTimeout));
  World.run(seconds(10));
  Declaration Without = Declared;
  std::erase_if(Without.Hosts,
                [&](const HostSpec &Host) { return Host.Name == Lost; });
  World.applyIntent(ApplyDeclaration{Without});
  ASSERT_TRUE(World.Agreed.DepartedHosts.contains(Lost));
  EXPECT_THROW((void)planIntent(World.Agreed, ApplyDeclaration{Declared}),
               PlanError);
  World.run(seconds(60));
  EXPECT_TRUE(World.Agreed.OccupiedHosts.contains(Lost));
  World.Engines.at(Lost).Unreachable = false;
  EXPECT_TRUE(World.runUntil([&] { return World.allServe(1); }, LongTimeout));
  EXPECT_FALSE(World.Engines.at(Lost).Current.Group);
  EXPECT_NO_THROW((void)planIntent(World.Agreed, ApplyDeclaration{Declared}));
  expectNoViolations(World);
}

// Guards against a repair that waits for a spare that is dead too: the spare is
// queried before it is used.
TEST(GroupExecutor, RepairAsksTheSpareFirst) {
  Fleet World(makeDeclaration(2, 4, signageModel(3, 1)), 3, 2);
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, LongTimeout));
  const auto [Id, Current] = *World.Agreed.Groups.begin();
  World.Engines.at(Current.Spec.Members[1]).Unreachable = true;
  World.Engines.at(hostIn(East, 0, 3)).Unreachable = true;
  const TimePoint Broken = World.Clock;
  World.breakGroup(Id, Current.Spec.Members[1]);
  ASSERT_TRUE(
      World.runUntil([&] { return World.serving() == 1; }, LongTimeout));
  EXPECT_LE(World.Clock - Broken, seconds(30));
  expectNoViolations(World);
}

// A group has requests in progress when it is to stop. It is removed from the
// routes, and its engines are ordered to leave only after the requests have
// ended.
TEST(GroupExecutor, PlannedStopWaitsForRequestsInProgress) {
  Fleet World(makeDeclaration(1, 2, signageModel(2, 1)), 2, 2);
  ASSERT_TRUE(World.runUntil([&] { return !World.plansRun(); }, LongTimeout));
  FakeEngine &Leader = World.Engines.at(hostIn(East, 0, 0));
  const Offset Plan = World.applyIntent(SetCapacity{Signage, East, 0});
  World.run(World.Times.StopSettle);
  EXPECT_EQ(Leader.Current.Phase, EnginePhase::Ready);
  Leader.Current.Running = 3;
  World.run(std::chrono::minutes(5));
  EXPECT_EQ(Leader.Current.Phase, EnginePhase::Ready);
  EXPECT_EQ(World.Agreed.Plans.at(Plan).Phase, PlanPhase::Running);
  Leader.Current.Running = 0;
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, seconds(30)));
  EXPECT_TRUE(World.Agreed.OccupiedHosts.empty());
  expectNoViolations(World);
}

// Two operators change the capacity of one model at the same time. The first
// plan in the log wins, the second one never runs, and nothing is formed twice.
TEST(GroupExecutor, RacingOperatorsGetOnePlan) {
  Fleet World(makeDeclaration(2, 4, signageModel(2, 1)), 3, 2);
  ASSERT_TRUE(World.runUntil([&] { return !World.plansRun(); }, LongTimeout));
  const Plan First = planIntent(World.Agreed, SetCapacity{Signage, East, 2});
  const Plan Second = planIntent(World.Agreed, SetCapacity{Signage, East, 3});
  const Offset FirstOffset = World.Log.size();
  World.operatorAppends(PlanProposed{First, "anna"});
  World.operatorAppends(PlanProposed{Second, "jan"});
  World.operatorAppends(PlanConfirmed{FirstOffset, "anna"});
  World.operatorAppends(PlanConfirmed{FirstOffset + 1, "jan"});
  EXPECT_NE(World.Agreed.Plans.at(FirstOffset + 1).Phase, PlanPhase::Running);
  EXPECT_TRUE(World.runUntil([&] { return World.allServe(2); }, LongTimeout));
  expectNoViolations(World);
}

// One host of a large plan cannot load. Its group is abandoned; the other
// groups of the plan come to serve, and the missing one is formed on other
// hosts.
TEST(GroupExecutor, OneBadHostDoesNotStopTheOthers) {
  GroupTimes Times;
  Times.FormTimeout = seconds(60);
  Fleet World(makeDeclaration(3, 3, signageModel(2, 3)), 3, 2, Times);
  const HostName Bad = hostIn(East, 0, 0);
  World.Engines.at(Bad).LoadTime = std::chrono::hours(10);
  EXPECT_TRUE(
      World.runUntil([&] { return World.serving() == 2; }, seconds(40)));
  EXPECT_TRUE(World.runUntil(
      [&] { return World.allServe(3) && !World.plansRun(); }, LongTimeout));
  EXPECT_FALSE(World.Agreed.OccupiedHosts.contains(Bad));
  expectNoViolations(World);
}

TEST(GroupExecutor, AdaptersAreSwappedOnAllMembers) {
  Fleet World(makeDeclaration(1, 2, signageModel(2, 1)), 3, 2);
  ASSERT_TRUE(World.runUntil([&] { return !World.plansRun(); }, LongTimeout));
  const std::vector<AdapterName> Adapters = {AdapterName("tirol")};
  World.LoseOneIn = 3;
  World.applyIntent(SetAdapters{Signage, Adapters});
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, LongTimeout));
  EXPECT_EQ(World.Agreed.Groups.begin()->second.Spec.Adapters, Adapters);
  EXPECT_EQ(World.Engines.at(hostIn(East, 0, 1)).Current.Adapters, Adapters);
  expectNoViolations(World);
}

/// Injects one random fault or intent.
void injectFault(Fleet &World, Random &Generator) {
  const auto AnyNode = [&]() -> Fleet::Node & {
    return *World.Nodes[Generator.below(World.Nodes.size())];
  };
  const auto AnyHost = [&] {
    return hostIn(East, static_cast<int>(Generator.below(3)),
                  static_cast<int>(Generator.below(5)));
  };
  switch (Generator.below(9)) {
  case 0:
    AnyNode().PausedUntil = World.Clock + seconds(Generator.below(60));
    break;
  case 1:
    AnyNode().OrderDelay = seconds(Generator.below(25));
    AnyNode().SlowOrders = Generator.below(2) == 0;
    break;
  case 2:
    World.Engines.at(AnyHost()).restart();
    break;
  case 3:
    World.Engines.at(AnyHost()).Unreachable = true;
    break;
  case 4:
    World.LogDown = Generator.below(2) == 0;
    break;
  case 5:
    World.LoseOneIn = Generator.below(2) == 0 ? 4 : 0;
    break;
  case 6: {
    const auto First = World.Agreed.Groups.begin();
    if (First != World.Agreed.Groups.end())
      World.breakGroup(First->first, First->second.Spec.Members.front());
    break;
  }
  case 7:
    World.applyIntent(SetVersion{
        Signage, VersionName(Generator.below(2) == 0 ? "v1" : "v2")});
    break;
  default:
    World.applyIntent(SetCapacity{
        Signage, East, static_cast<std::uint32_t>(1 + Generator.below(4))});
    break;
  }
}

/// Ends all faults.
void endFaults(Fleet &World) {
  World.LogDown = false;
  World.LoseOneIn = 0;
  for (auto &[Host, Engine] : World.Engines)
    Engine.Unreachable = false;
  for (const auto &Node : World.Nodes) {
    Node->PausedUntil = World.Clock;
    Node->OrderDelay = Duration::zero();
    Node->SlowOrders = false;
  }
}

// Faults and intents occur in any order, and half of the engines ignore fences.
// No host ever serves two groups, and once the faults have ended, only the
// hosts of serving groups are occupied, and as many groups serve as are
// declared.
TEST(GroupExecutor, NoHostInTwoGroupsUnderAnyInterleaving) {
  for (std::uint64_t Seed = 1; Seed <= 25; ++Seed) {
    SCOPED_TRACE(Seed);
    Declaration Declared = makeDeclaration(3, 5, signageModel(2, 3));
    for (std::size_t Index = 0; Index < Declared.Hosts.size(); Index += 2)
      Declared.Hosts[Index].RefusesOldFences = false;
    Fleet World(Declared, 4, Seed);
    Random Generator(Seed);
    for (auto &[Host, Engine] : World.Engines)
      Engine.LoadTime = seconds(1 + Generator.below(10));
    for (int Times = 0; Times < 25; ++Times) {
      World.run(milliseconds(Generator.below(15000)));
      injectFault(World, Generator);
    }
    endFaults(World);
    World.runUntil(
        [&] {
          const std::size_t DeclaredCount =
              World.Agreed.Declared.Models[0].Groups.at(East);
          return !World.plansRun() && World.serving() >= DeclaredCount &&
                 World.serving() == World.Agreed.Groups.size();
        },
        std::chrono::minutes(40));
    EXPECT_FALSE(World.plansRun());
    EXPECT_GE(World.serving(), World.Agreed.Declared.Models[0].Groups.at(East));
    EXPECT_EQ(World.serving(), World.Agreed.Groups.size());
    expectNoViolations(World);
  }
}

} // namespace
} // namespace coltsfoottrail
