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
  Ordered Hosts = order(Members, Self.DataCentre);
  const auto Found = std::ranges::find(Hosts, Self.Name);
  const auto Index = static_cast<std::size_t>(Found - Hosts.begin());
  if (Found == Hosts.end())
    Hosts.push_back(Self.Name);
  Relay = Index < RelaysPerDataCentre;
  for (std::size_t Other = RelaysPerDataCentre; Other < Hosts.size(); ++Other)
    if (parentOf(Other) == Index)
      Children.push_back(Hosts[Other]);
  if (Relay)
    placeUplinks(Members, Self);
  else
    placeBelow(Hosts, Index);
}

RelayTree::Ordered RelayTree::order(std::span<const Member> Members,
                                    const DataCentreName &In) {
  Ordered Out;
  for (const Member &Each : Members)
    if (Each.DataCentre == In)
      Out.push_back(Each.Name);
  sortByWeight(Out, "relay/" + In.Text);
  return Out;
}

std::size_t RelayTree::parentOf(std::size_t Index) {
  const std::size_t Below = Index - RelaysPerDataCentre;
  if (Below < RelaysPerDataCentre * FanOut)
    return Below % RelaysPerDataCentre;
  return Below / FanOut;
}

void RelayTree::placeBelow(const Ordered &Hosts, std::size_t Index) {
  const std::size_t First = parentOf(Index);
  Parents.push_back(Hosts[First]);
  const std::size_t Second = First < RelaysPerDataCentre
                                 ? (First + 1) % RelaysPerDataCentre
                                 : First - 1;
  Parents.push_back(Hosts[Second]);
}

void RelayTree::placeUplinks(std::span<const Member> Members,
                             const Member &Self) {
  std::set<DataCentreName> Others;
  for (const Member &Each : Members)
    if (Each.DataCentre != Self.DataCentre)
      Others.insert(Each.DataCentre);
  for (const DataCentreName &Name : Others) {
    Ordered Hosts = order(Members, Name);
    Hosts.resize(std::min(Hosts.size(), RelaysPerDataCentre));
    std::ranges::move(Hosts, std::back_inserter(Parents));
  }
  sortByWeight(Parents, "uplink/" + Self.Name.Text);
  Parents.resize(std::min(Parents.size(), Uplinks));
}

} // namespace coltsfoottrail
