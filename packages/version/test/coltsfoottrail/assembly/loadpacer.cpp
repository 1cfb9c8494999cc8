#include "coltsfoottrail/assembly/loadpacer.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

EndpointName name(int Index) {
  return EndpointName("e" + std::to_string(Index));
}

TEST(LoadPacer, KeepsTheNumberAtOnce) {
  LoadPacer Pacer;
  Pacer.bound(4.5, 6);
  for (int Index = 0; Index < 6; ++Index) {
    EXPECT_TRUE(Pacer.admits(1, true, Start));
    Pacer.begin(name(Index), seconds(16), Start);
  }
  EXPECT_FALSE(Pacer.admits(1, true, Start));
  Pacer.end(name(0));
  EXPECT_TRUE(Pacer.admits(1, true, Start));
}

// The platform's ceiling is broken: too many loads begin in five seconds.
// Loads are short, so that the number at once never stops them.
TEST(LoadPacer, KeepsTheRateInEverySpan) {
  LoadPacer Pacer;
  Pacer.bound(4.5, 6);
  int Begun = 0;
  for (TimePoint Now = Start; Now < Start + LoadPacer::Window;
       Now += milliseconds(10))
    if (Pacer.admits(1, true, Now)) {
      Pacer.begin(name(++Begun), seconds(1), Now);
      Pacer.end(name(Begun));
    }
  EXPECT_EQ(Begun, 22);
}

TEST(LoadPacer, CountsNothingBeforeTheFirstCaller) {
  LoadPacer Pacer;
  Pacer.bound(4.5, 6);
  for (int Index = 0; Index < 60; ++Index)
    Pacer.begin(name(Index), seconds(2), Start);
  EXPECT_TRUE(Pacer.admits(1, false, Start));
  EXPECT_FALSE(Pacer.admits(1, true, Start));
}

// Engines that idle are never loaded, though nothing else loads.
// Engines died while they loaded and kept the places of their loads.
TEST(LoadPacer, DeadEnginesKeepNoPlace) {
  LoadPacer Pacer;
  Pacer.bound(4.5, 6);
  for (int Index = 0; Index < 6; ++Index)
    Pacer.begin(name(Index), seconds(16), Start);
  const EndpointCatalogue Nobody;
  Pacer.advance(Nobody, Start + seconds(6));
  EXPECT_TRUE(Pacer.admits(6, true, Start + seconds(6)));
}

} // namespace

} // namespace coltsfoottrail
