#include "coltsfoottrail/hub/hub.hpp"

#include "coltsfoottrail/core/error.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

/// A page of records that all change something.
FeedPage page(Offset From, Offset Next) {
  FeedPage Out;
  Out.From = From;
  Out.Next = Next;
  for (Offset At = From; At < Next; ++At) {
    Out.Changes.emplace_back(EndpointRemoved{});
    Out.Raw.push_back({At, "record " + std::to_string(At)});
  }
  return Out;
}

void took(Hub &Here, Offset From, Offset Next, TimePoint AskedAt) {
  const FeedPage Page = page(From, Next);
  Here.took(Feed::Endpoints, Page, std::vector<bool>(Page.Raw.size(), true),
            AskedAt);
}

HostReport asking(const char *Host, Offset From) {
  HostReport Out;
  Out.Host = HostName(Host);
  Out.Next[Feed::Endpoints] = From;
  return Out;
}

TEST(Hub, RelaysWhatAHostHasNotReadYet) {
  Hub Here;
  took(Here, 7, 10, Start);
  EXPECT_TRUE(Here.hasNews(asking("a", 8)));
  const HubAnswer Said =
      Here.answer(asking("a", 8), true, Start + milliseconds(30));
  ASSERT_TRUE(Said.Feeds.contains(Feed::Endpoints));
  const RelayedFeed &Relayed = Said.Feeds.at(Feed::Endpoints);
  EXPECT_EQ(Relayed.Next, 10U);
  EXPECT_EQ(Relayed.Age, milliseconds(30));
  EXPECT_EQ(Relayed.Records,
            (std::vector<std::string>{"record 8", "record 9"}));
  EXPECT_FALSE(Here.hasNews(asking("a", 10)));
}

TEST(Hub, HeartbeatsAreNotRelayedButMoveTheOffset) {
  Hub Here;
  took(Here, 0, 4, Start);
  const FeedPage Beats = page(4, 6);
  Here.took(Feed::Endpoints, Beats, {false, false}, Start);
  EXPECT_FALSE(Here.hasNews(asking("a", 4)));
  const HubAnswer Said = Here.answer(asking("a", 4), true, Start);
  EXPECT_EQ(Said.Feeds.at(Feed::Endpoints).Next, 6U);
  EXPECT_TRUE(Said.Feeds.at(Feed::Endpoints).Records.empty());
}

// Callers on one host are served by routes that were withdrawn, for good.
// The hub had been told records 10 to 12 by another hub before it read on by
// itself; they are missing from its log, and a host that asks from 10 on would
// be told that it knows all before 14.
TEST(Hub, RelaysNothingAcrossAGap) {
  Hub Here;
  took(Here, 7, 10, Start);
  took(Here, 12, 14, Start);
  EXPECT_FALSE(Here.answer(asking("a", 10), true, Start)
                   .Feeds.contains(Feed::Endpoints));
  EXPECT_TRUE(Here.answer(asking("a", 12), true, Start)
                  .Feeds.contains(Feed::Endpoints));
}

TEST(Hub, HostThatIsTooFarBehindReadsForItself) {
  Hub Here;
  took(Here, 0, RelayLog::MostRecords + 5, Start);
  EXPECT_FALSE(
      Here.answer(asking("a", 3), true, Start).Feeds.contains(Feed::Endpoints));
}

// Every host loses its hub for seconds with each version of a configuration.
// Operators publish 1,520 routes; the hub sent them to seventy hosts over one
// link, and all other exchanges waited behind. A record of that size is told
// of, and hosts read it themselves.
TEST(Hub, TellsOfALargeRecordInsteadOfRelayingIt) {
  Hub Here;
  took(Here, 0, 4, Start);
  FeedPage Large = page(4, 5);
  Large.Raw.front().Bytes.assign(RelayLog::LargestRecord + 1, 'x');
  Here.took(Feed::Endpoints, Large, {true}, Start);
  EXPECT_TRUE(Here.hasNews(asking("a", 4)));
  const HubAnswer Behind = Here.answer(asking("a", 4), true, Start);
  EXPECT_FALSE(Behind.Feeds.contains(Feed::Endpoints));
  EXPECT_TRUE(Behind.Beyond.contains(Feed::Endpoints));
  const HubAnswer Level = Here.answer(asking("a", 5), true, Start);
  EXPECT_TRUE(Level.Feeds.contains(Feed::Endpoints));
  EXPECT_TRUE(Level.Beyond.empty());
  EXPECT_FALSE(Here.hasNews(asking("a", 5)));
}

TEST(HubMessages, SurviveEncoding) {
  HostReport Report = asking("host-1", 12);
  Report.Loads = {{~std::uint64_t{0}, {1, 2, 3}}};
  Report.Silent = {"i-1"};
  const HostReport Read = decodeHostReport(encode(Report));
  EXPECT_EQ(Read.Host, Report.Host);
  EXPECT_EQ(Read.Loads.at(0).Load, Report.Loads.at(0).Load);
  EXPECT_EQ(Read.Next, Report.Next);
  EXPECT_EQ(Read.Silent, Report.Silent);

  HubAnswer Answer;
  Answer.Hosts = 9;
  Answer.Drives = true;
  Answer.Beyond = {Feed::Endpoints};
  Answer.Successor = "10.0.0.1:7";
  const std::string NoText("\x00\xff\x80", 3);
  Answer.Feeds[Feed::Operators] = {5, milliseconds(7), {NoText}};
  const HubAnswer Said = decodeHubAnswer(encode(Answer));
  EXPECT_EQ(Said.Hosts, 9U);
  EXPECT_TRUE(Said.Drives);
  EXPECT_EQ(Said.Beyond, Answer.Beyond);
  EXPECT_EQ(Said.Successor, Answer.Successor);
  EXPECT_EQ(Said.Feeds.at(Feed::Operators).Records.at(0), NoText);
}

// Every host reads the store by itself, all day.
// An answer of a hub that names no successor was refused as malformed.
TEST(HubMessages, PlainAnswersSurviveEncoding) {
  const HubAnswer Said = decodeHubAnswer(encode(HubAnswer{}));
  EXPECT_FALSE(Said.Successor);
  EXPECT_FALSE(Said.Drives);
}

TEST(HubMessages, RefuseWhatIsNoMessage) {
  EXPECT_THROW((void)decodeHostReport("no CBOR"), Error);
  EXPECT_THROW((void)decodeHubAnswer(""), Error);
}

} // namespace

} // namespace coltsfoottrail
