#include "coltsfoottrail/loadshare/board.hpp"

#include <algorithm>
#include <utility>

namespace coltsfoottrail {

void LoadBoard::add(std::span<const EndpointLoad> Loads) {
  for (const EndpointLoad &Each : Loads)
    Sums[Each.Endpoint] += Each.Load;
}

void LoadBoard::subtract(std::span<const EndpointLoad> Loads) {
  for (const EndpointLoad &Each : Loads) {
    const auto Found = Sums.find(Each.Endpoint);
    if (Found == Sums.end())
      continue;
    Found->second -= Each.Load;
    if (Found->second == RequestLoad{})
      Sums.erase(Found);
  }
}

void LoadBoard::report(const HostName &Host, std::vector<EndpointLoad> Loads,
                       TimePoint Now, std::size_t HostCount) {
  Entry &Its = Entries[Host];
  subtract(Its.Loads);
  add(Loads);
  Its = Entry{std::move(Loads), HostCount, Now};
}

void LoadBoard::forget(const HostName &Host) {
  const auto Found = Entries.find(Host);
  if (Found == Entries.end())
    return;
  subtract(Found->second.Loads);
  Entries.erase(Found);
}

std::vector<EndpointLoad> LoadBoard::sumWithout(const HostName *Left,
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

std::vector<EndpointLoad> LoadBoard::total(TimePoint Now) const {
  return sumWithout(nullptr, Now);
}

std::vector<EndpointLoad> LoadBoard::others(const HostName &Asking,
                                            TimePoint Now) const {
  return sumWithout(&Asking, Now);
}

std::size_t LoadBoard::hosts(TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &[Host, Its] : Entries)
    Count += isCurrent(Its, Now) ? Its.HostCount : 0;
  return Count;
}

std::size_t LoadBoard::reporters(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const auto &Each) {
        return isCurrent(Each.second, Now);
      }));
}

void LoadBoard::advance(TimePoint Now) {
  std::erase_if(Entries, [&](const auto &Each) {
    if (isCurrent(Each.second, Now))
      return false;
    subtract(Each.second.Loads);
    return true;
  });
}

} // namespace coltsfoottrail
