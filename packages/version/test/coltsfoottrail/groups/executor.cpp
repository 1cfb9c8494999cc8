#include "coltsfoottrail/groups/executor.hpp"

#include "coltsfoottrail/groups/fleet.hpp"
#include "coltsfoottrail/intents/states.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr Duration Long = std::chrono::minutes(10);
const VersionName NextVersion("v2");

Declaration declare(int Domains, int HostsEach, ModelSpec Model) {
  Declaration Declared = declareHosts(Domains, HostsEach);
  Declared.Models.push_back(std::move(Model));
  return Declared;
}

void expectSound(const Fleet &World) {
  for (const std::string &Text : World.Violations)
    ADD_FAILURE() << Text;
  if (testing::Test::HasFailure())
    for (const std::string &Text : World.Refused)
      std::cerr << Text << '\n';
}

TEST(GroupExecutor, DeclaredGroupsComeToServe) {
  Fleet World(declare(2, 4, signageModel(2, 3, 1)), 3, 1);
  World.run(seconds(3));
  EXPECT_LE(World.loadingGroups(), 4U);
  EXPECT_TRUE(World.runUntil([&] { return World.allServe(4); }, Long));
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, Long));
  expectSound(World);
}

TEST(GroupExecutor, LoadsAtOnceKeepToTheWeightStoreOverAllPlans) {
  Declaration Declared = declare(4, 4, signageModel(1, 6));
  Declared.WeightLoadsAtOnce = 2;
  Fleet World(Declared, 3, 1);
  World.ask(SetCapacity{Signage, West, 6});
  EXPECT_TRUE(World.runUntil([&] { return World.allServe(12); }, Long));
  expectSound(World);
}

class ExecutorDies : public testing::TestWithParam<int> {};

// A version rolls, and the entry host that carries it out dies or is paused at
// some moment between any two of its steps. Operators see the plan go on under
// another host and end, and capacity never falls.
TEST_P(ExecutorDies, AnotherCarriesThePlanOn) {
  for (const bool Pause : {false, true}) {
    Fleet World(declare(1, 6, signageModel(2, 2)), 3, 7);
    ASSERT_TRUE(World.runUntil([&] { return !World.plansRun(); }, Long));
    const Offset Plan = World.ask(SetVersion{Signage, NextVersion});
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
        Long));
    World.run(seconds(100));
    EXPECT_TRUE(World.allServe(2));
    for (const auto &[Id, Known] : World.Agreed.Groups)
      EXPECT_EQ(Known.Spec.Version, NextVersion);
    EXPECT_EQ(World.Agreed.Plans.at(Plan).Phase, PlanPhase::Done);
    expectSound(World);
  }
}

INSTANTIATE_TEST_SUITE_P(AtManyMoments, ExecutorDies, testing::Range(0, 32, 2));

// The executor is paused with its lease in hand, another takes over, and the
// first one wakes. Whatever it decides must not be carried out: its lease has
// lapsed by its own clock.
TEST(GroupExecutor, WokenExecutorActsNoMore) {
  Fleet World(declare(1, 4, signageModel(2, 1)), 2, 3);
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
  for (const GroupCommand &What : Woken.Commands)
    EXPECT_FALSE(std::holds_alternative<OrderEngine>(What)) << Lease;
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, Long));
  expectSound(World);
}

// The answers to a third of all orders, questions and appends are lost after
// they took effect. Asking tells what became of them.
TEST(GroupExecutor, LostAnswersAreResolvedByAsking) {
  Fleet World(declare(2, 4, signageModel(2, 2)), 3, 11);
  World.LoseOneIn = 3;
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, Long));
  const Offset Plan = World.ask(SetVersion{Signage, NextVersion});
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, Long));
  EXPECT_EQ(World.Agreed.Plans.at(Plan).Phase, PlanPhase::Done);
  EXPECT_TRUE(World.allServe(2));
  expectSound(World);
}

// An engine restarts under its address while its group forms: it answers, but
// has forgotten the group. It is ordered in again, and the group is confirmed
// with the run that is there now.
TEST(GroupExecutor, EngineThatRestartsWhileFormingIsOrderedInAgain) {
  Fleet World(declare(1, 2, signageModel(2, 1)), 2, 5);
  World.run(seconds(8));
  const HostName Host = hostIn(East, 0, 1);
  ASSERT_EQ(World.Engines.at(Host).Now.Phase, EnginePhase::Loading);
  World.Engines.at(Host).restart();
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, Long));
  EXPECT_EQ(World.Agreed.Groups.begin()->second.MemberRuns[1], 2U);
  expectSound(World);
}

// An executor decides to order engines into a group and stops before the orders
// leave. The group is given up, another one forms on its hosts and answers, and
// the orders arrive: the engines ignore fencing numbers and go back to the
// first group while callers are sent to the second one. The hosts must not be
// free before such an order can no longer come.
TEST(GroupExecutor, LateOrderFindsNoNewGroupOnEnginesWithoutFences) {
  Declaration Declared = declare(1, 2, signageModel(2, 1));
  for (HostSpec &Host : Declared.Hosts)
    Host.RefusesOldFences = false;
  Fleet World(Declared, 4, 5);
  for (auto &[Host, Engine] : World.Engines)
    Engine.LoadTime = seconds(1);
  for (const auto &Node : World.Nodes)
    Node->OrderDelay = seconds(18);
  World.run(seconds(2));
  const auto [Id, Known] = *World.Agreed.Groups.begin();
  World.executorOf(Id.Plan)->Alive = false;
  for (const auto &Node : World.Nodes)
    Node->OrderDelay = Duration::zero();
  const TimePoint Broken = World.Clock;
  World.breakGroup(Id, hostIn(East, 0, 1));
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, Long));
  EXPECT_GE(World.Clock - Broken, World.Times.LeaseLength);
  World.run(seconds(30));
  EXPECT_TRUE(World.allServe(1));
  expectSound(World);
}

// The same with engines that refuse old fences: the host is free as soon as its
// engine has obeyed, and the late order is refused.
TEST(GroupExecutor, HostOfAnEngineWithFencesIsFreeAtOnce) {
  Fleet World(declare(1, 2, signageModel(2, 1)), 2, 5);
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, Long));
  const auto [Id, Known] = *World.Agreed.Groups.begin();
  const HostName Host = hostIn(East, 0, 0);
  const Offset OldLease = World.Engines.at(Host).Now.Fence;
  const TimePoint Broken = World.Clock;
  World.breakGroup(Id, hostIn(East, 0, 1));
  ASSERT_TRUE(World.runUntil(
      [&] { return !World.Agreed.OccupiedHosts.contains(Host); }, Long));
  EXPECT_LE(World.Clock - Broken, seconds(5));
  JoinGroup Late;
  Late.Group = Id;
  EXPECT_EQ(
      World.Engines.at(Host).obey(EngineOrder{OldLease, Late}, World.Clock),
      OrderResult::RefusedOldFence);
  expectSound(World);
}

// A fabric domain goes dark while groups form on it. They are given up, formed
// again in the other domain, and the host that survived is free again; when the
// domain is back, nothing of it stays occupied.
TEST(GroupExecutor, DarkDomainWhileFormingStrandsNothing) {
  Fleet World(declare(2, 4, signageModel(2, 2)), 3, 9);
  World.run(seconds(4));
  const std::vector<HostName> Dark = {hostIn(East, 0, 0), hostIn(East, 0, 1),
                                      hostIn(East, 0, 2)};
  for (const HostName &Host : Dark)
    World.Engines.at(Host).Dark = true;
  ASSERT_TRUE(World.runUntil(
      [&] { return World.serving() == 2 && !World.plansRun(); }, Long));
  for (const auto &[Host, Group] : World.Agreed.OccupiedHosts) {
    const bool Serves =
        World.Agreed.Groups.at(Group).Phase == GroupPhase::Serving;
    EXPECT_TRUE(Serves || World.Engines.at(Host).Dark) << Host.Text;
  }
  for (const HostName &Host : Dark)
    World.Engines.at(Host).Dark = false;
  EXPECT_TRUE(World.runUntil([&] { return World.allServe(2); }, Long));
  EXPECT_EQ(World.Agreed.OccupiedHosts.size(), 4U);
  expectSound(World);
}

// One member of a group dies. The group comes back with its survivors and one
// spare of their domain: one host moves.
TEST(GroupExecutor, RepairMovesOneHost) {
  Fleet World(declare(2, 4, signageModel(3, 1)), 3, 2);
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, Long));
  const auto [Id, Known] = *World.Agreed.Groups.begin();
  const HostName Lost = Known.Spec.Members[1];
  World.Engines.at(Lost).Dark = true;
  World.breakGroup(Id, Lost);
  ASSERT_TRUE(World.runUntil([&] { return World.serving() == 1; }, Long));
  std::size_t Kept = 0;
  for (const HostName &Member : Known.Spec.Members) {
    const auto Now = World.Agreed.OccupiedHosts.find(Member);
    Kept +=
        Now != World.Agreed.OccupiedHosts.end() && Now->second != Id ? 1 : 0;
  }
  EXPECT_EQ(Kept, 2U);
  expectSound(World);
}

// The same seen from the member's death: its watchers miss it, no entry host
// sends to the group any more, it is declared broken and comes back.
TEST(GroupExecutor, DeadMemberIsSeenAndItsGroupComesBack) {
  Fleet World(declare(2, 4, signageModel(3, 1)), 4, 2);
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, Long));
  World.run(seconds(5));
  const GroupId Id = World.Agreed.Groups.begin()->first;
  for (const auto &Node : World.Nodes)
    EXPECT_TRUE(Node->Agent->mayRoute(Id, World.Clock));
  World.Engines.at(hostIn(East, 0, 2)).Dark = true;
  World.run(World.WatchBy.stopBound());
  for (const auto &Node : World.Nodes)
    EXPECT_FALSE(Node->Agent->mayRoute(Id, World.Clock));
  ASSERT_TRUE(
      World.runUntil([&] { return World.serving() == 1; }, seconds(60)));
  const GroupId Next = World.Agreed.OccupiedHosts.at(hostIn(East, 0, 0));
  EXPECT_NE(Next, Id);
  World.run(seconds(4));
  for (const auto &Node : World.Nodes)
    EXPECT_TRUE(Node->Agent->mayRoute(Next, World.Clock));
  expectSound(World);
}

// A host of a broken group is dark, and its operator drops it from the
// declaration. It is still asked at its old address, and once it answers and
// has left its group it is free to be declared again.
TEST(GroupExecutor, DroppedHostOfABrokenGroupIsReleasedWhenItAnswers) {
  const Declaration Declared = declare(1, 4, signageModel(2, 1));
  Fleet World(Declared, 3, 2);
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, Long));
  const GroupId Id = World.Agreed.Groups.begin()->first;
  const HostName Lost = hostIn(East, 0, 1);
  World.Engines.at(Lost).Dark = true;
  World.breakGroup(Id, Lost);
  ASSERT_TRUE(World.runUntil([&] { return World.serving() == 1; }, Long));
  World.run(seconds(10));
  Declaration Without = Declared;
  std::erase_if(Without.Hosts,
                [&](const HostSpec &Host) { return Host.Name == Lost; });
  World.ask(ApplyDeclaration{Without});
  ASSERT_TRUE(World.Agreed.DepartedHosts.contains(Lost));
  EXPECT_THROW((void)planIntent(World.Agreed, ApplyDeclaration{Declared}),
               PlanError);
  World.run(seconds(60));
  EXPECT_TRUE(World.Agreed.OccupiedHosts.contains(Lost));
  World.Engines.at(Lost).Dark = false;
  EXPECT_TRUE(World.runUntil([&] { return World.allServe(1); }, Long));
  EXPECT_FALSE(World.Engines.at(Lost).Now.Group);
  EXPECT_NO_THROW((void)planIntent(World.Agreed, ApplyDeclaration{Declared}));
  expectSound(World);
}

// The spare that a repair would use is dead too. It is asked before, so the
// repair doesn't wait for it.
TEST(GroupExecutor, RepairAsksTheSpareFirst) {
  Fleet World(declare(2, 4, signageModel(3, 1)), 3, 2);
  ASSERT_TRUE(World.runUntil([&] { return World.allServe(1); }, Long));
  const auto [Id, Known] = *World.Agreed.Groups.begin();
  World.Engines.at(Known.Spec.Members[1]).Dark = true;
  World.Engines.at(hostIn(East, 0, 3)).Dark = true;
  const TimePoint Broken = World.Clock;
  World.breakGroup(Id, Known.Spec.Members[1]);
  ASSERT_TRUE(World.runUntil([&] { return World.serving() == 1; }, Long));
  EXPECT_LE(World.Clock - Broken, seconds(30));
  expectSound(World);
}

// A group has requests in progress when it is to stop. It leaves the routes,
// and its engines are told to leave only after the work has ended.
TEST(GroupExecutor, PlannedStopWaitsForRequestsInProgress) {
  Fleet World(declare(1, 2, signageModel(2, 1)), 2, 2);
  ASSERT_TRUE(World.runUntil([&] { return !World.plansRun(); }, Long));
  FakeEngine &Leader = World.Engines.at(hostIn(East, 0, 0));
  const Offset Plan = World.ask(SetCapacity{Signage, East, 0});
  World.run(World.Times.StopSettle);
  EXPECT_EQ(Leader.Now.Phase, EnginePhase::Ready);
  Leader.Now.Running = 3;
  World.run(std::chrono::minutes(5));
  EXPECT_EQ(Leader.Now.Phase, EnginePhase::Ready);
  EXPECT_EQ(World.Agreed.Plans.at(Plan).Phase, PlanPhase::Running);
  Leader.Now.Running = 0;
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, seconds(30)));
  EXPECT_TRUE(World.Agreed.OccupiedHosts.empty());
  expectSound(World);
}

// Two operators change the capacity of one model at once. The first one in the
// log wins, the second one's plan never runs, and nothing is formed twice.
TEST(GroupExecutor, RacingOperatorsGetOnePlan) {
  Fleet World(declare(2, 4, signageModel(2, 1)), 3, 2);
  ASSERT_TRUE(World.runUntil([&] { return !World.plansRun(); }, Long));
  const Plan First = planIntent(World.Agreed, SetCapacity{Signage, East, 2});
  const Plan Second = planIntent(World.Agreed, SetCapacity{Signage, East, 3});
  const Offset At = World.Log.size();
  World.operatorAppends(PlanProposed{First, "anna"});
  World.operatorAppends(PlanProposed{Second, "jan"});
  World.operatorAppends(PlanConfirmed{At, "anna"});
  World.operatorAppends(PlanConfirmed{At + 1, "jan"});
  EXPECT_NE(World.Agreed.Plans.at(At + 1).Phase, PlanPhase::Running);
  EXPECT_TRUE(World.runUntil([&] { return World.allServe(2); }, Long));
  expectSound(World);
}

// One host of a large plan can't load. Its group is given up; the others of the
// plan come to serve, and the missing one is formed on other hosts.
TEST(GroupExecutor, OneBadHostDoesNotStopTheOthers) {
  GroupTimes Times;
  Times.FormPatience = seconds(60);
  Fleet World(declare(3, 3, signageModel(2, 3)), 3, 2, Times);
  const HostName Bad = hostIn(East, 0, 0);
  World.Engines.at(Bad).LoadTime = std::chrono::hours(10);
  EXPECT_TRUE(
      World.runUntil([&] { return World.serving() == 2; }, seconds(40)));
  EXPECT_TRUE(World.runUntil(
      [&] { return World.allServe(3) && !World.plansRun(); }, Long));
  EXPECT_FALSE(World.Agreed.OccupiedHosts.contains(Bad));
  expectSound(World);
}

TEST(GroupExecutor, AdaptersAreSwappedOnAllMembers) {
  Fleet World(declare(1, 2, signageModel(2, 1)), 3, 2);
  ASSERT_TRUE(World.runUntil([&] { return !World.plansRun(); }, Long));
  const std::vector<AdapterName> Adapters = {AdapterName("tirol")};
  World.LoseOneIn = 3;
  World.ask(SetAdapters{Signage, Adapters});
  EXPECT_TRUE(World.runUntil([&] { return !World.plansRun(); }, Long));
  EXPECT_EQ(World.Agreed.Groups.begin()->second.Spec.Adapters, Adapters);
  EXPECT_EQ(World.Engines.at(hostIn(East, 0, 1)).Now.Adapters, Adapters);
  expectSound(World);
}

/// Draws one fault or intent and lets it happen.
void disturb(Fleet &World, Random &Draw) {
  const auto AnyNode = [&]() -> Fleet::Node & {
    return *World.Nodes[Draw.below(World.Nodes.size())];
  };
  const auto AnyHost = [&] {
    return hostIn(East, static_cast<int>(Draw.below(3)),
                  static_cast<int>(Draw.below(5)));
  };
  switch (Draw.below(9)) {
  case 0:
    AnyNode().PausedUntil = World.Clock + seconds(Draw.below(60));
    break;
  case 1:
    AnyNode().OrderDelay = seconds(Draw.below(25));
    AnyNode().SlowOrders = Draw.below(2) == 0;
    break;
  case 2:
    World.Engines.at(AnyHost()).restart();
    break;
  case 3:
    World.Engines.at(AnyHost()).Dark = true;
    break;
  case 4:
    World.LogDown = Draw.below(2) == 0;
    break;
  case 5:
    World.LoseOneIn = Draw.below(2) == 0 ? 4 : 0;
    break;
  case 6: {
    const auto Some = World.Agreed.Groups.begin();
    if (Some != World.Agreed.Groups.end())
      World.breakGroup(Some->first, Some->second.Spec.Members.front());
    break;
  }
  case 7:
    World.ask(
        SetVersion{Signage, VersionName(Draw.below(2) == 0 ? "v1" : "v2")});
    break;
  default:
    World.ask(SetCapacity{Signage, East,
                          static_cast<std::uint32_t>(1 + Draw.below(4))});
    break;
  }
}

/// Lets all faults end.
void heal(Fleet &World) {
  World.LogDown = false;
  World.LoseOneIn = 0;
  for (auto &[Host, Engine] : World.Engines)
    Engine.Dark = false;
  for (const auto &Node : World.Nodes) {
    Node->PausedUntil = World.Clock;
    Node->OrderDelay = Duration::zero();
    Node->SlowOrders = false;
  }
}

// Faults and intents in any order, with half of the engines ignoring fences: no
// host ever serves two groups, and once the faults are over nothing is left
// occupied but what serves, and as many groups serve as are declared.
TEST(GroupExecutor, NoHostInTwoGroupsUnderAnyInterleaving) {
  for (std::uint64_t Seed = 1; Seed <= 25; ++Seed) {
    SCOPED_TRACE(Seed);
    Declaration Declared = declare(3, 5, signageModel(2, 3));
    for (std::size_t Index = 0; Index < Declared.Hosts.size(); Index += 2)
      Declared.Hosts[Index].RefusesOldFences = false;
    Fleet World(Declared, 4, Seed);
    Random Draw(Seed);
    for (auto &[Host, Engine] : World.Engines)
      Engine.LoadTime = seconds(1 + Draw.below(10));
    for (int Times = 0; Times < 25; ++Times) {
      World.run(milliseconds(Draw.below(15000)));
      disturb(World, Draw);
    }
    heal(World);
    World.runUntil(
        [&] {
          const std::size_t Wanted =
              World.Agreed.Declared.Models[0].Groups.at(East);
          return !World.plansRun() && World.serving() >= Wanted &&
                 World.serving() == World.Agreed.Groups.size();
        },
        std::chrono::minutes(40));
    EXPECT_FALSE(World.plansRun());
    EXPECT_GE(World.serving(), World.Agreed.Declared.Models[0].Groups.at(East));
    EXPECT_EQ(World.serving(), World.Agreed.Groups.size());
    expectSound(World);
  }
}

} // namespace
} // namespace coltsfoottrail
