#include "coltsfoottrail/telemetry/metrics.hpp"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cmath>

namespace coltsfoottrail {

namespace {

constexpr std::string_view MergedSeriesName =
    "coltsfoottrail_metrics_series_merged_total";
constexpr std::string_view OtherValue = "other";
constexpr std::size_t CacheLine = 64;

struct ExportedQuantile {
  double Probability;
  std::string_view Text;
};
constexpr std::array<ExportedQuantile, 3> Quantiles = {
    {{0.5, "0.5"}, {0.9, "0.9"}, {0.99, "0.99"}}};

bool isLetter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') || Character == '_';
}

bool isMetricName(std::string_view Text) {
  return !Text.empty() && isLetter(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), [](char Character) {
           return isLetter(Character) || (Character >= '0' && Character <= '9');
         });
}

void appendEscaped(std::string &Output, std::string_view Text, bool InQuotes) {
  for (const char Character : Text) {
    if (Character == '\n')
      Output += "\\n";
    else if (Character == '\\')
      Output += "\\\\";
    else if (Character == '"' && InQuotes)
      Output += "\\\"";
    else
      Output += Character;
  }
}

void appendNumber(std::string &Output, double Value) {
  if (std::isnan(Value)) {
    Output += "NaN";
    return;
  }
  if (std::isinf(Value)) {
    Output += Value > 0 ? "+Inf" : "-Inf";
    return;
  }
  std::array<char, 32> Text{};
  const auto End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Value).ptr;
  Output.append(Text.data(), End);
}

void appendLabel(std::string &Output, std::string_view Key,
                 std::string_view Value) {
  Output += Output.back() == '{' ? "" : ",";
  Output += Key;
  Output += "=\"";
  appendEscaped(Output, Value, true);
  Output += '"';
}

void appendName(std::string &Output, std::string_view Name,
                std::string_view Suffix, const std::vector<Label> &Labels,
                std::string_view Quantile = {}) {
  Output += Name;
  Output += Suffix;
  if (Labels.empty() && Quantile.empty())
    return;
  Output += '{';
  for (const Label &Item : Labels)
    appendLabel(Output, Item.Key, Item.Value);
  if (!Quantile.empty())
    appendLabel(Output, "quantile", Quantile);
  Output += '}';
}

void appendSample(std::string &Output, double Value) {
  Output += ' ';
  appendNumber(Output, Value);
  Output += '\n';
}

bool sameKeys(const std::vector<Label> &Left, const std::vector<Label> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const Label &LeftLabel, const Label &RightLabel) {
                      return LeftLabel.Key == RightLabel.Key;
                    });
}

void normalizeLabels(std::vector<Label> &Labels, std::size_t MaxBytes) {
  std::sort(Labels.begin(), Labels.end());
  for (Label &Item : Labels) {
    if (!isMetricName(Item.Key))
      throw Error("the metric label \"" + Item.Key + "\" is malformed");
    if (Item.Value.size() > MaxBytes)
      Item.Value.resize(MaxBytes);
  }
}

} // namespace

struct alignas(CacheLine) Metrics::Shard {
  std::mutex Mutex;
  std::vector<std::uint64_t> Counters;
  std::vector<std::unique_ptr<LatencySummary>> Summaries;
};

struct Metrics::Merged {
  struct Summary {
    std::vector<QuantilePiece> Pieces;
    std::uint64_t Count = 0;
    double Sum = 0;
  };
  std::vector<std::uint64_t> Counters;
  std::vector<Summary> Summaries;
};

Metrics::Metrics() : Shards(std::make_unique<std::array<Shard, ShardCount>>()) {
  (void)counter(MergedSeriesName,
                "Label sets that share a series because there are too many.");
}

Metrics::~Metrics() = default;

Metrics::Shard &Metrics::threadShard() const {
  static std::atomic<std::size_t> NextThreadNumber = 0;
  thread_local const std::size_t ThreadNumber = NextThreadNumber++;
  return (*Shards)[ThreadNumber % ShardCount];
}

std::uint32_t Metrics::newIndex(Type Kind) {
  return NextIndex.at(static_cast<std::size_t>(Kind))++;
}

std::uint32_t Metrics::series(Type Kind, std::string_view Name,
                              std::string_view Help,
                              std::vector<Label> Labels) {
  if (!isMetricName(Name))
    throw Error("the metric name \"" + std::string(Name) + "\" is malformed");
  normalizeLabels(Labels, MaxLabelBytes);
  const std::lock_guard Lock(Mutex);
  Family &FamilyEntry =
      Families
          .try_emplace(std::string(Name), Family{Kind, std::string(Help), {}})
          .first->second;
  if (FamilyEntry.Kind != Kind)
    throw Error("the metric \"" + std::string(Name) + "\" is of another type");
  if (!FamilyEntry.Series.empty() &&
      !sameKeys(FamilyEntry.Series.begin()->first, Labels))
    throw Error("the metric \"" + std::string(Name) + "\" has other labels");
  if (const auto Existing = FamilyEntry.Series.find(Labels);
      Existing != FamilyEntry.Series.end())
    return Existing->second;
  const std::size_t Limit =
      Kind == Type::Summary ? MaxSummarySeries : MaxSeries;
  if (FamilyEntry.Series.size() + 1 >= Limit) {
    add(CounterId{Families.find(MergedSeriesName)->second.Series.at({})});
    for (Label &Replaced : Labels)
      Replaced.Value = OtherValue;
  }
  const auto [Entry, IsNew] =
      FamilyEntry.Series.try_emplace(std::move(Labels), 0);
  if (IsNew)
    Entry->second = newIndex(Kind);
  if (IsNew && Kind == Type::Gauge)
    Gauges.resize(Entry->second + 1);
  return Entry->second;
}

CounterId Metrics::counter(std::string_view Name, std::string_view Help,
                           std::vector<Label> Labels) {
  return CounterId{series(Type::Counter, Name, Help, std::move(Labels))};
}

GaugeId Metrics::gauge(std::string_view Name, std::string_view Help,
                       std::vector<Label> Labels) {
  return GaugeId{series(Type::Gauge, Name, Help, std::move(Labels))};
}

SummaryId Metrics::summary(std::string_view Name, std::string_view Help,
                           std::vector<Label> Labels) {
  return SummaryId{series(Type::Summary, Name, Help, std::move(Labels))};
}

void Metrics::add(CounterId Id, std::uint64_t Amount) {
  Shard &OwnShard = threadShard();
  const std::lock_guard Lock(OwnShard.Mutex);
  if (OwnShard.Counters.size() <= Id.Index)
    OwnShard.Counters.resize(Id.Index + 1);
  OwnShard.Counters[Id.Index] += Amount;
}

void Metrics::set(GaugeId Id, double Value) {
  const std::lock_guard Lock(Mutex);
  Gauges.at(Id.Index) = Value;
}

void Metrics::record(SummaryId Id, Duration Latency, TimePoint Now) {
  const double InSeconds = std::chrono::duration<double>(Latency).count();
  Shard &OwnShard = threadShard();
  const std::lock_guard Lock(OwnShard.Mutex);
  if (OwnShard.Summaries.size() <= Id.Index)
    OwnShard.Summaries.resize(Id.Index + 1);
  if (!OwnShard.Summaries[Id.Index])
    OwnShard.Summaries[Id.Index] = std::make_unique<LatencySummary>();
  OwnShard.Summaries[Id.Index]->record(InSeconds, Now);
}

void Metrics::onScrape(std::function<void()> Refresh) {
  const std::lock_guard Lock(Mutex);
  ScrapeCallbacks.push_back(std::move(Refresh));
}

Metrics::Merged Metrics::merge(TimePoint Now) const {
  Merged Result;
  Result.Counters.resize(NextIndex.at(static_cast<std::size_t>(Type::Counter)));
  Result.Summaries.resize(
      NextIndex.at(static_cast<std::size_t>(Type::Summary)));
  for (Shard &Source : *Shards) {
    const std::lock_guard Lock(Source.Mutex);
    for (std::size_t Index = 0; Index < Source.Counters.size(); ++Index)
      Result.Counters[Index] += Source.Counters[Index];
    for (std::size_t Index = 0; Index < Source.Summaries.size(); ++Index) {
      if (!Source.Summaries[Index])
        continue;
      Merged::Summary &Total = Result.Summaries[Index];
      Source.Summaries[Index]->collect(Now, Total.Pieces);
      Total.Count += Source.Summaries[Index]->count();
      Total.Sum += Source.Summaries[Index]->sum();
    }
  }
  return Result;
}

std::string Metrics::prometheusText(TimePoint Now) const {
  std::vector<std::function<void()>> Callbacks;
  {
    const std::lock_guard Lock(Mutex);
    Callbacks = ScrapeCallbacks;
  }
  for (const auto &Callback : Callbacks)
    Callback();
  constexpr std::array<std::string_view, 3> TypeWords = {"counter", "gauge",
                                                         "summary"};
  const std::lock_guard Lock(Mutex);
  const Merged Totals = merge(Now);
  std::string Output;
  for (const auto &[Name, FamilyEntry] : Families) {
    Output += "# HELP " + Name + " ";
    appendEscaped(Output, FamilyEntry.Help, false);
    Output += "\n# TYPE " + Name + " ";
    Output += TypeWords.at(static_cast<std::size_t>(FamilyEntry.Kind));
    Output += '\n';
    for (const auto &[Labels, Index] : FamilyEntry.Series) {
      if (FamilyEntry.Kind == Type::Summary) {
        const Merged::Summary &Total = Totals.Summaries[Index];
        for (const ExportedQuantile &Quantile : Quantiles) {
          appendName(Output, Name, "", Labels, Quantile.Text);
          appendSample(Output,
                       mixtureQuantile(Total.Pieces, Quantile.Probability)
                           .value_or(std::nan("")));
        }
        appendName(Output, Name, "_sum", Labels);
        appendSample(Output, Total.Sum);
        appendName(Output, Name, "_count", Labels);
        appendSample(Output, static_cast<double>(Total.Count));
        continue;
      }
      appendName(Output, Name, "", Labels);
      appendSample(Output, FamilyEntry.Kind == Type::Counter
                               ? static_cast<double>(Totals.Counters[Index])
                               : Gauges[Index]);
    }
  }
  return Output;
}

} // namespace coltsfoottrail
