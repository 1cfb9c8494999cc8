#include "coltsfoottrail/claims/ledger.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr std::uint64_t Start = 1'800'000'000;
constexpr std::uint64_t Hour = 3600;

const ClaimKey OrderKey{TeamName("team"), "order"};
const ClaimId FirstClaim{1, 1};
const ClaimId SecondClaim{2, 1};

class LedgerTest : public ::testing::Test {
protected:
  void append(Incarnation Writer, std::uint64_t Sequence, ClaimItem Item,
              std::uint64_t Stamp = Start, std::uint64_t Life = Hour) {
    const ClaimBatch Batch{{Writer, Sequence}, Stamp, Life, {std::move(Item)}};
    Ledger.fold(Ledger.next(), encodeBatch(Batch));
  }
  static ClaimItem made(ClaimId Id, std::optional<std::uint64_t> Birth = {}) {
    return ClaimMade{Id, HostName("h"), {OrderKey, "digest", Birth}};
  }
  static ClaimItem ended(ClaimId Id, Settlement Result) {
    return ClaimEnded{Id, OrderKey, std::move(Result)};
  }
  [[nodiscard]] bool holds(ClaimId Id) const {
    const LedgerEntry *const Entry = Ledger.find(OrderKey);
    return Entry != nullptr && Entry->Holder == Id &&
           std::holds_alternative<ClaimHeld>(Entry->Standing);
  }

  ClaimLedger Ledger;
};

// The second claim was refused because the first held the key. The result of
// its append was lost, so the same batch is appended again after the release.
// If it were applied, the key would be held by a claim that nobody waits for.
TEST_F(LedgerTest, CopyOfABatchClaimsNothing) {
  append(10, 1, made(FirstClaim));
  append(20, 1, made(SecondClaim));
  append(10, 2, ended(FirstClaim, ReleaseClaim{}));
  append(20, 1, made(SecondClaim));
  EXPECT_FALSE(holds(SecondClaim));
  append(20, 2, made(ClaimId{2, 2}));
  EXPECT_TRUE(holds(ClaimId{2, 2}));
}

// A claim is given up before its record reaches the log, through another
// owner's slow append. It must not hold the key.
TEST_F(LedgerTest, ReleaseVoidsAClaimThatComesLater) {
  append(10, 1, ended(FirstClaim, ReleaseClaim{}));
  append(20, 1, made(FirstClaim));
  EXPECT_FALSE(holds(FirstClaim));
  append(20, 2, made(SecondClaim));
  EXPECT_TRUE(holds(SecondClaim));
}

// A delayed release, or one of another claim, must never free a key whose
// request is running or has run.
TEST_F(LedgerTest, OnlyTheHolderReleasesAndNeverAfterAnOutcome) {
  append(10, 1, made(FirstClaim));
  append(10, 2, ended(SecondClaim, ReleaseClaim{}));
  EXPECT_TRUE(holds(FirstClaim));
  append(10, 3, ended(FirstClaim, OutcomeUnknown{}));
  append(10, 4, ended(FirstClaim, ReleaseClaim{}));
  append(10, 5, made(SecondClaim));
  EXPECT_FALSE(holds(SecondClaim));
  append(10, 6, ended(FirstClaim, StoredOutcome{200, "", "done", true}));
  EXPECT_TRUE(
      std::holds_alternative<StoredOutcome>(Ledger.find(OrderKey)->Standing));
  append(10, 7, ended(FirstClaim, OutcomeUnknown{}));
  EXPECT_TRUE(
      std::holds_alternative<StoredOutcome>(Ledger.find(OrderKey)->Standing));
}

// A key with a creation time may be retried until it is too old, and its claim
// is kept a little longer: at no time is the claim erased and the retry still
// accepted.
TEST_F(LedgerTest, ClaimOutlivesEveryRetryThatIsLetIn) {
  append(10, 1, made(FirstClaim, Start));
  std::uint64_t Sequence = 1;
  for (std::uint64_t Elapsed = 0; Elapsed < 2 * Hour; Elapsed += 10) {
    append(10, ++Sequence, made(SecondClaim, Start), Start + Elapsed);
    EXPECT_FALSE(holds(SecondClaim)) << Elapsed;
  }
  EXPECT_EQ(Ledger.find(OrderKey), nullptr);
  EXPECT_EQ(Ledger.bytes(), 0U);
}

// Operators raise the lifetime of keys from one hour to six. A key claimed
// under the old lifetime is erased after an hour; its retry is not too old for
// the new lifetime and would run again.
TEST_F(LedgerTest, LongerLifeDoesNotLetForgottenKeysIn) {
  append(10, 1, made(FirstClaim, Start), Start, Hour);
  std::uint64_t Sequence = 1;
  for (std::uint64_t Elapsed = 60; Elapsed < 14 * Hour; Elapsed += 60) {
    append(10, ++Sequence, made(SecondClaim, Start), Start + Elapsed, 6 * Hour);
    EXPECT_FALSE(holds(SecondClaim)) << Elapsed;
  }
}

} // namespace
} // namespace coltsfoottrail
