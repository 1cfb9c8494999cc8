#include "coltsfoottrail/queues/fairqueue.hpp"
#include "coltsfoottrail/core/random.hpp"

#include <gtest/gtest.h>
#include <map>
#include <unordered_map>
#include <vector>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{};

class FairQueueTest : public testing::Test {
protected:
  Ticket add(TeamId Team, Priority Urgency = Priority::Normal,
             Duration Patience = seconds(60)) {
    const Ticket Which{NextIndex++, 1};
    Owners[Which] = Team;
    Queue.push(Team, QueueItem{Which, Urgency, Start + Patience, 100, 1.0});
    return Which;
  }

  FairQueue Queue{QueueLimits{64, 100000, 8}};
  std::uint32_t NextIndex = 0;
  std::unordered_map<Ticket, TeamId> Owners;
};

// Gate staff of a small team see minutes of waiting: a large team has put its
// whole batch into the queue just before, and requests go in order of arrival.
TEST_F(FairQueueTest, LateSmallTeamDoesNotWaitBehindTheBatchOfALargeOne) {
  const TeamId Large = Queue.team(TeamName("large"));
  const TeamId Small = Queue.team(TeamName("small"));
  for (int Count = 0; Count < 40; ++Count)
    add(Large);
  for (int Count = 0; Count < 10; ++Count)
    ASSERT_TRUE(Queue.pop());
  const Ticket Late = add(Small);
  const std::optional<Ticket> First = Queue.pop();
  const std::optional<Ticket> Second = Queue.pop();
  EXPECT_TRUE(First == Late || Second == Late);
}

TEST_F(FairQueueTest, ContendedSlotsAreSharedByWeight) {
  const TeamId Heavy = Queue.team(TeamName("heavy"));
  const TeamId Light = Queue.team(TeamName("light"));
  Queue.setTeam(Heavy, TeamShare{3.0, 1000});
  for (int Count = 0; Count < 24; ++Count) {
    add(Heavy);
    add(Light);
  }
  std::map<TeamId, int> Served;
  for (int Count = 0; Count < 24; ++Count)
    ++Served[Owners.at(*Queue.pop())];
  EXPECT_NEAR(Served[Heavy], 18, 1);
  EXPECT_NEAR(Served[Light], 6, 1);
}

// A nightly batch job of a team never ends: its urgent requests arrive without
// a pause, and each of them goes before the batch.
TEST_F(FairQueueTest, UrgentStreamDoesNotStarveBatch) {
  const TeamId Team = Queue.team(TeamName("team"));
  const Ticket Batch = add(Team, Priority::Batch);
  int UrgentBefore = 0;
  for (;;) {
    add(Team, Priority::Urgent);
    if (Queue.pop() == Batch)
      break;
    ++UrgentBefore;
    ASSERT_LT(UrgentBefore, 100);
  }
  EXPECT_EQ(UrgentBefore, 8);
}

// Callers of every team are refused as overloaded: one team's burst has taken
// every place in the queue before the others' requests arrived.
TEST_F(FairQueueTest, OneTeamCannotFillTheWholeQueue) {
  const TeamId Large = Queue.team(TeamName("large"));
  const TeamId Small = Queue.team(TeamName("small"));
  int Taken = 0;
  while (!Queue.refusal(Large, 100)) {
    add(Large);
    ++Taken;
  }
  EXPECT_EQ(Queue.refusal(Large, 100), Reason::TeamOverLimit);
  EXPECT_EQ(Taken, 56);
  EXPECT_EQ(Queue.refusal(Small, 100), std::nullopt);
}

TEST_F(FairQueueTest, LoneTeamMayUseAllOfItAndBytesAreBounded) {
  const TeamId Only = Queue.team(TeamName("only"));
  for (int Count = 0; Count < 64; ++Count) {
    ASSERT_EQ(Queue.refusal(Only, 100), std::nullopt);
    add(Only);
  }
  EXPECT_EQ(Queue.refusal(Only, 100), Reason::Overloaded);
  EXPECT_TRUE(Queue.remove(Ticket{0, 1}));
  EXPECT_EQ(Queue.refusal(Only, 100), std::nullopt);
  EXPECT_EQ(Queue.refusal(Only, 100000), Reason::Overloaded);
}

TEST_F(FairQueueTest, TeamAtItsLimitIsPassedOverUntilOneEnds) {
  const TeamId Limited = Queue.team(TeamName("limited"));
  const TeamId Other = Queue.team(TeamName("other"));
  Queue.setTeam(Limited, TeamShare{1.0, 1});
  const Ticket First = add(Limited);
  const Ticket Second = add(Limited);
  EXPECT_EQ(Queue.pop(), First);
  EXPECT_EQ(Queue.pop(), std::nullopt);
  EXPECT_TRUE(Queue.mayBypass(Other));
  EXPECT_FALSE(Queue.mayBypass(Limited));
  Queue.requestEnded(Limited);
  EXPECT_EQ(Queue.pop(), Second);
}

// The small team's requests find a place only where one happens to be: the
// large team takes each the moment it is free.
TEST_F(FairQueueTest, TeamAboveItsShareLeavesPlacesToTheOthers) {
  const TeamId Large = Queue.team(TeamName("large"));
  const TeamId Small = Queue.team(TeamName("small"));
  for (int Count = 0; Count < 40; ++Count)
    add(Large);
  double Free = 20.0;
  const auto Start = [&] {
    Queue.setSlots(20.0, Free);
    const std::optional<Ticket> Next = Queue.pop();
    Free -= Next ? 1.0 : 0.0;
    return Next;
  };
  for (int Count = 0; Count < 4; ++Count) {
    Queue.bypass(Small, 1.0);
    Free -= 1.0;
  }
  int Taken = 0;
  while (Start())
    ++Taken;
  EXPECT_EQ(Taken, 15) << "one and a half times its half";
  EXPECT_FALSE(Queue.mayBypass(Large));
  EXPECT_TRUE(Queue.mayBypass(Small));
  for (int Count = 0; Count < 4; ++Count) {
    Queue.requestEnded(Small);
    Free += 1.0;
  }
  while (Free > 0.0 && Start())
    ++Taken;
  EXPECT_EQ(Taken, 20) << "alone it may take all";
}

TEST_F(FairQueueTest, WaitIsEstimatedFromTheTeamsOwnBacklog) {
  const TeamId Large = Queue.team(TeamName("large"));
  const TeamId Small = Queue.team(TeamName("small"));
  for (int Count = 0; Count < 40; ++Count)
    add(Large);
  const Throughput Speed{4.0, 1.0};
  EXPECT_EQ(Queue.estimatedWait(Small, Priority::Normal, 1.0, Speed),
            milliseconds(250));
  EXPECT_EQ(Queue.estimatedWait(Large, Priority::Normal, 1.0, Speed),
            milliseconds(10250));
  EXPECT_EQ(Queue.estimatedWait(Large, Priority::Urgent, 1.0, Speed),
            milliseconds(250));
}

// Callers wait until just before their deadline and are then refused, although
// it was plain when half of the endpoints went that they could not be served.
TEST_F(FairQueueTest, HopelessOnesAreFoundWhenTheEndpointsSlowDown) {
  const TeamId Team = Queue.team(TeamName("team"));
  std::vector<Ticket> Added;
  Added.reserve(20);
  for (int Count = 0; Count < 20; ++Count)
    Added.push_back(add(Team, Priority::Normal, seconds(10)));
  EXPECT_TRUE(Queue.unmeetable(Throughput{2.0, 1.0}, Start).empty());
  const std::vector<Ticket> Found =
      Queue.unmeetable(Throughput{1.0, 1.0}, Start);
  EXPECT_EQ(Found, std::vector<Ticket>(Added.begin() + 11, Added.end()));
}

TEST_F(FairQueueTest, LatestStartPassedIsTakenOut) {
  const TeamId Team = Queue.team(TeamName("team"));
  add(Team);
  const Ticket Brief = add(Team, Priority::Batch, seconds(1));
  EXPECT_EQ(Queue.earliestExpiry(), Start + seconds(1));
  EXPECT_EQ(Queue.popExpired(Start + milliseconds(999)), std::nullopt);
  EXPECT_EQ(Queue.popExpired(Start + seconds(1)), Brief);
  EXPECT_EQ(Queue.popExpired(Start + seconds(1)), std::nullopt);
  EXPECT_EQ(Queue.size(), 1U);
}

// Any order of arrivals, starts, ends and departures: nothing is lost or given
// out twice, no limit is passed, and the bytes add up.
TEST(FairQueueProperty, CountsAddUpUnderAnyOrder) {
  Random Draw(7);
  for (int Round = 0; Round < 200; ++Round) {
    FairQueue Queue(QueueLimits{32, 2000, 3});
    std::vector<TeamId> Teams;
    for (const char *Name : {"a", "b", "c"})
      Teams.push_back(Queue.team(TeamName(Name)));
    for (const TeamId Team : Teams)
      Queue.setTeam(Team, TeamShare{1.0 + Draw.fraction(), 2});
    std::unordered_map<Ticket, std::pair<TeamId, std::size_t>> Inside;
    std::vector<TeamId> Running;
    for (std::uint32_t Step = 0; Step < 200; ++Step) {
      const TeamId Team = Teams[Draw.below(3)];
      const std::size_t Bytes = Draw.below(200);
      const std::uint64_t Kind = Draw.below(4);
      if (Kind < 2 && !Queue.refusal(Team, Bytes)) {
        const auto Urgency = static_cast<Priority>(Draw.below(3));
        Queue.push(Team, QueueItem{Ticket{Step, 1}, Urgency,
                                   Start + seconds(Draw.below(60)), Bytes,
                                   Draw.fraction()});
        Inside[Ticket{Step, 1}] = {Team, Bytes};
      } else if (Kind == 2) {
        if (const std::optional<Ticket> Next = Queue.pop()) {
          ASSERT_TRUE(Inside.contains(*Next));
          Running.push_back(Inside[*Next].first);
          ASSERT_LE(Queue.inFlight(Running.back()), 2U);
          Inside.erase(*Next);
        }
      } else if (!Running.empty()) {
        Queue.requestEnded(Running.back());
        Running.pop_back();
      } else if (!Inside.empty()) {
        ASSERT_TRUE(Queue.remove(Inside.begin()->first));
        Inside.erase(Inside.begin());
      }
      std::size_t Sum = 0;
      for (const auto &[Which, Held] : Inside)
        Sum += Held.second;
      ASSERT_EQ(Queue.size(), Inside.size());
      ASSERT_EQ(Queue.bytes(), Sum);
      ASSERT_LE(Queue.bytes(), 2000U);
    }
  }
}

} // namespace
} // namespace coltsfoottrail
