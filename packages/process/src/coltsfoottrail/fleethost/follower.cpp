#include "coltsfoottrail/fleethost/follower.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace coltsfoottrail {

Awaitable<void> FeedFollower::run() {
  boost::asio::steady_timer Pause(co_await boost::asio::this_coro::executor);
  while (true) {
    const TimePoint AskedAt = BootClock::now();
    const bool Read = co_await step();
    const TimePoint Due = AskedAt + (Read ? Times.Spacing : Times.RetryPause);
    const Duration Left = Due - BootClock::now();
    if (Left <= Duration::zero())
      continue;
    Pause.expires_after(Left);
    co_await Pause.async_wait(boost::asio::use_awaitable);
  }
}

Awaitable<bool> FeedFollower::step() {
  const TimePoint AskedAt = BootClock::now();
  const bool Whole = !Next;
  std::variant<FeedPage, StoreFailure> Answer = StoreFailure::NotDone;
  if (Whole)
    Answer = co_await Store.newest(Which);
  else
    Answer = co_await Store.read(Which, *Next, Times.Wait);
  if (const auto *const Failed = std::get_if<StoreFailure>(&Answer)) {
    if (*Failed == StoreFailure::Expired)
      Next.reset();
    else
      Hooks.Failed(*Failed);
    co_return false;
  }
  FeedPage &Page = std::get<FeedPage>(Answer);
  Next = Page.Next;
  Hooks.Take(std::move(Page), Whole, AskedAt);
  co_return true;
}

} // namespace coltsfoottrail
