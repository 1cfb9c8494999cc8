#include "coltsfoottrail/dissemination/node.hpp"

#include "coltsfoottrail/core/error.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

/// A page whose records all matter to routing.
FeedPage page(Offset From, Offset Next) {
  FeedPage Result;
  Result.From = From;
  Result.Next = Next;
  Result.End = Next;
  for (Offset At = From; At < Next; ++At) {
    Result.Changes.emplace_back(EndpointRemoved{});
    const std::string Name = std::to_string(At);
    Result.Records.push_back({At, "key " + Name, "record " + Name});
  }
  return Result;
}

void ingest(TreeNode &Node, const FeedPage &Page, RoutingEffect Effect,
            TimePoint AsOf = Start, bool IsSnapshot = false) {
  Node.ingest(Feed::Endpoints, Page,
              std::vector<RoutingEffect>(Page.Records.size(), Effect),
              IsSnapshot, AsOf);
}

void ingest(TreeNode &Node, Offset From, Offset Next) {
  ingest(Node, page(From, Next), RoutingEffect::Set);
}

TreeNode node() { return TreeNode(HostName("self")); }

Report report(const char *Host, Offset From) {
  Report Result;
  Result.Host = HostName(Host);
  Result.Next[Feed::Endpoints] = From;
  return Result;
}

Report newReporter() {
  Report Result;
  Result.Host = HostName("new");
  Result.Missing.insert(Feed::Endpoints);
  return Result;
}

TEST(TreeNode, RelaysWhatAReporterLacks) {
  TreeNode Node = node();
  ingest(Node, 7, 10);
  EXPECT_TRUE(Node.hasUpdate(report("a", 8)));
  const Response Answer =
      Node.makeResponse(report("a", 8), Start + milliseconds(30));
  ASSERT_TRUE(Answer.Feeds.contains(Feed::Endpoints));
  const FeedUpdate &Update = Answer.Feeds.at(Feed::Endpoints);
  EXPECT_EQ(Update.Next, 10U);
  EXPECT_EQ(Update.Staleness, milliseconds(30));
  EXPECT_EQ(Update.Records,
            (std::vector<RelayedRecord>{{8, "record 8"}, {9, "record 9"}}));
  EXPECT_FALSE(Node.hasUpdate(report("a", 10)));
}

// Guards against a new coordinator that has to learn of group members from the
// store, where the records of live ones may have expired.
TEST(TreeNode, HostsThatMayCoordinateGetAllChanges) {
  TreeNode Node = node();
  ingest(Node, 0, 2);
  ingest(Node, page(2, 4), RoutingEffect::Other);
  Report Candidate = report("a", 1);
  Candidate.WantsAll = true;
  EXPECT_FALSE(Node.hasUpdate(report("b", 2)));
  Candidate.Next[Feed::Endpoints] = 2;
  EXPECT_TRUE(Node.hasUpdate(Candidate));
  const Response FullAnswer = Node.makeResponse(Candidate, Start);
  EXPECT_EQ(FullAnswer.Feeds.at(Feed::Endpoints).Records.size(), 2U);
  EXPECT_FALSE(FullAnswer.Feeds.at(Feed::Endpoints).Projected);
  const Response RoutingAnswer = Node.makeResponse(report("b", 2), Start);
  EXPECT_TRUE(RoutingAnswer.Feeds.at(Feed::Endpoints).Records.empty());
  EXPECT_TRUE(RoutingAnswer.Feeds.at(Feed::Endpoints).Projected);
}

// Guards against a relay that passes on records that were projected for it as
// if they were complete.
TEST(TreeNode, ProjectedPagesAreNotAllChanges) {
  TreeNode Node = node();
  ingest(Node, 0, 2);
  FeedPage ProjectedPage = page(2, 4);
  ProjectedPage.Projected = true;
  ingest(Node, ProjectedPage, RoutingEffect::Set);
  Report Candidate = report("a", 2);
  Candidate.WantsAll = true;
  EXPECT_TRUE(
      Node.makeResponse(Candidate, Start).Feeds.at(Feed::Endpoints).Projected);
}

// Guards against hosts that decode every heartbeat of a thousand endpoints.
TEST(TreeNode, RecordsThatDoNotMatterAreLeftOutAndMoveTheOffset) {
  TreeNode Node = node();
  ingest(Node, 0, 4);
  ingest(Node, page(4, 6), RoutingEffect::None);
  EXPECT_FALSE(Node.hasUpdate(report("a", 4)));
  const Response Answer = Node.makeResponse(report("a", 4), Start);
  EXPECT_EQ(Answer.Feeds.at(Feed::Endpoints).Next, 6U);
  EXPECT_TRUE(Answer.Feeds.at(Feed::Endpoints).Records.empty());
}

// Guards against taking a page that does not reach the end of the feed as proof
// that nothing newer exists.
TEST(TreeNode, PageThatDoesNotReachTheEndProvesNothing) {
  TreeNode Node = node();
  ingest(Node, 0, 4);
  FeedPage PartialPage = page(4, 6);
  PartialPage.End = 9;
  ingest(Node, PartialPage, RoutingEffect::Set, Start + seconds(3));
  const Response Answer = Node.makeResponse(report("a", 4), Start + seconds(3));
  EXPECT_EQ(Answer.Feeds.at(Feed::Endpoints).Staleness, seconds(3));
}

// Guards against a reporter that never receives the records in a gap of this
// host's log.
TEST(TreeNode, RelaysNothingAcrossAGap) {
  TreeNode Node = node();
  ingest(Node, 7, 10);
  ingest(Node, 12, 14);
  EXPECT_FALSE(Node.makeResponse(report("a", 10), Start)
                   .Feeds.contains(Feed::Endpoints));
  EXPECT_TRUE(Node.makeResponse(report("a", 12), Start)
                  .Feeds.contains(Feed::Endpoints));
}

// Guards against losing records that a host has read itself and that are then
// relayed to it again: they no longer change its view, and its reporters would
// never receive them.
TEST(TreeNode, RepeatedRecordsStayInTheLog) {
  for (const bool WantsAll : {false, true}) {
    TreeNode Node = node();
    ingest(Node, 4, 7);
    ingest(Node, page(4, 7), RoutingEffect::None);
    Report Received = report("a", 5);
    Received.WantsAll = WantsAll;
    EXPECT_TRUE(Node.hasUpdate(Received));
    const Response Answer = Node.makeResponse(Received, Start);
    ASSERT_TRUE(Answer.Feeds.contains(Feed::Endpoints));
    EXPECT_EQ(Answer.Feeds.at(Feed::Endpoints).Records.size(), 2U);
  }
}

// Guards against losing the new records of a page that begins with repeated
// ones.
TEST(TreeNode, AddsWhatIsBehindRepeatedRecords) {
  TreeNode Node = node();
  ingest(Node, 4, 7);
  FeedPage Page = page(5, 9);
  const std::vector<RoutingEffect> Effects{
      RoutingEffect::None, RoutingEffect::None, RoutingEffect::Set,
      RoutingEffect::Set};
  Node.ingest(Feed::Endpoints, Page, Effects, false, Start);
  Report Received = report("a", 4);
  Received.WantsAll = true;
  const FeedUpdate Update =
      Node.makeResponse(Received, Start).Feeds.at(Feed::Endpoints);
  EXPECT_EQ(Update.Next, 9U);
  EXPECT_EQ(Update.Records.size(), 5U);
}

// Guards against newest values that were read in several pages, some of them
// written meanwhile: read again as changes they have no effect and would not be
// relayed.
TEST(TreeNode, ServesNobodyAmongRecordsThatTheNewestValuesHad) {
  TreeNode Node = node();
  FeedPage Newest = page(0, 6);
  Newest.Next = 4;
  Newest.End = 4;
  ingest(Node, Newest, RoutingEffect::Set, Start, true);
  EXPECT_FALSE(Node.hasUpdate(newReporter()));
  ingest(Node, page(4, 6), RoutingEffect::None);
  EXPECT_TRUE(Node.hasUpdate(newReporter()));
  const Response Answer = Node.makeResponse(report("a", 5), Start);
  EXPECT_FALSE(Answer.Feeds.contains(Feed::Endpoints));
  EXPECT_TRUE(Answer.Truncated.contains(Feed::Endpoints));
}

TEST(TreeNode, ReporterThatIsTooFarBehindReadsForItself) {
  TreeNode Node = node();
  ingest(Node, 0, FeedLog::MostRecords + 5);
  EXPECT_FALSE(
      Node.makeResponse(report("a", 3), Start).Feeds.contains(Feed::Endpoints));
}

// Guards against a large configuration that delays all exchanges by a second
// while one link sends it to every reporter.
TEST(TreeNode, NamesALargeRecordInsteadOfRelayingIt) {
  TreeNode Node = node();
  ingest(Node, 0, 4);
  FeedPage Large = page(4, 5);
  Large.Records.front().Bytes.assign(FeedLog::LargestRecord + 1, 'x');
  ingest(Node, Large, RoutingEffect::Set);
  EXPECT_TRUE(Node.hasUpdate(report("a", 4)));
  const Response AnswerBehind = Node.makeResponse(report("a", 4), Start);
  EXPECT_FALSE(AnswerBehind.Feeds.contains(Feed::Endpoints));
  EXPECT_TRUE(AnswerBehind.Truncated.contains(Feed::Endpoints));
  const Response AnswerUpToDate = Node.makeResponse(report("a", 5), Start);
  EXPECT_TRUE(AnswerUpToDate.Feeds.contains(Feed::Endpoints));
  EXPECT_TRUE(AnswerUpToDate.Truncated.empty());
  EXPECT_FALSE(Node.hasUpdate(report("a", 5)));
}

TEST(TreeNode, NewcomerGetsTheNewestValues) {
  TreeNode Node = node();
  EXPECT_FALSE(Node.hasUpdate(newReporter()));
  ingest(Node, page(0, 3), RoutingEffect::Set, Start, true);
  ingest(Node, page(3, 4), RoutingEffect::Set);
  FeedPage RemovalPage = page(4, 5);
  RemovalPage.Records.front().Key = "key 1";
  ingest(Node, RemovalPage, RoutingEffect::Unset);
  const Response Answer = Node.makeResponse(newReporter(), Start);
  const FeedUpdate &Update = Answer.Feeds.at(Feed::Endpoints);
  EXPECT_TRUE(Update.Snapshot);
  EXPECT_EQ(Update.Next, 5U);
  EXPECT_EQ(Update.Records,
            (std::vector<RelayedRecord>{
                {0, "record 0"}, {2, "record 2"}, {3, "record 3"}}));
}

// Guards against new reporters that miss what was published before this node
// began to follow the feed.
TEST(TreeNode, MakesNoSnapshotWithoutAWholeRead) {
  TreeNode Node = node();
  ingest(Node, 3, 5);
  EXPECT_FALSE(
      Node.makeResponse(newReporter(), Start).Feeds.contains(Feed::Endpoints));
}

TEST(TreeNode, NewcomerReadsALargeValueItself) {
  TreeNode Node = node();
  FeedPage Large = page(0, 1);
  Large.Records.front().Bytes.assign(FeedLog::LargestRecord + 1, 'x');
  ingest(Node, Large, RoutingEffect::Set, Start, true);
  EXPECT_TRUE(Node.hasUpdate(newReporter()));
  const Response Answer = Node.makeResponse(newReporter(), Start);
  EXPECT_TRUE(Answer.Feeds.empty());
  EXPECT_TRUE(Answer.Truncated.contains(Feed::Endpoints));
}

RequestLoad loadAt(std::span<const EndpointLoad> Loads,
                   std::uint64_t Endpoint) {
  for (const EndpointLoad &Entry : Loads)
    if (Entry.Endpoint == Endpoint)
      return Entry.Load;
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
  Leaf.ToRelay = true;
  Leaf.Loads = {{7, {4, 0, 0, 0}}};
  Relay.recordReport(Leaf, Start);

  Report UpReport;
  UpReport.Host = HostName("relay");
  Relay.setSubtree(UpReport, Start);
  EXPECT_EQ(UpReport.Hosts, 2U);
  Root.recordReport(UpReport, Start);
  EXPECT_EQ(loadAt(Root.otherLoads(Start), 7).Running, 6U);
  const Response DownResponse = Root.makeResponse(UpReport, Start);
  EXPECT_EQ(DownResponse.Hosts, 3U);
  EXPECT_EQ(loadAt(DownResponse.Loads, 7).Running, 1U);

  Relay.recordOutside(DownResponse.Loads, Start);
  EXPECT_EQ(loadAt(Relay.otherLoads(Start), 7).Running, 5U);
  EXPECT_EQ(loadAt(Relay.makeResponse(Leaf, Start).Loads, 7).Running, 3U);
}

// Guards against hosts that are counted again with each exchange: two hosts
// that take each other for the coordinator report to each other, and a third
// one to one of them.
TEST(TreeNode, HostsThatReportToEachOtherCountEachHostOnce) {
  TreeNode Left{HostName("left")};
  TreeNode Right{HostName("right")};
  Report Leaf;
  Leaf.Host = HostName("leaf");
  Leaf.ToRelay = true;
  Leaf.Loads = {{7, {4, 0, 0, 0}}};
  for (TimePoint Now = Start; Now < Start + seconds(2);
       Now += milliseconds(100)) {
    Left.recordOwn({{7, {1, 0, 0, 0}}}, Now);
    Right.recordOwn({{7, {2, 0, 0, 0}}}, Now);
    Left.recordReport(Leaf, Now);
    Report FromLeft;
    FromLeft.Host = HostName("left");
    Left.setSubtree(FromLeft, Now);
    Right.recordReport(FromLeft, Now);
    Report FromRight;
    FromRight.Host = HostName("right");
    Right.setSubtree(FromRight, Now);
    Left.recordReport(FromRight, Now);
  }
  const TimePoint End = Start + milliseconds(1'900);
  EXPECT_EQ(Left.subtreeHosts(End), 3U);
  EXPECT_EQ(Right.subtreeHosts(End), 3U);
  EXPECT_EQ(loadAt(Right.subtreeLoads(End), 7).Running, 7U);
}

// Guards against loads that are added again with each exchange: two hosts that
// take each other for the coordinator pass on what the other one answered.
TEST(TreeNode, HostsThatReportToEachOtherCountEachLoadOnceInTheirResponses) {
  TreeNode Left{HostName("left")};
  TreeNode Right{HostName("right")};
  for (TimePoint Now = Start; Now < Start + seconds(2);
       Now += milliseconds(100)) {
    Left.recordOwn({{7, {1, 0, 0, 0}}}, Now);
    Right.recordOwn({{7, {2, 0, 0, 0}}}, Now);
    Report FromLeft;
    FromLeft.Host = HostName("left");
    Left.setSubtree(FromLeft, Now);
    Right.recordReport(FromLeft, Now);
    Left.recordOutside(Right.makeResponse(FromLeft, Now).Loads, Now);
    Report FromRight;
    FromRight.Host = HostName("right");
    Right.setSubtree(FromRight, Now);
    Left.recordReport(FromRight, Now);
    Right.recordOutside(Left.makeResponse(FromRight, Now).Loads, Now);
  }
  const TimePoint End = Start + milliseconds(1'900);
  EXPECT_EQ(loadAt(Left.otherLoads(End), 7).Running, 2U);
  EXPECT_EQ(loadAt(Right.otherLoads(End), 7).Running, 1U);
}

// As above, with reports that neither of them records, since each knows another
// coordinator.
TEST(TreeNode, MisdirectedReportsAreAnsweredWithEachLoadOnce) {
  TreeNode Left{HostName("left")};
  TreeNode Right{HostName("right")};
  for (TimePoint Now = Start; Now < Start + seconds(2);
       Now += milliseconds(100)) {
    Left.recordOwn({{7, {1, 0, 0, 0}}}, Now);
    Right.recordOwn({{7, {2, 0, 0, 0}}}, Now);
    Report FromLeft;
    FromLeft.Host = HostName("left");
    Left.recordOutside(Right.makeResponse(FromLeft, Now).Loads, Now);
    Report FromRight;
    FromRight.Host = HostName("right");
    Right.recordOutside(Left.makeResponse(FromRight, Now).Loads, Now);
  }
  const TimePoint End = Start + milliseconds(1'900);
  EXPECT_EQ(loadAt(Left.otherLoads(End), 7).Running, 2U);
  EXPECT_EQ(loadAt(Right.otherLoads(End), 7).Running, 1U);
}

std::vector<DemandRow> demandOf(double Offered) {
  DemandRates Rates;
  Rates.Offered = Offered;
  return {{{7, 9, 0}, Rates}};
}

const EngineAddress Upstream{"10.0.0.1", 7};
const EngineAddress OtherUpstream{"10.0.0.2", 7};

/// Demand that a node's report to an upstream carries.
std::optional<DemandSum> demandSent(TreeNode &Node,
                                    const EngineAddress &Receiver, bool ToRelay,
                                    TimePoint Now) {
  Report Sent;
  Sent.ToRelay = ToRelay;
  Node.setDemand(Sent, Receiver, Now);
  return Sent.Demand;
}

Report demandReport(const char *Host, double Offered, bool ToRelay) {
  Report Result;
  Result.Host = HostName(Host);
  Result.ToRelay = ToRelay;
  Result.Demand = DemandSum{demandOf(Offered), 1, {}};
  return Result;
}

// Hosts that do not follow the demand send what they sent before.
TEST(TreeNode, WithoutDemandReportsAreAsBefore) {
  TreeNode Node = node();
  Node.recordOwn({{7, {1, 0, 0, 0}}}, Start);
  Report Plain;
  Plain.Host = HostName("self");
  Node.setSubtree(Plain, Start);
  const std::string Before = encode(Plain);
  Node.setDemand(Plain, Upstream, Start);
  EXPECT_EQ(encode(Plain), Before);
}

TEST(TreeNode, DemandIsSentAtIntervals) {
  TreeNode Node = node();
  Node.recordOwnDemand(demandOf(2.0), Start);
  EXPECT_TRUE(demandSent(Node, Upstream, false, Start));
  const TimePoint Due = Start + TreeNode::DemandInterval;
  EXPECT_FALSE(demandSent(Node, Upstream, false, Due - milliseconds(1)));
  EXPECT_TRUE(demandSent(Node, Upstream, false, Due));
}

TEST(TreeNode, RelayReportsTheDemandBelowIt) {
  TreeNode Node = node();
  Node.recordOwnDemand(demandOf(2.0), Start);
  Node.recordReport(demandReport("a", 3.0, true), Start);
  Node.recordReport(demandReport("b", 4.0, false), Start);
  const auto Sent = demandSent(Node, Upstream, false, Start);
  ASSERT_TRUE(Sent);
  EXPECT_EQ(Sent->Hosts, 2U);
  EXPECT_EQ(Sent->Rows.front().Rates.Offered, 5.0);
  EXPECT_EQ(Node.demand(Start).Rows.front().Rates.Offered, 9.0);
}

// Guards against a new coordinator that waits for demand until its reporters'
// next interval.
TEST(TreeNode, NewCoordinatorIsToldTheDemandAtOnce) {
  TreeNode Node = node();
  Node.recordOwnDemand(demandOf(2.0), Start);
  EXPECT_TRUE(demandSent(Node, Upstream, false, Start));
  EXPECT_TRUE(demandSent(Node, OtherUpstream, false, Start + milliseconds(1)));
}

// Guards against demand that a former relay still reports and that the next
// upstream reports as well.
TEST(TreeNode, DemandIsNotSentTwiceAfterARelay) {
  TreeNode Node = node();
  Node.recordOwnDemand(demandOf(2.0), Start);
  EXPECT_TRUE(demandSent(Node, Upstream, true, Start));
  const TimePoint Dropped = Start + DemandAggregator::ReportLife;
  Node.recordOwnDemand(demandOf(2.0), Dropped - milliseconds(1));
  EXPECT_FALSE(
      demandSent(Node, OtherUpstream, false, Dropped - milliseconds(1)));
  EXPECT_TRUE(demandSent(Node, OtherUpstream, false, Dropped));
}

// Guards against a reporter that counts at the coordinator and at the relay
// that it was assigned to.
TEST(TreeNode, AssignedReporterIsNoLongerInTheDemand) {
  TreeNode Node = node();
  Node.recordOwn({}, Start);
  Node.recordOwnDemand(demandOf(1.0), Start);
  std::size_t Assigned = 0;
  constexpr std::size_t Hosts = 2 * RelayAssignment::MostReporters;
  for (std::size_t Index = 0; Index < Hosts; ++Index) {
    const std::string Name = std::to_string(Index) + ":1/x";
    Report Received = demandReport(Name.c_str(), 1.0, false);
    Received.CanRelay = true;
    Node.recordReport(Received, Start);
    Assigned += Node.assignRelay(Received, Start) ? 1 : 0;
  }
  EXPECT_GT(Assigned, 0U);
  EXPECT_EQ(Node.demand(Start).Hosts, Hosts + 1 - Assigned);
}

// Guards against demand that grows with each exchange of two hosts that take
// each other for the coordinator.
TEST(TreeNode, DemandOfTwoCoordinatorsCountsOnce) {
  TreeNode Left{HostName("left")};
  TreeNode Right{HostName("right")};
  TimePoint Now = Start;
  for (; Now < Start + seconds(10); Now += milliseconds(100)) {
    Left.recordOwnDemand(demandOf(1.0), Now);
    Right.recordOwnDemand(demandOf(2.0), Now);
    Report FromLeft;
    FromLeft.Host = HostName("left");
    Left.setDemand(FromLeft, OtherUpstream, Now);
    Right.recordReport(FromLeft, Now);
    Report FromRight;
    FromRight.Host = HostName("right");
    Right.setDemand(FromRight, Upstream, Now);
    Left.recordReport(FromRight, Now);
    ASSERT_EQ(Left.demand(Now).Rows.front().Rates.Offered, 3.0);
    ASSERT_EQ(Right.demand(Now).Rows.front().Rates.Offered, 3.0);
    ASSERT_EQ(Left.demand(Now).Hosts, 2U);
  }
}

TEST(TreeNode, FormerCoordinatorForgetsTheDemandOfOthers) {
  TreeNode Node = node();
  Node.recordReport(demandReport("leaf", 4.0, false), Start);
  Node.forgetReporters();
  Node.recordOwnDemand(demandOf(1.0), Start);
  EXPECT_EQ(Node.demand(Start).Hosts, 1U);
}

// Guards against a former coordinator that keeps reporting loads of hosts that
// now report to its successor.
TEST(TreeNode, FormerCoordinatorReportsOnlyItself) {
  TreeNode Node = node();
  Node.recordOwn({{7, {1, 0, 0, 0}}}, Start);
  Report Leaf;
  Leaf.Host = HostName("leaf");
  Leaf.Loads = {{7, {4, 0, 0, 0}}};
  Node.recordReport(Leaf, Start);
  Node.forgetReporters();
  Node.recordOwn({{7, {1, 0, 0, 0}}}, Start);
  EXPECT_EQ(Node.subtreeHosts(Start), 1U);
  EXPECT_EQ(loadAt(Node.subtreeLoads(Start), 7).Running, 1U);
}

// Guards against leaders that look full for ever after their upstream has
// failed.
TEST(TreeNode, LoadsFromOutsideExpire) {
  TreeNode Node = node();
  Node.recordOutside({{7, {5, 0, 0, 0}}}, Start);
  EXPECT_FALSE(Node.otherLoads(Start).empty());
  EXPECT_TRUE(Node.otherLoads(Start + LoadAggregator::ReportLife).empty());
}

// Guards against a relay that proves an old configuration current: it has gone
// back to newest values from an older reading, and their age must be told.
TEST(TreeNode, OlderNewestValuesAreNotAsRecentAsWhatWasKnownBefore) {
  TreeNode Node = node();
  ingest(Node, page(0, 9), RoutingEffect::Set, Start + seconds(2), true);
  ingest(Node, page(0, 7), RoutingEffect::Set, Start, true);
  const Response Answer = Node.makeResponse(newReporter(), Start + seconds(3));
  ASSERT_TRUE(Answer.Feeds.contains(Feed::Endpoints));
  EXPECT_EQ(Answer.Feeds.at(Feed::Endpoints).Next, 7U);
  EXPECT_EQ(Answer.Feeds.at(Feed::Endpoints).Staleness, seconds(3));
}

TEST(DisseminationMessages, SurviveEncoding) {
  Report Original = report("host-1", 12);
  Original.DataCentre = DataCentreName("north");
  Original.Hosts = 5;
  Original.CanRelay = true;
  Original.ToRelay = true;
  Original.FailedRelay = "10.0.0.1:7";
  Original.Missing = {Feed::Operators};
  Original.Loads = {{~std::uint64_t{0}, {1, 2, 3, 4}}};
  Original.Stalled = {"i-1"};
  const Report Decoded = decodeReport(encode(Original));
  EXPECT_EQ(Decoded.Host, Original.Host);
  EXPECT_EQ(Decoded.DataCentre, Original.DataCentre);
  EXPECT_EQ(Decoded.Hosts, Original.Hosts);
  EXPECT_TRUE(Decoded.CanRelay);
  EXPECT_TRUE(Decoded.ToRelay);
  EXPECT_EQ(Decoded.FailedRelay, Original.FailedRelay);
  EXPECT_EQ(Decoded.Loads.at(0).Load, Original.Loads.at(0).Load);
  EXPECT_EQ(Decoded.Next, Original.Next);
  EXPECT_EQ(Decoded.Missing, Original.Missing);
  EXPECT_EQ(Decoded.Stalled, Original.Stalled);

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
  const Response DecodedAnswer = decodeResponse(encode(Answer));
  EXPECT_EQ(DecodedAnswer.Hosts, 9U);
  EXPECT_EQ(DecodedAnswer.Hold, Answer.Hold);
  EXPECT_TRUE(DecodedAnswer.Coordinates);
  EXPECT_TRUE(DecodedAnswer.CoordinatorHeard);
  EXPECT_TRUE(DecodedAnswer.LeaseHeard);
  EXPECT_EQ(DecodedAnswer.Coordinator, Answer.Coordinator);
  EXPECT_EQ(DecodedAnswer.Relay, Answer.Relay);
  EXPECT_EQ(DecodedAnswer.Truncated, Answer.Truncated);
  EXPECT_TRUE(DecodedAnswer.Feeds.at(Feed::Operators).Snapshot);
  EXPECT_EQ(DecodedAnswer.Feeds.at(Feed::Operators).Records,
            Answer.Feeds[Feed::Operators].Records);
}

// Guards against rejecting responses that name neither a coordinator nor a
// relay.
TEST(DisseminationMessages, PlainResponsesSurviveEncoding) {
  const Response Decoded = decodeResponse(encode(Response{}));
  EXPECT_FALSE(Decoded.Coordinator);
  EXPECT_FALSE(Decoded.Relay);
  EXPECT_FALSE(Decoded.Coordinates);
}

TEST(DisseminationMessages, RefuseWhatIsNoMessage) {
  EXPECT_THROW((void)decodeReport("no CBOR"), Error);
  EXPECT_THROW((void)decodeResponse(""), Error);
}

} // namespace

} // namespace coltsfoottrail
