#include "coltsfoottrail/division/offeredload.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace coltsfoottrail {

namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of a value that lasted for a time in an exponential average.
double weightOf(Duration Elapsed, Duration TimeConstant) {
  return 1.0 - std::exp(-Seconds(Elapsed) / Seconds(TimeConstant));
}

} // namespace

void OfferedLoad::record(const std::map<ModelName, double> &Work,
                         TimePoint Now) {
  const bool IsFirst = !StartedAt;
  if (IsFirst)
    StartedAt = Now;
  const Duration Elapsed = IsFirst ? Duration{} : Now - RecordedAt;
  const Duration Known = Now - *StartedAt;
  RecordedAt = Now;
  const bool IsMean = Known < Times.LevelTime;
  double LongWeight = weightOf(Elapsed, Times.LevelTime / 2);
  if (IsMean)
    LongWeight = IsFirst ? 1.0 : Seconds(Elapsed) / Seconds(Known);
  for (const auto &[Model, Value] : Work) {
    Average &Entry = Models[Model];
    const double RecentWeight =
        IsFirst ? 1.0 : weightOf(Elapsed, Times.RecentTime);
    const double FallWeight =
        IsFirst ? 1.0 : weightOf(Elapsed, Times.DecayTime);
    Entry.Recent = std::lerp(Entry.Recent, Value, RecentWeight);
    Entry.Peak =
        std::max(Entry.Recent, std::lerp(Entry.Peak, Value, FallWeight));
    Entry.Smoothed = std::lerp(Entry.Smoothed, Value, LongWeight);
    Entry.Long = IsMean ? Entry.Smoothed
                        : std::lerp(Entry.Long, Entry.Smoothed, LongWeight);
  }
}

double OfferedLoad::recent(const ModelName &Model) const {
  const auto It = Models.find(Model);
  return It == Models.end() ? 0.0 : It->second.Recent;
}

double OfferedLoad::longTerm(const ModelName &Model) const {
  const auto It = Models.find(Model);
  return It == Models.end() ? 0.0 : It->second.Long;
}

double OfferedLoad::adjusted(const ModelName &Model,
                             double Average::*Member) const {
  const auto It = Models.find(Model);
  return It == Models.end() ? 0.0 : It->second.*Member / commonFactor(Member);
}

double OfferedLoad::commonFactor(double Average::*Member) const {
  std::optional<double> Lowest;
  std::optional<double> Highest;
  for (const auto &[Model, Entry] : Models) {
    if (Entry.Long <= 0.0 || Entry.*Member <= 0.0)
      continue;
    const double Ratio = Entry.*Member / Entry.Long;
    Lowest = std::min(Lowest.value_or(Ratio), Ratio);
    Highest = std::max(Highest.value_or(Ratio), Ratio);
  }
  if (!Lowest || !Highest)
    return 1.0;
  return std::clamp(1.0, *Lowest, *Highest);
}

} // namespace coltsfoottrail
