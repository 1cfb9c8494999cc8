#include "coltsfoottrail/loadshare/board.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

TEST(LoadAggregator, SumsUpWhatTheOthersHave) {
  LoadAggregator Aggregator;
  Aggregator.report(HostName("a"), {{7, {3, 1, 0}}}, Start);
  Aggregator.report(HostName("b"), {{7, {2, 0, 4}}, {8, {1, 0, 0}}}, Start);
  const auto Others = Aggregator.others(HostName("a"), Start);
  ASSERT_EQ(Others.size(), 2U);
  EXPECT_EQ(Others[0].Load, (RequestLoad{2, 0, 4}));
  EXPECT_EQ(Aggregator.others(HostName("c"), Start)[0].Load,
            (RequestLoad{5, 1, 4}));
  EXPECT_EQ(Aggregator.hosts(Start), 2U);
}

TEST(LoadAggregator, NewReportTakesThePlaceOfTheLastOne) {
  LoadAggregator Aggregator;
  Aggregator.report(HostName("a"), {{7, {3, 1, 0}}}, Start);
  Aggregator.report(HostName("a"), {}, Start);
  EXPECT_TRUE(Aggregator.others(HostName("b"), Start).empty());
}

// Guards against leaders that look full forever: a host with many requests is
// gone, and their end is never reported.
TEST(LoadAggregator, ForgetsAHostThatFellSilent) {
  LoadAggregator Aggregator;
  Aggregator.report(HostName("a"), {{7, {26, 0, 0}}}, Start);
  const TimePoint Later = Start + LoadAggregator::ReportLife;
  EXPECT_TRUE(Aggregator.others(HostName("b"), Later).empty());
  EXPECT_EQ(Aggregator.hosts(Later), 0U);
}

} // namespace

} // namespace coltsfoottrail
