/// @file
/// The steps between the groups that there are and those that are wanted.
#ifndef COLTSFOOTTRAIL_INTENTS_CONVERGENCE_HPP
#define COLTSFOOTTRAIL_INTENTS_CONVERGENCE_HPP

#include "coltsfoottrail/fold/state.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace coltsfoottrail::internal {

/// What a convergence may do to groups that are there.
enum class Extent : std::uint8_t {
  /// Form, stop and swap.
  Whole,
  /// Only form what is missing.
  MissingOnly,
  /// No steps; only work out the capacity.
  ForecastOnly
};

/// @brief Where to get to, and which models and data centres to touch.
struct Aim {
  const State *Now = nullptr;
  /// What is declared once the plan is confirmed.
  const Declaration *Declared = nullptr;
  std::set<DataCentreName> DrainedDataCentres;
  std::set<HostName> DrainedHosts;
  /// Free hosts that get no group: they are known not to answer.
  std::set<HostName> Avoided;
  std::optional<ModelName> OnlyModel;
  std::optional<DataCentreName> OnlyDataCentre;
  Extent May = Extent::Whole;
};

/// A model in a data centre.
using SiteKey = std::pair<ModelName, DataCentreName>;

/// @brief Steps with what they do to capacity.
struct Course {
  std::vector<Step> Steps;
  std::vector<CapacityForecast> Forecast;
  std::vector<std::string> WillNotDo;
  /// Models and data centres with fewer groups there or about to be formed than
  /// are wanted, data centres that are drained left out.
  std::vector<SiteKey> Missing;
};

/// @brief Works out the steps. Pure; thread-safe.
[[nodiscard]] Course converge(const Aim &Towards);

} // namespace coltsfoottrail::internal

#endif
