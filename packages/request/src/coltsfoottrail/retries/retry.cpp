#include "coltsfoottrail/retries/retry.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// Whether another endpoint would fail the request for the same reason.
bool isFinal(Reason Cause) {
  switch (Cause) {
  case Reason::BadRequest:
  case Reason::Unauthenticated:
  case Reason::UnknownTarget:
  case Reason::BodyTooLarge:
  case Reason::Cancelled:
  case Reason::Quarantined:
  case Reason::PartQuarantined:
  case Reason::DeadlinePassed:
  case Reason::Stopping:
    return true;
  default:
    return false;
  }
}

} // namespace

bool mayRetry(const WorkItem &Item, const AttemptResult &Result) noexcept {
  if (Result.Answered || Result.CallerSawBytes || isFinal(Result.FailureReason))
    return false;
  switch (Result.State) {
  case RunState::NotRun:
    return true;
  case RunState::MayHaveRun:
    return Item.Repeatable;
  case RunState::Ran:
    return false;
  }
  return false;
}

bool hasRunLeft(const AttemptProgress &Progress) noexcept {
  return Progress.Repeatable && Progress.EarlierRuns + 1 < Progress.MaxRuns;
}

bool mayMove(const AttemptProgress &Progress) noexcept {
  return hasRunLeft(Progress) && (!Progress.HasBegun || Progress.IsResumable);
}

std::optional<Duration> retryDelay(const RetryLimits &Limits,
                                   std::uint32_t PreviousDelays,
                                   Duration TimeLeft, Random &Rng) {
  constexpr std::uint32_t MaxDoublings = 16;
  if (TimeLeft <= Duration::zero())
    return std::nullopt;
  const std::uint32_t Doublings = std::min(PreviousDelays, MaxDoublings);
  const Duration Ceiling = std::min(
      {Limits.FirstDelay * (1U << Doublings), Limits.LongestDelay, TimeLeft});
  return std::chrono::duration_cast<Duration>(Ceiling * Rng.fraction());
}

} // namespace coltsfoottrail
