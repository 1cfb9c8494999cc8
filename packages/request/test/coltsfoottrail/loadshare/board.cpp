#include "coltsfoottrail/loadshare/board.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

TEST(LoadAggregator, SumsUpWhatTheOthersHave) {
  LoadAggregator Board;
  Board.report(HostName("a"), {{7, {3, 1, 0}}}, Start);
  Board.report(HostName("b"), {{7, {2, 0, 4}}, {8, {1, 0, 0}}}, Start);
  const auto Others = Board.others(HostName("a"), Start);
  ASSERT_EQ(Others.size(), 2U);
  EXPECT_EQ(Others[0].Load, (RequestLoad{2, 0, 4}));
  EXPECT_EQ(Board.others(HostName("c"), Start)[0].Load, (RequestLoad{5, 1, 4}));
  EXPECT_EQ(Board.hosts(Start), 2U);
}

TEST(LoadAggregator, NewReportTakesThePlaceOfTheLastOne) {
  LoadAggregator Board;
  Board.report(HostName("a"), {{7, {3, 1, 0}}}, Start);
  Board.report(HostName("a"), {}, Start);
  EXPECT_TRUE(Board.others(HostName("b"), Start).empty());
}

// Leaders look full for the rest of the day.
// A host with many requests is gone; nobody reports their end.
TEST(LoadAggregator, ForgetsAHostThatFellSilent) {
  LoadAggregator Board;
  Board.report(HostName("a"), {{7, {26, 0, 0}}}, Start);
  const TimePoint Later = Start + LoadAggregator::ReportLife;
  EXPECT_TRUE(Board.others(HostName("b"), Later).empty());
  EXPECT_EQ(Board.hosts(Later), 0U);
}

} // namespace

} // namespace coltsfoottrail
