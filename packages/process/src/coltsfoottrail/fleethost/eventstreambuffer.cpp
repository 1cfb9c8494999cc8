#include "coltsfoottrail/fleethost/eventstreambuffer.hpp"

#include <algorithm>

namespace coltsfoottrail {

namespace {

constexpr std::string_view IdField = "id:";

/// Length up to and including the last empty line; zero if there is none.
std::size_t completeLength(std::string_view Text) {
  const std::size_t LfPos = Text.rfind("\n\n");
  const std::size_t CrLfPos = Text.rfind("\n\r\n");
  const std::size_t LfEnd = LfPos == std::string_view::npos ? 0 : LfPos + 2;
  const std::size_t CrLfEnd =
      CrLfPos == std::string_view::npos ? 0 : CrLfPos + 3;
  return std::max(LfEnd, CrLfEnd);
}

bool hasData(std::string_view Events) noexcept {
  constexpr std::string_view DataField = "data:";
  return Events.starts_with(DataField) ||
         Events.find("\ndata:") != std::string_view::npos;
}

} // namespace

std::string_view EventStreamBuffer::append(std::string_view Chunk) {
  Pending += Chunk;
  const std::size_t Length = completeLength(Pending);
  if (!hasData(std::string_view(Pending).substr(0, Length)))
    return {};
  CompleteEvents.assign(Pending, 0, Length);
  Pending.erase(0, Length);
  recordLastId(CompleteEvents);
  return CompleteEvents;
}

bool EventStreamBuffer::endsOnBoundary() const noexcept {
  return completeLength(Pending) == Pending.size();
}

void EventStreamBuffer::recordLastId(std::string_view Events) {
  HasReleased = true;
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
