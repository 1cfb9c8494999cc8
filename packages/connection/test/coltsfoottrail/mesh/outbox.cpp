#include "coltsfoottrail/mesh/outbox.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::internal {
namespace {

class OutboxTest : public ::testing::Test {
protected:
  static Outgoing message(Channel Which, std::size_t Size) {
    return {Which, std::make_shared<const std::string>(Size, 'x')};
  }
  [[nodiscard]] bool push(Channel Which, std::size_t Size) {
    return Queue.push(message(Which, Size)).Taken;
  }

  std::atomic<std::size_t> Shared = 0;
  Outbox Queue{{100, 1000}, Shared, 1500};
};

TEST_F(OutboxTest, UrgentChannelsGoFirst) {
  EXPECT_TRUE(push(Channel::Forward, 10));
  EXPECT_TRUE(push(Channel::Records, 20));
  EXPECT_TRUE(push(Channel::Heartbeat, 30));
  EXPECT_EQ(Queue.pop()->Which, Channel::Heartbeat);
  EXPECT_EQ(Queue.pop()->Which, Channel::Records);
  EXPECT_EQ(Queue.pop()->Which, Channel::Forward);
  EXPECT_FALSE(Queue.pop());
  EXPECT_EQ(Shared, 0U);
}

// A flood of forwarded requests to a slow peer: heartbeats must still find
// room, else the peer is taken for dead by all that it is not.
TEST_F(OutboxTest, BulkLeavesRoomForTheRest) {
  while (push(Channel::Forward, 50)) {
  }
  EXPECT_EQ(Queue.bytes(), 750U);
  EXPECT_FALSE(push(Channel::Records, 50));
  EXPECT_TRUE(push(Channel::Credits, 200));
  EXPECT_FALSE(push(Channel::Credits, 51));
}

TEST_F(OutboxTest, NewHeartbeatsReplaceOldOnes) {
  for (int Count = 0; Count < 5; ++Count)
    EXPECT_TRUE(push(Channel::Heartbeat, 200));
  const Queued Newer = Queue.push(message(Channel::Heartbeat, 300));
  EXPECT_TRUE(Newer.Taken);
  EXPECT_EQ(Newer.Evicted, 2U);
  EXPECT_EQ(Queue.bytes(), 900U);
  EXPECT_FALSE(push(Channel::Claims, 200));
  EXPECT_FALSE(Queue.push(message(Channel::Heartbeat, 2000)).Taken);
}

TEST_F(OutboxTest, CountIsBounded) {
  std::size_t Taken = 0;
  while (push(Channel::Claims, 1))
    ++Taken;
  EXPECT_EQ(Taken, 100U);
}

TEST_F(OutboxTest, SumOfAllQueuesIsBounded) {
  Outbox Other({100, 1000}, Shared, 1500);
  EXPECT_TRUE(Other.push(message(Channel::Claims, 1000)).Taken);
  EXPECT_TRUE(push(Channel::Claims, 500));
  EXPECT_FALSE(push(Channel::Claims, 1));
  EXPECT_TRUE(Other.pop());
  EXPECT_TRUE(push(Channel::Claims, 400));
}

// A connection takes the place of another one while a sender still holds the
// old queue: what waits must go over to the new one, and the sender must not be
// told that its message waits in a queue that nobody empties.
TEST_F(OutboxTest, ReplacedQueueHandsOnAndTakesNothingMore) {
  Outbox Next({100, 1000}, Shared, 1500);
  EXPECT_TRUE(push(Channel::Claims, 10));
  EXPECT_TRUE(push(Channel::Forward, 20));
  Queue.drainInto(Next);
  EXPECT_FALSE(push(Channel::Claims, 1));
  EXPECT_EQ(Next.size(), 2U);
  EXPECT_EQ(Shared, 30U);
  EXPECT_EQ(Next.close()[static_cast<std::size_t>(Channel::Forward)], 1U);
  EXPECT_EQ(Shared, 0U);
}

} // namespace
} // namespace coltsfoottrail::internal
