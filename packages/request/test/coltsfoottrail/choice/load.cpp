#include "coltsfoottrail/choice/load.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(100)};

// An endpoint that has just reported no load must not get all requests until
// its next report, a second later.
TEST(LoadModel, OwnRequestsSinceTheReportAreAdded) {
  LoadModel Load;
  Load.report(3, Duration{}, Start);
  for (int Count = 0; Count < 5; ++Count)
    Load.sent(false, Start + milliseconds(10));
  EXPECT_EQ(Load.load(Start + milliseconds(20)), 8U);
  Load.ended(false, false, Start + milliseconds(30));
  EXPECT_EQ(Load.load(Start + milliseconds(40)), 7U);
}

TEST(LoadModel, OwnRequestsInTheReportAreNotCountedTwice) {
  LoadModel Load;
  for (int Count = 0; Count < 4; ++Count)
    Load.sent(false, Start);
  Load.report(6, Duration{}, Start + milliseconds(200));
  EXPECT_EQ(Load.load(Start + milliseconds(200)), 6U);
}

// A report that takes 500 ms to arrive cannot contain requests that were sent
// in the meantime.
TEST(LoadModel, AgeTellsWhatTheReportContains) {
  LoadModel Load;
  Load.sent(false, Start);
  for (int Count = 0; Count < 4; ++Count)
    Load.sent(false, Start + milliseconds(400));
  EXPECT_EQ(Load.ownAt(Start + milliseconds(130)), 1U);
  Load.report(6, milliseconds(400), Start + milliseconds(530));
  EXPECT_EQ(Load.load(Start + milliseconds(530)), 10U);
}

TEST(LoadModel, OldReportIsLeftOut) {
  LoadModel Load;
  Load.sent(false, Start);
  Load.report(9, Duration{}, Start);
  EXPECT_EQ(Load.load(Start + seconds(9)), 9U);
  EXPECT_EQ(Load.load(Start + seconds(10)), 1U);
}

// An endpoint's last report is old, and the other entry hosts' requests there
// have ended since. Their numbers take precedence over the report; otherwise
// callers are refused while there are free slots. Late requests waiting there
// are served after a new one that can be on time.
TEST(LoadModel, WhatOtherHostsTellGoesBeforeTheReport) {
  LoadModel Load;
  Load.sent(false, Start);
  Load.sent(true, Start);
  Load.report(30, Duration{}, Start);
  EXPECT_FALSE(Load.aheadOfFresh(Start));
  Load.setOtherHostLoad({5, 1, 9}, Start);
  EXPECT_EQ(Load.load(Start), 17U);
  EXPECT_EQ(Load.aheadOfFresh(Start), 7U);
  Load.responseStarted(true);
  EXPECT_EQ(Load.ownLoad(), (RequestLoad{1, 1, 0}));
  EXPECT_EQ(Load.aheadOfFresh(Start), 8U);
  EXPECT_FALSE(Load.aheadOfFresh(Start + seconds(1)))
      << "the other hosts' numbers have expired";
}

TEST(LoadModel, RecordCoversTheLastSteps) {
  LoadModel Load;
  for (int Step = 0; Step < 40; ++Step)
    Load.sent(false, Start + Step * milliseconds(125));
  const TimePoint Last = Start + 39 * milliseconds(125);
  EXPECT_EQ(Load.ownAt(Last), 40U);
  EXPECT_EQ(Load.ownAt(Last - milliseconds(125)), 39U);
  EXPECT_EQ(Load.ownAt(Last - 16 * milliseconds(125)), 24U);
  EXPECT_EQ(Load.ownAt(Start), 24U)
      << "older than the recorded steps: the oldest is returned";
}

} // namespace
} // namespace coltsfoottrail
