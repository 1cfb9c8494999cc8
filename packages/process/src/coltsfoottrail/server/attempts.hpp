/// @file
/// How attempts at endpoints ended, as the relays tell the dispatcher.
#ifndef COLTSFOOTTRAIL_SERVER_ATTEMPTS_HPP
#define COLTSFOOTTRAIL_SERVER_ATTEMPTS_HPP

#include "coltsfoottrail/dispatch/types.hpp"
#include "coltsfoottrail/http/client.hpp"

namespace coltsfoottrail {

/// @brief An attempt that gave no whole answer. Thread-safe.
/// @param State Whether it may have run.
/// @param Why Why there is no answer.
/// @param Start When it was sent.
[[nodiscard]] inline AttemptResult failedAttempt(RunState State, Reason Why,
                                                 TimePoint Start) {
  AttemptResult Out;
  Out.State = State;
  Out.FailureReason = Why;
  Out.Total = BootClock::now() - Start;
  return Out;
}

/// @brief The same for a call that failed. Thread-safe.
/// @param Failure How it failed.
/// @param Start When it was sent.
[[nodiscard]] inline AttemptResult failedAttempt(const CallFailure &Failure,
                                                 TimePoint Start) {
  AttemptResult Out = failedAttempt(Failure.State, Failure.Why, Start);
  Out.ConnectionLost = Failure.ConnectionLost;
  return Out;
}

/// @brief An attempt that was answered whole. Thread-safe.
/// @param Start When it was sent.
/// @param FirstByte When the first byte of the answer came.
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
