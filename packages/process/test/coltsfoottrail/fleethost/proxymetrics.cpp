#include "coltsfoottrail/fleethost/proxymetrics.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

bool has(const ProxyMetrics &Metrics, const std::string &Line) {
  std::string Text;
  Metrics.appendTo(Text);
  return Text.find(Line + "\n") != std::string::npos;
}

TEST(ProxyMetrics, CountsRequestsByRankInABoundedNumberOfSeries) {
  ProxyMetrics Metrics;
  Metrics.recordRank(1, RankEvent::Offered);
  Metrics.recordRank(1, RankEvent::Refused);
  for (std::uint32_t Rank = 10; Rank < 100; ++Rank)
    Metrics.recordRank(Rank, RankEvent::Demoted);
  const std::string Name = "coltsfoottrail_rank_requests_total";
  EXPECT_TRUE(has(Metrics, Name + "{rank=\"1\",event=\"offered\"} 1"));
  EXPECT_TRUE(has(Metrics, Name + "{rank=\"1\",event=\"served\"} 0"));
  EXPECT_TRUE(has(Metrics, Name + "{rank=\"1\",event=\"refused\"} 1"));
  EXPECT_TRUE(has(Metrics, Name + "{rank=\"10\",event=\"demoted\"} 90"));
}

} // namespace
} // namespace coltsfoottrail
