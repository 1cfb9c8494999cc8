#include "coltsfoottrail/fleethost/view.hpp"

#include "coltsfoottrail/boundary/wire.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

PublishedConfig config(std::uint64_t Version) {
  PublishedConfig Result;
  Result.Version = Version;
  ServiceProfile Drafts;
  Drafts.Name = ServiceName("draft");
  Drafts.Engine.emplace();
  ServedModel Model;
  Model.Name = ModelName("m");
  Drafts.Engine->Models.push_back(Model);
  Result.Services.push_back(Drafts);
  return Result;
}

FeedPage page(FleetChange Change) {
  FeedPage Result;
  Result.Changes.push_back(std::move(Change));
  return Result;
}

EndpointRecord leader() {
  EndpointRecord Result;
  Result.Name = EndpointName("head");
  Result.Service = ServiceName("draft");
  Result.DataCentre = DataCentreName("north");
  Result.Slots = 26;
  Result.Loaded = {ModelName("m")};
  Result.Seat = GroupSeat{"g", 7, 0, SeatPhase::Open};
  return Result;
}

FleetView readyView() {
  FleetView View{FleetBounds{}};
  View.ingest(Feed::Operators, page(ConfigPublished{config(5)}), true, Start,
              Start);
  View.ingest(Feed::Endpoints, page(EndpointPublished{leader()}), true, Start,
              Start);
  return View;
}

std::size_t endpointsOf(const FleetView &View) {
  return View.routes().Table.Pools.at("model/draft/m").Endpoints.size();
}

// Guards against a leaving endpoint that gets work again by its next record,
// and against a new process of the same name that gets none.
TEST(FleetView, LeavingProcessDrainsWhateverItsRecordsSay) {
  FleetView View = readyView();
  EndpointRecord Next = leader();
  const std::string Process = FleetView::processName(Next);
  EXPECT_TRUE(View.recordLeaving(Process, Start));
  EXPECT_EQ(endpointsOf(View), 0U);
  EXPECT_FALSE(View.recordLeaving(Process, Start));
  Next.Sequence = 9;
  View.ingest(Feed::Endpoints, page(EndpointPublished{Next}), false, Start,
              Start);
  EXPECT_EQ(endpointsOf(View), 0U);
  Next.StartedAtMs += 1;
  View.ingest(Feed::Endpoints, page(EndpointPublished{Next}), false, Start,
              Start);
  EXPECT_EQ(endpointsOf(View), 1U);
}

// Guards against a host that hears of a leaving endpoint before it knows its
// record.
TEST(FleetView, LeavingMayBeHeardBeforeTheRecord) {
  FleetView View{FleetBounds{}};
  EXPECT_FALSE(View.recordLeaving(FleetView::processName(leader()), Start));
  View.ingest(Feed::Operators, page(ConfigPublished{config(5)}), true, Start,
              Start);
  View.ingest(Feed::Endpoints, page(EndpointPublished{leader()}), true, Start,
              Start);
  EXPECT_EQ(endpointsOf(View), 0U);
}

// Guards against trusting credentials that a configuration which this host
// cannot read may have taken away.
TEST(FleetView, UnreadableConfigurationLeavesNoneCurrent) {
  FleetView View = readyView();
  const TimePoint Later = Start + milliseconds(2'500);
  const std::vector<RoutingEffect> Effects =
      View.ingest(Feed::Operators, page(UnreadableEntry{"config", "a number"}),
                  false, Later, Later);
  EXPECT_EQ(Effects, std::vector<RoutingEffect>{RoutingEffect::Set});
  EXPECT_FALSE(View.credentialsFresh(Later));
  EXPECT_FALSE(View.routesFresh(Later));
  View.ingest(Feed::Operators, page(ConfigPublished{config(9)}), false, Later,
              Later);
  EXPECT_TRUE(View.credentialsFresh(Later));
}

// Guards against rejecting callers of a new route: an overloaded store returns
// the operators' feed in parts. Each read is answered, but this host stays
// behind the newest version.
TEST(FleetView, ReadsThatDoNotReachTheEndProveNoConfiguration) {
  FleetView View = readyView();
  FeedPage Part = page(ConfigPublished{config(6)});
  Part.Next = 7;
  Part.End = 9;
  const TimePoint Later = Start + seconds(10);
  View.ingest(Feed::Operators, Part, false, Later, Later);
  EXPECT_EQ(View.config()->version(), 6U);
  EXPECT_FALSE(View.credentialsFresh(Later));
  Part.Next = 9;
  View.ingest(Feed::Operators, Part, false, Later, Later);
  EXPECT_TRUE(View.credentialsFresh(Later));
}

// Guards against an old configuration that stays in use while the store answers
// but the reads do not reach the end of the feed.
TEST(FleetView, StarvedConfigurationIsNotTrustedBeyondItsBound) {
  FleetBounds Bounds;
  Bounds.Configuration = milliseconds(2'000);
  FleetView View(Bounds);
  View.ingest(Feed::Operators, page(ConfigPublished{config(5)}), true, Start,
              Start);
  const TimePoint Later = Start + milliseconds(1'900);
  FeedPage Part = page(EndpointPublished{leader()});
  Part.Next = 5;
  Part.End = 90;
  View.recordNoAnswer(Start + milliseconds(1'000));
  EXPECT_TRUE(View.credentialsFresh(Later));
  View.ingest(Feed::Endpoints, Part, false, Later, Later);
  EXPECT_FALSE(View.credentialsFresh(Later));
  View.ingest(Feed::Operators, FeedPage{}, false, Later, Later);
  EXPECT_TRUE(View.credentialsFresh(Later));
}

// Guards against the same while the store answers only that the records are
// deleted.
TEST(FleetView, DeletedRecordsAreAnAnswerOfTheStore) {
  FleetView View = readyView();
  const TimePoint Later = Start + milliseconds(1'900);
  View.recordNoAnswer(Start + milliseconds(1'000));
  EXPECT_TRUE(View.credentialsFresh(Later));
  View.recordAnswer(Later);
  EXPECT_FALSE(View.credentialsFresh(Later));
}

FeedPage projected(FleetChange Change) {
  FeedPage Result = page(std::move(Change));
  Result.Projected = true;
  return Result;
}

// Guards against a coordinator that takes the relayed endpoints for all that
// exist, and assigns members of groups that it cannot see to other groups.
TEST(FleetView, RelayedRecordsAreNotAllEndpoints) {
  FleetView View = readyView();
  EXPECT_TRUE(View.knowsAllEndpoints());
  EXPECT_EQ(View.allEndpointsAsOf(), Start);
  const TimePoint Later = Start + seconds(1);
  View.ingest(Feed::Endpoints, projected(EndpointRemoved{EndpointName("x")}),
              false, Later, Later);
  EXPECT_EQ(View.allEndpointsAsOf(), TimePoint{});
  View.ingest(Feed::Endpoints, FeedPage{}, false, Later, Later);
  EXPECT_EQ(View.allEndpointsAsOf(), TimePoint{});
  View.ingest(Feed::Endpoints, page(EndpointPublished{leader()}), true, Later,
              Later);
  EXPECT_EQ(View.allEndpointsAsOf(), Later);
}

// Guards against members and heartbeats being relayed to every host.
TEST(FleetView, OnlyLeadersMatterToRouting) {
  FleetView View = readyView();
  EndpointRecord Member = leader();
  Member.Name = EndpointName("member");
  Member.Seat->Rank = 1;
  using Effects = std::vector<RoutingEffect>;
  const auto Publish = [&](const EndpointRecord &Record) {
    return View.ingest(Feed::Endpoints, page(EndpointPublished{Record}), false,
                       Start, Start);
  };
  EXPECT_EQ(Publish(Member), Effects{RoutingEffect::Other});
  EXPECT_EQ(Publish(Member), Effects{RoutingEffect::None});
  EXPECT_EQ(Publish(leader()), Effects{RoutingEffect::None});
  EndpointRecord Closed = leader();
  Closed.Seat->Phase = SeatPhase::Closing;
  EXPECT_EQ(Publish(Closed), Effects{RoutingEffect::Unset});
  EXPECT_EQ(Publish(leader()), Effects{RoutingEffect::Set});
  EXPECT_EQ(View.ingest(Feed::Endpoints,
                        page(EndpointRemoved{EndpointName("head")}), false,
                        Start, Start),
            Effects{RoutingEffect::Unset});
}

// Guards against hosts that refuse their callers while the store is unavailable
// and no host can have obtained a newer configuration.
TEST(FleetView, ConfigurationIsTrustedWhileTheStoreIsAway) {
  FleetView View = readyView();
  View.recordNoAnswer(Start + milliseconds(3'000));
  EXPECT_TRUE(View.credentialsFresh(Start + milliseconds(4'200)));
}

// Guards against callers served by a configuration beyond its bound while the
// store answers others: no read of this host shows that the store is away, or
// the last one that does was sent too long ago.
TEST(FleetView, ConfigurationBeyondItsBoundIsNotTrustedWithoutAFailedRead) {
  FleetView View = readyView();
  EXPECT_TRUE(View.credentialsFresh(Start + milliseconds(1'700)));
  EXPECT_FALSE(View.credentialsFresh(Start + milliseconds(1'900)));
  View.recordNoAnswer(Start + milliseconds(1'000));
  EXPECT_TRUE(View.credentialsFresh(Start + milliseconds(1'900)));
  EXPECT_TRUE(View.credentialsFresh(Start + milliseconds(2'700)));
  EXPECT_FALSE(View.credentialsFresh(Start + milliseconds(2'900)));
}

// Guards against a host that is slow to read the feed after the store is back
// and keeps serving routes that were withdrawn meanwhile.
TEST(FleetView, RoutesAreTrustedForTheBoundOfConfigurations) {
  const FleetView View = readyView();
  EXPECT_TRUE(View.routesFresh(Start + milliseconds(1'500)));
  EXPECT_FALSE(View.routesFresh(Start + FleetBounds{}.Configuration));
  EXPECT_FALSE(FleetView{FleetBounds{}}.routesFresh(Start));
}

// Guards against serving callers by withdrawn routes after the store was read
// again from an earlier point, or a response was overtaken by a newer one.
TEST(FleetView, ConfigurationNeverGoesBack) {
  FleetView View = readyView();
  View.ingest(Feed::Operators, page(ConfigPublished{config(4)}), false, Start,
              Start);
  EXPECT_EQ(View.config()->version(), 5U);
}

// Guards against accepting a withdrawn credential on a host that cannot reach
// the store. Nothing proves that its configuration is current, so credentials
// count as stale before the limit is reached. A late response to an old request
// proves the configuration only as of that request.
TEST(FleetView, CredentialsAreStaleBeforeTheBoundEnds) {
  FleetView View = readyView();
  View.recordNoAnswer(Start + seconds(4));
  EXPECT_TRUE(View.ready(Start + seconds(4)));
  EXPECT_FALSE(View.ready(Start + seconds(5)));
  View.ingest(Feed::Operators, FeedPage{}, false, Start, Start + seconds(6));
  EXPECT_FALSE(View.ready(Start + seconds(6)));
  View.ingest(Feed::Operators, FeedPage{}, false, Start + seconds(6),
              Start + seconds(7));
  EXPECT_TRUE(View.ready(Start + seconds(7)));
}

TEST(FleetView, OnlyOpenLeadersOutsideDrainsGetWork) {
  FleetView View = readyView();
  EXPECT_EQ(endpointsOf(View), 1U);
  View.ingest(Feed::Operators, page(DataCentreDrained{DataCentreName("north")}),
              false, Start, Start);
  EXPECT_EQ(endpointsOf(View), 0U);
  View.ingest(Feed::Operators,
              page(DataCentreReturned{DataCentreName("north")}), false, Start,
              Start);
  EndpointRecord Closed = leader();
  Closed.Seat->Phase = SeatPhase::Ready;
  View.ingest(Feed::Endpoints, page(EndpointPublished{Closed}), false, Start,
              Start);
  EXPECT_EQ(endpointsOf(View), 0U);
}

// Guards against counting streams that a closing leader broke as failures
// caused by their requests.
TEST(FleetView, LeaderThatClosesAndLivesIsTold) {
  FleetView View = readyView();
  const auto Publish = [&](EndpointRecord Record) {
    View.ingest(Feed::Endpoints, page(EndpointPublished{std::move(Record)}),
                false, Start, Start);
    return View.takeClosed();
  };
  EndpointRecord Record = leader();
  EXPECT_TRUE(Publish(Record).empty());
  Record.Seat->Phase = SeatPhase::Ready;
  const auto Closed = Publish(Record);
  ASSERT_EQ(Closed.size(), 1U);
  EXPECT_EQ(Closed.front().Pool, "model/draft/m");
  EXPECT_EQ(Closed.front().Key, FleetView::endpointKey(leader()));
  EXPECT_TRUE(Publish(Record).empty());
  EXPECT_TRUE(Publish(leader()).empty());
  Record = leader();
  ++Record.StartedAtMs;
  Record.Seat.reset();
  EXPECT_TRUE(Publish(Record).empty());
}

TEST(FleetView, SuspendedEndpointGetsNoShareForAWhile) {
  FleetView View = readyView();
  View.suspend(EndpointName("head"), FleetView::SilentSuspension, Start);
  EXPECT_EQ(View.routes().Shares.begin()->second, 0U);
  View.advance(Start + seconds(3));
  EXPECT_EQ(View.routes().Shares.begin()->second, 26U);
}

// Guards against a leader that refuses all requests immediately, looks idle
// because of that, and attracts the requests of all hosts.
TEST(FleetView, UnusableEndpointGetsNoShareUntilItsGroupIsFormedAgain) {
  FleetView View = readyView();
  View.suspend(EndpointName("head"), FleetView::UnusableSuspension, Start);
  View.advance(Start + seconds(3));
  EXPECT_EQ(View.routes().Shares.begin()->second, 0U);
  EndpointRecord Reformed = leader();
  Reformed.Seat->Epoch = 8;
  Reformed.Sequence = 9;
  View.ingest(Feed::Endpoints, page(EndpointPublished{Reformed}), false, Start,
              Start);
  EXPECT_EQ(View.routes().Shares.begin()->second, 26U);
}

// Guards against serving by a configuration beyond its bound although the store
// has answered a read that was sent after the one that failed.
TEST(FleetView, AnswerAfterAFailedReadEndsTheTrustBeyondTheBound) {
  FleetView View = readyView();
  View.recordNoAnswer(Start + milliseconds(500));
  View.recordAnswer(Start + milliseconds(1'000));
  EXPECT_TRUE(View.credentialsFresh(Start + milliseconds(1'500)));
  EXPECT_FALSE(View.credentialsFresh(Start + milliseconds(2'000)));
}

// Guards against requests to a drained data centre: newest values from an older
// reading do not hold its drain.
TEST(FleetView, OlderNewestValuesDoNotReturnADataCentre) {
  FleetView View = readyView();
  FeedPage Known = page(DataCentreDrained{DataCentreName("north")});
  Known.Next = Known.End = 9;
  View.ingest(Feed::Operators, Known, false, Start + seconds(1),
              Start + seconds(1));
  ASSERT_TRUE(View.drained().contains(DataCentreName("north")));
  FeedPage Older = page(ConfigPublished{config(5)});
  Older.Next = Older.End = 7;
  View.ingest(Feed::Operators, Older, true, Start, Start + seconds(2));
  EXPECT_TRUE(View.drained().contains(DataCentreName("north")));
}

TEST(ResponseMetadata,
     OnlyARefusalThatBlamesAnotherEngineProvesAnEndpointUnusable) {
  const EngineAddress Target{"10.0.0.1", 80};
  ResponseMetadata Full;
  Full.NotRun = true;
  EXPECT_FALSE(Full.provesUnusable(Target));
  Full.FaultyEngine = "10.0.0.1:80";
  EXPECT_FALSE(Full.provesUnusable(Target));
  ResponseMetadata Broken = Full;
  Broken.FaultyEngine = "10.0.0.2:80";
  EXPECT_TRUE(Broken.provesUnusable(Target));
  ResponseMetadata Served;
  Served.FaultyEngine = "10.0.0.2:80";
  EXPECT_FALSE(Served.provesUnusable(Target));
  ResponseMetadata Reused;
  Reused.WrongEndpoint = true;
  EXPECT_TRUE(Reused.provesUnusable(Target));
}

// Guards against overloading the endpoints of a data centre that is returned to
// service: they are cold, but the records that say so are still on their way.
TEST(FleetView, EndpointsOfAReturnedDataCentreCountAsColdAtFirst) {
  FleetView View = readyView();
  const DataCentreName North("north");
  View.ingest(Feed::Operators, page(DataCentreDrained{North}), false, Start,
              Start);
  View.ingest(Feed::Operators, page(DataCentreReturned{North}), false, Start,
              Start);
  EXPECT_EQ(View.routes().Shares.begin()->second, 0U);
  View.advance(Start + seconds(3));
  EXPECT_EQ(View.routes().Shares.begin()->second, 26U);
}

// Guards against requests to an endpoint that left two seconds ago: one read of
// the store has failed, and the removal is held back as if records had expired
// in an outage, but no live endpoint's record expires that soon.
TEST(FleetView, RemovalAfterAShortFailureIsReal) {
  FleetView View = readyView();
  const TimePoint Later = Start + seconds(2);
  View.ingest(Feed::Endpoints, page(EndpointRemoved{EndpointName("head")}),
              false, Later, Later);
  EXPECT_EQ(endpointsOf(View), 0U);
}

TEST(FleetView, RemovalAfterAnOutageIsHeldBack) {
  FleetView View = readyView();
  const TimePoint Later = Start + seconds(3);
  View.ingest(Feed::Endpoints, page(EndpointRemoved{EndpointName("head")}),
              false, Later, Later);
  EXPECT_EQ(endpointsOf(View), 1U);
  View.advance(Later + EndpointCatalogue::SettleTime);
  EXPECT_EQ(endpointsOf(View), 0U);
}

TEST(FleetView, ColdEndpointWaitsForItsTurn) {
  FleetView View = readyView();
  EndpointRecord Cold = leader();
  Cold.ColdFor = seconds(3);
  View.ingest(Feed::Endpoints, page(EndpointPublished{Cold}), false, Start,
              Start);
  EXPECT_EQ(View.routes().Shares.begin()->second, 0U);
}

} // namespace

} // namespace coltsfoottrail
