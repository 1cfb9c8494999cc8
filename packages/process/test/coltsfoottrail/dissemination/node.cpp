#include "coltsfoottrail/dissemination/node.hpp"

#include "coltsfoottrail/core/error.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

/// A page of records that all matter to routing.
FeedPage page(Offset From, Offset Next) {
  FeedPage Out;
  Out.From = From;
  Out.Next = Next;
  Out.End = Next;
  for (Offset At = From; At < Next; ++At) {
    Out.Changes.emplace_back(EndpointRemoved{});
    const std::string Name = std::to_string(At);
    Out.Records.push_back({At, "key " + Name, "record " + Name});
  }
  return Out;
}

void ingest(TreeNode &Node, const FeedPage &Page, RoutingEffect Effect,
            TimePoint AsOf = Start, bool Whole = false) {
  Node.ingest(Feed::Endpoints, Page,
              std::vector<RoutingEffect>(Page.Records.size(), Effect), Whole,
              AsOf);
}

void ingest(TreeNode &Node, Offset From, Offset Next) {
  ingest(Node, page(From, Next), RoutingEffect::Set);
}

TreeNode node() { return TreeNode(HostName("self")); }

Report report(const char *Host, Offset From) {
  Report Out;
  Out.Host = HostName(Host);
  Out.Next[Feed::Endpoints] = From;
  return Out;
}

Report newcomer() {
  Report Out;
  Out.Host = HostName("new");
  Out.Missing.insert(Feed::Endpoints);
  return Out;
}

TEST(TreeNode, RelaysWhatAReporterLacks) {
  TreeNode Node = node();
  ingest(Node, 7, 10);
  EXPECT_TRUE(Node.hasUpdate(report("a", 8)));
  const Response Made = Node.respond(report("a", 8), Start + milliseconds(30));
  ASSERT_TRUE(Made.Feeds.contains(Feed::Endpoints));
  const FeedUpdate &Update = Made.Feeds.at(Feed::Endpoints);
  EXPECT_EQ(Update.Next, 10U);
  EXPECT_EQ(Update.Staleness, milliseconds(30));
  EXPECT_EQ(Update.Records,
            (std::vector<RelayedRecord>{{8, "record 8"}, {9, "record 9"}}));
  EXPECT_FALSE(Node.hasUpdate(report("a", 10)));
}

// Guards against a new coordinator that has to learn of members from the store,
// where the records of live ones may have lapsed.
TEST(TreeNode, HostsThatMayCoordinateGetAllChanges) {
  TreeNode Node = node();
  ingest(Node, 0, 2);
  ingest(Node, page(2, 4), RoutingEffect::Other);
  Report Candidate = report("a", 1);
  Candidate.WantsAll = true;
  EXPECT_FALSE(Node.hasUpdate(report("b", 2)));
  Candidate.Next[Feed::Endpoints] = 2;
  EXPECT_TRUE(Node.hasUpdate(Candidate));
  const Response All = Node.respond(Candidate, Start);
  EXPECT_EQ(All.Feeds.at(Feed::Endpoints).Records.size(), 2U);
  EXPECT_FALSE(All.Feeds.at(Feed::Endpoints).Projected);
  const Response Few = Node.respond(report("b", 2), Start);
  EXPECT_TRUE(Few.Feeds.at(Feed::Endpoints).Records.empty());
  EXPECT_TRUE(Few.Feeds.at(Feed::Endpoints).Projected);
}

// Guards against a relay that passes what was projected for it on as complete.
TEST(TreeNode, ProjectedPagesAreNotAllChanges) {
  TreeNode Node = node();
  ingest(Node, 0, 2);
  FeedPage Part = page(2, 4);
  Part.Projected = true;
  ingest(Node, Part, RoutingEffect::Set);
  Report Candidate = report("a", 2);
  Candidate.WantsAll = true;
  EXPECT_TRUE(
      Node.respond(Candidate, Start).Feeds.at(Feed::Endpoints).Projected);
}

// Guards against hosts that decode every heartbeat of a thousand endpoints.
TEST(TreeNode, RecordsThatDoNotMatterAreLeftOutAndMoveTheOffset) {
  TreeNode Node = node();
  ingest(Node, 0, 4);
  ingest(Node, page(4, 6), RoutingEffect::None);
  EXPECT_FALSE(Node.hasUpdate(report("a", 4)));
  const Response Made = Node.respond(report("a", 4), Start);
  EXPECT_EQ(Made.Feeds.at(Feed::Endpoints).Next, 6U);
  EXPECT_TRUE(Made.Feeds.at(Feed::Endpoints).Records.empty());
}

// Guards against a proof from a page behind which there was more to read.
TEST(TreeNode, PageThatDoesNotReachTheEndProvesNothing) {
  TreeNode Node = node();
  ingest(Node, 0, 4);
  FeedPage Part = page(4, 6);
  Part.End = 9;
  ingest(Node, Part, RoutingEffect::Set, Start + seconds(3));
  const Response Made = Node.respond(report("a", 4), Start + seconds(3));
  EXPECT_EQ(Made.Feeds.at(Feed::Endpoints).Staleness, seconds(3));
}

// Guards against a reporter that is served across records that another host
// relayed to this one, and would never hear of them.
TEST(TreeNode, RelaysNothingAcrossAGap) {
  TreeNode Node = node();
  ingest(Node, 7, 10);
  ingest(Node, 12, 14);
  EXPECT_FALSE(
      Node.respond(report("a", 10), Start).Feeds.contains(Feed::Endpoints));
  EXPECT_TRUE(
      Node.respond(report("a", 12), Start).Feeds.contains(Feed::Endpoints));
}

// Guards against records that a host has read and is then relayed again: they
// no longer change its view, and its reporters would never hear of them.
TEST(TreeNode, RepeatedRecordsStayInTheLog) {
  for (const bool WantsAll : {false, true}) {
    TreeNode Node = node();
    ingest(Node, 4, 7);
    ingest(Node, page(4, 7), RoutingEffect::None);
    Report From = report("a", 5);
    From.WantsAll = WantsAll;
    EXPECT_TRUE(Node.hasUpdate(From));
    const Response Made = Node.respond(From, Start);
    ASSERT_TRUE(Made.Feeds.contains(Feed::Endpoints));
    EXPECT_EQ(Made.Feeds.at(Feed::Endpoints).Records.size(), 2U);
  }
}

// Guards against a page that begins with repeated records and goes on behind
// them.
TEST(TreeNode, AddsWhatIsBehindRepeatedRecords) {
  TreeNode Node = node();
  ingest(Node, 4, 7);
  FeedPage Page = page(5, 9);
  const std::vector<RoutingEffect> Effects{
      RoutingEffect::None, RoutingEffect::None, RoutingEffect::Set,
      RoutingEffect::Set};
  Node.ingest(Feed::Endpoints, Page, Effects, false, Start);
  Report From = report("a", 4);
  From.WantsAll = true;
  const FeedUpdate Update = Node.respond(From, Start).Feeds.at(Feed::Endpoints);
  EXPECT_EQ(Update.Next, 9U);
  EXPECT_EQ(Update.Records.size(), 5U);
}

// Guards against newest values of several pages, some of them written while the
// pages were read: read again, they change nothing and would not be relayed.
TEST(TreeNode, ServesNobodyAmongRecordsThatTheNewestValuesHad) {
  TreeNode Node = node();
  FeedPage Newest = page(0, 6);
  Newest.Next = 4;
  Newest.End = 4;
  ingest(Node, Newest, RoutingEffect::Set, Start, true);
  EXPECT_FALSE(Node.hasUpdate(newcomer()));
  ingest(Node, page(4, 6), RoutingEffect::None);
  EXPECT_TRUE(Node.hasUpdate(newcomer()));
  const Response Made = Node.respond(report("a", 5), Start);
  EXPECT_FALSE(Made.Feeds.contains(Feed::Endpoints));
  EXPECT_TRUE(Made.Truncated.contains(Feed::Endpoints));
}

TEST(TreeNode, ReporterThatIsTooFarBehindReadsForItself) {
  TreeNode Node = node();
  ingest(Node, 0, FeedLog::MostRecords + 5);
  EXPECT_FALSE(
      Node.respond(report("a", 3), Start).Feeds.contains(Feed::Endpoints));
}

// Guards against a large configuration that holds all exchanges up for a
// second while one link sends it to every reporter.
TEST(TreeNode, NamesALargeRecordInsteadOfRelayingIt) {
  TreeNode Node = node();
  ingest(Node, 0, 4);
  FeedPage Large = page(4, 5);
  Large.Records.front().Bytes.assign(FeedLog::LargestRecord + 1, 'x');
  ingest(Node, Large, RoutingEffect::Set);
  EXPECT_TRUE(Node.hasUpdate(report("a", 4)));
  const Response Behind = Node.respond(report("a", 4), Start);
  EXPECT_FALSE(Behind.Feeds.contains(Feed::Endpoints));
  EXPECT_TRUE(Behind.Truncated.contains(Feed::Endpoints));
  const Response Level = Node.respond(report("a", 5), Start);
  EXPECT_TRUE(Level.Feeds.contains(Feed::Endpoints));
  EXPECT_TRUE(Level.Truncated.empty());
  EXPECT_FALSE(Node.hasUpdate(report("a", 5)));
}

TEST(TreeNode, NewcomerGetsTheNewestValues) {
  TreeNode Node = node();
  EXPECT_FALSE(Node.hasUpdate(newcomer()));
  ingest(Node, page(0, 3), RoutingEffect::Set, Start, true);
  ingest(Node, page(3, 4), RoutingEffect::Set);
  FeedPage Gone = page(4, 5);
  Gone.Records.front().Key = "key 1";
  ingest(Node, Gone, RoutingEffect::Unset);
  const Response Made = Node.respond(newcomer(), Start);
  const FeedUpdate &Update = Made.Feeds.at(Feed::Endpoints);
  EXPECT_TRUE(Update.Snapshot);
  EXPECT_EQ(Update.Next, 5U);
  EXPECT_EQ(Update.Records,
            (std::vector<RelayedRecord>{
                {0, "record 0"}, {2, "record 2"}, {3, "record 3"}}));
}

// Guards against newcomers that miss what was published before this node began
// to follow the feed.
TEST(TreeNode, MakesNoSnapshotWithoutAWholeRead) {
  TreeNode Node = node();
  ingest(Node, 3, 5);
  EXPECT_FALSE(Node.respond(newcomer(), Start).Feeds.contains(Feed::Endpoints));
}

TEST(TreeNode, NewcomerReadsALargeValueItself) {
  TreeNode Node = node();
  FeedPage Large = page(0, 1);
  Large.Records.front().Bytes.assign(FeedLog::LargestRecord + 1, 'x');
  ingest(Node, Large, RoutingEffect::Set, Start, true);
  EXPECT_TRUE(Node.hasUpdate(newcomer()));
  const Response Made = Node.respond(newcomer(), Start);
  EXPECT_TRUE(Made.Feeds.empty());
  EXPECT_TRUE(Made.Truncated.contains(Feed::Endpoints));
}

RequestLoad loadAt(std::span<const EndpointLoad> Loads, std::uint64_t Where) {
  for (const EndpointLoad &Each : Loads)
    if (Each.Endpoint == Where)
      return Each.Load;
  return {};
}

// Guards against requests that are counted twice or not at all on the way up
// and down the tree.
TEST(TreeNode, LoadsAreSummedOverTheTree) {
  TreeNode Root{HostName("root")};
  TreeNode Relay{HostName("relay")};
  Root.recordOwn({{7, {1, 0, 0, 0}}}, Start);
  Relay.recordOwn({{7, {2, 0, 0, 0}}}, Start);
  Report Leaf;
  Leaf.Host = HostName("leaf");
  Leaf.Loads = {{7, {4, 0, 0, 0}}};
  Relay.recordReport(Leaf, Start);

  Report Up;
  Up.Host = HostName("relay");
  Up.Loads = Relay.loadsBelow(Start);
  Up.Hosts = Relay.hostsBelow(Start);
  EXPECT_EQ(Up.Hosts, 2U);
  Root.recordReport(Up, Start);
  EXPECT_EQ(loadAt(Root.otherLoads(Start), 7).Running, 6U);
  const Response Down = Root.respond(Up, Start);
  EXPECT_EQ(Down.Hosts, 3U);
  EXPECT_EQ(loadAt(Down.Loads, 7).Running, 1U);

  Relay.recordOutside(Down.Loads, Start);
  EXPECT_EQ(loadAt(Relay.otherLoads(Start), 7).Running, 5U);
  EXPECT_EQ(loadAt(Relay.respond(Leaf, Start).Loads, 7).Running, 3U);
}

// Guards against loads that a former coordinator goes on reporting for hosts
// that report to its successor.
TEST(TreeNode, FormerCoordinatorReportsOnlyItself) {
  TreeNode Node = node();
  Node.recordOwn({{7, {1, 0, 0, 0}}}, Start);
  Report Leaf;
  Leaf.Host = HostName("leaf");
  Leaf.Loads = {{7, {4, 0, 0, 0}}};
  Node.recordReport(Leaf, Start);
  Node.forgetReporters();
  Node.recordOwn({{7, {1, 0, 0, 0}}}, Start);
  EXPECT_EQ(Node.hostsBelow(Start), 1U);
  EXPECT_EQ(loadAt(Node.loadsBelow(Start), 7).Running, 1U);
}

// Guards against leaders that look full for good after their upstream died.
TEST(TreeNode, LoadsFromOutsideExpire) {
  TreeNode Node = node();
  Node.recordOutside({{7, {5, 0, 0, 0}}}, Start);
  EXPECT_FALSE(Node.otherLoads(Start).empty());
  EXPECT_TRUE(Node.otherLoads(Start + LoadBoard::ReportLife).empty());
}

TEST(DisseminationMessages, SurviveEncoding) {
  Report Sent = report("host-1", 12);
  Sent.DataCentre = DataCentreName("north");
  Sent.Hosts = 5;
  Sent.CanRelay = true;
  Sent.ToRelay = true;
  Sent.FailedRelay = "10.0.0.1:7";
  Sent.Missing = {Feed::Operators};
  Sent.Loads = {{~std::uint64_t{0}, {1, 2, 3, 4}}};
  Sent.Stalled = {"i-1"};
  const Report Read = decodeReport(encode(Sent));
  EXPECT_EQ(Read.Host, Sent.Host);
  EXPECT_EQ(Read.DataCentre, Sent.DataCentre);
  EXPECT_EQ(Read.Hosts, Sent.Hosts);
  EXPECT_TRUE(Read.CanRelay);
  EXPECT_TRUE(Read.ToRelay);
  EXPECT_EQ(Read.FailedRelay, Sent.FailedRelay);
  EXPECT_EQ(Read.Loads.at(0).Load, Sent.Loads.at(0).Load);
  EXPECT_EQ(Read.Next, Sent.Next);
  EXPECT_EQ(Read.Missing, Sent.Missing);
  EXPECT_EQ(Read.Stalled, Sent.Stalled);

  Response Answer;
  Answer.Hosts = 9;
  Answer.Hold = milliseconds(99);
  Answer.Coordinates = true;
  Answer.CoordinatorHeard = true;
  Answer.LeaseHeard = true;
  Answer.Coordinator = "10.0.0.1:7";
  Answer.Relay = "10.0.0.2:7";
  Answer.Truncated = {Feed::Endpoints};
  const std::string NoText("\x00\xff\x80", 3);
  FeedUpdate &Update = Answer.Feeds[Feed::Operators];
  Update.Snapshot = true;
  Update.Next = 5;
  Update.Staleness = milliseconds(7);
  Update.Records = {{4, NoText}};
  const Response Back = decodeResponse(encode(Answer));
  EXPECT_EQ(Back.Hosts, 9U);
  EXPECT_EQ(Back.Hold, Answer.Hold);
  EXPECT_TRUE(Back.Coordinates);
  EXPECT_TRUE(Back.CoordinatorHeard);
  EXPECT_TRUE(Back.LeaseHeard);
  EXPECT_EQ(Back.Coordinator, Answer.Coordinator);
  EXPECT_EQ(Back.Relay, Answer.Relay);
  EXPECT_EQ(Back.Truncated, Answer.Truncated);
  EXPECT_TRUE(Back.Feeds.at(Feed::Operators).Snapshot);
  EXPECT_EQ(Back.Feeds.at(Feed::Operators).Records,
            Answer.Feeds[Feed::Operators].Records);
}

// Guards against responses without a coordinator or relay being refused.
TEST(DisseminationMessages, PlainResponsesSurviveEncoding) {
  const Response Back = decodeResponse(encode(Response{}));
  EXPECT_FALSE(Back.Coordinator);
  EXPECT_FALSE(Back.Relay);
  EXPECT_FALSE(Back.Coordinates);
}

TEST(DisseminationMessages, RefuseWhatIsNoMessage) {
  EXPECT_THROW((void)decodeReport("no CBOR"), Error);
  EXPECT_THROW((void)decodeResponse(""), Error);
}

} // namespace

} // namespace coltsfoottrail
