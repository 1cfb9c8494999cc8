#include "coltsfoottrail/groups/liveness.hpp"

#include "coltsfoottrail/groups/watchers.hpp"
#include "coltsfoottrail/intents/states.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace coltsfoottrail {
namespace {

const GroupId First{10, 0};
const DataCentreName North("north");

/// Three entry hosts in each of three data centres, and two groups in the east.
State nineHosts() {
  State Agreed;
  Agreed.Next = 100;
  Agreed.Declared = declareHosts(1, 8);
  Agreed.Declared.Models.push_back(signageModel(3, 2));
  for (const DataCentreName &Where : {East, West, North})
    for (const char *Number : {"1", "2", "3"}) {
      const HostName Name(Where.Text + "-entry-" + Number);
      Agreed.EntryHosts[Name].JoinRecord =
          EntryHostJoined{Name, 7, Where, "127.0.0.1", 1, 2};
    }
  addGroup(Agreed, 10, 0, East, hostsOf(East, 0, 0, 3));
  addGroup(Agreed, 10, 1, East, hostsOf(East, 0, 3, 6));
  return Agreed;
}

TEST(GroupLiveness, WellGroupsAreUsedByAllDespiteLostMessages) {
  Watchers World(nineHosts(), 1);
  World.run(seconds(5));
  EXPECT_EQ(World.countRouters(First), 9U);
  World.LoseOneIn = 8;
  for (int Times = 0; Times < 600; ++Times) {
    World.run(milliseconds(200));
    ASSERT_EQ(World.countRouters(First), 9U) << Times;
  }
  EXPECT_TRUE(World.Breaks.empty());
}

// The engine of a member restarts under its address and answers at once, but
// its group is gone with the old run. All entry hosts stop using the group
// within about two query intervals, and it is declared broken on that one
// proof.
TEST(GroupLiveness, RestartedMemberEndsTheGroupAtOnce) {
  Watchers World(nineHosts(), 2);
  World.run(seconds(5));
  World.Engines.at(hostIn(East, 0, 1)).Run = 2;
  World.run(World.Times.AskEvery + milliseconds(200));
  EXPECT_EQ(World.countRouters(First), 0U);
  ASSERT_FALSE(World.Breaks.empty());
  EXPECT_EQ(World.Breaks[0].LostMember, hostIn(East, 0, 1));
  EXPECT_EQ(World.countRouters(GroupId{10, 1}), 9U);
}

// A member becomes unreachable. No watcher has proof, so the group is declared
// broken only when all of its watchers miss the member; no host uses it by
// then.
TEST(GroupLiveness, DarkMemberIsDeclaredWhenAllWatchersMissIt) {
  Watchers World(nineHosts(), 3);
  World.run(seconds(5));
  World.Unreachable.insert(hostIn(East, 0, 1));
  World.run(World.Times.healthyWithin() + milliseconds(1200));
  EXPECT_EQ(World.countRouters(First), 0U);
  World.run(seconds(3));
  ASSERT_FALSE(World.Breaks.empty());
  EXPECT_EQ(World.Breaks[0].LostMember, hostIn(East, 0, 1));
}

// The data centre of a group is cut off from the others, which hold most of its
// watchers. The group is healthy and serves its own side; the other side stops
// using it and must not have it declared broken.
TEST(GroupLiveness, CutOffDataCentreKeepsItsGroups) {
  Watchers World(nineHosts(), 4);
  World.run(seconds(5));
  for (const auto &Inside : World.Nodes)
    for (const auto &Outside : World.Nodes)
      if (Inside->Name.Text.starts_with("east") &&
          !Outside->Name.Text.starts_with("east"))
        World.cut(Inside->Name, Outside->Name);
  for (const auto &[Engine, Report] : World.Engines)
    for (const auto &Outside : World.Nodes)
      if (!Outside->Name.Text.starts_with("east"))
        World.cut(Outside->Name, Engine);
  World.run(seconds(60));
  EXPECT_EQ(World.countRouters(First), 3U);
  EXPECT_TRUE(World.Breaks.empty());
  World.DroppedLinks.clear();
  World.run(seconds(5));
  EXPECT_EQ(World.countRouters(First), 9U);
}

// Whatever messages are dropped or late and however clocks differ: after a
// member is gone, no entry host uses its group for longer than the specified
// bound.
TEST(GroupLiveness, NoHostUsesALostGroupPastTheBound) {
  for (std::uint64_t Seed = 0; Seed < 40; ++Seed) {
    Watchers World(nineHosts(), Seed);
    Random Generator(Seed);
    World.run(seconds(4));
    World.LoseOneIn = Generator.below(3) == 0 ? 0 : 1 + Generator.below(5);
    World.MaxDelay = milliseconds(1 + Generator.below(4000));
    for (int Times = 0; Times < 12; ++Times) {
      const HostName &Left = World.Nodes[Generator.below(9)]->Name;
      const bool Engine = Generator.below(2) == 0;
      World.DroppedLinks.insert(
          {Left, Engine ? hostIn(East, 0, 1)
                        : World.Nodes[Generator.below(9)]->Name});
    }
    World.run(milliseconds(Generator.below(6000)));
    if (Generator.below(2) == 0)
      World.Unreachable.insert(hostIn(East, 0, 2));
    else
      World.Engines.at(hostIn(East, 0, 2)).Run = 2;
    World.run(World.Times.maxUseAfterLoss() + milliseconds(50));
    for (int Times = 0; Times < 40; ++Times) {
      ASSERT_EQ(World.countRouters(First), 0U) << "seed " << Seed;
      World.run(milliseconds(250));
    }
  }
}

// A member becomes unreachable, and before its watchers have missed it, all
// entry hosts are cut off from each other. The last heartbeats that came
// through vouch for the group; they must not extend its use past the bound.
TEST(GroupLiveness, LastBeatsBeforeACutDoNotStretchTheBound) {
  for (milliseconds Between{0}; Between <= milliseconds(3000);
       Between += milliseconds(100)) {
    Watchers World(nineHosts(), 8);
    World.run(seconds(5));
    World.Unreachable.insert(hostIn(East, 0, 2));
    const TimePoint Lost = World.Clock;
    World.run(Between);
    for (const auto &Left : World.Nodes)
      for (const auto &Right : World.Nodes)
        World.cut(Left->Name, Right->Name);
    World.run(Lost + World.Times.maxUseAfterLoss() + milliseconds(50) -
              World.Clock);
    EXPECT_EQ(World.countRouters(First), 0U) << Between.count();
  }
}

// A group is stopped. Its watchers have seen that and no longer list it; one
// entry host has not seen it yet and still takes the group for serving. It must
// not read the absence of the group from the heartbeats as "healthy".
TEST(GroupLiveness, HostLeftBehindStopsUsingAGroupThatIsOver) {
  Watchers World(nineHosts(), 5);
  World.run(seconds(5));
  Watchers::Node &Behind = *World.Nodes.back();
  Behind.OldState = std::make_unique<State>(World.Agreed);
  World.Agreed.Groups[First].Phase = GroupPhase::Stopping;
  World.Agreed.LastChange = World.Agreed.Next++;
  World.Engines.at(hostIn(East, 0, 1)).Group.reset();
  World.run(World.Times.maxUseAfterLoss() + milliseconds(50));
  EXPECT_FALSE(World.mayRoute(World.Nodes.size() - 1, First));
  EXPECT_EQ(World.countRouters(GroupId{10, 1}), 8U);
  Behind.OldState.reset();
  World.run(seconds(2));
  EXPECT_EQ(World.countRouters(GroupId{10, 1}), 9U);
}

// The watcher of a group in its own data centre dies. The others keep the group
// in use, and when the membership has changed, another watcher takes its place.
TEST(GroupLiveness, DeadWatcherIsReplacedWithMembership) {
  Watchers World(nineHosts(), 6);
  World.run(seconds(5));
  const HostName Dead =
      World.Nodes[0]->Liveness.plan().watchersOf(First).front();
  EXPECT_TRUE(Dead.Text.starts_with("east"));
  for (const auto &Node : World.Nodes)
    if (Node->Name == Dead)
      Node->Alive = false;
  World.run(seconds(20));
  EXPECT_GE(World.countRouters(First), 8U);
  World.Agreed.EntryHosts.erase(Dead);
  World.Agreed.Next += 1;
  for (int Times = 0; Times < 50; ++Times) {
    World.run(milliseconds(200));
    EXPECT_GE(World.countRouters(First), 8U);
  }
  const auto &Agreed = World.Nodes[3]->Liveness.plan().watchersOf(First);
  EXPECT_EQ(std::count(Agreed.begin(), Agreed.end(), Dead), 0);
}

TEST(LivenessBeat, ReadsWhatItWrites) {
  LivenessBeat Beat;
  Beat.From = HostName("a");
  Beat.Id = {1, 2};
  Beat.Echo = {3, 4};
  Beat.PlanDigest = 5;
  Beat.StateNext = 6;
  Beat.Doubted = {First, GroupId{7, 8}};
  Beat.Silent = {First};
  Beat.Broken = {GroupId{9, 1}};
  EXPECT_EQ(readBeat(writeBeat(Beat)), Beat);
  EXPECT_THROW((void)readBeat(Json{{"from", 3}}), InputError);
}

} // namespace
} // namespace coltsfoottrail
