/// @file
/// On which terms a request is placed: how long it waits, behind whom.
#ifndef COLTSFOOTTRAIL_DISPATCH_TERMS_HPP
#define COLTSFOOTTRAIL_DISPATCH_TERMS_HPP

#include "coltsfoottrail/dispatch/types.hpp"

namespace coltsfoottrail {

/// Whether a request can still be on time.
enum class Timeliness : std::uint8_t {
  Fresh,
  /// Its caller was refused before and comes again: its time has run on.
  Resubmitted,
  /// It found no place in time to be on time, and takes what is left.
  Demoted
};

/// @brief What decides a request's terms.
struct RequestTiming {
  Timeliness Status = Timeliness::Fresh;
  /// Whether it is answered by a stream of an engine that batches.
  bool Streams = false;
  TimePoint ArrivedAt;
  /// When its caller leaves.
  TimePoint AnswerBy;
  /// Within this from its arrival its first event is on time.
  Duration TargetLatency{};
};

/// @brief Sets the terms of a request in its work item: Urgency, Deadline,
/// StartBy, Overcommit and FirstEventBy.
///
/// Load answered: engines are lost, twice as many callers come as the rest can
/// serve, and everybody who is refused comes back once.
/// - A fresh stream goes only to an engine that can begin it in time, waits for
///   one as long as it can still be on time, and is demoted then.
/// - One that is late leaves some places at each engine to fresh ones, which
///   gain four times as much by them. It does not queue at an engine: behind
///   fresh ones its turn would not come before its caller leaves, and a caller
///   who is refused at once may go elsewhere.
/// Pure; thread-safe.
void setSchedulingTerms(const RequestTiming &Of, TimePoint Now, WorkItem &Out);

} // namespace coltsfoottrail

#endif
