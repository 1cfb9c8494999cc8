#include "coltsfoottrail/config/tree.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace coltsfoottrail {

namespace {

/// Sorts hosts by rendezvous weight, the heaviest first.
void sortByWeight(std::vector<HostName> &Hosts, const std::string &Key) {
  std::vector<std::pair<std::uint64_t, HostName>> Weighted;
  for (HostName &Host : Hosts) {
    const std::uint64_t Weight = rendezvousWeight(Key, Host.Text);
    Weighted.emplace_back(Weight, std::move(Host));
  }
  std::ranges::sort(Weighted, std::greater{});
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    Hosts[Index] = std::move(Weighted[Index].second);
}

} // namespace

RelayTree::RelayTree(std::span<const Member> Members, const Member &Self) {
  HostOrder Hosts = orderedHosts(Members, Self.DataCentre);
  const auto It = std::ranges::find(Hosts, Self.Name);
  const auto Index = static_cast<std::size_t>(It - Hosts.begin());
  if (It == Hosts.end())
    Hosts.push_back(Self.Name);
  Relay = Index < RelaysPerDataCentre;
  for (std::size_t OtherIndex = RelaysPerDataCentre; OtherIndex < Hosts.size();
       ++OtherIndex)
    if (parentOf(OtherIndex) == Index)
      Children.push_back(Hosts[OtherIndex]);
  if (Relay)
    assignUplinks(Members, Self);
  else
    assignParents(Hosts, Index);
}

RelayTree::HostOrder RelayTree::orderedHosts(std::span<const Member> Members,
                                             const DataCentreName &DataCentre) {
  HostOrder Result;
  for (const Member &Candidate : Members)
    if (Candidate.DataCentre == DataCentre)
      Result.push_back(Candidate.Name);
  sortByWeight(Result, "relay/" + DataCentre.Text);
  return Result;
}

std::size_t RelayTree::parentOf(std::size_t Index) {
  const std::size_t Position = Index - RelaysPerDataCentre;
  if (Position < RelaysPerDataCentre * FanOut)
    return Position % RelaysPerDataCentre;
  return Position / FanOut;
}

void RelayTree::assignParents(const HostOrder &Hosts, std::size_t Index) {
  const std::size_t First = parentOf(Index);
  Parents.push_back(Hosts[First]);
  const std::size_t Second = First < RelaysPerDataCentre
                                 ? (First + 1) % RelaysPerDataCentre
                                 : First - 1;
  Parents.push_back(Hosts[Second]);
}

void RelayTree::assignUplinks(std::span<const Member> Members,
                              const Member &Self) {
  std::set<DataCentreName> Others;
  for (const Member &Candidate : Members)
    if (Candidate.DataCentre != Self.DataCentre)
      Others.insert(Candidate.DataCentre);
  for (const DataCentreName &Name : Others) {
    HostOrder Hosts = orderedHosts(Members, Name);
    Hosts.resize(std::min(Hosts.size(), RelaysPerDataCentre));
    std::ranges::move(Hosts, std::back_inserter(Parents));
  }
  sortByWeight(Parents, "uplink/" + Self.Name.Text);
  Parents.resize(std::min(Parents.size(), Uplinks));
}

} // namespace coltsfoottrail
