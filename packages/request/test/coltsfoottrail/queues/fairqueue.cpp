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
             Duration Timeout = seconds(60)) {
    const Ticket Id{NextIndex++, 1};
    Owners[Id] = Team;
    Queue.push(Team, QueueItem{Id, Urgency, Start + Timeout, 100, 1.0});
    return Id;
  }

  FairQueue Queue{QueueLimits{64, 100000, 8}};
  std::uint32_t NextIndex = 0;
  std::unordered_map<Ticket, TeamId> Owners;
};

// Guards against serving requests in order of arrival across teams: a large
// team queues a whole batch, and the requests of a small team wait minutes
// behind it.
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

// Guards against starving a team's batch requests: its urgent requests arrive
// without a pause, and each of them would go first.
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

// Guards against one team's burst that fills the whole queue, so that the
// requests of every other team are refused as overloaded.
TEST_F(FairQueueTest, OneTeamCannotFillTheWholeQueue) {
  const TeamId Large = Queue.team(TeamName("large"));
  const TeamId Small = Queue.team(TeamName("small"));
  int QueuedCount = 0;
  while (!Queue.refusal(Large, 100)) {
    add(Large);
    ++QueuedCount;
  }
  EXPECT_EQ(Queue.refusal(Large, 100), Reason::TeamOverLimit);
  EXPECT_EQ(QueuedCount, 56);
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

// Guards against a large team that takes each slot as soon as it is free, so
// that a small team's requests start only where a slot happens to be left.
TEST_F(FairQueueTest, TeamAboveItsShareLeavesPlacesToTheOthers) {
  const TeamId Large = Queue.team(TeamName("large"));
  const TeamId Small = Queue.team(TeamName("small"));
  for (int Count = 0; Count < 40; ++Count)
    add(Large);
  double Free = 20.0;
  const auto StartNext = [&] {
    Queue.setSlots(20.0, Free);
    const std::optional<Ticket> Next = Queue.pop();
    Free -= Next ? 1.0 : 0.0;
    return Next;
  };
  for (int Count = 0; Count < 4; ++Count) {
    Queue.bypass(Small, 1.0);
    Free -= 1.0;
  }
  int StartedCount = 0;
  while (StartNext())
    ++StartedCount;
  EXPECT_EQ(StartedCount, 15)
      << "1.5 times its share, which is half of the slots";
  EXPECT_FALSE(Queue.mayBypass(Large));
  EXPECT_TRUE(Queue.mayBypass(Small));
  for (int Count = 0; Count < 4; ++Count) {
    Queue.requestEnded(Small);
    Free += 1.0;
  }
  while (Free > 0.0 && StartNext())
    ++StartedCount;
  EXPECT_EQ(StartedCount, 20) << "the only active team may use all slots";
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

// Guards against refusing requests only just before their deadline, although it
// was known when half of the endpoints were lost that they could not be served.
TEST_F(FairQueueTest, HopelessOnesAreFoundWhenTheEndpointsSlowDown) {
  const TeamId Team = Queue.team(TeamName("team"));
  std::vector<Ticket> Added;
  Added.reserve(20);
  for (int Count = 0; Count < 20; ++Count)
    Added.push_back(add(Team, Priority::Normal, seconds(10)));
  EXPECT_TRUE(Queue.unmeetable(Throughput{2.0, 1.0}, Start).empty());
  const std::vector<Ticket> Unmeetable =
      Queue.unmeetable(Throughput{1.0, 1.0}, Start);
  EXPECT_EQ(Unmeetable, std::vector<Ticket>(Added.begin() + 11, Added.end()));
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

// For any order of arrivals, starts, ends and removals, no request is lost or
// returned twice, no limit is exceeded, and the bytes add up.
TEST(FairQueueProperty, CountsAddUpUnderAnyOrder) {
  Random Rng(7);
  for (int Round = 0; Round < 200; ++Round) {
    FairQueue Queue(QueueLimits{32, 2000, 3});
    std::vector<TeamId> Teams;
    for (const char *Name : {"a", "b", "c"})
      Teams.push_back(Queue.team(TeamName(Name)));
    for (const TeamId Team : Teams)
      Queue.setTeam(Team, TeamShare{1.0 + Rng.fraction(), 2});
    std::unordered_map<Ticket, std::pair<TeamId, std::size_t>> Waiting;
    std::vector<TeamId> Running;
    for (std::uint32_t Step = 0; Step < 200; ++Step) {
      const TeamId Team = Teams[Rng.below(3)];
      const std::size_t Bytes = Rng.below(200);
      const std::uint64_t Action = Rng.below(4);
      if (Action < 2 && !Queue.refusal(Team, Bytes)) {
        const auto Urgency = static_cast<Priority>(Rng.below(3));
        Queue.push(Team, QueueItem{Ticket{Step, 1}, Urgency,
                                   Start + seconds(Rng.below(60)), Bytes,
                                   Rng.fraction()});
        Waiting[Ticket{Step, 1}] = {Team, Bytes};
      } else if (Action == 2) {
        if (const std::optional<Ticket> Next = Queue.pop()) {
          ASSERT_TRUE(Waiting.contains(*Next));
          Running.push_back(Waiting[*Next].first);
          ASSERT_LE(Queue.inFlight(Running.back()), 2U);
          Waiting.erase(*Next);
        }
      } else if (!Running.empty()) {
        Queue.requestEnded(Running.back());
        Running.pop_back();
      } else if (!Waiting.empty()) {
        ASSERT_TRUE(Queue.remove(Waiting.begin()->first));
        Waiting.erase(Waiting.begin());
      }
      std::size_t Sum = 0;
      for (const auto &[Id, TeamAndBytes] : Waiting)
        Sum += TeamAndBytes.second;
      ASSERT_EQ(Queue.size(), Waiting.size());
      ASSERT_EQ(Queue.bytes(), Sum);
      ASSERT_LE(Queue.bytes(), 2000U);
    }
  }
}

} // namespace
} // namespace coltsfoottrail
