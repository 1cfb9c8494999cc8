#include "coltsfoottrail/assembly/loadpacer.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

EndpointName endpointName(int Index) {
  return EndpointName("e" + std::to_string(Index));
}

TEST(LoadPacer, KeepsTheNumberAtOnce) {
  LoadPacer Pacer;
  Pacer.setLimits(4.5, 6);
  for (int Index = 0; Index < 6; ++Index) {
    EXPECT_TRUE(Pacer.admits(1, true, Start));
    Pacer.start(endpointName(Index), seconds(16), Start);
  }
  EXPECT_FALSE(Pacer.admits(1, true, Start));
  Pacer.finish(endpointName(0));
  EXPECT_TRUE(Pacer.admits(1, true, Start));
}

// Guards against exceeding the load rate of the store: too many loads start
// within five seconds. The loads are short here, so that the concurrency limit
// never stops them.
TEST(LoadPacer, KeepsTheRateInEverySpan) {
  LoadPacer Pacer;
  Pacer.setLimits(4.5, 6);
  int Started = 0;
  for (TimePoint Now = Start; Now < Start + LoadPacer::Window;
       Now += milliseconds(10))
    if (Pacer.admits(1, true, Now)) {
      Pacer.start(endpointName(++Started), seconds(1), Now);
      Pacer.finish(endpointName(Started));
    }
  EXPECT_EQ(Started, 22);
}

TEST(LoadPacer, CountsNothingBeforeTheFirstCaller) {
  LoadPacer Pacer;
  Pacer.setLimits(4.5, 6);
  for (int Index = 0; Index < 60; ++Index)
    Pacer.start(endpointName(Index), seconds(2), Start);
  EXPECT_TRUE(Pacer.admits(1, false, Start));
  EXPECT_FALSE(Pacer.admits(1, true, Start));
}

// Guards against loads that are never admitted although none is running:
// engines that died while loading kept their slots.
TEST(LoadPacer, DeadEnginesKeepNoPlace) {
  LoadPacer Pacer;
  Pacer.setLimits(4.5, 6);
  for (int Index = 0; Index < 6; ++Index)
    Pacer.start(endpointName(Index), seconds(16), Start);
  const EndpointCatalogue NoEndpoints;
  Pacer.advance(NoEndpoints, Start + seconds(6));
  EXPECT_TRUE(Pacer.admits(6, true, Start + seconds(6)));
}

} // namespace

} // namespace coltsfoottrail
