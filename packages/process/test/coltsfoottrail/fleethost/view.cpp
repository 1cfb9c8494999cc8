#include "coltsfoottrail/fleethost/view.hpp"

#include "coltsfoottrail/boundary/wire.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

PublishedConfig config(std::uint64_t Version) {
  PublishedConfig Out;
  Out.Version = Version;
  ServiceProfile Drafts;
  Drafts.Name = ServiceName("draft");
  Drafts.Engine.emplace();
  ServedModel Model;
  Model.Name = ModelName("m");
  Drafts.Engine->Models.push_back(Model);
  Out.Services.push_back(Drafts);
  return Out;
}

FeedPage page(FleetChange Change) {
  FeedPage Out;
  Out.Changes.push_back(std::move(Change));
  return Out;
}

EndpointRecord leader() {
  EndpointRecord Out;
  Out.Name = EndpointName("head");
  Out.Service = ServiceName("draft");
  Out.DataCentre = DataCentreName("north");
  Out.Slots = 26;
  Out.Loaded = {ModelName("m")};
  Out.Seat = GroupSeat{"g", 7, 0, SeatPhase::Open};
  return Out;
}

FleetView sound() {
  FleetView View{FleetBounds{}};
  View.take(Feed::Operators, page(ConfigPublished{config(5)}), true, Start,
            Start);
  View.take(Feed::Endpoints, page(EndpointPublished{leader()}), true, Start,
            Start);
  return View;
}

std::size_t endpointsOf(const FleetView &View) {
  return View.routes().Table.Pools.at("model/draft/m").Endpoints.size();
}

// Callers of a new route hear that there is none.
// The store is overloaded and gives the operators' feed in parts; each read is
// answered, and this host stays behind the newest version all the while.
TEST(FleetView, ReadsThatDoNotReachTheEndProveNoConfiguration) {
  FleetView View = sound();
  FeedPage Part = page(ConfigPublished{config(6)});
  Part.Next = 7;
  Part.End = 9;
  const TimePoint Later = Start + seconds(10);
  View.take(Feed::Operators, Part, false, Later, Later);
  EXPECT_EQ(View.config()->version(), 6U);
  EXPECT_FALSE(View.credentialsFresh(Later));
  Part.Next = 9;
  View.take(Feed::Operators, Part, false, Later, Later);
  EXPECT_TRUE(View.credentialsFresh(Later));
}

// Guards against an old configuration that serves on while the store answers
// and its reads do not reach the end.
TEST(FleetView, StarvedConfigurationIsNotTrustedBeyondItsBound) {
  FleetBounds Bounds;
  Bounds.Configuration = milliseconds(2'000);
  FleetView View(Bounds);
  View.take(Feed::Operators, page(ConfigPublished{config(5)}), true, Start,
            Start);
  const TimePoint Later = Start + milliseconds(1'900);
  FeedPage Part = page(EndpointPublished{leader()});
  Part.Next = 5;
  Part.End = 90;
  EXPECT_TRUE(View.credentialsFresh(Later));
  View.take(Feed::Endpoints, Part, false, Later, Later);
  EXPECT_FALSE(View.credentialsFresh(Later));
  View.take(Feed::Operators, FeedPage{}, false, Later, Later);
  EXPECT_TRUE(View.credentialsFresh(Later));
}

FeedPage projected(FleetChange Change) {
  FeedPage Out = page(std::move(Change));
  Out.Projected = true;
  return Out;
}

// Guards against a coordinator that takes the endpoints which were relayed to
// it for all there are, and gives away members of groups that it cannot see.
TEST(FleetView, RelayedRecordsAreNotAllEndpoints) {
  FleetView View = sound();
  EXPECT_TRUE(View.knowsAllEndpoints());
  EXPECT_EQ(View.allEndpointsAsOf(), Start);
  const TimePoint Later = Start + seconds(1);
  View.take(Feed::Endpoints, projected(EndpointRemoved{EndpointName("x")}),
            false, Later, Later);
  EXPECT_EQ(View.allEndpointsAsOf(), TimePoint{});
  View.take(Feed::Endpoints, FeedPage{}, false, Later, Later);
  EXPECT_EQ(View.allEndpointsAsOf(), TimePoint{});
  View.take(Feed::Endpoints, page(EndpointPublished{leader()}), true, Later,
            Later);
  EXPECT_EQ(View.allEndpointsAsOf(), Later);
}

// Guards against members and heartbeats being relayed to every host.
TEST(FleetView, OnlyLeadersMatterToRouting) {
  FleetView View = sound();
  EndpointRecord Member = leader();
  Member.Name = EndpointName("member");
  Member.Seat->Rank = 1;
  using Effects = std::vector<RoutingEffect>;
  const auto Publish = [&](const EndpointRecord &Record) {
    return View.take(Feed::Endpoints, page(EndpointPublished{Record}), false,
                     Start, Start);
  };
  EXPECT_EQ(Publish(Member), Effects{RoutingEffect::Other});
  EXPECT_EQ(Publish(Member), Effects{RoutingEffect::None});
  EXPECT_EQ(Publish(leader()), Effects{RoutingEffect::None});
  EndpointRecord Closed = leader();
  Closed.Seat->Phase = SeatPhase::Closing;
  EXPECT_EQ(Publish(Closed), Effects{RoutingEffect::Unset});
  EXPECT_EQ(Publish(leader()), Effects{RoutingEffect::Set});
  EXPECT_EQ(View.take(Feed::Endpoints,
                      page(EndpointRemoved{EndpointName("head")}), false, Start,
                      Start),
            Effects{RoutingEffect::Unset});
}

// Guards against hosts that refuse their callers although the store is away,
// when nobody can have a newer configuration from it.
TEST(FleetView, ConfigurationIsTrustedWhileTheStoreIsAway) {
  FleetView View = sound();
  EXPECT_TRUE(View.credentialsFresh(Start + milliseconds(4'200)));
}

// Guards against a host that is slow to follow after the store's return and
// goes on serving routes that were withdrawn meanwhile.
TEST(FleetView, RoutesAreTrustedForTheBoundOfConfigurations) {
  const FleetView View = sound();
  EXPECT_TRUE(View.routesFresh(Start + milliseconds(1'500)));
  EXPECT_FALSE(View.routesFresh(Start + FleetBounds{}.Configuration));
  EXPECT_FALSE(FleetView{FleetBounds{}}.routesFresh(Start));
}

// Callers are served by routes that were withdrawn.
// The store is read again from an earlier point, or an answer is overtaken.
TEST(FleetView, ConfigurationNeverGoesBack) {
  FleetView View = sound();
  View.take(Feed::Operators, page(ConfigPublished{config(4)}), false, Start,
            Start);
  EXPECT_EQ(View.config()->version(), 5U);
}

// A withdrawn credential is served on a host that the store is closed to.
// Nothing proves the configuration any more; before the bound ends credentials
// count as stale. A late answer to an old question proves only that time.
TEST(FleetView, CredentialsAreStaleBeforeTheBoundEnds) {
  FleetView View = sound();
  EXPECT_TRUE(View.ready(Start + seconds(4)));
  EXPECT_FALSE(View.ready(Start + seconds(5)));
  View.take(Feed::Operators, FeedPage{}, false, Start, Start + seconds(6));
  EXPECT_FALSE(View.ready(Start + seconds(6)));
  View.take(Feed::Operators, FeedPage{}, false, Start + seconds(6),
            Start + seconds(7));
  EXPECT_TRUE(View.ready(Start + seconds(7)));
}

TEST(FleetView, OnlyOpenLeadersOutsideDrainsGetWork) {
  FleetView View = sound();
  EXPECT_EQ(endpointsOf(View), 1U);
  View.take(Feed::Operators, page(DataCentreDrained{DataCentreName("north")}),
            false, Start, Start);
  EXPECT_EQ(endpointsOf(View), 0U);
  View.take(Feed::Operators, page(DataCentreReturned{DataCentreName("north")}),
            false, Start, Start);
  EndpointRecord Closed = leader();
  Closed.Seat->Phase = SeatPhase::Ready;
  View.take(Feed::Endpoints, page(EndpointPublished{Closed}), false, Start,
            Start);
  EXPECT_EQ(endpointsOf(View), 0U);
}

// Guards against blaming requests for streams that a closing leader broke.
TEST(FleetView, LeaderThatClosesAndLivesIsTold) {
  FleetView View = sound();
  const auto Publish = [&](EndpointRecord Record) {
    View.take(Feed::Endpoints, page(EndpointPublished{std::move(Record)}),
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
  ++Record.Born;
  Record.Seat.reset();
  EXPECT_TRUE(Publish(Record).empty());
}

TEST(FleetView, ShunnedEndpointGetsNoShareForAWhile) {
  FleetView View = sound();
  View.shun(EndpointName("head"), FleetView::SilenceSpan, Start);
  EXPECT_EQ(View.routes().Shares.begin()->second, 0U);
  View.advance(Start + seconds(3));
  EXPECT_EQ(View.routes().Shares.begin()->second, 26U);
}

// Guards against a leader that refuses all requests at once, looks idle by
// that, and draws the requests of all hosts.
TEST(FleetView, UnusableEndpointGetsNothingUntilItsGroupIsFormedAnew) {
  FleetView View = sound();
  View.shun(EndpointName("head"), FleetView::UnusableSpan, Start);
  View.advance(Start + seconds(3));
  EXPECT_EQ(View.routes().Shares.begin()->second, 0U);
  EndpointRecord Again = leader();
  Again.Seat->Epoch = 8;
  Again.Sequence = 9;
  View.take(Feed::Endpoints, page(EndpointPublished{Again}), false, Start,
            Start);
  EXPECT_EQ(View.routes().Shares.begin()->second, 26U);
}

TEST(ResponseMetadata, OnlyARefusalThatBlamesAnotherProvesAnEndpointUnusable) {
  const EngineAddress Asked{"10.0.0.1", 80};
  ResponseMetadata Full;
  Full.NotRun = true;
  EXPECT_FALSE(Full.provesUnusable(Asked));
  Full.FaultyEngine = "10.0.0.1:80";
  EXPECT_FALSE(Full.provesUnusable(Asked));
  ResponseMetadata Broken = Full;
  Broken.FaultyEngine = "10.0.0.2:80";
  EXPECT_TRUE(Broken.provesUnusable(Asked));
  ResponseMetadata Served;
  Served.FaultyEngine = "10.0.0.2:80";
  EXPECT_FALSE(Served.provesUnusable(Asked));
  ResponseMetadata Reused;
  Reused.WrongEndpoint = true;
  EXPECT_TRUE(Reused.provesUnusable(Asked));
}

// A data centre is returned, and its endpoints fall over at once.
// They are cold, but the records that say so are still on their way.
TEST(FleetView, EndpointsOfAReturnedDataCentreCountAsColdAtFirst) {
  FleetView View = sound();
  const DataCentreName North("north");
  View.take(Feed::Operators, page(DataCentreDrained{North}), false, Start,
            Start);
  View.take(Feed::Operators, page(DataCentreReturned{North}), false, Start,
            Start);
  EXPECT_EQ(View.routes().Shares.begin()->second, 0U);
  View.advance(Start + seconds(3));
  EXPECT_EQ(View.routes().Shares.begin()->second, 26U);
}

// A request goes to an endpoint that left two seconds ago.
// One read of the store failed before; the removal is held back as if entries
// had lapsed in an outage, but no live endpoint's entry lapses that soon.
TEST(FleetView, RemovalAfterAShortFailureIsReal) {
  FleetView View = sound();
  const TimePoint Later = Start + seconds(2);
  View.take(Feed::Endpoints, page(EndpointRemoved{EndpointName("head")}), false,
            Later, Later);
  EXPECT_EQ(endpointsOf(View), 0U);
}

TEST(FleetView, RemovalAfterAnOutageIsHeldBack) {
  FleetView View = sound();
  const TimePoint Later = Start + seconds(3);
  View.take(Feed::Endpoints, page(EndpointRemoved{EndpointName("head")}), false,
            Later, Later);
  EXPECT_EQ(endpointsOf(View), 1U);
  View.advance(Later + EndpointCatalogue::SettleTime);
  EXPECT_EQ(endpointsOf(View), 0U);
}

TEST(FleetView, ColdEndpointWaitsForItsTurn) {
  FleetView View = sound();
  EndpointRecord Cold = leader();
  Cold.ColdFor = seconds(3);
  View.take(Feed::Endpoints, page(EndpointPublished{Cold}), false, Start,
            Start);
  EXPECT_EQ(View.routes().Shares.begin()->second, 0U);
}

} // namespace

} // namespace coltsfoottrail
