/// @file
/// Inputs and commands of a dispatcher.
#ifndef COLTSFOOTTRAIL_DISPATCH_TYPES_HPP
#define COLTSFOOTTRAIL_DISPATCH_TYPES_HPP

#include "coltsfoottrail/choice/locality.hpp"
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

/// Urgency among requests of one team. A higher priority goes first, without
/// starving the lower ones.
enum class Priority : std::uint8_t { Batch, Normal, Urgent };

/// @brief A request as the dispatcher sees it.
struct WorkItem {
  TeamName Team;
  Priority Urgency = Priority::Normal;
  /// Precedence over the requests of all teams when there are too few slots;
  /// zero is the most urgent. Without effect in a pool with one rank.
  std::uint32_t Rank = 0;
  TimePoint Deadline;
  /// Latest start of the first attempt; after this the request is refused,
  /// since it would take a slot without being of use. Does not bound retries.
  TimePoint StartBy = TimePoint::max();
  /// How many requests beyond an endpoint's concurrency limit may be there when
  /// it is sent: it then waits in the endpoint's own queue, which all entry
  /// hosts share. If negative, the number of slots there that it leaves to
  /// others.
  std::int32_t Overcommit = 0;
  /// Latest time at which its first event is still on time.
  TimePoint FirstEventBy = TimePoint::max();
  /// Tokens of its prompt, where it has one.
  std::uint32_t PromptTokens = 0;
  /// Fraction of the requests waiting at an endpoint that go before it there.
  double QueuedAheadFraction = 1.0;
  /// Whether it may be sent again once a byte of it may have reached an
  /// endpoint.
  bool Repeatable = false;
  /// How often it was sent before it was submitted again; its next send is a
  /// retry if it was.
  std::uint32_t EarlierSends = 0;
  /// Hash of the prompt's head, for prefix-cache affinity; zero for none.
  std::uint64_t PrefixHash = 0;
  /// Hash of team, target and body, the same for a resent request on every
  /// host.
  std::uint64_t Fingerprint = 0;
  /// The parts of its prompt that other requests may have in theirs.
  std::vector<PromptPartId> SharedParts;
  /// Memory that it occupies while it waits.
  std::size_t Bytes = 0;
  /// Amount of work, in tokens or another unit that the whole pool uses.
  double Cost = 1.0;
};

/// @brief How one attempt at an endpoint ended.
struct AttemptResult {
  /// Whether the endpoint ran it, as far as is known. Ran means answered
  /// completely.
  RunState State = RunState::NotRun;
  /// Why it was not answered; unspecified when Answered.
  Reason FailureReason = Reason::Internal;
  /// A complete answer was passed on to the caller.
  bool Answered = false;
  /// Part of an answer has been sent to the caller: the request may not be sent
  /// again.
  bool CallerSawBytes = false;
  /// Part of a stream has been sent to the caller, and another endpoint can
  /// continue it.
  bool Resumable = false;
  /// The connection broke while the endpoint had the request, as happens when
  /// the request crashes the endpoint.
  bool ConnectionLost = false;
  /// This host ended it, not the endpoint or the network.
  bool EndedHere = false;
  /// The endpoint refused it and asked for a back-off.
  bool WantsBackoff = false;
  /// This host did not send it after all.
  bool Withheld = false;
  /// From send to the first byte of the answer; zero when there was none.
  Duration FirstByte{};
  /// From send to the end.
  Duration Total{};
};

/// @brief Load that an endpoint reported; lags behind the actual load.
struct LoadReport {
  std::string EndpointKey;
  /// Changes when the engine restarts: the endpoint is cold again.
  Incarnation Run = 0;
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  /// Age of the values, as far as is known.
  Duration Age{};
};

/// Send a request to an endpoint.
struct SendCommand {
  Ticket Id;
  std::string EndpointKey;
  /// Why the endpoint is in another data centre than the entry host.
  AwayReason Away = AwayReason::None;
};
/// How far the planned stop of a host has come.
enum class StopStage : std::uint8_t {
  /// The host does not stop.
  None,
  /// Requests that have not run are refused rather than held or queued.
  NoWaiting,
  /// All requests that are not at an endpoint are refused.
  NoSending
};

/// Why a request is not sent to another endpoint.
enum class RetryStop : std::uint8_t {
  /// It was not sent at all.
  NotTried,
  /// It must not be sent again, or its caller has received part of an answer.
  NotRepeatable,
  AttemptsUsed,
  BudgetUsed,
  /// Too little time was left to its deadline.
  NoTime,
  /// Too many requests were waiting.
  QueueFull,
  Quarantined,
  /// The host stops.
  HostStops,
  /// The pool had no endpoint.
  NoEndpoint
};

/// @brief Code of a stop cause for logs. Thread-safe.
[[nodiscard]] std::string_view retryStopCode(RetryStop Stop) noexcept;

/// @brief Circumstances of a final refusal, for logs.
struct RefusalDetails {
  RetryStop Stop = RetryStop::NotTried;
  std::uint32_t Attempts = 0;
  /// How often a retry waited for the budget.
  std::uint32_t BudgetWaits = 0;
  /// Number of endpoints of the pool.
  std::size_t Endpoints = 0;
  /// When its last attempt failed.
  std::optional<TimePoint> FailedAt;
};

/// Refuse a request for good.
struct RefuseCommand {
  Ticket Id;
  Verdict FinalVerdict;
  RefusalDetails Details;
};

using Command = std::variant<SendCommand, RefuseCommand>;
/// Commands in the order in which they are to be executed.
using Commands = std::vector<Command>;

} // namespace coltsfoottrail

#endif
