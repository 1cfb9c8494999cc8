#include "coltsfoottrail/telemetry/summary.hpp"

#include "coltsfoottrail/core/random.hpp"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

const TimePoint Start(seconds(1000));

double quantile(const LatencySummary &Summary, TimePoint Now,
                double Probability) {
  std::vector<QuantilePiece> Pieces;
  Summary.collect(Now, Pieces);
  return mixtureQuantile(Pieces, Probability).value_or(-1);
}

TEST(LatencySummary, FewValuesAreExact) {
  LatencySummary Summary;
  EXPECT_EQ(quantile(Summary, Start, 0.5), -1);
  for (const double Value : {5.0, 1.0, 3.0, 2.0, 4.0})
    Summary.record(Value, Start);
  EXPECT_NEAR(quantile(Summary, Start, 0.5), 3.0, 1e-9);
  EXPECT_NEAR(quantile(Summary, Start, 0.99), 5.0, 1e-9);
  EXPECT_EQ(Summary.count(), 5U);
  EXPECT_EQ(Summary.sum(), 15.0);
}

// Guards against averaged quantiles: if one of two threads serves slow
// requests, the mean of the p99 values of both hides them. The quantile of the
// mixture must agree with that of all values.
TEST(LatencySummary, ShardsMergeToTheQuantileOfAllValues) {
  Random Source(7);
  LatencySummary Fast;
  LatencySummary Slow;
  std::vector<double> All;
  for (int Number = 0; Number < 20000; ++Number) {
    const double FastValue = 0.01 - 0.005 * std::log(1 - Source.fraction());
    Fast.record(FastValue, Start);
    All.push_back(FastValue);
    if (Number % 10 != 0)
      continue;
    const double SlowValue = 0.5 + Source.fraction();
    Slow.record(SlowValue, Start);
    All.push_back(SlowValue);
  }
  std::sort(All.begin(), All.end());
  std::vector<QuantilePiece> Pieces;
  Fast.collect(Start, Pieces);
  Slow.collect(Start, Pieces);
  for (const double Probability : {0.5, 0.9, 0.99}) {
    const double Exact = All[static_cast<std::size_t>(
        Probability * static_cast<double>(All.size()))];
    EXPECT_NEAR(mixtureQuantile(Pieces, Probability).value_or(0), Exact,
                0.1 * Exact)
        << Probability;
  }
}

// Guards against stale quantiles: after a slow period, the p99 must not stay at
// the value of that period.
TEST(LatencySummary, OldWindowsAreDiscarded) {
  LatencySummary Summary;
  Summary.record(100, Start);
  const TimePoint Later = Start + LatencySummary::Window;
  Summary.record(1, Later);
  EXPECT_NEAR(quantile(Summary, Later, 0.99), 100, 1e-9);
  const TimePoint Latest = Later + LatencySummary::Window;
  EXPECT_NEAR(quantile(Summary, Latest, 0.99), 1, 1e-9);
  EXPECT_EQ(quantile(Summary, Latest + LatencySummary::Window, 0.99), -1);
  EXPECT_EQ(Summary.count(), 2U);
}

} // namespace
} // namespace coltsfoottrail
