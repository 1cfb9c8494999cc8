#include "sparsemesh.hpp"

#include "coltsfoottrail/mesh/neighbours.hpp"
#include "coltsfoottrail/quarantine/quarantine.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <span>

namespace coltsfoottrail::testing {
namespace {

class SparseMeshOf : public ::testing::TestWithParam<std::size_t> {};

// Guards against removing live hosts whose watchers are not their neighbours.
TEST_P(SparseMeshOf, IdleHostsStayMembers) {
  SparseMesh Fleet(GetParam());
  Fleet.run(seconds(120));
  EXPECT_EQ(Fleet.members().size(), GetParam());
}

// Guards against keeping a dead host as a member if its watchers are not
// connected to it.
TEST_P(SparseMeshOf, DeadHostIsRemovedInTime) {
  SparseMesh Fleet(GetParam());
  Fleet.run(seconds(60));
  Fleet.kill(GetParam() / 2);
  Fleet.run(seconds(10));
  EXPECT_EQ(Fleet.members().size(), GetParam() - 1);
  EXPECT_FALSE(Fleet.members().contains(SparseMesh::nameOf(GetParam() / 2)));
}

INSTANTIATE_TEST_SUITE_P(Sizes, SparseMeshOf, ::testing::Values(33, 40, 100));

// Guards against a full mesh: an idle host is connected only to its neighbours,
// to the hosts it watches and to the hosts that watch it.
TEST(SparseMesh, IdleHostsKeepFewConnections) {
  SparseMesh Fleet(150);
  Fleet.run(seconds(120));
  EXPECT_LT(Fleet.maxLinks(), 50U);
}

// Guards against crash notices that reach only the neighbours of a host.
TEST(SparseMesh, NoticesReachAllHostsByTheirNeighbours) {
  constexpr std::size_t Count = 100;
  constexpr std::uint64_t Fingerprint = 7;
  const TimePoint Now{seconds(1'000)};
  std::vector<MeshMember> Members;
  std::vector<Quarantine> Quarantines(Count, Quarantine{QuarantineLimits{}});
  std::map<HostName, std::size_t> IndexByHost;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Members.push_back({HostName(SparseMesh::nameOf(Index)),
                       DataCentreName("dc-" + std::to_string(Index % 3))});
    IndexByHost[Members.back().Host] = Index;
  }
  Quarantines[0].endpointLost("a", DataCentreName("dc-0"), 1,
                              std::span(&Fingerprint, 1), Now);
  const EndpointNotice Notice = Quarantines[0].takeNotices(Now).front();
  std::deque<std::size_t> Queue{0};
  while (!Queue.empty()) {
    const HostName &Self = Members[Queue.front()].Host;
    Queue.pop_front();
    for (const HostName &Peer : chooseNeighbours(Self, Members))
      if (Quarantines[IndexByHost.at(Peer)].observe(Notice, Now))
        Queue.push_back(IndexByHost.at(Peer));
  }
  for (const Quarantine &Host : Quarantines)
    EXPECT_EQ(Host.standing(Fingerprint, Now), Standing::Suspect);
}

} // namespace
} // namespace coltsfoottrail::testing
