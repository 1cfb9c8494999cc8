#include "coltsfoottrail/logging/requestlog.hpp"

#include <utility>

namespace coltsfoottrail {

bool RequestLogBudget::admit(bool Telling, TimePoint Now) {
  if (Now - SecondStart >= seconds(1)) {
    SecondStart = Now;
    UsualCount = 0;
    TellingCount = 0;
  }
  std::uint32_t &Count = Telling ? TellingCount : UsualCount;
  const std::uint32_t Most = Telling ? Limits.Notable : Limits.Routine;
  if (Count >= Most) {
    ++Dropped;
    return false;
  }
  ++Count;
  return true;
}

std::uint64_t RequestLogBudget::takeDropped() {
  return std::exchange(Dropped, 0);
}

void RequestLog::begin(std::string_view Request, TimePoint Now) {
  Id = Request;
  BeganAt = Now;
}

void RequestLog::add(Event Which, std::initializer_list<Field> Fields,
                     TimePoint Now) {
  const auto Since =
      std::chrono::duration_cast<milliseconds>(Now - BeganAt).count();
  Lines.push_back(
      {Which, eventLine(Which, Fields, {{"request", Id}, {"at_ms", Since}})});
}

void RequestLog::end(RequestLogBudget &Budget, TimePoint Now) {
  if (!Lines.empty() && Budget.admit(Telling, Now))
    for (const Line &Each : Lines)
      logLine(Each.Which, Each.Text);
  Lines.clear();
}

} // namespace coltsfoottrail
