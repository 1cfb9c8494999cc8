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
  /// How long a model must lack engines that it would get.
  Duration ShortageDelay = milliseconds(1'000);
  /// How long headroom must be uneven while no model lacks engines.
  Duration ImbalanceDelay = seconds(4);
  /// Minimum time between two changes.
  Duration MinInterval = seconds(2);
  /// Minimum time between a change of a model's share and one back: a warm
  /// join each way and time to serve in between.
  Duration MinStay = seconds(6);
  /// Least part of the engines that a change must move if a model lacks
  /// engines, in addition to half a group of that model; and if headroom is
  /// uneven, in addition to one group of the model with the smallest groups.
  double ShortageFraction = 0.0125;
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
/// A change is taken if it moves half a group and ShortageFraction of the
/// engines to a model that has fewer than it needs (ShortageDelay); or one
/// group of the model with the smallest groups and ImbalanceFraction to a model
/// that has less headroom than others (ImbalanceDelay); or if a model has half
/// a group less or more than its limits allow (ShortageDelay). The first change
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
    /// The model that gains most.
    ModelName Gainer;
  };
  struct Streak {
    ModelName Gainer;
    TimePoint Since;
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
  [[nodiscard]] bool isDemandKnown(const DivisionInput &Input,
                                   TimePoint Now) const;
  [[nodiscard]] Change proposal(const DivisionInput &Input,
                                TimePoint Now) const;
  [[nodiscard]] Cause causeOf(const DivisionInput &Input,
                              const std::vector<EngineClaim> &Claims,
                              const std::vector<double> &Engines) const;
  [[nodiscard]] bool hasLasted(const Change &Proposed, TimePoint Now);
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
  std::optional<Streak> Shortage;
  std::optional<Streak> Imbalance;
  std::optional<TimePoint> ChangedAt;
  std::map<ModelName, LastMove> LastMoves;
  DivisionAccount Account;
};

} // namespace coltsfoottrail

#endif
