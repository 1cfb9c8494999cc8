#include "coltsfoottrail/mesh/outbox.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail::internal {
namespace {

class OutboxTest : public ::testing::Test {
protected:
  static QueuedMessage message(Channel ChannelId, std::size_t Size) {
    return {ChannelId, std::make_shared<const std::string>(Size, 'x')};
  }
  [[nodiscard]] bool push(Channel ChannelId, std::size_t Size) {
    return Queue.push(message(ChannelId, Size)).Accepted;
  }

  std::atomic<std::size_t> Shared = 0;
  Outbox Queue{{100, 1000}, Shared, 1500};
};

TEST_F(OutboxTest, UrgentChannelsGoFirst) {
  EXPECT_TRUE(push(Channel::Forward, 10));
  EXPECT_TRUE(push(Channel::Records, 20));
  EXPECT_TRUE(push(Channel::Heartbeat, 30));
  EXPECT_EQ(Queue.pop()->ChannelId, Channel::Heartbeat);
  EXPECT_EQ(Queue.pop()->ChannelId, Channel::Records);
  EXPECT_EQ(Queue.pop()->ChannelId, Channel::Forward);
  EXPECT_FALSE(Queue.pop());
  EXPECT_EQ(Shared, 0U);
}

// Guards against lost heartbeats: a flood of forwarded requests to a slow peer
// must leave room for them, or a live host is considered dead.
TEST_F(OutboxTest, BulkChannelsLeaveRoomForTheOthers) {
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
  const PushResult Newer = Queue.push(message(Channel::Heartbeat, 300));
  EXPECT_TRUE(Newer.Accepted);
  EXPECT_EQ(Newer.Evicted, 2U);
  EXPECT_EQ(Queue.bytes(), 900U);
  EXPECT_FALSE(push(Channel::Claims, 200));
  EXPECT_FALSE(Queue.push(message(Channel::Heartbeat, 2000)).Accepted);
}

TEST_F(OutboxTest, CountIsBounded) {
  std::size_t AcceptedCount = 0;
  while (push(Channel::Claims, 1))
    ++AcceptedCount;
  EXPECT_EQ(AcceptedCount, 100U);
}

TEST_F(OutboxTest, SumOfAllQueuesIsBounded) {
  Outbox Other({100, 1000}, Shared, 1500);
  EXPECT_TRUE(Other.push(message(Channel::Claims, 1000)).Accepted);
  EXPECT_TRUE(push(Channel::Claims, 500));
  EXPECT_FALSE(push(Channel::Claims, 1));
  EXPECT_TRUE(Other.pop());
  EXPECT_TRUE(push(Channel::Claims, 400));
}

// Guards against lost messages when a connection replaces another one while a
// sender still refers to the old queue: queued messages must move to the new
// queue, and the sender must not add to a queue that is no longer sent.
TEST_F(OutboxTest, ReplacedQueueMovesItsMessagesAndRejectsNewOnes) {
  Outbox Next({100, 1000}, Shared, 1500);
  EXPECT_TRUE(push(Channel::Claims, 10));
  EXPECT_TRUE(push(Channel::Forward, 20));
  Queue.moveTo(Next);
  EXPECT_FALSE(push(Channel::Claims, 1));
  EXPECT_EQ(Next.size(), 2U);
  EXPECT_EQ(Shared, 30U);
  EXPECT_EQ(Next.close()[static_cast<std::size_t>(Channel::Forward)], 1U);
  EXPECT_EQ(Shared, 0U);
}

} // namespace
} // namespace coltsfoottrail::internal
