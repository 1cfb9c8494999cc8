/// @file
/// Remembers which parts of prompts endpoints have run lately.
#ifndef COLTSFOOTTRAIL_QUARANTINE_RECENTPARTS_HPP
#define COLTSFOOTTRAIL_QUARANTINE_RECENTPARTS_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/quarantine/fwd.hpp"

#include <array>
#include <bitset>
#include <cstddef>

namespace coltsfoottrail {

/// @brief Set of the parts of prompts that were in answered requests within the
/// last one to two periods. Takes the same memory whatever callers send: with
/// very many parts it also holds some that it was not given. Not thread-safe;
/// times must not go back.
class RecentParts {
public:
  static constexpr Duration Period = seconds(15);
  /// How long a part stays in the set at most.
  static constexpr Duration MaxLife = 2 * Period;

  /// @brief Records an answered request.
  void add(std::span<const PromptPartId> Parts, TimePoint Now);
  /// @brief Number of requests answered lately.
  [[nodiscard]] std::size_t requests(TimePoint Now) const;
  /// @brief Whether requests with a part were answered lately.
  [[nodiscard]] bool contains(PromptPartId Part, TimePoint Now) const;

private:
  static constexpr std::size_t Bits = std::size_t{1} << 15U;
  struct Generation {
    TimePoint Begin{};
    std::size_t Requests = 0;
    std::bitset<Bits> Set;
  };

  [[nodiscard]] static std::array<std::size_t, 2> bitsOf(PromptPartId Part);

  /// The current one first.
  std::array<Generation, 2> Generations;
};

} // namespace coltsfoottrail

#endif
