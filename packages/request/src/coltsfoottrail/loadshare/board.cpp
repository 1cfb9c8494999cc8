#include "coltsfoottrail/loadshare/board.hpp"

#include <algorithm>

namespace coltsfoottrail {

void LoadBoard::report(const HostName &Host, std::vector<EndpointLoad> Loads,
                       TimePoint Now) {
  Hosts.insert_or_assign(Host, Told{std::move(Loads), Now});
}

std::vector<EndpointLoad> LoadBoard::others(const HostName &Asking,
                                            TimePoint Now) const {
  std::map<std::uint64_t, RequestLoad> Sums;
  for (const auto &[Host, Its] : Hosts) {
    if (Host == Asking || Now - Its.At >= ReportLife)
      continue;
    for (const EndpointLoad &Each : Its.Loads)
      Sums[Each.Endpoint] += Each.Load;
  }
  std::vector<EndpointLoad> Out;
  Out.reserve(Sums.size());
  for (const auto &[Endpoint, Load] : Sums)
    Out.push_back({Endpoint, Load});
  return Out;
}

std::size_t LoadBoard::hosts(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(Hosts.begin(), Hosts.end(), [&](const auto &Entry) {
        return Now - Entry.second.At < ReportLife;
      }));
}

void LoadBoard::advance(TimePoint Now) {
  std::erase_if(Hosts, [&](const auto &Entry) {
    return Now - Entry.second.At >= ReportLife;
  });
}

} // namespace coltsfoottrail
