#include "coltsfoottrail/claims/service.hpp"

#include "hosts.hpp"

#include <gtest/gtest.h>
#include <set>

namespace coltsfoottrail {
namespace {

/// Another key of the same partition.
std::string otherKeyInPartitionOf(const std::string &Key) {
  const ClaimPartition Partition = partitionOf({TeamName("team"), Key});
  for (int Index = 0;; ++Index) {
    std::string Other = "other-" + std::to_string(Index);
    if (partitionOf({TeamName("team"), Other}) == Partition)
      return Other;
  }
}

const StoredOutcome Answered{201, "application/json", "{\"order\":7}\xff\xfe",
                             true};

// Two copies of an order arrive at two entry hosts at once. One is granted, the
// other gets the claimant in progress, and a later repetition gets the outcome
// of the first.
TEST(Claims, TwinsOnTwoHostsRunOnce) {
  Hosts Cluster(9);
  const ClaimId First = Cluster.claim(1, "order-1");
  const ClaimId Second = Cluster.claim(2, "order-1");
  Cluster.run(milliseconds(200));
  ASSERT_NE(Cluster.is<ClaimGranted>(First), Cluster.is<ClaimGranted>(Second));
  const bool FirstWon = Cluster.is<ClaimGranted>(First);
  EXPECT_TRUE(Cluster.is<ClaimInProgress>(FirstWon ? Second : First));
  Cluster.settle(FirstWon ? 1 : 2, FirstWon ? First : Second, Answered);
  Cluster.run(milliseconds(200));
  const ClaimId Resent = Cluster.claim(3, "order-1");
  const ClaimId OtherBody = Cluster.claim(4, "order-1", "another");
  Cluster.run(milliseconds(200));
  ASSERT_TRUE(Cluster.is<ClaimReplay>(Resent));
  EXPECT_EQ(
      std::get<ClaimReplay>(Cluster.Decisions.at(Resent).Decision).Outcome,
      Answered);
  EXPECT_TRUE(Cluster.is<ClaimBodyDiffers>(OtherBody));
}

// The claim is appended but the result of the append is lost. The owner appends
// it again, so the log has two copies. The claimant is granted once, and the
// copy has no effect if the claim has been given up since.
TEST(Claims, LostAppendAnswerIsNotASecondClaim) {
  Hosts Cluster(1);
  Cluster.run(milliseconds(50));
  Cluster.InjectedFaults.AppendAnswerLost = 100;
  const ClaimId Id = Cluster.claim(0, "order-2");
  Cluster.run(milliseconds(200));
  EXPECT_FALSE(Cluster.Decisions.contains(Id));
  EXPECT_GE(Cluster.Appends, 2U);
  Cluster.InjectedFaults.AppendAnswerLost = 0;
  Cluster.run(milliseconds(2000));
  ASSERT_TRUE(Cluster.is<ClaimGranted>(Id));
  EXPECT_EQ(std::get<ClaimGranted>(Cluster.Decisions.at(Id).Decision).Fence,
            0U);
  EXPECT_EQ(Cluster.DecidedTwice, 0U);
}

// The claimant finds no endpoint and releases the claim without having sent
// anything. The caller's retry must be granted, not refused as "may have run".
TEST(Claims, ReleasedKeyIsGrantedToTheRetry) {
  Hosts Cluster(3);
  const ClaimId Id = Cluster.claim(0, "order-3");
  Cluster.run(milliseconds(100));
  ASSERT_TRUE(Cluster.is<ClaimGranted>(Id));
  Cluster.settle(0, Id, ReleaseClaim{});
  Cluster.run(milliseconds(200));
  const ClaimId Retry = Cluster.claim(1, "order-3", "a corrected body");
  Cluster.run(milliseconds(200));
  EXPECT_TRUE(Cluster.is<ClaimGranted>(Retry));
  EXPECT_EQ(Cluster.All[0].Service->settling(), 0U);
}

// The claimant dies before or after it sent the order, or after the response
// but before the settlement was on the log; nobody can tell which. While it is
// a member, retries get "in progress", and afterwards "may have run", never
// "not run" and never a second grant.
TEST(Claims, DeadClaimantLeavesMayHaveRun) {
  Hosts Cluster(4);
  const std::size_t Claimant = (Cluster.ownerOf("order-4") + 1) % 4;
  const std::size_t Other = (Cluster.ownerOf("order-4") + 2) % 4;
  const ClaimId Id = Cluster.claim(Claimant, "order-4");
  Cluster.run(milliseconds(100));
  ASSERT_TRUE(Cluster.is<ClaimGranted>(Id));
  Cluster.stop(Claimant);
  const ClaimId Early = Cluster.claim(Other, "order-4");
  Cluster.run(milliseconds(100));
  EXPECT_TRUE(Cluster.is<ClaimInProgress>(Early));
  Cluster.announceMembers();
  const ClaimId Late = Cluster.claim(Other, "order-4");
  const ClaimId Query = Cluster.query(Other, "order-4");
  Cluster.run(milliseconds(100));
  EXPECT_TRUE(Cluster.is<ClaimMayHaveRun>(Late));
  EXPECT_TRUE(Cluster.is<ClaimMayHaveRun>(Query));
}

// The owner of the partition dies after it appended a claim and before it
// answered. The claimant's next candidate reads the stream and finds the claim.
TEST(Claims, DeadOwnerIsReplacedByReading) {
  Hosts Cluster(4);
  Cluster.run(milliseconds(50));
  const std::size_t Owner = Cluster.ownerOf("order-5");
  const std::size_t Claimant = (Owner + 1) % 4;
  const ClaimId Id = Cluster.claim(Claimant, "order-5");
  Cluster.deliverOne();
  Cluster.pass(milliseconds(50));
  ASSERT_EQ(Cluster.Appends, 1U);
  Cluster.stop(Owner);
  Cluster.run(milliseconds(2000));
  EXPECT_TRUE(Cluster.is<ClaimGranted>(Id));
}

// During a membership change two hosts own the partition, and each gets one of
// two copies of a request. Both append; both decide by the order on the log.
TEST(Claims, TwoOwnersGrantOne) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Hosts Cluster(3, Seed);
    Cluster.run(milliseconds(50));
    const std::size_t Owner = Cluster.ownerOf("order-6");
    const std::size_t Isolated = (Owner + 1) % 3;
    // This host's view has itself as the only member.
    Cluster.invoke(Isolated,
                   [&](auto &Service, ClaimTime Time, auto &Commands) {
                     const ClaimMember Self{Cluster.All[Isolated].Name,
                                            Cluster.All[Isolated].Run};
                     Service.setMembers(std::span(&Self, 1), Time, Commands);
                   });
    const ClaimId Left = Cluster.claim(Owner, "order-6");
    const ClaimId Right = Cluster.claim(Isolated, "order-6");
    Cluster.run(milliseconds(500));
    EXPECT_NE(Cluster.is<ClaimGranted>(Left), Cluster.is<ClaimGranted>(Right));
  }
}

// Guards against refusing a repeat as in progress after its answer was stored:
// the host had read the claim for one that timed out at the partition's owner.
TEST(Claims, RepeatGetsTheOutcomeThatAnotherOwnerAppended) {
  Hosts Cluster(3);
  Cluster.run(milliseconds(50));
  const std::size_t Owner = Cluster.ownerOf("order-8");
  const std::size_t Claimant = (Owner + 1) % 3;
  const std::size_t Other = (Owner + 2) % 3;
  const ClaimId First = Cluster.claim(Claimant, "order-8");
  Cluster.run(milliseconds(100));
  ASSERT_TRUE(Cluster.is<ClaimGranted>(First));
  const auto IsolatedView = [&](auto &Service, ClaimTime Time, auto &Commands) {
    const ClaimMember Self{Cluster.All[Other].Name, Cluster.All[Other].Run};
    const ClaimMember Held{Cluster.All[Claimant].Name,
                           Cluster.All[Claimant].Run};
    Service.setMembers(std::array{Held, Self}, Time, Commands);
  };
  Cluster.invoke(Other, IsolatedView);
  const ClaimId Early = Cluster.claim(Other, "order-8");
  Cluster.run(milliseconds(600));
  ASSERT_TRUE(Cluster.is<ClaimInProgress>(Early));
  Cluster.settle(Claimant, First, Answered);
  Cluster.run(milliseconds(200));
  ASSERT_EQ(Cluster.All[Claimant].Service->settling(), 0U);
  Cluster.stop(Owner);
  Cluster.announceMembers();
  const ClaimId Repeat = Cluster.claim(Other, "order-8");
  Cluster.run(milliseconds(600));
  ASSERT_TRUE(Cluster.is<ClaimReplay>(Repeat));
}

// While the log is down, a claim is answered from the last read: a held key is
// reported as in progress and nothing is granted.
TEST(Claims, RepeatIsInProgressWhileTheLogIsAway) {
  Hosts Cluster(2);
  const ClaimId First = Cluster.claim(0, "order-9");
  Cluster.run(milliseconds(100));
  ASSERT_TRUE(Cluster.is<ClaimGranted>(First));
  Cluster.InjectedFaults.LogDown = true;
  const ClaimId Repeat = Cluster.claim(1, "order-9");
  Cluster.run(milliseconds(1'500));
  EXPECT_TRUE(Cluster.is<ClaimInProgress>(Repeat));
}

// A claim was refused because the key was in use, and a copy of its message
// reaches the owner after the key was freed. Nobody waits for the resulting
// claim; the caller's retry must not find the key in use for hours.
TEST(Claims, CopyOfARefusedAskDoesNotKeepTheKey) {
  Hosts Cluster(3);
  Cluster.run(milliseconds(50));
  const std::size_t Owner = Cluster.ownerOf("order-7");
  const std::size_t Refused = (Owner + 1) % 3;
  const ClaimId Holder = Cluster.claim(Owner, "order-7");
  Cluster.run(milliseconds(100));
  const ClaimId Second = Cluster.claim(Refused, "order-7");
  Cluster.run(milliseconds(100));
  ASSERT_TRUE(Cluster.is<ClaimInProgress>(Second));
  Cluster.settle(Owner, Holder, ReleaseClaim{});
  Cluster.run(milliseconds(200));
  Cluster.invoke(Owner, [&](auto &Service, ClaimTime Time, auto &Commands) {
    AcquireClaim Copy;
    Copy.Id = Second;
    Copy.Claimant = Cluster.All[Refused].Name;
    Copy.Request = {{TeamName("team"), "order-7"}, "digest", {}};
    Copy.Wall = Time.Wall;
    Copy.Budget = milliseconds(1000);
    Service.received(Cluster.All[Refused].Name, Copy, Time, Commands);
  });
  Cluster.run(milliseconds(1000));
  const ClaimId Retry = Cluster.claim(Owner, "order-7");
  Cluster.run(milliseconds(200));
  EXPECT_TRUE(Cluster.is<ClaimGranted>(Retry));
}

// The log is down for so long that settlements exceed the memory limit, and
// those of orders that ran are dropped. A delayed copy of such a grant must not
// be treated as a claim that was never sent: its release would let the order
// run again.
TEST(Claims, ForgottenSettlementIsNeverReleased) {
  Hosts Cluster(1);
  Cluster.DefaultOptions.MaxSettlingBytes = 100;
  Cluster.start(0);
  Cluster.announceMembers();
  const ClaimId Id = Cluster.claim(0, "order-8");
  Cluster.run(milliseconds(200));
  ASSERT_TRUE(Cluster.is<ClaimGranted>(Id));
  const ClaimId Filler = Cluster.claim(0, "order-9");
  Cluster.run(milliseconds(200));
  Cluster.InjectedFaults.LogDown = true;
  Cluster.settle(0, Filler, Answered);
  Cluster.settle(0, Id, Answered);
  EXPECT_EQ(Cluster.All[0].Service->settling(), 1U);
  Cluster.InjectedFaults.LogDown = false;
  Cluster.run(milliseconds(20'000));
  ASSERT_EQ(Cluster.All[0].Service->settling(), 0U);
  Cluster.invoke(0, [&](auto &Service, ClaimTime Time, auto &Commands) {
    Service.received(
        HostName("host-9"),
        ClaimAnswer{Id, {TeamName("team"), "order-8"}, ClaimGranted{0}}, Time,
        Commands);
  });
  Cluster.run(milliseconds(3000));
  const ClaimId Retry = Cluster.claim(0, "order-8");
  Cluster.run(milliseconds(500));
  EXPECT_TRUE(Cluster.is<ClaimInProgress>(Retry));
}

// The log is down, so the order waits until its deadline and is then refused as
// not run. The claim that is appended when the log is back has nobody waiting
// and must not keep the key from the caller's retry.
TEST(Claims, LogDownIsRefusedTruthfullyAndLeavesTheKeyFree) {
  Hosts Cluster(3);
  Cluster.run(milliseconds(50));
  Cluster.InjectedFaults.LogDown = true;
  const ClaimId Id = Cluster.claim(0, "order-7", "digest", milliseconds(1000));
  Cluster.run(milliseconds(900));
  EXPECT_FALSE(Cluster.Decisions.contains(Id));
  Cluster.run(milliseconds(200));
  ASSERT_TRUE(Cluster.is<ClaimUnavailable>(Id));
  const auto Refusal = verdictOf(Cluster.Decisions.at(Id).Decision);
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(Refusal->State, RunState::NotRun);
  Cluster.InjectedFaults.LogDown = false;
  Cluster.run(milliseconds(20'000));
  const ClaimId Retry = Cluster.claim(1, "order-7");
  Cluster.run(milliseconds(500));
  EXPECT_TRUE(Cluster.is<ClaimGranted>(Retry));
}

// A retry with a key created long ago fails because of a log outage. An earlier
// attempt may have run, so the refusal must not say "not run".
TEST(Claims, OutageOnAnOldKeyIsNotCalledNotRun) {
  Hosts Cluster(1);
  Cluster.InjectedFaults.LogDown = true;
  ClaimId Id;
  Cluster.invoke(0, [&](auto &Service, ClaimTime Time, auto &Commands) {
    const ClaimRequest Request{{TeamName("team"), "k"}, "d", Time.Wall - 3600};
    Id = Service.claim(Request, Time.Now + seconds(1), Time, Commands);
  });
  Cluster.run(milliseconds(1100));
  ASSERT_TRUE(Cluster.is<ClaimUnavailable>(Id));
  EXPECT_EQ(verdictOf(Cluster.Decisions.at(Id).Decision)->State,
            RunState::MayHaveRun);
}

// A client resends an order after a day offline. Its claim has been erased, so
// the key would appear new, but its creation time shows that it is not.
TEST(Claims, KeyOlderThanItsLifeIsRefused) {
  Hosts Cluster(2);
  const auto KeyAt = [](std::uint64_t Wall) {
    char Text[40];
    const std::uint64_t Milliseconds = Wall * 1000;
    std::snprintf(Text, sizeof Text, "%08x-%04x-7abc-8abc-0123456789ab",
                  static_cast<unsigned>(Milliseconds >> 16U),
                  static_cast<unsigned>(Milliseconds & 0xFFFFU));
    return std::string(Text);
  };
  const std::string Key = KeyAt(Cluster.time().Wall);
  const ClaimId First = Cluster.claim(0, Key);
  Cluster.run(milliseconds(100));
  ASSERT_TRUE(Cluster.is<ClaimGranted>(First));
  Cluster.settle(0, First, Answered);
  Cluster.run(milliseconds(200));
  Cluster.Now += seconds(24 * 3600);
  // Any claim in the partition advances its ledger's time.
  Cluster.claim(0, otherKeyInPartitionOf(Key));
  Cluster.run(milliseconds(500));
  const ClaimId Late = Cluster.claim(1, Key);
  Cluster.run(milliseconds(500));
  EXPECT_TRUE(Cluster.is<ClaimKeyExpired>(Late));
  EXPECT_EQ(verdictOf(Cluster.Decisions.at(Late).Decision)->State,
            RunState::MayHaveRun);
  const ClaimId Future = Cluster.claim(1, KeyAt(Cluster.time().Wall + 3600));
  Cluster.run(milliseconds(500));
  EXPECT_TRUE(Cluster.is<ClaimKeyExpired>(Future));
}

// A host was suspended for longer than the log's retention. The records that it
// missed are gone, so it restarts at the horizon, and its claims are decided.
TEST(Claims, OutageLongerThanRetentionStartsAtTheHorizon) {
  Hosts Cluster(1);
  const ClaimId Early = Cluster.claim(0, "order-0");
  Cluster.run(milliseconds(100));
  ASSERT_TRUE(Cluster.is<ClaimGranted>(Early));
  const ClaimPartition Partition = partitionOf({TeamName("team"), "order-0"});
  for (int Index = 0; Index < 10; ++Index)
    Cluster.Streams[Partition].push_back(
        {Cluster.Streams[Partition].size(), {}});
  Cluster.Horizons[Partition] = Cluster.Streams[Partition].size() - 2;
  const ClaimId Id = Cluster.claim(0, otherKeyInPartitionOf("order-0"));
  Cluster.run(milliseconds(500));
  EXPECT_TRUE(Cluster.is<ClaimGranted>(Id));
  EXPECT_EQ(Cluster.All[0].Service->owner(Partition).ledger().size(), 1U);
}

// An operator queries the outcome of an order. "Not known" must be decided by
// the log at the time of the query, not by a stale ledger.
TEST(Claims, QueryReadsTheLogAnew) {
  Hosts Cluster(2);
  Cluster.run(milliseconds(50));
  const std::size_t Owner = Cluster.ownerOf("order-8");
  const ClaimId Unknown = Cluster.query(1 - Owner, "order-8");
  Cluster.run(milliseconds(100));
  EXPECT_TRUE(Cluster.is<ClaimNotKnown>(Unknown));
  // The other host claims with a view in which it is the only member.
  Cluster.invoke(1 - Owner, [&](auto &Service, ClaimTime Time, auto &Commands) {
    const ClaimMember Self{Cluster.All[1 - Owner].Name,
                           Cluster.All[1 - Owner].Run};
    Service.setMembers(std::span(&Self, 1), Time, Commands);
  });
  const ClaimId Id = Cluster.claim(1 - Owner, "order-8");
  Cluster.run(milliseconds(200));
  ASSERT_TRUE(Cluster.is<ClaimGranted>(Id));
  const ClaimId Query = Cluster.query(Owner, "order-8");
  Cluster.run(milliseconds(100));
  EXPECT_TRUE(Cluster.is<ClaimInProgress>(Query));
}

// One host's wall clock is a day ahead. Its timestamp would make every ledger
// erase all keys at once, and each retry of an order would run again.
TEST(Claims, ClockFarAheadDoesNotForgetKeys) {
  Hosts Cluster(3);
  const std::size_t Owner = Cluster.ownerOf("order-9");
  const std::size_t Claimant = (Owner + 1) % 3;
  const ClaimId Id = Cluster.claim(Claimant, "order-9");
  Cluster.run(milliseconds(100));
  ASSERT_TRUE(Cluster.is<ClaimGranted>(Id));
  ClaimCommands Commands;
  ClaimTime SkewedTime = Cluster.time();
  SkewedTime.Wall += 24 * 3600;
  AcquireClaim Message;
  Message.Id = ClaimId{999, 1};
  Message.Claimant = Cluster.All[Claimant].Name;
  Message.Request = {
      {TeamName("team"), otherKeyInPartitionOf("order-9")}, "d", {}};
  Message.Wall = Cluster.time().Wall;
  Message.Budget = milliseconds(1000);
  ClaimService &Service = *Cluster.All[Owner].Service;
  Service.received(Message.Claimant, Message, SkewedTime, Commands);
  SkewedTime.Now += milliseconds(50);
  Service.advance(SkewedTime, Commands);
  bool Appended = false;
  for (const ClaimCommand &Command : Commands)
    if (const auto *const Append = std::get_if<ClaimAppend>(&Command)) {
      Appended = true;
      EXPECT_LE(decodeBatch(Append->Payload).Stamp, Cluster.time().Wall + 61);
    }
  EXPECT_TRUE(Appended);
}

} // namespace
} // namespace coltsfoottrail
