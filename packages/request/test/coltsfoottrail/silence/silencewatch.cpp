#include "coltsfoottrail/silence/silencewatch.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

TEST(StallDetector, EndpointThatSendsIsNotSilent) {
  StallDetector Watch;
  Watch.streamStarted("a", Start);
  for (int Step = 1; Step <= 20; ++Step) {
    const TimePoint Now = Start + milliseconds(50) * Step;
    Watch.dataReceived("a", Now);
    EXPECT_FALSE(Watch.stalled("a", Now));
  }
  EXPECT_TRUE(Watch.active("a", Start + seconds(1)));
}

// A group stands still, and its callers wait.
// All streams of one leader stop at the same moment while those of another go
// on; only the first is silent, from the limit on.
TEST(StallDetector, LeaderWhoseStreamsAllStopIsSilent) {
  StallDetector Watch;
  Watch.streamStarted("stuck", Start);
  Watch.streamStarted("stuck", Start);
  Watch.streamStarted("sound", Start);
  EXPECT_EQ(Watch
                .idleFor(StallDetector::SuspectTimeout,
                         Start + StallDetector::SuspectTimeout)
                .size(),
            2U);
  const TimePoint Limit = Start + StallDetector::StallTimeout;
  Watch.dataReceived("sound", Limit);
  EXPECT_FALSE(Watch.stalled("stuck", Limit - milliseconds(1)));
  EXPECT_EQ(Watch.stalledEndpoints(Limit), std::vector<std::string>{"stuck"});
}

// A sound engine is left because one of its streams is slow.
// One stream of a leader stops while another moves.
TEST(StallDetector, OneStreamThatMovesIsEnough) {
  StallDetector Watch;
  Watch.streamStarted("a", Start);
  Watch.streamStarted("a", Start);
  Watch.dataReceived("a", Start + milliseconds(300));
  EXPECT_FALSE(Watch.stalled("a", Start + milliseconds(600)));
}

// An idle engine is taken for dead.
// Its last stream has ended; nothing is expected of it.
TEST(StallDetector, EndpointWithoutStreamsIsNotSilent) {
  StallDetector Watch;
  Watch.streamStarted("a", Start);
  Watch.streamEnded("a");
  EXPECT_FALSE(Watch.stalled("a", Start + seconds(10)));
  EXPECT_TRUE(Watch.stalledEndpoints(Start + seconds(10)).empty());
}

} // namespace

} // namespace coltsfoottrail
