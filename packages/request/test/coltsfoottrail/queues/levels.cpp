#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/queues/fairqueue.hpp"

#include <gtest/gtest.h>
#include <map>
#include <unordered_map>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{};

class LevelsTest : public testing::Test {
protected:
  Ticket add(TeamId Team, Priority Urgency = Priority::Normal) {
    const Ticket Id{NextIndex++, 1};
    Owners[Id] = Team;
    Queue.push(Team, QueueItem{Id, Urgency, Start + seconds(60), 100, 1.0});
    return Id;
  }

  FairQueue Queue{QueueLimits{64, 100000, 8}};
  std::uint32_t NextIndex = 0;
  std::unordered_map<Ticket, TeamId> Owners;
};

TEST_F(LevelsTest, LowerLevelGoesFirstWhicheverTeamWaited) {
  const TeamId Large = Queue.team(TeamName("large"), 2);
  const TeamId Small = Queue.team(TeamName("small"), 0);
  const Ticket Early = add(Large);
  const Ticket Late = add(Small);
  EXPECT_EQ(Queue.pop(), Late);
  EXPECT_EQ(Queue.pop(), Early);
  EXPECT_EQ(Queue.pop(), std::nullopt);
}

TEST_F(LevelsTest, PriorityOrdersOnlyWithinATeamOfALevel) {
  const TeamId First = Queue.team(TeamName("first"), 0);
  const TeamId Second = Queue.team(TeamName("second"), 2);
  const Ticket UrgentOfSecond = add(Second, Priority::Urgent);
  const Ticket BatchOfFirst = add(First, Priority::Batch);
  const Ticket NormalOfFirst = add(First);
  EXPECT_EQ(Queue.pop(), NormalOfFirst);
  EXPECT_EQ(Queue.pop(), BatchOfFirst);
  EXPECT_EQ(Queue.pop(), UrgentOfSecond);
}

// Guards against a team that floods its level: it delays the other teams of
// that level by one request each, as without levels.
TEST_F(LevelsTest, TeamsOfALevelShareItFairly) {
  const TeamId Flood = Queue.team(TeamName("flood"), 0);
  const TeamId Other = Queue.team(TeamName("other"), 0);
  const TeamId Lower = Queue.team(TeamName("lower"), 2);
  for (int Count = 0; Count < 40; ++Count)
    add(Flood);
  for (int Count = 0; Count < 8; ++Count) {
    add(Other);
    add(Lower);
  }
  std::map<TeamId, int> Served;
  for (int Count = 0; Count < 16; ++Count)
    ++Served[Owners.at(*Queue.pop())];
  EXPECT_NEAR(Served[Other], 8, 1);
  EXPECT_EQ(Served[Lower], 0);
}

TEST_F(LevelsTest, RequestOfALevelCanBeTakenBeforeThoseOfOthers) {
  const TeamId First = Queue.team(TeamName("first"), 0);
  const TeamId Second = Queue.team(TeamName("second"), 2);
  add(First);
  const Ticket Lower = add(Second);
  EXPECT_EQ(Queue.peek(1), std::nullopt);
  EXPECT_EQ(Queue.peek(7), std::nullopt);
  EXPECT_EQ(Queue.pop(2), Lower);
  EXPECT_EQ(Queue.size(), 1U);
}

TEST_F(LevelsTest, NewRequestWaitsOnlyForThoseThatGoBeforeIt) {
  const TeamId First = Queue.team(TeamName("team"), 0);
  const TeamId Second = Queue.team(TeamName("team"), 2);
  const TeamId Late = Queue.team(TeamName("late"), 1);
  Queue.setBlocking(1, false);
  add(Second);
  EXPECT_TRUE(Queue.mayBypass(First));
  EXPECT_FALSE(Queue.mayBypass(Second));
  EXPECT_TRUE(Queue.pop(2));
  add(Late);
  EXPECT_TRUE(Queue.mayBypass(Second));
  EXPECT_FALSE(Queue.mayBypass(Late));
}

TEST_F(LevelsTest, LimitOfATeamHoldsForAllItsLevels) {
  const TeamId First = Queue.team(TeamName("team"), 0);
  const TeamId Second = Queue.team(TeamName("team"), 2);
  Queue.setTeam(Second, TeamShare{1.0, 1});
  add(First);
  add(Second);
  ASSERT_TRUE(Queue.pop());
  EXPECT_EQ(Queue.pop(), std::nullopt);
  EXPECT_FALSE(Queue.mayBypass(Second));
  Queue.requestEnded(First);
  EXPECT_TRUE(Queue.pop());
}

// Guards against refusing urgent requests for a wait that they do not have:
// thousands of a lower rank are queued, and all go after them.
TEST_F(LevelsTest, WaitCountsOnlyWhatGoesBefore) {
  const TeamId First = Queue.team(TeamName("first"), 0);
  const TeamId Second = Queue.team(TeamName("second"), 2);
  for (int Count = 0; Count < 20; ++Count)
    add(Second);
  const Throughput Speed{1.0, 1.0};
  EXPECT_EQ(Queue.estimatedWait(First, Priority::Normal, 1.0, Speed),
            seconds(1));
  add(First);
  EXPECT_EQ(Queue.estimatedWait(Second, Priority::Normal, 1.0, Speed),
            seconds(22));
  EXPECT_EQ(Queue.waitingUpTo(0), 1U);
  EXPECT_EQ(Queue.waitingUpTo(7), 21U);
}

} // namespace
} // namespace coltsfoottrail
