/// @file
/// Forecast of an engine's time to first event for a new request.
#ifndef COLTSFOOTTRAIL_CHOICE_FORECAST_HPP
#define COLTSFOOTTRAIL_CHOICE_FORECAST_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/route/enginepace.hpp"

#include <cstdint>

namespace coltsfoottrail {

/// @brief Work at an engine that precedes a new request.
struct EngineBacklog {
  /// Largest number of requests that the engine runs at once.
  double Slots = 1.0;
  /// Requests running there, plus those waiting that are served first.
  double RequestsAhead = 0.0;
  /// Prompt tokens of requests whose response has not started.
  double UnreadTokens = 0.0;
  /// Mean time that a request occupies its slot, in seconds.
  double SecondsPerRequest = 0.0;
};

/// @brief Forecasts the time until the first event of a new request.
///
/// Prompts of a hundred to six thousand tokens arrive in bursts. Engines
/// prefill them one after the other, so of two engines with the same number of
/// requests one may answer after a tenth of a second and the other after half a
/// second. The forecast is the sum of three parts: the wait for a slot, the
/// prefill of all prompts, and the first pass of decode steps. Decode steps of
/// running requests are interleaved with prompt chunks. Pure; thread-safe.
/// @param Pace The engine's pace; must be known.
/// @param Backlog Work that precedes the request.
/// @param PromptTokens Tokens of the request's prompt.
[[nodiscard]] Duration firstEventAfter(const EnginePace &Pace,
                                       const EngineBacklog &Backlog,
                                       std::uint32_t PromptTokens);

} // namespace coltsfoottrail

#endif
