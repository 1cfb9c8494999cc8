#include "coltsfoottrail/config/follower.hpp"

#include "coltsfoottrail/config/simulatedcluster.hpp"

#include <gtest/gtest.h>
#include <iostream>

namespace coltsfoottrail {
namespace {

using test::SimulatedCluster;
using test::Traffic;

constexpr std::uint64_t Seed = 20261203;
constexpr Duration InForceLimit = seconds(4);

class FollowerOfNine : public testing::Test {
protected:
  void SetUp() override {
    Cluster.append();
    Cluster.run(seconds(5));
    ASSERT_EQ(Cluster.count(Freshness::Fresh), 9U);
    ASSERT_TRUE(Cluster.isInForceEverywhere());
    Cluster.clearSeenFreshness();
  }
  void TearDown() override { EXPECT_TRUE(Cluster.allInOrder()); }

  [[nodiscard]] std::vector<std::size_t>
  relaysOfDataCentre(std::size_t DataCentre) {
    std::vector<std::size_t> Result;
    for (std::size_t Index = DataCentre; Index < 9; Index += 3)
      if (Cluster.Hosts[Index].Instance->tree().isRelay())
        Result.push_back(Index);
    return Result;
  }

  SimulatedCluster Cluster{9, 3, Seed};
};

// Two relays lose their connection to the log. Without the records from their
// peers, they would serve callers that the balancer sends there under an old
// configuration.
TEST_F(FollowerOfNine, HostsCutOffFromTheLogFollowTheirPeers) {
  for (const std::size_t Index : relaysOfDataCentre(0))
    Cluster.Hosts[Index].CutFromLog = true;
  Cluster.run(seconds(10));
  Cluster.append();
  EXPECT_LT(Cluster.runUntilInForceEverywhere(seconds(30)), InForceLimit);
  Cluster.run(seconds(20));
  for (const SimulatedCluster::Host &Host : Cluster.Hosts)
    EXPECT_EQ(Host.SeenFreshness, std::set{Freshness::Fresh})
        << Host.Identity.Name.Text;
}

// A partition isolates one host. The others agree on a drain of which it cannot
// know, so it must start no work until it has caught up.
TEST_F(FollowerOfNine, HostCutOffFromAllIsLeftBehind) {
  Cluster.Hosts[4].CutFromLog = true;
  Cluster.Linked = [](std::size_t From, std::size_t To) {
    return From != 4 && To != 4;
  };
  Cluster.append();
  Cluster.run(seconds(4) + milliseconds(10));
  EXPECT_EQ(Cluster.Hosts[4].LastFreshness, Freshness::LeftBehind);
  EXPECT_EQ(Cluster.count(Freshness::Fresh), 8U);
  Cluster.Linked = [](std::size_t, std::size_t) { return true; };
  Cluster.run(seconds(3));
  EXPECT_EQ(Cluster.Hosts[4].LastFreshness, Freshness::Fresh);
  EXPECT_TRUE(Cluster.isInForceEverywhere());
}

// A data centre is cut off from the log and from the others. Its three hosts
// reach each other and all report that the log is down, but they are the
// minority, and the majority may have agreed on a drain.
TEST_F(FollowerOfNine, MinorityThatHearsOnlyItselfIsLeftBehind) {
  for (std::size_t Index = 0; Index < 9; Index += 3)
    Cluster.Hosts[Index].CutFromLog = true;
  Cluster.Linked = [](std::size_t From, std::size_t To) {
    return (From % 3 == 0) == (To % 3 == 0);
  };
  Cluster.run(seconds(15));
  EXPECT_EQ(Cluster.count(Freshness::LeftBehind), 3U);
  EXPECT_EQ(Cluster.count(Freshness::Fresh), 6U);
  for (std::size_t Index = 0; Index < 9; Index += 3)
    EXPECT_FALSE(
        Cluster.Hosts[Index].SeenFreshness.contains(Freshness::LogDownForAll));
}

// The log is down for all hosts for an hour. Nothing can be agreed on, so no
// host can be behind another; if all of them stopped, every caller would be
// refused without need.
TEST_F(FollowerOfNine, LogDownForAllIsNoReasonToStop) {
  Cluster.LogDown = true;
  Cluster.run(std::chrono::hours(1));
  EXPECT_EQ(Cluster.count(Freshness::LogDownForAll), 9U);
  for (const SimulatedCluster::Host &Host : Cluster.Hosts)
    EXPECT_FALSE(Host.SeenFreshness.contains(Freshness::LeftBehind))
        << Host.Identity.Name.Text;
  Cluster.LogDown = false;
  Cluster.append();
  EXPECT_LT(Cluster.runUntilInForceEverywhere(seconds(30)), InForceLimit);
  Cluster.run(seconds(3));
  EXPECT_EQ(Cluster.count(Freshness::Fresh), 9U);
}

// Nearly a third of all messages between hosts is lost, so records arrive with
// gaps. A host that skipped one would serve a configuration that never existed.
TEST_F(FollowerOfNine, LostMessagesLeaveNoGaps) {
  Cluster.Loss = 0.3;
  for (int Round = 0; Round < 50; ++Round) {
    Cluster.append();
    Cluster.run(milliseconds(50));
  }
  EXPECT_LT(Cluster.runUntilInForceEverywhere(seconds(60)), seconds(10));
}

// A host restarts from an old checkpoint, and the replica of the log that it
// reads lags. It must not serve the old state while any peer that it hears from
// has reported a newer one.
TEST_F(FollowerOfNine, RestartedHostServesNothingOlderThanItsPeers) {
  for (int Round = 0; Round < 20; ++Round)
    Cluster.append();
  Cluster.run(seconds(2));
  const std::size_t Index = relaysOfDataCentre(1).front();
  Cluster.Lag[Index] = 15;
  Cluster.startHost(Index, 1);
  for (int Step = 0; Step < 2000; ++Step) {
    Cluster.run(milliseconds(1));
    if (Cluster.Hosts[Index].LastFreshness == Freshness::Fresh)
      break;
  }
  EXPECT_EQ(Cluster.Hosts[Index].LastFreshness, Freshness::Fresh);
  EXPECT_EQ(Cluster.Hosts[Index].NextToFold, Cluster.Log.size());
}

// The two relays of a data centre fail. Its other host gets records from nobody
// and must not wait for a membership change, which may take long.
TEST_F(FollowerOfNine, DeadRelaysAreReplacedByTheLogItself) {
  for (const std::size_t Index : relaysOfDataCentre(2))
    Cluster.Hosts[Index].Alive = false;
  Cluster.append();
  EXPECT_LT(Cluster.runUntilInForceEverywhere(seconds(30)), InForceLimit);
  Cluster.run(seconds(20));
  EXPECT_EQ(Cluster.count(Freshness::Fresh), 7U);
  for (const SimulatedCluster::Host &Host : Cluster.Hosts)
    EXPECT_FALSE(Host.SeenFreshness.contains(Freshness::LeftBehind) &&
                 Host.Alive);
}

// A host could not reach the log for longer than the log keeps records, while
// the others went on. Continuing at the horizon would skip the records in
// between.
TEST_F(FollowerOfNine, LogTrimmedAboveTheStateRequiresRecovery) {
  const std::size_t Index = relaysOfDataCentre(0).front();
  Cluster.Hosts[Index].CutFromLog = true;
  Cluster.Linked = [Index](std::size_t From, std::size_t To) {
    return From != Index && To != Index;
  };
  for (int Round = 0; Round < 10; ++Round)
    Cluster.append();
  Cluster.run(seconds(5));
  Cluster.Horizon = 8;
  Cluster.Hosts[Index].CutFromLog = false;
  Cluster.run(seconds(3));
  EXPECT_EQ(Cluster.Hosts[Index].Floors, std::vector<Offset>{1});
  EXPECT_EQ(Cluster.Hosts[Index].NextToFold, 1U);
  EXPECT_EQ(Cluster.Hosts[Index].LastFreshness, Freshness::LeftBehind);
  Cluster.Linked = [](std::size_t, std::size_t) { return true; };
  Cluster.Hosts[Index].Instance->restart(9);
  Cluster.Hosts[Index].NextToFold = 9;
  Cluster.run(seconds(3));
  EXPECT_EQ(Cluster.Hosts[Index].LastFreshness, Freshness::Fresh);
  EXPECT_TRUE(Cluster.isInForceEverywhere());
}

// A host's process is paused for a minute and resumes while it accepts a
// request. Its last known freshness was Fresh, but others have drained a data
// centre meanwhile.
TEST_F(FollowerOfNine, PausedHostIsNotFreshWhenItWakes) {
  const Follower &Paused = *Cluster.Hosts[0].Instance;
  EXPECT_EQ(Paused.freshness(Cluster.Now), Freshness::Fresh);
  EXPECT_EQ(Paused.freshness(Cluster.Now + seconds(60)), Freshness::LeftBehind);
}

/// A single follower to which the test passes events directly.
class OneFollower : public testing::Test {
protected:
  void SetUp() override {
    Instance.setMembers(
        std::vector<Member>{Self,
                            {HostName("b"), DataCentreName("dc0")},
                            {HostName("c"), DataCentreName("dc0")},
                            {HostName("d"), DataCentreName("dc1")}});
    Instance.advance(Start, Commands);
  }

  template <class Command> [[nodiscard]] Command last() const {
    for (auto It = Commands.rbegin(); It != Commands.rend(); ++It)
      if (const auto *const Match = std::get_if<Command>(&*It))
        return *Match;
    ADD_FAILURE() << "no such command";
    return Command{};
  }

  static FollowerOptions optionsOf(const Member &Identity) {
    FollowerOptions Options;
    Options.Self = Identity;
    return Options;
  }

  const Member Self{HostName("a"), DataCentreName("dc0")};
  const TimePoint Start{seconds(1000)};
  Follower Instance{optionsOf(Self), 5, Start};
  FollowCommands Commands;
};

// A peer's answer is delayed in a buffer for a minute. Dated from its arrival,
// it would prove a state fresh that is a minute old.
TEST_F(OneFollower, DelayedAnswerProvesNoMoreThanItsQuery) {
  const auto Query = last<SendQuery>();
  const TimePoint ReceivedAt = Start + seconds(60);
  Instance.onAnswer(Query.Peer, FollowAnswer{Query.Query.Stamp, 5, Duration{}},
                    ReceivedAt, Commands);
  EXPECT_EQ(Instance.proofAge(ReceivedAt), Duration(seconds(60)));
  EXPECT_NE(Instance.freshness(ReceivedAt), Freshness::Fresh);
}

// A host and a peer read a lagging replica of the log and repeatedly find
// nothing new there, but another peer has reported a newer state. If that were
// ignored, the host would continue to serve in a drained data centre.
TEST_F(OneFollower, LaggingCopyOfTheLogProvesNothingAgainstAPeer) {
  const auto FirstQuery = last<SendQuery>();
  Instance.onAnswer(FirstQuery.Peer,
                    FollowAnswer{FirstQuery.Query.Stamp, 5, Duration{}}, Start,
                    Commands);
  ASSERT_EQ(Instance.freshness(Start), Freshness::Fresh);
  const auto SecondTime = Start + seconds(1);
  Instance.advance(SecondTime, Commands);
  const auto NewerQuery = last<SendQuery>();
  Instance.onAnswer(NewerQuery.Peer,
                    FollowAnswer{NewerQuery.Query.Stamp, 9, Duration{}},
                    SecondTime, Commands);
  TimePoint Now = SecondTime;
  for (int Round = 0; Round < 60; ++Round) {
    Now += milliseconds(100);
    Instance.onRead(last<ReadAgreed>().Number, LogBatch{{}, 5, 0}, Now,
                    Commands);
    Instance.advance(Now, Commands);
    const auto Query = last<SendQuery>();
    Instance.onAnswer(Query.Peer,
                      FollowAnswer{Query.Query.Stamp, 5, Duration{}}, Now,
                      Commands);
  }
  EXPECT_NE(Instance.freshness(Now), Freshness::Fresh);
}

// In a deployment of a single host, the log goes down. No other host could have
// agreed on anything, so it continues to serve. But a host that has just
// started may have an old checkpoint, and other hosts may have run before.
TEST(Follower, OnlyMemberContinuesToServeOnceItsStateWasProved) {
  SimulatedCluster Cluster(1, 1, Seed);
  Cluster.append();
  Cluster.run(seconds(3));
  EXPECT_EQ(Cluster.count(Freshness::Fresh), 1U);
  Cluster.LogDown = true;
  Cluster.run(seconds(30));
  EXPECT_EQ(Cluster.count(Freshness::LogDownForAll), 1U);
  Cluster.startHost(0, 1);
  Cluster.run(seconds(30));
  EXPECT_EQ(Cluster.count(Freshness::Starting), 1U);
}

void report(const char *Label, const SimulatedCluster &Cluster,
            Duration InForce, Duration Span) {
  const double Seconds = std::chrono::duration<double>(Span).count();
  const auto Hosts = static_cast<double>(Cluster.Hosts.size());
  const Traffic Total = Cluster.totalTraffic();
  const Traffic Max = Cluster.maxTraffic();
  std::cout << Label << ": in force everywhere after "
            << std::chrono::duration<double, std::milli>(InForce).count()
            << " ms; log reads/s in all "
            << static_cast<double>(Total.Reads) / Seconds
            << "; messages/s sent by a host, mean "
            << static_cast<double>(Total.Messages) / Seconds / Hosts
            << ", most " << static_cast<double>(Max.Messages) / Seconds
            << "; bytes/s sent by a host, mean "
            << static_cast<double>(Total.Bytes) / Seconds / Hosts << ", most "
            << static_cast<double>(Max.Bytes) / Seconds << '\n';
}

/// Appends a record every 2.7 s, a rate of 32,000 changes a day, for a minute.
/// @return The longest time until a record was in force on all hosts.
Duration runMinute(SimulatedCluster &Cluster) {
  Duration Longest{};
  for (int Round = 0; Round < 22; ++Round) {
    Cluster.append();
    const Duration Elapsed = Cluster.runUntilInForceEverywhere(seconds(60));
    Longest = std::max(Longest, Elapsed);
    Cluster.run(milliseconds(2700) -
                std::min<Duration>(Elapsed, milliseconds(2700)));
  }
  return Longest;
}

constexpr Duration Minute = milliseconds(2700) * 22;

TEST_F(FollowerOfNine, CostAndTimeAtNineHosts) {
  Cluster.clearTraffic();
  const Duration Longest = runMinute(Cluster);
  report("9 hosts", Cluster, Longest, Minute);
  EXPECT_LT(Longest, InForceLimit);
  for (const std::size_t Index : relaysOfDataCentre(0))
    Cluster.Hosts[Index].CutFromLog = true;
  Cluster.run(seconds(10));
  Cluster.clearTraffic();
  const Duration LongestWithoutLog = runMinute(Cluster);
  report("9 hosts, 2 cut off from the log", Cluster, LongestWithoutLog, Minute);
  EXPECT_LT(LongestWithoutLog, InForceLimit);
}

TEST(FollowerOfThousand, CostAndTimeAtThousandHosts) {
  SimulatedCluster Cluster(1000, 28, Seed);
  Cluster.LinkDelay = milliseconds(20);
  Cluster.LogDelay = milliseconds(20);
  Cluster.append();
  Cluster.run(seconds(8));
  ASSERT_EQ(Cluster.count(Freshness::Fresh), 1000U);
  Cluster.clearTraffic();
  const Duration Longest = runMinute(Cluster);
  report("1,000 hosts", Cluster, Longest, Minute);
  EXPECT_LT(Longest, InForceLimit);
  EXPECT_TRUE(Cluster.allInOrder());
  // Only the two relays of each of the 28 data centres read the log.
  std::size_t Readers = 0;
  for (const SimulatedCluster::Host &Host : Cluster.Hosts)
    Readers += Host.Sent.Reads > 0 ? 1 : 0;
  EXPECT_EQ(Readers, 56U);
  constexpr double MostBytesPerSecond = 26'000;
  EXPECT_LT(static_cast<double>(Cluster.maxTraffic().Bytes) /
                std::chrono::duration<double>(Minute).count(),
            MostBytesPerSecond);

  Cluster.clearSeenFreshness();
  Cluster.LogDown = true;
  Cluster.run(seconds(6));
  Cluster.clearTraffic();
  Cluster.run(seconds(4));
  report("1,000 hosts, log down for all", Cluster, Duration{}, seconds(4));
  EXPECT_EQ(Cluster.count(Freshness::LogDownForAll), 1000U);
  for (const SimulatedCluster::Host &Host : Cluster.Hosts)
    EXPECT_FALSE(Host.SeenFreshness.contains(Freshness::LeftBehind));
}

// Three of ten regions lose the log and the connection to the others. Their
// hosts query a sample of all members; by chance a third of it answers, none
// with a proof.
TEST(FollowerOfThousand, CutOffRegionsDoNotTakeThemselvesForTheMajority) {
  SimulatedCluster Cluster(300, 10, Seed);
  const auto IsCut = [](std::size_t Index) { return Index % 10 < 3; };
  Cluster.append();
  Cluster.run(seconds(5));
  Cluster.Linked = [IsCut](std::size_t From, std::size_t To) {
    return IsCut(From) == IsCut(To);
  };
  for (std::size_t Index = 0; Index < Cluster.Hosts.size(); ++Index)
    Cluster.Hosts[Index].CutFromLog = IsCut(Index);
  Cluster.run(seconds(10));
  EXPECT_EQ(Cluster.count(Freshness::LeftBehind), 90U);
  EXPECT_EQ(Cluster.count(Freshness::Fresh), 210U);
}

} // namespace
} // namespace coltsfoottrail
