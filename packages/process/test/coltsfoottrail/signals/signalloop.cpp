#include "coltsfoottrail/signals/signalloop.hpp"

#include <csignal>
#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

// Guards against a process that a signal kills while it starts, with the
// requests that it has accepted.
TEST(SignalLoop, HandlesSignalsThatArriveBeforeItRuns) {
  int Stops = 0;
  int Reloads = 0;
  SignalLoop Loop;
  ASSERT_EQ(std::raise(SIGHUP), 0);
  ASSERT_EQ(std::raise(SIGTERM), 0);
  Loop.run({[&] {
              ++Stops;
              Loop.end();
            },
            [&] { ++Reloads; }});
  EXPECT_EQ(Stops, 1);
}

TEST(SignalLoop, FurtherStopSignalsChangeNothing) {
  int Stops = 0;
  int Reloads = 0;
  SignalLoop Loop;
  ASSERT_EQ(std::raise(SIGTERM), 0);
  ASSERT_EQ(std::raise(SIGINT), 0);
  ASSERT_EQ(std::raise(SIGTERM), 0);
  Loop.run({[&] {
              ++Stops;
              ASSERT_EQ(std::raise(SIGHUP), 0);
            },
            [&] {
              ++Reloads;
              Loop.end();
            }});
  EXPECT_EQ(Stops, 1);
  EXPECT_EQ(Reloads, 1);
}

// Guards against an end without a stop signal that is taken for a second one.
TEST(SignalLoop, AStopOfItsOwnBeginsOnce) {
  int Begun = 0;
  int Stops = 0;
  SignalLoop Loop;
  Loop.requestStop([&] { ++Begun; });
  Loop.requestStop([&] { ++Begun; });
  Loop.run({[&] {
              ++Stops;
              Loop.requestStop({});
              ASSERT_EQ(std::raise(SIGHUP), 0);
            },
            [&] { Loop.end(); }});
  EXPECT_EQ(Begun, 1);
  EXPECT_EQ(Stops, 1);
}

} // namespace

} // namespace coltsfoottrail
