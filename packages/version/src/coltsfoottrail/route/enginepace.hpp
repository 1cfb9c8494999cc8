/// @file
/// Speed at which the engines of a pool process prompts and generate tokens.
#ifndef COLTSFOOTTRAIL_ROUTE_ENGINEPACE_HPP
#define COLTSFOOTTRAIL_ROUTE_ENGINEPACE_HPP

#include <cstdint>

namespace coltsfoottrail {

/// @brief Declared speed of an engine that batches its requests, for one model.
struct EnginePace {
  /// Duration of one token step of the whole batch, in seconds.
  double StepSeconds = 0.0;
  /// Added to a step for each request in its decode phase, in seconds.
  double StepSecondsPerRequest = 0.0;
  /// Prompt tokens processed per second; zero if no speed is declared.
  double PromptTokensPerSecond = 0.0;
  /// Maximum number of prompt tokens processed between two token steps; zero
  /// for no limit.
  std::uint32_t ChunkTokens = 0;
  /// Token steps between two events of a stream.
  std::uint32_t Stride = 1;

  /// @brief Whether a speed is declared, so that times can be forecast.
  [[nodiscard]] bool isDeclared() const noexcept {
    return PromptTokensPerSecond > 0.0;
  }
  [[nodiscard]] friend bool operator==(const EnginePace &,
                                       const EnginePace &) = default;
};

} // namespace coltsfoottrail

#endif
