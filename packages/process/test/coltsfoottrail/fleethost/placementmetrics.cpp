#include "coltsfoottrail/fleethost/placementmetrics.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

std::string textOf(const PlacementMetrics &Metrics) {
  std::string Text;
  Metrics.appendTo(Text);
  return Text;
}

TEST(PlacementMetrics, CountsSendsByReasonAndBytesByPurpose) {
  PlacementMetrics Metrics;
  Metrics.recordSend(AwayReason::None);
  Metrics.recordSend(AwayReason::None);
  Metrics.recordSend(AwayReason::Full);
  Metrics.recordBytes(DistantTraffic::RequestBody, 700);
  Metrics.recordBytes(DistantTraffic::RequestBody, 300);
  Metrics.recordBytes(DistantTraffic::ReportResponse, 5);
  const std::string Text = textOf(Metrics);
  for (const char *const Line :
       {"coltsfoottrail_placed_total{away=\"\"} 2\n",
        "coltsfoottrail_placed_total{away=\"full\"} 1\n",
        "coltsfoottrail_placed_total{away=\"late\"} 0\n",
        "coltsfoottrail_distant_bytes_total{purpose=\"request\"} 1000\n",
        "coltsfoottrail_distant_bytes_total{purpose=\"response\"} 0\n",
        "coltsfoottrail_distant_bytes_total{purpose=\"report-response\"} 5\n"})
    EXPECT_NE(Text.find(Line), std::string::npos) << Line << Text;
}

// Guards against a metrics page that grows with the traffic.
TEST(PlacementMetrics, NumberOfSeriesIsFixed) {
  PlacementMetrics Metrics;
  const std::string Before = textOf(Metrics);
  for (const AwayReason Why : AwayReasons)
    Metrics.recordSend(Why);
  const std::string After = textOf(Metrics);
  EXPECT_EQ(std::ranges::count(Before, '\n'), std::ranges::count(After, '\n'));
}

} // namespace
} // namespace coltsfoottrail
