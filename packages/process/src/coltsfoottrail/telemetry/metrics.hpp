/// @file
/// Counters, gauges and latency summaries, shown as Prometheus text.
#ifndef COLTSFOOTTRAIL_TELEMETRY_METRICS_HPP
#define COLTSFOOTTRAIL_TELEMETRY_METRICS_HPP

#include "coltsfoottrail/core/error.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/telemetry/fwd.hpp"
#include "coltsfoottrail/telemetry/summary.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace coltsfoottrail {

/// @brief A label of a series.
struct Label {
  std::string Key;
  std::string Value;
  [[nodiscard]] friend bool operator<(const Label &Left, const Label &Right) {
    return std::tie(Left.Key, Left.Value) < std::tie(Right.Key, Right.Value);
  }
};

/// A monotonic count of one series.
struct CounterId {
  std::uint32_t Index = 0;
};
/// A value of one series that goes up and down.
struct GaugeId {
  std::uint32_t Index = 0;
};
/// Latencies of one series.
struct SummaryId {
  std::uint32_t Index = 0;
};

/// @brief Registry of the process's metrics.
///
/// Thread-safe. Counters and summaries are spread over shards, each under its
/// own lock; a thread always uses the same shard, and a scrape merges them.
/// Gauges are rarely set and stand under the lock of the registry.
///
/// Failure guarded against: callers invent label values (models that do not
/// exist) until the registry fills the memory. Each family has at most
/// MaxSeries (MaxSummarySeries) series; later ones share one whose label values
/// are "other", and coltsfoottrail_metrics_series_merged_total counts them.
class Metrics {
public:
  /// Most series of a family.
  static constexpr std::size_t MaxSeries = 256;
  /// Most series of a family of summaries, which need some kilobytes each.
  static constexpr std::size_t MaxSummarySeries = 64;
  /// Longest label value; longer ones are cut.
  static constexpr std::size_t MaxLabelBytes = 128;

  Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;
  ~Metrics();

  /// @brief Finds or makes a counter. Keep the answer rather than ask for each
  /// update.
  /// @param Name Name of the family: letters, digits and underscores.
  /// @param Help One sentence.
  /// @param Labels Labels of the series, with the same keys in all series of a
  /// family.
  /// @return The series.
  /// @throws Error The name or a key is malformed, or the family is of another
  /// type.
  [[nodiscard]] CounterId counter(std::string_view Name, std::string_view Help,
                                  std::vector<Label> Labels = {});
  /// @brief Finds or makes a gauge; see counter().
  [[nodiscard]] GaugeId gauge(std::string_view Name, std::string_view Help,
                              std::vector<Label> Labels = {});
  /// @brief Finds or makes a summary, in seconds; see counter().
  [[nodiscard]] SummaryId summary(std::string_view Name, std::string_view Help,
                                  std::vector<Label> Labels = {});

  /// @brief Adds to a counter.
  /// @param Which The series.
  /// @param Amount How much.
  void add(CounterId Which, std::uint64_t Amount = 1);
  /// @brief Sets a gauge.
  /// @param Which The series.
  /// @param Value Its value.
  void set(GaugeId Which, double Value);
  /// @brief Takes a latency.
  /// @param Which The series.
  /// @param Latency How long it took.
  /// @param Now The time.
  void record(SummaryId Which, Duration Latency, TimePoint Now);

  /// @brief Registers a function that sets gauges, run before each scrape.
  /// @param Refresh Must not register metrics' callbacks; may use set() and
  /// add(). What it refers to must outlive the registry's last scrape.
  void onScrape(std::function<void()> Refresh);

  /// @brief Shows all metrics in the Prometheus text format 0.0.4.
  /// @param Now The time, for the summaries' windows.
  [[nodiscard]] std::string prometheusText(TimePoint Now) const;

private:
  enum class Type : std::uint8_t { Counter, Gauge, Summary };
  struct Family {
    Type Kind = Type::Counter;
    std::string Help;
    std::map<std::vector<Label>, std::uint32_t> Series;
  };
  struct Shard;
  struct Merged;
  static constexpr std::size_t ShardCount = 16;

  [[nodiscard]] std::uint32_t series(Type Kind, std::string_view Name,
                                     std::string_view Help,
                                     std::vector<Label> Labels);
  [[nodiscard]] std::uint32_t newIndex(Type Kind);
  [[nodiscard]] Merged merge(TimePoint Now) const;
  [[nodiscard]] Shard &ownShard() const;

  mutable std::mutex Mutex;
  std::map<std::string, Family, std::less<>> Families;
  std::array<std::uint32_t, 3> NextIndex{};
  std::vector<double> Gauges;
  std::vector<std::function<void()>> Refreshers;
  std::unique_ptr<std::array<Shard, ShardCount>> Shards;
};

} // namespace coltsfoottrail

#endif
