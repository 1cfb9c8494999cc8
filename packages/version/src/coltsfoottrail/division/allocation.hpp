/// @file
/// Divides a number of engines among models with needs, ranks and bounds.
#ifndef COLTSFOOTTRAIL_DIVISION_ALLOCATION_HPP
#define COLTSFOOTTRAIL_DIVISION_ALLOCATION_HPP

#include "coltsfoottrail/division/fwd.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace coltsfoottrail {

/// @brief What one model asks of the engines. All amounts are engines and not
/// negative.
struct EngineClaim {
  /// Engines that serve the model's callers in time.
  double Needed = 0.0;
  /// Engines that it may need again, or will need; not below Needed.
  double Expected = 0.0;
  /// Bounds of the model's engines; Min is not above Max.
  double Min = 0.0;
  double Max = 0.0;
  /// Zero is the most urgent.
  std::uint32_t Rank = 0;
};

/// @brief Divides engines among models. Pure; thread-safe.
///
/// Each model gets its minimum first; minima that exceed the engines are scaled
/// down alike. If the engines suffice for all needs, each model gets what it
/// needs, and the rest is spread so that engines are in proportion to what is
/// expected: all have the same headroom. Otherwise more
/// urgent ranks are served first, up to their need, and models of one rank in
/// proportion to their needs. A need counts up to the number of all engines:
/// beyond that it is no evidence of how much a model gains from an engine.
/// @param Claims One per model.
/// @param Engines Number of engines; positive.
/// @return Engines by model, in the order of the claims. The sum is below
/// Engines only if each model has its maximum.
[[nodiscard]] std::vector<double>
allocateEngines(std::span<const EngineClaim> Claims, double Engines);

} // namespace coltsfoottrail

#endif
