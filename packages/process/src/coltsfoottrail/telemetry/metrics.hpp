/// @file
/// Counters, gauges and latency summaries in the Prometheus text format.
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

/// Handle of a counter series.
struct CounterId {
  std::uint32_t Index = 0;
};
/// Handle of a gauge series.
struct GaugeId {
  std::uint32_t Index = 0;
};
/// Handle of a latency summary series.
struct SummaryId {
  std::uint32_t Index = 0;
};

/// @brief Registry of the process's metrics.
///
/// Thread-safe. Counters and summaries are spread over shards, each with its
/// own lock; a thread always uses the same shard, and a scrape merges them.
/// Gauges are rarely set and share the lock of the registry.
///
/// Failure guarded against: callers send ever new label values (models that do
/// not exist) until the registry exhausts the memory. Each family has at most
/// MaxSeries (MaxSummarySeries) series; later ones share one whose label values
/// are "other", and coltsfoottrail_metrics_series_merged_total counts them.
class Metrics {
public:
  /// Maximum number of series of a family.
  static constexpr std::size_t MaxSeries = 256;
  /// Maximum number of series of a summary family, which need some kilobytes
  /// each.
  static constexpr std::size_t MaxSummarySeries = 64;
  /// Maximum length of a label value; longer ones are truncated.
  static constexpr std::size_t MaxLabelBytes = 128;

  Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;
  ~Metrics();

  /// @brief Finds or creates a counter. Keep the handle rather than look it up
  /// for each update.
  /// @param Name Name of the family: letters, digits and underscores.
  /// @param Help One sentence for the HELP line.
  /// @param Labels Labels of the series, with the same keys in all series of a
  /// family.
  /// @return Handle of the series.
  /// @throws Error The name or a key is malformed, or the family has another
  /// type or other label keys.
  [[nodiscard]] CounterId counter(std::string_view Name, std::string_view Help,
                                  std::vector<Label> Labels = {});
  /// @brief Finds or creates a gauge; see counter().
  [[nodiscard]] GaugeId gauge(std::string_view Name, std::string_view Help,
                              std::vector<Label> Labels = {});
  /// @brief Finds or creates a latency summary, exported in seconds; see
  /// counter().
  [[nodiscard]] SummaryId summary(std::string_view Name, std::string_view Help,
                                  std::vector<Label> Labels = {});

  /// @brief Adds to a counter.
  /// @param Id The series.
  /// @param Amount Increment.
  void add(CounterId Id, std::uint64_t Amount = 1);
  /// @brief Sets a gauge.
  /// @param Id The series.
  /// @param Value The new value.
  void set(GaugeId Id, double Value);
  /// @brief Records a latency.
  /// @param Id The series.
  /// @param Latency The latency.
  /// @param Now The current time.
  void record(SummaryId Id, Duration Latency, TimePoint Now);

  /// @brief Registers a callback that updates metrics before each scrape.
  /// @param Refresh The callback. It may call set() and add() but not
  /// onScrape(); everything it refers to must outlive the registry's last
  /// scrape.
  void onScrape(std::function<void()> Refresh);

  /// @brief Formats all metrics in the Prometheus text format 0.0.4.
  /// @param Now The current time, for the summaries' windows.
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
  [[nodiscard]] Shard &threadShard() const;

  mutable std::mutex Mutex;
  std::map<std::string, Family, std::less<>> Families;
  std::array<std::uint32_t, 3> NextIndex{};
  std::vector<double> Gauges;
  std::vector<std::function<void()>> ScrapeCallbacks;
  std::unique_ptr<std::array<Shard, ShardCount>> Shards;
};

} // namespace coltsfoottrail

#endif
