#include "coltsfoottrail/membership/stateproof.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

/// One host and the replies of its peers.
class FreshnessTest : public ::testing::Test {
protected:
  FreshnessTest() {
    Options.Self.Host = HostName("self");
    Proof.emplace(Options);
    for (int Index = 0; Index < 8; ++Index)
      Peers.emplace_back("host-" + std::to_string(Index));
    Proof->setMembers(Peers);
    Proof->setVersion(100);
  }

  /// Advances the time.
  /// @return The number of the query if one was sent, or zero.
  std::uint64_t advanceBy(milliseconds Span) {
    Now += Span;
    MembershipCommands Out;
    Proof->advance(Now, Out);
    for (const MembershipCommand &Command : Out)
      if (const auto *const Sent = std::get_if<MembershipSend>(&Command))
        return std::get<FreshnessQuery>(Sent->Payload).Number;
    return 0;
  }
  void replyFromPeers(std::size_t Count, std::uint64_t Number,
                      const FreshnessReply &Content) {
    FreshnessReply Answer = Content;
    Answer.Number = Number;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Proof->recordReply(Peers[Index], Answer, Now);
  }

  MembershipOptions Options;
  std::optional<StateProof> Proof;
  std::vector<HostName> Peers;
  TimePoint Now{seconds(1000)};
};

TEST_F(FreshnessTest, LogProvesFromWhenTheReadLeft) {
  Proof->recordLogRead(Now - milliseconds(1500));
  EXPECT_EQ(Proof->source(Now), FreshSource::Log);
  EXPECT_TRUE(Proof->lease().holds(Now + milliseconds(499)));
  EXPECT_FALSE(Proof->lease().holds(Now + milliseconds(500)));
}

// This host is cut off from the log; a peer is not. The proof of the peer
// counts with its age, from when the query was sent and not from when the reply
// arrived, which may have taken any time.
TEST_F(FreshnessTest, PeerWithAProofStandsIn) {
  Proof->recordLogFailure();
  const std::uint64_t Number = advanceBy(milliseconds(100));
  ASSERT_NE(Number, 0U);
  Now += milliseconds(900);
  replyFromPeers(1, Number, {0, 100, true, milliseconds(1000), false});
  EXPECT_EQ(Proof->source(Now), FreshSource::Peer);
  EXPECT_TRUE(Proof->lease().holds(Now + milliseconds(80)));
  EXPECT_FALSE(Proof->lease().holds(Now + milliseconds(100)));
}

// A drain is on the log, and this host alone cannot read it. Its peers know
// more, so this host is behind and must report that rather than continue to
// serve.
TEST_F(FreshnessTest, PeerThatKnowsMoreProvesThatThisHostIsBehind) {
  Proof->recordLogFailure();
  const std::uint64_t Number = advanceBy(milliseconds(100));
  replyFromPeers(8, Number, {0, 101, true, milliseconds(10), false});
  EXPECT_EQ(Proof->source(Now), FreshSource::None);
  // The failing log reads of the others do not make up for it.
  const std::uint64_t Next = advanceBy(milliseconds(500));
  replyFromPeers(7, Next, {0, 100, false, milliseconds(0), true});
  EXPECT_EQ(Proof->source(Now), FreshSource::None);
  Proof->setVersion(101);
  const std::uint64_t Third = advanceBy(milliseconds(500));
  replyFromPeers(1, Third, {0, 101, true, milliseconds(10), false});
  EXPECT_EQ(Proof->source(Now), FreshSource::Peer);
}

// The log is down for all: most peers report so and none knows more. Routing
// continues with the known state.
TEST_F(FreshnessTest, LogDownForAllLetsServiceGoOn) {
  Proof->recordLogFailure();
  for (int Round = 0; Round < 20; ++Round) {
    const std::uint64_t Number = advanceBy(milliseconds(500));
    ASSERT_NE(Number, 0U);
    replyFromPeers(5, Number, {0, 100, false, milliseconds(0), true});
    EXPECT_EQ(Proof->source(Now), FreshSource::LogDownForAll) << Round;
  }
  // Such a proof is not passed on to peers, as it would sustain itself.
  EXPECT_FALSE(Proof->answer({1}, Now).Proven);
}

// Only this host and a minority of peers cannot reach the log; the others do
// not answer.
TEST_F(FreshnessTest, MinorityIsNotAll) {
  Proof->recordLogFailure();
  for (int Round = 0; Round < 20; ++Round)
    replyFromPeers(3, advanceBy(milliseconds(500)),
                   {0, 100, false, milliseconds(0), true});
  EXPECT_EQ(Proof->source(Now), FreshSource::None);
}

// Guards against replies from before the log came back to the peers: they
// expire.
TEST_F(FreshnessTest, OldWordsRunOut) {
  Proof->recordLogFailure();
  replyFromPeers(8, advanceBy(milliseconds(100)),
                 {0, 100, false, milliseconds(0), true});
  EXPECT_EQ(Proof->source(Now), FreshSource::LogDownForAll);
  (void)advanceBy(milliseconds(2000));
  EXPECT_EQ(Proof->source(Now), FreshSource::None);
}

} // namespace
} // namespace coltsfoottrail
