/// @file
/// Decides which part of a service's engines each model is to have.
#ifndef COLTSFOOTTRAIL_DIVISION_DIVISION_HPP
#define COLTSFOOTTRAIL_DIVISION_DIVISION_HPP

#include "coltsfoottrail/division/allocation.hpp"
#include "coltsfoottrail/division/offeredload.hpp"
#include "coltsfoottrail/division/types.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace coltsfoottrail {

/// @brief Timing and thresholds of the division.
struct DivisionTimes {
  LoadAverages Averages;
  /// The shares of the configuration apply until the demand has been known for
  /// this long and all work fits, or has been known for
  /// LoadAverages::LevelTime. Until the latter, ranks do not count: a lasting
  /// shortage is not told from the crest of a wave.
  Duration KnownAfter = seconds(3);
  /// How long a model must lack LargeShortage of the engines, which it would
  /// get. A lack of half the size must last four times as long: the mean of
  /// uneven arrivals over a time differs from the truth by chance, by half as
  /// much over four times the time.
  Duration ShortageDelay = milliseconds(1'000);
  double LargeShortage = 0.1;
  /// How long headroom must be uneven; no lack has to last longer.
  Duration ImbalanceDelay = seconds(4);
  /// Engines that a model needs are taken from it only if the work has not fit
  /// for this long: what they are taken for has to outlast the way there and
  /// back, which is MinStay and a warm join.
  Duration YieldDelay = seconds(8);
  /// The work fits again below this part of the engines.
  double FitFraction = 0.95;
  /// Minimum time between two changes.
  Duration MinInterval = seconds(2);
  /// Minimum time between a change of a model's share and one back: a warm
  /// join each way and time to serve in between.
  Duration MinStay = seconds(6);
  /// Least part of the engines that a change must move, in addition to one
  /// group of the model with the smallest groups: if a model lacks engines, and
  /// if headroom is uneven.
  double ShortageFraction = 0.025;
  double ImbalanceFraction = 0.075;
  /// Headroom of models with callers of the most urgent rank, relative to that
  /// of others: the urgent cannot wait until engines have changed over.
  double UrgentHeadroom = 1.5;
};

/// What became of the division in an update.
enum class DivisionOutcome : std::uint8_t {
  /// The demand has not been known for long enough; shares of the
  /// configuration.
  Starting,
  /// The sums are not recent or not complete, the engine declares no speed, or
  /// no engine is usable.
  NotCurrent,
  /// Held by operators.
  Held,
  /// The change is too small, too recent, or soon after another.
  WithinHysteresis,
  Moved
};

/// @brief Text of an outcome for logs: lower-case words joined by hyphens.
[[nodiscard]] std::string_view outcomeText(DivisionOutcome Outcome) noexcept;

/// @brief Explains the share of one model to operators.
struct ModelAccount {
  /// Groups that the offered work occupies; not set while it is not known.
  std::optional<double> OfferedGroups;
  /// Groups that serve the recent work in time; not set while it is not known.
  std::optional<double> NeededGroups;
  /// Fraction of the usable engines.
  double Share = 0.0;
  DivisionOutcome Outcome = DivisionOutcome::Starting;
};

/// @brief Accounts by model.
using DivisionAccount = std::map<ModelName, ModelAccount>;

/// @brief Divides the engines of one service among its models by the work that
/// callers offer. Pure; not thread-safe; times must not go back.
///
/// The load that it answers: the work of one model rises against that of
/// others, for longer than the weights take to load from a host's own copy;
/// engines are lost so that not all work can be served in time. It does not
/// answer what is shorter, nor work that rises and falls for all models alike.
///
/// A change is taken if it moves at least one group of the model with the
/// smallest groups, and ShortageFraction of the engines to a model that lacks
/// them for ShortageDelay or longer, or ImbalanceFraction to one that has less
/// headroom than others for ImbalanceDelay; or if a model has half a group less
/// or more than its limits allow for ShortageDelay. At first only engines move
/// that others do not need; after YieldDelay ranks decide. The first change
/// only needs the size: the groups may be those of an earlier coordinator.
class EngineDivision {
public:
  /// @brief Starts with the shares of the configuration.
  explicit EngineDivision(DivisionTimes Timing = {})
      : Times(Timing), Load(Timing.Averages) {}

  /// @brief Takes the inputs of now and decides. A configuration with other
  /// models or shares starts anew.
  /// @param Input The inputs. Its engine has at least one model, and models
  /// have a size above zero.
  /// @return Targets of all models of the engine.
  EngineTargets update(const DivisionInput &Input, TimePoint Now);

  /// @brief Whether the demand has been known for long enough for the targets
  /// to follow it.
  [[nodiscard]] bool followsDemand() const noexcept { return IsKnown; }
  /// @brief Explanation of the last update, by model.
  [[nodiscard]] const DivisionAccount &account() const noexcept {
    return Account;
  }

private:
  enum class Cause : std::uint8_t { None, Shortage, Imbalance };
  struct Change {
    /// Engines by model, in the configuration's order.
    std::vector<double> Engines;
    Cause Reason = Cause::None;
    /// For Cause::Shortage, engines that a model lacks and would get.
    double Lack = 0.0;
    /// The model that gains most.
    ModelName Gainer;
  };
  struct Streak {
    ModelName Gainer;
    TimePoint Since;
    /// Sum and number of the values of Change::Lack.
    double TotalLack = 0.0;
    int Count = 0;
  };
  struct LastMove {
    TimePoint At;
    bool IsRise = false;
  };

  void restartIfChanged(const EngineProfile &Engine);
  [[nodiscard]] bool recordWork(const DivisionInput &Input, TimePoint Now);
  [[nodiscard]] DivisionOutcome decide(const DivisionInput &Input,
                                       TimePoint Now);
  [[nodiscard]] std::vector<EngineClaim> claims(const DivisionInput &Input,
                                                TimePoint Now) const;
  [[nodiscard]] bool isLevelKnown(TimePoint Now) const {
    return KnownSince && Now - *KnownSince >= Times.Averages.LevelTime;
  }
  /// Whether models have to give up engines that they need.
  [[nodiscard]] bool mustYield(TimePoint Now) const {
    return isLevelKnown(Now) && ShortSince &&
           Now - *ShortSince >= Times.YieldDelay;
  }
  void followShortage(const DivisionInput &Input, TimePoint Now);
  [[nodiscard]] bool isDemandKnown(const DivisionInput &Input,
                                   TimePoint Now) const;
  [[nodiscard]] Change proposal(const DivisionInput &Input,
                                TimePoint Now) const;
  [[nodiscard]] std::vector<EngineClaim>
  recentClaims(const DivisionInput &Input,
               std::vector<EngineClaim> Claims) const;
  void findCause(const DivisionInput &Input,
                 const std::vector<EngineClaim> &Claims,
                 Change &Proposed) const;
  [[nodiscard]] bool hasLasted(const Change &Proposed, double Engines,
                               TimePoint Now);
  [[nodiscard]] bool isTooSoon(const DivisionInput &Input,
                               const Change &Proposed, TimePoint Now) const;
  void apply(const DivisionInput &Input, const Change &Proposed, TimePoint Now);
  [[nodiscard]] EngineTargets targets(const DivisionInput &Input,
                                      bool IsCurrent, DivisionOutcome Outcome);

  DivisionTimes Times;
  OfferedLoad Load;
  std::map<ModelName, double> Configured;
  std::map<ModelName, double> Shares;
  /// Groups that the work of the last update occupies.
  std::map<ModelName, double> Offered;
  std::optional<TimePoint> KnownSince;
  bool IsKnown = false;
  /// Since when the work has not fit.
  std::optional<TimePoint> ShortSince;
  std::optional<Streak> Shortage;
  std::optional<Streak> Imbalance;
  std::optional<TimePoint> ChangedAt;
  std::map<ModelName, LastMove> LastMoves;
  DivisionAccount Account;
};

} // namespace coltsfoottrail

#endif
