#include "coltsfoottrail/config/follower.hpp"

#include "coltsfoottrail/config/world.hpp"

#include <gtest/gtest.h>
#include <iostream>

namespace coltsfoottrail {
namespace {

using test::Traffic;
using test::World;

constexpr std::uint64_t Seed = 20261203;
constexpr Duration InForceLimit = seconds(4);

class FollowerOfNine : public testing::Test {
protected:
  void SetUp() override {
    Nine.append();
    Nine.run(seconds(5));
    ASSERT_EQ(Nine.count(Freshness::Fresh), 9U);
    ASSERT_TRUE(Nine.inForce());
    Nine.clearVerdicts();
  }
  void TearDown() override { EXPECT_TRUE(Nine.allInOrder()); }

  [[nodiscard]] std::vector<std::size_t> relaysOf(std::size_t DataCentre) {
    std::vector<std::size_t> Out;
    for (std::size_t Index = DataCentre; Index < 9; Index += 3)
      if (Nine.All[Index].Follow->tree().isRelay())
        Out.push_back(Index);
    return Out;
  }

  World Nine{9, 3, Seed};
};

// Two relays lose their way to the log. Callers that the balancer sends there
// would be served by an old configuration if these hosts heard nothing; their
// peers have it.
TEST_F(FollowerOfNine, HostsCutOffFromTheLogFollowTheirPeers) {
  for (const std::size_t Index : relaysOf(0))
    Nine.All[Index].CutFromLog = true;
  Nine.run(seconds(10));
  Nine.append();
  EXPECT_LT(Nine.runUntilInForce(seconds(30)), InForceLimit);
  Nine.run(seconds(20));
  for (const World::Host &Each : Nine.All)
    EXPECT_EQ(Each.Verdicts, std::set{Freshness::Fresh}) << Each.Who.Name.Text;
}

// A partition leaves one host alone. The others agree on a drain that it cannot
// know of, so it must stop starting work, and take it up again once it has
// caught up.
TEST_F(FollowerOfNine, HostCutOffFromAllIsLeftBehind) {
  Nine.All[4].CutFromLog = true;
  Nine.Linked = [](std::size_t From, std::size_t To) {
    return From != 4 && To != 4;
  };
  Nine.append();
  Nine.run(seconds(4) + milliseconds(10));
  EXPECT_EQ(Nine.All[4].Verdict, Freshness::LeftBehind);
  EXPECT_EQ(Nine.count(Freshness::Fresh), 8U);
  Nine.Linked = [](std::size_t, std::size_t) { return true; };
  Nine.run(seconds(3));
  EXPECT_EQ(Nine.All[4].Verdict, Freshness::Fresh);
  EXPECT_TRUE(Nine.inForce());
}

// A data centre is cut off from the log and from the others. Its three hosts
// hear each other and all say that the log is down; but they are the minority,
// and the majority may well have agreed on a drain.
TEST_F(FollowerOfNine, MinorityThatHearsOnlyItselfIsLeftBehind) {
  for (std::size_t Index = 0; Index < 9; Index += 3)
    Nine.All[Index].CutFromLog = true;
  Nine.Linked = [](std::size_t From, std::size_t To) {
    return (From % 3 == 0) == (To % 3 == 0);
  };
  Nine.run(seconds(15));
  EXPECT_EQ(Nine.count(Freshness::LeftBehind), 3U);
  EXPECT_EQ(Nine.count(Freshness::Fresh), 6U);
  for (std::size_t Index = 0; Index < 9; Index += 3)
    EXPECT_FALSE(Nine.All[Index].Verdicts.contains(Freshness::LogDownForAll));
}

// The log is down for everybody for an hour. Nothing can be agreed on, so no
// host can be behind another; were they all to stop, every caller would be
// refused for nothing.
TEST_F(FollowerOfNine, LogDownForAllIsNoReasonToStop) {
  Nine.LogDown = true;
  Nine.run(std::chrono::hours(1));
  EXPECT_EQ(Nine.count(Freshness::LogDownForAll), 9U);
  for (const World::Host &Each : Nine.All)
    EXPECT_FALSE(Each.Verdicts.contains(Freshness::LeftBehind))
        << Each.Who.Name.Text;
  Nine.LogDown = false;
  Nine.append();
  EXPECT_LT(Nine.runUntilInForce(seconds(30)), InForceLimit);
  Nine.run(seconds(3));
  EXPECT_EQ(Nine.count(Freshness::Fresh), 9U);
}

// Nearly a third of all messages between hosts is lost, so records arrive with
// gaps. A host that skipped one would serve a configuration that never was.
TEST_F(FollowerOfNine, LostMessagesLeaveNoGaps) {
  Nine.Loss = 0.3;
  for (int Round = 0; Round < 50; ++Round) {
    Nine.append();
    Nine.run(milliseconds(50));
  }
  EXPECT_LT(Nine.runUntilInForce(seconds(60)), seconds(10));
}

// A host restarts from an old checkpoint, and the copy of the log that it reads
// lags. It must not serve the old state as long as any peer that it hears has
// shown a newer one.
TEST_F(FollowerOfNine, RestartedHostServesNothingOlderThanItsPeers) {
  for (int Round = 0; Round < 20; ++Round)
    Nine.append();
  Nine.run(seconds(2));
  const std::size_t Index = relaysOf(1).front();
  Nine.Lag[Index] = 15;
  Nine.begin(Index, 1);
  for (int Step = 0; Step < 2000; ++Step) {
    Nine.run(milliseconds(1));
    if (Nine.All[Index].Verdict == Freshness::Fresh)
      break;
  }
  EXPECT_EQ(Nine.All[Index].Verdict, Freshness::Fresh);
  EXPECT_EQ(Nine.All[Index].Folded, Nine.Log.size());
}

// The two relays of a data centre die. Its other host has nobody to get records
// from and must not wait for a membership change that may take long.
TEST_F(FollowerOfNine, DeadRelaysAreReplacedByTheLogItself) {
  for (const std::size_t Index : relaysOf(2))
    Nine.All[Index].Alive = false;
  Nine.append();
  EXPECT_LT(Nine.runUntilInForce(seconds(30)), InForceLimit);
  Nine.run(seconds(20));
  EXPECT_EQ(Nine.count(Freshness::Fresh), 7U);
  for (const World::Host &Each : Nine.All)
    EXPECT_FALSE(Each.Verdicts.contains(Freshness::LeftBehind) && Each.Alive);
}

// The log was out of reach for longer than it keeps records, while others went
// on. Reading on at the horizon would skip the records in between.
TEST_F(FollowerOfNine, TrimmedAboveTheOwnStateMeansStartingOver) {
  const std::size_t Index = relaysOf(0).front();
  Nine.All[Index].CutFromLog = true;
  Nine.Linked = [Index](std::size_t From, std::size_t To) {
    return From != Index && To != Index;
  };
  for (int Round = 0; Round < 10; ++Round)
    Nine.append();
  Nine.run(seconds(5));
  Nine.Horizon = 8;
  Nine.All[Index].CutFromLog = false;
  Nine.run(seconds(3));
  EXPECT_EQ(Nine.All[Index].Floors, std::vector<Offset>{1});
  EXPECT_EQ(Nine.All[Index].Folded, 1U);
  EXPECT_EQ(Nine.All[Index].Verdict, Freshness::LeftBehind);
  Nine.Linked = [](std::size_t, std::size_t) { return true; };
  Nine.All[Index].Follow->restart(9);
  Nine.All[Index].Folded = 9;
  Nine.run(seconds(3));
  EXPECT_EQ(Nine.All[Index].Verdict, Freshness::Fresh);
  EXPECT_TRUE(Nine.inForce());
}

// A host's process is paused for a minute and wakes in the middle of taking in
// a request. The last verdict that it wrote down was Fresh, but others have
// drained a data centre meanwhile.
TEST_F(FollowerOfNine, PausedHostIsNotFreshWhenItWakes) {
  const Follower &Paused = *Nine.All[0].Follow;
  EXPECT_EQ(Paused.freshness(Nine.Now), Freshness::Fresh);
  EXPECT_EQ(Paused.freshness(Nine.Now + seconds(60)), Freshness::LeftBehind);
}

/// One follower whose events the test gives by hand.
class OneFollower : public testing::Test {
protected:
  void SetUp() override {
    One.setMembers(std::vector<Member>{Self,
                                       {HostName("b"), DataCentreName("dc0")},
                                       {HostName("c"), DataCentreName("dc0")},
                                       {HostName("d"), DataCentreName("dc1")}});
    One.advance(Start, Out);
  }

  template <class Command> [[nodiscard]] Command last() const {
    for (auto Each = Out.rbegin(); Each != Out.rend(); ++Each)
      if (const auto *const Found = std::get_if<Command>(&*Each))
        return *Found;
    ADD_FAILURE() << "no such command";
    return Command{};
  }

  static FollowerOptions optionsOf(const Member &Who) {
    FollowerOptions Options;
    Options.Self = Who;
    return Options;
  }

  const Member Self{HostName("a"), DataCentreName("dc0")};
  const TimePoint Start{seconds(1000)};
  Follower One{optionsOf(Self), 5, Start};
  FollowCommands Out;
};

// A peer's answer lay in a buffer for a minute. Counted from its arrival it
// would prove a state fresh that is a minute old.
TEST_F(OneFollower, DelayedAnswerProvesNoMoreThanItsQuery) {
  const auto Sent = last<SendQuery>();
  const TimePoint Late = Start + seconds(60);
  One.onAnswer(Sent.Peer, FollowAnswer{Sent.Query.Stamp, 5, Duration{}}, Late,
               Out);
  EXPECT_EQ(One.proofAge(Late), Duration(seconds(60)));
  EXPECT_NE(One.freshness(Late), Freshness::Fresh);
}

// A host and a peer read a copy of the log that lags and find nothing new
// there, again and again. Another peer has shown a newer state; were its word
// not to count, the host would serve on in a data centre that is drained.
TEST_F(OneFollower, LaggingCopyOfTheLogProvesNothingAgainstAPeer) {
  const auto Sent = last<SendQuery>();
  One.onAnswer(Sent.Peer, FollowAnswer{Sent.Query.Stamp, 5, Duration{}}, Start,
               Out);
  ASSERT_EQ(One.freshness(Start), Freshness::Fresh);
  const auto Second = Start + seconds(1);
  One.advance(Second, Out);
  const auto Newer = last<SendQuery>();
  One.onAnswer(Newer.Peer, FollowAnswer{Newer.Query.Stamp, 9, Duration{}},
               Second, Out);
  TimePoint Now = Second;
  for (int Round = 0; Round < 60; ++Round) {
    Now += milliseconds(100);
    One.onRead(last<ReadAgreed>().Number, LogBatch{{}, 5, 0}, Now, Out);
    One.advance(Now, Out);
    const auto Query = last<SendQuery>();
    One.onAnswer(Query.Peer, FollowAnswer{Query.Query.Stamp, 5, Duration{}},
                 Now, Out);
  }
  EXPECT_NE(One.freshness(Now), Freshness::Fresh);
}

// A deployment of one host on trial: its log goes down. There is nobody else
// who could have agreed on anything. But a host that has just started may have
// an old checkpoint, and others may have been there before.
TEST(Follower, OnlyMemberServesOnOnceItHasKnownTheEnd) {
  World One(1, 1, Seed);
  One.append();
  One.run(seconds(3));
  EXPECT_EQ(One.count(Freshness::Fresh), 1U);
  One.LogDown = true;
  One.run(seconds(30));
  EXPECT_EQ(One.count(Freshness::LogDownForAll), 1U);
  One.begin(0, 1);
  One.run(seconds(30));
  EXPECT_EQ(One.count(Freshness::Starting), 1U);
}

void report(const char *What, const World &Of, Duration InForce,
            Duration Span) {
  const double Seconds = std::chrono::duration<double>(Span).count();
  const auto Hosts = static_cast<double>(Of.All.size());
  const Traffic Sum = Of.total();
  const Traffic Most = Of.most();
  std::cout << What << ": in force everywhere after "
            << std::chrono::duration<double, std::milli>(InForce).count()
            << " ms; log reads/s in all "
            << static_cast<double>(Sum.Reads) / Seconds
            << "; messages/s sent by a host, mean "
            << static_cast<double>(Sum.Messages) / Seconds / Hosts << ", most "
            << static_cast<double>(Most.Messages) / Seconds
            << "; bytes/s sent by a host, mean "
            << static_cast<double>(Sum.Bytes) / Seconds / Hosts << ", most "
            << static_cast<double>(Most.Bytes) / Seconds << '\n';
}

/// Appends a record each 2.7 s, the 32,000 changes of a day, for a minute.
/// @return The longest time until one was in force everywhere.
Duration runMinute(World &Of) {
  Duration Longest{};
  for (int Round = 0; Round < 22; ++Round) {
    Of.append();
    const Duration Took = Of.runUntilInForce(seconds(60));
    Longest = std::max(Longest, Took);
    Of.run(milliseconds(2700) - std::min<Duration>(Took, milliseconds(2700)));
  }
  return Longest;
}

constexpr Duration Minute = milliseconds(2700) * 22;

TEST_F(FollowerOfNine, CostAndTimeAtNineHosts) {
  Nine.clearTraffic();
  const Duration Whole = runMinute(Nine);
  report("9 hosts", Nine, Whole, Minute);
  EXPECT_LT(Whole, InForceLimit);
  for (const std::size_t Index : relaysOf(0))
    Nine.All[Index].CutFromLog = true;
  Nine.run(seconds(10));
  Nine.clearTraffic();
  const Duration Cut = runMinute(Nine);
  report("9 hosts, 2 cut off from the log", Nine, Cut, Minute);
  EXPECT_LT(Cut, InForceLimit);
}

TEST(FollowerOfThousand, CostAndTimeAtThousandHosts) {
  World Thousand(1000, 28, Seed);
  Thousand.LinkDelay = milliseconds(20);
  Thousand.LogDelay = milliseconds(20);
  Thousand.append();
  Thousand.run(seconds(8));
  ASSERT_EQ(Thousand.count(Freshness::Fresh), 1000U);
  Thousand.clearTraffic();
  const Duration Whole = runMinute(Thousand);
  report("1,000 hosts", Thousand, Whole, Minute);
  EXPECT_LT(Whole, InForceLimit);
  EXPECT_TRUE(Thousand.allInOrder());
  // Two relays for each of 28 data centres read the log, nobody else.
  std::size_t Readers = 0;
  for (const World::Host &Each : Thousand.All)
    Readers += Each.Sent.Reads > 0 ? 1 : 0;
  EXPECT_EQ(Readers, 56U);
  constexpr double MostBytesPerSecond = 26'000;
  EXPECT_LT(static_cast<double>(Thousand.most().Bytes) /
                std::chrono::duration<double>(Minute).count(),
            MostBytesPerSecond);

  Thousand.clearVerdicts();
  Thousand.LogDown = true;
  Thousand.run(seconds(6));
  Thousand.clearTraffic();
  Thousand.run(seconds(4));
  report("1,000 hosts, log down for all", Thousand, Duration{}, seconds(4));
  EXPECT_EQ(Thousand.count(Freshness::LogDownForAll), 1000U);
  for (const World::Host &Each : Thousand.All)
    EXPECT_FALSE(Each.Verdicts.contains(Freshness::LeftBehind));
}

// Three of ten regions lose the log and the others for a while. Their hosts ask
// a sample of all members; by chance a third of it answers, none with a proof.
TEST(FollowerOfThousand, CutOffRegionsDoNotTakeThemselvesForTheMajority) {
  World Many(300, 10, Seed);
  const auto IsCut = [](std::size_t Index) { return Index % 10 < 3; };
  Many.append();
  Many.run(seconds(5));
  Many.Linked = [IsCut](std::size_t From, std::size_t To) {
    return IsCut(From) == IsCut(To);
  };
  for (std::size_t Index = 0; Index < Many.All.size(); ++Index)
    Many.All[Index].CutFromLog = IsCut(Index);
  Many.run(seconds(10));
  EXPECT_EQ(Many.count(Freshness::LeftBehind), 90U);
  EXPECT_EQ(Many.count(Freshness::Fresh), 210U);
}

} // namespace
} // namespace coltsfoottrail
