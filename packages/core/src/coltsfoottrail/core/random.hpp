/// @file
/// Seeded pseudo-random numbers for decisions, so that a run can be replayed.
#ifndef COLTSFOOTTRAIL_CORE_RANDOM_HPP
#define COLTSFOOTTRAIL_CORE_RANDOM_HPP

#include <cstdint>
#include <limits>

namespace coltsfoottrail {

namespace internal {
/// Product of two 64-bit values.
__extension__ using Wide128 = unsigned __int128;
} // namespace internal

/// @brief Small seeded generator (SplitMix64) that works with the standard
/// library's distributions.
class Random {
public:
  using result_type = std::uint64_t;

  /// @brief Starts a sequence.
  /// @param Seed Any value; equal seeds give equal sequences.
  explicit Random(std::uint64_t Seed) noexcept : State(Seed) {}

  [[nodiscard]] static constexpr result_type min() noexcept { return 0; }
  [[nodiscard]] static constexpr result_type max() noexcept {
    return std::numeric_limits<result_type>::max();
  }

  /// @brief Draws the next value. Not thread-safe.
  [[nodiscard]] result_type operator()() noexcept {
    State += 0x9E3779B97F4A7C15ULL;
    std::uint64_t Mixed = State;
    Mixed = (Mixed ^ (Mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94D049BB133111EBULL;
    return Mixed ^ (Mixed >> 31U);
  }

  /// @brief Draws an integer below a bound.
  /// @param Bound Must be greater than zero.
  [[nodiscard]] std::uint64_t below(std::uint64_t Bound) noexcept {
    const auto Wide = static_cast<internal::Wide128>((*this)()) * Bound;
    return static_cast<std::uint64_t>(Wide >> 64U);
  }

  /// @brief Draws a fraction in [0, 1).
  [[nodiscard]] double fraction() noexcept {
    return static_cast<double>((*this)() >> 11U) * 0x1.0p-53;
  }

private:
  std::uint64_t State;
};

} // namespace coltsfoottrail

#endif
