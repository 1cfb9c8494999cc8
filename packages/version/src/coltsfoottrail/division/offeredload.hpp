/// @file
/// Averages of the offered work of each model, and what moves all of them.
#ifndef COLTSFOOTTRAIL_DIVISION_OFFEREDLOAD_HPP
#define COLTSFOOTTRAIL_DIVISION_OFFEREDLOAD_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/division/fwd.hpp"

#include <map>
#include <optional>

namespace coltsfoottrail {

/// @brief Time constants of the averages.
struct LoadAverages {
  /// A change of the work counts after this.
  Duration RecentTime = milliseconds(500);
  /// A fall counts after this in the work that a model may still need: callers
  /// that pause for a moment return.
  Duration DecayTime = seconds(4);
  /// Time by which the long average lags behind: some load times of weights,
  /// since engines cannot follow a level that changes faster.
  Duration LevelTime = seconds(30);
};

/// @brief Follows the offered work of the models of one service. Pure; not
/// thread-safe; times must not go back.
///
/// Each model has a recent average, one that rises as fast and falls slowly,
/// and a long one. All are proportional to the work, so that a factor on the
/// work of all models is the same factor on all their averages. The long
/// average has two stages, which leave less of a wave than one stage of the
/// same lag.
class OfferedLoad {
public:
  /// @brief Starts without work.
  explicit OfferedLoad(LoadAverages Averages) : Times(Averages) {}

  /// @brief Records the offered work of all models.
  /// @param Work By model, in any unit; not negative.
  void record(const std::map<ModelName, double> &Work, TimePoint Now);

  /// @brief Recent average of a model; zero if it has no work.
  [[nodiscard]] double recent(const ModelName &Model) const;
  /// @brief Recent average of a model without the part of its deviation from
  /// the long average that all models have in common.
  [[nodiscard]] double adjustedRecent(const ModelName &Model) const {
    return adjusted(Model, &Average::Recent);
  }
  /// @brief The same for the average that falls slowly.
  [[nodiscard]] double adjustedPeak(const ModelName &Model) const {
    return adjusted(Model, &Average::Peak);
  }

  /// @brief Long average of a model; zero if it has no work.
  [[nodiscard]] double longTerm(const ModelName &Model) const;

private:
  struct Average {
    double Recent = 0.0;
    /// Falls slowly.
    double Peak = 0.0;
    /// Average of the work, and the long average, which is that of Smoothed.
    double Smoothed = 0.0;
    double Long = 0.0;
  };

  [[nodiscard]] double adjusted(const ModelName &Model,
                                double Average::*Member) const;
  /// The ratio of an average to the long one that is nearest to one; one if
  /// some models are above and others below their long average.
  [[nodiscard]] double commonFactor(double Average::*Member) const;

  LoadAverages Times;
  std::map<ModelName, Average> Models;
  std::optional<TimePoint> StartedAt;
  TimePoint RecordedAt{};
};

} // namespace coltsfoottrail

#endif
