#include "coltsfoottrail/loadshare/board.hpp"

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
  if (const auto *const Former = Reports.find(Host))
    subtract(Former->Reported);
  add(Loads);
  Reports.set(Host, {std::move(Loads), HostCount, Now, ReporterScope});
}

void LoadAggregator::forget(const HostName &Host) {
  const auto *const Former = Reports.find(Host);
  if (Former == nullptr)
    return;
  subtract(Former->Reported);
  Reports.erase(Host);
}

std::vector<EndpointLoad> LoadAggregator::sum(const HostName *ExcludedHost,
                                              Scope Included,
                                              TimePoint Now) const {
  std::map<std::uint64_t, RequestLoad> Excluded;
  for (const auto &[Host, Report] : Reports.all()) {
    if (Reports.isIncluded(Report, Included, Now) &&
        (ExcludedHost == nullptr || Host != *ExcludedHost))
      continue;
    for (const EndpointLoad &Item : Report.Reported)
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

void LoadAggregator::advance(TimePoint Now) {
  Reports.eraseExpired(
      Now, [this](const auto &Report) { subtract(Report.Reported); });
}

} // namespace coltsfoottrail
