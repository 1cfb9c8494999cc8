#include "coltsfoottrail/fleethost/follower.hpp"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace coltsfoottrail {

using namespace boost::asio::experimental::awaitable_operators;

Awaitable<void> FeedFollower::run() {
  const auto Executor = co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer Pause(Executor);
  Hurry.emplace(Executor, boost::asio::steady_timer::time_point::max());
  while (true) {
    co_await untilUncovered();
    const TimePoint AskedAt = BootClock::now();
    const auto Ended = co_await (step() || untilHurried());
    const ReadEnd Read =
        Ended.index() == 0 ? std::get<0>(Ended) : ReadEnd::More;
    if (Read == ReadEnd::More)
      continue;
    const Duration Left = AskedAt + pauseAfter(Read) - BootClock::now();
    if (Left <= Duration::zero())
      continue;
    Pause.expires_after(Left);
    co_await (Pause.async_wait(boost::asio::use_awaitable) || untilHurried());
  }
}

// Failure guarded against: the store is down, and seventy hosts ask it for two
// feeds five times a second each: 5,600 paid calls in eight seconds. One of
// them asks often; the others hear from it when the store is back.
Duration FeedFollower::pauseAfter(ReadEnd Ended) {
  if (Ended == ReadEnd::Newest) {
    NextRetryPause = Times.RetryPause;
    return Times.Spacing;
  }
  if (Eager)
    NextRetryPause = Times.RetryPause;
  const milliseconds Pause = std::max(NextRetryPause, Times.RetryPause);
  NextRetryPause = std::min(2 * Pause, Times.LongestRetryPause);
  return Eager ? Pause : std::max(Pause, FailurePause);
}

// Failure guarded against: a host is cut off from the store and reached again,
// one feed is read, and the other still waits for an answer that was lost in
// the cut. Hosts would hold removals back for longer than they may.
Awaitable<void> FeedFollower::untilHurried() {
  boost::system::error_code Cancelled;
  co_await Hurry->async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Cancelled));
}

void FeedFollower::cover(Offset To, TimePoint Until) {
  if (!Next || To < *Next)
    return;
  Next = To;
  Unheld = true;
  NextRetryPause = Times.RetryPause;
  CoveredUntil = std::max(CoveredUntil, Until);
}

void FeedFollower::adopt(Offset To, TimePoint Until) {
  if (Next)
    return;
  Next = To;
  CoveredUntil = Until;
  hurry();
}

// Must not cancel a read under way: an upstream that cannot relay the newest
// values says so with each response.
void FeedFollower::endDeferral() {
  if (CoveredUntil <= BootClock::now())
    return;
  CoveredUntil = TimePoint{};
  hurry();
}

void FeedFollower::restart() {
  Next.reset();
  CoveredUntil = TimePoint{};
  hurry();
}

void FeedFollower::fallBehind() {
  if (Behind || CoveredUntil <= BootClock::now())
    return;
  Behind = true;
  CoveredUntil = TimePoint{};
  hurry();
}

Awaitable<void> FeedFollower::untilUncovered() {
  boost::asio::steady_timer Pause(co_await boost::asio::this_coro::executor);
  while (BootClock::now() < CoveredUntil) {
    Pause.expires_after(CoveredUntil - BootClock::now());
    co_await (Pause.async_wait(boost::asio::use_awaitable) || untilHurried());
  }
}

// Failure guarded against: after an outage there is more to read than one
// answer holds. Read at the usual spacing, the host lags behind by seconds, and
// sends work to endpoints that have long said that they leave.
Awaitable<FeedFollower::ReadEnd> FeedFollower::step() {
  const TimePoint AskedAt = BootClock::now();
  const std::uint64_t Begun = Hurries;
  const std::optional<Offset> From = Next;
  const bool Whole = !From;
  std::variant<FeedPage, StoreFailure> Answer = StoreFailure::NotDone;
  if (Whole)
    Answer = co_await Store.newest(Which);
  else
    Answer = co_await Store.read(Which, *From,
                                 Unheld ? milliseconds(0) : Times.Wait);
  // Failure guarded against: a read that was given up counts as failed, the
  // next answer of the other feed hurries this one again, and it is never read.
  if (Begun != Hurries)
    co_return ReadEnd::More;
  Unheld = std::holds_alternative<StoreFailure>(Answer);
  if (const auto *const Failed = std::get_if<StoreFailure>(&Answer)) {
    if (*Failed == StoreFailure::Expired)
      Next.reset();
    else
      Hooks.Failed(*Failed);
    co_return ReadEnd::Failed;
  }
  Behind = false;
  FeedPage &Page = std::get<FeedPage>(Answer);
  // Failure guarded against: this host was told of later records while it read,
  // and an endpoint that left and came back would be removed by the older ones.
  if (Next != From)
    co_return ReadEnd::Newest;
  Next = Page.Next;
  const bool More = Page.Next < Page.End;
  Hooks.Take(std::move(Page), Whole, AskedAt);
  co_return More ? ReadEnd::More : ReadEnd::Newest;
}

} // namespace coltsfoottrail
