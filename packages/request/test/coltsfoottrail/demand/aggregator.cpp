#include "coltsfoottrail/demand/aggregator.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};
constexpr DemandKey Key{7, 9, 0};
constexpr DemandKey OtherKey{7, 9, 1};

DemandSum demand(double Offered, std::size_t Hosts = 1, Duration Age = {}) {
  DemandRates Rates;
  Rates.Offered = Offered;
  return {{{Key, Rates}}, Hosts, Age};
}

double offered(const DemandSum &Sum) {
  double Result = 0.0;
  for (const DemandRow &Row : Sum.Rows)
    Result += Row.Rates.Offered;
  return Result;
}

TEST(DemandAggregator, SumsByKeyOverReporters) {
  DemandAggregator Aggregator;
  DemandSum Relayed = demand(5.0, 40, milliseconds(600));
  Relayed.Rows.push_back({OtherKey, Relayed.Rows.front().Rates});
  Aggregator.report(HostName("a:1/x"), demand(2.0), Start);
  Aggregator.report(HostName("b:1/x"), Relayed, Start);
  const DemandSum Sum = Aggregator.total(Start + milliseconds(100));
  ASSERT_EQ(Sum.Rows.size(), 2U);
  EXPECT_EQ(Sum.Rows[0].Key, Key);
  EXPECT_EQ(Sum.Rows[0].Rates.Offered, 7.0);
  EXPECT_EQ(Sum.Rows[1].Rates.Offered, 5.0);
  EXPECT_EQ(Sum.Hosts, 41U);
  EXPECT_EQ(Sum.Age, milliseconds(700));
}

TEST(DemandAggregator, NothingReportedIsNoHost) {
  const DemandSum Sum = DemandAggregator().total(Start);
  EXPECT_TRUE(Sum.Rows.empty());
  EXPECT_EQ(Sum.Hosts, 0U);
}

TEST(DemandAggregator, HostsWithoutRequestsAreIncluded) {
  DemandAggregator Aggregator;
  Aggregator.report(HostName("a:1/x"), {{}, 1, {}}, Start);
  EXPECT_EQ(Aggregator.total(Start).Hosts, 1U);
}

TEST(DemandAggregator, NewReportReplacesTheLastOne) {
  DemandAggregator Aggregator;
  Aggregator.report(HostName("a:1/x"), demand(2.0), Start);
  Aggregator.report(HostName("a:1/x"), demand(3.0), Start);
  EXPECT_EQ(offered(Aggregator.total(Start)), 3.0);
}

// Guards against a host that counts twice after a restart under another run
// name.
TEST(DemandAggregator, RestartedHostReplacesItsFormerRun) {
  DemandAggregator Aggregator;
  Aggregator.report(HostName("a:1/x"), demand(2.0), Start);
  Aggregator.report(HostName("a:1/y"), demand(3.0), Start);
  EXPECT_EQ(offered(Aggregator.total(Start)), 3.0);
  EXPECT_EQ(Aggregator.total(Start).Hosts, 1U);
  Aggregator.report(HostName("a:2/y"), demand(1.0), Start);
  EXPECT_EQ(Aggregator.total(Start).Hosts, 2U);
}

// Guards against a report of a former run that arrives late and counts beside
// that of its successor.
TEST(DemandAggregator, LateReportOfAFormerRunCountsOnce) {
  DemandAggregator Aggregator;
  Aggregator.report(HostName("a:1/y"), demand(3.0), Start);
  Aggregator.report(HostName("a:1/x"), demand(2.0), Start);
  EXPECT_EQ(Aggregator.total(Start).Hosts, 1U);
}

// Guards against demand of a host that is cut off and counts for ever.
TEST(DemandAggregator, SilentReporterExpires) {
  DemandAggregator Aggregator;
  Aggregator.report(HostName("a:1/x"), demand(2.0), Start);
  const TimePoint Later = Start + DemandAggregator::ReportLife;
  EXPECT_EQ(Aggregator.total(Later - milliseconds(1)).Hosts, 1U);
  EXPECT_EQ(Aggregator.total(Later).Hosts, 0U);
  EXPECT_TRUE(Aggregator.total(Later).Rows.empty());
  Aggregator.advance(Later);
  EXPECT_EQ(Aggregator.total(Start).Hosts, 0U);
}

// Guards against a relay that wakes and reports what it knew before.
TEST(DemandAggregator, StaleReportIsNotCounted) {
  DemandAggregator Aggregator;
  Aggregator.report(HostName("a:1/x"), demand(2.0), Start);
  Aggregator.report(HostName("a:1/x"),
                    demand(5.0, 40, DemandAggregator::MaxAge), Start);
  EXPECT_EQ(Aggregator.total(Start).Hosts, 0U);
}

// Guards against a host that counts at the coordinator and at its relay.
TEST(DemandAggregator, ForgottenReporterIsNotCounted) {
  DemandAggregator Aggregator;
  Aggregator.report(HostName("a:1/x"), demand(2.0), Start);
  Aggregator.forget(HostName("a:1/x"));
  EXPECT_EQ(Aggregator.total(Start).Hosts, 0U);
}

TEST(DemandAggregator, RelayedSumLeavesOutOtherReporters) {
  DemandAggregator Aggregator;
  Aggregator.report(HostName("a:1/x"), demand(2.0), Start);
  Aggregator.report(HostName("b:1/x"), demand(5.0), Start, ReporterScope::All);
  EXPECT_EQ(offered(Aggregator.total(Start, ReporterScope::Relayed)), 2.0);
  EXPECT_EQ(offered(Aggregator.total(Start)), 7.0);
}

} // namespace

} // namespace coltsfoottrail
