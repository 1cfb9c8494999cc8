/// @file
/// Results of attempts at endpoints, as the relays report them to the
/// dispatcher.
#ifndef COLTSFOOTTRAIL_SERVER_ATTEMPTS_HPP
#define COLTSFOOTTRAIL_SERVER_ATTEMPTS_HPP

#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/http/client.hpp"

namespace coltsfoottrail {

/// @brief Creates the result of an attempt without a complete response.
/// Thread-safe.
/// @param State Whether the request may have run.
/// @param Why Reason of the failure.
/// @param Start Time at which the request was sent.
[[nodiscard]] inline AttemptResult failedAttempt(RunState State, Reason Why,
                                                 TimePoint Start) {
  AttemptResult Result;
  Result.State = State;
  Result.FailureReason = Why;
  Result.Total = BootClock::now() - Start;
  return Result;
}

/// @brief Creates the result of an attempt whose HTTP call failed. Thread-safe.
/// @param Failure The failure of the call.
/// @param Start Time at which the request was sent.
[[nodiscard]] inline AttemptResult failedAttempt(const CallFailure &Failure,
                                                 TimePoint Start) {
  AttemptResult Result = failedAttempt(Failure.State, Failure.Why, Start);
  Result.ConnectionLost = Failure.ConnectionLost;
  Result.Withheld = Failure.Withheld;
  Result.EndedHere = Failure.EndedHere;
  return Result;
}

/// @brief Creates the result of an attempt that an endpoint did not run.
/// Thread-safe.
/// @param WantsBackoff Whether it asked for a back-off.
/// @param Start Time at which the request was sent.
[[nodiscard]] inline AttemptResult refusedAttempt(bool WantsBackoff,
                                                  TimePoint Start) {
  AttemptResult Result =
      failedAttempt(RunState::NotRun, Reason::EndpointRefused, Start);
  Result.WantsBackoff = WantsBackoff;
  return Result;
}

/// @brief Creates the result of an attempt that this host has not sent.
/// Thread-safe.
/// @param Start Time at which the endpoint was chosen.
[[nodiscard]] inline AttemptResult withheldAttempt(TimePoint Start) {
  AttemptResult Result =
      failedAttempt(RunState::NotRun, Reason::EndpointRefused, Start);
  Result.Withheld = true;
  return Result;
}

/// @brief Creates the result of an attempt with a complete response.
/// Thread-safe.
/// @param Start Time at which the request was sent.
/// @param FirstByte Time at which the first byte of the response arrived.
[[nodiscard]] inline AttemptResult answeredAttempt(TimePoint Start,
                                                   TimePoint FirstByte) {
  AttemptResult Result;
  Result.State = RunState::Ran;
  Result.Answered = true;
  Result.FirstByte = FirstByte - Start;
  Result.Total = BootClock::now() - Start;
  return Result;
}

} // namespace coltsfoottrail

#endif
