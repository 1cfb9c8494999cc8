#include "coltsfoottrail/assembly/outstandingjoins.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};
constexpr Duration Latest = seconds(12);

EndpointRecord engine() {
  EndpointRecord Record;
  Record.Name = EndpointName("e");
  Record.StartedAtMs = 7;
  return Record;
}

EndpointRecord seatedEngine(GroupEpoch Epoch) {
  EndpointRecord Record = engine();
  Record.Seat = GroupSeat{"g", Epoch};
  return Record;
}

TEST(OutstandingJoins, AnsweredCopyIsNotOutstanding) {
  OutstandingJoins Joins(Latest);
  Joins.sent(engine(), 5);
  EXPECT_TRUE(Joins.mayArrive(engine(), 5, Start));
  Joins.ended(engine().Name, 5, OrderOutcome::Taken, Start);
  EXPECT_FALSE(Joins.mayArrive(engine(), 5, Start));
}

// Guards against forgetting a late copy when another one was answered.
TEST(OutstandingJoins, EachCopyCounts) {
  OutstandingJoins Joins(Latest);
  Joins.sent(engine(), 5);
  Joins.sent(engine(), 5);
  Joins.ended(engine().Name, 5, OrderOutcome::Unknown, Start);
  Joins.ended(engine().Name, 5, OrderOutcome::Taken, Start);
  EXPECT_TRUE(Joins.mayArrive(engine(), 5, Start + Latest - milliseconds(1)));
  EXPECT_FALSE(Joins.mayArrive(engine(), 5, Start + Latest));
}

// Guards against forgetting a late join when a later one is not answered.
TEST(OutstandingJoins, JoinsOfSeveralGroupsAreKeptApart) {
  OutstandingJoins Joins(Latest);
  for (const GroupEpoch Epoch : {5, 6}) {
    Joins.sent(engine(), Epoch);
    Joins.ended(engine().Name, Epoch, OrderOutcome::Unknown, Start);
  }
  EXPECT_TRUE(Joins.mayArrive(engine(), 5, Start));
  EXPECT_TRUE(Joins.mayArrive(engine(), 6, Start));
}

TEST(OutstandingJoins, EngineRefusesWhatAHigherEpochOrARestartHasOvertaken) {
  OutstandingJoins Joins(Latest);
  Joins.sent(engine(), 5);
  EXPECT_TRUE(Joins.mayArrive(seatedEngine(5), 5, Start));
  EXPECT_FALSE(Joins.mayArrive(seatedEngine(6), 5, Start));
  EndpointRecord Restarted = engine();
  ++Restarted.StartedAtMs;
  EXPECT_FALSE(Joins.mayArrive(Restarted, 5, Start));
}

TEST(OutstandingJoins, OnlyEnginesWithoutSeatReturnToGroupsThatOpened) {
  OutstandingJoins Joins(Latest);
  Joins.sent(engine(), 5);
  EXPECT_FALSE(Joins.mayReturn(engine(), Start));
  Joins.groupOpened(engine().Name, 5);
  EXPECT_TRUE(Joins.mayReturn(engine(), Start));
  EXPECT_FALSE(Joins.mayReturn(seatedEngine(5), Start));
}

// Guards against waiting for ever for an outcome that belongs to a past term.
TEST(OutstandingJoins, OutcomesOfAPastTermAreNotWaitedFor) {
  OutstandingJoins Joins(Latest);
  Joins.sent(engine(), 5);
  Joins.forgetOutcomes(Start);
  Joins.expire(Start + Latest);
  EXPECT_FALSE(Joins.mayArrive(engine(), 5, Start + Latest));
}

TEST(OutstandingJoins, JoinsOfAPredecessorAreAssumedForAWhile) {
  OutstandingJoins Joins(Latest);
  Joins.assume(engine().Name, 7, 5, Start + Latest);
  EXPECT_TRUE(Joins.mayReturn(engine(), Start));
  EXPECT_FALSE(Joins.mayReturn(engine(), Start + Latest));
}

} // namespace

} // namespace coltsfoottrail
