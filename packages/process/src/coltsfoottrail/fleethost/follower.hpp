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

/// @brief Timing of a feed follower.
struct FollowTimes {
  /// Long-poll time: how long the store may hold a read back until there is a
  /// change.
  milliseconds Wait{800};
  /// Minimum interval between the starts of two reads; each call to the store
  /// is billed.
  milliseconds Spacing{0};
  /// Pause after a failed read, or one whose records are deleted. It doubles
  /// with each further one, up to LongestRetryPause.
  milliseconds RetryPause{200};
  milliseconds LongestRetryPause{1'600};
};

/// @brief Callbacks of a feed follower.
struct FollowHooks {
  /// Receives a page, whether it is a snapshot of the newest values, and when
  /// it was requested.
  std::function<void(FeedPage, bool, TimePoint)> OnPage;
  /// Called when a read failed. Receives when it was requested.
  std::function<void(StoreFailure, TimePoint)> OnFailure;
  /// Called when the store answered that the records are deleted. Receives when
  /// the read was requested.
  std::function<void(TimePoint)> OnExpired = [](TimePoint) {};
};

/// @brief Reads a feed continuously: first the newest values, then the changes,
/// and the newest values again once the changes have expired. Belongs to one
/// thread.
class FeedFollower {
public:
  /// @brief Creates a follower.
  /// @param Store Must outlive the follower.
  /// @param FollowedFeed The feed to read.
  /// @param Times Timing of the reads.
  /// @param Hooks Callbacks.
  FeedFollower(FleetStore &Store, Feed FollowedFeed, FollowTimes Times,
               FollowHooks Hooks)
      : Store(Store), FollowedFeed(FollowedFeed), Times(Times),
        Hooks(std::move(Hooks)) {}

  /// @brief Reads the feed until cancelled.
  [[nodiscard]] Awaitable<void> run();

  /// @brief Releases the timer. To be called before its context is destroyed.
  /// Precondition: the context is stopped.
  void close() { WakeTimer.reset(); }

  /// @brief Cancels a read in progress, or the pause before the next one, and
  /// reads at once.
  void readNow() {
    ++WakeCount;
    if (WakeTimer)
      WakeTimer->cancel();
  }

  /// @brief Accepts changes that another host read and relayed: this host does
  /// not read before the given time, nor wait any longer once it has passed.
  /// @param NextOffset Where to continue reading.
  void acceptChanges(Offset NextOffset, TimePoint Until);

  /// @brief Whether relayed changes leave no gap and are not behind what is
  /// known here: this host may have read on since it asked for them. Records
  /// that are repeated are followed by all records that came after them.
  /// @param From Offset of the first relayed record.
  /// @param NextOffset Offset behind the relayed records.
  [[nodiscard]] bool canAcceptChanges(Offset From,
                                      Offset NextOffset) const noexcept {
    return Next && From <= *Next && NextOffset >= *Next;
  }

  /// @brief Whether relayed newest values are lacking here and not behind what
  /// was known here before.
  /// @param NextOffset Offset behind the newest values.
  [[nodiscard]] bool canAcceptSnapshot(Offset NextOffset) const noexcept {
    return !Next && NextOffset >= KnownBefore;
  }

  /// @brief Accepts the newest values that another host relayed: reading
  /// continues behind them, and not before the given time. Ignored unless
  /// canAcceptSnapshot().
  void acceptSnapshot(Offset NextOffset, TimePoint Until);

  /// @brief Postpones reads until a time, unless readNow() is called: another
  /// host may relay the feed first.
  void defer(TimePoint Until) noexcept { DeferredUntil = Until; }
  /// @brief Ends a postponement, or a pause after a failed read; unless
  /// setEagerRetry() is in effect, only one such pause until a read succeeds. A
  /// read in progress continues.
  void endDeferral();
  /// @brief Reads the newest values again, immediately.
  void restart();

  /// @brief Records that another host has newer records that it cannot relay:
  /// what it relayed before no longer postpones reads, and the feed is read at
  /// once. A pause after a failed read ends as by endDeferral().
  void markBehind();
  /// @brief Whether markBehind() was called and the feed has not been read
  /// since.
  [[nodiscard]] bool isBehind() const noexcept { return Behind; }

  /// @brief When the read in progress was requested, if the store takes longer
  /// to answer than usual.
  [[nodiscard]] std::optional<TimePoint>
  overdueSince(TimePoint Now) const noexcept {
    return AnswerDueAt && Now >= *AnswerDueAt ? RequestedAt : std::nullopt;
  }

  /// @brief Offset of the next read; empty before the newest values are known.
  [[nodiscard]] const std::optional<Offset> &next() const noexcept {
    return Next;
  }

  /// @brief Sets whether pauses after failed reads stay short: the one host
  /// that all others wait for retries often.
  void setEagerRetry(bool Enabled) noexcept { Eager = Enabled; }

  /// @brief Sets the minimum pause after a failed read for a host that gets the
  /// feed relayed, so that the attempts of all hosts together stay few while
  /// the store is unavailable.
  void setMinFailurePause(milliseconds MinPause) noexcept {
    MinFailurePause = MinPause;
  }

  /// @brief Sets the minimum interval between later reads.
  void setSpacing(milliseconds Spacing) noexcept { Times.Spacing = Spacing; }

private:
  /// Result of one read.
  enum class ReadEnd : std::uint8_t {
    Failed,
    /// The records are deleted.
    Expired,
    /// The store has more records than it returned.
    More,
    UpToDate
  };

  [[nodiscard]] Awaitable<ReadEnd> readOnce();
  [[nodiscard]] Duration pauseAfter(ReadEnd Result);
  [[nodiscard]] Awaitable<void> untilWoken();
  [[nodiscard]] Awaitable<void> untilDeferralEnds();
  void forgetNext();
  /// Removes records that were relayed while the page was read from an offset;
  /// false if what remains cannot be used.
  [[nodiscard]] bool dropKnown(FeedPage &Page,
                               std::optional<Offset> From) const;
  [[nodiscard]] bool isDeferred() const noexcept {
    return BootClock::now() < DeferredUntil;
  }

  FleetStore &Store;
  Feed FollowedFeed;
  FollowTimes Times;
  FollowHooks Hooks;
  /// Never expires; cancelled to end a wait.
  std::optional<boost::asio::steady_timer> WakeTimer;
  std::uint64_t WakeCount = 0;
  /// Set while a read is in progress.
  std::optional<TimePoint> RequestedAt;
  std::optional<TimePoint> AnswerDueAt;
  /// Offset of the next read; empty before the newest values are known.
  std::optional<Offset> Next;
  /// The last offset before the newest values had to be read again.
  Offset KnownBefore = 0;
  TimePoint DeferredUntil{};
  bool Behind = false;
  bool Eager = false;
  bool PausesAfterFailure = false;
  /// Whether endDeferral() has ended such a pause since the last read that
  /// succeeded.
  bool EndedPause = false;
  milliseconds NextRetryPause{0};
  milliseconds MinFailurePause{0};
  /// The next read must not be held back by the store, because the known
  /// records are old already.
  bool SkipLongPoll = false;
};

} // namespace coltsfoottrail

#endif
