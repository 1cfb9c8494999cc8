/// @file
/// What a dispatcher is told and what it commands.
#ifndef COLTSFOOTTRAIL_DISPATCH_TYPES_HPP
#define COLTSFOOTTRAIL_DISPATCH_TYPES_HPP

#include "coltsfoottrail/core/name.hpp"
#include "coltsfoottrail/core/slotmap.hpp"
#include "coltsfoottrail/core/time.hpp"
#include "coltsfoottrail/dispatch/fwd.hpp"
#include "coltsfoottrail/verdict/verdict.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace coltsfoottrail {

/// Urgency among requests of one team; a higher one goes first without starving
/// the lower ones.
enum class Priority : std::uint8_t { Batch, Normal, Urgent };

/// @brief A request as the dispatcher sees it.
struct WorkItem {
  TeamName Team;
  Priority Urgency = Priority::Normal;
  TimePoint Deadline;
  /// Started first later than this, it is not worth its place: it is refused
  /// instead. Does not bound retries.
  TimePoint StartBy = TimePoint::max();
  /// Requests beyond an endpoint's bound that it may be sent behind: it waits
  /// in the endpoint's own queue then, which all entry hosts share. Below zero,
  /// places that it leaves to others there.
  std::int32_t Overcommit = 0;
  /// Its first event is late after this.
  TimePoint FirstEventBy = TimePoint::max();
  /// Tokens of its prompt, where it has one.
  std::uint32_t PromptTokens = 0;
  /// Part of the requests waiting at an endpoint that go before it there.
  double QueuedAheadFraction = 1.0;
  /// Whether it may be sent again once a byte of it may have reached an
  /// endpoint.
  bool Repeatable = false;
  /// Hash of the prompt's head, for prefix-cache affinity; zero for none.
  std::uint64_t PrefixHash = 0;
  /// Hash of team, target and body, the same for a resent request on every
  /// host.
  std::uint64_t Fingerprint = 0;
  /// Memory that it holds while it waits.
  std::size_t Bytes = 0;
  /// Work that it is, in tokens or any unit that the pool uses throughout.
  double Cost = 1.0;
};

/// @brief How one attempt at an endpoint ended.
struct AttemptResult {
  /// What is known of whether the endpoint ran it. Ran means answered whole.
  RunState State = RunState::NotRun;
  /// Why it was not answered; meaningless when Answered.
  Reason FailureReason = Reason::Internal;
  /// A whole answer was passed on.
  bool Answered = false;
  /// Part of an answer has gone to the caller: nothing may be sent again.
  bool CallerSawBytes = false;
  /// Part of a stream has gone to the caller, and it can go on elsewhere.
  bool Resumable = false;
  /// The connection broke while the endpoint had the request, as it does when
  /// the request crashes it.
  bool ConnectionLost = false;
  /// From send to the first byte of the answer; zero when there was none.
  Duration FirstByte{};
  /// From send to the end.
  Duration Total{};
};

/// @brief What an endpoint said of its load; lags.
struct LoadReport {
  std::string EndpointKey;
  /// Changes when the engine restarts: the endpoint is cold again.
  Incarnation Run = 0;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// How long ago this was true, as far as is known.
  Duration Age{};
};

/// Send a request to an endpoint.
struct SendCommand {
  Ticket Id;
  std::string EndpointKey;
};
/// Why a request is not sent to another endpoint.
enum class RetryStop : std::uint8_t {
  /// It was not sent at all.
  NotTried,
  /// It must not be sent again, or its caller has seen part of an answer.
  NotRepeatable,
  AttemptsUsed,
  BudgetUsed,
  /// Too little time was left to its deadline.
  NoTime,
  /// Too many requests waited already.
  QueueFull,
  Quarantined,
  /// The pool had no endpoint.
  NoEndpoint
};

/// @brief Words for logs. Thread-safe.
[[nodiscard]] std::string_view retryStopCode(RetryStop Why) noexcept;

/// @brief What a final refusal rests on, for logs.
struct RefusalDetails {
  RetryStop Stop = RetryStop::NotTried;
  std::uint32_t Attempts = 0;
  /// How often the retry waited for the budget.
  std::uint32_t BudgetWaits = 0;
  /// Endpoints of the pool.
  std::size_t Endpoints = 0;
  /// When its last attempt failed.
  std::optional<TimePoint> FailedAt;
};

/// Give a request its final refusal.
struct RefuseCommand {
  Ticket Id;
  Verdict FinalVerdict;
  RefusalDetails Details;
};

using Command = std::variant<SendCommand, RefuseCommand>;
/// Commands in the order in which they are to be carried out.
using Commands = std::vector<Command>;

} // namespace coltsfoottrail

#endif
