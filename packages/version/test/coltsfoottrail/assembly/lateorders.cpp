// Tests of the assembler with orders that are lost or carried out late, and
// with records that are old.
#include "coltsfoottrail/assembly/assembler.hpp"

#include "domain.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

/// Plays an outage in which all records lapse. A successor takes over with the
/// records that it had read some time before.
void takeOverAfterAnOutage(FakeEngines &Fleet, const EndpointCatalogue &Known) {
  Fleet.failStore(seconds(6));
  Fleet.Catalogue = Known;
  Fleet.restoreStore();
  Fleet.Catalogue.retain({}, Fleet.Now);
  Fleet.replaceCoordinator();
}

/// Publishes the records of all engines but one.
void publishAllBut(FakeEngines &Fleet, const EndpointName &Late) {
  for (const auto &[Name, Record] : Fleet.Records)
    if (Name != Late)
      Fleet.publish(Name);
}

/// Returns a member of the only group that serves, other than its leader.
EndpointName someMember(const FakeEngines &Fleet) {
  return Fleet.membersOf(Fleet.leaders().front()).back();
}

// Guards against a late order to open that makes a closed group serve again.
TEST(LateOrders, OpenOvertakenByItsRepetitionAndAClose) {
  FakeEngines Fleet;
  int Opens = 0;
  Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
    if (std::holds_alternative<OpenSeat>(Command.Order) && ++Opens == 1)
      return {false, seconds(6)};
    return {};
  };
  addLargeDomain(Fleet, 4);
  Fleet.run(seconds(3));
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.TrafficStarted = true;
  Fleet.removeEngine(someMember(Fleet));
  Fleet.run(seconds(6));
  EXPECT_EQ(Fleet.leaders().size(), 0U) << "a member is missing";
  addSpare(Fleet, "n0-late");
  Fleet.run(SettlingTime);
  EXPECT_EQ(Fleet.leaders().size(), 1U);
  EXPECT_EQ(Fleet.OpenedPartial, 0);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Guards against the same with an order of the predecessor.
TEST(LateOrders, OpenOfAPredecessorAfterTheCloseOfItsSuccessor) {
  FakeEngines Fleet;
  int Opens = 0;
  Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
    if (std::holds_alternative<OpenSeat>(Command.Order) && ++Opens == 1)
      return {false, seconds(6)};
    return {};
  };
  addLargeDomain(Fleet, 4);
  Fleet.run(seconds(3));
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.TrafficStarted = true;
  Fleet.replaceCoordinator();
  Fleet.removeEngine(someMember(Fleet));
  Fleet.run(seconds(6));
  addSpare(Fleet, "n0-late");
  Fleet.run(SettlingTime);
  EXPECT_EQ(Fleet.leaders().size(), 1U);
  EXPECT_EQ(Fleet.OpenedPartial, 0);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Guards against taking the members of a leader that is late after an outage.
TEST(LateOrders, SuccessorKeepsARecordOfALeaderFromBeforeItsGroup) {
  FakeEngines Fleet;
  addLargeDomain(Fleet, 5);
  const EndpointCatalogue Before = Fleet.Catalogue;
  Fleet.run(SettlingTime);
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  const std::vector<EndpointName> Leaders = Fleet.leaders();
  Fleet.TrafficStarted = true;
  takeOverAfterAnOutage(Fleet, Before);
  publishAllBut(Fleet, Leaders.front());
  Fleet.run(seconds(1));
  Fleet.publish(Leaders.front());
  Fleet.run(SettlingTime);
  EXPECT_EQ(Fleet.leaders(), Leaders) << "the group is sound";
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Guards against the same with a record that shows the leader joining.
TEST(LateOrders, SuccessorKeepsARecordOfALeaderFromBeforeItOpened) {
  FakeEngines Fleet;
  Fleet.Slow = true;
  addLargeDomain(Fleet, 6);
  Fleet.run(SettlingTime);
  const EndpointCatalogue Before = Fleet.Catalogue;
  Fleet.Slow = false;
  Fleet.run(SettlingTime);
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  const std::vector<EndpointName> Leaders = Fleet.leaders();
  Fleet.TrafficStarted = true;
  const EndpointName Lost = someMember(Fleet);
  takeOverAfterAnOutage(Fleet, Before);
  Fleet.restart(Lost);
  publishAllBut(Fleet, Leaders.front());
  Fleet.run(seconds(1));
  Fleet.publish(Leaders.front());
  Fleet.run(seconds(4));
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
  EXPECT_EQ(Fleet.OpenedPartial, 0);
}

// Guards against closing a group whose members are late after an outage.
TEST(LateOrders, SuccessorReadsALeaderBeforeItsMembers) {
  for (const bool KeepsOldRecords : {false, true}) {
    FakeEngines Fleet;
    addLargeDomain(Fleet, 4);
    const EndpointCatalogue Before =
        KeepsOldRecords ? Fleet.Catalogue : EndpointCatalogue{};
    Fleet.run(SettlingTime);
    ASSERT_EQ(Fleet.leaders().size(), 1U);
    const EndpointName Leader = Fleet.leaders().front();
    const GroupEpoch Epoch = Fleet.epochOf(Leader);
    Fleet.TrafficStarted = true;
    takeOverAfterAnOutage(Fleet, Before);
    Fleet.publish(Leader);
    int Closes = 0;
    Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
      Closes += std::holds_alternative<CloseSeat>(Command.Order) ? 1 : 0;
      return {};
    };
    Fleet.run(seconds(1));
    Fleet.publishAll();
    Fleet.run(SettlingTime);
    EXPECT_EQ(Closes, 0) << "old records kept: " << KeepsOldRecords;
    EXPECT_EQ(Fleet.epochOf(Leader), Epoch);
  }
}

// Guards against late orders that seat and open a leader that has left.
TEST(LateOrders, JoinAndOpenOfALeaderThatHasLeft) {
  FakeEngines Fleet;
  int Joins = 0;
  int Opens = 0;
  Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
    if (isGroupJoin(Command) && Command.To == EndpointName("n0-0") &&
        ++Joins == 1)
      return {false, seconds(6)};
    if (std::holds_alternative<OpenSeat>(Command.Order) && ++Opens == 1)
      return {false, seconds(6)};
    return {};
  };
  addLargeDomain(Fleet, 4);
  while (Opens == 0)
    Fleet.run(milliseconds(100));
  Fleet.TrafficStarted = true;
  Fleet.removeEngine(EndpointName("n0-3"));
  Fleet.run(seconds(8));
  addSpare(Fleet, "n0-late");
  Fleet.run(SettlingTime);
  EXPECT_EQ(Fleet.leaders().size(), 1U);
  EXPECT_EQ(Fleet.OpenedPartial, 0);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Guards against a late join that seats a member that has left.
TEST(LateOrders, JoinOfAMemberThatHasLeft) {
  FakeEngines Fleet;
  int Joins = 0;
  Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
    if (isGroupJoin(Command) && Command.To == EndpointName("n0-1")) {
      ++Joins;
      if (Joins == 1)
        return {false, milliseconds(5500)};
      if (Joins == 3)
        return {false, seconds(2)};
    }
    return {};
  };
  addLargeDomain(Fleet, 4);
  Fleet.run(seconds(4));
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.TrafficStarted = true;
  const EndpointName Leader = Fleet.leaders().front();
  ASSERT_NE(Leader, EndpointName("n0-1"));
  Fleet.cutOff(Leader);
  Fleet.run(seconds(1));
  addSpare(Fleet, "n0-late");
  Fleet.run(LatestOrder + SettlingTime);
  EXPECT_GE(Joins, 3);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Guards against a spare that is never used because its join was lost.
TEST(LateOrders, SpareWhoseJoinWasLostIsUsed) {
  FakeEngines Fleet;
  addLargeDomain(Fleet, 4);
  Fleet.run(SettlingTime);
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.TrafficStarted = true;
  Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
    return Command.To == EndpointName("n0-spare")
               ? OrderFate{false, std::nullopt}
               : OrderFate{};
  };
  addSpare(Fleet, "n0-spare");
  Fleet.run(SettlingTime);
  Fleet.FateOf = nullptr;
  Fleet.run(LatestOrder);
  Fleet.removeEngine(someMember(Fleet));
  Fleet.run(seconds(4));
  EXPECT_EQ(Fleet.leaders().size(), 1U);
}

// Guards against the same for a member of a group that was given up.
TEST(LateOrders, MemberWhoseJoinWasLostIsUsedWhenItsGroupIsGivenUp) {
  FakeEngines Fleet;
  Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
    return Command.To == EndpointName("n0-3") ? OrderFate{false, std::nullopt}
                                              : OrderFate{};
  };
  addLargeDomain(Fleet, 4);
  Fleet.run(SettlingTime);
  Fleet.TrafficStarted = true;
  ASSERT_EQ(Fleet.leaders().size(), 0U);
  Fleet.removeEngine(EndpointName("n0-0"));
  Fleet.FateOf = nullptr;
  Fleet.run(seconds(1));
  addSpare(Fleet, "n0-spare");
  Fleet.setWeights(EndpointName("n0-3"), ModelName("big"));
  Fleet.run(LatestOrder);
  EXPECT_EQ(Fleet.leaders().size(), 1U);
}

// Guards against excluding an engine for a late join that it would refuse.
TEST(LateOrders, UnansweredJoinOfAnEarlierGroupExcludesNobody) {
  for (const bool IsAnswered : {true, false}) {
    FakeEngines Fleet;
    int Joins = 0;
    Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
      if (isGroupJoin(Command) && Command.To == EndpointName("n0-1") &&
          ++Joins == 1)
        return {IsAnswered, Duration{0}};
      return {};
    };
    addLargeDomain(Fleet, 4);
    Fleet.run(seconds(2));
    ASSERT_EQ(Fleet.leaders().size(), 1U);
    Fleet.TrafficStarted = true;
    const GroupEpoch First = Fleet.epochOf(EndpointName("n0-1"));
    Fleet.removeEngine(EndpointName("n0-3"));
    addSpare(Fleet, "n0-spare");
    Fleet.run(seconds(2));
    ASSERT_EQ(Fleet.leaders().size(), 1U);
    ASSERT_GT(Fleet.epochOf(EndpointName("n0-1")), First);
    const EndpointName Leader = Fleet.leaders().front();
    ASSERT_NE(Leader, EndpointName("n0-1"));
    Fleet.cutOff(Leader);
    addSpare(Fleet, "n0-late");
    Fleet.run(seconds(4));
    const auto Leaders = Fleet.leaders();
    EXPECT_TRUE(std::any_of(Leaders.begin(), Leaders.end(),
                            [&](const auto &Name) { return Name != Leader; }))
        << "answered: " << IsAnswered;
  }
}

// Guards against taking an order of another service for one of this group.
TEST(LateOrders, OutcomeOfAnOpenOfAnotherService) {
  for (const bool SharesEpoch : {false, true}) {
    FakeEngines Fleet;
    addLargeDomain(Fleet, 4);
    Fleet.run(seconds(3));
    ASSERT_EQ(Fleet.leaders().size(), 1U);
    Fleet.TrafficStarted = true;
    int Leaves = 0;
    Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
      Leaves += std::holds_alternative<LeaveSeat>(Command.Order) ? 1 : 0;
      return {};
    };
    const GroupEpoch Epoch = Fleet.epochOf(Fleet.leaders().front());
    Fleet.GroupAssembler.recordOutcome(
        EndpointName("engine-of-another-service"),
        OpenSeat{"group-of-another-service", Epoch + (SharesEpoch ? 0 : 1)},
        OrderOutcome::Unknown, Fleet.Now);
    Fleet.removeEngine(someMember(Fleet));
    Fleet.run(SettlingTime);
    EXPECT_EQ(Leaves, 0) << "same epoch: " << SharesEpoch;
  }
}

// Guards against opening a group with a member that restarted in an outage.
TEST(LateOrders, MemberWhoseRecordOfBeforeAnOutageShowsItReady) {
  for (const bool Lapses : {true, false}) {
    FakeEngines Fleet;
    Fleet.Slow = true;
    addLargeDomain(Fleet, 4);
    Fleet.run(seconds(2));
    const EndpointName Early("n0-3");
    ASSERT_TRUE(Fleet.Records.at(Early).Seat);
    Fleet.finishLoad(Early);
    Fleet.run(milliseconds(500));
    Fleet.TrafficStarted = true;
    Fleet.failStore(seconds(3));
    Fleet.finishAll();
    Fleet.restart(Early);
    Fleet.restoreStore();
    if (Lapses)
      Fleet.Catalogue.retain({}, Fleet.Now);
    Fleet.run(milliseconds(100));
    for (const EndpointName &Name : Fleet.endpointsIn("n0"))
      if (Name != Early)
        Fleet.publish(Name);
    Fleet.run(milliseconds(500));
    Fleet.publish(Early);
    Fleet.Slow = false;
    Fleet.run(SettlingTime);
    EXPECT_EQ(Fleet.OpenedPartial, 0) << "records lapse: " << Lapses;
  }
}

// Guards against opening a group whose leader may yet take another seat.
TEST(LateOrders, SeatOfItsOwnOfALeaderThatIsSeatedAgain) {
  for (int Late = 4'000; Late <= 8'000; Late += 100) {
    FakeEngines Fleet;
    int Joins = 0;
    int Opens = 0;
    Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
      const bool IsJoin = std::holds_alternative<JoinSeat>(Command.Order);
      if (isGroupJoin(Command) && Command.To == EndpointName("n0-0") &&
          ++Joins == 1)
        return {false, milliseconds(Late)};
      if (IsJoin && !isGroupJoin(Command))
        return {false, seconds(6)};
      if (std::holds_alternative<OpenSeat>(Command.Order) && ++Opens == 1)
        return {false, std::nullopt};
      return {};
    };
    addLargeDomain(Fleet, 4);
    while (Opens == 0)
      Fleet.run(milliseconds(100));
    Fleet.TrafficStarted = true;
    Fleet.cutOff(EndpointName("n0-3"));
    Fleet.run(seconds(2));
    Fleet.reconnect(EndpointName("n0-3"));
    Fleet.run(LatestOrder);
    EXPECT_EQ(Fleet.JoinedWhileOpen, 0) << "join late by ms: " << Late;
  }
}

// Guards against opening a group whose leader may yet be told to leave.
TEST(LateOrders, LeaveOfALeaderThatIsOpenedAfterAll) {
  FakeEngines Fleet;
  int Opens = 0;
  int Leaves = 0;
  Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
    if (std::holds_alternative<OpenSeat>(Command.Order) && ++Opens == 1)
      return {false, std::nullopt};
    if (std::holds_alternative<LeaveSeat>(Command.Order) && ++Leaves == 1)
      return {false, seconds(5)};
    return {};
  };
  addLargeDomain(Fleet, 4);
  while (Opens == 0)
    Fleet.run(milliseconds(100));
  Fleet.TrafficStarted = true;
  Fleet.cutOff(EndpointName("n0-3"));
  Fleet.run(milliseconds(300));
  ASSERT_EQ(Leaves, 1);
  Fleet.reconnect(EndpointName("n0-3"));
  bool Served = false;
  int Ends = 0;
  for (int Steps = 0; Steps < 100; ++Steps) {
    Fleet.run(milliseconds(100));
    const bool Serves = !Fleet.leaders().empty();
    Ends += Served && !Serves ? 1 : 0;
    Served = Serves;
  }
  EXPECT_TRUE(Served);
  EXPECT_EQ(Ends, 0);
}

// Guards against forgetting late joins when the same host begins a new term.
TEST(LateOrders, JoinOfATermBeforeOfTheSameHost) {
  FakeEngines Fleet;
  int Joins = 0;
  Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
    if (isGroupJoin(Command) && Command.To == EndpointName("n0-1")) {
      ++Joins;
      if (Joins == 1)
        return {false, milliseconds(5500)};
      if (Joins == 3)
        return {false, seconds(2)};
    }
    return {};
  };
  addLargeDomain(Fleet, 4);
  Fleet.run(seconds(4));
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.TrafficStarted = true;
  const EndpointName Leader = Fleet.leaders().front();
  ASSERT_NE(Leader, EndpointName("n0-1"));
  Fleet.GroupAssembler.begin(Fleet.Now);
  Fleet.cutOff(Leader);
  Fleet.run(seconds(1));
  addSpare(Fleet, "n0-late");
  Fleet.run(LatestOrder + SettlingTime);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Guards against a late join of another group that is carried out when late
// orders have made its engine serve the group again that it has left.
TEST(LateOrders, NextJoinOfALeaderThatServesAgain) {
  for (int Late = 4'000; Late <= 8'000; Late += 100) {
    FakeEngines Fleet;
    int Joins = 0;
    int Opens = 0;
    int NextJoins = 0;
    Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
      const bool IsJoin = std::holds_alternative<JoinSeat>(Command.Order);
      if (isGroupJoin(Command) && Command.To == EndpointName("n0-0") &&
          ++Joins == 1)
        return {false, seconds(6)};
      if (std::holds_alternative<OpenSeat>(Command.Order) && ++Opens == 1)
        return {false, seconds(6)};
      if (IsJoin && !isGroupJoin(Command) && ++NextJoins == 1)
        return {false, milliseconds(Late)};
      return {};
    };
    addLargeDomain(Fleet, 4);
    while (Opens < 2)
      Fleet.run(milliseconds(100));
    Fleet.TrafficStarted = true;
    Fleet.removeEngine(EndpointName("n0-3"));
    Fleet.run(LatestOrder);
    EXPECT_EQ(Fleet.JoinedWhileOpen, 0) << "next join late by ms: " << Late;
  }
}

// Guards against using an engine that has left a group, and that a late join
// may seat there again, before it has reported that it has no seat.
TEST(LateOrders, MemberThatHasLeftIsUsedOnceItReportsThatItHasNoSeat) {
  FakeEngines Fleet;
  int Joins = 0;
  Fleet.FateOf = [&](const SeatCommand &Command) -> OrderFate {
    if (isGroupJoin(Command) && Command.To == EndpointName("n0-1") &&
        ++Joins == 1)
      return {false, seconds(11)};
    return {};
  };
  addLargeDomain(Fleet, 4);
  Fleet.run(seconds(4));
  ASSERT_EQ(Fleet.leaders().size(), 1U);
  Fleet.TrafficStarted = true;
  const EndpointName Leader = Fleet.leaders().front();
  ASSERT_NE(Leader, EndpointName("n0-1"));
  bool Answers = false;
  Fleet.AnswersStatusRead = [&](const EndpointName &) { return Answers; };
  Fleet.cutOff(Leader);
  addSpare(Fleet, "n0-late");
  Fleet.run(seconds(3));
  EXPECT_FALSE(Fleet.Records.at(EndpointName("n0-1")).Seat);
  Answers = true;
  Fleet.run(SettlingTime);
  EXPECT_TRUE(Fleet.Records.at(EndpointName("n0-1")).Seat);
  Fleet.run(LatestOrder);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

} // namespace

} // namespace coltsfoottrail::test
