#include "coltsfoottrail/admission/credits.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

class CreditsTest : public ::testing::Test {
protected:
  CreditShare request(const char *Host, std::uint32_t InFlight,
                      std::uint32_t Wanted, GrantNumber Adopted = {}) {
    CreditDemand Demand;
    Demand.InFlight = InFlight;
    Demand.Wanted = Wanted;
    Demand.Adopted = Adopted;
    return Ledger.request(HostName(Host), 1, ++RequestCount, Demand, Bound, 5,
                          Now, Options);
  }

  static constexpr std::uint32_t Bound = 8;
  CreditLedger Ledger;
  ShareOptions Options;
  TimePoint Now{seconds(100)};
  std::uint64_t RequestCount = 0;
};

// A grant whose answer may have been lost counts until the holder has confirmed
// a later grant.
TEST_F(CreditsTest, UnconfirmedGrantIsCounted) {
  EXPECT_EQ(request("ana", 0, 8).Share, 8U);
  EXPECT_EQ(request("ben", 0, 8).Share, 0U);
  const CreditShare Half = request("ana", 0, 8);
  EXPECT_EQ(Half.Share, 4U);
  EXPECT_EQ(Ledger.committed(), 8U);
  EXPECT_EQ(request("ben", 0, 8).Share, 0U);
  (void)request("ana", 0, 8, Half.Number);
  EXPECT_EQ(request("ben", 0, 8).Share, 4U);
}

// A holder is lost with requests in progress. Its credit expires, but the
// requests continue at the endpoint. They count until a load report made after
// the expiry shows less.
TEST_F(CreditsTest, WorkOfALostHolderIsCountedUntilAReportShowsItGone) {
  const CreditShare Granted = request("ana", 0, 8);
  (void)request("ana", 8, 8, Granted.Number);
  Ledger.applyReport(0, Now, Options);
  EXPECT_EQ(Ledger.committed(), 8U);
  Now += Options.CreditLife + Options.ReportLag + milliseconds(100);
  Ledger.applyReport(5, Now, Options);
  EXPECT_EQ(Ledger.committed(), 5U);
  EXPECT_EQ(request("ben", 0, 8).Share, 3U);
  Ledger.applyReport(0, Now, Options);
  EXPECT_EQ(Ledger.committed(), 3U);
}

// A steward takes over without a handover. The load report shows six requests:
// two of holder "ben" and four of a lost holder. A credit request that "ben"
// sent before the report gives two in progress, but those may have ended before
// the report. Only a number sent after the report is subtracted from the
// inherited load.
TEST_F(CreditsTest, InheritedWorkIsTakenOutOnlyByWhatIsSaidAfterTheReport) {
  Ledger.inherit(Bound, Now);
  EXPECT_EQ(request("ben", 2, 8).Share, 0U);
  Now += Options.ReportLag;
  Ledger.applyReport(6, Now, Options);
  const CreditShare Empty = request("ben", 2, 8);
  EXPECT_EQ(Empty.Share, 0U);
  EXPECT_EQ(Ledger.committed(), 8U);
  // Sent before the holder had the empty grant, so possibly before the report.
  EXPECT_EQ(request("ben", 2, 8).Share, 0U);
  EXPECT_EQ(Ledger.committed(), 8U);
  const CreditShare Granted = request("ben", 2, 8, Empty.Number);
  EXPECT_EQ(Granted.Share, 4U);
  EXPECT_EQ(Ledger.committed(), 8U);
}

} // namespace
} // namespace coltsfoottrail
