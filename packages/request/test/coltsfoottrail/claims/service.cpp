#include "coltsfoottrail/claims/service.hpp"

#include "hosts.hpp"

#include <gtest/gtest.h>
#include <set>

namespace coltsfoottrail {
namespace {

/// Another key of the same partition.
std::string otherKeyIn(const std::string &Key) {
  const ClaimPartition Wanted = partitionOf({TeamName("team"), Key});
  for (int Index = 0;; ++Index) {
    std::string Other = "other-" + std::to_string(Index);
    if (partitionOf({TeamName("team"), Other}) == Wanted)
      return Other;
  }
}

const StoredOutcome Answered{201, "application/json", "{\"order\":7}\xff\xfe",
                             true};

// A foreman's phone sends a sign order twice at once; the balancer gives the
// copies to two entry hosts. Were both sent on, twice the barriers would stand
// on the road. One is granted; the other hears who is at it, and a later resend
// gets the first one's answer.
TEST(Claims, TwinsOnTwoHostsRunOnce) {
  Hosts Nine(9);
  const ClaimId First = Nine.claim(1, "order-1");
  const ClaimId Second = Nine.claim(2, "order-1");
  Nine.run(milliseconds(200));
  ASSERT_NE(Nine.is<ClaimGranted>(First), Nine.is<ClaimGranted>(Second));
  const bool FirstWon = Nine.is<ClaimGranted>(First);
  EXPECT_TRUE(Nine.is<ClaimInProgress>(FirstWon ? Second : First));
  Nine.settle(FirstWon ? 1 : 2, FirstWon ? First : Second, Answered);
  Nine.run(milliseconds(200));
  const ClaimId Resent = Nine.claim(3, "order-1");
  const ClaimId OtherBody = Nine.claim(4, "order-1", "another");
  Nine.run(milliseconds(200));
  ASSERT_TRUE(Nine.is<ClaimReplay>(Resent));
  EXPECT_EQ(std::get<ClaimReplay>(Nine.Decisions.at(Resent).What).Outcome,
            Answered);
  EXPECT_TRUE(Nine.is<ClaimBodyDiffers>(OtherBody));
}

// The log takes the claim, but its answer is lost. The owner cannot know and
// appends again; both copies stand on the log. The claimant is granted once,
// and the copy harms nothing when the claim has been given up meanwhile.
TEST(Claims, LostAppendAnswerIsNotASecondClaim) {
  Hosts One(1);
  One.run(milliseconds(50));
  One.Wrong.AppendAnswerLost = 100;
  const ClaimId Id = One.claim(0, "order-2");
  One.run(milliseconds(200));
  EXPECT_FALSE(One.Decisions.contains(Id));
  EXPECT_GE(One.Appends, 2U);
  One.Wrong.AppendAnswerLost = 0;
  One.run(milliseconds(2000));
  ASSERT_TRUE(One.is<ClaimGranted>(Id));
  EXPECT_EQ(std::get<ClaimGranted>(One.Decisions.at(Id).What).Fence, 0U);
  EXPECT_EQ(One.DecidedTwice, 0U);
}

// The claimant finds no endpoint and gives the claim up before a byte has left.
// The caller's retry must be served, not refused as "may have run".
TEST(Claims, ReleasedKeyIsGrantedToTheRetry) {
  Hosts Three(3);
  const ClaimId Id = Three.claim(0, "order-3");
  Three.run(milliseconds(100));
  ASSERT_TRUE(Three.is<ClaimGranted>(Id));
  Three.settle(0, Id, ReleaseClaim{});
  Three.run(milliseconds(200));
  const ClaimId Retry = Three.claim(1, "order-3", "a corrected body");
  Three.run(milliseconds(200));
  EXPECT_TRUE(Three.is<ClaimGranted>(Retry));
  EXPECT_EQ(Three.All[0].Service->settling(), 0U);
}

// The claimant dies after it sent the order to the endpoint, or before, or
// after the answer but before it stood on the log: nobody can tell which. While
// it is a member the retry hears "in progress", from then on "may have run",
// never "not run" and never a second grant.
TEST(Claims, DeadClaimantLeavesMayHaveRun) {
  Hosts Four(4);
  const std::size_t Claimant = (Four.ownerOf("order-4") + 1) % 4;
  const std::size_t Other = (Four.ownerOf("order-4") + 2) % 4;
  const ClaimId Id = Four.claim(Claimant, "order-4");
  Four.run(milliseconds(100));
  ASSERT_TRUE(Four.is<ClaimGranted>(Id));
  Four.stop(Claimant);
  const ClaimId Early = Four.claim(Other, "order-4");
  Four.run(milliseconds(100));
  EXPECT_TRUE(Four.is<ClaimInProgress>(Early));
  Four.tellMembers();
  const ClaimId Late = Four.claim(Other, "order-4");
  const ClaimId Asked = Four.query(Other, "order-4");
  Four.run(milliseconds(100));
  EXPECT_TRUE(Four.is<ClaimMayHaveRun>(Late));
  EXPECT_TRUE(Four.is<ClaimMayHaveRun>(Asked));
}

// The owner of the partition dies with a claim on the log and the answer not
// sent. The claimant asks the next host, which reads the stream and finds the
// claim in its place.
TEST(Claims, DeadOwnerIsReplacedByReading) {
  Hosts Four(4);
  Four.run(milliseconds(50));
  const std::size_t Owner = Four.ownerOf("order-5");
  const std::size_t Claimant = (Owner + 1) % 4;
  const ClaimId Id = Four.claim(Claimant, "order-5");
  Four.deliverOne();
  Four.pass(milliseconds(50));
  ASSERT_EQ(Four.Appends, 1U);
  Four.stop(Owner);
  Four.run(milliseconds(2000));
  EXPECT_TRUE(Four.is<ClaimGranted>(Id));
}

// During a membership change two hosts own the partition and each gets one of
// the twins. Both append; the log decides for both alike.
TEST(Claims, TwoOwnersGrantOne) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Hosts Three(3, Seed);
    Three.run(milliseconds(50));
    const std::size_t Owner = Three.ownerOf("order-6");
    const std::size_t Apart = (Owner + 1) % 3;
    // This host believes that it is alone.
    Three.act(Apart, [&](auto &Service, ClaimTime Time, auto &Out) {
      const ClaimMember Self{Three.All[Apart].Name, Three.All[Apart].Run};
      Service.setMembers(std::span(&Self, 1), Time, Out);
    });
    const ClaimId Left = Three.claim(Owner, "order-6");
    const ClaimId Right = Three.claim(Apart, "order-6");
    Three.run(milliseconds(500));
    EXPECT_NE(Three.is<ClaimGranted>(Left), Three.is<ClaimGranted>(Right));
  }
}

// Guards against refusing a repeat as in progress after its answer was stored:
// the host had read the claim for one that timed out at the partition's owner.
TEST(Claims, RepeatGetsTheOutcomeThatAnotherOwnerAppended) {
  Hosts Three(3);
  Three.run(milliseconds(50));
  const std::size_t Owner = Three.ownerOf("order-8");
  const std::size_t Claimant = (Owner + 1) % 3;
  const std::size_t Other = (Owner + 2) % 3;
  const ClaimId First = Three.claim(Claimant, "order-8");
  Three.run(milliseconds(100));
  ASSERT_TRUE(Three.is<ClaimGranted>(First));
  const auto Alone = [&](auto &Service, ClaimTime Time, auto &Out) {
    const ClaimMember Self{Three.All[Other].Name, Three.All[Other].Run};
    const ClaimMember Held{Three.All[Claimant].Name, Three.All[Claimant].Run};
    Service.setMembers(std::array{Held, Self}, Time, Out);
  };
  Three.act(Other, Alone);
  const ClaimId Early = Three.claim(Other, "order-8");
  Three.run(milliseconds(600));
  ASSERT_TRUE(Three.is<ClaimInProgress>(Early));
  Three.settle(Claimant, First, Answered);
  Three.run(milliseconds(200));
  ASSERT_EQ(Three.All[Claimant].Service->settling(), 0U);
  Three.stop(Owner);
  Three.tellMembers();
  const ClaimId Repeat = Three.claim(Other, "order-8");
  Three.run(milliseconds(600));
  ASSERT_TRUE(Three.is<ClaimReplay>(Repeat));
}

// Guards against answering from a reading that is older than the ask while the
// log is away: what is known is told, and nothing is granted.
TEST(Claims, RepeatIsInProgressWhileTheLogIsAway) {
  Hosts Two(2);
  const ClaimId First = Two.claim(0, "order-9");
  Two.run(milliseconds(100));
  ASSERT_TRUE(Two.is<ClaimGranted>(First));
  Two.Wrong.LogDown = true;
  const ClaimId Repeat = Two.claim(1, "order-9");
  Two.run(milliseconds(1'500));
  EXPECT_TRUE(Two.is<ClaimInProgress>(Repeat));
}

// An ask was refused as the key was in use, and a copy of it comes to the owner
// when the key is free. The claim that it makes has nobody waiting; the
// caller's retry must not find the key in use for hours.
TEST(Claims, CopyOfARefusedAskDoesNotKeepTheKey) {
  Hosts Three(3);
  Three.run(milliseconds(50));
  const std::size_t Owner = Three.ownerOf("order-7");
  const std::size_t Refused = (Owner + 1) % 3;
  const ClaimId Holder = Three.claim(Owner, "order-7");
  Three.run(milliseconds(100));
  const ClaimId Second = Three.claim(Refused, "order-7");
  Three.run(milliseconds(100));
  ASSERT_TRUE(Three.is<ClaimInProgress>(Second));
  Three.settle(Owner, Holder, ReleaseClaim{});
  Three.run(milliseconds(200));
  Three.act(Owner, [&](auto &Service, ClaimTime Time, auto &Out) {
    AcquireClaim Copy;
    Copy.Id = Second;
    Copy.Claimant = Three.All[Refused].Name;
    Copy.Request = {{TeamName("team"), "order-7"}, "digest", {}};
    Copy.Wall = Time.Wall;
    Copy.Budget = milliseconds(1000);
    Service.received(Three.All[Refused].Name, Copy, Time, Out);
  });
  Three.run(milliseconds(1000));
  const ClaimId Retry = Three.claim(Owner, "order-7");
  Three.run(milliseconds(200));
  EXPECT_TRUE(Three.is<ClaimGranted>(Retry));
}

// The log is down for so long that settlements no longer fit in memory. Orders
// that ran are forgotten here; a late copy of their grant must not be taken for
// a claim that was never sent, or the release would let them run again.
TEST(Claims, ForgottenSettlementIsNeverReleased) {
  Hosts One(1);
  One.Defaults.MaxSettlingBytes = 100;
  One.start(0);
  One.tellMembers();
  const ClaimId Id = One.claim(0, "order-8");
  One.run(milliseconds(200));
  ASSERT_TRUE(One.is<ClaimGranted>(Id));
  const ClaimId Filler = One.claim(0, "order-9");
  One.run(milliseconds(200));
  One.Wrong.LogDown = true;
  One.settle(0, Filler, Answered);
  One.settle(0, Id, Answered);
  EXPECT_EQ(One.All[0].Service->settling(), 1U);
  One.Wrong.LogDown = false;
  One.run(milliseconds(20'000));
  ASSERT_EQ(One.All[0].Service->settling(), 0U);
  One.act(0, [&](auto &Service, ClaimTime Time, auto &Out) {
    Service.received(
        HostName("host-9"),
        ClaimAnswer{Id, {TeamName("team"), "order-8"}, ClaimGranted{0}}, Time,
        Out);
  });
  One.run(milliseconds(3000));
  const ClaimId Retry = One.claim(0, "order-8");
  One.run(milliseconds(500));
  EXPECT_TRUE(One.is<ClaimInProgress>(Retry));
}

// The log is down. Nothing can be proved, so the order is held up to its
// deadline and then refused; the claim that is appended after the log's return
// has nobody waiting and must not keep the key from the caller's retry.
TEST(Claims, LogDownIsRefusedTruthfullyAndLeavesTheKeyFree) {
  Hosts Three(3);
  Three.run(milliseconds(50));
  Three.Wrong.LogDown = true;
  const ClaimId Id = Three.claim(0, "order-7", "digest", milliseconds(1000));
  Three.run(milliseconds(900));
  EXPECT_FALSE(Three.Decisions.contains(Id));
  Three.run(milliseconds(200));
  ASSERT_TRUE(Three.is<ClaimUnavailable>(Id));
  const auto Refusal = verdictOf(Three.Decisions.at(Id).What);
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->State, RunState::NotRun);
  Three.Wrong.LogDown = false;
  Three.run(milliseconds(20'000));
  const ClaimId Retry = Three.claim(1, "order-7");
  Three.run(milliseconds(500));
  EXPECT_TRUE(Three.is<ClaimGranted>(Retry));
}

// A retry with a key made long ago meets a log outage. An earlier try may have
// run, so the refusal must not say "not run".
TEST(Claims, OutageOnAnOldKeyIsNotCalledNotRun) {
  Hosts One(1);
  One.Wrong.LogDown = true;
  ClaimId Id;
  One.act(0, [&](auto &Service, ClaimTime Time, auto &Out) {
    const ClaimRequest Request{{TeamName("team"), "k"}, "d", Time.Wall - 3600};
    Id = Service.claim(Request, Time.Now + seconds(1), Time, Out);
  });
  One.run(milliseconds(1100));
  ASSERT_TRUE(One.is<ClaimUnavailable>(Id));
  EXPECT_EQ(verdictOf(One.Decisions.at(Id).What)->State, RunState::MayHaveRun);
}

// A phone that was off for a day resends an order. Its claim is long forgotten,
// so the key looks new; its time of birth shows that it is not.
TEST(Claims, KeyOlderThanItsLifeIsRefused) {
  Hosts Two(2);
  const auto KeyAt = [](std::uint64_t Wall) {
    char Text[40];
    const std::uint64_t Milliseconds = Wall * 1000;
    std::snprintf(Text, sizeof Text, "%08x-%04x-7abc-8abc-0123456789ab",
                  static_cast<unsigned>(Milliseconds >> 16U),
                  static_cast<unsigned>(Milliseconds & 0xFFFFU));
    return std::string(Text);
  };
  const std::string Key = KeyAt(Two.time().Wall);
  const ClaimId First = Two.claim(0, Key);
  Two.run(milliseconds(100));
  ASSERT_TRUE(Two.is<ClaimGranted>(First));
  Two.settle(0, First, Answered);
  Two.run(milliseconds(200));
  Two.Now += seconds(24 * 3600);
  // Whoever claims in the partition carries its time forward.
  Two.claim(0, otherKeyIn(Key));
  Two.run(milliseconds(500));
  const ClaimId Late = Two.claim(1, Key);
  Two.run(milliseconds(500));
  EXPECT_TRUE(Two.is<ClaimKeyExpired>(Late));
  EXPECT_EQ(verdictOf(Two.Decisions.at(Late).What)->State,
            RunState::MayHaveRun);
  const ClaimId Future = Two.claim(1, KeyAt(Two.time().Wall + 3600));
  Two.run(milliseconds(500));
  EXPECT_TRUE(Two.is<ClaimKeyExpired>(Future));
}

// A host was asleep for longer than the log keeps records. What it missed is
// gone and reading on would leave a gap: it starts again at the horizon, and
// neither it nor its claims hang.
TEST(Claims, OutageLongerThanRetentionStartsAtTheHorizon) {
  Hosts One(1);
  const ClaimId Early = One.claim(0, "order-0");
  One.run(milliseconds(100));
  ASSERT_TRUE(One.is<ClaimGranted>(Early));
  const ClaimPartition Which = partitionOf({TeamName("team"), "order-0"});
  for (int Index = 0; Index < 10; ++Index)
    One.Streams[Which].push_back({One.Streams[Which].size(), {}});
  One.Horizons[Which] = One.Streams[Which].size() - 2;
  const ClaimId Id = One.claim(0, otherKeyIn("order-0"));
  One.run(milliseconds(500));
  EXPECT_TRUE(One.is<ClaimGranted>(Id));
  EXPECT_EQ(One.All[0].Service->owner(Which).ledger().size(), 1U);
}

// An operator asks what became of an order. "Not known" must rest on what the
// log holds when the question comes, not on an old reading.
TEST(Claims, QueryReadsTheLogAnew) {
  Hosts Two(2);
  Two.run(milliseconds(50));
  const std::size_t Owner = Two.ownerOf("order-8");
  const ClaimId Unknown = Two.query(1 - Owner, "order-8");
  Two.run(milliseconds(100));
  EXPECT_TRUE(Two.is<ClaimNotKnown>(Unknown));
  // The other host, apart, claims on its own.
  Two.act(1 - Owner, [&](auto &Service, ClaimTime Time, auto &Out) {
    const ClaimMember Self{Two.All[1 - Owner].Name, Two.All[1 - Owner].Run};
    Service.setMembers(std::span(&Self, 1), Time, Out);
  });
  const ClaimId Id = Two.claim(1 - Owner, "order-8");
  Two.run(milliseconds(200));
  ASSERT_TRUE(Two.is<ClaimGranted>(Id));
  const ClaimId Asked = Two.query(Owner, "order-8");
  Two.run(milliseconds(100));
  EXPECT_TRUE(Two.is<ClaimInProgress>(Asked));
}

// One host's wall clock is a day ahead. Its stamp would make every ledger
// forget all keys at once, and each retry of an order would run again.
TEST(Claims, ClockFarAheadDoesNotForgetKeys) {
  Hosts Three(3);
  const std::size_t Owner = Three.ownerOf("order-9");
  const std::size_t Claimant = (Owner + 1) % 3;
  const ClaimId Id = Three.claim(Claimant, "order-9");
  Three.run(milliseconds(100));
  ASSERT_TRUE(Three.is<ClaimGranted>(Id));
  ClaimCommands Out;
  ClaimTime Wrong = Three.time();
  Wrong.Wall += 24 * 3600;
  AcquireClaim Ask;
  Ask.Id = ClaimId{999, 1};
  Ask.Claimant = Three.All[Claimant].Name;
  Ask.Request = {{TeamName("team"), otherKeyIn("order-9")}, "d", {}};
  Ask.Wall = Three.time().Wall;
  Ask.Budget = milliseconds(1000);
  ClaimService &Service = *Three.All[Owner].Service;
  Service.received(Ask.Claimant, Ask, Wrong, Out);
  Wrong.Now += milliseconds(50);
  Service.advance(Wrong, Out);
  bool Appended = false;
  for (const ClaimCommand &Given : Out)
    if (const auto *const Append = std::get_if<ClaimAppend>(&Given)) {
      Appended = true;
      EXPECT_LE(decodeBatch(Append->Payload).Stamp, Three.time().Wall + 61);
    }
  EXPECT_TRUE(Appended);
}

} // namespace
} // namespace coltsfoottrail
