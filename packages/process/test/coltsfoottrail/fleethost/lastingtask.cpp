#include "coltsfoottrail/fleethost/lastingtask.hpp"

#include "coltsfoottrail/core/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

// Guards against a process that goes on without one of its tasks.
TEST(LastingTask, IsStartedAnewAfterAFailure) {
  boost::asio::io_context Context;
  int Starts = 0;
  int Failures = 0;
  const auto Run = [&Starts]() -> Awaitable<void> {
    if (++Starts < 3)
      throw Error("a record cannot be applied");
    co_return;
  };
  boost::asio::co_spawn(Context,
                        keepRunning({"feed", Run, [&] { ++Failures; }}),
                        boost::asio::detached);
  Context.run_for(seconds(5));
  EXPECT_EQ(Starts, 3);
  EXPECT_EQ(Failures, 2);
}

// Guards against a task that fails at once and takes up the processor.
TEST(LastingTask, PausesBetweenFailures) {
  boost::asio::io_context Context;
  int Starts = 0;
  const auto Run = [&Starts]() -> Awaitable<void> {
    ++Starts;
    throw Error("a record cannot be applied");
    co_return;
  };
  boost::asio::co_spawn(Context, keepRunning({"feed", Run}),
                        boost::asio::detached);
  Context.run_for(milliseconds(1'500));
  EXPECT_GE(Starts, 2);
  EXPECT_LE(Starts, 5);
}

} // namespace

} // namespace coltsfoottrail
