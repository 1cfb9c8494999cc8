#include "coltsfoottrail/silence/silencewatch.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

TEST(SilenceWatch, EndpointThatSendsIsNotSilent) {
  SilenceWatch Watch;
  Watch.began("a", Start);
  for (int Step = 1; Step <= 20; ++Step) {
    const TimePoint Now = Start + milliseconds(50) * Step;
    Watch.heard("a", Now);
    EXPECT_FALSE(Watch.silent("a", Now));
  }
  EXPECT_TRUE(Watch.moves("a", Start + seconds(1)));
}

// A group stands still, and its callers wait.
// All streams of one leader stop at the same moment while those of another go
// on; only the first is silent, from the limit on.
TEST(SilenceWatch, LeaderWhoseStreamsAllStopIsSilent) {
  SilenceWatch Watch;
  Watch.began("stuck", Start);
  Watch.began("stuck", Start);
  Watch.began("sound", Start);
  EXPECT_EQ(Watch
                .quietFor(SilenceWatch::SuspectAfter,
                          Start + SilenceWatch::SuspectAfter)
                .size(),
            2U);
  const TimePoint Limit = Start + SilenceWatch::SilentAfter;
  Watch.heard("sound", Limit);
  EXPECT_FALSE(Watch.silent("stuck", Limit - milliseconds(1)));
  EXPECT_EQ(Watch.allSilent(Limit), std::vector<std::string>{"stuck"});
}

// A sound engine is left because one of its streams is slow.
// One stream of a leader stops while another moves.
TEST(SilenceWatch, OneStreamThatMovesIsEnough) {
  SilenceWatch Watch;
  Watch.began("a", Start);
  Watch.began("a", Start);
  Watch.heard("a", Start + milliseconds(300));
  EXPECT_FALSE(Watch.silent("a", Start + milliseconds(600)));
}

// An idle engine is taken for dead.
// Its last stream has ended; nothing is expected of it.
TEST(SilenceWatch, EndpointWithoutStreamsIsNotSilent) {
  SilenceWatch Watch;
  Watch.began("a", Start);
  Watch.ended("a");
  EXPECT_FALSE(Watch.silent("a", Start + seconds(10)));
  EXPECT_TRUE(Watch.allSilent(Start + seconds(10)).empty());
}

} // namespace

} // namespace coltsfoottrail
