#include "coltsfoottrail/demand/meter.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};
constexpr std::uint64_t Pool = 7;
constexpr std::uint64_t DataCentre = 9;
/// Ten requests per second.
constexpr Duration Spacing = milliseconds(100);
constexpr double PerSecond = 10.0;
constexpr std::uint32_t PromptTokens = 400;
constexpr std::uint32_t AnswerTokens = 50;

/// Offers requests at PerSecond.
/// @return End of the span.
TimePoint offer(DemandMeter &Meter, TimePoint From, Duration Span) {
  TimePoint Now = From;
  for (; Now < From + Span; Now += Spacing)
    Meter.recordOffered(Pool, 0, PromptTokens, AnswerTokens, Now);
  return Now;
}

DemandRates only(const DemandMeter &Meter, TimePoint Now) {
  const std::vector<DemandRow> Rows = Meter.rows(Now);
  return Rows.size() == 1 ? Rows.front().Rates : DemandRates{};
}

TEST(DemandMeter, SteadyRateIsMeasured) {
  DemandMeter Meter(DataCentre);
  const TimePoint Now = offer(Meter, Start, 10 * DemandMeter::HalfLife);
  const DemandRates Rates = only(Meter, Now);
  EXPECT_NEAR(Rates.Offered, PerSecond, 0.05 * PerSecond);
  EXPECT_NEAR(Rates.PromptTokens, PerSecond * PromptTokens,
              0.05 * PerSecond * PromptTokens);
  EXPECT_NEAR(Rates.AnswerTokens, PerSecond * AnswerTokens,
              0.05 * PerSecond * AnswerTokens);
  EXPECT_EQ(Rates.Admitted, 0.0);
}

TEST(DemandMeter, HalfOfAStepIsSeenAfterTheHalfLife) {
  DemandMeter Meter(DataCentre);
  const TimePoint Now = offer(Meter, Start, DemandMeter::HalfLife);
  EXPECT_NEAR(only(Meter, Now).Offered, PerSecond / 2, 0.05 * PerSecond);
}

TEST(DemandMeter, SilenceHalvesTheRateEachHalfLife) {
  DemandMeter Meter(DataCentre);
  const TimePoint Now = offer(Meter, Start, 10 * DemandMeter::HalfLife);
  const double Before = only(Meter, Now).Offered;
  EXPECT_NEAR(only(Meter, Now + DemandMeter::HalfLife).Offered, Before / 2,
              0.001);
}

// Guards against a burst that counts for more than its requests.
TEST(DemandMeter, BurstAddsUpToItsRequests) {
  DemandMeter Meter(DataCentre);
  constexpr int Burst = 100;
  for (int Index = 0; Index < Burst; ++Index)
    Meter.recordOffered(Pool, 0, PromptTokens, AnswerTokens, Start);
  constexpr Duration Step = milliseconds(10);
  double Requests = 0.0;
  for (TimePoint Now = Start; Now < Start + 20 * DemandMeter::HalfLife;
       Now += Step)
    Requests +=
        only(Meter, Now).Offered * std::chrono::duration<double>(Step).count();
  EXPECT_NEAR(Requests, Burst, 0.01 * Burst);
}

TEST(DemandMeter, OutcomesAreSeparate) {
  DemandMeter Meter(DataCentre);
  for (TimePoint Now = Start; Now < Start + 10 * DemandMeter::HalfLife;
       Now += Spacing) {
    Meter.recordAdmitted(Pool, 0, milliseconds(250), Now);
    Meter.recordRefused(Pool, 1, Now);
    Meter.recordDemoted(Pool, 2, Now);
  }
  const std::vector<DemandRow> Rows =
      Meter.rows(Start + 10 * DemandMeter::HalfLife);
  ASSERT_EQ(Rows.size(), 3U);
  EXPECT_EQ(Rows[1].Key, (DemandKey{Pool, DataCentre, 1}));
  EXPECT_NEAR(Rows[0].Rates.Waited / Rows[0].Rates.Admitted, 0.25, 0.001);
  EXPECT_NEAR(Rows[1].Rates.Refused, PerSecond, 0.05 * PerSecond);
  EXPECT_NEAR(Rows[2].Rates.Demoted, PerSecond, 0.05 * PerSecond);
  EXPECT_EQ(Rows[0].Rates.Refused + Rows[0].Rates.Demoted, 0.0);
}

// Guards against rows without bound when callers' priorities are many.
TEST(DemandMeter, HighRanksAreCountedAsOne) {
  DemandMeter Meter(DataCentre);
  constexpr std::uint32_t Ranks = 1'000;
  for (std::uint32_t Rank = 0; Rank < Ranks; ++Rank)
    Meter.recordRefused(Pool, Rank, Start);
  const std::vector<DemandRow> Rows = Meter.rows(Start);
  ASSERT_EQ(Rows.size(), DemandMeter::MaxRanks);
  EXPECT_EQ(Rows.back().Key.Rank, DemandMeter::MaxRanks - 1);
  EXPECT_NEAR(Rows.back().Rates.Refused / Rows.front().Rates.Refused,
              Ranks - DemandMeter::MaxRanks + 1, 0.001);
}

// Guards against pools that no longer exist and are reported for ever.
TEST(DemandMeter, ForgetsWhatIsNoLongerAskedFor) {
  DemandMeter Meter(DataCentre);
  Meter.recordOffered(Pool, 0, PromptTokens, AnswerTokens, Start);
  const TimePoint Later = Start + 20 * DemandMeter::HalfLife;
  EXPECT_TRUE(Meter.rows(Later).empty());
  Meter.advance(Later);
  Meter.recordRefused(Pool + 1, 0, Later);
  EXPECT_EQ(Meter.rows(Later).size(), 1U);
}

} // namespace

} // namespace coltsfoottrail
