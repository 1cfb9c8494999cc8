#include "coltsfoottrail/mesh/neighbours.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace coltsfoottrail {

namespace {

using Names = std::vector<HostName>;

/// Separates the ring's hashes from other uses.
constexpr std::uint64_t RingSeed = 0x72696e67;

/// The names with the highest weights for a key.
Names highest(std::string_view Key, const Names &From, std::size_t Count) {
  std::vector<std::pair<std::uint64_t, const HostName *>> Weighted;
  Weighted.reserve(From.size());
  for (const HostName &Each : From)
    Weighted.emplace_back(rendezvousWeight(Key, Each.Text), &Each);
  const std::size_t Taken = std::min(Count, Weighted.size());
  std::partial_sort(Weighted.begin(),
                    Weighted.begin() + static_cast<std::ptrdiff_t>(Taken),
                    Weighted.end(), std::greater<>());
  Names Out;
  for (std::size_t Index = 0; Index < Taken; ++Index)
    Out.push_back(*Weighted[Index].second);
  return Out;
}

void addRing(const HostName &Self, Names Local, std::set<HostName> &Out) {
  std::sort(Local.begin(), Local.end(),
            [](const HostName &Left, const HostName &Right) {
              const std::uint64_t One = hashText(Left.Text, RingSeed);
              const std::uint64_t Other = hashText(Right.Text, RingSeed);
              return One != Other ? One < Other : Left < Right;
            });
  const auto Own = std::find(Local.begin(), Local.end(), Self);
  if (Own == Local.end())
    return;
  const auto Place = static_cast<std::size_t>(Own - Local.begin());
  Out.insert(Local[(Place + 1) % Local.size()]);
  Out.insert(Local[(Place + Local.size() - 1) % Local.size()]);
}

void addGateways(const HostName &Self, const DataCentreName &Own,
                 const std::map<DataCentreName, Names> &Centres,
                 std::size_t Count, std::set<HostName> &Out) {
  const auto GatewaysOf = [Count](const DataCentreName &Centre,
                                  const Names &Hosts) {
    return highest(Centre.Text, Hosts, Count);
  };
  const Names Ours = GatewaysOf(Own, Centres.at(Own));
  if (std::find(Ours.begin(), Ours.end(), Self) == Ours.end())
    return;
  for (const auto &[Centre, Hosts] : Centres) {
    const Names Gateways = GatewaysOf(Centre, Hosts);
    Out.insert(Gateways.begin(), Gateways.end());
  }
}

} // namespace

std::vector<HostName> chooseNeighbours(const HostName &Self,
                                       std::span<const MeshMember> Members,
                                       const NeighbourPolicy &Policy) {
  std::set<HostName> Out;
  std::map<DataCentreName, Names> Centres;
  const DataCentreName *Own = nullptr;
  for (const MeshMember &Each : Members) {
    Centres[Each.DataCentre].push_back(Each.Host);
    if (Each.Host == Self)
      Own = &Each.DataCentre;
  }
  if (Members.size() <= Policy.FullMeshMaxHosts) {
    for (const MeshMember &Each : Members)
      Out.insert(Each.Host);
  } else if (Own != nullptr) {
    const Names &Local = Centres.at(*Own);
    addRing(Self, Local, Out);
    const Names Near = highest(Self.Text, Local, Policy.ConnectionsPerHost + 1);
    for (const HostName &Each : Near)
      if (Out.size() < Policy.ConnectionsPerHost && Each != Self)
        Out.insert(Each);
    addGateways(Self, *Own, Centres, Policy.Gateways, Out);
  }
  Out.erase(Self);
  return {Out.begin(), Out.end()};
}

} // namespace coltsfoottrail
