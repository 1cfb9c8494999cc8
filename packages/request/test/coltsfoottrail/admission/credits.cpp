#include "coltsfoottrail/admission/credits.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

class CreditsTest : public ::testing::Test {
protected:
  CreditShare ask(const char *Host, std::uint32_t InFlight,
                  std::uint32_t Wanted, GrantNumber Adopted = {}) {
    CreditDemand Want;
    Want.InFlight = InFlight;
    Want.Wanted = Wanted;
    Want.Adopted = Adopted;
    return Ledger.ask(HostName(Host), 1, ++Asks, Want, Bound, 5, Now, Options);
  }

  static constexpr std::uint32_t Bound = 8;
  CreditLedger Ledger;
  ShareOptions Options;
  TimePoint Now{seconds(100)};
  std::uint64_t Asks = 0;
};

// The answer to Ana's host is lost. It may have come, so what it grants is
// counted until her host has confirmed a later one.
TEST_F(CreditsTest, UnconfirmedGrantIsCounted) {
  EXPECT_EQ(ask("ana", 0, 8).Share, 8U);
  EXPECT_EQ(ask("ben", 0, 8).Share, 0U);
  const CreditShare Half = ask("ana", 0, 8);
  EXPECT_EQ(Half.Share, 4U);
  EXPECT_EQ(Ledger.committed(), 8U);
  EXPECT_EQ(ask("ben", 0, 8).Share, 0U);
  (void)ask("ana", 0, 8, Half.Number);
  EXPECT_EQ(ask("ben", 0, 8).Share, 4U);
}

// Ana's host is lost with work in progress. Her credit has run out, but what
// she started goes on at the endpoint: it is counted until a report that was
// made after that shows less.
TEST_F(CreditsTest, WorkOfALostHolderIsCountedUntilAReportShowsItGone) {
  const CreditShare Given = ask("ana", 0, 8);
  (void)ask("ana", 8, 8, Given.Number);
  Ledger.reported(0, Now, Options);
  EXPECT_EQ(Ledger.committed(), 8U);
  Now += Options.CreditLife + Options.ReportLag + milliseconds(100);
  Ledger.reported(5, Now, Options);
  EXPECT_EQ(Ledger.committed(), 5U);
  EXPECT_EQ(ask("ben", 0, 8).Share, 3U);
  Ledger.reported(0, Now, Options);
  EXPECT_EQ(Ledger.committed(), 3U);
}

// A steward takes over and knows nothing. The report shows six requests, two of
// them Ben's and four of a holder that is gone. An ask that Ben sent before the
// report says two, but those may have ended and be among the six no more: only
// what he says after the report is taken out of what was inherited.
TEST_F(CreditsTest, InheritedWorkIsTakenOutOnlyByWhatIsSaidAfterTheReport) {
  Ledger.inherit(Bound, Now);
  EXPECT_EQ(ask("ben", 2, 8).Share, 0U);
  Now += Options.ReportLag;
  Ledger.reported(6, Now, Options);
  const CreditShare Empty = ask("ben", 2, 8);
  EXPECT_EQ(Empty.Share, 0U);
  EXPECT_EQ(Ledger.committed(), 8U);
  // Sent before he had the empty grant: proves nothing.
  EXPECT_EQ(ask("ben", 2, 8).Share, 0U);
  EXPECT_EQ(Ledger.committed(), 8U);
  const CreditShare Given = ask("ben", 2, 8, Empty.Number);
  EXPECT_EQ(Given.Share, 4U);
  EXPECT_EQ(Ledger.committed(), 8U);
}

} // namespace
} // namespace coltsfoottrail
