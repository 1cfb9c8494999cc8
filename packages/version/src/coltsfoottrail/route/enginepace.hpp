/// @file
/// How fast the engines of a pool read prompts and write tokens.
#ifndef COLTSFOOTTRAIL_ROUTE_ENGINEPACE_HPP
#define COLTSFOOTTRAIL_ROUTE_ENGINEPACE_HPP

#include <cstdint>

namespace coltsfoottrail {

/// @brief What operators declare of an engine that batches its requests, for
/// one model.
struct EnginePace {
  /// One token step of the whole batch, in seconds.
  double StepSeconds = 0.0;
  /// Added to a step for each request that is written, in seconds.
  double StepSecondsPerRequest = 0.0;
  /// Prompt tokens read in a second; zero where no pace is declared.
  double PromptTokensPerSecond = 0.0;
  /// Prompt tokens read between two token steps at most; zero for no bound.
  std::uint32_t ChunkTokens = 0;
  /// Token steps between two events of a stream.
  std::uint32_t Stride = 1;

  /// @brief Whether anything can be forecast by it.
  [[nodiscard]] bool isDeclared() const noexcept {
    return PromptTokensPerSecond > 0.0;
  }
  [[nodiscard]] friend bool operator==(const EnginePace &,
                                       const EnginePace &) = default;
};

} // namespace coltsfoottrail

#endif
