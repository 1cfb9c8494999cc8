/// @file
/// Computes the steps that bring the serving groups to the declared state.
#ifndef COLTSFOOTTRAIL_INTENTS_CONVERGENCE_HPP
#define COLTSFOOTTRAIL_INTENTS_CONVERGENCE_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coltsfoottrail::internal {

/// Which steps converge() may plan.
enum class AllowedSteps : std::uint8_t {
  /// Form groups, stop groups and swap adapters.
  All,
  /// Only form missing groups.
  FormMissingOnly,
  /// No steps; only the missing groups and the capacity are computed.
  ForecastOnly
};

/// @brief The present state, the state to reach and the models and data centres
/// that may be changed.
struct ConvergenceInput {
  /// The agreed state that the plan is based on.
  const State *Now = nullptr;
  /// The declaration that is in force once the plan is confirmed.
  const Declaration *Declared = nullptr;
  /// Drained data centres and hosts once the plan is confirmed.
  std::set<DataCentreName> DrainedDataCentres;
  std::set<HostName> DrainedHosts;
  /// Free hosts that get no group because they are known not to respond.
  std::set<HostName> ExcludedHosts;
  /// Plan steps only for this model and this data centre; all when empty.
  std::optional<ModelName> OnlyModel;
  std::optional<DataCentreName> OnlyDataCentre;
  AllowedSteps Allowed = AllowedSteps::All;
};

/// A model in a data centre.
using SiteKey = std::pair<ModelName, DataCentreName>;

/// @brief The steps and their effect on capacity.
struct ConvergenceResult {
  std::vector<Step> Steps;
  std::vector<CapacityForecast> Forecast;
  /// What is not done, and why; for people.
  std::vector<std::string> WillNotDo;
  /// Models and data centres with fewer groups, including those that running
  /// plans will form, than declared; without drained data centres.
  std::vector<SiteKey> Missing;
};

/// @brief Computes the steps. Has no side effects; thread-safe.
[[nodiscard]] ConvergenceResult converge(const ConvergenceInput &Input);

} // namespace coltsfoottrail::internal

#endif
