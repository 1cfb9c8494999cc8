#include "coltsfoottrail/assembly/assembler.hpp"

#include "coltsfoottrail/assembly/groupname.hpp"
#include "engines.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

constexpr Duration SettlingTime = seconds(2);

TEST(Assembler, FormsGroupsOfBothModelsBeforeTheFirstCaller) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 9);
  Fleet.addDomain("south", "s0", 9);
  Fleet.run(SettlingTime);
  std::map<ModelName, int> Open;
  for (const EndpointName &Leader : Fleet.leaders())
    ++Open[Fleet.Records.at(Leader).Loaded.back()];
  EXPECT_EQ(Open[ModelName("big")], 2);
  EXPECT_EQ(Open[ModelName("small")], 3);
  EXPECT_EQ(Fleet.OpenedPartial, 0);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

TEST(Assembler, KeepsAGroupInsideOneDomain) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 5);
  Fleet.addDomain("north", "n1", 5);
  Fleet.run(SettlingTime);
  for (const EndpointName &Leader : Fleet.leaders())
    for (const EndpointName &Member : Fleet.membersOf(Leader))
      EXPECT_EQ(Fleet.Records.at(Member).Domain,
                Fleet.Records.at(Leader).Domain);
  EXPECT_EQ(Fleet.leaders().size(), 2U);
}

// Guards against streams that stall until a group is complete again. A member
// dies: the leader is closed at once, and the survivors and a spare with the
// same weights form a group without a load.
TEST(Assembler, ReplacesALostMemberWithoutALoad) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 9);
  Fleet.run(SettlingTime);
  Fleet.TrafficStarted = true;
  const std::size_t Before = Fleet.leaders().size();
  const EndpointName Leader = Fleet.leaders().front();
  EndpointName Lost;
  for (const EndpointName &Member : Fleet.membersOf(Leader))
    if (Member != Leader)
      Lost = Member;
  Fleet.removeEngine(Lost);
  Fleet.run(SettlingTime);
  EXPECT_EQ(Fleet.leaders().size(), Before);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.OpenedPartial, 0);
}

// Guards against requests that wait two seconds for a group that lost a member,
// where half a second would do. The spare that replaces the member has the
// weights on its host but never had the model, so it would load it from there
// while the other members are idle. It does so beforehand, in a group of its
// own.
TEST(Assembler, SparesHoldTheirModelReady) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 9);
  Fleet.run(SettlingTime);
  Fleet.TrafficStarted = true;
  std::vector<EndpointName> Spares;
  for (const auto &[Name, Record] : Fleet.Records)
    if (!Record.Seat || isStandby(*Record.Seat))
      Spares.push_back(Name);
  ASSERT_FALSE(Spares.empty());
  for (const EndpointName &Endpoint : Spares) {
    EXPECT_EQ(Fleet.Records.at(Endpoint).Loaded,
              Fleet.Records.at(Endpoint).Staged);
    EXPECT_FALSE(Fleet.Records.at(Endpoint).isServingLeader());
  }
  EndpointName Lost;
  for (const EndpointName &Leader : Fleet.leaders())
    for (const EndpointName &Member : Fleet.membersOf(Leader))
      if (Member != Leader && Fleet.Records.at(Member).Loaded ==
                                  Fleet.Records.at(Spares.front()).Loaded)
        Lost = Member;
  ASSERT_FALSE(Lost.empty());
  Fleet.removeEngine(Lost);
  Fleet.run(SettlingTime);
  EXPECT_FALSE(isStandby(*Fleet.Records.at(Spares.front()).Seat));
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.OpenedPartial, 0);
}

// Guards against an engine that serves two groups at once. A coordinator's term
// ends and begins again under one fencing number; if groups were counted from
// one again, a new group would get the epoch of one that serves, and the end of
// either would free the members of both.
TEST(Assembler, UsesNoEpochTwiceUnderOneFencingNumber) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 5);
  Fleet.run(SettlingTime);
  std::set<GroupEpoch> Before;
  for (const auto &[Name, Record] : Fleet.Records)
    if (Record.Seat)
      Before.insert(Record.Seat->Epoch);
  Fleet.GroupAssembler.begin(Fleet.Now);
  Fleet.addDomain("south", "s0", 5);
  Fleet.run(SettlingTime);
  for (const auto &[Name, Record] : Fleet.Records) {
    if (Record.Seat && Record.DataCentre == DataCentreName("south")) {
      EXPECT_FALSE(Before.contains(Record.Seat->Epoch));
    }
  }
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Guards against an engine that serves two groups at once. A group is ordered
// to open, and before its record shows that it serves, a member is lost. The
// record still says "ready", as if the leader were closed, and its engines
// would be given to another group while it is opening.
TEST(Assembler, TakesNoMemberOfAGroupThatIsOpening) {
  FakeEngines Fleet;
  Fleet.Slow = true;
  Fleet.addDomain("north", "n0", 5);
  Fleet.run(SettlingTime);
  Fleet.finishAll();
  Fleet.step();
  ASSERT_EQ(Fleet.Opening.size(), 1U);
  Fleet.TrafficStarted = true;
  const EndpointName Leader = *Fleet.Opening.begin();
  for (const EndpointName &Member : Fleet.membersOf(Leader))
    if (Member != Leader) {
      Fleet.removeEngine(Member);
      break;
    }
  Fleet.run(SettlingTime);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.OpenedPartial, 0);
}

// Guards against members that sit in two groups. The leader's record lapses
// while the leader is only cut off from the store and still serves. Its members
// get no other seat before they have left this one, and are not idle for longer
// than that takes.
TEST(Assembler, MembersLeaveALeaderThatMayOnlyBeCutOff) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 5);
  Fleet.run(SettlingTime);
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.TrafficStarted = true;
  const EndpointName Leader = Fleet.leaders().front();
  Fleet.Catalogue.remove(Leader, Fleet.Now);
  Fleet.CutOffFromStore.insert(Leader);
  Fleet.run(SettlingTime);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.leaders().size(), 2U);
}

// As above, while a member does not answer its order to leave.
TEST(Assembler, MemberThatHasNotLeftGetsNoOtherSeat) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 4);
  Fleet.run(SettlingTime);
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.TrafficStarted = true;
  const EndpointName Leader = Fleet.leaders().front();
  Fleet.Catalogue.remove(Leader, Fleet.Now);
  Fleet.CutOffFromStore.insert(Leader);
  Fleet.IgnoringOrders.insert(Fleet.membersOf(Leader).back());
  Fleet.run(seconds(12));
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.leaders().size(), 1U);
}

// Guards against an engine that serves two groups at once. A coordinator orders
// joins and freezes before the answers come. An older group that its successor
// finds ready and opens shares an engine with them, and the joins are carried
// out seconds late because of their higher epoch.
TEST(Assembler, SuccessorFormsWhatItFindsUnopenedAnew) {
  FakeEngines Fleet;
  Fleet.Slow = true;
  Fleet.addDomain("north", "n0", 5);
  Fleet.run(SettlingTime);
  Fleet.TrafficStarted = true;
  const std::vector<EndpointName> Members =
      Fleet.membersOf(EndpointName("n0-0"));
  for (const EndpointName &Endpoint : Members)
    Fleet.finishLoad(Endpoint);
  const JoinSeat Late{"late", Fleet.Records.at(Members[0]).Seat->Epoch + 3,
                      ModelName("big"), Members};
  Fleet.GroupAssembler = Assembler(AssemblyTimes{});
  Fleet.GroupAssembler.begin(Fleet.Now);
  Fleet.Fence = 2;
  Fleet.Slow = false;
  Fleet.run(seconds(4));
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  EXPECT_FALSE(Fleet.acceptsJoin(Members.back(), Late));
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Guards against an outage of ten seconds. A third of the engines is cut off
// from the store, their records lapse at once, and by the records nearly every
// group has lost a member, although all of them serve. Groups whose leaders are
// known are left alone.
TEST(Assembler, GroupServesOnWhileAMissingMemberAnswers) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 9);
  Fleet.run(SettlingTime);
  Fleet.TrafficStarted = true;
  const std::vector<EndpointName> Before = Fleet.leaders();
  std::vector<EndpointName> Missing;
  for (const EndpointName &Leader : Before)
    Missing.push_back(Fleet.membersOf(Leader).back());
  for (const EndpointName &Endpoint : Missing) {
    Fleet.Catalogue.remove(Endpoint, Fleet.Now);
    Fleet.CutOffFromStore.insert(Endpoint);
  }
  Fleet.run(seconds(10));
  EXPECT_EQ(Fleet.leaders(), Before);
  const auto EpochOf = [&](const EndpointName &Leader) {
    return Fleet.Records.at(Leader).Seat->Epoch;
  };
  const GroupEpoch Was = EpochOf(Before.front());
  Fleet.Records.erase(Missing.front());
  Fleet.run(seconds(2));
  EXPECT_NE(EpochOf(Before.front()), Was)
      << "once it no longer answers, its group is formed anew";
}

// Guards against engines that serve two groups at once after a data centre was
// cut off. The records of the whole data centre lapse while its engines go on
// serving. When the records are back, the leaders still serve their groups, and
// their members must not be reassigned.
TEST(Assembler, GroupsBehindACutAreStillTheirsAfterIt) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 8);
  Fleet.run(SettlingTime);
  Fleet.TrafficStarted = true;
  const std::vector<EndpointName> Before = Fleet.leaders();
  for (const auto &[Name, Record] : Fleet.Records)
    Fleet.Catalogue.remove(Name, Fleet.Now);
  Fleet.run(seconds(20));
  std::vector<EndpointName> Names;
  for (const auto &[Name, Record] : Fleet.Records)
    Names.push_back(Name);
  for (const EndpointName &Name : Names) {
    Fleet.publish(Name);
    Fleet.run(milliseconds(100));
  }
  Fleet.run(SettlingTime);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.leaders(), Before);
}

// Guards against groups that stall after a crash of the coordinator until it is
// back. A successor knows nothing but the records: it takes the groups over,
// leaves sound ones alone and repairs the one that has lost a member.
TEST(Assembler, SuccessorTakesSoundGroupsOverUntouched) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 9);
  Fleet.run(SettlingTime);
  Fleet.TrafficStarted = true;
  const std::vector<EndpointName> Before = Fleet.leaders();
  Fleet.GroupAssembler = Assembler(AssemblyTimes{});
  Fleet.GroupAssembler.begin(Fleet.Now);
  Fleet.Fence = 2;
  Fleet.run(SettlingTime);
  EXPECT_EQ(Fleet.leaders(), Before);
  Fleet.removeEngine(Fleet.membersOf(Before.front()).back());
  Fleet.run(seconds(10));
  EXPECT_EQ(Fleet.leaders().size(), Before.size());
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Guards against a coordinator that sends thousands of orders in one step when
// a large fleet starts, loses its lease over them, and is followed by another
// that starts from the beginning.
TEST(Assembler, BoundsTheOrdersOfOneStep) {
  FakeEngines Fleet;
  for (int Domain = 0; Domain < 20; ++Domain)
    Fleet.addDomain("north", "d" + std::to_string(Domain), 9);
  Fleet.MaxOrders = 24;
  std::size_t Most = 0;
  for (int Step = 0; Step < 40; ++Step) {
    Most = std::max(Most, Fleet.step().size());
    Fleet.Now += milliseconds(100);
  }
  EXPECT_LE(Most, 24U + 3U);
  Fleet.finishAll();
  Fleet.run(SettlingTime);
  std::size_t Seated = 0;
  for (const EndpointName &Leader : Fleet.leaders())
    Seated += Fleet.membersOf(Leader).size();
  EXPECT_GE(Seated, 20U * 7U) << "a domain of nine leaves two at the most";
}

// Guards against groups formed, after an outage of the store, of engines that
// were lost or restarted during it.
TEST(Assembler, UsesEnginesOnlyOnceTheyPublishedAfterAnOutage) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 4);
  Fleet.run(SettlingTime);
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.TrafficStarted = true;
  Fleet.addDomain("north", "n1", 4);
  const std::vector<EndpointName> Idle = Fleet.endpointsIn("n1");
  for (const EndpointName &Endpoint : Idle)
    Fleet.setWeights(Endpoint, ModelName("big"));
  Fleet.failStore(seconds(8));
  Fleet.restoreStore();
  EXPECT_TRUE(Fleet.step().empty());
  Fleet.Now += milliseconds(300);
  for (const EndpointName &Endpoint : Idle)
    Fleet.publish(Endpoint);
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.leaders().size(), 2U);
}

// Guards against groups that are dissolved after an outage of the store because
// their time to become ready ran out while nobody could see that they were.
TEST(Assembler, GroupsThatBecameReadyDuringAnOutageAreOpened) {
  FakeEngines Fleet;
  Fleet.Slow = true;
  Fleet.addDomain("north", "n0", 4);
  Fleet.run(SettlingTime);
  Fleet.TrafficStarted = true;
  const GroupEpoch Epoch = Fleet.epochOf(EndpointName("n0-0"));
  Fleet.failStore(seconds(60));
  Fleet.finishAll();
  Fleet.restoreStore();
  Fleet.run(milliseconds(500));
  Fleet.publishAll();
  Fleet.Slow = false;
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.epochOf(EndpointName("n0-0")), Epoch);
  EXPECT_EQ(Fleet.leaders().size(), 1U);
}

// Guards against requests that pile up at a drained data centre: groups are
// formed only of engines elsewhere.
TEST(Assembler, FormsNothingInADrainedDataCentre) {
  FakeEngines Fleet;
  Fleet.Drained.insert(DataCentreName("north"));
  Fleet.addDomain("north", "n0", 9);
  Fleet.addDomain("south", "s0", 9);
  Fleet.run(SettlingTime);
  for (const EndpointName &Leader : Fleet.leaders())
    EXPECT_EQ(Fleet.Records.at(Leader).DataCentre, DataCentreName("south"));
  EXPECT_FALSE(Fleet.leaders().empty());
}

// Guards against idle engines of which no group is ever formed. An engine that
// is ordered to load weights still has a seat of a group that has ended; its
// load must not count as done before the weights are there.
TEST(Assembler, OrdersALoadOnce) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 7);
  Fleet.run(SettlingTime);
  Fleet.TrafficStarted = true;
  Fleet.add("n0-late", "north", "n0");
  int Loads = 0;
  for (int Step = 0; Step < 20; ++Step) {
    for (const SeatCommand &Command : Fleet.step())
      Loads += std::holds_alternative<StageModel>(Command.Order) ? 1 : 0;
    Fleet.Now += milliseconds(100);
  }
  EXPECT_EQ(Loads, 1);
}

} // namespace

} // namespace coltsfoottrail::test
