#include "coltsfoottrail/dispatch/terms.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

/// Longest wait of a fresh request for a slot, as a fraction of its target
/// latency: the rest is needed to process the prompt.
constexpr double FreshWaitFraction = 0.35;
/// Longest wait of a resubmitted request for a slot, as a fraction of the time
/// that it has left: when it is refused early, its caller can still go
/// elsewhere.
constexpr double LateWaitFraction = 0.15;
constexpr Duration MaxLateWait = milliseconds(1'500);
/// Short, since a demoted request has waited already.
constexpr Duration DemotedWait = milliseconds(10);
/// Fresh requests sent beyond an engine's slots; they start as soon as running
/// ones end.
constexpr std::int32_t FreshOvercommit = 2;

Duration scaled(Duration Span, double Fraction) {
  return std::chrono::duration_cast<Duration>(Span * Fraction);
}

Duration maxWait(const RequestTiming &Timing) {
  switch (Timing.Status) {
  case Timeliness::Demoted:
    return DemotedWait;
  case Timeliness::Resubmitted:
    return std::min(MaxLateWait, scaled(Timing.AnswerBy - Timing.ArrivedAt,
                                        LateWaitFraction));
  case Timeliness::Fresh:
    break;
  }
  if (Timing.ShortestTarget > Duration::zero())
    return Timing.TargetLatency -
           scaled(std::min(Timing.TargetLatency, Timing.ShortestTarget),
                  1.0 - FreshWaitFraction);
  return scaled(Timing.TargetLatency, FreshWaitFraction);
}

} // namespace

void setSchedulingTerms(const RequestTiming &Timing, TimePoint Now,
                        WorkItem &Item) {
  const bool Fresh = Timing.Status == Timeliness::Fresh;
  Item.Urgency = Fresh ? Priority::Normal : Priority::Batch;
  Item.Deadline = Timing.AnswerBy;
  Item.StartBy = Now + maxWait(Timing);
  if (!Timing.Streams)
    return;
  Item.Overcommit = Fresh ? FreshOvercommit : -SlotsReservedForFresh;
  if (Fresh)
    Item.FirstEventBy = Timing.ArrivedAt + Timing.TargetLatency;
}

} // namespace coltsfoottrail
