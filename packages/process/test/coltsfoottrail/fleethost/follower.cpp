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
  FeedPage Out;
  Out.Next = Next;
  Out.End = End;
  co_return Out;
}

Awaitable<FeedAnswer> neverAnswered() {
  boost::asio::steady_timer Silence(co_await boost::asio::this_coro::executor,
                                    seconds(60));
  co_await Silence.async_wait(boost::asio::use_awaitable);
  co_return StoreFailure::Unknown;
}

/// What a read over a connection answers when it is given up.
Awaitable<FeedAnswer> failsWhenGivenUp() {
  boost::asio::steady_timer Silence(co_await boost::asio::this_coro::executor,
                                    seconds(60));
  boost::system::error_code GivenUp;
  co_await Silence.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, GivenUp));
  co_return StoreFailure::Unknown;
}

class Follower : public ::testing::Test {
protected:
  Follower() {
    Times.Spacing = seconds(60);
    Times.RetryPause = seconds(60);
  }

  void follow() {
    Followed.emplace(Store, Feed::Endpoints, Times,
                     FollowHooks{[this](FeedPage Page, bool, TimePoint) {
                                   Taken.push_back(Page.Next);
                                 },
                                 [this](StoreFailure) { ++Failures; }});
    boost::asio::co_spawn(Context, Followed->run(), boost::asio::detached);
  }

  ::testing::StrictMock<MockStore> Store;
  FollowTimes Times;
  boost::asio::io_context Context;
  std::optional<FeedFollower> Followed;
  std::vector<Offset> Taken;
  int Failures = 0;
};

// A foreman's request goes to an endpoint that said seconds ago that it leaves.
// After an outage there is more to read than one answer holds; read at the
// usual spacing, the host lags behind.
TEST_F(Follower, ReadsOnAtOnceWhileTheStoreHoldsMore) {
  EXPECT_CALL(Store, newest).WillOnce([] { return page(5, 5); });
  Times.Spacing = milliseconds(1);
  EXPECT_CALL(Store, read)
      .WillOnce([] { return page(20, 60); })
      .WillOnce([] { return page(40, 60); })
      .WillOnce([] { return page(60, 60); })
      .WillRepeatedly([] { return neverAnswered(); });
  follow();
  const TimePoint Start = BootClock::now();
  while (Taken.size() < 4 && BootClock::now() < Start + seconds(5))
    Context.run_one_for(seconds(1));
  EXPECT_EQ(Taken, (std::vector<Offset>{5, 20, 40, 60}));
}

// Callers are refused on every host after a change of the store's history.
// Each answer of one feed hurries the other, whose read is given up; counted as
// failed, it made the next answer hurry it again, and the configuration was
// never read.
TEST_F(Follower, ReadThatIsGivenUpHasNotFailed) {
  Times.Spacing = milliseconds(1);
  EXPECT_CALL(Store, newest).WillOnce([] { return page(5, 5); });
  EXPECT_CALL(Store, read)
      .WillOnce([] { return failsWhenGivenUp(); })
      .WillOnce([] { return page(9, 9); })
      .WillRepeatedly([] { return neverAnswered(); });
  follow();
  Context.run_for(milliseconds(50));
  Followed->hurry();
  Context.run_for(milliseconds(50));
  EXPECT_EQ(Failures, 0);
  EXPECT_EQ(Taken, (std::vector<Offset>{5, 9}));
}

// The same, with another cause: the host was cut off from the store, another
// feed is read again, and this one waits for an answer that was lost in the
// cut.
TEST_F(Follower, MakesAReadAgainWhenHurried) {
  Times.Spacing = milliseconds(1);
  EXPECT_CALL(Store, newest).WillOnce([] { return page(5, 5); });
  EXPECT_CALL(Store, read)
      .WillOnce([] { return neverAnswered(); })
      .WillOnce([] { return page(9, 9); })
      .WillRepeatedly([] { return neverAnswered(); });
  follow();
  Context.run_for(milliseconds(50));
  ASSERT_EQ(Taken, std::vector<Offset>{5});
  Followed->hurry();
  Context.run_for(milliseconds(50));
  EXPECT_EQ(Taken, (std::vector<Offset>{5, 9}));
  EXPECT_EQ(Failures, 0);
}

// A host serves an old configuration for as long as its hub vouches for it.
// The hub has read a record that it does not relay; hosts read the store at
// once, although what they were told before would cover them for longer.
TEST_F(Follower, HostThatFellBehindReadsAtOnce) {
  EXPECT_CALL(Store, newest).WillOnce([] { return page(3, 3); });
  EXPECT_CALL(Store, read(Feed::Endpoints, Offset{3}, ::testing::_))
      .WillOnce([] { return page(4, 4); });
  Times.Spacing = milliseconds(0);
  follow();
  Context.poll_one();
  while (Taken.empty())
    Context.run_one();
  Followed->cover(3, BootClock::now() + seconds(60));
  Context.poll();
  Followed->fallBehind();
  EXPECT_TRUE(Followed->isBehind());
  Followed->space(seconds(60));
  Context.run_for(milliseconds(200));
  EXPECT_EQ(Taken, (std::vector<Offset>{3, 4}));
  EXPECT_FALSE(Followed->isBehind());
}

/// A read that takes longer than the pause between two responses.
Awaitable<FeedAnswer> answeredLate(Offset Next) {
  boost::asio::steady_timer Late(co_await boost::asio::this_coro::executor,
                                 milliseconds(60));
  co_await Late.async_wait(boost::asio::use_awaitable);
  FeedPage Out;
  Out.Next = Next;
  Out.End = Next;
  co_return Out;
}

// Guards against a first read that is given up and made again for each response
// of an upstream that cannot relay a large configuration.
TEST_F(Follower, DeferralThatEndsTwiceIsOneRead) {
  EXPECT_CALL(Store, newest).WillOnce([] { return answeredLate(4); });
  Times.Spacing = seconds(60);
  Followed.emplace(Store, Feed::Endpoints, Times,
                   FollowHooks{[this](FeedPage Page, bool, TimePoint) {
                                 Taken.push_back(Page.Next);
                               },
                               [this](StoreFailure) { ++Failures; }});
  Followed->defer(BootClock::now() + seconds(60));
  boost::asio::co_spawn(Context, Followed->run(), boost::asio::detached);
  Context.run_for(milliseconds(10));
  for (int Response = 0; Response < 8; ++Response) {
    Followed->endDeferral();
    Context.run_for(milliseconds(20));
  }
  EXPECT_EQ(Taken, std::vector<Offset>{4});
}

// Guards against a host that reads on and on by itself: each response of its
// upstream came after one more own read, and was dropped.
TEST_F(Follower, AcceptsRelayedRecordsThatBeginBeforeItsOwnReads) {
  EXPECT_CALL(Store, newest).WillOnce([] { return page(7, 7); });
  follow();
  Context.poll();
  ASSERT_EQ(Taken, std::vector<Offset>{7});
  EXPECT_TRUE(Followed->accepts(5, 9));
  EXPECT_TRUE(Followed->accepts(7, 7));
  EXPECT_FALSE(Followed->accepts(5, 6));
  EXPECT_FALSE(Followed->accepts(8, 9));
}

Awaitable<FeedAnswer> refused() { co_return StoreFailure::NotDone; }

// Guards against thousands of calls in vain while the store is away and another
// host reads for this one.
TEST_F(Follower, FailedReadsPauseAsLongAsTheFleetNeeds) {
  Times.RetryPause = milliseconds(1);
  EXPECT_CALL(Store, newest).Times(1).WillRepeatedly([] { return refused(); });
  Followed.emplace(Store, Feed::Endpoints, Times,
                   FollowHooks{[](FeedPage, bool, TimePoint) {},
                               [this](StoreFailure) { ++Failures; }});
  Followed->pauseAfterFailure(seconds(60));
  boost::asio::co_spawn(Context, Followed->run(), boost::asio::detached);
  Context.run_for(milliseconds(60));
  EXPECT_EQ(Failures, 1);
}

// Guards against a coordinator that learns late that the store is back.
TEST_F(Follower, EagerReaderDoesNotWaitForTheOthers) {
  Times.RetryPause = milliseconds(1);
  EXPECT_CALL(Store, newest).WillRepeatedly([] { return refused(); });
  Followed.emplace(Store, Feed::Endpoints, Times,
                   FollowHooks{[](FeedPage, bool, TimePoint) {},
                               [this](StoreFailure) { ++Failures; }});
  Followed->pauseAfterFailure(seconds(60));
  Followed->beEager(true);
  boost::asio::co_spawn(Context, Followed->run(), boost::asio::detached);
  Context.run_for(milliseconds(60));
  EXPECT_GT(Failures, 2);
}

TEST_F(Follower, RelayedValuesTakeThePlaceOfTheFirstRead) {
  EXPECT_CALL(Store, newest).Times(0);
  EXPECT_CALL(Store, read(Feed::Endpoints, Offset{9}, ::testing::_))
      .WillOnce([] { return page(9, 9); });
  Followed.emplace(Store, Feed::Endpoints, Times,
                   FollowHooks{[this](FeedPage Page, bool, TimePoint) {
                                 Taken.push_back(Page.Next);
                               },
                               [this](StoreFailure) { ++Failures; }});
  Followed->defer(BootClock::now() + seconds(60));
  boost::asio::co_spawn(Context, Followed->run(), boost::asio::detached);
  Context.run_for(milliseconds(10));
  Followed->adopt(9, BootClock::now() + milliseconds(50));
  Context.run_for(milliseconds(20));
  EXPECT_TRUE(Taken.empty());
  Context.run_for(milliseconds(80));
  EXPECT_EQ(Taken, std::vector<Offset>{9});
}

} // namespace

} // namespace coltsfoottrail
