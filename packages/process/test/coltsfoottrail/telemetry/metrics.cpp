#include "coltsfoottrail/telemetry/metrics.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>

namespace coltsfoottrail {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

const TimePoint Now(seconds(1000));

TEST(Metrics, TextFollowsTheFormat) {
  Metrics Registry;
  Registry.add(
      Registry.counter("requests_total", "Requests\nby \\ model.",
                       {{"model", "a\"b\\c\nd"}, {"data_centre", "one"}}),
      3);
  Registry.set(Registry.gauge("waiting", "Waiting."), 2.5);
  const SummaryId Latency = Registry.summary("latency_seconds", "Latency.");
  Registry.record(Latency, milliseconds(250), Now);
  const std::string Text = Registry.prometheusText(Now);
  EXPECT_THAT(Text,
              HasSubstr("# HELP requests_total Requests\\nby \\\\ model.\n"
                        "# TYPE requests_total counter\n"
                        "requests_total{data_centre=\"one\",model="
                        "\"a\\\"b\\\\c\\nd\"} 3\n"));
  EXPECT_THAT(Text, HasSubstr("# TYPE waiting gauge\nwaiting 2.5\n"));
  EXPECT_THAT(Text, HasSubstr("latency_seconds{quantile=\"0.99\"} 0.25\n"
                              "latency_seconds_sum 0.25\n"
                              "latency_seconds_count 1\n"));
}

TEST(Metrics, UpdatesOfSeveralThreadsAreSummed) {
  Metrics Registry;
  const CounterId Count = Registry.counter("count_total", "Count.");
  const SummaryId Latency = Registry.summary("latency_seconds", "Latency.");
  {
    std::vector<std::jthread> Threads;
    for (int Thread = 0; Thread < 20; ++Thread)
      Threads.emplace_back([&] {
        for (int Number = 0; Number < 100; ++Number) {
          Registry.add(Count);
          Registry.record(Latency, milliseconds(1), Now);
        }
      });
  }
  const std::string Text = Registry.prometheusText(Now);
  EXPECT_THAT(Text, HasSubstr("count_total 2000\n"));
  EXPECT_THAT(Text, HasSubstr("latency_seconds_count 2000\n"));
}

// Guards against unbounded label values: a caller that sends a new model name
// in each request would add a permanent series each time, until the entry host
// runs out of memory.
TEST(Metrics, InventedLabelsShareOneSeries) {
  Metrics Registry;
  for (int Number = 0; Number < 1000; ++Number)
    Registry.add(Registry.counter("requests_total", "Requests.",
                                  {{"model", std::to_string(Number)}}));
  const std::string Text = Registry.prometheusText(Now);
  EXPECT_THAT(Text, HasSubstr("requests_total{model=\"254\"} 1\n"));
  EXPECT_THAT(Text, Not(HasSubstr("requests_total{model=\"255\"}")));
  EXPECT_THAT(Text, HasSubstr("requests_total{model=\"other\"} 745\n"));
  EXPECT_THAT(Text,
              HasSubstr("\ncoltsfoottrail_metrics_series_merged_total 745\n"));
}

TEST(Metrics, MisuseIsAnError) {
  Metrics Registry;
  (void)Registry.counter("count_total", "Count.", {{"a", "1"}});
  EXPECT_THROW((void)Registry.gauge("count_total", "Count."), Error);
  EXPECT_THROW((void)Registry.counter("count_total", "Count.", {{"b", "1"}}),
               Error);
  EXPECT_THROW((void)Registry.counter("count-total", "Count."), Error);
  EXPECT_THROW((void)Registry.counter("other_total", "Count.", {{"a b", "1"}}),
               Error);
}

TEST(Metrics, GaugesAreRefreshedBeforeAScrape) {
  Metrics Registry;
  const GaugeId Waiting = Registry.gauge("waiting", "Waiting.");
  Registry.onScrape([&] { Registry.set(Waiting, 7); });
  EXPECT_THAT(Registry.prometheusText(Now), HasSubstr("\nwaiting 7\n"));
}

} // namespace
} // namespace coltsfoottrail
