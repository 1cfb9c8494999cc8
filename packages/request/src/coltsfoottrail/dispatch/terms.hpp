/// @file
/// Scheduling terms of a request: how long it may wait and which requests go
/// before it.
#ifndef COLTSFOOTTRAIL_DISPATCH_TERMS_HPP
#define COLTSFOOTTRAIL_DISPATCH_TERMS_HPP

#include "coltsfoottrail/dispatch/types.hpp"

namespace coltsfoottrail {

/// Slots of an engine that late requests leave free for fresh ones.
inline constexpr std::int32_t SlotsReservedForFresh = 4;

/// Whether a request can still meet its target latency.
enum class Timeliness : std::uint8_t {
  Fresh,
  /// Its caller was refused before and submits it again, with less time left.
  Resubmitted,
  /// It got no slot early enough to meet its target latency, and uses the slots
  /// that fresh requests leave.
  Demoted
};

/// @brief What the scheduling terms of a request depend on.
struct RequestTiming {
  Timeliness Status = Timeliness::Fresh;
  /// Whether it is answered by a stream from a batching engine.
  bool Streams = false;
  TimePoint ArrivedAt;
  /// When its caller gives up.
  TimePoint AnswerBy;
  /// Longest time from its arrival to its first event that counts as on time.
  Duration TargetLatency{};
  /// Shortest target latency among the ranks of its pool, see
  /// RankOrder::shortestTarget(); zero if it has no ranks.
  Duration ShortestTarget{};
};

/// @brief Sets the scheduling terms of a request in its work item: Urgency,
/// Deadline, StartBy, Overcommit and FirstEventBy.
///
/// Designed for this load: engines are lost, twice as many callers arrive as
/// the remaining ones can serve, and every refused caller submits once more.
/// - A fresh stream is sent only to an engine that can start it in time. While
///   it can still be on time it waits for one, and is demoted after that.
/// - A late stream leaves some slots at each engine to fresh ones, which gain
///   four times as much from them. It does not queue at an engine: behind fresh
///   ones its turn would not come before its caller gives up, and a caller who
///   is refused at once may go elsewhere.
/// - Where ranks differ in their target latency, a prompt takes as long
/// whatever
///   its rank: a fresh request waits for the whole time that its target exceeds
///   the shortest one, and is demoted only after that.
/// Has no state; thread-safe.
void setSchedulingTerms(const RequestTiming &Timing, TimePoint Now,
                        WorkItem &Item);

} // namespace coltsfoottrail

#endif
