#include "coltsfoottrail/mesh/neighbours.hpp"

#include "coltsfoottrail/core/hash.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace coltsfoottrail {

namespace {

using Names = std::vector<HostName>;

/// Hash seed of ring positions, so that they are independent of other hashes.
constexpr std::uint64_t RingSeed = 0x72696e67;

/// The names with the highest rendezvous weights for a key.
Names highest(std::string_view Key, const Names &Candidates,
              std::size_t Count) {
  std::vector<std::pair<std::uint64_t, const HostName *>> Weighted;
  Weighted.reserve(Candidates.size());
  for (const HostName &Candidate : Candidates)
    Weighted.emplace_back(rendezvousWeight(Key, Candidate.Text), &Candidate);
  const std::size_t Selected = std::min(Count, Weighted.size());
  std::partial_sort(Weighted.begin(),
                    Weighted.begin() + static_cast<std::ptrdiff_t>(Selected),
                    Weighted.end(), std::greater<>());
  Names Highest;
  for (std::size_t Index = 0; Index < Selected; ++Index)
    Highest.push_back(*Weighted[Index].second);
  return Highest;
}

void addRing(const HostName &Self, Names Local,
             std::set<HostName> &Neighbours) {
  std::sort(Local.begin(), Local.end(),
            [](const HostName &Left, const HostName &Right) {
              const std::uint64_t One = hashText(Left.Text, RingSeed);
              const std::uint64_t Other = hashText(Right.Text, RingSeed);
              return One != Other ? One < Other : Left < Right;
            });
  const auto SelfEntry = std::find(Local.begin(), Local.end(), Self);
  if (SelfEntry == Local.end())
    return;
  const auto RingIndex = static_cast<std::size_t>(SelfEntry - Local.begin());
  Neighbours.insert(Local[(RingIndex + 1) % Local.size()]);
  Neighbours.insert(Local[(RingIndex + Local.size() - 1) % Local.size()]);
}

void addGateways(const HostName &Self, const DataCentreName &OwnCentre,
                 const std::map<DataCentreName, Names> &HostsByCentre,
                 std::size_t Count, std::set<HostName> &Neighbours) {
  const auto SelectGateways = [Count](const DataCentreName &Centre,
                                      const Names &Hosts) {
    return highest(Centre.Text, Hosts, Count);
  };
  const Names LocalGateways =
      SelectGateways(OwnCentre, HostsByCentre.at(OwnCentre));
  if (std::find(LocalGateways.begin(), LocalGateways.end(), Self) ==
      LocalGateways.end())
    return;
  for (const auto &[Centre, Hosts] : HostsByCentre) {
    const Names Gateways = SelectGateways(Centre, Hosts);
    Neighbours.insert(Gateways.begin(), Gateways.end());
  }
}

} // namespace

std::vector<HostName> chooseNeighbours(const HostName &Self,
                                       std::span<const MeshMember> Members,
                                       const NeighbourPolicy &Policy) {
  std::set<HostName> Neighbours;
  std::map<DataCentreName, Names> HostsByCentre;
  const DataCentreName *OwnCentre = nullptr;
  for (const MeshMember &Member : Members) {
    HostsByCentre[Member.DataCentre].push_back(Member.Host);
    if (Member.Host == Self)
      OwnCentre = &Member.DataCentre;
  }
  if (Members.size() <= Policy.FullMeshMaxHosts) {
    for (const MeshMember &Member : Members)
      Neighbours.insert(Member.Host);
  } else if (OwnCentre != nullptr) {
    const Names &Local = HostsByCentre.at(*OwnCentre);
    addRing(Self, Local, Neighbours);
    const Names Nearest =
        highest(Self.Text, Local, Policy.ConnectionsPerHost + 1);
    for (const HostName &Host : Nearest)
      if (Neighbours.size() < Policy.ConnectionsPerHost && Host != Self)
        Neighbours.insert(Host);
    addGateways(Self, *OwnCentre, HostsByCentre, Policy.GatewaysPerCentre,
                Neighbours);
  }
  Neighbours.erase(Self);
  return {Neighbours.begin(), Neighbours.end()};
}

} // namespace coltsfoottrail
