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
  Detector.dataReceived("sound", Start + StallDetector::SuspectTimeout);
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

// Guards against moving the streams of healthy engines that pause for longer
// than the shortest time-out: a pause was seen to end, so that one and a half
// times as long is no stall either.
TEST(StallDetector, WaitsLongerAfterPausesThatEnded) {
  StallDetector Detector;
  Detector.streamStarted("other", Start);
  Detector.dataReceived("other", Start + milliseconds(380));
  const TimePoint Quiet = Start + seconds(1);
  Detector.streamStarted("a", Quiet);
  EXPECT_FALSE(Detector.stalled("a", Quiet + milliseconds(569)));
  EXPECT_TRUE(Detector.stalled("a", Quiet + milliseconds(570)));
  EXPECT_FALSE(Detector.active("a", Quiet + StallDetector::StallTimeout));
  EXPECT_EQ(Detector
                .idleFor(StallDetector::SuspectTimeout,
                         Quiet + StallDetector::SuspectTimeout)
                .size(),
            2U);
}

// Guards against waiting ever longer for a group that has stopped: the time-out
// has an upper limit, and a stall that ended does not count as a pause.
TEST(StallDetector, FindsAStallWithinTheLongestTimeout) {
  StallDetector Detector;
  Detector.streamStarted("a", Start);
  TimePoint Now = Start + milliseconds(700);
  Detector.dataReceived("a", Now);
  EXPECT_EQ(Detector.stallTimeout(Now), StallDetector::MaxStallTimeout);
  EXPECT_EQ(Detector.stalledEndpoints(Now + StallDetector::MaxStallTimeout),
            std::vector<std::string>{"a"});
  StallDetector Recovered;
  Recovered.streamStarted("a", Start);
  Now = Start + seconds(3);
  Recovered.dataReceived("a", Now);
  EXPECT_EQ(Recovered.stallTimeout(Now), StallDetector::StallTimeout);
}

// Guards against a time-out that stays long after one slow moment.
TEST(StallDetector, ForgetsOldPauses) {
  StallDetector Detector;
  Detector.streamStarted("a", Start);
  TimePoint Now = Start + milliseconds(500);
  Detector.dataReceived("a", Now);
  for (; Now < Start + PauseHistory::Window; Now += milliseconds(100))
    Detector.dataReceived("a", Now);
  EXPECT_EQ(Detector.stallTimeout(Start + seconds(20)), milliseconds(750));
  EXPECT_EQ(Detector.stallTimeout(Now + milliseconds(500)),
            StallDetector::StallTimeout);
}

// Guards against taking a healthy endpoint for stalled because this host itself
// did not run and has not read the data that arrived. A stall that begins
// before or after the pause is still found.
TEST(StallDetector, OwnPauseIsNoSilence) {
  StallDetector Detector;
  Detector.streamStarted("a", Start);
  const TimePoint Awake = Start + milliseconds(550);
  EXPECT_TRUE(Detector.stalled("a", Awake));
  Detector.recordOwnPause(milliseconds(500), Awake);
  EXPECT_FALSE(Detector.stalled("a", Awake + milliseconds(349)));
  EXPECT_TRUE(Detector.stalled("a", Awake + milliseconds(350)));
  Detector.recordOwnPause(StallDetector::MinOwnPause - milliseconds(1),
                          Awake + milliseconds(350));
  EXPECT_TRUE(Detector.stalled("a", Awake + milliseconds(350)));
  Detector.recordOwnPause(seconds(5), Awake + milliseconds(350));
  EXPECT_FALSE(Detector.stalled("a", Awake + milliseconds(749)));
  EXPECT_TRUE(Detector.stalled("a", Awake + milliseconds(750)));
}

// Guards against streams that nobody moves: a busy host runs late again and
// again, reads data in between, and an endpoint that sends none stays healthy.
TEST(StallDetector, DISABLED_SilenceBetweenOwnPausesCounts) {
  StallDetector Detector;
  Detector.streamStarted("a", Start);
  TimePoint Now = Start;
  for (int Tick = 0; Tick < 5; ++Tick) {
    Now += milliseconds(50) + milliseconds(400);
    Detector.recordOwnPause(milliseconds(400), Now);
  }
  EXPECT_TRUE(Detector.stalled("a", Now));
}

// Guards against counting the time in which an endpoint has no streams as a
// pause.
TEST(StallDetector, IdleTimeIsNoPause) {
  StallDetector Detector;
  Detector.streamStarted("a", Start);
  Detector.streamEnded("a");
  Detector.streamStarted("a", Start + milliseconds(700));
  EXPECT_EQ(Detector.stallTimeout(Start + milliseconds(700)),
            StallDetector::StallTimeout);
  Detector.streamStarted("a", Start + milliseconds(1'200));
  EXPECT_EQ(Detector.stallTimeout(Start + milliseconds(1'200)),
            milliseconds(750));
}

} // namespace

} // namespace coltsfoottrail
