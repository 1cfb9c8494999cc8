#include "coltsfoottrail/dispatch/terms.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// How long a fresh request waits here for a place, as a part of its target
/// latency: the rest goes to reading the prompt.
constexpr double FreshWaitPart = 0.35;
/// How long one that came back waits for a place, as a part of the time that it
/// has left: refused early, its caller can still go elsewhere.
constexpr double LateWaitPart = 0.15;
constexpr Duration LongestLateWait = milliseconds(1'500);
/// One that was demoted has waited already.
constexpr Duration DemotedWait = milliseconds(10);
/// Fresh requests beyond an engine's slots, which start with the next that
/// ends.
constexpr std::int32_t FreshOvercommit = 2;
/// Slots of an engine that late requests leave free.
constexpr std::int32_t PlacesLeftToFresh = 4;

Duration partOf(Duration Span, double Part) {
  return std::chrono::duration_cast<Duration>(Span * Part);
}

Duration longestWait(const RequestTiming &Of) {
  switch (Of.Status) {
  case Timeliness::Demoted:
    return DemotedWait;
  case Timeliness::Resubmitted:
    return std::min(LongestLateWait,
                    partOf(Of.AnswerBy - Of.ArrivedAt, LateWaitPart));
  case Timeliness::Fresh:
    break;
  }
  return partOf(Of.TargetLatency, FreshWaitPart);
}

} // namespace

void setSchedulingTerms(const RequestTiming &Of, TimePoint Now, WorkItem &Out) {
  const bool Fresh = Of.Status == Timeliness::Fresh;
  Out.Urgency = Fresh ? Priority::Normal : Priority::Batch;
  Out.Deadline = Of.AnswerBy;
  Out.StartBy = Now + longestWait(Of);
  if (!Of.Streams)
    return;
  Out.Overcommit = Fresh ? FreshOvercommit : -PlacesLeftToFresh;
  if (Fresh)
    Out.FirstEventBy = Of.ArrivedAt + Of.TargetLatency;
}

} // namespace coltsfoottrail
