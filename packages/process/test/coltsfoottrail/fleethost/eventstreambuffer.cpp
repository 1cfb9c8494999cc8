#include "coltsfoottrail/fleethost/eventstreambuffer.hpp"

#include <gtest/gtest.h>

namespace coltsfoottrail {

namespace {

TEST(EventStreamBuffer, PassesOnWholeEventsOnly) {
  EventStreamBuffer Tail;
  EXPECT_EQ(Tail.take("id: 1\nda"), "");
  EXPECT_FALSE(Tail.any());
  EXPECT_EQ(Tail.take("ta: x\n\nid: 2\n"), "id: 1\ndata: x\n\n");
  EXPECT_EQ(Tail.lastId(), "1");
  EXPECT_FALSE(Tail.whole());
  EXPECT_EQ(Tail.take("data: y\n\n"), "id: 2\ndata: y\n\n");
  EXPECT_EQ(Tail.lastId(), "2");
  EXPECT_TRUE(Tail.whole());
}

// A resumed stream has half an event in its middle.
// The first endpoint broke off inside an event; what it left is dropped.
TEST(EventStreamBuffer, PartOfAnEventIsDroppedBeforeAnotherEndpointGoesOn) {
  EventStreamBuffer Tail;
  (void)Tail.take("id: 1\ndata: x\n\nid: 2\nda");
  Tail.dropPartial();
  EXPECT_EQ(Tail.take("id: 2\ndata: y\n\n"), "id: 2\ndata: y\n\n");
}

TEST(EventStreamBuffer, UnderstandsLongLineEnds) {
  EventStreamBuffer Tail;
  EXPECT_EQ(Tail.take("id:7\r\ndata: x\r\n\r\n"), "id:7\r\ndata: x\r\n\r\n");
  EXPECT_EQ(Tail.lastId(), "7");
}

} // namespace

} // namespace coltsfoottrail
