#include "batching.hpp"
#include "harness.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {
namespace {

using test::BatchingLoad;
using test::BatchingSimulation;
using test::ClassShare;
using test::StreamClass;

constexpr std::size_t Urgent = 0;
constexpr std::size_t Patient = 1;
/// By how much the part on time of a more urgent rank may lie below that of a
/// less urgent one, or of a team below its part without a flood.
constexpr double MaxLoss = 0.05;
constexpr Duration MaxTimeToRoom = milliseconds(500);
constexpr Duration MaxTimeToReturn = seconds(2);
constexpr double RateInBurst = 2.6;

/// Ranks 1 and 2 share the groups of a model; one arrives more often for six
/// seconds, while a quarter of the engines is lost.
BatchingLoad twoRanks(std::size_t Hosts, double UrgentFactor,
                      double PatientFactor) {
  BatchingLoad Load;
  Load.Hosts = Hosts;
  Load.EnginesLeft = 6;
  Load.LostFrom = seconds(10);
  Load.LostUntil = seconds(14);
  Load.Length = seconds(20);
  StreamClass UrgentClass;
  UrgentClass.Rank = 1;
  UrgentClass.RequestsPerSecond = 24.0;
  UrgentClass.BurstFactor = UrgentFactor;
  StreamClass PatientClass;
  PatientClass.Rank = 2;
  PatientClass.RequestsPerSecond = 50.0;
  PatientClass.BurstFactor = PatientFactor;
  PatientClass.TargetLatency = milliseconds(800);
  Load.Classes = {UrgentClass, PatientClass};
  return Load;
}

void activateRanks(BatchingLoad &Load) {
  Load.Ranks = {{1, milliseconds(400)}, {2, milliseconds(800)}};
}

/// A load and what became of it.
struct Played {
  explicit Played(BatchingLoad Load)
      : Load(std::move(Load)), Run(this->Load, setSchedulingTerms) {
    static_cast<void>(Run.run());
  }
  [[nodiscard]] ClassShare inBurst(std::size_t Class,
                                   Duration Skipped = {}) const {
    return Run.share(Class, Load.BurstFrom + Skipped, Load.BurstUntil);
  }
  [[nodiscard]] ClassShare before(std::size_t Class) const {
    return Run.share(Class, seconds(2), Load.BurstFrom);
  }
  [[nodiscard]] ClassShare after(std::size_t Class) const {
    return Run.share(Class, Load.BurstUntil + MaxTimeToReturn, Load.Length);
  }
  /// Part of a class in all requests that were sent during the burst.
  [[nodiscard]] double sentFraction(std::size_t Class) const {
    double All = 0.0;
    for (std::size_t Index = 0; Index < Load.Classes.size(); ++Index)
      All += double(inBurst(Index).Sent);
    return double(inBurst(Class).Sent) / All;
  }
  void print(const char *Name) const {
    std::printf("%s, %zu hosts, seed %u:", Name, Load.Hosts,
                unsigned(Load.Seed));
    for (std::size_t Class = 0; Class < Load.Classes.size(); ++Class)
      std::printf(" %s of rank %u %.3f (sent %.2f)",
                  Load.Classes[Class].Team.c_str(), Load.Classes[Class].Rank,
                  inBurst(Class).onTime(), sentFraction(Class));
    std::printf("\n");
  }

  BatchingLoad Load;
  BatchingSimulation Run;
};

class RankBurst : public testing::TestWithParam<std::size_t> {
protected:
  /// Plays a load without and with ranks.
  static Played compare(const char *Name, BatchingLoad Load) {
    Played(Load).print((std::string(Name) + ", without ranks").c_str());
    activateRanks(Load);
    Played Result(std::move(Load));
    Result.print((std::string(Name) + ", with ranks").c_str());
    return Result;
  }
};

void expectOrder(const Played &Result) {
  EXPECT_GE(Result.inBurst(Urgent).onTime(),
            Result.inBurst(Patient).onTime() - MaxLoss)
      << "seed " << Result.Load.Seed;
}

void expectMinimum(const Played &Result, std::size_t Class) {
  EXPECT_GE(Result.sentFraction(Class), RankForecast::MinStartFraction)
      << "seed " << Result.Load.Seed;
}

// Guards against patient callers who take the room of urgent ones: they arrive
// more often, and half of the urgent requests are late.
TEST_P(RankBurst, OfTheLowestRankCostsHigherOnesNothing) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    BatchingLoad Load = twoRanks(GetParam(), 1.0, RateInBurst);
    Load.Seed = Seed;
    const Played Result = compare("burst of the lowest", Load);
    expectOrder(Result);
    expectMinimum(Result, Patient);
    EXPECT_GE(Result.inBurst(Urgent).onTime(),
              Result.before(Urgent).onTime() - MaxLoss);
    EXPECT_GE(Result.after(Patient).onTime(),
              Result.before(Patient).onTime() - MaxLoss);
  }
}

// Guards against urgent callers who wait until those of a lower rank are
// served: they have their room half a second after they arrive more often.
TEST_P(RankBurst, OfTheHighestRankHasItsRoomSoon) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    BatchingLoad Load = twoRanks(GetParam(), RateInBurst, 1.0);
    Load.Seed = Seed;
    const Played Result = compare("burst of the highest", Load);
    expectOrder(Result);
    expectMinimum(Result, Patient);
    EXPECT_GE(Result.inBurst(Urgent, MaxTimeToRoom).onTime(),
              Result.before(Urgent).onTime() - MaxLoss);
    EXPECT_GE(Result.after(Patient).onTime(),
              Result.before(Patient).onTime() - MaxLoss);
  }
}

// Guards against a lower rank that starves while urgent requests alone are more
// than the engines can serve.
TEST_P(RankBurst, BeyondTheEnginesLeavesTheLowestItsMinimum) {
  constexpr double RateBeyondEngines = 6.0;
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    BatchingLoad Load = twoRanks(GetParam(), RateBeyondEngines, 1.0);
    Load.Seed = Seed;
    const Played Result = compare("too many of the highest", Load);
    expectOrder(Result);
    expectMinimum(Result, Patient);
  }
}

// Guards against a team that floods its rank: other teams of the rank lose
// their room, or the lower rank its minimum.
TEST_P(RankBurst, OfOneTeamCostsOthersOfItsRankLittle) {
  constexpr std::size_t Flood = 2;
  constexpr double FloodFactor = 12.0;
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    BatchingLoad Load = twoRanks(GetParam(), 1.0, 1.0);
    Load.Seed = Seed;
    Load.EnginesLeft = Load.Engines;
    StreamClass FloodClass = Load.Classes[Urgent];
    FloodClass.Team = "flood";
    FloodClass.RequestsPerSecond = 15.0;
    Load.Classes[Urgent].RequestsPerSecond = 15.0;
    Load.Classes.push_back(FloodClass);
    BatchingLoad Calm = Load;
    activateRanks(Calm);
    const Played WithoutFlood(Calm);
    Load.Classes[Flood].BurstFactor = FloodFactor;
    const Played Result = compare("flood", Load);
    EXPECT_GE(Result.inBurst(Urgent).onTime(),
              WithoutFlood.inBurst(Urgent).onTime() - MaxLoss)
        << "seed " << Seed;
    expectMinimum(Result, Patient);
  }
}

// Guards against a host that has just started, or is cut off from the others,
// and takes the room of urgent requests because it knows of none elsewhere.
TEST_P(RankBurst, OrderHoldsWithoutLoadsOfOtherHosts) {
  BatchingLoad Load = twoRanks(GetParam(), 1.0, RateInBurst);
  Load.SharesLoads = false;
  const Played Result = compare("no loads", Load);
  expectOrder(Result);
  expectMinimum(Result, Patient);
}

// Guards against a forecast that each host makes from its own callers: hosts
// that have none of a rank leave it no room, or it gets no start where it is.
TEST_P(RankBurst, OrderHoldsWhenARankIsAtOneHost) {
  for (const std::size_t Class : {Urgent, Patient}) {
    BatchingLoad Load = twoRanks(GetParam(), 1.0, RateInBurst);
    Load.Classes[Class].AtOneHost = true;
    const Played Result = compare("one host", Load);
    expectOrder(Result);
    expectMinimum(Result, Patient);
  }
}

TEST_P(RankBurst, WithRoomNobodyWaits) {
  BatchingLoad Load = twoRanks(GetParam(), 1.0, 1.0);
  Load.EnginesLeft = Load.Engines;
  const Played Result = compare("room", Load);
  for (const std::size_t Class : {Urgent, Patient})
    EXPECT_GE(Result.inBurst(Class).onTime(), 1.0 - MaxLoss);
}

INSTANTIATE_TEST_SUITE_P(Hosts, RankBurst, testing::Values(7, 61, 105, 300));

Pool rankedPool() {
  Pool Config = testPool(1);
  Config.Name = "model/m";
  Config.Ranks = {{1, milliseconds(400)}, {2, milliseconds(800)}};
  return Config;
}

WorkItem itemOf(std::string_view Team, std::uint32_t Rank) {
  WorkItem Item = DispatchHarness::item(Team);
  Item.Rank = Rank;
  return Item;
}

TEST(Ranks, HigherRankOfAnotherTeamGoesFirst) {
  DispatchHarness Host;
  Host.configure(rankedPool(), 1);
  const Ticket Running = Host.submit(itemOf("first", 2));
  const Ticket Lower = Host.submit(itemOf("first", 2));
  const Ticket Higher = Host.submit(itemOf("second", 1));
  Host.answer(Running);
  EXPECT_EQ(Host.endpointOf(Higher), "e0");
  EXPECT_EQ(Host.endpointOf(Lower), "");
  Host.answer(Higher);
  EXPECT_EQ(Host.endpointOf(Lower), "e0");
}

// Guards against callers of a refused rank who come back before there is room.
TEST(Ranks, RefusalSaysWhenRoomIsExpected) {
  DispatchHarness Host;
  Host.configure(rankedPool(), 1);
  static_cast<void>(Host.submit(itemOf("first", 2)));
  WorkItem Waiting = itemOf("first", 2);
  Waiting.StartBy = Host.Now + milliseconds(500);
  const Ticket Refused = Host.submit(Waiting);
  Host.advanceTime(seconds(1));
  ASSERT_TRUE(Host.refusal(Refused));
  EXPECT_EQ(Host.refusal(Refused)->State, RunState::NotRun);
  EXPECT_TRUE(Host.refusal(Refused)->RetryAfter);
}

// Guards against a change for those who use no ranks: a pool with one rank
// gives the same commands as one without, whatever its requests say.
TEST(Ranks, OneRankChangesNoCommand) {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    BatchingLoad Load = twoRanks(7, RateInBurst, RateInBurst);
    Load.Seed = Seed;
    const Played MixedWithoutRanks(Load);
    Load.Ranks = {{1, milliseconds(400)}};
    const Played MixedWithOne(Load);
    Load.Classes[Patient].Rank = Load.Classes[Urgent].Rank;
    const Played Constant(Load);
    EXPECT_FALSE(Constant.Run.commandLog().empty());
    EXPECT_TRUE(Constant.Run.commandLog() ==
                MixedWithoutRanks.Run.commandLog());
    EXPECT_TRUE(Constant.Run.commandLog() == MixedWithOne.Run.commandLog());
  }
}

} // namespace
} // namespace coltsfoottrail
