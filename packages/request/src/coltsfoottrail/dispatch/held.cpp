#include "coltsfoottrail/dispatch/held.hpp"

namespace coltsfoottrail {

void HeldRequests::add(Ticket Which, std::size_t More, TimePoint When) {
  Known.emplace(Which, Entry{When, NextOrder, More});
  Timers.emplace(std::pair(When, NextOrder), Which);
  Bytes += More;
  ++NextOrder;
}

void HeldRequests::holdUntil(Ticket Which, std::size_t More, TimePoint Due) {
  add(Which, More, Due);
}

void HeldRequests::holdReady(Ticket Which, std::size_t More,
                             TimePoint LatestStart) {
  Ready.emplace(NextOrder, Which);
  add(Which, More, LatestStart);
}

bool HeldRequests::remove(Ticket Which) {
  const auto Found = Known.find(Which);
  if (Found == Known.end())
    return false;
  const Entry &Gone = Found->second;
  Timers.erase({Gone.When, Gone.Order});
  Ready.erase(Gone.Order);
  Bytes -= Gone.Bytes;
  Known.erase(Found);
  return true;
}

std::optional<Ticket> HeldRequests::popDue(TimePoint Now) {
  if (Timers.empty() || Timers.begin()->first.first > Now)
    return std::nullopt;
  const Ticket Which = Timers.begin()->second;
  remove(Which);
  return Which;
}

std::vector<Ticket> HeldRequests::ready(std::size_t Most) const {
  std::vector<Ticket> Out;
  for (const auto &[Order, Which] : Ready) {
    if (Out.size() == Most)
      break;
    Out.push_back(Which);
  }
  return Out;
}

std::vector<Ticket> HeldRequests::all() const {
  std::vector<Ticket> Out;
  for (const auto &[Key, Which] : Timers)
    Out.push_back(Which);
  return Out;
}

std::optional<TimePoint> HeldRequests::earliest() const {
  if (Timers.empty())
    return std::nullopt;
  return Timers.begin()->first.first;
}

} // namespace coltsfoottrail
