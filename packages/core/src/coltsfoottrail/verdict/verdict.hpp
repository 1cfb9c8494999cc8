/// @file
/// What a caller is told about a request that was not answered: whether it may
/// have been executed, and the reason.
#ifndef COLTSFOOTTRAIL_VERDICT_VERDICT_HPP
#define COLTSFOOTTRAIL_VERDICT_VERDICT_HPP

#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/verdict/fwd.hpp"

#include <optional>
#include <string_view>

namespace coltsfoottrail {

/// Whether an endpoint may have executed a request. Ordered: a request's state
/// never returns to an earlier value.
enum class RunState : std::uint8_t { NotRun, MayHaveRun, Ran };

/// Why a request was not answered. Callers see stable codes; see reasonCode().
enum class Reason : std::uint8_t {
  BadRequest,
  Unauthenticated,
  UnknownTarget,
  BodyTooLarge,
  NoEndpoint,
  Overloaded,
  EndpointsBackOff,
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
  PartQuarantined,
  EndpointFailed,
  EndpointCut,
  EndpointTimedOut,
  EndpointRefused,
  PeerFailed,
  Cancelled,
  Internal,
};

/// @brief Final outcome of a request that was not answered.
struct Verdict {
  RunState State = RunState::NotRun;
  Reason Why = Reason::Internal;
  /// Time after which a retry may succeed; nothing when a retry would not help.
  std::optional<milliseconds> RetryAfter;

  [[nodiscard]] friend bool operator==(const Verdict &,
                                       const Verdict &) = default;
};

/// @brief The later of two run states.
/// @return For example MayHaveRun for {NotRun, MayHaveRun}. Thread-safe.
[[nodiscard]] RunState laterRunState(RunState Left, RunState Right) noexcept;

/// @brief Stable code of a run state, as callers see it. Thread-safe.
/// @return "not-run", "may-have-run" or "ran".
[[nodiscard]] std::string_view runStateCode(RunState State) noexcept;

/// @brief Stable code of a reason, as callers see it. Thread-safe.
/// @return Words in lower case, joined by hyphens.
[[nodiscard]] std::string_view reasonCode(Reason Why) noexcept;

/// @brief HTTP status code for a verdict. Thread-safe.
/// @return 4xx when the caller must change the request, else 5xx.
[[nodiscard]] unsigned httpStatus(const Verdict &Final) noexcept;

} // namespace coltsfoottrail

#endif
