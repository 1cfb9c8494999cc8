#include "coltsfoottrail/admission/coldgate.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

// A data centre returns, its cold endpoints fall over, and it is lost again.
// Nine entry hosts have more short requests than a cold endpoint bears; what
// all of them send in any second must stay below its bound.
TEST(ColdGate, NineHostsStayBelowTheBoundInEverySecond) {
  constexpr double PerSecond = 28.0;
  constexpr double Allowed = PerSecond * 1.5 + 5;
  std::vector<ColdGate> Hosts(9);
  std::vector<TimePoint> Sent;
  for (int Step = 0; Step < 3000; ++Step)
    for (ColdGate &Each : Hosts)
      if (Each.admit("cold", PerSecond, Start + milliseconds(Step)))
        Sent.push_back(Start + milliseconds(Step));
  for (std::size_t First = 0; First < Sent.size(); ++First) {
    std::size_t Count = 0;
    while (First + Count < Sent.size() &&
           Sent[First + Count] - Sent[First] < seconds(1))
      ++Count;
    EXPECT_LE(static_cast<double>(Count), Allowed);
  }
  EXPECT_GT(Sent.size(), 30U);
}

TEST(ColdGate, EndpointsAreApart) {
  ColdGate Gate;
  EXPECT_TRUE(Gate.admit("a", 28, Start));
  EXPECT_FALSE(Gate.admit("a", 28, Start));
  EXPECT_TRUE(Gate.admit("b", 28, Start));
}

} // namespace

} // namespace coltsfoottrail
