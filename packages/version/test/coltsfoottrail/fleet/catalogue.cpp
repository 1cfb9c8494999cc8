#include "coltsfoottrail/fleet/catalogue.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

EndpointRecord makeRecord(const char *Name, std::uint64_t StartedAtMs,
                          std::uint64_t Sequence) {
  EndpointRecord Record;
  Record.Name = EndpointName(Name);
  Record.StartedAtMs = StartedAtMs;
  Record.Sequence = Sequence;
  return Record;
}

TEST(Catalogue, HeartbeatThatChangesNothingKeepsTheVersion) {
  EndpointCatalogue Catalogue;
  EXPECT_TRUE(Catalogue.publish(makeRecord("a", 1, 1), Start));
  const std::uint64_t Version = Catalogue.version();
  EXPECT_FALSE(Catalogue.publish(makeRecord("a", 1, 2), Start + seconds(1)));
  EXPECT_EQ(Catalogue.version(), Version);
}

// Guards against requests that are sent to a group that has ended: a record
// that was overtaken by a newer one, or one from before a restart, arrives
// late.
TEST(Catalogue, LateRecordChangesNothing) {
  EndpointCatalogue Catalogue;
  Catalogue.publish(makeRecord("a", 5, 1), Start);
  EndpointRecord Old = makeRecord("a", 4, 90);
  Old.State = EndpointState::Draining;
  EXPECT_FALSE(Catalogue.publish(Old, Start));
  EXPECT_EQ(Catalogue.find(EndpointName("a"))->Record.State,
            EndpointState::Serving);
}

// Guards against requests of another service, or another group, for an endpoint
// under whose name another writer has published a record.
TEST(Catalogue, RunOfAnEndpointStaysWhatItIs) {
  EndpointCatalogue Catalogue;
  EndpointRecord Own = makeRecord("a", 5, 1);
  Own.Service = ServiceName("draft");
  Own.Domain = FabricDomainName("n0");
  Catalogue.publish(Own, Start);
  EndpointRecord OtherService = Own;
  OtherService.Service = ServiceName("desk");
  EndpointRecord NoEngine = Own;
  NoEngine.Domain = FabricDomainName();
  for (EndpointRecord Foreign : {OtherService, NoEngine}) {
    Foreign.Sequence = 9;
    EXPECT_FALSE(Catalogue.publish(Foreign, Start));
    const EndpointRecord &Known = Catalogue.find(EndpointName("a"))->Record;
    EXPECT_EQ(Known.Service, Own.Service);
    EXPECT_TRUE(Known.isEngine());
    Foreign.StartedAtMs = 6;
    EndpointCatalogue Restarted = Catalogue;
    EXPECT_TRUE(Restarted.publish(Foreign, Start));
  }
}

// Guards against losing the whole fleet for two seconds after each outage of
// the store: records lapse while the store is away, their removal is read on
// its return, and the endpoints publish themselves again a moment later.
TEST(Catalogue, RemovalsAfterAnOutageWaitForTheEndpoints) {
  EndpointCatalogue Catalogue;
  Catalogue.publish(makeRecord("back", 1, 1), Start);
  Catalogue.publish(makeRecord("gone", 1, 1), Start);
  Catalogue.storeReturned(Start);
  EXPECT_FALSE(Catalogue.remove(EndpointName("back"), Start));
  EXPECT_FALSE(Catalogue.remove(EndpointName("gone"), Start));
  Catalogue.publish(makeRecord("back", 1, 2), Start + seconds(1));
  EXPECT_TRUE(Catalogue.advance(Start + seconds(2)).empty());
  const auto Dropped = Catalogue.advance(Start + EndpointCatalogue::SettleTime);
  EXPECT_EQ(Dropped, std::vector<EndpointName>{EndpointName("gone")});
  EXPECT_NE(Catalogue.find(EndpointName("back")), nullptr);
}

// Guards against requests to an endpoint that has left: it published itself
// after an outage of the store, and its record was removed after that, so the
// record did not lapse in the outage.
TEST(Catalogue, EndpointHeardSinceAnOutageHasLeft) {
  EndpointCatalogue Catalogue;
  Catalogue.publish(makeRecord("a", 1, 1), Start);
  Catalogue.storeReturned(Start);
  Catalogue.publish(makeRecord("a", 1, 2), Start + milliseconds(300));
  EXPECT_TRUE(Catalogue.remove(EndpointName("a"), Start + milliseconds(600)));
}

TEST(Catalogue, RemovalInQuietTimesIsAtOnce) {
  EndpointCatalogue Catalogue;
  Catalogue.publish(makeRecord("a", 1, 1), Start);
  EXPECT_TRUE(Catalogue.remove(EndpointName("a"), Start));
  EXPECT_EQ(Catalogue.find(EndpointName("a")), nullptr);
}

// Guards against a cold endpoint that keeps its small share of the work for
// good, because its cold time passes between two heartbeats.
TEST(Catalogue, ColdEndpointWarmsUpByTime) {
  EndpointCatalogue Catalogue;
  EndpointRecord Cold = makeRecord("a", 1, 1);
  Cold.ColdFor = milliseconds(500);
  Catalogue.publish(Cold, Start);
  const std::uint64_t Version = Catalogue.version();
  EXPECT_TRUE(Catalogue.find(EndpointName("a"))->Cold);
  (void)Catalogue.advance(Start + milliseconds(500));
  EXPECT_FALSE(Catalogue.find(EndpointName("a"))->Cold);
  EXPECT_GT(Catalogue.version(), Version);
}

} // namespace

} // namespace coltsfoottrail
