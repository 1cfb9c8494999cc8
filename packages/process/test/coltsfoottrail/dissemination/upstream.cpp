#include "coltsfoottrail/dissemination/upstream.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

/// A host that reports to a relay at 10.0.0.2.
Upstream relayed() {
  Upstream Result("10.0.0.1:7/x", Start);
  Result.setCoordinator("10.0.0.9:7/x");
  Response Assignment;
  Assignment.Coordinates = true;
  Assignment.Relay = "10.0.0.2:7";
  EXPECT_TRUE(Result.applyResponse(Assignment, false));
  return Result;
}

TEST(Upstream, RelayCannotAssign) {
  Upstream Host = relayed();
  Response Answer;
  Answer.Relay = "10.0.0.3:7";
  EXPECT_FALSE(Host.applyResponse(Answer, true));
  EXPECT_EQ(textOf(*Host.target()), "10.0.0.2:7");
}

// Guards against hosts that ignore the assignments of a relay that has become
// the coordinator, get nothing else from it, and leave it as useless.
TEST(Upstream, RelayThatCoordinatesAssigns) {
  Upstream Host = relayed();
  Response Answer;
  Answer.Coordinates = true;
  Answer.Relay = "10.0.0.3:7";
  EXPECT_TRUE(Host.applyResponse(Answer, true));
  EXPECT_EQ(textOf(*Host.target()), "10.0.0.3:7");
  EXPECT_EQ(textOf(*Host.coordinator()), "10.0.0.2:7");
}

// Guards against hosts that look for a coordinator that has ended.
TEST(Upstream, RelayThatCoordinatesIsTheCoordinator) {
  Upstream Host = relayed();
  Response Answer;
  Answer.Coordinates = true;
  EXPECT_FALSE(Host.applyResponse(Answer, true));
  Host.abandon(Start);
  EXPECT_EQ(textOf(*Host.target()), "10.0.0.2:7");
}

} // namespace

} // namespace coltsfoottrail
