#include "coltsfoottrail/logging/requestlog.hpp"

#include <utility>

namespace coltsfoottrail {

bool RequestLogBudget::admit(bool Notable, TimePoint Now) {
  if (Now - SecondStart >= seconds(1)) {
    SecondStart = Now;
    RoutineCount = 0;
    NotableCount = 0;
  }
  std::uint32_t &Count = Notable ? NotableCount : RoutineCount;
  const std::uint32_t MaxCount = Notable ? Limits.Notable : Limits.Routine;
  if (Count >= MaxCount) {
    ++Dropped;
    return false;
  }
  ++Count;
  return true;
}

std::uint64_t RequestLogBudget::takeDropped() {
  return std::exchange(Dropped, 0);
}

void RequestLog::begin(std::string_view NewRequestId, TimePoint Now) {
  RequestId = NewRequestId;
  ArrivedAt = Now;
}

void RequestLog::add(Event Kind, std::initializer_list<Field> Fields,
                     TimePoint Now) {
  const auto ElapsedMs =
      std::chrono::duration_cast<milliseconds>(Now - ArrivedAt).count();
  Lines.push_back(
      {Kind, eventLine(Kind, Fields,
                       {{"request", RequestId}, {"at_ms", ElapsedMs}})});
}

void RequestLog::end(RequestLogBudget &Budget, TimePoint Now) {
  if (!Lines.empty() && Budget.admit(Notable, Now))
    for (const Line &Buffered : Lines)
      logLine(Buffered.Kind, Buffered.Text);
  Lines.clear();
}

} // namespace coltsfoottrail
