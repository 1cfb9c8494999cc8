#include "coltsfoottrail/dispatch/held.hpp"

#include <algorithm>

namespace coltsfoottrail {

HeldRequests::Entry &HeldRequests::add(Ticket Which, std::size_t More,
                                       TimePoint When) {
  Entry Added;
  Added.When = When;
  Added.Order = NextOrder++;
  Added.Bytes = More;
  Timers.emplace(std::pair(When, Added.Order), Which);
  Bytes += More;
  return Known.emplace(Which, Added).first->second;
}

void HeldRequests::holdUntil(Ticket Which, std::size_t More, TimePoint Due) {
  add(Which, More, Due);
}

void HeldRequests::holdReady(Ticket Which, std::size_t More,
                             TimePoint LatestStart) {
  Ready.emplace(add(Which, More, LatestStart).Order, Which);
}

void HeldRequests::holdFor(Ticket Which, std::size_t More, TimePoint Until,
                           std::span<const std::uint32_t> Endpoints) {
  Entry &Added = add(Which, More, Until);
  Added.EndpointCount = std::min(Endpoints.size(), MostEndpoints);
  for (std::size_t Index = 0; Index < Added.EndpointCount; ++Index) {
    Added.Endpoints[Index] = Endpoints[Index];
    ByEndpoint.emplace(std::pair(Endpoints[Index], Added.Order), Which);
  }
  Choosy += Added.EndpointCount > 0 ? 1U : 0U;
}

std::optional<Ticket> HeldRequests::firstFor(std::uint32_t Endpoint) const {
  const auto First = ByEndpoint.lower_bound({Endpoint, 0});
  if (First == ByEndpoint.end() || First->first.first != Endpoint)
    return std::nullopt;
  return First->second;
}

bool HeldRequests::remove(Ticket Which) {
  const auto Found = Known.find(Which);
  if (Found == Known.end())
    return false;
  const Entry &Gone = Found->second;
  Timers.erase({Gone.When, Gone.Order});
  Ready.erase(Gone.Order);
  Bytes -= Gone.Bytes;
  for (std::size_t Index = 0; Index < Gone.EndpointCount; ++Index)
    ByEndpoint.erase({Gone.Endpoints[Index], Gone.Order});
  Choosy -= Gone.EndpointCount > 0 ? 1U : 0U;
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
