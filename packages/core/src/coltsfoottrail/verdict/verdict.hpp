/// @file
/// What a caller is told of a request that was not answered: whether it may
/// have run, and why.
#ifndef COLTSFOOTTRAIL_VERDICT_VERDICT_HPP
#define COLTSFOOTTRAIL_VERDICT_VERDICT_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/verdict/fwd.hpp"

#include <optional>
#include <string_view>

namespace coltsfoottrail {

/// Whether a request may have run at an endpoint. Ordered: a later one is never
/// turned back into an earlier one.
enum class RunState : std::uint8_t { NotRun, MayHaveRun, Ran };

/// Why a request was not answered. The codes that callers see are stable: see
/// reasonCode().
enum class Reason : std::uint8_t {
  BadRequest,
  Unauthenticated,
  UnknownTarget,
  BodyTooLarge,
  NoEndpoint,
  Overloaded,
  DeadlineTooShort,
  DeadlinePassed,
  TeamOverLimit,
  Draining,
  Stale,
  Stopping,
  ClaimUnavailable,
  KeyReused,
  KeyInUse,
  KeyExpired,
  Quarantined,
  EndpointFailed,
  EndpointCut,
  EndpointTimedOut,
  EndpointRefused,
  PeerFailed,
  Cancelled,
  Internal,
};

/// @brief Final word on a request that was not answered.
struct Verdict {
  RunState State = RunState::NotRun;
  Reason Why = Reason::Internal;
  /// When asking again may help; nothing where it would not.
  std::optional<milliseconds> RetryAfter;

  [[nodiscard]] friend bool operator==(const Verdict &,
                                       const Verdict &) = default;
};

/// @brief The later of two run states.
/// @param Left One state.
/// @param Right Another state.
/// @return MayHaveRun for {NotRun, MayHaveRun}, and so on. Thread-safe.
[[nodiscard]] RunState laterRunState(RunState Left, RunState Right) noexcept;

/// @brief Stable text of a run state, as callers see it. Thread-safe.
/// @param State A run state.
/// @return "not-run", "may-have-run" or "ran".
[[nodiscard]] std::string_view runStateCode(RunState State) noexcept;

/// @brief Stable code of a reason, as callers see it. Thread-safe.
/// @param Why A reason.
/// @return Words in lower case, joined by hyphens.
[[nodiscard]] std::string_view reasonCode(Reason Why) noexcept;

/// @brief HTTP status that goes with a verdict. Thread-safe.
/// @param Final A verdict.
/// @return 4xx where the caller must change something, else 5xx.
[[nodiscard]] unsigned httpStatus(const Verdict &Final) noexcept;

} // namespace coltsfoottrail

#endif
