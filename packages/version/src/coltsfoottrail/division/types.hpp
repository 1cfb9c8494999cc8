/// @file
/// Inputs and result of the division of a service's engines among its models.
#ifndef COLTSFOOTTRAIL_DIVISION_TYPES_HPP
#define COLTSFOOTTRAIL_DIVISION_TYPES_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/division/fwd.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace coltsfoottrail {

struct EngineProfile;

/// @brief Work that callers offer to the groups of one model, over all entry
/// hosts.
struct ModelDemand {
  /// Tokens per second of the prompts, and expected of the answers.
  double PromptTokens = 0.0;
  double AnswerTokens = 0.0;
  /// The most urgent rank that makes up a substantial part of it; zero is the
  /// most urgent.
  std::uint32_t Rank = 0;
};

/// @brief Bounds that operators set on the groups of a model.
struct ModelLimits {
  std::uint32_t MinGroups = 0;
  std::uint32_t MaxGroups = std::numeric_limits<std::uint32_t>::max();
};

/// @brief What the division depends on.
struct DivisionInput {
  const EngineProfile &Engine;
  /// Engines that can serve.
  double UsableEngines = 0.0;
  /// Sums over all entry hosts; a model without an entry has no demand.
  const std::map<ModelName, ModelDemand> &Demand;
  /// Whether the sums are recent and include all entry hosts. Otherwise the
  /// division stays as it is.
  bool IsCurrent = false;
  /// Bounds by model; none for a model without an entry.
  const std::map<ModelName, ModelLimits> &Limits;
  /// Whether operators keep the division as it is.
  bool IsHeld = false;
};

/// @brief The part of the engines that a model is to have.
struct ModelTarget {
  /// Fraction of the usable engines; the fractions of all models add up to one,
  /// or to less if each model has its maximum number of groups.
  double Share = 0.0;
  /// Groups that serve the offered work in time; not set while the demand is
  /// not known. May exceed what the engines can form.
  std::optional<double> NeededGroups;
};

/// @brief Targets by model.
using EngineTargets = std::map<ModelName, ModelTarget>;

} // namespace coltsfoottrail

#endif
