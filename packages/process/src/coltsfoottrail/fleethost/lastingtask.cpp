#include "coltsfoottrail/fleethost/lastingtask.hpp"

#include "coltsfoottrail/logging/log.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>

namespace coltsfoottrail {

namespace {

/// The pause before a new start doubles with each failure, unless the task has
/// run for longer than the longest pause.
constexpr milliseconds ShortestPause{100};
constexpr milliseconds LongestPause{3'200};

} // namespace

Awaitable<void> keepRunning(LastingTask Task) {
  boost::asio::steady_timer Pause(co_await boost::asio::this_coro::executor);
  milliseconds NextPause = ShortestPause;
  while (true) {
    const TimePoint StartedAt = BootClock::now();
    std::string Problem;
    try {
      co_await Task.Run();
      co_return;
    } catch (const std::exception &Failure) {
      Problem = Failure.what();
    }
    logEvent(Event::TaskFailed, {{"task", Task.Name}, {"problem", Problem}});
    if (BootClock::now() - StartedAt > LongestPause)
      NextPause = ShortestPause;
    Pause.expires_after(NextPause);
    co_await Pause.async_wait(boost::asio::use_awaitable);
    NextPause = std::min(2 * NextPause, LongestPause);
    if (Task.OnFailure)
      Task.OnFailure();
  }
}

} // namespace coltsfoottrail
