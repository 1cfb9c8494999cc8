#include "coltsfoottrail/mesh/table.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace coltsfoottrail::internal {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

const TimePoint Start(seconds(1000));
const DialTarget Where{"10.0.0.2", 80};

LinkId link(std::uint32_t Number) { return {Number, 1}; }

class PeerTableTest : public ::testing::Test {
protected:
  void list(const char *Host, Incarnation Run) {
    Cut = Table.setPeers(
        std::vector<MeshPeer>{{HostName(Host), Run, Where.Address, Where.Port}},
        Now);
  }
  Admission dialled(std::uint32_t Number, const char *Host, Incarnation Run) {
    return Table.admit({link(Number), HostName(Host), Run, Where}, Now);
  }
  Admission accepted(std::uint32_t Number, const char *Host, Incarnation Run) {
    return Table.admit({link(Number), HostName(Host), Run, std::nullopt}, Now);
  }

  PeerTable Table{HostName("m"), {}, 1};
  TimePoint Now = Start;
  std::vector<LinkId> Cut;
};

TEST_F(PeerTableTest, LowerNameDialsFirst) {
  list("z", 1);
  EXPECT_EQ(Table.due(Now).size(), 1U);
  EXPECT_EQ(Table.due(Now).size(), 0U);
  PeerTable Higher(HostName("zz"), {}, 1);
  EXPECT_THAT(
      Higher.setPeers(std::vector<MeshPeer>{{HostName("z"), 1, "10.0.0.2", 80}},
                      Now),
      IsEmpty());
  EXPECT_EQ(Higher.due(Now).size(), 0U);
  EXPECT_EQ(Higher.due(Now + seconds(1)).size(), 1U);
}

// A data centre comes back and a thousand hosts dial into it: without growing
// waits and jitter they would all knock at the same moments.
TEST_F(PeerTableTest, FailuresMakeTheWaitsGrowUpToABoundWithJitter) {
  list("z", 1);
  Duration Longest{};
  TimePoint Last = Now;
  std::vector<Duration> Waits;
  for (int Round = 0; Round < 12; ++Round) {
    while (Table.due(Now).empty())
      Now += milliseconds(1);
    Waits.push_back(Now - Last);
    Longest = std::max(Longest, Waits.back());
    Last = Now;
    Table.dialFailed(Where, std::nullopt, Now);
  }
  EXPECT_GE(Waits[1], milliseconds(100));
  EXPECT_LE(Waits[1], milliseconds(301));
  EXPECT_GE(Waits[5], milliseconds(1600));
  EXPECT_LE(Longest, milliseconds(15001));
  EXPECT_NE(Waits[10], Waits[11]);
}

TEST_F(PeerTableTest, BothEndsKeepTheSameConnection) {
  PeerTable Other(HostName("z"), {}, 2);
  const DialTarget Back{"10.0.0.1", 80};
  // Connection 1 is dialled by m, connection 2 by z.
  EXPECT_FALSE(dialled(1, "z", 5).Redundant);
  EXPECT_TRUE(accepted(2, "z", 5).Redundant);
  EXPECT_FALSE(Other.admit({link(2), HostName("m"), 4, Back}, Now).Redundant);
  const Admission First =
      Other.admit({link(1), HostName("m"), 4, std::nullopt}, Now);
  EXPECT_FALSE(First.Redundant);
  EXPECT_EQ(First.Replaces, link(2));
}

TEST_F(PeerTableTest, NewerConnectionOfTheSameDiallerReplacesTheOlder) {
  (void)accepted(1, "a", 5);
  const Admission Again = accepted(2, "a", 5);
  EXPECT_EQ(Again.Replaces, link(1));
  EXPECT_FALSE(Table.linkClosed(link(1), Now));
  EXPECT_TRUE(Table.linkClosed(link(2), Now));
}

TEST_F(PeerTableTest, ListedRunIsNotDisplacedByAStranger) {
  list("z", 5);
  (void)dialled(1, "z", 5);
  EXPECT_EQ(accepted(2, "z", 6).Refused, PeerRefusal::RunConflict);
  list("z", 6);
  EXPECT_THAT(Cut, ElementsAre(link(1)));
  EXPECT_FALSE(accepted(3, "z", 6).Refused);
  EXPECT_EQ(accepted(4, "z", 5).Refused, PeerRefusal::RetiredRun);
}

// Two processes run under one name and neither is in the agreed state yet: the
// later one wins once, and they do not push each other out in turns.
TEST_F(PeerTableTest, TwoUnlistedRunsDoNotTakeTurns) {
  (void)accepted(1, "z", 5);
  EXPECT_EQ(accepted(2, "z", 6).SupersededLink, link(1));
  EXPECT_EQ(accepted(3, "z", 5).Refused, PeerRefusal::RetiredRun);
  list("z", 5);
  EXPECT_THAT(Cut, ElementsAre(link(2)));
  EXPECT_FALSE(accepted(4, "z", 5).Refused);
}

TEST_F(PeerTableTest, OwnNameIsRefused) {
  EXPECT_EQ(accepted(1, "m", 9).Refused, PeerRefusal::RunConflict);
}

TEST_F(PeerTableTest, UnwantedPeerIsLeftOnlyIfThisEndDialled) {
  list("z", 1);
  (void)dialled(1, "z", 1);
  EXPECT_THAT(Table.setPeers({}, Now), ElementsAre(link(1)));
  list("z", 1);
  (void)accepted(2, "z", 1);
  EXPECT_THAT(Table.setPeers({}, Now), IsEmpty());
  EXPECT_TRUE(Table.linkClosed(link(2), Now));
}

// Hosts are replaced by hundreds a day under new names: what is remembered of
// those that are gone must not grow for ever.
TEST_F(PeerTableTest, FormerHostsAreForgotten) {
  const std::size_t Many = 3 * PeerTable::MaxFormerHosts;
  for (std::size_t Number = 0; Number < Many; ++Number) {
    const std::string Host = "z" + std::to_string(Number);
    list(Host.c_str(), 1);
    list(Host.c_str(), 2);
  }
  EXPECT_LE(Table.knownHosts(), PeerTable::MaxFormerHosts + 1);
}

TEST_F(PeerTableTest, RestartedPeerIsDialledWithoutTheOldWaits) {
  list("z", 1);
  for (int Round = 0; Round < 10; ++Round)
    Table.dialFailed(Where, std::nullopt, Now);
  EXPECT_THAT(Table.due(Now), IsEmpty());
  list("z", 1);
  EXPECT_THAT(Table.due(Now), IsEmpty());
  list("z", 2);
  EXPECT_EQ(Table.due(Now).size(), 1U);
}

// Guards against a full mesh: other members are not dialled unasked.
TEST_F(PeerTableTest, OtherMembersAreDialledOnDemand) {
  const std::vector<MeshPeer> Far{
      {HostName("z"), 1, Where.Address, Where.Port, false}};
  EXPECT_THAT(Table.setPeers(Far, Now), IsEmpty());
  EXPECT_THAT(Table.due(Now), IsEmpty());
  EXPECT_TRUE(Table.demand(HostName("z"), Now));
  EXPECT_THAT(Table.due(Now), ::testing::SizeIs(1));
  EXPECT_TRUE(Table.expects(HostName("z"), Now));
  Table.dialFailed(Where, std::nullopt, Now);
  EXPECT_FALSE(Table.expects(HostName("z"), Now));
  EXPECT_THAT(Table.due(Now + seconds(6)), IsEmpty());
  EXPECT_FALSE(Table.demand(HostName("unknown"), Now));
}

// Guards against connections that stay after their last message.
TEST_F(PeerTableTest, UnusedConnectionOnDemandMayBeClosed) {
  const std::vector<MeshPeer> Far{
      {HostName("z"), 1, Where.Address, Where.Port, false}};
  EXPECT_THAT(Table.setPeers(Far, Now), IsEmpty());
  EXPECT_TRUE(Table.demand(HostName("z"), Now));
  (void)Table.due(Now);
  (void)dialled(1, "z", 1);
  EXPECT_FALSE(Table.isUnused(HostName("z"), Now, Now + seconds(29)));
  EXPECT_TRUE(Table.isUnused(HostName("z"), Now, Now + seconds(30)));
  list("z", 1);
  EXPECT_FALSE(Table.isUnused(HostName("z"), Now, Now + seconds(30)));
}

TEST_F(PeerTableTest, SeedsAreDialledUntilTheirHostIsConnected) {
  Table.setSeeds(std::vector<MeshSeed>{{Where.Address, Where.Port}}, Now);
  EXPECT_EQ(Table.due(Now).size(), 1U);
  EXPECT_FALSE(Table.expectedAt(Where));
  (void)dialled(1, "z", 1);
  EXPECT_THAT(Table.due(Now + seconds(60)), IsEmpty());
  EXPECT_TRUE(Table.linkClosed(link(1), Now));
  EXPECT_EQ(Table.due(Now + seconds(60)).size(), 1U);
  Table.dialFailed(Where, PeerRefusal::Self, Now);
  EXPECT_THAT(Table.due(Now + seconds(600)), IsEmpty());
}

} // namespace
} // namespace coltsfoottrail::internal
