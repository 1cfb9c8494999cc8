#include "coltsfoottrail/mesh/neighbours.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <set>

namespace coltsfoottrail {
namespace {

using Graph = std::map<HostName, std::set<HostName>>;

std::vector<MeshMember> membersOf(std::size_t Centres, std::size_t Hosts) {
  std::vector<MeshMember> Out;
  for (std::size_t Index = 0; Index < Hosts; ++Index)
    Out.push_back({HostName("entry-" + std::to_string(Index)),
                   DataCentreName("dc-" + std::to_string(Index % Centres))});
  return Out;
}

/// A connection is there when either end wants it.
Graph graphOf(const std::vector<MeshMember> &Members) {
  Graph Out;
  for (const MeshMember &Each : Members)
    for (const HostName &Other : chooseNeighbours(Each.Host, Members)) {
      Out[Each.Host].insert(Other);
      Out[Other].insert(Each.Host);
    }
  return Out;
}

/// The longest of the shortest ways from a host; nothing when one is not
/// reached.
std::optional<std::size_t> eccentricity(const Graph &Of, const HostName &From,
                                        const std::set<HostName> &Dead) {
  std::map<HostName, std::size_t> Distance = {{From, 0}};
  std::queue<HostName> Next({From});
  std::size_t Longest = 0;
  while (!Next.empty()) {
    const HostName At = Next.front();
    Next.pop();
    Longest = std::max(Longest, Distance[At]);
    for (const HostName &Other : Of.at(At))
      if (!Dead.contains(Other) &&
          Distance.try_emplace(Other, Distance[At] + 1).second)
        Next.push(Other);
  }
  if (Distance.size() + Dead.size() < Of.size())
    return std::nullopt;
  return Longest;
}

TEST(Neighbours, FewHostsAreAllConnected) {
  const auto Members = membersOf(3, 9);
  for (const MeshMember &Each : Members)
    EXPECT_EQ(chooseNeighbours(Each.Host, Members).size(), 8U);
}

TEST(Neighbours, ThousandHostsAreNearEachOtherOverFewConnections) {
  const Graph All = graphOf(membersOf(28, 1000));
  ASSERT_EQ(All.size(), 1000U);
  std::size_t Most = 0;
  std::size_t Sum = 0;
  for (const auto &[Host, Others] : All) {
    Most = std::max(Most, Others.size());
    Sum += Others.size();
  }
  EXPECT_LE(Most, 70U);
  EXPECT_LE(Sum, 12U * 1000U);
  std::size_t Longest = 0;
  for (std::size_t Index = 0; Index < 100; ++Index) {
    const HostName From("entry-" + std::to_string(Index));
    const auto Reached = eccentricity(All, From, {});
    ASSERT_TRUE(Reached);
    Longest = std::max(Longest, *Reached);
  }
  EXPECT_LE(Longest, 10U);
}

// A host dies, and it is a gateway: the rest must still reach each other before
// the agreed state names new neighbours.
TEST(Neighbours, NoSingleHostCutsTheMesh) {
  const auto Members = membersOf(6, 60);
  const Graph All = graphOf(Members);
  for (const MeshMember &Dead : Members) {
    const HostName From = Members[Dead.Host == Members[0].Host ? 1 : 0].Host;
    EXPECT_TRUE(eccentricity(All, From, {Dead.Host})) << Dead.Host.Text;
  }
}

TEST(Neighbours, OneHostMoreChangesLittle) {
  const auto Before = membersOf(28, 1000);
  const auto After = membersOf(28, 1001);
  std::size_t Changed = 0;
  for (const MeshMember &Each : Before)
    Changed += chooseNeighbours(Each.Host, Before) !=
                       chooseNeighbours(Each.Host, After)
                   ? 1
                   : 0;
  EXPECT_LE(Changed, 90U);
}

} // namespace
} // namespace coltsfoottrail
