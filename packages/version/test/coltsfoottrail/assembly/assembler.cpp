#include "coltsfoottrail/assembly/assembler.hpp"

#include "coltsfoottrail/assembly/groupname.hpp"
#include "engines.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

constexpr Duration LongEnough = seconds(2);

TEST(Assembler, FormsGroupsOfBothModelsBeforeTheFirstCaller) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 9);
  Fleet.addDomain("south", "s0", 9);
  Fleet.run(LongEnough);
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
  Fleet.run(LongEnough);
  for (const EndpointName &Leader : Fleet.leaders())
    for (const EndpointName &Member : Fleet.membersOf(Leader))
      EXPECT_EQ(Fleet.Records.at(Member).Domain,
                Fleet.Records.at(Leader).Domain);
  EXPECT_EQ(Fleet.leaders().size(), 2U);
}

// Callers see streams stand still until the group is whole again.
// A member dies; the leader is closed at once, and the survivors and a spare
// with the same weights form a group without a load.
TEST(Assembler, ReplacesALostMemberWithoutALoad) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 9);
  Fleet.run(LongEnough);
  Fleet.CallersBegun = true;
  const std::size_t Before = Fleet.leaders().size();
  const EndpointName Leader = Fleet.leaders().front();
  EndpointName Lost;
  for (const EndpointName &Member : Fleet.membersOf(Leader))
    if (Member != Leader)
      Lost = Member;
  Fleet.lose(Lost);
  Fleet.run(LongEnough);
  EXPECT_EQ(Fleet.leaders().size(), Before);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.OpenedPartial, 0);
}

// Callers wait two seconds for a group that lost a member, and half a second
// would do.
// The spare that replaces the member has the weights on its host but never had
// the model, and loads it from there while the others idle. It does so
// beforehand, in a group of its own.
TEST(Assembler, SparesHoldTheirModelReady) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 9);
  Fleet.run(LongEnough);
  Fleet.CallersBegun = true;
  std::vector<EndpointName> Spares;
  for (const auto &[Name, Record] : Fleet.Records)
    if (!Record.Seat || isStandby(*Record.Seat))
      Spares.push_back(Name);
  ASSERT_FALSE(Spares.empty());
  for (const EndpointName &Each : Spares) {
    EXPECT_EQ(Fleet.Records.at(Each).Loaded, Fleet.Records.at(Each).Staged);
    EXPECT_FALSE(Fleet.Records.at(Each).isServingLeader());
  }
  EndpointName Lost;
  for (const EndpointName &Leader : Fleet.leaders())
    for (const EndpointName &Member : Fleet.membersOf(Leader))
      if (Member != Leader && Fleet.Records.at(Member).Loaded ==
                                  Fleet.Records.at(Spares.front()).Loaded)
        Lost = Member;
  ASSERT_FALSE(Lost.empty());
  Fleet.lose(Lost);
  Fleet.run(LongEnough);
  EXPECT_FALSE(isStandby(*Fleet.Records.at(Spares.front()).Seat));
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.OpenedPartial, 0);
}

// An engine would serve two groups at once.
// The driver's term ends and begins again under one fencing number; counting
// groups from one again gave a new group the epoch of one that serves, whose
// end then freed the members of both.
TEST(Assembler, UsesNoEpochTwiceUnderOneFencingNumber) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 5);
  Fleet.run(LongEnough);
  std::set<GroupEpoch> Before;
  for (const auto &[Name, Record] : Fleet.Records)
    if (Record.Seat)
      Before.insert(Record.Seat->Epoch);
  Fleet.Driver.begin(Fleet.Now);
  Fleet.addDomain("south", "s0", 5);
  Fleet.run(LongEnough);
  for (const auto &[Name, Record] : Fleet.Records) {
    if (Record.Seat && Record.DataCentre == DataCentreName("south")) {
      EXPECT_FALSE(Before.contains(Record.Seat->Epoch));
    }
  }
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// An engine would serve two groups at once.
// A group is told to open; before its record shows that it serves, a member is
// lost. The record still says "ready", as if the leader were closed, and its
// engines were given to another group while it was opening.
TEST(Assembler, TakesNoMemberOfAGroupThatIsOpening) {
  FakeEngines Fleet;
  Fleet.Slow = true;
  Fleet.addDomain("north", "n0", 5);
  Fleet.run(LongEnough);
  Fleet.finishAll();
  Fleet.look();
  ASSERT_EQ(Fleet.Opening.size(), 1U);
  Fleet.CallersBegun = true;
  const EndpointName Leader = *Fleet.Opening.begin();
  for (const EndpointName &Member : Fleet.membersOf(Leader))
    if (Member != Leader) {
      Fleet.lose(Member);
      break;
    }
  Fleet.run(LongEnough);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.OpenedPartial, 0);
}

// Members would sit in two groups.
// The leader's record lapses while the leader is only cut off from the store
// and still serves. Its members get no other seat before they have left this
// one, and are not idle for longer than that takes.
TEST(Assembler, MembersLeaveALeaderThatMayOnlyBeCutOff) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 5);
  Fleet.run(LongEnough);
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.CallersBegun = true;
  const EndpointName Leader = Fleet.leaders().front();
  Fleet.Catalogue.remove(Leader, Fleet.Now);
  Fleet.Unheard.insert(Leader);
  Fleet.run(LongEnough);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.leaders().size(), 2U);
}

// The same, while a member does not answer its order to leave.
TEST(Assembler, MemberThatHasNotLeftGetsNoOtherSeat) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 4);
  Fleet.run(LongEnough);
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.CallersBegun = true;
  const EndpointName Leader = Fleet.leaders().front();
  Fleet.Catalogue.remove(Leader, Fleet.Now);
  Fleet.Unheard.insert(Leader);
  Fleet.Deaf.insert(Fleet.membersOf(Leader).back());
  Fleet.run(seconds(12));
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.leaders().size(), 1U);
}

// An engine would serve two groups at once.
// A driver orders joins and freezes before the answers; an older group that its
// successor finds ready and opens shares an engine with them, and the joins are
// carried out seconds late, by their higher epoch.
TEST(Assembler, SuccessorFormsWhatItFindsUnopenedAnew) {
  FakeEngines Fleet;
  Fleet.Slow = true;
  Fleet.addDomain("north", "n0", 5);
  Fleet.run(LongEnough);
  Fleet.CallersBegun = true;
  const std::vector<EndpointName> Members =
      Fleet.membersOf(EndpointName("n0-0"));
  for (const EndpointName &Each : Members)
    Fleet.ready(Each);
  const JoinSeat Late{"late", Fleet.Records.at(Members[0]).Seat->Epoch + 3,
                      ModelName("big"), Members};
  Fleet.Driver = Assembler(AssemblyTimes{});
  Fleet.Driver.begin(Fleet.Now);
  Fleet.Fence = 2;
  Fleet.Slow = false;
  Fleet.run(seconds(4));
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  EXPECT_FALSE(Fleet.takes(Members.back(), Late));
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Callers are served by nobody for ten seconds.
// A third of the engines is cut off from the store, their records lapse at
// once, and by the records nearly every group has lost a member; all of them
// serve. Groups whose leaders are known are left alone.
TEST(Assembler, GroupServesOnWhileAMissingMemberAnswers) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 9);
  Fleet.run(LongEnough);
  Fleet.CallersBegun = true;
  const std::vector<EndpointName> Before = Fleet.leaders();
  std::vector<EndpointName> Missing;
  for (const EndpointName &Leader : Before)
    Missing.push_back(Fleet.membersOf(Leader).back());
  for (const EndpointName &Each : Missing) {
    Fleet.Catalogue.remove(Each, Fleet.Now);
    Fleet.Unheard.insert(Each);
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

// Engines would serve two groups at once after a data centre was cut off.
// The records of a whole data centre lapse while its engines go on serving
// behind the cut; when they are back, leaders still serve the groups that they
// had, and their members must not be given away.
TEST(Assembler, GroupsBehindACutAreStillTheirsAfterIt) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 8);
  Fleet.run(LongEnough);
  Fleet.CallersBegun = true;
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
  Fleet.run(LongEnough);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.leaders(), Before);
}

// After a crash of the driver, groups would stand still until it is back.
// A successor knows nothing but the records; it takes the groups over, leaves
// sound ones alone and repairs the one that has lost a member.
TEST(Assembler, SuccessorTakesSoundGroupsOverUntouched) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 9);
  Fleet.run(LongEnough);
  Fleet.CallersBegun = true;
  const std::vector<EndpointName> Before = Fleet.leaders();
  Fleet.Driver = Assembler(AssemblyTimes{});
  Fleet.Driver.begin(Fleet.Now);
  Fleet.Fence = 2;
  Fleet.run(LongEnough);
  EXPECT_EQ(Fleet.leaders(), Before);
  Fleet.lose(Fleet.membersOf(Before.front()).back());
  Fleet.run(seconds(10));
  EXPECT_EQ(Fleet.leaders().size(), Before.size());
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Guards against a coordinator that gives thousands of orders in one step when
// a large fleet starts, loses its lease over them, and is followed by another
// that begins anew.
TEST(Assembler, BoundsTheOrdersOfOneStep) {
  FakeEngines Fleet;
  for (int Domain = 0; Domain < 20; ++Domain)
    Fleet.addDomain("north", "d" + std::to_string(Domain), 9);
  Fleet.MostOrders = 24;
  std::size_t Most = 0;
  for (int Step = 0; Step < 40; ++Step) {
    Most = std::max(Most, Fleet.look().size());
    Fleet.Now += milliseconds(100);
  }
  EXPECT_LE(Most, 24U + 3U);
  Fleet.finishAll();
  Fleet.run(LongEnough);
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
  Fleet.run(LongEnough);
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.CallersBegun = true;
  Fleet.addDomain("north", "n1", 4);
  const std::vector<EndpointName> Idle = Fleet.inDomain("n1");
  for (const EndpointName &Each : Idle)
    Fleet.giveWeights(Each, ModelName("big"));
  Fleet.storeAway(seconds(8));
  Fleet.storeReturns();
  EXPECT_TRUE(Fleet.look().empty());
  Fleet.Now += milliseconds(300);
  for (const EndpointName &Each : Idle)
    Fleet.publish(Each);
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.leaders().size(), 2U);
}

// Guards against groups that are dissolved after an outage of the store because
// their time to become ready ran out while nobody could see that they were.
TEST(Assembler, GroupsThatBecameReadyDuringAnOutageAreOpened) {
  FakeEngines Fleet;
  Fleet.Slow = true;
  Fleet.addDomain("north", "n0", 4);
  Fleet.run(LongEnough);
  Fleet.CallersBegun = true;
  const GroupEpoch Epoch = Fleet.epochOf(EndpointName("n0-0"));
  Fleet.storeAway(seconds(60));
  Fleet.finishAll();
  Fleet.storeReturns();
  Fleet.run(milliseconds(500));
  Fleet.publishAll();
  Fleet.Slow = false;
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.epochOf(EndpointName("n0-0")), Epoch);
  EXPECT_EQ(Fleet.leaders().size(), 1U);
}

// Requests pile up at a data centre that operators take out.
// Groups are formed of the engines elsewhere only.
TEST(Assembler, FormsNothingInADrainedDataCentre) {
  FakeEngines Fleet;
  Fleet.Drained.insert(DataCentreName("north"));
  Fleet.addDomain("north", "n0", 9);
  Fleet.addDomain("south", "s0", 9);
  Fleet.run(LongEnough);
  for (const EndpointName &Leader : Fleet.leaders())
    EXPECT_EQ(Fleet.Records.at(Leader).DataCentre, DataCentreName("south"));
  EXPECT_FALSE(Fleet.leaders().empty());
}

// All engines of the day's second half idle: no group is formed of them.
// An engine that is told to load weights still has a seat of a group that is
// over; its load must not count as done before its weights are there.
TEST(Assembler, OrdersALoadOnce) {
  FakeEngines Fleet;
  Fleet.addDomain("north", "n0", 7);
  Fleet.run(LongEnough);
  Fleet.CallersBegun = true;
  Fleet.add("n0-late", "north", "n0");
  int Loads = 0;
  for (int Step = 0; Step < 20; ++Step) {
    for (const SeatCommand &Each : Fleet.look())
      Loads += std::holds_alternative<StageModel>(Each.Order) ? 1 : 0;
    Fleet.Now += milliseconds(100);
  }
  EXPECT_EQ(Loads, 1);
}

} // namespace

} // namespace coltsfoottrail::test
