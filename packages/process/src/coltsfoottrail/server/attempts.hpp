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
  AttemptResult Out;
  Out.State = State;
  Out.FailureReason = Why;
  Out.Total = BootClock::now() - Start;
  return Out;
}

/// @brief Creates the result of an attempt whose HTTP call failed. Thread-safe.
/// @param Failure The failure of the call.
/// @param Start Time at which the request was sent.
[[nodiscard]] inline AttemptResult failedAttempt(const CallFailure &Failure,
                                                 TimePoint Start) {
  AttemptResult Out = failedAttempt(Failure.State, Failure.Why, Start);
  Out.ConnectionLost = Failure.ConnectionLost;
  return Out;
}

/// @brief Creates the result of an attempt with a complete response.
/// Thread-safe.
/// @param Start Time at which the request was sent.
/// @param FirstByte Time at which the first byte of the response arrived.
[[nodiscard]] inline AttemptResult answeredAttempt(TimePoint Start,
                                                   TimePoint FirstByte) {
  AttemptResult Out;
  Out.State = RunState::Ran;
  Out.Answered = true;
  Out.FirstByte = FirstByte - Start;
  Out.Total = BootClock::now() - Start;
  return Out;
}

} // namespace coltsfoottrail

#endif
