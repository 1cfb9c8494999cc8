#include "coltsfoottrail/loadshare/board.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

void LoadAggregator::add(std::span<const EndpointLoad> Loads) {
  for (const EndpointLoad &Each : Loads)
    Sums[Each.Endpoint] += Each.Load;
}

void LoadAggregator::subtract(std::span<const EndpointLoad> Loads) {
  for (const EndpointLoad &Each : Loads) {
    const auto Found = Sums.find(Each.Endpoint);
    if (Found == Sums.end())
      continue;
    Found->second -= Each.Load;
    if (Found->second == RequestLoad{})
      Sums.erase(Found);
  }
}

void LoadAggregator::report(const HostName &Host,
                            std::vector<EndpointLoad> Loads, TimePoint Now,
                            std::size_t HostCount) {
  Entry &Its = Entries[Host];
  subtract(Its.Loads);
  add(Loads);
  Its = Entry{std::move(Loads), HostCount, Now};
}

void LoadAggregator::forget(const HostName &Host) {
  const auto Found = Entries.find(Host);
  if (Found == Entries.end())
    return;
  subtract(Found->second.Loads);
  Entries.erase(Found);
}

std::vector<EndpointLoad> LoadAggregator::sumWithout(const HostName *Left,
                                                     TimePoint Now) const {
  std::map<std::uint64_t, RequestLoad> Excluded;
  for (const auto &[Host, Its] : Entries) {
    if (isCurrent(Its, Now) && (Left == nullptr || Host != *Left))
      continue;
    for (const EndpointLoad &Each : Its.Loads)
      Excluded[Each.Endpoint] += Each.Load;
  }
  std::vector<EndpointLoad> Out;
  Out.reserve(Sums.size());
  for (const auto &[Endpoint, Load] : Sums) {
    EndpointLoad Rest{Endpoint, Load};
    if (const auto Found = Excluded.find(Endpoint); Found != Excluded.end())
      Rest.Load -= Found->second;
    if (Rest.Load != RequestLoad{})
      Out.push_back(Rest);
  }
  return Out;
}

std::vector<EndpointLoad> LoadAggregator::total(TimePoint Now) const {
  return sumWithout(nullptr, Now);
}

std::vector<EndpointLoad> LoadAggregator::others(const HostName &Asking,
                                                 TimePoint Now) const {
  return sumWithout(&Asking, Now);
}

std::size_t LoadAggregator::hosts(TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &[Host, Its] : Entries)
    Count += isCurrent(Its, Now) ? Its.HostCount : 0;
  return Count;
}

std::size_t LoadAggregator::reporters(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Each) {
        return isCurrent(Each.second, Now);
      }));
}

void LoadAggregator::advance(TimePoint Now) {
  std::erase_if(Entries, [&](const auto &Each) {
    if (isCurrent(Each.second, Now))
      return false;
    subtract(Each.second.Loads);
    return true;
  });
}

} // namespace coltsfoottrail
