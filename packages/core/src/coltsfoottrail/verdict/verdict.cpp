#include "coltsfoottrail/verdict/verdict.hpp"

#include <algorithm>
#include <array>

namespace coltsfoottrail {

namespace {

struct ReasonEntry {
  Reason Why;
  std::string_view Code;
  unsigned Status;
};

constexpr std::array Reasons{
    ReasonEntry{Reason::BadRequest, "bad-request", 400},
    ReasonEntry{Reason::Unauthenticated, "unauthenticated", 401},
    ReasonEntry{Reason::UnknownTarget, "unknown-target", 404},
    ReasonEntry{Reason::BodyTooLarge, "body-too-large", 413},
    ReasonEntry{Reason::NoEndpoint, "no-endpoint", 503},
    ReasonEntry{Reason::Overloaded, "overloaded", 503},
    ReasonEntry{Reason::EndpointsBackOff, "endpoints-back-off", 503},
    ReasonEntry{Reason::DeadlineTooShort, "deadline-too-short", 503},
    ReasonEntry{Reason::DeadlinePassed, "deadline-passed", 504},
    ReasonEntry{Reason::TeamOverLimit, "team-over-limit", 429},
    ReasonEntry{Reason::Draining, "draining", 503},
    ReasonEntry{Reason::Stale, "stale", 503},
    ReasonEntry{Reason::Stopping, "stopping", 503},
    ReasonEntry{Reason::ClaimUnavailable, "claim-unavailable", 503},
    ReasonEntry{Reason::KeyReused, "key-reused", 422},
    ReasonEntry{Reason::KeyInUse, "key-in-use", 409},
    ReasonEntry{Reason::KeyExpired, "key-expired", 409},
    ReasonEntry{Reason::Quarantined, "quarantined", 422},
    ReasonEntry{Reason::PartQuarantined, "part-quarantined", 422},
    ReasonEntry{Reason::EndpointFailed, "endpoint-failed", 502},
    ReasonEntry{Reason::EndpointCut, "endpoint-cut", 502},
    ReasonEntry{Reason::EndpointTimedOut, "endpoint-timed-out", 504},
    ReasonEntry{Reason::EndpointRefused, "endpoint-refused", 502},
    ReasonEntry{Reason::PeerFailed, "peer-failed", 502},
    ReasonEntry{Reason::Cancelled, "cancelled", 499},
    ReasonEntry{Reason::Internal, "internal", 500},
};

const ReasonEntry &entryOf(Reason Why) noexcept {
  const auto *const Match = std::find_if(
      Reasons.begin(), Reasons.end(),
      [Why](const ReasonEntry &Entry) { return Entry.Why == Why; });
  return Match == Reasons.end() ? Reasons.back() : *Match;
}

} // namespace

RunState laterRunState(RunState Left, RunState Right) noexcept {
  return std::max(Left, Right);
}

std::string_view runStateCode(RunState State) noexcept {
  switch (State) {
  case RunState::NotRun:
    return "not-run";
  case RunState::MayHaveRun:
    return "may-have-run";
  case RunState::Ran:
    return "ran";
  }
  return "may-have-run";
}

std::string_view reasonCode(Reason Why) noexcept { return entryOf(Why).Code; }

unsigned httpStatus(const Verdict &Final) noexcept {
  return entryOf(Final.Why).Status;
}

} // namespace coltsfoottrail
