#include "coltsfoottrail/telemetry/histogram.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

TEST(LatencyHistogram, BucketsAreCumulative) {
  LatencyHistogram Histogram;
  Histogram.record(milliseconds(5));
  Histogram.record(milliseconds(250));
  Histogram.record(seconds(60));
  std::string Text;
  Histogram.appendTo(Text, "wait_seconds", R"(kind="order")");
  EXPECT_NE(Text.find("wait_seconds_bucket{kind=\"order\",le=\"0.005\"} 1\n"),
            std::string::npos);
  EXPECT_NE(Text.find("wait_seconds_bucket{kind=\"order\",le=\"0.3\"} 2\n"),
            std::string::npos);
  EXPECT_NE(Text.find("wait_seconds_bucket{kind=\"order\",le=\"5\"} 2\n"),
            std::string::npos);
  EXPECT_NE(Text.find("wait_seconds_bucket{kind=\"order\",le=\"+Inf\"} 3\n"),
            std::string::npos);
  EXPECT_NE(Text.find("wait_seconds_sum{kind=\"order\"} 60.255\n"),
            std::string::npos);
  EXPECT_NE(Text.find("wait_seconds_count{kind=\"order\"} 3\n"),
            std::string::npos);
}

TEST(LatencyHistogram, HasNoBracesWithoutLabels) {
  const LatencyHistogram Empty;
  std::string Text;
  Empty.appendTo(Text, "gap_seconds", "");
  EXPECT_NE(Text.find("gap_seconds_bucket{le=\"+Inf\"} 0\n"),
            std::string::npos);
  EXPECT_NE(Text.find("gap_seconds_count 0\n"), std::string::npos);
}

} // namespace

} // namespace coltsfoottrail
