#include "coltsfoottrail/choice/load.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(100)};

// All requests of a second go to one endpoint and queue there: it reported no
// load just before, and the next report is a second away.
TEST(LoadModel, OwnRequestsSinceTheReportAreAdded) {
  LoadModel Load;
  Load.report(3, Duration{}, Start);
  for (int Count = 0; Count < 5; ++Count)
    Load.sent(Start + milliseconds(10));
  EXPECT_EQ(Load.load(Start + milliseconds(20)), 8U);
  Load.ended(Start + milliseconds(30));
  EXPECT_EQ(Load.load(Start + milliseconds(40)), 7U);
}

TEST(LoadModel, OwnRequestsInTheReportAreNotCountedTwice) {
  LoadModel Load;
  for (int Count = 0; Count < 4; ++Count)
    Load.sent(Start);
  Load.report(6, Duration{}, Start + milliseconds(200));
  EXPECT_EQ(Load.load(Start + milliseconds(200)), 6U);
}

// A report that was 500 ms on its way cannot contain what was sent meanwhile.
TEST(LoadModel, AgeTellsWhatTheReportContains) {
  LoadModel Load;
  Load.sent(Start);
  for (int Count = 0; Count < 4; ++Count)
    Load.sent(Start + milliseconds(400));
  EXPECT_EQ(Load.ownAt(Start + milliseconds(130)), 1U);
  Load.report(6, milliseconds(400), Start + milliseconds(530));
  EXPECT_EQ(Load.load(Start + milliseconds(530)), 10U);
}

TEST(LoadModel, OldReportIsLeftOut) {
  LoadModel Load;
  Load.sent(Start);
  Load.report(9, Duration{}, Start);
  EXPECT_EQ(Load.load(Start + seconds(9)), 9U);
  EXPECT_EQ(Load.load(Start + seconds(10)), 1U);
}

TEST(LoadModel, RecordCoversTheLastSteps) {
  LoadModel Load;
  for (int Step = 0; Step < 40; ++Step)
    Load.sent(Start + Step * milliseconds(125));
  const TimePoint Last = Start + 39 * milliseconds(125);
  EXPECT_EQ(Load.ownAt(Last), 40U);
  EXPECT_EQ(Load.ownAt(Last - milliseconds(125)), 39U);
  EXPECT_EQ(Load.ownAt(Last - 16 * milliseconds(125)), 24U);
  EXPECT_EQ(Load.ownAt(Start), 24U) << "older than the record: its oldest step";
}

} // namespace
} // namespace coltsfoottrail
