#include "coltsfoottrail/ranks/forecast.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

constexpr TimePoint Start{seconds(1000)};
constexpr std::size_t Endpoints = 8;
constexpr double Slots = 26.0;

RankForecast forecast() {
  RankForecast Forecast;
  Forecast.setEndpoints(Endpoints);
  return Forecast;
}

RatesByPlace ratesOf(double UrgentOffered, double Started = 0.0) {
  RatesByPlace Rates{};
  Rates[0] = {UrgentOffered, Started, 0.0};
  return Rates;
}

TEST(RankForecast, NothingIsLeftFreeWithoutMoreUrgentRequests) {
  RankForecast Forecast = forecast();
  for (int Count = 0; Count < 100; ++Count)
    Forecast.recordArrival(1, Start);
  EXPECT_EQ(Forecast.reservedSlots(0, Slots), 0);
  EXPECT_EQ(Forecast.reservedSlots(1, Slots), 0);
  EXPECT_FALSE(Forecast.hasMoreUrgent(1));
  EXPECT_TRUE(Forecast.hasMoreUrgent(2));
}

TEST(RankForecast, RoomCoversTheUrgentRequestsWithinTheHorizon) {
  RankForecast Forecast = forecast();
  Forecast.setOthers(ratesOf(80.0), Start);
  const double Expected =
      80.0 * std::chrono::duration<double>(RankForecast::RoomHorizon).count() /
      Endpoints;
  EXPECT_GE(Forecast.reservedSlots(1, Slots), Expected);
  EXPECT_EQ(Forecast.reservedSlots(0, Slots), 0);
}

TEST(RankForecast, RoomIsBoundedAndNoEndpointsAreNoError) {
  RankForecast Forecast = forecast();
  Forecast.setOthers(ratesOf(1e9), Start);
  EXPECT_EQ(Forecast.reservedSlots(1, Slots),
            RankForecast::MaxReservedFraction * Slots);
  Forecast.setEndpoints(0);
  EXPECT_EQ(Forecast.reservedSlots(1, Slots), 0);
}

// Guards against a host that leaves urgent requests no room because it has
// heard nothing from the others.
TEST(RankForecast, OwnRequestsCountWhenOthersAreUnknown) {
  RankForecast Forecast = forecast();
  Forecast.setOthers(ratesOf(80.0), Start);
  Forecast.recordArrival(0, Start);
  const TimePoint Later = Start + RankForecast::OthersLifetime;
  Forecast.advance(Later);
  EXPECT_GE(Forecast.reservedSlots(1, Slots), 1);
  EXPECT_LT(Forecast.reservedSlots(1, Slots), 4);
}

// Guards against lower ranks that get no slots for long after a burst.
TEST(RankForecast, RoomIsReturnedSoonAfterABurst) {
  constexpr Duration MaxTimeToReturn = seconds(2);
  RankForecast Forecast = forecast();
  for (int Count = 0; Count < 30; ++Count)
    Forecast.recordArrival(0, Start + milliseconds(33) * Count);
  EXPECT_GT(Forecast.reservedSlots(1, Slots), 1);
  Forecast.advance(Start + seconds(1) + MaxTimeToReturn);
  EXPECT_LE(Forecast.reservedSlots(1, Slots), 1);
}

TEST(RankForecast, EachRankIsOwedItsPartOfTheStarts) {
  RankForecast Forecast = forecast();
  Forecast.recordArrival(1, Start);
  int Minimum = 0;
  constexpr int Starts = 1000;
  for (int Count = 1; Count <= Starts; ++Count) {
    const TimePoint Now = Start + milliseconds(10) * Count;
    Forecast.recordArrival(1, Now);
    if (Forecast.isBelowMinimum(1)) {
      Forecast.recordStart(1, RankPart::WithinShare, Now);
      ++Minimum;
    } else {
      Forecast.recordStart(0, RankPart::WithinShare, Now);
    }
  }
  EXPECT_GE(Minimum, RankForecast::MinStartFraction * Starts);
  EXPECT_LE(Minimum, 3.0 * RankForecast::MinStartFraction * Starts);
}

TEST(RankForecast, HostsShareThePartByTheirCallers) {
  RankForecast Forecast = forecast();
  RatesByPlace Others = ratesOf(50.0, 50.0);
  Others[1] = {30.0, 0.0, 0.0};
  int Minimum = 0;
  constexpr int Seconds = 20;
  for (int Count = 0; Count < Seconds * 10; ++Count) {
    const TimePoint Now = Start + milliseconds(100) * Count;
    Forecast.setOthers(Others, Now);
    Forecast.recordArrival(1, Now);
    if (Forecast.isBelowMinimum(1)) {
      Forecast.recordStart(1, RankPart::WithinShare, Now);
      ++Minimum;
    }
  }
  // 10 of 40 requests per second of the rank arrive here.
  const double Part = RankForecast::MinStartFraction * 50.0 * 0.25 * Seconds;
  EXPECT_GE(Minimum, Part);
  EXPECT_LE(Minimum, 3.0 * Part);
}

// Guards against hosts that each send a request to the same free slot.
TEST(RankForecast, HostsShareFreeSlotsWhileThereAreTooFew) {
  constexpr std::size_t Hosts = 100;
  constexpr double FreeSlots = 5.0;
  constexpr int Rounds = 40;
  std::size_t Starts = 0;
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    RankForecast Forecast(double(Host) / Hosts);
    for (int Round = 0; Round < Rounds; ++Round) {
      const TimePoint Now = Start + milliseconds(100) * Round;
      Forecast.recordArrival(1, Now);
      RatesByPlace Others{};
      Others[1] = {Forecast.own()[1].Offered * (Hosts - 1), 1.0, 0.0};
      Forecast.setOthers(Others, Now);
      Forecast.setRoom(1, RankPart::WithinShare, FreeSlots);
      while (Forecast.mayStart(1, RankPart::WithinShare)) {
        Forecast.recordStart(1, RankPart::WithinShare, Now);
        ++Starts;
      }
    }
  }
  EXPECT_NEAR(double(Starts), FreeSlots * Rounds, 0.1 * FreeSlots * Rounds);
}

TEST(RankForecast, NobodyIsHeldBackWithEnoughSlotsOrAlone) {
  RankForecast Forecast = forecast();
  Forecast.recordArrival(1, Start);
  EXPECT_TRUE(Forecast.isShort(1));
  EXPECT_TRUE(Forecast.mayStart(1, RankPart::WithinShare))
      << "knows of no other host";
  RatesByPlace Others{};
  Others[1] = {90.0, 50.0, 0.0};
  Forecast.setOthers(Others, Start);
  EXPECT_FALSE(Forecast.mayStart(1, RankPart::WithinShare));
  Others[1] = {90.0, 90.0, 0.0};
  Forecast.setOthers(Others, Start);
  EXPECT_TRUE(Forecast.mayStart(1, RankPart::WithinShare));
}

TEST(RankForecast, ExpectedWaitFollowsTheStarts) {
  RankForecast Forecast = forecast();
  EXPECT_EQ(Forecast.expectedWait(1, 5), std::nullopt);
  for (int Count = 0; Count < 100; ++Count)
    Forecast.recordStart(0, RankPart::WithinShare,
                         Start + milliseconds(100) * Count);
  const auto Wait = Forecast.expectedWait(1, 20);
  ASSERT_TRUE(Wait);
  EXPECT_GT(*Wait, seconds(1));
  EXPECT_LT(*Wait, seconds(4));
}

} // namespace
} // namespace coltsfoottrail
