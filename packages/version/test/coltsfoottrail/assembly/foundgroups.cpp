// Tests of groups that a coordinator finds, or has given up, while orders that
// it did not give may still be carried out.
#include "coltsfoottrail/assembly/assembler.hpp"

#include "domain.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::test {

namespace {

/// A group of four engines that a predecessor has formed and ordered to open.
class FoundGroups : public testing::Test {
protected:
  FoundGroups() {
    Fleet.FateOf = [this](const SeatCommand &Command) { return fate(Command); };
    addLargeDomain(Fleet, 4);
  }

  /// Runs until the group is ordered to open, and replaces the coordinator.
  void takeOver() {
    while (Opens == 0)
      Fleet.run(milliseconds(100));
    Fleet.TrafficStarted = true;
    Fleet.replaceCoordinator();
  }

  /// Adds the engine that another group needs, and lets it form.
  void completeAnother() {
    addSpare(Fleet, "n0-late");
    Fleet.run(SettlingTime);
  }

  void expectNoEngineWasTaken() {
    EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
    EXPECT_EQ(Fleet.OpenedPartial, 0);
  }

  /// Whether the leader is open, or opens.
  [[nodiscard]] bool serves() const {
    return Fleet.Opening.contains(Leader) ||
           Fleet.Records.at(Leader).isServingLeader();
  }

  FakeEngines Fleet;
  EndpointName Leader{"n0-0"};
  /// When the first copies of the leader's join and of the order to open are
  /// carried out.
  Duration LateJoin = seconds(6);
  Duration LateOpen = milliseconds(5'500);
  /// What becomes of joins of standby groups, of the first or of all.
  OrderFate StandbyFate;
  bool IsFirstStandbyOnly = false;
  bool LosesLeaves = false;
  bool LosesCloses = false;
  int Opens = 0;

private:
  OrderFate fate(const SeatCommand &Command) {
    if (isGroupJoin(Command) && Command.To == Leader && ++Joins == 1)
      return {false, LateJoin};
    if (isStandbyJoin(Command) && (++Standbys == 1 || !IsFirstStandbyOnly))
      return StandbyFate;
    if (std::holds_alternative<OpenSeat>(Command.Order) && ++Opens == 1)
      return {false, LateOpen};
    const bool IsLost =
        (LosesLeaves && std::holds_alternative<LeaveSeat>(Command.Order)) ||
        (LosesCloses && std::holds_alternative<CloseSeat>(Command.Order));
    return IsLost ? OrderFate{false, std::nullopt} : OrderFate{};
  }

  int Joins = 0;
  int Standbys = 0;
};

// Guards against giving a group up whose leader is joining again, because a
// member is lost, while an order to open it may still arrive.
TEST_F(FoundGroups, LateOpenFindsALeaderThatIsSeatedAgain) {
  StandbyFate = {false, seconds(11)};
  IsFirstStandbyOnly = true;
  takeOver();
  Fleet.removeEngine(EndpointName("n0-3"));
  Fleet.run(seconds(7));
  completeAnother();
  EXPECT_EQ(Fleet.leaders().size(), 1U);
  expectNoEngineWasTaken();
}

// Guards against the same because a member is not ready in time.
TEST_F(FoundGroups, LateOpenAfterTheTimeLimitOfJoins) {
  Fleet.Service.Engine->Models[0].LoadTime = seconds(2);
  LateJoin = seconds(3);
  LateOpen = seconds(10);
  bool Answers = false;
  Fleet.AnswersStatusRead = [&](const EndpointName &) { return Answers; };
  takeOver();
  Fleet.run(seconds(1));
  Fleet.Slow = true;
  Fleet.run(seconds(4));
  Fleet.Slow = false;
  Fleet.run(seconds(6));
  completeAnother();
  Answers = true;
  Fleet.run(SettlingTime);
  EXPECT_EQ(Fleet.leaders().size(), 1U);
  expectNoEngineWasTaken();
}

// Guards against an order to take another seat, which is not carried out, that
// counts for more than the record of a leader that serves.
TEST_F(FoundGroups, LeaderServesBesideAnOrderToTakeAnotherSeat) {
  StandbyFate = {false, std::nullopt};
  LateJoin = milliseconds(11'900);
  LateOpen = LatestOrder;
  bool Answers = false;
  Fleet.AnswersStatusRead = [&](const EndpointName &) { return Answers; };
  takeOver();
  Fleet.run(seconds(10));
  Answers = LosesLeaves = LosesCloses = true;
  Fleet.run(milliseconds(400));
  Fleet.CutOffFromStore.insert(Leader);
  Fleet.run(milliseconds(1'700));
  Fleet.reconnect(Leader);
  Fleet.run(seconds(1));
  ASSERT_TRUE(serves());
  completeAnother();
  EXPECT_TRUE(serves());
  expectNoEngineWasTaken();
}

// Guards against a group that is whole and counts as lost because of an order
// to its leader that is refused whenever it arrives.
TEST_F(FoundGroups, RefusedOrderIsNoSeat) {
  StandbyFate = {false, std::nullopt};
  LateJoin = seconds(6);
  takeOver();
  Fleet.run(seconds(6));
  EXPECT_EQ(Fleet.Fates[GroupFate::Lost], 0);
  StandbyFate = {};
  Fleet.run(seconds(6));
  EXPECT_EQ(Fleet.leaders().size(), 1U);
  expectNoEngineWasTaken();
}

// Guards against a record from before a late order to open, of a leader that no
// longer reaches the store, that is taken for the state after it.
TEST_F(FoundGroups, LateOpenIsNotInTheRecordOfALeaderThatIsCutOff) {
  LateJoin = Duration{0};
  LateOpen = milliseconds(11'900);
  while (Opens < 2)
    Fleet.run(milliseconds(100));
  Fleet.run(milliseconds(200));
  ASSERT_TRUE(serves());
  Fleet.TrafficStarted = true;
  LosesLeaves = true;
  Fleet.removeEngine(EndpointName("n0-3"));
  Fleet.run(seconds(9));
  ASSERT_FALSE(serves());
  Fleet.CutOffFromStore.insert(Leader);
  Fleet.run(seconds(2));
  ASSERT_TRUE(serves());
  completeAnother();
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

// Guards against using the engines of a group that was given up and serves by
// an order that this coordinator does not know of.
TEST_F(FoundGroups, GroupThatWasGivenUpServes) {
  Fleet.FateOf = nullptr;
  Fleet.run(seconds(3));
  ASSERT_TRUE(serves());
  Fleet.TrafficStarted = true;
  const EndpointRecord &Record = Fleet.Records.at(Leader);
  const GroupSeat Seat = *Record.Seat;
  Fleet.removeEngine(EndpointName("n0-3"));
  Fleet.run(SettlingTime);
  ASSERT_EQ(Fleet.Fates[GroupFate::Retired], 1);
  Fleet.InFlight.emplace(
      Fleet.Now,
      SeatCommand{Leader, Record.Address, OpenSeat{Seat.Group, Seat.Epoch}});
  Fleet.run(milliseconds(100));
  ASSERT_TRUE(serves());
  completeAnother();
  EXPECT_EQ(Fleet.leaders().size(), 1U);
  EXPECT_EQ(Fleet.JoinedWhileOpen, 0);
}

} // namespace

} // namespace coltsfoottrail::test
