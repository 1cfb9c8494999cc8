#include "coltsfoottrail/fleet/catalogue.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

constexpr TimePoint Start{seconds(100)};

EndpointRecord record(const char *Name, std::uint64_t Born,
                      std::uint64_t Sequence) {
  EndpointRecord Out;
  Out.Name = EndpointName(Name);
  Out.StartedAtMs = Born;
  Out.Sequence = Sequence;
  return Out;
}

TEST(Catalogue, HeartbeatThatChangesNothingKeepsTheVersion) {
  EndpointCatalogue All;
  EXPECT_TRUE(All.publish(record("a", 1, 1), Start));
  const std::uint64_t Version = All.version();
  EXPECT_FALSE(All.publish(record("a", 1, 2), Start + seconds(1)));
  EXPECT_EQ(All.version(), Version);
}

// Callers are sent to a group that is over.
// A record that was overtaken, or one of an earlier life, arrives late.
TEST(Catalogue, LateRecordChangesNothing) {
  EndpointCatalogue All;
  All.publish(record("a", 5, 1), Start);
  EndpointRecord Old = record("a", 4, 90);
  Old.State = EndpointState::Draining;
  EXPECT_FALSE(All.publish(Old, Start));
  EXPECT_EQ(All.find(EndpointName("a"))->Record.State, EndpointState::Serving);
}

// The whole fleet is gone for two seconds after each outage of the store.
// Records lapse while the store is away, their removal is read on its return,
// and the endpoints publish themselves again a moment later.
TEST(Catalogue, RemovalsAfterAnOutageWaitForTheEndpoints) {
  EndpointCatalogue All;
  All.publish(record("back", 1, 1), Start);
  All.publish(record("gone", 1, 1), Start);
  All.storeReturned(Start);
  EXPECT_FALSE(All.remove(EndpointName("back"), Start));
  EXPECT_FALSE(All.remove(EndpointName("gone"), Start));
  All.publish(record("back", 1, 2), Start + seconds(1));
  EXPECT_TRUE(All.advance(Start + seconds(2)).empty());
  const auto Gone = All.advance(Start + EndpointCatalogue::SettleTime);
  EXPECT_EQ(Gone, std::vector<EndpointName>{EndpointName("gone")});
  EXPECT_NE(All.find(EndpointName("back")), nullptr);
}

// A request goes to an endpoint that left two seconds ago.
// It published itself after an outage of the store, and its entry was removed
// after that: the entry did not lapse in the outage.
TEST(Catalogue, EndpointHeardSinceAnOutageHasLeft) {
  EndpointCatalogue All;
  All.publish(record("a", 1, 1), Start);
  All.storeReturned(Start);
  All.publish(record("a", 1, 2), Start + milliseconds(300));
  EXPECT_TRUE(All.remove(EndpointName("a"), Start + milliseconds(600)));
}

TEST(Catalogue, RemovalInQuietTimesIsAtOnce) {
  EndpointCatalogue All;
  All.publish(record("a", 1, 1), Start);
  EXPECT_TRUE(All.remove(EndpointName("a"), Start));
  EXPECT_EQ(All.find(EndpointName("a")), nullptr);
}

// A cold endpoint keeps its small share for the rest of the day.
// Its cold time passes between two heartbeats.
TEST(Catalogue, ColdEndpointWarmsUpByTime) {
  EndpointCatalogue All;
  EndpointRecord Cold = record("a", 1, 1);
  Cold.ColdFor = milliseconds(500);
  All.publish(Cold, Start);
  const std::uint64_t Version = All.version();
  EXPECT_TRUE(All.find(EndpointName("a"))->Cold);
  (void)All.advance(Start + milliseconds(500));
  EXPECT_FALSE(All.find(EndpointName("a"))->Cold);
  EXPECT_GT(All.version(), Version);
}

} // namespace

} // namespace coltsfoottrail
