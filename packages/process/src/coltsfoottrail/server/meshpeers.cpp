#include "coltsfoottrail/server/meshpeers.hpp"

#include "coltsfoottrail/mesh/neighbours.hpp"

#include <algorithm>

namespace coltsfoottrail {

std::vector<MeshPeer> meshPeers(const HostName &Self, const State &Now) {
  std::vector<MeshMember> All;
  for (const auto &[Name, Host] : Now.EntryHosts)
    All.push_back({Name, Host.Joined.DataCentre});
  const std::vector<HostName> Neighbours = chooseNeighbours(Self, All);
  std::vector<MeshPeer> Out;
  for (const auto &[Name, Host] : Now.EntryHosts) {
    if (Name == Self)
      continue;
    const EntryHostJoined &Peer = Host.Joined;
    const bool Near =
        std::binary_search(Neighbours.begin(), Neighbours.end(), Name);
    Out.push_back({Name, Peer.Run, Peer.Address, Peer.MeshPort, Near});
  }
  return Out;
}

} // namespace coltsfoottrail
