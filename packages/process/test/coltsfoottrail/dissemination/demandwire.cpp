#include "coltsfoottrail/dissemination/demandwire.hpp"

#include "coltsfoottrail/dissemination/messages.hpp"
#include "coltsfoottrail/json/reader.hpp"

#include <gtest/gtest.h>
#include <limits>

namespace coltsfoottrail {

namespace {

constexpr std::uint64_t LargeHash = std::numeric_limits<std::uint64_t>::max();

Report report() {
  Report Result;
  Result.Host = HostName("a:1/x");
  Result.DataCentre = DataCentreName("dc");
  return Result;
}

TEST(DemandWire, RoundTripKeepsThousandths) {
  Report Sent = report();
  Sent.Demand = DemandSum{
      {{{LargeHash, 1, 0}, {1.25, 1.0, 0.125, 0.5, 812.5, 64.0, 0.375}},
       {{LargeHash, 2, 7}, {0.0, 0.0, 0.001, 0.0, 0.0, 0.0, 0.0}}},
      41,
      milliseconds(612)};
  const Report Received = decodeReport(encode(Sent));
  ASSERT_TRUE(Received.Demand);
  EXPECT_EQ(Received.Demand->Hosts, 41U);
  EXPECT_EQ(Received.Demand->Age, milliseconds(612));
  ASSERT_EQ(Received.Demand->Rows.size(), 2U);
  for (std::size_t Index = 0; Index < 2; ++Index) {
    EXPECT_EQ(Received.Demand->Rows[Index].Key, Sent.Demand->Rows[Index].Key);
    EXPECT_EQ(Received.Demand->Rows[Index].Rates,
              Sent.Demand->Rows[Index].Rates);
  }
}

/// Number of bytes that demand adds to a report.
std::size_t sizeOf(DemandSum Demand) {
  Report Sent = report();
  const std::size_t Plain = encode(Sent).size();
  Sent.Demand = std::move(Demand);
  return encode(Sent).size() - Plain;
}

// Demand of fleets with two models, three ranks and three data centres, each
// host with three requests a second for each model and rank.
TEST(DemandWire, SumOfAFleetTakesAtMostAKilobyte) {
  constexpr std::size_t MaxBytes = 1'024;
  for (const std::size_t Hosts : {9U, 62U, 105U, 300U}) {
    DemandSum Demand;
    Demand.Hosts = Hosts;
    Demand.Age = milliseconds(1'400);
    const double Offered = 3.0 * double(Hosts) / 3.0;
    for (std::uint64_t Pool = 0; Pool < 2; ++Pool)
      for (std::uint64_t DataCentre = 0; DataCentre < 3; ++DataCentre)
        for (std::uint32_t Rank = 0; Rank < 3; ++Rank)
          Demand.Rows.push_back(
              {{LargeHash - Pool, LargeHash - DataCentre, Rank},
               {Offered, Offered, Offered, Offered, 1'500.0 * Offered,
                80.0 * Offered, Offered}});
    const std::size_t Bytes = sizeOf(Demand);
    RecordProperty("bytes_" + std::to_string(Hosts), int(Bytes));
    EXPECT_LE(Bytes, MaxBytes) << Hosts << " hosts";
  }
}

// A sum never looks more recent than it is.
TEST(DemandWire, AgeIsRoundedUp) {
  Report Sent = report();
  Sent.Demand = DemandSum{{}, 1, std::chrono::microseconds(1'200)};
  EXPECT_EQ(decodeReport(encode(Sent)).Demand->Age, milliseconds(2));
}

// Hosts of earlier releases send none.
TEST(DemandWire, ReportWithoutDemand) {
  EXPECT_FALSE(decodeReport(encode(report())).Demand);
  Report Sent = report();
  Sent.Demand = DemandSum{{}, 1, {}};
  EXPECT_GT(encode(Sent).size(), encode(report()).size());
}

// Guards against values that a peer sends and that no sum can hold.
TEST(DemandWire, RefusesWhatIsNoDemand) {
  for (const std::string_view Text :
       {"{}", "[]", "[1]", "[1, -1]", "[-1, 0]", "[1, 0, 5]", "[1, 0, []]",
        "[1, 0, [1, 2, 3, 4, 5, 6, 7, 8, 9]]",
        "[1, 0, [1, 2, 3, -4, 5, 6, 7, 8, 9, 10]]",
        "[1, 0, [1, 2, 3, 1.5, 5, 6, 7, 8, 9, 10]]",
        "[1, 0, [1, 2, 99999999999, 4, 5, 6, 7, 8, 9, 10]]",
        "[1, 0, [1, 2, 3, 18446744073709551615, 5, 6, 7, 8, 9, 10]]"})
    EXPECT_THROW((void)readDemand(parseJson(Text, "test"), "test"), InputError)
        << Text;
}

// Guards against rates that no integer can hold.
TEST(DemandWire, RatesBeyondTheBoundAreCut) {
  DemandSum Demand{
      {{{1, 2, 3}, {1e300, -1.0, 0.0, 0.0, 0.0, 0.0, 0.0}}}, 1, {}};
  const DemandSum Received = readDemand(writeDemand(Demand), "test");
  EXPECT_GT(Received.Rows.front().Rates.Offered, 1e11);
  EXPECT_EQ(Received.Rows.front().Rates.Admitted, 0.0);
}

} // namespace

} // namespace coltsfoottrail
