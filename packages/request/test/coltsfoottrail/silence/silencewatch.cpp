#include "coltsfoottrail/silence/silencewatch.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

TEST(StallDetector, EndpointThatSendsIsNotSilent) {
  StallDetector Detector;
  Detector.streamStarted("a", Start);
  for (int Step = 1; Step <= 20; ++Step) {
    const TimePoint Now = Start + milliseconds(50) * Step;
    Detector.dataReceived("a", Now);
    EXPECT_FALSE(Detector.stalled("a", Now));
  }
  EXPECT_TRUE(Detector.active("a", Start + seconds(1)));
}

// Guards against callers that wait for a group that has stopped: all streams of
// one leader stop at the same moment while those of another continue. Only the
// first counts as stalled, and only from the time-out on.
TEST(StallDetector, LeaderWhoseStreamsAllStopIsSilent) {
  StallDetector Detector;
  Detector.streamStarted("stuck", Start);
  Detector.streamStarted("stuck", Start);
  Detector.streamStarted("sound", Start);
  EXPECT_EQ(Detector
                .idleFor(StallDetector::SuspectTimeout,
                         Start + StallDetector::SuspectTimeout)
                .size(),
            2U);
  const TimePoint Limit = Start + StallDetector::StallTimeout;
  Detector.dataReceived("sound", Limit);
  EXPECT_FALSE(Detector.stalled("stuck", Limit - milliseconds(1)));
  EXPECT_EQ(Detector.stalledEndpoints(Limit),
            std::vector<std::string>{"stuck"});
}

// Guards against moving all streams of a healthy engine because one of them is
// slow: one stream of a leader stops while another makes progress.
TEST(StallDetector, OneStreamThatMovesIsEnough) {
  StallDetector Detector;
  Detector.streamStarted("a", Start);
  Detector.streamStarted("a", Start);
  Detector.dataReceived("a", Start + milliseconds(300));
  EXPECT_FALSE(Detector.stalled("a", Start + milliseconds(600)));
}

// Guards against taking an idle engine for stalled: its last stream has ended,
// so that no data is expected.
TEST(StallDetector, EndpointWithoutStreamsIsNotSilent) {
  StallDetector Detector;
  Detector.streamStarted("a", Start);
  Detector.streamEnded("a");
  EXPECT_FALSE(Detector.stalled("a", Start + seconds(10)));
  EXPECT_TRUE(Detector.stalledEndpoints(Start + seconds(10)).empty());
}

} // namespace

} // namespace coltsfoottrail
