#include "coltsfoottrail/fleethost/follower.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

using FeedAnswer = std::variant<FeedPage, StoreFailure>;

class MockStore : public FleetStore {
public:
  MOCK_METHOD(Awaitable<FeedAnswer>, newest, (Feed), (override));
  MOCK_METHOD(Awaitable<FeedAnswer>, read, (Feed, Offset, milliseconds),
              (override));
  MOCK_METHOD(std::optional<DecodedRecord>, decode, (Feed, std::string_view),
              (const, override));
  MOCK_METHOD((Awaitable<std::variant<DutyGrant, StoreFailure>>), joinDuty,
              (DutyRequest), (override));
  MOCK_METHOD((Awaitable<std::variant<std::string, StoreFailure>>), dutyHolder,
              (), (override));
  MOCK_METHOD(Awaitable<void>, leaveDuty, (std::string), (override));
};

Awaitable<FeedAnswer> page(Offset Next, Offset End) {
  FeedPage Result;
  Result.Next = Next;
  Result.End = End;
  co_return Result;
}

Awaitable<FeedAnswer> unanswered() {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  seconds(60));
  co_await Timer.async_wait(boost::asio::use_awaitable);
  co_return StoreFailure::Unknown;
}

/// Result of a read over a connection that is cancelled.
Awaitable<FeedAnswer> failsWhenCancelled() {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  seconds(60));
  boost::system::error_code Cancelled;
  co_await Timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, Cancelled));
  co_return StoreFailure::Unknown;
}

class Follower : public ::testing::Test {
protected:
  Follower() {
    Times.Spacing = seconds(60);
    Times.RetryPause = seconds(60);
  }

  void follow() {
    Reader.emplace(
        Store, Feed::Endpoints, Times,
        FollowHooks{[this](FeedPage Page, bool, TimePoint) {
                      ReadOffsets.push_back(Page.Next);
                    },
                    [this](StoreFailure, TimePoint) { ++Failures; }});
    boost::asio::co_spawn(Context, Reader->run(), boost::asio::detached);
  }

  ::testing::StrictMock<MockStore> Store;
  FollowTimes Times;
  boost::asio::io_context Context;
  std::optional<FeedFollower> Reader;
  std::vector<Offset> ReadOffsets;
  int Failures = 0;
};

// Guards against requests to an endpoint that announced its departure seconds
// ago: after an outage there is more to read than one response holds, and a
// host that reads at the usual interval lags behind.
TEST_F(Follower, ReadsWithoutPauseWhileTheStoreHasMore) {
  EXPECT_CALL(Store, newest).WillOnce([] { return page(5, 5); });
  Times.Spacing = milliseconds(1);
  EXPECT_CALL(Store, read)
      .WillOnce([] { return page(20, 60); })
      .WillOnce([] { return page(40, 60); })
      .WillOnce([] { return page(60, 60); })
      .WillRepeatedly([] { return unanswered(); });
  follow();
  const TimePoint Start = BootClock::now();
  while (ReadOffsets.size() < 4 && BootClock::now() < Start + seconds(5))
    Context.run_one_for(seconds(1));
  EXPECT_EQ(ReadOffsets, (std::vector<Offset>{5, 20, 40, 60}));
}

// Guards against callers being refused on every host after the store's history
// has changed: each response of one feed cancels the read of the other. If the
// cancelled read counted as failed, the next response would cancel it again,
// and the configuration would never be read.
TEST_F(Follower, CancelledReadHasNotFailed) {
  Times.Spacing = milliseconds(1);
  EXPECT_CALL(Store, newest).WillOnce([] { return page(5, 5); });
  EXPECT_CALL(Store, read)
      .WillOnce([] { return failsWhenCancelled(); })
      .WillOnce([] { return page(9, 9); })
      .WillRepeatedly([] { return unanswered(); });
  follow();
  Context.run_for(milliseconds(50));
  Reader->readNow();
  Context.run_for(milliseconds(50));
  EXPECT_EQ(Failures, 0);
  EXPECT_EQ(ReadOffsets, (std::vector<Offset>{5, 9}));
}

// Guards against the same failure with another cause: the host was cut off from
// the store, the other feed is read again, and this one still waits for a
// response that was lost.
TEST_F(Follower, RepeatsAReadWhenWoken) {
  Times.Spacing = milliseconds(1);
  EXPECT_CALL(Store, newest).WillOnce([] { return page(5, 5); });
  EXPECT_CALL(Store, read)
      .WillOnce([] { return unanswered(); })
      .WillOnce([] { return page(9, 9); })
      .WillRepeatedly([] { return unanswered(); });
  follow();
  Context.run_for(milliseconds(50));
  ASSERT_EQ(ReadOffsets, std::vector<Offset>{5});
  Reader->readNow();
  Context.run_for(milliseconds(50));
  EXPECT_EQ(ReadOffsets, (std::vector<Offset>{5, 9}));
  EXPECT_EQ(Failures, 0);
}

// Guards against a host that serves an old configuration because its upstream
// has postponed its reads: the upstream has read a record that it cannot relay,
// so hosts read the store at once although what was relayed before would
// postpone their reads for longer.
TEST_F(Follower, HostThatFellBehindReadsAtOnce) {
  EXPECT_CALL(Store, newest).WillOnce([] { return page(3, 3); });
  EXPECT_CALL(Store, read(Feed::Endpoints, Offset{3}, ::testing::_))
      .WillOnce([] { return page(4, 4); });
  Times.Spacing = milliseconds(0);
  follow();
  Context.poll_one();
  while (ReadOffsets.empty())
    Context.run_one();
  Reader->acceptChanges(3, BootClock::now() + seconds(60));
  Context.poll();
  Reader->markBehind();
  EXPECT_TRUE(Reader->isBehind());
  Reader->setSpacing(seconds(60));
  Context.run_for(milliseconds(200));
  EXPECT_EQ(ReadOffsets, (std::vector<Offset>{3, 4}));
  EXPECT_FALSE(Reader->isBehind());
}

/// A read that takes longer than the pause between two responses.
Awaitable<FeedAnswer> delayedPage(Offset Next) {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  milliseconds(60));
  co_await Timer.async_wait(boost::asio::use_awaitable);
  FeedPage Result;
  Result.Next = Next;
  Result.End = Next;
  co_return Result;
}

// Guards against a first read that is cancelled and repeated for each response
// of an upstream that cannot relay a large configuration.
TEST_F(Follower, DeferralThatEndsTwiceIsOneRead) {
  EXPECT_CALL(Store, newest).WillOnce([] { return delayedPage(4); });
  Times.Spacing = seconds(60);
  Reader.emplace(Store, Feed::Endpoints, Times,
                 FollowHooks{[this](FeedPage Page, bool, TimePoint) {
                               ReadOffsets.push_back(Page.Next);
                             },
                             [this](StoreFailure, TimePoint) { ++Failures; }});
  Reader->defer(BootClock::now() + seconds(60));
  boost::asio::co_spawn(Context, Reader->run(), boost::asio::detached);
  Context.run_for(milliseconds(10));
  for (int Response = 0; Response < 8; ++Response) {
    Reader->endDeferral();
    Context.run_for(milliseconds(20));
  }
  EXPECT_EQ(ReadOffsets, std::vector<Offset>{4});
}

// Guards against a host that never stops reading by itself: each response of
// its upstream arrives after one more own read and is dropped.
TEST_F(Follower, AcceptsRelayedRecordsThatBeginBeforeItsOwnReads) {
  EXPECT_CALL(Store, newest).WillOnce([] { return page(7, 7); });
  follow();
  Context.poll();
  ASSERT_EQ(ReadOffsets, std::vector<Offset>{7});
  EXPECT_TRUE(Reader->canAcceptChanges(5, 9));
  EXPECT_TRUE(Reader->canAcceptChanges(7, 7));
  EXPECT_FALSE(Reader->canAcceptChanges(5, 6));
  EXPECT_FALSE(Reader->canAcceptChanges(8, 9));
}

Awaitable<FeedAnswer> refused() { co_return StoreFailure::NotDone; }

// Guards against thousands of useless calls while the store is unavailable and
// another host reads for this one.
TEST_F(Follower, FailedReadsPauseAsLongAsTheFleetNeeds) {
  Times.RetryPause = milliseconds(1);
  EXPECT_CALL(Store, newest).Times(1).WillRepeatedly([] { return refused(); });
  Reader.emplace(Store, Feed::Endpoints, Times,
                 FollowHooks{[](FeedPage, bool, TimePoint) {},
                             [this](StoreFailure, TimePoint) { ++Failures; }});
  Reader->setMinFailurePause(seconds(60));
  boost::asio::co_spawn(Context, Reader->run(), boost::asio::detached);
  Context.run_for(milliseconds(60));
  EXPECT_EQ(Failures, 1);
}

// Guards against a coordinator that notices late that the store is back.
TEST_F(Follower, EagerReaderIgnoresTheMinimumFailurePause) {
  Times.RetryPause = milliseconds(1);
  EXPECT_CALL(Store, newest).WillRepeatedly([] { return refused(); });
  Reader.emplace(Store, Feed::Endpoints, Times,
                 FollowHooks{[](FeedPage, bool, TimePoint) {},
                             [this](StoreFailure, TimePoint) { ++Failures; }});
  Reader->setMinFailurePause(seconds(60));
  Reader->setEagerRetry(true);
  boost::asio::co_spawn(Context, Reader->run(), boost::asio::detached);
  Context.run_for(milliseconds(60));
  EXPECT_GT(Failures, 2);
}

TEST_F(Follower, RelayedSnapshotReplacesTheFirstRead) {
  EXPECT_CALL(Store, newest).Times(0);
  EXPECT_CALL(Store, read(Feed::Endpoints, Offset{9}, ::testing::_))
      .WillOnce([] { return page(9, 9); });
  Reader.emplace(Store, Feed::Endpoints, Times,
                 FollowHooks{[this](FeedPage Page, bool, TimePoint) {
                               ReadOffsets.push_back(Page.Next);
                             },
                             [this](StoreFailure, TimePoint) { ++Failures; }});
  Reader->defer(BootClock::now() + seconds(60));
  boost::asio::co_spawn(Context, Reader->run(), boost::asio::detached);
  Context.run_for(milliseconds(10));
  Reader->acceptSnapshot(9, BootClock::now() + milliseconds(50));
  Context.run_for(milliseconds(20));
  EXPECT_TRUE(ReadOffsets.empty());
  Context.run_for(milliseconds(80));
  EXPECT_EQ(ReadOffsets, std::vector<Offset>{9});
}

Awaitable<FeedAnswer> partWithoutRecords() {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  milliseconds(1));
  co_await Timer.async_wait(boost::asio::use_awaitable);
  co_return co_await page(5, 9);
}

// Guards against a read loop without a pause: the store has more than it
// returns, and returns nothing.
TEST_F(Follower, PagesWithoutProgressAreFollowedByAPause) {
  int Reads = 0;
  EXPECT_CALL(Store, newest).WillOnce([] { return page(5, 9); });
  EXPECT_CALL(Store, read).WillRepeatedly([&Reads] {
    ++Reads;
    return partWithoutRecords();
  });
  follow();
  Context.run_for(milliseconds(100));
  EXPECT_LE(Reads, 2);
}

/// A page of two records that takes longer than the next response.
Awaitable<FeedAnswer> delayedRecords() {
  boost::asio::steady_timer Timer(co_await boost::asio::this_coro::executor,
                                  milliseconds(60));
  co_await Timer.async_wait(boost::asio::use_awaitable);
  FeedPage Result;
  Result.From = 3;
  Result.Next = Result.End = 5;
  Result.Changes = {DataCentreDrained{DataCentreName("known")},
                    DataCentreDrained{DataCentreName("new")}};
  Result.Records = {{3, "known", "a"}, {4, "new", "b"}};
  co_return Result;
}

// Guards against a host that never proves its configuration: each own read is
// overtaken by a relayed record, and what the read brought is thrown away. The
// records that are known already must not be applied again.
TEST_F(Follower, OwnReadOfOperatorsIsUsedThoughItsBeginningWasRelayed) {
  EXPECT_CALL(Store, newest).WillOnce([] { return page(3, 3); });
  EXPECT_CALL(Store, read)
      .WillOnce([] { return delayedRecords(); })
      .WillRepeatedly([] { return unanswered(); });
  Times.Spacing = milliseconds(1);
  std::vector<FeedPage> Pages;
  Reader.emplace(Store, Feed::Operators, Times,
                 FollowHooks{[&Pages](FeedPage Page, bool, TimePoint) {
                               Pages.push_back(std::move(Page));
                             },
                             [this](StoreFailure, TimePoint) { ++Failures; }});
  boost::asio::co_spawn(Context, Reader->run(), boost::asio::detached);
  Context.run_for(milliseconds(20));
  ASSERT_EQ(Pages.size(), 1U);
  Reader->acceptChanges(4, BootClock::now() - milliseconds(1));
  Context.run_for(milliseconds(200));
  ASSERT_EQ(Pages.size(), 2U);
  EXPECT_EQ(Pages[1].From, 4U);
  EXPECT_EQ(Pages[1].Next, 5U);
  ASSERT_EQ(Pages[1].Records.size(), 1U);
  EXPECT_EQ(Pages[1].Records[0].Position, 4U);
  ASSERT_EQ(Pages[1].Changes.size(), 1U);
  EXPECT_EQ(std::get<DataCentreDrained>(Pages[1].Changes[0]).DataCentre,
            DataCentreName("new"));
}

Awaitable<FeedAnswer> expired() { co_return StoreFailure::Expired; }

// Guards against a host that serves an old configuration for seconds because it
// takes deleted records for a store that is away: the store has answered, and
// the newest values must not wait as after a failure.
TEST_F(Follower, DeletedRecordsAreNoFailureOfTheStore) {
  EXPECT_CALL(Store, newest)
      .WillOnce([] { return page(5, 5); })
      .WillRepeatedly([] { return page(9, 9); });
  EXPECT_CALL(Store, read)
      .WillOnce([] { return expired(); })
      .WillRepeatedly([] { return unanswered(); });
  Times.Spacing = milliseconds(1);
  Times.RetryPause = milliseconds(1);
  follow();
  Reader->setMinFailurePause(seconds(60));
  Context.run_for(milliseconds(200));
  EXPECT_EQ(ReadOffsets, (std::vector<Offset>{5, 9}));
}

// Guards against a host without proof of its configuration for the whole pause
// after a failed read: the store is back for its upstream, which relays and
// then falls silent. What was relayed shows that the store answers.
TEST_F(Follower, RelayedRecordsEndThePauseAfterAFailedRead) {
  EXPECT_CALL(Store, newest).WillOnce([] { return page(3, 3); });
  EXPECT_CALL(Store, read)
      .WillOnce([] { return refused(); })
      .WillOnce([] { return page(6, 6); })
      .WillRepeatedly([] { return unanswered(); });
  Times.Spacing = milliseconds(1);
  Times.RetryPause = milliseconds(1);
  follow();
  Reader->setMinFailurePause(seconds(60));
  Context.run_for(milliseconds(50));
  ASSERT_EQ(Failures, 1);
  Reader->acceptChanges(4, BootClock::now() + milliseconds(50));
  Context.run_for(milliseconds(200));
  EXPECT_EQ(ReadOffsets, (std::vector<Offset>{3, 6}));
}

// Guards against a host that serves an old configuration for the whole pause
// after a failed read, although its upstream has read a newer one that is too
// large to relay.
TEST_F(Follower, HostThatFellBehindDoesNotWaitForThePauseAfterAFailedRead) {
  EXPECT_CALL(Store, newest).WillOnce([] { return page(3, 3); });
  EXPECT_CALL(Store, read)
      .WillOnce([] { return refused(); })
      .WillOnce([] { return page(4, 4); })
      .WillRepeatedly([] { return unanswered(); });
  Times.Spacing = milliseconds(1);
  Times.RetryPause = milliseconds(1);
  follow();
  Reader->setMinFailurePause(seconds(60));
  Context.run_for(milliseconds(50));
  ASSERT_EQ(Failures, 1);
  Reader->markBehind();
  Context.run_for(milliseconds(200));
  EXPECT_EQ(ReadOffsets, (std::vector<Offset>{3, 4}));
}

// Guards against the same for a host that has no values yet, or none since its
// records were deleted.
TEST_F(Follower, EndedDeferralDoesNotWaitForThePauseAfterAFailedRead) {
  EXPECT_CALL(Store, newest)
      .WillOnce([] { return refused(); })
      .WillRepeatedly([] { return page(4, 4); });
  EXPECT_CALL(Store, read).WillRepeatedly([] { return unanswered(); });
  Times.Spacing = milliseconds(1);
  Times.RetryPause = milliseconds(1);
  follow();
  Reader->setMinFailurePause(seconds(60));
  Context.run_for(milliseconds(50));
  ASSERT_EQ(Failures, 1);
  Reader->endDeferral();
  Context.run_for(milliseconds(200));
  EXPECT_EQ(ReadOffsets, std::vector<Offset>{4});
}

// Guards against a data centre that gets requests although it was drained, and
// against records left out of what this host relays: its records are deleted,
// and it goes back to older values that a host with an older reading relays.
TEST_F(Follower, RelayedSnapshotIsNotOlderThanWhatWasRead) {
  EXPECT_CALL(Store, newest)
      .WillOnce([] { return page(9, 9); })
      .WillRepeatedly([] { return unanswered(); });
  EXPECT_CALL(Store, read)
      .WillOnce([] { return expired(); })
      .WillRepeatedly([] { return unanswered(); });
  Times.Spacing = milliseconds(1);
  Times.RetryPause = milliseconds(1);
  follow();
  Context.run_for(milliseconds(50));
  ASSERT_FALSE(Reader->next());
  Reader->acceptSnapshot(7, BootClock::now() + seconds(60));
  EXPECT_FALSE(Reader->next());
}

} // namespace

} // namespace coltsfoottrail
