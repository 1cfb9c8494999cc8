#include "coltsfoottrail/dispatch/held.hpp"

#include <algorithm>

namespace coltsfoottrail {

HeldRequests::Entry &HeldRequests::add(Ticket Id, std::size_t RequestBytes,
                                       TimePoint Due) {
  Entry Added;
  Added.Due = Due;
  Added.Order = NextOrder++;
  Added.Bytes = RequestBytes;
  Timers.emplace(std::pair(Due, Added.Order), Id);
  Bytes += RequestBytes;
  return Entries.emplace(Id, Added).first->second;
}

void HeldRequests::holdUntil(Ticket Id, std::size_t RequestBytes,
                             TimePoint Due) {
  add(Id, RequestBytes, Due);
}

void HeldRequests::holdReady(Ticket Id, std::size_t RequestBytes,
                             TimePoint LatestStart) {
  Ready.emplace(add(Id, RequestBytes, LatestStart).Order, Id);
}

void HeldRequests::holdForEndpoints(Ticket Id, std::size_t RequestBytes,
                                    TimePoint Until,
                                    std::span<const std::uint32_t> Endpoints) {
  Entry &Added = add(Id, RequestBytes, Until);
  Added.EndpointCount = std::min(Endpoints.size(), MaxEndpoints);
  for (std::size_t Index = 0; Index < Added.EndpointCount; ++Index) {
    Added.Endpoints[Index] = Endpoints[Index];
    ByEndpoint.emplace(std::pair(Endpoints[Index], Added.Order), Id);
  }
  EndpointWaiters += Added.EndpointCount > 0 ? 1U : 0U;
}

std::optional<Ticket>
HeldRequests::firstWaitingFor(std::uint32_t Endpoint) const {
  const auto FirstEntry = ByEndpoint.lower_bound({Endpoint, 0});
  if (FirstEntry == ByEndpoint.end() || FirstEntry->first.first != Endpoint)
    return std::nullopt;
  return FirstEntry->second;
}

bool HeldRequests::remove(Ticket Id) {
  const auto Position = Entries.find(Id);
  if (Position == Entries.end())
    return false;
  const Entry &Removed = Position->second;
  Timers.erase({Removed.Due, Removed.Order});
  Ready.erase(Removed.Order);
  Bytes -= Removed.Bytes;
  for (std::size_t Index = 0; Index < Removed.EndpointCount; ++Index)
    ByEndpoint.erase({Removed.Endpoints[Index], Removed.Order});
  EndpointWaiters -= Removed.EndpointCount > 0 ? 1U : 0U;
  Entries.erase(Position);
  return true;
}

std::optional<Ticket> HeldRequests::popDue(TimePoint Now) {
  if (Timers.empty() || Timers.begin()->first.first > Now)
    return std::nullopt;
  const Ticket Id = Timers.begin()->second;
  remove(Id);
  return Id;
}

std::vector<Ticket> HeldRequests::ready(std::size_t MaxCount) const {
  std::vector<Ticket> Result;
  for (const auto &[Order, Id] : Ready) {
    if (Result.size() == MaxCount)
      break;
    Result.push_back(Id);
  }
  return Result;
}

std::vector<Ticket> HeldRequests::all() const {
  std::vector<Ticket> Result;
  for (const auto &[Key, Id] : Timers)
    Result.push_back(Id);
  return Result;
}

std::optional<TimePoint> HeldRequests::earliest() const {
  if (Timers.empty())
    return std::nullopt;
  return Timers.begin()->first.first;
}

} // namespace coltsfoottrail
