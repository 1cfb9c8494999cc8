/// @file
/// Follows a feed of the platform's store.
#ifndef COLTSFOOTTRAIL_FLEETHOST_FOLLOWER_HPP
#define COLTSFOOTTRAIL_FLEETHOST_FOLLOWER_HPP

#include "coltsfoottrail/boundary/store.hpp"
#include "coltsfoottrail/core/time.hpp"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace coltsfoottrail {

/// @brief How a feed is followed.
struct FollowTimes {
  /// How long the store may hold a read back for a change.
  milliseconds Wait{800};
  /// Shortest time between two reads: each call is paid for.
  milliseconds Spacing{0};
  /// Pause after a failed read; twice as long after each further one, up to
  /// the longest.
  milliseconds RetryPause{200};
  milliseconds LongestRetryPause{1'600};
};

/// @brief What a follower tells.
struct FollowHooks {
  /// Takes a page: the page, whether it is whole, when it was asked for.
  std::function<void(FeedPage, bool, TimePoint)> OnPage;
  /// A read failed.
  std::function<void(StoreFailure)> OnFailure;
};

/// @brief Reads a feed for ever: first the newest values, then the changes, and
/// again the newest values when the changes have expired. Belongs to one
/// thread.
class FeedFollower {
public:
  /// @brief Makes a follower.
  /// @param Where The store; must outlive the follower.
  /// @param Followed The feed.
  /// @param Given Its times.
  /// @param Told What to call.
  FeedFollower(FleetStore &Store, Feed FollowedFeed, FollowTimes Times,
               FollowHooks Hooks)
      : Store(Store), FollowedFeed(FollowedFeed), Times(Times),
        Hooks(std::move(Hooks)) {}

  /// @brief Follows until it is cancelled.
  [[nodiscard]] Awaitable<void> run();

  /// @brief Gives up a read under way, or the pause before the next one, and
  /// reads at once.
  void readNow() {
    ++WakeCount;
    if (WakeTimer)
      WakeTimer->cancel();
  }

  /// @brief Another host read the feed for this one: nothing is read here
  /// before a time.
  /// @param To Where to read on.
  void acceptChanges(Offset NextOffset, TimePoint Until);

  /// @brief Whether relayed records leave no gap and lead further: own reads
  /// may have gone on since they were asked for. Records that are repeated are
  /// followed by all that came after them.
  /// @param From Offset of the first one.
  /// @param To Where to read on behind them.
  [[nodiscard]] bool canAcceptChanges(Offset From,
                                      Offset NextOffset) const noexcept {
    return Next && From <= *Next && NextOffset >= *Next;
  }

  /// @brief Another host relayed the newest values: reading goes on behind
  /// them, and not before a time. Ignored once the feed was read here.
  void acceptSnapshot(Offset NextOffset, TimePoint Until);

  /// @brief Nothing is read before a time unless hurry() is called: another
  /// host may relay the feed first.
  void defer(TimePoint Until) noexcept { DeferredUntil = Until; }
  /// @brief Ends a deferral. A read under way goes on.
  void endDeferral();
  /// @brief Reads the newest values again, now.
  void restart();

  /// @brief Another host knows more than it can tell: what it told does not
  /// cover this host any longer, and the feed is read at once.
  void markBehind();
  /// @brief Whether that was told, and the feed has not been read since.
  [[nodiscard]] bool isBehind() const noexcept { return Behind; }

  /// @brief Where to read on; nothing before the newest values are known.
  [[nodiscard]] const std::optional<Offset> &next() const noexcept {
    return Next;
  }

  /// @brief Whether pauses after failed reads stay short: the one host that all
  /// others wait for asks often.
  void setEagerRetry(bool Enabled) noexcept { Eager = Enabled; }

  /// @brief Sets the shortest pause after a failed read of a host that others
  /// read for: the attempts of all hosts together stay few while the store is
  /// away.
  void setMinFailurePause(milliseconds MinPause) noexcept {
    MinFailurePause = MinPause;
  }

  /// @brief Changes the spacing of later reads.
  void setSpacing(milliseconds Spacing) noexcept { Times.Spacing = Spacing; }

private:
  /// How one read ended.
  enum class ReadEnd : std::uint8_t {
    Failed,
    /// The store holds more than it answered.
    More,
    UpToDate
  };

  [[nodiscard]] Awaitable<ReadEnd> readOnce();
  [[nodiscard]] Duration pauseAfter(ReadEnd Result);
  [[nodiscard]] Awaitable<void> untilWoken();
  [[nodiscard]] Awaitable<void> untilDeferralEnds();

  FleetStore &Store;
  Feed FollowedFeed;
  FollowTimes Times;
  FollowHooks Hooks;
  /// Never expires: cancelled to end a wait.
  std::optional<boost::asio::steady_timer> WakeTimer;
  std::uint64_t WakeCount = 0;
  /// Where to read on; nothing before the newest values are known.
  std::optional<Offset> Next;
  TimePoint DeferredUntil{};
  bool Behind = false;
  bool Eager = false;
  milliseconds NextRetryPause{0};
  milliseconds MinFailurePause{0};
  /// The next read is not to be held back: what is known is old already.
  bool SkipLongPoll = false;
};

} // namespace coltsfoottrail

#endif
