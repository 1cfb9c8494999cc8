#include "coltsfoottrail/admission/coldratelimiter.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

std::vector<ColdRateLimiter> gates(std::size_t Count, std::uint64_t Seed) {
  std::vector<ColdRateLimiter> Out;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Out.emplace_back(Seed * 1'000 + Index);
    Out.back().setHostCount(Count);
  }
  return Out;
}

/// Most requests that hosts which send whenever they may send in any second of
/// the first three.
std::size_t mostInASecond(std::vector<ColdRateLimiter> Hosts, double PerSecond,
                          std::size_t &All) {
  std::vector<TimePoint> Sent;
  for (int Step = 0; Step < 3000; ++Step)
    for (ColdRateLimiter &Each : Hosts)
      if (Each.admit("cold", PerSecond, Start + milliseconds(Step)))
        Sent.push_back(Start + milliseconds(Step));
  All = Sent.size();
  std::size_t Most = 0;
  for (std::size_t First = 0; First < Sent.size(); ++First) {
    std::size_t Count = 0;
    while (First + Count < Sent.size() &&
           Sent[First + Count] - Sent[First] < seconds(1))
      ++Count;
    Most = std::max(Most, Count);
  }
  return Most;
}

// A data centre returns, its cold endpoints fall over, and it is lost again.
// Nine entry hosts have more short requests than a cold endpoint bears; what
// all of them send in any second must stay below its bound.
TEST(ColdRateLimiter, NineHostsStayBelowTheBoundInEverySecond) {
  constexpr double PerSecond = 28.0;
  std::size_t All = 0;
  EXPECT_LE(double(mostInASecond(gates(9, 1), PerSecond, All)),
            PerSecond * 1.5 + 5);
  EXPECT_GT(All, 30U);
}

// The same with seventy hosts, each of which has a request at the moment of the
// return: the first one of each is already too much.
TEST(ColdRateLimiter, SeventyHostsDoNotAllBeginAtOnce) {
  constexpr double PerSecond = 15.0;
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    std::size_t All = 0;
    EXPECT_LE(double(mostInASecond(gates(71, Seed), PerSecond, All)),
              PerSecond * 1.5 + 5)
        << "seed " << Seed;
    EXPECT_GT(All, 12U);
  }
}

TEST(ColdRateLimiter, EndpointsAreApart) {
  ColdRateLimiter Gate(1);
  Gate.setHostCount(1);
  EXPECT_FALSE(Gate.canAdmit("a", 0.001, Start));
  EXPECT_FALSE(Gate.canAdmit("b", 0.001, Start));
  (void)Gate.canAdmit("a", 1000, Start + seconds(10));
  EXPECT_TRUE(Gate.admit("a", 1000, Start + seconds(11)));
  EXPECT_FALSE(Gate.admit("a", 1000, Start + seconds(11)));
}

} // namespace

} // namespace coltsfoottrail
