// Placement across data centres: hosts of three data centres before batching
// engines, with and without the rule of HomeFirst.
#include "batching.hpp"

#include <array>
#include <cmath>
#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::BatchingLoad;
using test::BatchingSimulation;
using test::CallerTally;
using test::PlacementTally;
using test::SendTally;

constexpr std::size_t DataCentres = 3;
constexpr std::size_t EnginesEach = 8;
constexpr std::array<std::uint64_t, 3> Seeds{1, 2, 3};
/// Requests per second that the engines of all data centres serve at most: 26
/// streams at a time, of 207 tokens in steps of 8 ms, less the time for their
/// prompts.
constexpr double Capacity = 13.0 * EnginesEach * DataCentres;
/// By how much the share that is on time may be lower than without the rule.
constexpr double MaxOnTimeLoss = 0.01;

/// Largest change of a share from one second to the next by chance: four
/// standard deviations of the difference of two samples.
double maxChangeOfShare(std::size_t SampleSize) {
  return 4.0 * std::sqrt(2.0 * 0.25 / double(SampleSize));
}

/// Outcome of one play.
struct Outcome {
  CallerTally Callers;
  PlacementTally Sends;
};

BatchingLoad loadOf(std::size_t Hosts, double Utilization) {
  BatchingLoad Load;
  Load.Hosts = Hosts;
  Load.Engines = EnginesEach * DataCentres;
  Load.EnginesLeft = Load.Engines;
  Load.DataCentres = DataCentres;
  Load.Pace = {0.0055, 0.0001, 50'700.0, 2048, 7};
  Load.RequestsPerSecond = Capacity * Utilization;
  Load.Length = seconds(26);
  Load.LongestTarget = milliseconds(800);
  return Load;
}

Outcome play(BatchingLoad Load, std::optional<HomeFirst> Rule) {
  Load.Home = Rule;
  BatchingSimulation Simulation(std::move(Load), setSchedulingTerms);
  Outcome Result;
  Result.Callers = Simulation.run();
  Result.Sends = Simulation.placements();
  return Result;
}

void print(const char *Name, const BatchingLoad &Load, const Outcome &Without,
           const Outcome &With) {
  std::printf("%s, %zu hosts, seed %u: on time %.4f, with rule %.4f; far %.4f, "
              "with rule %.4f",
              Name, Load.Hosts, unsigned(Load.Seed),
              Without.Callers.onTimeShare(), With.Callers.onTimeShare(),
              Without.Sends.All.farShare(), With.Sends.All.farShare());
  for (const auto &[Why, Count] : With.Sends.Reasons)
    if (Why != AwayReason::None)
      std::printf(", %s %zu", awayReasonCode(Why).data(), Count);
  std::printf("\n");
}

class HomeFirstPlay : public testing::TestWithParam<std::size_t> {
protected:
  /// Plays a load without and with the rule, and expects that as many requests
  /// are on time and that fewer leave.
  static Outcome compare(const char *Name, const BatchingLoad &Load) {
    const Outcome Without = play(Load, std::nullopt);
    const Outcome With = play(Load, HomeFirst{});
    print(Name, Load, Without, With);
    EXPECT_EQ(Without.Callers.Submitted, With.Callers.Submitted);
    EXPECT_GE(With.Callers.onTimeShare(),
              Without.Callers.onTimeShare() - MaxOnTimeLoss);
    EXPECT_LT(With.Sends.All.Far, Without.Sends.All.Far);
    EXPECT_EQ(Without.Sends.Reasons.at(AwayReason::None),
              Without.Sends.All.Home);
    EXPECT_EQ(With.Sends.Reasons.at(AwayReason::None), With.Sends.All.Home);
    return With;
  }
};

INSTANTIATE_TEST_SUITE_P(Hosts, HomeFirstPlay, testing::Values(7, 61, 105));

TEST_P(HomeFirstPlay, EvenLoadStaysAtHome) {
  for (const std::uint64_t Seed : Seeds) {
    BatchingLoad Load = loadOf(GetParam(), 0.75);
    Load.Seed = Seed;
    EXPECT_LE(compare("even", Load).Sends.All.farShare(), 0.1);
  }
}

// The demand of one data centre after the other rises above what its engines
// serve, and engines differ in speed.
TEST_P(HomeFirstPlay, WaveSpillsInTime) {
  BatchingLoad Load = loadOf(GetParam(), 0.75);
  Load.Swing = 0.55;
  Load.SpeedSpread = 0.2;
  for (const std::uint64_t Seed : Seeds) {
    Load.Seed = Seed;
    (void)compare("wave", Load);
  }
}

// Half of all callers are in one data centre, more than it can serve.
TEST_P(HomeFirstPlay, UnequalCallersSpill) {
  BatchingLoad Load = loadOf(GetParam(), 0.75);
  Load.CallerWeights = {2.0, 1.0, 1.0};
  for (const std::uint64_t Seed : Seeds) {
    Load.Seed = Seed;
    (void)compare("unequal", Load);
  }
}

// Guards against a herd: all hosts of a data centre without room send to the
// same other one, or the same endpoint, and to the next when that is full.
TEST_P(HomeFirstPlay, OverflowSpreadsAndDoesNotSwing) {
  BatchingLoad Load = loadOf(GetParam(), 0.75);
  Load.CallerWeights = {2.0, 1.0, 1.0};
  const PlacementTally Sends = play(Load, HomeFirst{}).Sends;
  constexpr std::size_t FirstSteadySecond = 5;
  for (std::size_t Second = FirstSteadySecond + 1; Second < 26; ++Second) {
    const SendTally &One = Sends.FirstBySecond[Second - 1];
    const SendTally &Next = Sends.FirstBySecond[Second];
    EXPECT_LE(std::abs(Next.farShare() - One.farShare()),
              maxChangeOfShare(Next.Home + Next.Far))
        << "second " << Second;
  }
  std::array<std::size_t, DataCentres> ByDataCentre{};
  std::size_t Total = 0;
  for (const auto &[Engine, Count] : Sends.FirstToEngine) {
    ByDataCentre.at(Engine % DataCentres) += Count;
    Total += Count;
  }
  ASSERT_GT(Total, 0U);
  for (const std::size_t DataCentre : {1U, 2U})
    EXPECT_GE(3 * ByDataCentre.at(DataCentre), Total);
  for (const auto &[Engine, Count] : Sends.FirstToEngine)
    EXPECT_LE(Count, 2 * Total / (2 * EnginesEach)) << "engine " << Engine;
}

// A data centre is drained, its hosts still have callers, and its engines come
// back cold.
TEST_P(HomeFirstPlay, DrainedDataCentreComesBackCold) {
  BatchingLoad Load = loadOf(GetParam(), 0.6);
  Load.IsLost = [](std::size_t Engine) { return Engine % DataCentres == 1; };
  Load.LostFrom = seconds(6);
  Load.LostUntil = seconds(14);
  Load.ColdTime = seconds(3);
  for (const std::uint64_t Seed : Seeds) {
    Load.Seed = Seed;
    const Outcome With = compare("drained", Load);
    EXPECT_GT(With.Sends.Reasons.at(AwayReason::NoEndpoint), 0U);
  }
}

TEST_P(HomeFirstPlay, HalfOfADataCentresGroupsAreLost) {
  BatchingLoad Load = loadOf(GetParam(), 0.7);
  Load.IsLost = [](std::size_t Engine) {
    return Engine % DataCentres == 0 && Engine / DataCentres % 2 == 0;
  };
  Load.LostFrom = seconds(5);
  Load.LostUntil = seconds(60);
  for (const std::uint64_t Seed : Seeds) {
    Load.Seed = Seed;
    (void)compare("half lost", Load);
  }
}

// Guards against a host that takes its home for idle because it does not know
// what the others have sent there.
TEST_P(HomeFirstPlay, HostWithoutLoadsOfTheOthersIsNoWorseOff) {
  BatchingLoad Load = loadOf(GetParam(), 0.7);
  Load.HostWithoutLoads = 0;
  // One of many hosts has too few requests in one play.
  constexpr std::uint64_t Plays = 12;
  CallerTally HostWithout;
  CallerTally HostWith;
  const auto Add = [](CallerTally &Sum, const CallerTally &Part) {
    Sum.Submitted += Part.Submitted;
    Sum.OnTime += Part.OnTime;
  };
  for (Load.Seed = 1; Load.Seed <= Plays; ++Load.Seed) {
    const Outcome Without = play(Load, std::nullopt);
    const Outcome With = play(Load, HomeFirst{});
    EXPECT_GE(With.Callers.onTimeShare(),
              Without.Callers.onTimeShare() - MaxOnTimeLoss);
    Add(HostWithout, Without.Sends.Hosts[0]);
    Add(HostWith, With.Sends.Hosts[0]);
  }
  std::printf("without loads, %zu hosts: %zu requests, on time %.4f, with rule "
              "%.4f\n",
              Load.Hosts, HostWith.Submitted, HostWithout.onTimeShare(),
              HostWith.onTimeShare());
  EXPECT_GE(HostWith.onTimeShare(), HostWithout.onTimeShare() - MaxOnTimeLoss);
}

} // namespace
} // namespace coltsfoottrail
