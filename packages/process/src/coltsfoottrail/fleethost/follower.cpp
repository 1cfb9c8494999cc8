#include "coltsfoottrail/fleethost/follower.hpp"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace coltsfoottrail {

using namespace boost::asio::experimental::awaitable_operators;

namespace {

/// The store usually answers within this time after it has held a read back.
constexpr milliseconds UsualResponseTime{350};

} // namespace

Awaitable<void> FeedFollower::run() {
  const auto Executor = co_await boost::asio::this_coro::executor;
  boost::asio::steady_timer Pause(Executor);
  WakeTimer.emplace(Executor, boost::asio::steady_timer::time_point::max());
  while (true) {
    co_await untilDeferralEnds();
    const TimePoint StartedAt = BootClock::now();
    const auto Finished = co_await (readOnce() || untilWoken());
    RequestedAt.reset();
    AnswerDueAt.reset();
    const ReadEnd End =
        Finished.index() == 0 ? std::get<0>(Finished) : ReadEnd::More;
    if (End == ReadEnd::More)
      continue;
    const Duration Remaining = StartedAt + pauseAfter(End) - BootClock::now();
    if (Remaining <= Duration::zero())
      continue;
    PausesAfterFailure = End == ReadEnd::Failed;
    Pause.expires_after(Remaining);
    co_await (Pause.async_wait(boost::asio::use_awaitable) || untilWoken());
    PausesAfterFailure = false;
  }
}

// Failure guarded against: the store is down, and seventy hosts ask it for two
// feeds five times a second each: 5,600 billed calls in eight seconds. Only one
// host retries often; the others learn from it when the store is back.
Duration FeedFollower::pauseAfter(ReadEnd Result) {
  if (Result == ReadEnd::UpToDate) {
    NextRetryPause = Times.RetryPause;
    return Times.Spacing;
  }
  if (Eager)
    NextRetryPause = Times.RetryPause;
  const milliseconds Pause = std::max(NextRetryPause, Times.RetryPause);
  NextRetryPause = std::min(2 * Pause, Times.LongestRetryPause);
  return Eager || Result == ReadEnd::Expired ? Pause
                                             : std::max(Pause, MinFailurePause);
}

// Failure guarded against: a host loses and regains its connection to the
// store, one feed is read again, but the other still waits for a response that
// was lost meanwhile. The host would then hold removals back for longer than it
// may.
Awaitable<void> FeedFollower::untilWoken() {
  boost::system::error_code Cancelled;
  co_await WakeTimer->async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Cancelled));
}

// Failure guarded against: the store is back for the upstream, which relays
// once and falls silent, while this host waits for seconds since its own last
// read failed.
void FeedFollower::acceptChanges(Offset NextOffset, TimePoint Until) {
  if (!Next || NextOffset < *Next)
    return;
  Next = NextOffset;
  SkipLongPoll = true;
  NextRetryPause = Times.RetryPause;
  DeferredUntil = std::max(DeferredUntil, Until);
  if (PausesAfterFailure && isDeferred())
    readNow();
}

void FeedFollower::acceptSnapshot(Offset NextOffset, TimePoint Until) {
  if (!canAcceptSnapshot(NextOffset))
    return;
  Next = NextOffset;
  DeferredUntil = Until;
  readNow();
}

// Must not cancel a read in progress, nor end each pause after a failed read:
// an upstream that cannot relay the newest values says so with each response.
void FeedFollower::endDeferral() {
  const bool EndsPause =
      PausesAfterFailure && (Eager || !std::exchange(EndedPause, true));
  if (!isDeferred() && !EndsPause)
    return;
  DeferredUntil = TimePoint{};
  readNow();
}

// Failure guarded against: records are deleted, this host accepts newest values
// from an older reading, relays them as recent, and sends requests to a data
// centre that was drained meanwhile.
void FeedFollower::forgetNext() {
  KnownBefore = Next.value_or(KnownBefore);
  Next.reset();
}

void FeedFollower::restart() {
  forgetNext();
  DeferredUntil = TimePoint{};
  readNow();
}

// A host that is behind reports no offset, so nothing is relayed to it until it
// has read. While its reads fail it must not say so.
void FeedFollower::markBehind() {
  if (Behind)
    return;
  if (!isDeferred())
    return endDeferral();
  Behind = true;
  DeferredUntil = TimePoint{};
  readNow();
}

Awaitable<void> FeedFollower::untilDeferralEnds() {
  boost::asio::steady_timer Pause(co_await boost::asio::this_coro::executor);
  while (isDeferred()) {
    Pause.expires_after(DeferredUntil - BootClock::now());
    co_await (Pause.async_wait(boost::asio::use_awaitable) || untilWoken());
  }
}

// Failures guarded against: records were relayed to this host while it read,
// and applying the older page would remove an endpoint that left and came back.
// Or records are relayed during each own read, the page is dropped each time,
// and the configuration is never proved.
bool FeedFollower::dropKnown(FeedPage &Page, std::optional<Offset> From) const {
  if (FollowedFeed != Feed::Operators || !From || !Next || Page.Next < *Next ||
      Page.Records.size() != Page.Changes.size())
    return false;
  const auto FirstNew =
      std::ranges::find_if(Page.Records, [this](const FeedRecord &Record) {
        return Record.Position >= *Next;
      });
  const auto Known = FirstNew - Page.Records.begin();
  Page.Records.erase(Page.Records.begin(), FirstNew);
  Page.Changes.erase(Page.Changes.begin(), Page.Changes.begin() + Known);
  Page.From = *Next;
  return true;
}

// Failure guarded against: after an outage there is more to read than one
// response holds. Reading at the usual interval, the host would lag by seconds
// and send requests to endpoints that have long announced their departure.
Awaitable<FeedFollower::ReadEnd> FeedFollower::readOnce() {
  const TimePoint SentAt = BootClock::now();
  const std::uint64_t WakeCountBefore = WakeCount;
  const std::optional<Offset> From = Next;
  const bool IsSnapshot = !From;
  const milliseconds Wait =
      IsSnapshot || SkipLongPoll ? milliseconds(0) : Times.Wait;
  RequestedAt = SentAt;
  // Newest values come in several responses.
  if (!IsSnapshot)
    AnswerDueAt = SentAt + Wait + UsualResponseTime;
  std::variant<FeedPage, StoreFailure> Answer = StoreFailure::NotDone;
  if (IsSnapshot)
    Answer = co_await Store.newest(FollowedFeed);
  else
    Answer = co_await Store.read(FollowedFeed, *From, Wait);
  // Failure guarded against: a cancelled read counts as failed, the next
  // response of the other feed cancels the read of this feed again, and this
  // feed is never read.
  if (WakeCountBefore != WakeCount)
    co_return ReadEnd::More;
  SkipLongPoll = std::holds_alternative<StoreFailure>(Answer);
  if (const auto *const Failure = std::get_if<StoreFailure>(&Answer)) {
    if (*Failure == StoreFailure::Expired) {
      forgetNext();
      Hooks.OnExpired(SentAt);
      co_return ReadEnd::Expired;
    }
    Hooks.OnFailure(*Failure, SentAt);
    co_return ReadEnd::Failed;
  }
  Behind = false;
  EndedPause = false;
  FeedPage &Page = std::get<FeedPage>(Answer);
  if (Next != From && !dropKnown(Page, From))
    co_return ReadEnd::UpToDate;
  Next = Page.Next;
  // A page without progress is followed by a pause.
  const bool More = Page.Next < Page.End && (!From || Page.Next > *From);
  Hooks.OnPage(std::move(Page), IsSnapshot, SentAt);
  co_return More ? ReadEnd::More : ReadEnd::UpToDate;
}

} // namespace coltsfoottrail
