#include "coltsfoottrail/mesh/neighbours.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <set>

namespace coltsfoottrail {
namespace {

using Graph = std::map<HostName, std::set<HostName>>;

std::vector<MeshMember> makeMembers(std::size_t Centres, std::size_t Hosts) {
  std::vector<MeshMember> Members;
  for (std::size_t Index = 0; Index < Hosts; ++Index)
    Members.push_back(
        {HostName("entry-" + std::to_string(Index)),
         DataCentreName("dc-" + std::to_string(Index % Centres))});
  return Members;
}

/// Undirected graph: two hosts are connected when either selects the other.
Graph buildGraph(const std::vector<MeshMember> &Members) {
  Graph Edges;
  for (const MeshMember &Member : Members)
    for (const HostName &Other : chooseNeighbours(Member.Host, Members)) {
      Edges[Member.Host].insert(Other);
      Edges[Other].insert(Member.Host);
    }
  return Edges;
}

/// The longest of the shortest paths from a host; not set when a host that is
/// not dead cannot be reached.
std::optional<std::size_t> eccentricity(const Graph &Edges,
                                        const HostName &Source,
                                        const std::set<HostName> &Dead) {
  std::map<HostName, std::size_t> Distance = {{Source, 0}};
  std::queue<HostName> Frontier({Source});
  std::size_t Longest = 0;
  while (!Frontier.empty()) {
    const HostName Host = Frontier.front();
    Frontier.pop();
    Longest = std::max(Longest, Distance[Host]);
    for (const HostName &Other : Edges.at(Host))
      if (!Dead.contains(Other) &&
          Distance.try_emplace(Other, Distance[Host] + 1).second)
        Frontier.push(Other);
  }
  if (Distance.size() + Dead.size() < Edges.size())
    return std::nullopt;
  return Longest;
}

TEST(Neighbours, FewHostsFormAFullMesh) {
  const auto Members = makeMembers(3, 9);
  for (const MeshMember &Member : Members)
    EXPECT_EQ(chooseNeighbours(Member.Host, Members).size(), 8U);
}

TEST(Neighbours, ThousandHostsHaveShortPathsWithFewConnections) {
  const Graph All = buildGraph(makeMembers(28, 1000));
  ASSERT_EQ(All.size(), 1000U);
  std::size_t MaxDegree = 0;
  std::size_t DegreeSum = 0;
  for (const auto &[Host, Others] : All) {
    MaxDegree = std::max(MaxDegree, Others.size());
    DegreeSum += Others.size();
  }
  EXPECT_LE(MaxDegree, 70U);
  EXPECT_LE(DegreeSum, 12U * 1000U);
  std::size_t Longest = 0;
  for (std::size_t Index = 0; Index < 100; ++Index) {
    const HostName Source("entry-" + std::to_string(Index));
    const auto Reached = eccentricity(All, Source, {});
    ASSERT_TRUE(Reached);
    Longest = std::max(Longest, *Reached);
  }
  EXPECT_LE(Longest, 10U);
}

// Guards against a partition when a single host, possibly a gateway, dies: the
// others must still reach each other before the agreed state changes.
TEST(Neighbours, NoSingleHostPartitionsTheMesh) {
  const auto Members = makeMembers(6, 60);
  const Graph All = buildGraph(Members);
  for (const MeshMember &Dead : Members) {
    const HostName Source = Members[Dead.Host == Members[0].Host ? 1 : 0].Host;
    EXPECT_TRUE(eccentricity(All, Source, {Dead.Host})) << Dead.Host.Text;
  }
}

TEST(Neighbours, AddingOneHostChangesFewNeighbours) {
  const auto Before = makeMembers(28, 1000);
  const auto After = makeMembers(28, 1001);
  std::size_t Changed = 0;
  for (const MeshMember &Member : Before)
    Changed += chooseNeighbours(Member.Host, Before) !=
                       chooseNeighbours(Member.Host, After)
                   ? 1
                   : 0;
  EXPECT_LE(Changed, 90U);
}

} // namespace
} // namespace coltsfoottrail
