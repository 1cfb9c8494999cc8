/// @file
/// Forecasts when an engine would answer one more request.
#ifndef COLTSFOOTTRAIL_CHOICE_FORECAST_HPP
#define COLTSFOOTTRAIL_CHOICE_FORECAST_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/route/enginepace.hpp"

#include <cstdint>

namespace coltsfoottrail {

/// @brief What stands at an engine before one more request.
struct EngineBacklog {
  /// Requests that it has at once at most.
  double Slots = 1.0;
  /// Requests that run there, and those that wait and go before.
  double Ahead = 0.0;
  /// Prompt tokens of those whose answer has not begun.
  double UnreadTokens = 0.0;
  /// Mean time that a request keeps its slot, in seconds.
  double SecondsPerRequest = 0.0;
};

/// @brief Forecasts the time until the first event of one more request.
///
/// Load answered: prompts of a hundred to six thousand tokens come in bursts.
/// Engines read them one after the other, so that two engines with the same
/// number of requests answer a tenth of a second or half a second later. Three
/// parts add up: until a slot is free, until all prompts are read, and until
/// the first pass of token steps is written; token steps of running requests go
/// on between two chunks of prompts.
/// Pure; thread-safe.
/// @param Pace Its pace; must be known.
/// @param Before What stands there.
/// @param PromptTokens Tokens of the request's prompt.
[[nodiscard]] Duration firstEventAfter(const EnginePace &Pace,
                                       const EngineBacklog &Before,
                                       std::uint32_t PromptTokens);

} // namespace coltsfoottrail

#endif
