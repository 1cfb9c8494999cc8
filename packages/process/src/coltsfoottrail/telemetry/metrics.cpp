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

struct ShownQuantile {
  double Probability;
  std::string_view Text;
};
constexpr std::array<ShownQuantile, 3> Quantiles = {
    {{0.5, "0.5"}, {0.9, "0.9"}, {0.99, "0.99"}}};

bool isLetter(char Letter) {
  return (Letter >= 'a' && Letter <= 'z') || (Letter >= 'A' && Letter <= 'Z') ||
         Letter == '_';
}

bool isMetricName(std::string_view Text) {
  return !Text.empty() && isLetter(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), [](char Letter) {
           return isLetter(Letter) || (Letter >= '0' && Letter <= '9');
         });
}

void appendEscaped(std::string &Out, std::string_view Text, bool InQuotes) {
  for (const char Letter : Text) {
    if (Letter == '\n')
      Out += "\\n";
    else if (Letter == '\\')
      Out += "\\\\";
    else if (Letter == '"' && InQuotes)
      Out += "\\\"";
    else
      Out += Letter;
  }
}

void appendNumber(std::string &Out, double Value) {
  if (std::isnan(Value)) {
    Out += "NaN";
    return;
  }
  if (std::isinf(Value)) {
    Out += Value > 0 ? "+Inf" : "-Inf";
    return;
  }
  std::array<char, 32> Text{};
  const auto End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Value).ptr;
  Out.append(Text.data(), End);
}

void appendLabel(std::string &Out, std::string_view Key,
                 std::string_view Value) {
  Out += Out.back() == '{' ? "" : ",";
  Out += Key;
  Out += "=\"";
  appendEscaped(Out, Value, true);
  Out += '"';
}

void appendName(std::string &Out, std::string_view Name,
                std::string_view Suffix, const std::vector<Label> &Labels,
                std::string_view Quantile = {}) {
  Out += Name;
  Out += Suffix;
  if (Labels.empty() && Quantile.empty())
    return;
  Out += '{';
  for (const Label &Each : Labels)
    appendLabel(Out, Each.Key, Each.Value);
  if (!Quantile.empty())
    appendLabel(Out, "quantile", Quantile);
  Out += '}';
}

void appendSample(std::string &Out, double Value) {
  Out += ' ';
  appendNumber(Out, Value);
  Out += '\n';
}

bool sameKeys(const std::vector<Label> &Left, const std::vector<Label> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const Label &One, const Label &Other) {
                      return One.Key == Other.Key;
                    });
}

void cutLabels(std::vector<Label> &Labels, std::size_t MaxBytes) {
  std::sort(Labels.begin(), Labels.end());
  for (Label &Each : Labels) {
    if (!isMetricName(Each.Key))
      throw Error("the metric label \"" + Each.Key + "\" is malformed");
    if (Each.Value.size() > MaxBytes)
      Each.Value.resize(MaxBytes);
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

Metrics::Shard &Metrics::ownShard() const {
  static std::atomic<std::size_t> NextThread = 0;
  thread_local const std::size_t Thread = NextThread++;
  return (*Shards)[Thread % ShardCount];
}

std::uint32_t Metrics::newIndex(Type Kind) {
  return NextIndex.at(static_cast<std::size_t>(Kind))++;
}

std::uint32_t Metrics::series(Type Kind, std::string_view Name,
                              std::string_view Help,
                              std::vector<Label> Labels) {
  if (!isMetricName(Name))
    throw Error("the metric name \"" + std::string(Name) + "\" is malformed");
  cutLabels(Labels, MaxLabelBytes);
  const std::lock_guard Lock(Mutex);
  Family &Its =
      Families
          .try_emplace(std::string(Name), Family{Kind, std::string(Help), {}})
          .first->second;
  if (Its.Kind != Kind)
    throw Error("the metric \"" + std::string(Name) + "\" is of another type");
  if (!Its.Series.empty() && !sameKeys(Its.Series.begin()->first, Labels))
    throw Error("the metric \"" + std::string(Name) + "\" has other labels");
  if (const auto Found = Its.Series.find(Labels); Found != Its.Series.end())
    return Found->second;
  const std::size_t Bound =
      Kind == Type::Summary ? MaxSummarySeries : MaxSeries;
  if (Its.Series.size() + 1 >= Bound) {
    add(CounterId{Families.find(MergedSeriesName)->second.Series.at({})});
    for (Label &Each : Labels)
      Each.Value = OtherValue;
  }
  const auto [Entry, New] = Its.Series.try_emplace(std::move(Labels), 0);
  if (New)
    Entry->second = newIndex(Kind);
  if (New && Kind == Type::Gauge)
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

void Metrics::add(CounterId Which, std::uint64_t Amount) {
  Shard &Own = ownShard();
  const std::lock_guard Lock(Own.Mutex);
  if (Own.Counters.size() <= Which.Index)
    Own.Counters.resize(Which.Index + 1);
  Own.Counters[Which.Index] += Amount;
}

void Metrics::set(GaugeId Which, double Value) {
  const std::lock_guard Lock(Mutex);
  Gauges.at(Which.Index) = Value;
}

void Metrics::record(SummaryId Which, Duration Latency, TimePoint Now) {
  const double InSeconds = std::chrono::duration<double>(Latency).count();
  Shard &Own = ownShard();
  const std::lock_guard Lock(Own.Mutex);
  if (Own.Summaries.size() <= Which.Index)
    Own.Summaries.resize(Which.Index + 1);
  if (!Own.Summaries[Which.Index])
    Own.Summaries[Which.Index] = std::make_unique<LatencySummary>();
  Own.Summaries[Which.Index]->record(InSeconds, Now);
}

void Metrics::onScrape(std::function<void()> Refresh) {
  const std::lock_guard Lock(Mutex);
  Refreshers.push_back(std::move(Refresh));
}

Metrics::Merged Metrics::merge(TimePoint Now) const {
  Merged Out;
  Out.Counters.resize(NextIndex.at(static_cast<std::size_t>(Type::Counter)));
  Out.Summaries.resize(NextIndex.at(static_cast<std::size_t>(Type::Summary)));
  for (Shard &Each : *Shards) {
    const std::lock_guard Lock(Each.Mutex);
    for (std::size_t Index = 0; Index < Each.Counters.size(); ++Index)
      Out.Counters[Index] += Each.Counters[Index];
    for (std::size_t Index = 0; Index < Each.Summaries.size(); ++Index) {
      if (!Each.Summaries[Index])
        continue;
      Merged::Summary &Into = Out.Summaries[Index];
      Each.Summaries[Index]->collect(Now, Into.Pieces);
      Into.Count += Each.Summaries[Index]->count();
      Into.Sum += Each.Summaries[Index]->sum();
    }
  }
  return Out;
}

std::string Metrics::prometheusText(TimePoint Now) const {
  std::vector<std::function<void()>> Refresh;
  {
    const std::lock_guard Lock(Mutex);
    Refresh = Refreshers;
  }
  for (const auto &Each : Refresh)
    Each();
  constexpr std::array<std::string_view, 3> TypeWords = {"counter", "gauge",
                                                         "summary"};
  const std::lock_guard Lock(Mutex);
  const Merged All = merge(Now);
  std::string Out;
  for (const auto &[Name, Its] : Families) {
    Out += "# HELP " + Name + " ";
    appendEscaped(Out, Its.Help, false);
    Out += "\n# TYPE " + Name + " ";
    Out += TypeWords.at(static_cast<std::size_t>(Its.Kind));
    Out += '\n';
    for (const auto &[Labels, Index] : Its.Series) {
      if (Its.Kind == Type::Summary) {
        const Merged::Summary &Summed = All.Summaries[Index];
        for (const ShownQuantile &Each : Quantiles) {
          appendName(Out, Name, "", Labels, Each.Text);
          appendSample(Out, mixtureQuantile(Summed.Pieces, Each.Probability)
                                .value_or(std::nan("")));
        }
        appendName(Out, Name, "_sum", Labels);
        appendSample(Out, Summed.Sum);
        appendName(Out, Name, "_count", Labels);
        appendSample(Out, static_cast<double>(Summed.Count));
        continue;
      }
      appendName(Out, Name, "", Labels);
      appendSample(Out, Its.Kind == Type::Counter
                            ? static_cast<double>(All.Counters[Index])
                            : Gauges[Index]);
    }
  }
  return Out;
}

} // namespace coltsfoottrail
