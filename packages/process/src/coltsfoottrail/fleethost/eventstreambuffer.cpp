#include "coltsfoottrail/fleethost/eventstreambuffer.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

constexpr std::string_view IdField = "id:";

/// Length up to and with the last empty line; zero when there is none.
std::size_t wholeLength(std::string_view Text) {
  const std::size_t Plain = Text.rfind("\n\n");
  const std::size_t Long = Text.rfind("\n\r\n");
  const std::size_t PlainEnd = Plain == std::string_view::npos ? 0 : Plain + 2;
  const std::size_t LongEnd = Long == std::string_view::npos ? 0 : Long + 3;
  return std::max(PlainEnd, LongEnd);
}

} // namespace

std::string_view EventStreamBuffer::take(std::string_view Part) {
  Pending += Part;
  const std::size_t Length = wholeLength(Pending);
  if (Length == 0)
    return {};
  Ready.assign(Pending, 0, Length);
  Pending.erase(0, Length);
  note(Ready);
  return Ready;
}

void EventStreamBuffer::note(std::string_view Events) {
  Any = true;
  while (!Events.empty()) {
    const std::size_t End = std::min(Events.find('\n'), Events.size());
    std::string_view Line = Events.substr(0, End);
    Events.remove_prefix(std::min(End + 1, Events.size()));
    if (!Line.starts_with(IdField))
      continue;
    Line.remove_prefix(IdField.size());
    while (!Line.empty() && (Line.front() == ' '))
      Line.remove_prefix(1);
    while (!Line.empty() && (Line.back() == '\r' || Line.back() == ' '))
      Line.remove_suffix(1);
    LastId = Line;
  }
}

} // namespace coltsfoottrail
