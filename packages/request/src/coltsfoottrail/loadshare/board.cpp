#include "coltsfoottrail/loadshare/board.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

void LoadAggregator::add(std::span<const EndpointLoad> Loads) {
  for (const EndpointLoad &Item : Loads)
    Sums[Item.Endpoint] += Item.Load;
}

void LoadAggregator::subtract(std::span<const EndpointLoad> Loads) {
  for (const EndpointLoad &Item : Loads) {
    const auto Position = Sums.find(Item.Endpoint);
    if (Position == Sums.end())
      continue;
    Position->second -= Item.Load;
    if (Position->second == RequestLoad{})
      Sums.erase(Position);
  }
}

void LoadAggregator::report(const HostName &Host,
                            std::vector<EndpointLoad> Loads, TimePoint Now,
                            std::size_t HostCount, Scope ReporterScope) {
  Entry &Report = Entries[Host];
  subtract(Report.Loads);
  add(Loads);
  Report = Entry{std::move(Loads), HostCount, Now, ReporterScope};
}

void LoadAggregator::forget(const HostName &Host) {
  const auto Position = Entries.find(Host);
  if (Position == Entries.end())
    return;
  subtract(Position->second.Loads);
  Entries.erase(Position);
}

std::vector<EndpointLoad> LoadAggregator::sum(const HostName *ExcludedHost,
                                              Scope Included,
                                              TimePoint Now) const {
  std::map<std::uint64_t, RequestLoad> Excluded;
  for (const auto &[Host, Report] : Entries) {
    if (isCurrent(Report, Now) && isIn(Included, Report) &&
        (ExcludedHost == nullptr || Host != *ExcludedHost))
      continue;
    for (const EndpointLoad &Item : Report.Loads)
      Excluded[Item.Endpoint] += Item.Load;
  }
  std::vector<EndpointLoad> Result;
  Result.reserve(Sums.size());
  for (const auto &[Endpoint, Load] : Sums) {
    EndpointLoad Remaining{Endpoint, Load};
    if (const auto Position = Excluded.find(Endpoint);
        Position != Excluded.end())
      Remaining.Load -= Position->second;
    if (Remaining.Load != RequestLoad{})
      Result.push_back(Remaining);
  }
  return Result;
}

std::vector<EndpointLoad> LoadAggregator::total(TimePoint Now,
                                                Scope Included) const {
  return sum(nullptr, Included, Now);
}

std::vector<EndpointLoad> LoadAggregator::others(const HostName &ExcludedHost,
                                                 TimePoint Now,
                                                 Scope Included) const {
  return sum(&ExcludedHost, Included, Now);
}

std::size_t LoadAggregator::hosts(TimePoint Now, Scope Included) const {
  std::size_t Count = 0;
  for (const auto &[Host, Report] : Entries)
    if (isCurrent(Report, Now) && isIn(Included, Report))
      Count += Report.HostCount;
  return Count;
}

std::size_t LoadAggregator::reporters(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &HostEntry) {
        return isCurrent(HostEntry.second, Now);
      }));
}

void LoadAggregator::advance(TimePoint Now) {
  std::erase_if(Entries, [&](const auto &HostEntry) {
    if (isCurrent(HostEntry.second, Now))
      return false;
    subtract(HostEntry.second.Loads);
    return true;
  });
}

} // namespace coltsfoottrail
