#include "coltsfoottrail/membership/stateproof.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

/// One host and the answers that its peers give it.
class FreshnessTest : public ::testing::Test {
protected:
  FreshnessTest() {
    Options.Self.Host = HostName("self");
    Part.emplace(Options);
    for (int Index = 0; Index < 8; ++Index)
      Others.emplace_back("host-" + std::to_string(Index));
    Part->setMembers(Others);
    Part->setVersion(100);
  }

  /// Lets the time go by; returns the number of the ask if one went out.
  std::uint64_t pass(milliseconds Span) {
    Now += Span;
    MembershipCommands Out;
    Part->advance(Now, Out);
    for (const MembershipCommand &Command : Out)
      if (const auto *const Sent = std::get_if<MembershipSend>(&Command))
        return std::get<FreshnessQuery>(Sent->Payload).Number;
    return 0;
  }
  void answer(std::size_t Count, std::uint64_t Number,
              const FreshnessReply &Form) {
    FreshnessReply Answer = Form;
    Answer.Number = Number;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Part->recordReply(Others[Index], Answer, Now);
  }

  MembershipOptions Options;
  std::optional<StateProof> Part;
  std::vector<HostName> Others;
  TimePoint Now{seconds(1000)};
};

TEST_F(FreshnessTest, LogProvesFromWhenTheReadLeft) {
  Part->recordLogRead(Now - milliseconds(1500));
  EXPECT_EQ(Part->source(Now), FreshSource::Log);
  EXPECT_TRUE(Part->lease().holds(Now + milliseconds(499)));
  EXPECT_FALSE(Part->lease().holds(Now + milliseconds(500)));
}

// This host is cut off from the log; a peer is not. Its word is as good as its
// proof is young, counted from when the ask left and not from the answer's
// arrival, which may have taken any time.
TEST_F(FreshnessTest, PeerWithAProofStandsIn) {
  Part->recordLogFailure();
  const std::uint64_t Number = pass(milliseconds(100));
  ASSERT_NE(Number, 0U);
  Now += milliseconds(900);
  answer(1, Number, {0, 100, true, milliseconds(1000), false});
  EXPECT_EQ(Part->source(Now), FreshSource::Peer);
  EXPECT_TRUE(Part->lease().holds(Now + milliseconds(80)));
  EXPECT_FALSE(Part->lease().holds(Now + milliseconds(100)));
}

// A drain stands on the log, and this host alone cannot read it. Its peers know
// more: it is behind, and must say so rather than serve on.
TEST_F(FreshnessTest, PeerThatKnowsMoreProvesThatThisHostIsBehind) {
  Part->recordLogFailure();
  const std::uint64_t Number = pass(milliseconds(100));
  answer(8, Number, {0, 101, true, milliseconds(10), false});
  EXPECT_EQ(Part->source(Now), FreshSource::None);
  // Not even the failing logs of the others make up for it.
  const std::uint64_t Next = pass(milliseconds(500));
  answer(7, Next, {0, 100, false, milliseconds(0), true});
  EXPECT_EQ(Part->source(Now), FreshSource::None);
  Part->setVersion(101);
  const std::uint64_t Third = pass(milliseconds(500));
  answer(1, Third, {0, 101, true, milliseconds(10), false});
  EXPECT_EQ(Part->source(Now), FreshSource::Peer);
}

// The log is down for all: most peers say so and none knows more. Routing goes
// on with what is known.
TEST_F(FreshnessTest, LogDownForAllLetsServiceGoOn) {
  Part->recordLogFailure();
  for (int Round = 0; Round < 20; ++Round) {
    const std::uint64_t Number = pass(milliseconds(500));
    ASSERT_NE(Number, 0U);
    answer(5, Number, {0, 100, false, milliseconds(0), true});
    EXPECT_EQ(Part->source(Now), FreshSource::LogDownForAll) << Round;
  }
  // Such a proof is not passed on: it would feed itself.
  EXPECT_FALSE(Part->answer({1}, Now).Proven);
}

// Only this host and a minority cannot reach the log; the rest does not answer.
TEST_F(FreshnessTest, MinorityIsNotAll) {
  Part->recordLogFailure();
  for (int Round = 0; Round < 20; ++Round)
    answer(3, pass(milliseconds(500)), {0, 100, false, milliseconds(0), true});
  EXPECT_EQ(Part->source(Now), FreshSource::None);
}

// Words of peers from before their own log came back must not count on.
TEST_F(FreshnessTest, OldWordsRunOut) {
  Part->recordLogFailure();
  answer(8, pass(milliseconds(100)), {0, 100, false, milliseconds(0), true});
  EXPECT_EQ(Part->source(Now), FreshSource::LogDownForAll);
  (void)pass(milliseconds(2000));
  EXPECT_EQ(Part->source(Now), FreshSource::None);
}

} // namespace
} // namespace coltsfoottrail
