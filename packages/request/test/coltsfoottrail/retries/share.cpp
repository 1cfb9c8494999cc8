#include "coltsfoottrail/retries/share.hpp"

#include "coltsfoottrail/core/random.hpp"
#include "coltsfoottrail/retries/budget.hpp"

#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

/// Entry hosts that send requests of one pool for ten seconds, of which a part
/// breaks off at once.
struct Hosts {
  Hosts(std::size_t Count, double RequestsASecond)
      : Recent(Count), Rate(RequestsASecond) {
    BudgetLimits Limits;
    Limits.Ratio = Bound.Ratio * RetryRatioEarned;
    Limits.DataCentreRatio = 1.0;
    Limits.Burst = Bound.Slack * RetrySlackUsed / double(Count);
    for (std::size_t Host = 0; Host < Count; ++Host)
      Budgets.emplace_back(Limits);
  }

  void request(std::size_t Host, TimePoint Now) {
    Budgets[Host].recordFirstSend(0);
    Recent[Host].add(Now);
    Budgets[Host].setBurst(
        retriesSaved(Bound, double(Budgets.size()), Recent[Host].value(Now)));
  }

  /// Ten seconds of requests spread at random; in the last of them each wants
  /// to be sent again so many times.
  /// @return Retries granted in the last ten seconds, for requests sent in
  /// them.
  std::pair<double, double> play(double Wanted, bool AllTheTime) {
    Random Draw(7);
    const auto Steps = static_cast<int>(Rate * 20);
    double Sent = 0;
    double Granted = 0;
    for (int Step = 0; Step < Steps; ++Step) {
      const TimePoint Now = Start + milliseconds(Step * 20'000 / Steps);
      const std::size_t Host = Draw.below(Budgets.size());
      request(Host, Now);
      const bool Counted = Step >= Steps / 2;
      Sent += Counted ? 1 : 0;
      if (!Counted && !AllTheTime)
        continue;
      for (double Left = Wanted; Left > 0; Left -= 1)
        if (Budgets[Host].take(0) && Counted)
          Granted += 1;
    }
    return {Granted, Sent};
  }

  RetryBound Bound{0.2, 250.0};
  std::vector<RetryBudget> Budgets;
  std::vector<RecentCount> Recent;
  double Rate;
};

// The platform counts more retries than it allows, over all hosts.
TEST(RetryShare, AllHostsTogetherKeepTheBound) {
  for (const std::size_t Count : {1U, 7U, 71U, 300U})
    for (const double Rate : {20.0, 170.0, 600.0}) {
      Hosts Fleet(Count, Rate);
      const auto [Granted, Sent] = Fleet.play(3, false);
      EXPECT_LE(Granted, Fleet.Bound.Ratio * Sent + Fleet.Bound.Slack)
          << Count << " hosts, " << Rate << " a second";
    }
}

// A stream is cut although the fleet has retries to spare.
// The host that carries it has used its one retry for another stream of the
// same group. Of streams that break off at random, one in eight, nearly all may
// go on.
TEST(RetryShare, HostsOfALargeFleetMayMoveStreamsOfALostGroup) {
  Hosts Fleet(71, 600.0);
  Random Draw(3);
  int Denied = 0;
  int Asked = 0;
  for (int Step = 0; Step < 12'000; ++Step) {
    const TimePoint Now = Start + milliseconds(Step * 20'000 / 12'000);
    const std::size_t Host = Draw.below(71);
    Fleet.request(Host, Now);
    if (Step < 6'000 || Draw.below(8) != 0)
      continue;
    ++Asked;
    Denied += Fleet.Budgets[Host].take(0) ? 0 : 1;
  }
  EXPECT_LE(Denied * 50, Asked);
}

/// A large fleet with two pools of one service; groups close one after the
/// other, each with streams of many hosts.
struct LargeFleet {
  static constexpr std::size_t Count = 295;
  static constexpr std::size_t Pools = 2;
  static constexpr std::size_t StreamsOfAGroup = 40;

  LargeFleet() {
    BudgetLimits Limits;
    Limits.Ratio = Bound.Ratio * RetryRatioEarned;
    Limits.DataCentreRatio = 1.0;
    Limits.Burst = Bound.Slack * RetrySlackUsed / double(Count);
    for (std::size_t Host = 0; Host < Count; ++Host) {
      const auto Tokens = std::make_shared<SharedTokenBucket>(Limits.Burst);
      for (std::size_t Pool = 0; Pool < Pools; ++Pool)
        Budgets.emplace_back(Limits, Tokens);
    }
  }

  RetryBudget &budget(std::size_t Host, std::size_t Pool) {
    return Budgets[Host * Pools + Pool];
  }
  void request(std::size_t Host, std::size_t Pool, TimePoint Now) {
    budget(Host, Pool).recordFirstSend(0);
    Recent[Host].add(Now);
    budget(Host, Pool)
        .setBurst(retriesSaved(Bound, double(Count), Recent[Host].value(Now)));
  }

  RetryBound Bound{0.2, 696.0};
  std::vector<RetryBudget> Budgets;
  std::vector<RecentCount> Recent{Count};
};

// Guards against cutting the second stream of a host that lost two with a
// group, while the fleet has hundreds of retries to spare.
TEST(RetryShare, LargeFleetMovesTheStreamsOfGroupsThatClose) {
  LargeFleet Fleet;
  Random Draw(5);
  std::size_t Denied = 0;
  std::size_t Asked = 0;
  constexpr int Steps = 24'000;
  for (int Step = 0; Step < Steps; ++Step) {
    const TimePoint Now = Start + milliseconds(Step * 20'000 / Steps);
    Fleet.request(Draw.below(LargeFleet::Count), Draw.below(2), Now);
    const bool Closes = Step >= Steps / 2 && Step % 1'200 == 0;
    const std::size_t Pool = Draw.below(2);
    for (std::size_t Each = 0; Closes && Each < LargeFleet::StreamsOfAGroup;
         ++Each) {
      ++Asked;
      Denied +=
          Fleet.budget(Draw.below(LargeFleet::Count), Pool).take(0) ? 0 : 1;
    }
  }
  EXPECT_GE(Asked, 400U);
  EXPECT_LE(Denied * 200, Asked);
}

// Guards against more retries than the platform allows a service, whichever of
// its pools they are for.
TEST(RetryShare, PoolsOfAServiceKeepItsBoundTogether) {
  LargeFleet Fleet;
  Random Draw(9);
  double Sent = 0;
  double Granted = 0;
  constexpr int Steps = 24'000;
  for (int Step = 0; Step < Steps; ++Step) {
    const TimePoint Now = Start + milliseconds(Step * 20'000 / Steps);
    const std::size_t Host = Draw.below(LargeFleet::Count);
    Fleet.request(Host, Draw.below(2), Now);
    if (Step < Steps / 2)
      continue;
    Sent += 1;
    for (std::size_t Pool = 0; Pool < LargeFleet::Pools; ++Pool)
      for (int Each = 0; Each < 3; ++Each)
        Granted += Fleet.budget(Host, Pool).take(0) ? 1 : 0;
  }
  EXPECT_LE(Granted, Fleet.Bound.Ratio * Sent + Fleet.Bound.Slack);
}

TEST(RecentCount, ForgetsWithTime) {
  RecentCount Seen;
  for (int Index = 0; Index < 100; ++Index)
    Seen.add(Start);
  EXPECT_NEAR(Seen.value(Start), 100.0, 0.01);
  EXPECT_NEAR(Seen.value(Start + seconds(10)), 36.8, 0.1);
}

} // namespace

} // namespace coltsfoottrail
