#include "coltsfoottrail/mesh/table.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace coltsfoottrail::internal {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

const TimePoint StartTime(seconds(1000));
const DialTarget PeerAddress{"10.0.0.2", 80};

LinkId link(std::uint32_t Number) { return {Number, 1}; }

class PeerTableTest : public ::testing::Test {
protected:
  void list(const char *Host, Incarnation Run) {
    LinksToCut = Table.setPeers(
        std::vector<MeshPeer>{
            {HostName(Host), Run, PeerAddress.Address, PeerAddress.Port}},
        Now);
  }
  Admission dialled(std::uint32_t Number, const char *Host, Incarnation Run) {
    return Table.admit({link(Number), HostName(Host), Run, PeerAddress}, Now);
  }
  Admission accepted(std::uint32_t Number, const char *Host, Incarnation Run) {
    return Table.admit({link(Number), HostName(Host), Run, std::nullopt}, Now);
  }

  PeerTable Table{HostName("m"), {}, 1};
  TimePoint Now = StartTime;
  std::vector<LinkId> LinksToCut;
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

// Guards against synchronized redials: a data centre recovers while a thousand
// hosts dial into it, and without backoff and jitter they would all do so at
// the same moments.
TEST_F(PeerTableTest, RedialDelayGrowsUpToABoundWithJitter) {
  list("z", 1);
  Duration Longest{};
  TimePoint Last = Now;
  std::vector<Duration> Delays;
  for (int Round = 0; Round < 12; ++Round) {
    while (Table.due(Now).empty())
      Now += milliseconds(1);
    Delays.push_back(Now - Last);
    Longest = std::max(Longest, Delays.back());
    Last = Now;
    Table.dialFailed(PeerAddress, std::nullopt, Now);
  }
  EXPECT_GE(Delays[1], milliseconds(100));
  EXPECT_LE(Delays[1], milliseconds(301));
  EXPECT_GE(Delays[5], milliseconds(1600));
  EXPECT_LE(Longest, milliseconds(15001));
  EXPECT_NE(Delays[10], Delays[11]);
}

TEST_F(PeerTableTest, BothEndsKeepTheSameConnection) {
  PeerTable Other(HostName("z"), {}, 2);
  const DialTarget OwnAddress{"10.0.0.1", 80};
  // Connection 1 is dialled by m, connection 2 by z.
  EXPECT_FALSE(dialled(1, "z", 5).Redundant);
  EXPECT_TRUE(accepted(2, "z", 5).Redundant);
  EXPECT_FALSE(
      Other.admit({link(2), HostName("m"), 4, OwnAddress}, Now).Redundant);
  const Admission First =
      Other.admit({link(1), HostName("m"), 4, std::nullopt}, Now);
  EXPECT_FALSE(First.Redundant);
  EXPECT_EQ(First.ReplacedLink, link(2));
}

TEST_F(PeerTableTest, NewerConnectionOfTheSameDiallerReplacesTheOlderOne) {
  (void)accepted(1, "a", 5);
  const Admission Again = accepted(2, "a", 5);
  EXPECT_EQ(Again.ReplacedLink, link(1));
  EXPECT_FALSE(Table.linkClosed(link(1), Now));
  EXPECT_TRUE(Table.linkClosed(link(2), Now));
}

TEST_F(PeerTableTest, ListedRunIsNotReplacedByAnUnlistedRun) {
  list("z", 5);
  (void)dialled(1, "z", 5);
  EXPECT_EQ(accepted(2, "z", 6).Refused, PeerRefusal::RunConflict);
  list("z", 6);
  EXPECT_THAT(LinksToCut, ElementsAre(link(1)));
  EXPECT_FALSE(accepted(3, "z", 6).Refused);
  EXPECT_EQ(accepted(4, "z", 5).Refused, PeerRefusal::RetiredRun);
}

// Two processes use one host name and neither is listed in the agreed state
// yet: the later one replaces the earlier one once, and they do not keep
// replacing each other.
TEST_F(PeerTableTest, TwoUnlistedRunsDoNotReplaceEachOtherRepeatedly) {
  (void)accepted(1, "z", 5);
  EXPECT_EQ(accepted(2, "z", 6).SupersededLink, link(1));
  EXPECT_EQ(accepted(3, "z", 5).Refused, PeerRefusal::RetiredRun);
  list("z", 5);
  EXPECT_THAT(LinksToCut, ElementsAre(link(2)));
  EXPECT_FALSE(accepted(4, "z", 5).Refused);
}

TEST_F(PeerTableTest, OwnNameIsRefused) {
  EXPECT_EQ(accepted(1, "m", 9).Refused, PeerRefusal::RunConflict);
}

TEST_F(PeerTableTest, UnlistedPeerIsDisconnectedOnlyIfThisEndDialled) {
  list("z", 1);
  (void)dialled(1, "z", 1);
  EXPECT_THAT(Table.setPeers({}, Now), ElementsAre(link(1)));
  list("z", 1);
  (void)accepted(2, "z", 1);
  EXPECT_THAT(Table.setPeers({}, Now), IsEmpty());
  EXPECT_TRUE(Table.linkClosed(link(2), Now));
}

// Guards against unbounded memory: hundreds of hosts a day are replaced under
// new names, and each leaves a record of its retired runs.
TEST_F(PeerTableTest, FormerHostsAreForgotten) {
  const std::size_t HostCount = 3 * PeerTable::MaxFormerHosts;
  for (std::size_t Number = 0; Number < HostCount; ++Number) {
    const std::string Host = "z" + std::to_string(Number);
    list(Host.c_str(), 1);
    list(Host.c_str(), 2);
  }
  EXPECT_LE(Table.hostCount(), PeerTable::MaxFormerHosts + 1);
}

TEST_F(PeerTableTest, NewRunOfAPeerIsDialledWithoutBackoff) {
  list("z", 1);
  for (int Round = 0; Round < 10; ++Round)
    Table.dialFailed(PeerAddress, std::nullopt, Now);
  EXPECT_THAT(Table.due(Now), IsEmpty());
  list("z", 1);
  EXPECT_THAT(Table.due(Now), IsEmpty());
  list("z", 2);
  EXPECT_EQ(Table.due(Now).size(), 1U);
}

// Guards against a full mesh: hosts that are not neighbours are dialled only
// when there is a message for them.
TEST_F(PeerTableTest, OtherMembersAreDialledOnDemand) {
  const std::vector<MeshPeer> OnDemandPeers{
      {HostName("z"), 1, PeerAddress.Address, PeerAddress.Port, false}};
  EXPECT_THAT(Table.setPeers(OnDemandPeers, Now), IsEmpty());
  EXPECT_THAT(Table.due(Now), IsEmpty());
  EXPECT_TRUE(Table.demand(HostName("z"), Now));
  EXPECT_THAT(Table.due(Now), ::testing::SizeIs(1));
  EXPECT_TRUE(Table.expects(HostName("z"), Now));
  Table.dialFailed(PeerAddress, std::nullopt, Now);
  EXPECT_FALSE(Table.expects(HostName("z"), Now));
  EXPECT_THAT(Table.due(Now + seconds(6)), IsEmpty());
  EXPECT_FALSE(Table.demand(HostName("unknown"), Now));
}

// Guards against on-demand connections that stay open after their last message.
TEST_F(PeerTableTest, UnusedConnectionOnDemandMayBeClosed) {
  const std::vector<MeshPeer> OnDemandPeers{
      {HostName("z"), 1, PeerAddress.Address, PeerAddress.Port, false}};
  EXPECT_THAT(Table.setPeers(OnDemandPeers, Now), IsEmpty());
  EXPECT_TRUE(Table.demand(HostName("z"), Now));
  (void)Table.due(Now);
  (void)dialled(1, "z", 1);
  EXPECT_FALSE(Table.isUnused(HostName("z"), Now, Now + seconds(29)));
  EXPECT_TRUE(Table.isUnused(HostName("z"), Now, Now + seconds(30)));
  list("z", 1);
  EXPECT_FALSE(Table.isUnused(HostName("z"), Now, Now + seconds(30)));
}

TEST_F(PeerTableTest, SeedsAreDialledUntilTheirHostIsConnected) {
  Table.setSeeds(std::vector<MeshSeed>{{PeerAddress.Address, PeerAddress.Port}},
                 Now);
  EXPECT_EQ(Table.due(Now).size(), 1U);
  EXPECT_FALSE(Table.expectedAt(PeerAddress));
  (void)dialled(1, "z", 1);
  EXPECT_THAT(Table.due(Now + seconds(60)), IsEmpty());
  EXPECT_TRUE(Table.linkClosed(link(1), Now));
  EXPECT_EQ(Table.due(Now + seconds(60)).size(), 1U);
  Table.dialFailed(PeerAddress, PeerRefusal::Self, Now);
  EXPECT_THAT(Table.due(Now + seconds(600)), IsEmpty());
}

} // namespace
} // namespace coltsfoottrail::internal
