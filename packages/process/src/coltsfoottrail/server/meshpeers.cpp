#include "coltsfoottrail/server/meshpeers.hpp"

#include "coltsfoottrail/mesh/neighbours.hpp"

#include <algorithm>

namespace coltsfoottrail {

std::vector<MeshPeer> meshPeers(const HostName &Self, const State &Now) {
  std::vector<MeshMember> All;
  for (const auto &[Name, Host] : Now.EntryHosts)
    All.push_back({Name, Host.JoinRecord.DataCentre});
  const std::vector<HostName> Neighbours = chooseNeighbours(Self, All);
  std::vector<MeshPeer> Peers;
  for (const auto &[Name, Host] : Now.EntryHosts) {
    if (Name == Self)
      continue;
    const EntryHostJoined &Joined = Host.JoinRecord;
    const bool IsNear =
        std::binary_search(Neighbours.begin(), Neighbours.end(), Name);
    Peers.push_back(
        {Name, Joined.Run, Joined.Address, Joined.MeshPort, IsNear});
  }
  return Peers;
}

} // namespace coltsfoottrail
