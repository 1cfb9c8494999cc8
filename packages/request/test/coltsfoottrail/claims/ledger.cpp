#include "coltsfoottrail/claims/ledger.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr std::uint64_t Start = 1'800'000'000;
constexpr std::uint64_t Hour = 3600;

const ClaimKey Order{TeamName("team"), "order"};
const ClaimId Ana{1, 1};
const ClaimId Ben{2, 1};

class LedgerTest : public ::testing::Test {
protected:
  void append(Incarnation Writer, std::uint64_t Sequence, ClaimItem Item,
              std::uint64_t Stamp = Start, std::uint64_t Life = Hour) {
    const ClaimBatch Batch{{Writer, Sequence}, Stamp, Life, {std::move(Item)}};
    Ledger.fold(Ledger.next(), encodeBatch(Batch));
  }
  static ClaimItem made(ClaimId Id, std::optional<std::uint64_t> Birth = {}) {
    return ClaimMade{Id, HostName("h"), {Order, "digest", Birth}};
  }
  static ClaimItem ended(ClaimId Id, Settlement How) {
    return ClaimEnded{Id, Order, std::move(How)};
  }
  [[nodiscard]] bool holds(ClaimId Id) const {
    const LedgerEntry *const Entry = Ledger.find(Order);
    return Entry != nullptr && Entry->Holder == Id &&
           std::holds_alternative<ClaimHeld>(Entry->Standing);
  }

  ClaimLedger Ledger;
};

// Ben's claim was refused because Ana held the key. The append's answer was
// lost, so the same batch comes again after Ana's release: were it taken, the
// key would be held by a claim that nobody waits for.
TEST_F(LedgerTest, CopyOfABatchClaimsNothing) {
  append(10, 1, made(Ana));
  append(20, 1, made(Ben));
  append(10, 2, ended(Ana, ReleaseClaim{}));
  append(20, 1, made(Ben));
  EXPECT_FALSE(holds(Ben));
  append(20, 2, made(ClaimId{2, 2}));
  EXPECT_TRUE(holds(ClaimId{2, 2}));
}

// Ana gave up before her claim's record came to stand on the log, by another
// owner's slow append. Her claim must not hold the key.
TEST_F(LedgerTest, ReleaseVoidsAClaimThatComesLater) {
  append(10, 1, ended(Ana, ReleaseClaim{}));
  append(20, 1, made(Ana));
  EXPECT_FALSE(holds(Ana));
  append(20, 2, made(Ben));
  EXPECT_TRUE(holds(Ben));
}

// A late release, or one of another claim, must never free a key whose request
// has run or runs.
TEST_F(LedgerTest, OnlyTheHolderReleasesAndNeverAfterAnOutcome) {
  append(10, 1, made(Ana));
  append(10, 2, ended(Ben, ReleaseClaim{}));
  EXPECT_TRUE(holds(Ana));
  append(10, 3, ended(Ana, OutcomeUnknown{}));
  append(10, 4, ended(Ana, ReleaseClaim{}));
  append(10, 5, made(Ben));
  EXPECT_FALSE(holds(Ben));
  append(10, 6, ended(Ana, StoredOutcome{200, "", "done", true}));
  EXPECT_TRUE(
      std::holds_alternative<StoredOutcome>(Ledger.find(Order)->Standing));
  append(10, 7, ended(Ana, OutcomeUnknown{}));
  EXPECT_TRUE(
      std::holds_alternative<StoredOutcome>(Ledger.find(Order)->Standing));
}

// A key with a time of birth may be retried until it is too old, and its claim
// is kept a little longer than that: there is no moment at which the claim is
// forgotten and the retry still let in.
TEST_F(LedgerTest, ClaimOutlivesEveryRetryThatIsLetIn) {
  append(10, 1, made(Ana, Start));
  std::uint64_t Sequence = 1;
  for (std::uint64_t Passed = 0; Passed < 2 * Hour; Passed += 10) {
    append(10, ++Sequence, made(Ben, Start), Start + Passed);
    EXPECT_FALSE(holds(Ben)) << Passed;
  }
  EXPECT_EQ(Ledger.find(Order), nullptr);
  EXPECT_EQ(Ledger.bytes(), 0U);
}

// Operators raise the life of keys from one hour to six. A key claimed under
// the old life is forgotten after an hour; its retry is not too old for the new
// life and would run again.
TEST_F(LedgerTest, LongerLifeDoesNotLetForgottenKeysIn) {
  append(10, 1, made(Ana, Start), Start, Hour);
  std::uint64_t Sequence = 1;
  for (std::uint64_t Passed = 60; Passed < 14 * Hour; Passed += 60) {
    append(10, ++Sequence, made(Ben, Start), Start + Passed, 6 * Hour);
    EXPECT_FALSE(holds(Ben)) << Passed;
  }
}

} // namespace
} // namespace coltsfoottrail
